"""Shared parts of the scripts: router processes, store views, a record and a stream client."""

import base64
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request
from pathlib import Path

from turmerictray.platform.standins.caller import RawAnswer, RawCaller, make_request
from turmerictray.platform.standins.store import StoreServer

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""Whether the script causes its disruption."""

HELD, BROKEN, NOT_RUN = 0, 1, 2

_RUN = ["-m", "turmerictray.platform.main"]
_FRONT_PORT, _READY_PORT, _CONTROL_PORT = 8783, 8780, 8785
_START_TIMEOUT_S = 20.0

HOST = "shop.example"
TEAM, KEY = "depot", "key-depot"


def free_network() -> str:
    """Return the first three octets of a loopback network whose front port is free."""
    for second in range(20, 250):
        network = f"127.{second}.{os.getpid() % 250}"
        with socket.socket() as probe:
            try:
                probe.bind((f"{network}.1", _FRONT_PORT))
            except OSError:
                continue
            return network
    raise RuntimeError("no free loopback network")


class Record:
    """Writes what happens to ``record.txt`` in the folder of the case."""

    def __init__(self, folder: Path) -> None:
        self._file = open(folder / "record.txt", "w", encoding="utf-8")
        self._lock = threading.Lock()
        self.started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the script began."""
        return time.monotonic() - self.started_at

    def note(self, text: str) -> None:
        """Write a line with the time."""
        with self._lock:
            self._file.write(f"{self.now():8.3f} {text}\n")
            self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class StoreView:
    """A store as one router reaches it."""

    def __init__(self, store: object) -> None:
        self._shared = store
        self.call_count = 0
        self._addresses: dict[bytes, bytes] = {}

    def __getattr__(self, name: str) -> object:
        return getattr(self._shared, name)

    def readdress(self, address: str, link: str) -> None:
        """Show this router the address of a link in place of a worker's."""
        self._addresses[address.encode()] = link.encode()

    def page(self, prefix: str, after: str) -> dict:
        """Return a page of items, as the store does."""
        page = self._shared.page(prefix, after)
        return {**page, "items": [self._translate(item) for item in page["items"]]}

    def changes(self, prefix: str, after: int, wait_s: float) -> dict | None:
        """Return changes, as the store does."""
        found = self._shared.changes(prefix, after, wait_s)
        if found is None:
            return None
        return {**found, "events": [self._translate(event) for event in found["events"]]}

    def _translate(self, item: dict) -> dict:
        if "value" not in item or not self._addresses:
            return item
        value = base64.b64decode(item["value"])
        for address, link in self._addresses.items():
            value = value.replace(address, link)
        return {**item, "value": base64.b64encode(value).decode()}


class Router:
    """A router process, started by the command of the deploy file.

    Parameters
    ----------
    name, ip, zone : str
    store : str
        ``host:port``.
    seeds : list of str
        Addresses of the first machines.
    zones : list of str
    folder : Path
        Temporary folder for settings and log.
    """

    def __init__(
        self,
        name: str,
        ip: str,
        zone: str,
        store: str,
        seeds: list[str],
        zones: list[str],
        folder: Path,
    ) -> None:
        self.name, self.ip = name, ip
        self.front = (ip, _FRONT_PORT)
        self.log = folder / f"{name}.log"
        self._settings = folder / f"{name}.toml"
        self._settings.write_text(_settings(name, ip, zone, store, seeds, zones))
        self._process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process."""
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["PYTHONPATH"] = "target/deps"
        env["TURMERICTRAY_NODE_FILE"] = str(self._settings)
        with open(self.log, "ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, *_RUN], env=env, stdout=log, stderr=subprocess.STDOUT
            )

    def is_ready(self) -> bool:
        """Return whether the router says that it is ready."""
        url = f"http://{self.ip}:{_READY_PORT}/api/ready"
        try:
            with urllib.request.urlopen(url, timeout=1) as answer:
                return answer.status == 200
        except (urllib.error.URLError, OSError):
            return False

    def wait_ready(self) -> None:
        """Wait until the router is ready."""
        deadline = time.monotonic() + _START_TIMEOUT_S
        while not self.is_ready():
            if time.monotonic() > deadline:
                raise RuntimeError(f"{self.name} isn't ready: {self.log.read_text()[-600:]}")
            time.sleep(0.05)

    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def signal(self, signum: signal.Signals) -> None:
        """Send a signal to the process."""
        self._process.send_signal(signum)

    def kill(self) -> None:
        """Kill the process if it runs."""
        if self.is_running():
            self._process.kill()
            self._process.wait(10)


def _settings(name: str, ip: str, zone: str, store: str, seeds: list[str], zones: list[str]) -> str:
    seed_list = ", ".join(f'"{seed}:{_CONTROL_PORT}"' for seed in seeds)
    zone_list = "\n".join(f'{zone} = "region"' for zone in zones)
    return f"""
node = "{name}"
role = "router"
machine_class = "front"
serves = ["front", "control"]
ip = "{ip}"
zone = "{zone}"
region = "region"
internal_ports = [7400, 7415]
seeds = [{seed_list}]
bootstrap = true
in_tolerance = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
  "platform"]
[zones]
{zone_list}
[listen]
front = "{ip}:{_FRONT_PORT}"
ready = "{ip}:{_READY_PORT}"
control = "{ip}:{_CONTROL_PORT}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
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
contact_ms = 3000
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
budget_min_retries = 56
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


class Deployment:
    """A store and routers; the script adds workers.

    Parameters
    ----------
    record : Record
    zones : list of str
        The zone of each router, in order.
    """

    def __init__(self, record: Record, zones: list[str]) -> None:
        self.record = record
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.network = free_network()
        self._servers = [StoreServer().start()]
        self.store = self._servers[0].store
        self.workers = []
        self.routers = []
        self.views = []
        ips = [f"{self.network}.{number}" for number in range(1, len(zones) + 1)]
        for number, (ip, zone) in enumerate(zip(ips, zones, strict=True), 1):
            server = StoreServer().start()
            server.store = StoreView(self.store)
            self._servers.append(server)
            self.views.append(server.store)
            names = sorted(set(zones))
            self.routers.append(
                Router(f"r{number}", ip, zone, server.address, ips[:3], names, self._folder)
            )

    def add_worker(self, worker: object, state: str = "ready") -> None:
        """Start to track a worker and write its entry."""
        self.workers.append(worker)
        self.write_entry(worker, state)

    def write_entry(self, worker: object, state: str = "ready") -> None:
        """Write a worker's entry."""
        self.store.put(f"servers/{worker.id}", worker.entry(state=state))
        self.record.note(f"store: entry of {worker.id} ({worker.version}) is {state}")

    def remove_entry(self, worker: object) -> None:
        """Remove a worker's entry."""
        self.store.delete(f"servers/{worker.id}")
        self.record.note(f"store: entry of {worker.id} ({worker.version}) removed")

    def start(self) -> None:
        """Start all routers and wait until they are ready."""
        for router in self.routers:
            router.start()
        for router in self.routers:
            router.wait_ready()
        self.record.note(f"routers ready: {[r.name for r in self.routers]}")

    def stop(self) -> None:
        """End all processes and stand-ins."""
        for router in self.routers:
            router.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self._folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self._folder, ignore_errors=True)
        for worker in self.workers:
            worker.stop()
        for server in self._servers:
            server.stop()


class StreamClient(threading.Thread):
    """A client that reads one stream and takes it up again after a broken connection.

    Parameters
    ----------
    record : Record
    request_id : str
        Id of the first attempt; later ones add a number.
    pick_front : callable
        Returns the address of a router that is ready, as the platform's entry does, or None.
    path : str
    headers : dict
        Further header fields.
    deadline_s : float
    last_id : int
        Id of the last event of the whole stream.
    max_tries : int
    """

    def __init__(
        self, record, request_id, pick_front, path, headers, deadline_s, last_id, max_tries=6
    ) -> None:
        super().__init__(daemon=True)
        self.request_id = request_id
        self._record = record
        self._pick_front = pick_front
        self._path = path
        self._headers = headers
        self._deadline = time.monotonic() + deadline_s
        self._last_id = last_id
        self._max_tries = max_tries
        self.answers: list[RawAnswer] = []
        self.tries = 0

    def events(self) -> list[int]:
        """Return the ids of the events received so far, over all tries."""
        return [number for answer in self.answers for number in answer.event_ids()]

    def versions(self) -> set[str]:
        """Return the software versions that wrote these events."""
        return set().union(*(answer.versions() for answer in self.answers))

    def is_complete(self) -> bool:
        """Return whether the last answer ended as complete."""
        return bool(self.answers) and self.answers[-1].status == 200 and self.answers[-1].complete

    def run(self) -> None:
        """Send the request and take the stream up until it is complete."""
        first_with_event = None
        while self.tries < self._max_tries and time.monotonic() < self._deadline:
            front = self._pick_front()
            if front is None:
                time.sleep(0.05)
                continue
            self.tries += 1
            request_id = f"{self.request_id}{self.tries:02x}"
            extra = dict(self._headers)
            if first_with_event is not None:
                extra["Last_Event_Id"] = str(self.events()[-1])
                extra["Resumes"] = first_with_event
            left_s = self._deadline - time.monotonic()
            extra["X_Deadline_Ms"] = str(round(1000 * left_s))
            answer = RawAnswer()
            self.answers.append(answer)
            try:
                caller = RawCaller(front)
            except OSError as exc:
                self._record.note(f"client {request_id}: no connection to {front[0]}: {exc}")
                time.sleep(0.1)
                continue
            data = make_request(
                "POST", self._path, b"x", Host=HOST, X_Request_Id=request_id, **extra
            )
            try:
                caller.send(data)
                caller.read(answer)
            except OSError as exc:
                self._record.note(f"client {request_id}: {exc}")
            caller.close()
            ids = answer.event_ids()
            if ids and first_with_event is None:
                first_with_event = request_id
            self._record.note(
                f"client {request_id} at {front[0]}"
                f" Last-Event-Id={extra.get('Last_Event_Id')} Resumes={extra.get('Resumes')}:"
                f" status {answer.status}, events {ids[:1]}..{ids[-1:]}, versions"
                f" {sorted(answer.versions())}, complete {answer.complete}"
                + (f", body {answer.body[:80]!r}" if answer.status != 200 else "")
            )
            if answer.status == 200 and answer.complete:
                return
            if answer.status not in (0, 200, 408, 421, 429, 500, 502, 503, 504):
                return
            wait_s = float(answer.headers.get("Retry-After", 0.1))
            time.sleep(max(0.0, min(wait_s, (self._deadline - time.monotonic()) / 3)))


def run_case(folder: Path, play) -> int:
    """Play a case; return the exit code of its script."""
    # A script that is ended early ends its processes as well.
    signal.signal(signal.SIGTERM, lambda *_args: sys.exit(NOT_RUN))
    record = Record(folder)
    record.note(f"trouble: {'on' if TROUBLE else 'off'}")
    code = NOT_RUN
    try:
        code = play(record)
    except Exception as exc:  # noqa: BLE001 - whatever goes wrong, the case couldn't run
        record.note(f"couldn't run: {exc!r}")
    record.note({HELD: "rule held", BROKEN: "RULE BROKEN", NOT_RUN: "not run"}[code])
    record.close()
    print((folder / "record.txt").read_text().splitlines()[-1].strip())
    return code
