"""A small deployment on loopback for the cases of this review.

The routers are the project's own program, started with the ``run`` line of ``deploy/system.toml``
and a settings file with the fields of ``DEPLOY.md``. The platform's store and the workers are the
project's stand-ins, in the process of the case.
"""

import json
import os
import signal
import socket
import subprocess
import threading
import time
import tomllib
import urllib.error
import urllib.request
from pathlib import Path

from turmerictray.platform.standins.store import StoreServer
from turmerictray.platform.standins.worker import Worker

REPOSITORY = Path(__file__).resolve().parents[2]
FRONT_PORT, READY_PORT, CONTROL_PORT, PEER_PORT = 8783, 8780, 8785, 7400
HOST = "ficu95.example"
KEYS = {"hule930": "asnmgkcuyj8pjbvk9m68", "wafo112": "k7b2ex5wa5xwyhks8nbk"}
CONTACT_S = 3.0
MEMORY_MB = 300
EXIT_BROKEN, EXIT_HELD, EXIT_NOT_RUN = 1, 0, 2

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

_CONTRACTS = (
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "engine",
    "stream",
    "tenants",
    "platform",
)
_PASSED_ON = ("PATH", "HOME", "LANG")
_OPENER = urllib.request.build_opener(urllib.request.ProxyHandler({}))


def free_network() -> str:
    """Return the first three octets of a loopback network in which nothing listens."""
    for second in range(20, 250):
        network = f"127.{second}.{os.getpid() % 250}"
        with socket.socket() as probe:
            try:
                probe.bind((f"{network}.1", FRONT_PORT))
            except OSError:
                continue
            return network
    raise RuntimeError("no free loopback network")


def route(name: str, prefix: str, kind: str, service: str, **options) -> dict:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 5000,
        "target_latency_ms": 1000,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "public": False,
        "sticky": False,
        "resumable": False,
        "gap_aim_ms": 300,
        **options,
    }


def configuration(version: int, routes: list[dict], services: list[dict]) -> dict:
    """Return a configuration as operators write it; the limits are those of ``fleetbench wire``."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
            "tokens_per_s": 350000,
        },
        "tenants": [{"name": t, "api_keys": [k], "priority": 1} for t, k in KEYS.items()],
    }


class Record:
    """The file ``record.txt`` of a case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._lock = threading.Lock()
        self._began_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line with the seconds since the start."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._began_at:8.3f} s  {text}\n")
            self._file.flush()


class Router:
    """A router process."""

    def __init__(self, number: int, network: str, store: str, zone: str, folder: Path) -> None:
        self.name = f"front-{zone}-{number}"
        self.ip = f"{network}.{number}"
        self.front = (self.ip, FRONT_PORT)
        self.log = folder / f"{self.name}.log"
        self._settings = folder / f"{self.name}.toml"
        self._store = store
        self._settings.write_text(_settings(self.name, self.ip, network, store, zone))
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process with the deploy file's command."""
        deploy = tomllib.loads((REPOSITORY / "deploy" / "system.toml").read_text())
        command = next(iter(deploy["roles"].values()))["run"].split()
        env = {name: os.environ[name] for name in _PASSED_ON if name in os.environ}
        env["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        env["TURMERICTRAY_NODE_FILE"] = str(self._settings)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=REPOSITORY, env=env, stdout=log, stderr=subprocess.STDOUT
            )

    def is_ready(self) -> bool:
        """Return whether the router answers the platform's question with 200."""
        try:
            url = f"http://{self.ip}:{READY_PORT}/api/ready"
            with _OPENER.open(url, timeout=1) as answer:
                return answer.status == 200
        except (urllib.error.URLError, OSError):
            return False

    def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until the router is ready."""
        deadline = time.monotonic() + timeout_s
        while not self.is_ready():
            if time.monotonic() > deadline or self.process.poll() is not None:
                raise RuntimeError(f"{self.name} is not ready: {self.log.read_text()[-600:]}")
            time.sleep(0.05)

    def memory_mb(self) -> float:
        """Return the resident memory of the process in MB; 0 if it has ended."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0

    def use_store(self, address: str) -> None:
        """Write another address of the store to the settings file."""
        text = self._settings.read_text()
        self._settings.write_text(text.replace(self._store, address))
        self._store = address

    def signal(self, signum: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(signum)

    def stop(self) -> None:
        """Kill the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait(10)


class Deployment:
    """Store, workers and routers."""

    def __init__(self, folder: Path, config: dict, routers: int = 2, zone: str = "z1") -> None:
        self.store = StoreServer().start()
        self.network = free_network()
        self.workers: list[Worker] = []
        self.store.store.put("op/config", config)
        self.routers = [
            Router(number, self.network, self.store.address, zone, folder)
            for number in range(1, routers + 1)
        ]

    def add_worker(self, worker: Worker) -> Worker:
        """Start a worker and write its entry."""
        worker.start()
        self.workers.append(worker)
        self.publish(worker)
        return worker

    def publish(self, worker: Worker) -> None:
        """Write a worker's entry to the store."""
        self.store.store.put(f"servers/{worker.id}", worker.entry())

    def close_store(self) -> None:
        """Close the store's address and all connections to it."""
        self.store.closing.set()
        self.store._server.abort()  # the stand-in has no call for this

    def start(self) -> "Deployment":
        """Start the routers."""
        for router in self.routers:
            router.start()
        for router in self.routers:
            router.wait_ready()
        return self

    def stop(self, with_store: bool = True) -> None:
        """End all that was started; the store too, unless the case has stopped it."""
        for router in self.routers:
            router.stop()
        for worker in self.workers:
            if not worker.crashed.is_set():
                worker.stop()
        if with_store:
            self.store.stop()


def _settings(name: str, ip: str, network: str, store: str, zone: str) -> str:
    seeds = [f"{network}.{number}:{CONTROL_PORT}" for number in (1, 2)]
    return f"""
node = "{name}"
role = "router"
machine_class = "front"
serves = ["front", "control"]
ip = "{ip}"
zone = "{zone}"
region = "r1"
internal_ports = [{PEER_PORT}, {PEER_PORT + 15}]
seeds = {json.dumps(seeds)}
bootstrap = true
in_tolerance = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = {json.dumps(_CONTRACTS)}
[zones]
{zone} = "r1"
[listen]
front = "{ip}:{FRONT_PORT}"
ready = "{ip}:{READY_PORT}"
control = "{ip}:{CONTROL_PORT}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = {MEMORY_MB}
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = {CONTACT_S * 1000:.0f}
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_skew_ms = 5000
strict_revoke = false
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_min_retries = 52
recover_s = 12
pass_ms = 120
again_s = 10
quota_window_s = 4
[platform]
address = "{store}"
form = "read"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


class Client:
    """A client's connection to a router, which it keeps open for many requests."""

    def __init__(self, front: tuple[str, int], key: str = KEYS["hule930"]) -> None:
        self.key = key
        self._front = front
        self._sock = socket.create_connection(front, 1.0)
        self._buffer = b""

    def send(self, data: bytes) -> None:
        """Send bytes."""
        self._sock.sendall(data)

    def head(
        self, method: str, path: str, request_id: str, deadline_ms: int, extra: str = ""
    ) -> bytes:
        """Return the head of a request; ``extra`` holds further header lines."""
        return (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request_id}\r\n"
            f"X-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {self.key}\r\n{extra}\r\n"
        ).encode()

    def ask(
        self, method: str, path: str, request_id: str, deadline_ms: int, body: bytes = b""
    ) -> "Reply | None":
        """Send a request and return its answer; None if the connection ended without one."""
        extra = f"Content-Length: {len(body)}\r\n" if body or method == "POST" else ""
        self.send(self.head(method, path, request_id, deadline_ms, extra) + body)
        return self.read(deadline_ms / 1000)

    def read(self, timeout_s: float) -> "Reply | None":
        """Read a complete answer; None if the connection ends before its end."""
        self._sock.settimeout(timeout_s)
        try:
            while b"\r\n\r\n" not in self._buffer:
                if not self._fill():
                    return None
            head, _, rest = self._buffer.partition(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            headers = dict(line.split(": ", 1) for line in lines[1:])
            self._buffer = rest
            size = int(headers.get("Content-Length", 0))
            while len(self._buffer) < size:
                if not self._fill():
                    return None
        except TimeoutError:
            return Reply(0, {}, b"")
        except OSError:
            return None
        body, self._buffer = self._buffer[:size], self._buffer[size:]
        return Reply(int(lines[0].split()[1]), headers, body)

    def _fill(self) -> bool:
        data = self._sock.recv(65536)
        self._buffer += data
        return bool(data)

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()


class Reply:
    """An answer; status 0 if none came within the client's deadline."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body
