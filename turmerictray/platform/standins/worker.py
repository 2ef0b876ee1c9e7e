"""A stand-in of a worker: a model engine or a plain service, with the faults that workers have."""

import json
import socket
import struct
import threading
import time
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from enum import Enum

from turmerictray.platform.standins.http import BackgroundServer, QuietHandler

DEADLY = b"deadly"
"""A request whose body holds this ends each worker that begins to run it."""

_HANG_S = 30.0
_CLOSE_LOOK_S = 0.02


class WorkerFault(Enum):
    """What goes wrong with one request."""

    NONE = "none"
    SHED = "shed"
    ERROR = "error"
    BUSY_BUT_RAN = "busy_but_ran"
    RESET_UNSENT = "reset_unsent"
    RESET_AFTER_RUN = "reset_after_run"
    HANG = "hang"
    TRUNCATED = "truncated"
    OTHER_ID = "other_id"
    UNSIGNED = "unsigned"
    EXTRA_ANSWER = "extra_answer"
    NO_LENGTH = "no_length"
    BROKEN_STREAM = "broken_stream"
    SILENT_STREAM = "silent_stream"


@dataclass
class Seen:
    """A request that reached the worker."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    ran: bool = False
    left_early: bool = False
    at: float = field(default_factory=time.monotonic)


@dataclass
class WorkerPlan:
    """How a worker behaves; may be changed while it runs.

    Attributes
    ----------
    work_s : float
        Time that a plain request takes.
    events : int
        Events of a stream.
    pause_s : float
        Time between two of them.
    read_per_s : float
        Prompt tokens read in a second, one prompt after the other in order of arrival.
    memory_tokens : int
        Kept parts; the least recently used one yields.
    """

    work_s: float = 0.0
    events: int = 5
    pause_s: float = 0.01
    read_per_s: float = 1e6
    memory_tokens: int = 1_000_000
    slots: int = 8
    keep_alive_s: int | None = None
    faults: deque[WorkerFault] = field(default_factory=deque)


class Worker:
    """One worker on loopback.

    Parameters
    ----------
    worker_id : str
        The incarnation's id.
    service : str
    """

    def __init__(self, worker_id: str, service: str, host: str = "127.0.0.1", port: int = 0):
        self.id = worker_id
        self.service = service
        self.born = time.time_ns() // 1_000_000
        self.plan = WorkerPlan()
        self.seen: list[Seen] = []
        self.connections = 0
        self.read_tokens = 0
        self.listed = 0
        self.closing = threading.Event()
        self.crashed = threading.Event()
        self._kept: OrderedDict[str, int] = OrderedDict()
        self._engine = threading.Lock()
        self._server = BackgroundServer(_Handler, self, host, port)

    @property
    def address(self) -> str:
        """``host:port``."""
        return self._server.address

    def entry(self, zone: str, state: str = "ready") -> dict:
        """The worker's entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": zone,
            "version": "v1",
            "slots": self.plan.slots,
            "state": state,
            "sequence": 1,
            "cold_left_ms": 0,
            "born": self.born,
        }

    def start(self) -> "Worker":
        """Serve on a background thread."""
        self._server.start()
        return self

    def stop(self) -> None:
        """Stop serving."""
        self.closing.set()
        self._server.stop()

    def crash(self) -> None:
        """End at once: all connections are reset and new ones are refused."""
        if not self.crashed.is_set():
            self.crashed.set()
            self._server.abort()

    def runs(self) -> list[Seen]:
        """Requests that ran."""
        return [seen for seen in self.seen if seen.ran]

    def read_prompt(self, header: str) -> None:
        """Read what is not kept of a prompt; requests before this one are read first."""
        with self._engine:
            tokens = self._missing(header)
            self.read_tokens += tokens
            time.sleep(tokens / self.plan.read_per_s)

    def listing(self) -> bytes:
        """What the worker keeps, as an answer to a router that asks."""
        with self._engine:
            held = [["", part, tokens, "m"] for part, tokens in self._kept.items()]
        self.listed += 1
        return json.dumps({"epoch": 1, "next": 1, "held": held, "born": self.born}).encode()

    def _missing(self, header: str) -> int:
        tokens = 0
        for part in filter(None, header.split(",")):
            name, _, count = part.strip().partition(":")
            if tokens or name not in self._kept:
                tokens += int(count)
            self._kept[name] = int(count)
            self._kept.move_to_end(name)
        while sum(self._kept.values()) > self.plan.memory_tokens:
            self._kept.popitem(last=False)
        return tokens


class _Handler(QuietHandler):
    disable_nagle_algorithm = True

    @property
    def worker(self) -> Worker:
        return self.server.owner

    def setup(self) -> None:
        super().setup()
        self.worker.connections += 1

    def do_GET(self) -> None:  # noqa: N802 - the standard library's name
        self._handle()

    do_POST = do_PUT = do_DELETE = do_GET  # noqa: N815

    def _handle(self) -> None:
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        headers = {name.title(): val for name, val in self.headers.items()}
        if self.path == "/api/kv-list":
            self._answer(200, self.worker.listing(), signed=False)
            return
        seen = Seen(self.command, self.path, headers, body)
        self.worker.seen.append(seen)
        expected = headers.get("X-Expect-Instance")
        if expected is not None and expected != self.worker.id:
            self._answer(421, b"", [("X-Instance-Id", self.worker.id)], signed=False)
            return
        faults = self.worker.plan.faults
        self._run(seen, faults.popleft() if faults else WorkerFault.NONE)

    def _run(self, seen: Seen, fault: WorkerFault) -> None:
        if fault is WorkerFault.RESET_UNSENT:
            self._reset()
            return
        if fault is WorkerFault.SHED:
            self._answer(503, b"full", [("X-Not-Executed", "1")], signed=False)
            return
        seen.ran = True
        if DEADLY in seen.body:
            self.worker.crash()
        elif fault is WorkerFault.HANG:
            seen.left_early = self._wait_for_close(_HANG_S)
            self.close_connection = True
        elif fault is WorkerFault.RESET_AFTER_RUN:
            self._reset()
        elif "X-Token-Count" in seen.headers and fault is not WorkerFault.ERROR:
            self.worker.read_prompt(seen.headers.get("X-Prompt-Prefix", ""))
            self._stream(seen, fault)
        else:
            time.sleep(self.worker.plan.work_s)
            self._plain(seen, fault)

    def _plain(self, seen: Seen, fault: WorkerFault) -> None:
        body = f"{seen.method} {seen.target} {len(seen.body)}".encode()
        if fault is WorkerFault.ERROR:
            self._answer(500, b"failed")
        elif fault is WorkerFault.BUSY_BUT_RAN:
            self._answer(503, b"busy")
        elif fault is WorkerFault.OTHER_ID:
            self._answer(200, body, request_id="0" * 16)
        elif fault is WorkerFault.UNSIGNED:
            self._answer(200, body, signed=False)
        elif fault is WorkerFault.TRUNCATED:
            self._head(200, [("Content-Length", str(len(body) + 100))])
            self.wfile.write(body)
            self.close_connection = True
        elif fault is WorkerFault.NO_LENGTH:
            self._head(200, [("Connection", "close")])
            self.wfile.write(body)
            self.close_connection = True
        else:
            self._answer(200, body)
        if fault is WorkerFault.EXTRA_ANSWER:
            self._answer(200, b"extra", request_id="f" * 16)

    def _stream(self, seen: Seen, fault: WorkerFault) -> None:
        self._head(200, [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")])
        first = int(seen.headers.get("Last-Event-Id", 0)) + 1
        for number in range(first, self.worker.plan.events + 1):
            event = f"id: {number}\ndata: piece-{number}\n\n".encode()
            if fault is not WorkerFault.NONE and number == first + 2:
                self._break_stream(seen, fault, event)
                return
            if self._wait_for_close(self.worker.plan.pause_s):
                seen.left_early = True
                self.close_connection = True
                return
            self._chunk(event)
        self._chunk(b"")

    def _break_stream(self, seen: Seen, fault: WorkerFault, event: bytes) -> None:
        self._chunk(event[: len(event) // 2])
        if fault is WorkerFault.SILENT_STREAM:
            seen.left_early = self._wait_for_close(_HANG_S)
        self._reset()

    def _chunk(self, data: bytes) -> None:
        self.wfile.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    def _wait_for_close(self, seconds: float) -> bool:
        """Wait; true as soon as the other side closes the connection."""
        until = time.monotonic() + seconds
        self.connection.settimeout(_CLOSE_LOOK_S)
        try:
            while time.monotonic() < until and not self.worker.closing.is_set():
                try:
                    if not self.connection.recv(1, socket.MSG_PEEK):
                        return True
                except TimeoutError:
                    continue
                time.sleep(_CLOSE_LOOK_S)
            return False
        except OSError:
            return True
        finally:
            self.connection.settimeout(None)

    def _reset(self) -> None:
        linger = struct.pack("ii", 1, 0)
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.connection.close()
        self.close_connection = True

    def _answer(self, status: int, body: bytes, extra=(), signed=True, request_id=None) -> None:
        headers = [("Content-Length", str(len(body))), *extra]
        self._head(status, headers, signed, request_id)
        self.wfile.write(body)

    def _head(self, status: int, headers, signed: bool = True, request_id=None) -> None:
        self.send_response(status)
        own = self.headers.get("X-Request-Id")
        self.send_header("X-Request-Id", request_id or own or "-")
        if signed:
            self.send_header("X-Server-Seal", f"seal.{self.worker.id}")
        if self.worker.plan.keep_alive_s is not None:
            self.send_header("Keep-Alive", f"timeout={self.worker.plan.keep_alive_s}")
        for name, value in headers:
            self.send_header(name, value)
        self.end_headers()
