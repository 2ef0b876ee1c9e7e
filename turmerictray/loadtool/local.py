"""Launcher of a small fleet of real processes on loopback: routers and stand-ins.

``turmerictray demo`` and the process tests use it. The router daemon itself never starts
processes; this launcher does, in the place of an operator's shell.
"""

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import urllib3

from turmerictray.loadtool.fleet_spec import FleetSpec
from turmerictray.loadtool.ports import free_port
from turmerictray.loadtool.relay import Network

_READY_TIMEOUT_S = 20.0


def _nng_url(port: int) -> str:
    return f"tcp://127.0.0.1:{port}"


def _is_ready(status: dict) -> bool:
    return status["ready"]


def _is_vouching(status: dict) -> bool:
    return status["orders"]["vouching"]


@dataclass
class Proc:
    """A started process, its URL and its files."""

    name: str
    kind: str
    url: str
    popen: subprocess.Popen
    settings: Path
    log: Path


@dataclass(frozen=True)
class RouterPorts:
    """Listening ports of one router."""

    http: int
    heartbeat: int
    claims: int


class LocalFleet:
    """The running processes of one :class:`FleetSpec`.

    Parameters
    ----------
    spec : FleetSpec
    workdir : str or None
        Folder of settings and logs; a new temporary one by default.
    """

    def __init__(self, spec: FleetSpec, workdir: str | None = None) -> None:
        self.spec = spec
        self.dir = Path(workdir or tempfile.mkdtemp(prefix="turmerictray-"))
        self.dir.mkdir(parents=True, exist_ok=True)
        self.procs: dict[str, Proc] = {}
        self.http = urllib3.PoolManager(retries=False)
        self.config: dict = {}
        self.network: Network | None = Network() if spec.partitionable else None

    # -- settings -------------------------------------------------------------------------

    def _write_settings(self, name: str, doc: dict) -> Path:
        path = self.dir / f"{name}.json"
        path.write_text(json.dumps(doc, indent=2))
        return path

    # -- life cycle -----------------------------------------------------------------------

    def start(self) -> "LocalFleet":
        """Start all processes and wait until each one answers."""
        try:
            self._start_all()
        except BaseException:
            self.stop()
            raise
        return self

    def _start_all(self) -> None:
        self._start_targets()
        self._start_platform()
        self._start_routers()
        for proc in self.procs.values():
            self.wait_ready(proc)

    def _start_targets(self) -> None:
        spec = self.spec
        engine_urls, service_urls = {}, {}
        for i in range(spec.engines):
            engine_id = f"engine-{i}"
            port = free_port()
            self._spawn(
                engine_id,
                "engine",
                port,
                {
                    "id": engine_id,
                    "listen": {"port": port},
                    "zone": self.spec.zone(i),
                    "slots": spec.engine_slots,
                    "tokens_per_s": spec.tokens_per_s,
                    "load_lag_s": spec.load_lag_s,
                    "check_fencing": spec.check_fencing,
                    "log_file": str(self.dir / f"{engine_id}.log"),
                },
            )
            engine_urls[engine_id] = f"http://127.0.0.1:{port}"
        for i in range(spec.services):
            service_id = f"orders-{i}"
            port = free_port()
            self._spawn(
                service_id,
                "service",
                port,
                {
                    "id": service_id,
                    "listen": {"port": port},
                    "zone": self.spec.zone(i),
                    "log_file": str(self.dir / f"{service_id}.log"),
                },
            )
            service_urls[service_id] = f"http://127.0.0.1:{port}"
        self.config = spec.build_config(engine_urls, service_urls)

    def _start_platform(self) -> None:
        initial = self._write_settings("config-text", self.config)
        port = free_port()
        self._spawn(
            "config",
            "config",
            port,
            {
                "listen": {"port": port},
                "initial": str(initial),
                "log_file": str(self.dir / "config.log"),
            },
        )
        port = free_port()
        self._spawn(
            "instances",
            "instances",
            port,
            {
                "listen": {"port": port},
                "lag_s": self.spec.instance_lag_s,
                "log_file": str(self.dir / "instances.log"),
            },
        )

    def _start_routers(self) -> None:
        count = self.spec.routers
        ports = [RouterPorts(free_port(), free_port(), free_port()) for _ in range(count)]
        for i in range(count):
            self._spawn(f"router-{i}", "router", ports[i].http, self._router_settings(i, ports))

    def restart(self, name: str) -> Proc:
        """Start process ``name`` again with the same settings."""
        old = self.procs[name]
        doc = json.loads(old.settings.read_text())
        return self._spawn(name, old.kind, doc["listen"]["port"], doc)

    def _router_settings(self, idx: int, ports: list[RouterPorts]) -> dict:
        spec = self.spec
        name = f"router-{idx}"
        return {
            "node": name,
            "zone": self.spec.zone(idx),
            "listen": {"port": ports[idx].http},
            "peer_listen": _nng_url(ports[idx].heartbeat),
            "claims_listen": _nng_url(ports[idx].claims),
            "peers": [
                {
                    "node": f"router-{j}",
                    "zone": self.spec.zone(j),
                    "heartbeat": _nng_url(
                        self._relayed_port(name, f"router-{j}", ports[j].heartbeat)
                    ),
                    "claims": _nng_url(self._relayed_port(name, f"router-{j}", ports[j].claims)),
                }
                for j in range(len(ports))
                if j != idx
            ],
            "config_url": self._platform_url(name, "config"),
            "instances_url": self._platform_url(name, "instances"),
            "log_file": str(self.dir / f"{name}.log"),
            "assertions": True,
            "threads": spec.router_threads,
            "drain_timeout_s": 20.0,
            **spec.router_settings,
        }

    def _relayed_port(self, source: str, target: str, port: int) -> int:
        return port if self.network is None else self.network.add_link(source, target, port)

    def _platform_url(self, router: str, name: str) -> str:
        port = int(self.procs[name].url.rsplit(":", 1)[1])
        return f"http://127.0.0.1:{self._relayed_port(router, name, port)}"

    def _spawn(self, name: str, kind: str, port: int, settings: dict) -> Proc:
        path = self._write_settings(name, settings)
        args = [sys.executable, "-m", "turmerictray.cli.main"]
        args += ["serve", str(path)] if kind == "router" else ["standin", kind, str(path)]
        log = self.dir / f"{name}.stderr"
        with open(log, "ab") as err:
            popen = subprocess.Popen(
                args,
                stdout=subprocess.DEVNULL,
                stderr=err,
                stdin=subprocess.DEVNULL,
                env={**os.environ},
            )
        proc = Proc(name, kind, f"http://127.0.0.1:{port}", popen, path, log)
        self.procs[name] = proc
        return proc

    def wait_ready(self, proc: Proc, timeout: float = _READY_TIMEOUT_S) -> None:
        """Wait until ``proc`` answers HTTP (routers: until they have an active configuration)."""
        path = {
            "router": "/status",
            "engine": "/load",
            "service": "/admin/stats",
            "config": "/admin/stats",
            "instances": "/instances",
        }[proc.kind]
        self._wait_for_answer(proc, path, _is_ready if proc.kind == "router" else None, timeout)

    def wait_vouching(self, proc: Proc, timeout: float = _READY_TIMEOUT_S) -> None:
        """Wait until router ``proc`` knows for every order key whether it is claimed.

        Its status then reports ``vouching``. A restarted router has lost its claims and reports it
        again once they have expired or its peers have sent it theirs.
        """
        self._wait_for_answer(proc, "/status", _is_vouching, timeout)

    def _wait_for_answer(
        self, proc: Proc, path: str, accepts: Callable[[dict], bool] | None, timeout: float
    ) -> None:
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            if proc.popen.poll() is not None:
                raise RuntimeError(
                    f"{proc.name} exited {proc.popen.returncode}: "
                    f"{proc.log.read_text()[-2000:]}"
                )
            try:
                resp = self.http.request("GET", proc.url + path, timeout=1.0)
                if resp.status == 200 and (accepts is None or accepts(json.loads(resp.data))):
                    return
            except urllib3.exceptions.HTTPError:
                pass
            time.sleep(0.05)
        raise RuntimeError(f"{proc.name} not ready after {timeout}s")

    def signal(self, name: str, signum: int) -> None:
        """Send ``signum`` to process ``name``."""
        self.procs[name].popen.send_signal(signum)

    def kill(self, name: str) -> None:
        """Kill process ``name`` with SIGKILL and wait for its end."""
        self.signal(name, signal.SIGKILL)
        self.procs[name].popen.wait(10)

    def partition(self, names: set[str], remote_names: set[str]) -> None:
        """Partition routers from other processes.

        Parameters
        ----------
        names : set of str
            Routers.
        remote_names : set of str
            Routers, ``config`` or ``instances``.
        """
        self.network.partition(names, remote_names)

    def restore_network(self) -> None:
        """End all partitions."""
        self.network.restore_all()

    def stop(self) -> None:
        """Send SIGTERM to all processes, and SIGKILL to those still running after 10 s."""
        if self.network is not None:
            self.network.restore_all()
        for proc in self.procs.values():
            if proc.popen.poll() is None:
                try:
                    proc.popen.send_signal(signal.SIGCONT)
                    proc.popen.terminate()
                except ProcessLookupError:
                    pass
        deadline = time.monotonic() + 10
        for proc in self.procs.values():
            try:
                proc.popen.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                proc.popen.kill()
                proc.popen.wait()
        if self.network is not None:
            self.network.close()
            self.network = None

    # -- helpers for tests and the load tool ----------------------------------------------

    def routers(self) -> list[Proc]:
        """Return the router processes, sorted by name."""
        return [p for n, p in sorted(self.procs.items()) if p.kind == "router"]

    def engines(self) -> list[Proc]:
        """Return the engine processes, sorted by name."""
        return [p for n, p in sorted(self.procs.items()) if p.kind == "engine"]

    def get_json(self, name: str, path: str) -> dict:
        """Send a GET request for ``path`` to process ``name`` and return the decoded JSON."""
        resp = self.http.request("GET", self.procs[name].url + path, timeout=5.0)
        return json.loads(resp.data)

    def post_json(self, name: str, path: str, doc: object) -> dict:
        """Send ``doc`` as JSON in a POST request to process ``name``; return the decoded answer."""
        resp = self.http.request(
            "POST",
            self.procs[name].url + path,
            body=json.dumps(doc),
            headers={"Content-Type": "application/json"},
            timeout=5.0,
        )
        return json.loads(resp.data) if resp.data else {}

    def logs(self) -> list[Path]:
        """Return the log files of all processes."""
        return sorted(self.dir.glob("*.log"))
