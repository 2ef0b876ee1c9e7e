"""Starting a small fleet of real processes on loopback: stand-ins and routers.

This is what ``turmerictray demo`` and the process tests run on. The router daemon itself never
starts a process; only this launcher does, as an operator's shell would.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import urllib3

_READY_TIMEOUT_S = 20.0


def free_port() -> int:
    """A TCP port on 127.0.0.1 that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


@dataclass
class Proc:
    """A started process and what it serves."""

    name: str
    kind: str
    url: str
    popen: subprocess.Popen
    settings: Path
    log: Path


@dataclass
class FleetSpec:
    """What to start.

    Attributes
    ----------
    engines : int
        Model engine stand-ins.
    engine_slots : int
    tokens_per_s : float
        Decode rate of one engine slot.
    services : int
        Plain service stand-ins.
    routers : int
    zones : list of str
        Zones, given to routers and targets in turn.
    teams : dict of str to float
        Team to weight.
    limits : dict
        Overrides of the configuration's ``limits``.
    check_fencing : bool
    instance_lag_s : float
    """

    engines: int = 2
    engine_slots: int = 4
    tokens_per_s: float = 200.0
    services: int = 1
    routers: int = 2
    zones: list[str] = field(default_factory=lambda: ["tema-hall", "kaneshie", "madina"])
    teams: dict[str, float] = field(default_factory=lambda: {"depot": 1.0, "riders": 1.0})
    limits: dict = field(default_factory=dict)
    check_fencing: bool = True
    instance_lag_s: float = 0.5
    load_lag_s: float = 0.3


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

    # -- building -------------------------------------------------------------------------

    def _zone(self, idx: int) -> str:
        return self.spec.zones[idx % len(self.spec.zones)]

    def _write(self, name: str, doc: dict) -> Path:
        path = self.dir / f"{name}.json"
        path.write_text(json.dumps(doc, indent=2))
        return path

    def build_config(self, engine_urls: dict[str, str], service_urls: dict[str, str]) -> dict:
        """The configuration text for the started targets."""
        s = self.spec
        engines = [
            {
                "id": eid,
                "url": url,
                "zone": self._zone(i),
                "slots": s.engine_slots,
                "fencing": s.check_fencing,
            }
            for i, (eid, url) in enumerate(engine_urls.items())
        ]
        services = [{"name": "llm", "kind": "model", "models": ["stand-in"], "targets": engines}]
        if service_urls:
            services.append(
                {
                    "name": "orders",
                    "kind": "plain",
                    "idempotent": False,
                    "depends_on": ["llm"],
                    "targets": [
                        {"id": sid, "url": url, "zone": self._zone(i), "slots": 16}
                        for i, (sid, url) in enumerate(service_urls.items())
                    ],
                }
            )
        limits = {"queue_timeout_s": 30.0, "retry_after_s": 1.0, **s.limits}
        return {
            "version": 1,
            "services": services,
            "teams": [{"id": t, "weight": w} for t, w in s.teams.items()],
            "limits": limits,
        }

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
                    "zone": self._zone(i),
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
                    "zone": self._zone(i),
                    "log_file": str(self.dir / f"{sid}.log"),
                },
            )
            service_urls[sid] = f"http://127.0.0.1:{port}"
        self.config = self.build_config(engine_urls, service_urls)
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
                "lag_s": s.instance_lag_s,
                "log_file": str(self.dir / "instances.log"),
            },
        )
        peer_ports = [free_port() for _ in range(s.routers)]
        for i in range(s.routers):
            self.start_router(i, peer_ports)
        for proc in self.procs.values():
            self.wait_ready(proc)

    def start_router(self, idx: int, peer_ports: list[int] | None = None) -> Proc:
        """Start (or restart, with the same ports) router ``idx``."""
        name = f"router-{idx}"
        old = self.procs.get(name)
        if old is not None:
            doc = json.loads(old.settings.read_text())
            port = doc["listen"]["port"]
        else:
            port = free_port()
            peers = [f"tcp://127.0.0.1:{p}" for j, p in enumerate(peer_ports) if j != idx]
            doc = {
                "node": name,
                "zone": self._zone(idx),
                "listen": {"port": port},
                "peer_listen": f"tcp://127.0.0.1:{peer_ports[idx]}",
                "peers": peers,
                "config_url": self.procs["config"].url,
                "instances_url": self.procs["instances"].url,
                "log_file": str(self.dir / f"{name}.log"),
                "assertions": True,
                "drain_timeout_s": 20.0,
            }
        proc = self._spawn(name, "router", port, doc)
        return proc

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
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            if proc.popen.poll() is not None:
                raise RuntimeError(
                    f"{proc.name} exited {proc.popen.returncode}: "
                    f"{proc.log.read_text()[-2000:]}"
                )
            try:
                resp = self.http.request("GET", proc.url + path, timeout=1.0)
                if resp.status == 200 and (proc.kind != "router" or json.loads(resp.data)["ready"]):
                    return
            except urllib3.exceptions.HTTPError:
                pass
            time.sleep(0.05)
        raise RuntimeError(f"{proc.name} not ready after {timeout}s")

    def signal(self, name: str, signum: int) -> None:
        """Send ``signum`` to process ``name``."""
        self.procs[name].popen.send_signal(signum)

    def stop(self) -> None:
        """SIGTERM everything, then SIGKILL what is left after a few seconds."""
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
