"""Starting a small fleet of real processes on loopback: stand-ins and routers.

This is what ``turmerictray demo`` and the process tests run on. The router daemon itself never
starts a process; only this launcher does, as an operator's shell would.
"""

import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import urllib3

from turmerictray.loadtool.fleet_spec import FleetSpec
from turmerictray.loadtool.relay import Network

_READY_TIMEOUT_S = 20.0
_PORTS = (10240, 32768)
_handed_out: set[int] = set()


def free_port() -> int:
    """A TCP port on 127.0.0.1 that is free now and was not handed out before.

    Ports come from below the range the system gives to outgoing connections (32768 and up on
    Linux). Taken from that range, a port could go to one of a load's many connections before the
    process it was meant for had started, which then failed with "address already in use".
    """
    while True:
        port = random.randrange(*_PORTS)
        if port in _handed_out:
            continue
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        _handed_out.add(port)
        return port


def _nng(port: int) -> str:
    return f"tcp://127.0.0.1:{port}"


def _ready(status: dict) -> bool:
    return status["ready"]


def _vouching(status: dict) -> bool:
    return status["orders"]["vouching"]


@dataclass
class Proc:
    """A started process and what it serves."""

    name: str
    kind: str
    url: str
    popen: subprocess.Popen
    settings: Path
    log: Path


@dataclass(frozen=True)
class RouterPorts:
    """The ports one router listens on."""

    http: int
    heartbeat: int
    claims: int


class LocalFleet:
    """Starts, finds and stops the processes of one :class:`FleetSpec`.

    Parameters
    ----------
    spec : FleetSpec
    workdir : str or None
        Where settings and logs go; a new temporary folder by default.
    """

    def __init__(self, spec: FleetSpec, workdir: str | None = None) -> None:
        self.spec = spec
        self.dir = Path(workdir or tempfile.mkdtemp(prefix="turmerictray-"))
        self.dir.mkdir(parents=True, exist_ok=True)
        self.procs: dict[str, Proc] = {}
        self.http = urllib3.PoolManager(retries=False)
        self.config: dict = {}
        self.network: Network | None = Network() if spec.cuttable else None

    # -- building -------------------------------------------------------------------------

    def _write(self, name: str, doc: dict) -> Path:
        path = self.dir / f"{name}.json"
        path.write_text(json.dumps(doc, indent=2))
        return path

    # -- life cycle -----------------------------------------------------------------------

    def start(self) -> "LocalFleet":
        """Start everything and wait until each process answers."""
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
        s = self.spec
        engine_urls, service_urls = {}, {}
        for i in range(s.engines):
            eid = f"engine-{i}"
            port = free_port()
            self._spawn(
                eid,
                "engine",
                port,
                {
                    "id": eid,
                    "listen": {"port": port},
                    "zone": self.spec.zone(i),
                    "slots": s.engine_slots,
                    "tokens_per_s": s.tokens_per_s,
                    "load_lag_s": s.load_lag_s,
                    "check_fencing": s.check_fencing,
                    "log_file": str(self.dir / f"{eid}.log"),
                },
            )
            engine_urls[eid] = f"http://127.0.0.1:{port}"
        for i in range(s.services):
            sid = f"orders-{i}"
            port = free_port()
            self._spawn(
                sid,
                "service",
                port,
                {
                    "id": sid,
                    "listen": {"port": port},
                    "zone": self.spec.zone(i),
                    "log_file": str(self.dir / f"{sid}.log"),
                },
            )
            service_urls[sid] = f"http://127.0.0.1:{port}"
        self.config = s.config_text(engine_urls, service_urls)

    def _start_platform(self) -> None:
        initial = self._write("config-text", self.config)
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
        """Start process ``name`` again with the settings it had."""
        old = self.procs[name]
        doc = json.loads(old.settings.read_text())
        return self._spawn(name, old.kind, doc["listen"]["port"], doc)

    def _router_settings(self, idx: int, ports: list[RouterPorts]) -> dict:
        s = self.spec
        name = f"router-{idx}"
        return {
            "node": name,
            "zone": self.spec.zone(idx),
            "listen": {"port": ports[idx].http},
            "peer_listen": _nng(ports[idx].heartbeat),
            "claims_listen": _nng(ports[idx].claims),
            "peers": [
                {
                    "node": f"router-{j}",
                    "zone": self.spec.zone(j),
                    "heartbeat": _nng(self._reach(name, f"router-{j}", ports[j].heartbeat)),
                    "claims": _nng(self._reach(name, f"router-{j}", ports[j].claims)),
                }
                for j in range(len(ports))
                if j != idx
            ],
            "config_url": self._platform_url(name, "config"),
            "instances_url": self._platform_url(name, "instances"),
            "log_file": str(self.dir / f"{name}.log"),
            "assertions": True,
            "threads": s.router_threads,
            "drain_timeout_s": 20.0,
        }

    def _reach(self, source: str, target: str, port: int) -> int:
        return port if self.network is None else self.network.add(source, target, port)

    def _platform_url(self, router: str, name: str) -> str:
        port = int(self.procs[name].url.rsplit(":", 1)[1])
        return f"http://127.0.0.1:{self._reach(router, name, port)}"

    def _spawn(self, name: str, kind: str, port: int, settings: dict) -> Proc:
        path = self._write(name, settings)
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
        """Wait until ``proc`` answers HTTP (routers: until a configuration is in force)."""
        path = {
            "router": "/status",
            "engine": "/load",
            "service": "/admin/stats",
            "config": "/admin/stats",
            "instances": "/instances",
        }[proc.kind]
        self._wait(proc, path, _ready if proc.kind == "router" else None, timeout)

    def wait_vouching(self, proc: Proc, timeout: float = _READY_TIMEOUT_S) -> None:
        """Wait until router ``proc`` vouches for the key of every order."""
        self._wait(proc, "/status", _vouching, timeout)

    def _wait(
        self, proc: Proc, path: str, test: Callable[[dict], bool] | None, timeout: float
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
                if resp.status == 200 and (test is None or test(json.loads(resp.data))):
                    return
            except urllib3.exceptions.HTTPError:
                pass
            time.sleep(0.05)
        raise RuntimeError(f"{proc.name} not ready after {timeout}s")

    def signal(self, name: str, signum: int) -> None:
        """Send ``signum`` to process ``name``."""
        self.procs[name].popen.send_signal(signum)

    def kill(self, name: str) -> None:
        """Kill process ``name`` without warning and wait until it is gone."""
        self.signal(name, signal.SIGKILL)
        self.procs[name].popen.wait(10)

    def cut(self, names: set[str], others: set[str]) -> None:
        """Cut ``names`` (routers) off from ``others`` (routers, ``config``, ``instances``)."""
        self.network.cut(names, others)

    def heal(self) -> None:
        """End every cut."""
        self.network.heal()

    def stop(self) -> None:
        """SIGTERM everything, then SIGKILL what is left after a few seconds."""
        if self.network is not None:
            self.network.heal()
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
        """The router processes, in order."""
        return [p for n, p in sorted(self.procs.items()) if p.kind == "router"]

    def engines(self) -> list[Proc]:
        """The engine processes, in order."""
        return [p for n, p in sorted(self.procs.items()) if p.kind == "engine"]

    def get_json(self, name: str, path: str) -> dict:
        """GET ``path`` of process ``name`` as JSON."""
        resp = self.http.request("GET", self.procs[name].url + path, timeout=5.0)
        return json.loads(resp.data)

    def post_json(self, name: str, path: str, doc: object) -> dict:
        """POST JSON to ``path`` of process ``name``."""
        resp = self.http.request(
            "POST",
            self.procs[name].url + path,
            body=json.dumps(doc),
            headers={"Content-Type": "application/json"},
            timeout=5.0,
        )
        return json.loads(resp.data) if resp.data else {}

    def logs(self) -> list[Path]:
        """Every process's log file."""
        return sorted(self.dir.glob("*.log"))
