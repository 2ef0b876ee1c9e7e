"""A small deployment on loopback: store and workers in this process, routers as processes."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from enum import Enum
from functools import partial
from pathlib import Path

import urllib3

from turmerictray.loadtool.relay import Network
from turmerictray.platform.settings import SETTINGS_ENV_VAR
from turmerictray.platform.standins.store import StoreServer
from turmerictray.platform.standins.worker import DEFAULT_ZONE, Worker

_FRONT_PORT = 8783
_READY_PORT = 8780
_CONTROL_PORT = 8785
_PEER_PORT = 7400
_MODULE = "turmerictray.platform.main"
_FAILING_MODULE = "turmerictray.platform.standins.failing_router"
_RELAYED_MODULE = "turmerictray.platform.standins.relayed_router"
CONTROL_FILE_ENV_VAR = "TURMERICTRAY_FAULTS_FILE"
"""Names the file over which faults of a failing router are armed."""

RELAYS_ENV_VAR = "TURMERICTRAY_RELAYS_FILE"
"""Names a JSON file with the relay's ``host:port`` for each ``host:port`` of another router."""

_START_TIMEOUT_S = 15.0
_STOP_TIMEOUT_S = 15.0


class PeerPort(Enum):
    """Ports to which other routers connect: gossip, scheduling messages, operators' pages."""

    GOSSIP = _PEER_PORT
    CALLS = _PEER_PORT + 1
    PAGES = _CONTROL_PORT

    def of(self, router: str) -> str:
        """Return the target of the links to this port of a router."""
        return f"{router}/{self.name.lower()}"


HOST = "shop.example"
"""Host of all routes of :func:`default_config`."""

API_KEY = "key-depot"
"""API key of :data:`TEAM`."""

TEAM = "depot"
"""Team that callers use by default."""


def default_config(version: int = 1, **changes) -> dict:
    """Return a configuration with a plain service and a pool of engines.

    Parameters
    ----------
    version : int
    **changes
        Top-level entries to replace.
    """
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
            {
                "name": "llm",
                "engine": {"slots": 8, "kv_tokens": 600_000},
                "cold_s": 1.5,
                "cold_per_s": 8,
            },
        ],
        "limits": {"tokens_per_s": 100_000},
        "tenants": [
            {"name": TEAM, "api_keys": [API_KEY]},
            {"name": "rider", "api_keys": ["key-rider"]},
        ],
    }
    config.update(changes)
    return config


def _route(name: str, prefix: str, kind: str, service: str, **options) -> dict:
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "service": service,
        "timeout_ms": 3000,
        "target_latency_ms": 1000,
        **options,
    }


def find_free_network() -> str:
    """Return the first three octets of a loopback network whose first address is free."""
    for second in range(20, 250):
        network = f"127.{second}.{os.getpid() % 250}"
        if _is_free(f"{network}.1"):
            return network
    raise RuntimeError("no free loopback network from 127.20.x to 127.249.x")


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
        Number of the router from 1; the last octet of its address.
    network : str
        First three octets of its address.
    zone : str
    store : str
        ``host:port`` of the store.
    folder : Path
        Folder for its settings and log.
    min_retries, seeds, fails : int, int, bool
        See :class:`LocalDeployment`.
    """

    def __init__(
        self,
        number: int,
        network: str,
        zone: str,
        store: str,
        folder: Path,
        min_retries: int,
        seeds: int,
        fails: bool = False,
    ) -> None:
        self.name = f"r{number}"
        self.ip = f"{network}.{number}"
        self.log_path = folder / f"{self.name}.log"
        self.faults_path = folder / f"{self.name}.faults"
        self._relays_path = folder / f"{self.name}.relays"
        self._module = _FAILING_MODULE if fails else _MODULE
        self._settings = folder / f"{self.name}.toml"
        self._store = store
        self._settings.write_text(self._settings_text(network, zone, store, min_retries, seeds))
        self._process: subprocess.Popen | None = None

    @property
    def front(self) -> tuple[str, int]:
        """Address to which callers connect."""
        return self.ip, _FRONT_PORT

    @property
    def peer(self) -> tuple[str, int]:
        """Address of its link to the other routers."""
        return self.ip, _PEER_PORT

    @property
    def admin_url(self) -> str:
        """URL of the operators' pages."""
        return f"http://{self.ip}:{_CONTROL_PORT}"

    @property
    def pid(self) -> int:
        """Id of the process."""
        return self._process.pid

    def use_store(self, address: str) -> None:
        """Change the store's address in the settings; a running process keeps the old one."""
        settings = self._settings.read_text().replace(self._store, address)
        self._settings.write_text(settings)
        self._store = address

    def use_relays(self, relays: dict[str, str]) -> None:
        """Have the process reach other routers through relays.

        Parameters
        ----------
        relays : dict of str to str
            The relay's ``host:port`` for each ``host:port`` of another router.
        """
        self._relays_path.write_text(json.dumps(relays))
        if self._module == _MODULE:
            self._module = _RELAYED_MODULE

    def start(self) -> None:
        """Start the process."""
        # What was armed for the last process must not fail this one.
        self.faults_path.unlink(missing_ok=True)
        env = {
            **os.environ,
            SETTINGS_ENV_VAR: str(self._settings),
            CONTROL_FILE_ENV_VAR: str(self.faults_path),
        }
        if self._relays_path.exists():
            env[RELAYS_ENV_VAR] = str(self._relays_path)
        with open(self.log_path, "ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", self._module],
                env=env,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def is_ready(self) -> bool:
        """Whether the router accepts requests."""
        try:
            url = f"http://{self.ip}:{_READY_PORT}/api/ready"
            return urllib3.request("GET", url, timeout=1, retries=False).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def wait_ready(self) -> None:
        """Wait until the router accepts requests."""
        deadline = time.monotonic() + _START_TIMEOUT_S
        while not self.is_ready():
            if time.monotonic() > deadline:
                raise RuntimeError(
                    f"{self.name} is not ready after {_START_TIMEOUT_S:g} s; its log ends with: "
                    f"{self.log_path.read_text()[-800:]}"
                )
            time.sleep(0.05)

    @property
    def exit_code(self) -> int | None:
        """Exit code of the process; None while it runs."""
        return self._process.poll()

    def signal(self, signum: signal.Signals) -> None:
        """Send a signal to the process."""
        self._process.send_signal(signum)

    def wait(self) -> int:
        """Wait until the process ends; return its exit code."""
        return self._process.wait(_STOP_TIMEOUT_S)

    def stop(self) -> None:
        """Kill the process if it is running."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait(_STOP_TIMEOUT_S)

    def _settings_text(
        self, network: str, zone: str, store: str, min_retries: int, seeds: int
    ) -> str:
        seed_list = ", ".join(f'"{network}.{n}:{_CONTROL_PORT}"' for n in range(1, seeds + 1))
        return f"""
node = "{self.name}"
ip = "{self.ip}"
zone = "{zone}"
internal_ports = [{_PEER_PORT}, {_PEER_PORT + 15}]
seeds = [{seed_list}]
[listen]
front = "{self.ip}:{_FRONT_PORT}"
ready = "{self.ip}:{_READY_PORT}"
control = "{self.ip}:{_CONTROL_PORT}"
[bounds]
grace_s = 6
cold_over = 1.5
cold_slack = 5
retry_budget_ratio = {0.2 if min_retries else 0}
budget_min_retries = {min_retries}
[platform]
address = "{store}"
"""


class LocalDeployment:
    """Store, workers and routers of a test.

    Parameters
    ----------
    folder : Path
        Folder for settings and logs.
    routers, apps, engines : int
        Numbers of routers, of workers of the plain service and of engines.
    min_retries : int
        Retries that all routers together may send in ten seconds, however few requests there
        are; 0 disables retries.
    seeds : int
        Number of routers, from the first, that the others contact first.
    fails : bool
        Whether exceptions can be raised in the routers; see
        :mod:`turmerictray.platform.standins.failing_router`.
    network : Network or None
        Relays connections, so that a test can disturb them. Link sources are ``callers`` for
        callers' connections to routers, the router's name for its connections to the store, and
        ``routers`` for connections of all routers to workers.
    relays_peers : bool
        Whether the network also relays connections between routers: from a router's name to
        :meth:`PeerPort.of` another's.
    """

    def __init__(
        self,
        folder: Path,
        routers: int = 1,
        apps: int = 2,
        engines: int = 2,
        min_retries: int = 50,
        seeds: int = 1,
        network: Network | None = None,
        fails: bool = False,
        relays_peers: bool = False,
    ) -> None:
        self.network = network
        self._relayed_addresses: dict[tuple[str, str, str], str] = {}
        self.store = StoreServer().start()
        self.workers = [Worker(f"app-{n}", "app").start() for n in range(apps)]
        self.workers += [Worker(f"llm-{n}", "llm").start() for n in range(engines)]
        loopback = find_free_network()
        self.routers = [
            LocalRouter(
                number,
                loopback,
                DEFAULT_ZONE,
                self._store_for(number),
                folder,
                min_retries,
                seeds,
                fails,
            )
            for number in range(1, routers + 1)
        ]
        if relays_peers:
            for router in self.routers:
                router.use_relays(self._peer_relays(router))

    def _peer_relays(self, router: LocalRouter) -> dict[str, str]:
        relays = {}
        for other in self.routers:
            for port in PeerPort if other is not router else ():
                address = f"{other.ip}:{port.value}"
                relays[address] = self._relay(router.name, port.of(other.name), address)
        return relays

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
        """Write a worker's entry to the store."""
        entry = worker.entry(state=state)
        entry["address"] = self._relay("routers", worker.id, worker.address)
        if self.network is not None:
            worker.before_exit = partial(self.network.refuse_connections, worker.id)
        self.store.store.put(f"servers/{worker.id}", entry)

    def withdraw(self, worker: Worker) -> None:
        """Remove a worker's entry from the store."""
        self.store.store.delete(f"servers/{worker.id}")

    def evacuate(self, zone: str) -> None:
        """Evacuate an availability zone, as an operator does."""
        self.store.store.put(f"op/evacuate/{zone}", {})

    def take_back(self, zone: str) -> None:
        """End the evacuation of a zone."""
        self.store.store.delete(f"op/evacuate/{zone}")

    def add_worker(self, worker: Worker) -> None:
        """Add a started worker and write its entry to the store."""
        self.workers.append(worker)
        self.publish(worker)

    def front(self, router: LocalRouter) -> tuple[str, int]:
        """Return the address to which callers of a router connect."""
        address = self._relay("callers", router.name, "{}:{}".format(*router.front))
        host, _, port = address.rpartition(":")
        return host, int(port)

    def _store_for(self, number: int) -> str:
        return self._relay(f"r{number}", "store", self.store.address)

    def _relay(self, source: str, target: str, address: str) -> str:
        """Return the address at which ``source`` reaches ``target``, of a relay if there is one."""
        if self.network is None:
            return address
        link = (source, target, address)
        if link not in self._relayed_addresses:
            host, _, port = address.rpartition(":")
            relay_port = self.network.add_link(source, target, int(port), host)
            self._relayed_addresses[link] = f"127.0.0.1:{relay_port}"
        return self._relayed_addresses[link]

    def of_service(self, service: str) -> list[Worker]:
        """Return the workers of a service."""
        return [worker for worker in self.workers if worker.service == service]

    def stop(self) -> None:
        """Stop routers, workers, store and network."""
        for router in self.routers:
            router.stop()
        for worker in self.workers:
            worker.stop()
        self.store.stop()
        if self.network is not None:
            self.network.close()
