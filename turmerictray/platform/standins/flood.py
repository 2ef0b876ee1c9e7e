"""A flood of one team's requests at one router, with outcomes and the router's processor time.

Requests arrive at a fixed rate regardless of the answers (open loop), each on a new connection, as
from a team whose load balancer sends all requests to one router. The callers run in a separate
process,
``python -m turmerictray.platform.standins.flood HOST PORT RATE SECONDS``.
"""

import os
import select
import socket
import subprocess
import sys
import time
import zlib
from collections import Counter
from pathlib import Path

import msgspec

from turmerictray.platform.standins.caller import make_request
from turmerictray.platform.standins.local import LocalDeployment

_ANSWER_TIMEOUT_S = 8.0
_POLL_S = 0.002
_READ_BYTES = 65536
_LAST_CHUNK = b"0\r\n\r\n"
_OK = 200

_SHARED_PARTS = 200
"""Number of different prompt parts that the requests share; more than an engine caches."""

_SHARED_TOKENS = 13_300
_UNIQUE_TOKENS = 10_700
_PREFILL_TOKENS_PER_S = 60_000.0


class FloodReport(msgspec.Struct):
    """Result of a flood.

    Attributes
    ----------
    sent : int
        Number of requests.
    outcomes : dict of str to int
        Number of requests by outcome: the status, or ``closed``, ``reset`` or ``unanswered``.
    refused_s : list of float
        Time until each refusal (status 429 or 503), sorted.
    cpu_s : float
        Processor time that the router used.
    switches : int
        Voluntary context switches of the router's threads.
    threads, descriptors : int
        Threads and open file descriptors of the router at the end.
    memory_mb : float
        Resident memory of the router at the end, in MiB.
    """

    sent: int
    outcomes: dict[str, int]
    refused_s: list[float]
    cpu_s: float = 0.0
    switches: int = 0
    threads: int = 0
    descriptors: int = 0
    memory_mb: float = 0.0

    def refusal_time_s(self, fraction: float) -> float:
        """Return the time within which this fraction of the refusals arrived (a quantile)."""
        return self.refused_s[int(fraction * (len(self.refused_s) - 1))] if self.refused_s else 0.0


class _Caller:
    """One request on a new connection."""

    def __init__(self, address: tuple[str, int], request_id: str) -> None:
        self.request_id = request_id
        self.started_at = time.monotonic()
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self._data = _encode_prompt_request(request_id)
        self._answer = b""
        self.sock.connect_ex(address)

    def send(self) -> None:
        """Send the request; call when the connection is established."""
        self.sock.send(self._data)

    def read(self) -> str:
        """Read available bytes; return the outcome, or an empty string while it is not known."""
        data = self.sock.recv(_READ_BYTES)
        self._answer += data
        status = self._answer[9:12].decode("latin-1")
        if not data:
            return "closed"
        is_streaming = status == str(_OK) and not self._answer.endswith(_LAST_CHUNK)
        return "" if is_streaming else status


class Flood:
    """Sends requests at a fixed rate.

    Parameters
    ----------
    address : tuple of str and int
        Host and port of the router.
    rate : float
        Requests per second.
    seconds : float
    name : str
        Prefix of the request ids.

    Attributes
    ----------
    outcome_by_id : dict of str to str
        Outcome of each finished request, as in :class:`FloodReport`, by request id.
    """

    def __init__(
        self, address: tuple[str, int], rate: float, seconds: float, name: str = "flood"
    ) -> None:
        self.outcome_by_id: dict[str, str] = {}
        self._address = address
        self._rate = rate
        self._requests = [f"{name}{number}" for number in range(int(rate * seconds))]
        self._open: dict[int, _Caller] = {}
        self._poll = select.epoll()
        self._outcomes: Counter[str] = Counter()
        self._refused_s: list[float] = []

    def run(self) -> FloodReport:
        """Send all requests and wait for their answers."""
        started_at, sent = time.monotonic(), 0
        while sent < len(self._requests) or self._open:
            due = int((time.monotonic() - started_at) * self._rate) + 1
            for request_id in self._requests[sent:due]:
                self._connect(request_id)
            sent = min(len(self._requests), max(sent, due))
            for fd, mask in self._poll.poll(_POLL_S):
                self._handle_event(fd, mask)
            self._expire_callers()
        return FloodReport(sent, dict(self._outcomes), sorted(self._refused_s))

    def _connect(self, request_id: str) -> None:
        caller = _Caller(self._address, request_id)
        self._open[caller.sock.fileno()] = caller
        self._poll.register(caller.sock, select.EPOLLOUT)

    def _handle_event(self, fd: int, mask: int) -> None:
        caller = self._open[fd]
        try:
            if mask & select.EPOLLOUT:
                caller.send()
                self._poll.modify(fd, select.EPOLLIN)
                return
            outcome = caller.read()
        except OSError:
            outcome = "reset"
        if outcome:
            self._finish(fd, outcome)

    def _finish(self, fd: int, outcome: str) -> None:
        caller = self._open.pop(fd)
        self._poll.unregister(fd)
        caller.sock.close()
        self._outcomes[outcome] += 1
        self.outcome_by_id[caller.request_id] = outcome
        if outcome in ("429", "503"):
            self._refused_s.append(time.monotonic() - caller.started_at)

    def _expire_callers(self) -> None:
        horizon = time.monotonic() - _ANSWER_TIMEOUT_S
        for fd in [fd for fd, caller in self._open.items() if caller.started_at < horizon]:
            self._finish(fd, "unanswered")


def _encode_prompt_request(request_id: str) -> bytes:
    shared = zlib.crc32(request_id.encode()) % _SHARED_PARTS
    parts = f"{shared:x}a:{_SHARED_TOKENS},{request_id}b:{_UNIQUE_TOKENS}"
    return make_request(
        "POST",
        f"/recon/{request_id}",
        b"crates",
        X_Request_Id=request_id,
        X_Model="m",
        X_Token_Count=f"{_SHARED_TOKENS + _UNIQUE_TOKENS},40",
        X_Prompt_Prefix=parts,
    )


def flood_one_router(folder: Path, rate: float, seconds: float) -> FloodReport:
    """Flood a router whose service has one engine, far beyond the engine's capacity.

    Parameters
    ----------
    folder : Path
        Folder for settings and logs.
    rate : float
        Requests per second.
    seconds : float
    """
    deployment = LocalDeployment(folder, engines=1)
    for worker in deployment.of_service("llm"):
        worker.behaviour.read_tokens_per_s = _PREFILL_TOKENS_PER_S
    try:
        deployment.start()
        router = deployment.routers[0]
        cpu_s_before, switches_before = _cpu_s(router.pid), _voluntary_switches(router.pid)
        report = _run_in_subprocess(router.front, rate, seconds)
        report.cpu_s = _cpu_s(router.pid) - cpu_s_before
        report.switches = _voluntary_switches(router.pid) - switches_before
        _add_resource_usage(report, Path(f"/proc/{router.pid}"))
        return report
    finally:
        deployment.stop()


def _run_in_subprocess(address: tuple[str, int], rate: float, seconds: float) -> FloodReport:
    host, port = address
    args = [sys.executable, "-m", __name__, host, str(port), str(rate), str(seconds)]
    completed = subprocess.run(args, capture_output=True, check=True)
    return msgspec.json.decode(completed.stdout, type=FloodReport)


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _voluntary_switches(pid: int) -> int:
    total = 0
    for status in Path(f"/proc/{pid}/task").glob("*/status"):
        lines = status.read_text().splitlines()
        total += sum(int(line.split()[1]) for line in lines if line.startswith("voluntary"))
    return total


def _add_resource_usage(report: FloodReport, proc: Path) -> None:
    lines = dict(line.split(":", 1) for line in (proc / "status").read_text().splitlines())
    report.threads = int(lines["Threads"])
    report.memory_mb = int(lines["VmRSS"].split()[0]) / 1024
    report.descriptors = len(list((proc / "fd").iterdir()))


def format_flood(report: FloodReport) -> str:
    """Format a report as a few lines of text."""
    outcomes = ", ".join(f"{count} {name}" for name, count in sorted(report.outcomes.items()))
    cost_ms = 1000 * report.cpu_s / max(1, report.sent)
    return "\n".join(
        [
            f"{report.sent} requests: {outcomes}",
            f"refused within {report.refusal_time_s(0.5):.3f} s (median), "
            f"{report.refusal_time_s(0.9):.3f} s (90th percentile)",
            f"router: {report.cpu_s:.2f} s of processor time, {cost_ms:.2f} ms per request; "
            f"{report.switches / max(1, report.sent):.1f} voluntary context switches per request",
            f"at the end: {report.threads} threads, {report.descriptors} file descriptors, "
            f"{report.memory_mb:.0f} MB",
        ]
    )


def main() -> None:
    """Run a flood and write its report as JSON to standard output."""
    host, port, rate, seconds = sys.argv[1:]
    report = Flood((host, int(port)), float(rate), float(seconds)).run()
    sys.stdout.buffer.write(msgspec.json.encode(report))


if __name__ == "__main__":
    main()
