"""A small deployment on loopback: the store, workers, and routers as processes of their own."""

import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import urllib3

from turmerictray.loadtool.relay import Network
from turmerictray.platform.settings import SETTINGS_VARIABLE
from turmerictray.platform.standins.store import StoreServer
from turmerictray.platform.standins.worker import Worker

_FRONT_PORT = 8783
_READY_PORT = 8780
_CONTROL_PORT = 8785
_PEER_PORT = 7400
_START_S = 15.0
_STOP_S = 15.0
HOST = "shop.example"
KEY = "key-depot"
TEAM = "depot"


def default_config(version: int = 1, **changes) -> dict:
    """An operator's configuration with a plain service and a pool of engines."""
    config = {
        "version": version,
        "routes": [
            _route("order", "/order/", "non_idempotent", "app", max_attempts=2),
            _route("ping", "/ping/", "idempotent", "app", max_attempts=2),
            _route("open", "/open/", "idempotent", "app", public=True),
            _route(
                "plan",
                "/plan/",
                "streaming",
                "llm",
                max_attempts=2,
                resumable=True,
                gap_aim_ms=250,
            ),
            _route("recon", "/recon/", "streaming", "llm"),
        ],
        "services": [
            {"name": "app", "health_path": "/health"},
            {"name": "llm", "engine": {"slots": 8, "kv_tokens": 600_000}},
        ],
        "limits": {"tokens_per_s": 100_000},
        "tenants": [
            {"name": TEAM, "api_keys": [KEY]},
            {"name": "rider", "api_keys": ["key-rider"]},
        ],
    }
    config.update(changes)
    return config


def _route(name: str, prefix: str, kind: str, service: str, **more) -> dict:
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "service": service,
        "timeout_ms": 3000,
        "target_latency_ms": 1000,
        **more,
    }


def free_network() -> str:
    """The first three parts of a loopback network whose first addresses are free."""
    for second in range(20, 250):
        network = f"127.{second}.{os.getpid() % 250}"
        if _is_free(f"{network}.1"):
            return network
    raise RuntimeError("no free loopback network")


def _is_free(host: str) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((host, _FRONT_PORT))
        except OSError:
            return False
        return True


class LocalRouter:
    """A router process.

    Parameters
    ----------
    number : int
        From 1; gives its address in ``network``.
    repeats : int
        See :class:`LocalDeployment`.
    """

    def __init__(
        self, number: int, network: str, zone: str, store: str, folder: Path, repeats: int
    ) -> None:
        self.name = f"r{number}"
        self.ip = f"{network}.{number}"
        self.log_path = folder / f"{self.name}.log"
        self._settings = folder / f"{self.name}.toml"
        self._store = store
        self._settings.write_text(self._node_file(network, zone, store, repeats))
        self._process: subprocess.Popen | None = None

    @property
    def front(self) -> tuple[str, int]:
        """Address for callers."""
        return self.ip, _FRONT_PORT

    @property
    def admin(self) -> str:
        """URL for operators."""
        return f"http://{self.ip}:{_CONTROL_PORT}"

    @property
    def pid(self) -> int:
        """The process's id."""
        return self._process.pid

    def use_store(self, address: str) -> None:
        """Name another store in the settings, which a process reads at its start."""
        settings = self._settings.read_text().replace(self._store, address)
        self._settings.write_text(settings)
        self._store = address

    def start(self) -> None:
        """Start the process."""
        env = {**os.environ, SETTINGS_VARIABLE: str(self._settings)}
        with open(self.log_path, "ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "turmerictray.platform.main"],
                env=env,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def is_ready(self) -> bool:
        """Whether it takes callers."""
        try:
            url = f"http://{self.ip}:{_READY_PORT}/api/ready"
            return urllib3.request("GET", url, timeout=1, retries=False).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def wait_ready(self) -> None:
        """Wait until it takes callers."""
        until = time.monotonic() + _START_S
        while not self.is_ready():
            if time.monotonic() > until:
                raise RuntimeError(f"{self.name} is not ready: {self.log_path.read_text()[-800:]}")
            time.sleep(0.05)

    @property
    def exit_code(self) -> int | None:
        """The process's exit code; None while it runs."""
        return self._process.poll()

    def signal(self, signum: signal.Signals) -> None:
        """Send a signal to the process."""
        self._process.send_signal(signum)

    def wait(self) -> int:
        """Wait for the process's end; returns its exit code."""
        return self._process.wait(_STOP_S)

    def stop(self) -> None:
        """Kill the process if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait(_STOP_S)

    def _node_file(self, network: str, zone: str, store: str, repeats: int) -> str:
        return f"""
node = "{self.name}"
ip = "{self.ip}"
zone = "{zone}"
internal_ports = [{_PEER_PORT}, {_PEER_PORT + 15}]
seeds = ["{network}.1:{_CONTROL_PORT}"]
[listen]
front = "{self.ip}:{_FRONT_PORT}"
ready = "{self.ip}:{_READY_PORT}"
control = "{self.ip}:{_CONTROL_PORT}"
[bounds]
grace_s = 6
retry_budget_ratio = {0.2 if repeats else 0}
budget_min_retries = {repeats}
[platform]
address = "{store}"
"""


class LocalDeployment:
    """The store, workers and routers of a test.

    Parameters
    ----------
    folder : Path
        For settings and logs.
    repeats : int
        Repeats that all routers may send in ten seconds; 0 forbids them.
    network : Network or None
        Relays callers' connections to routers (from ``callers``), and routers' to the store and the
        workers (from the router's name, and from ``routers``), so that they can be disturbed.
    """

    def __init__(
        self,
        folder: Path,
        routers: int = 1,
        apps: int = 2,
        engines: int = 2,
        repeats: int = 50,
        network: Network | None = None,
    ) -> None:
        self.network = network
        self._entrances: dict[tuple[str, str, str], str] = {}
        self.store = StoreServer().start()
        self.workers = [Worker(f"app-{n}", "app").start() for n in range(apps)]
        self.workers += [Worker(f"llm-{n}", "llm").start() for n in range(engines)]
        loopback = free_network()
        self.routers = [
            LocalRouter(number, loopback, "z1", self._store_for(number), folder, repeats)
            for number in range(1, routers + 1)
        ]

    def start(self) -> "LocalDeployment":
        """Publish the configuration and start the routers."""
        self.store.store.put("op/config", default_config())
        for worker in self.workers:
            self.publish(worker)
        for router in self.routers:
            router.start()
        for router in self.routers:
            router.wait_ready()
        return self

    def publish(self, worker: Worker, state: str = "ready") -> None:
        """Write a worker's entry."""
        entry = worker.entry("z1", state)
        entry["address"] = self._through("routers", worker.id, worker.address)
        self.store.store.put(f"servers/{worker.id}", entry)

    def withdraw(self, worker: Worker) -> None:
        """Remove a worker's entry."""
        self.store.store.delete(f"servers/{worker.id}")

    def add_worker(self, worker: Worker) -> None:
        """Take a started worker in and write its entry."""
        self.workers.append(worker)
        self.publish(worker)

    def front(self, router: LocalRouter) -> tuple[str, int]:
        """Where callers reach a router."""
        address = self._through("callers", router.name, "{}:{}".format(*router.front))
        host, _, port = address.rpartition(":")
        return host, int(port)

    def _store_for(self, number: int) -> str:
        return self._through(f"r{number}", "store", self.store.address)

    def _through(self, source: str, target: str, address: str) -> str:
        """The address at which ``source`` reaches ``target``."""
        if self.network is None:
            return address
        entrance = (source, target, address)
        if entrance not in self._entrances:
            host, _, port = address.rpartition(":")
            relayed = self.network.add(source, target, int(port), host)
            self._entrances[entrance] = f"127.0.0.1:{relayed}"
        return self._entrances[entrance]

    def of_service(self, service: str) -> list[Worker]:
        """The workers of a service."""
        return [worker for worker in self.workers if worker.service == service]

    def stop(self) -> None:
        """Stop everything that was started."""
        for router in self.routers:
            router.stop()
        for worker in self.workers:
            worker.stop()
        self.store.stop()
        if self.network is not None:
            self.network.close()
