"""A stand-in for a worker, either a model engine or a plain service, with injectable faults."""

import json
import math
import socket
import threading
import time
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from turmerictray.platform.standins.http import BackgroundServer, QuietHandler
from turmerictray.transport.reset import set_reset_on_close

CRASH_MARKER = b"deadly"
"""A request whose body contains this crashes each worker that starts to run it."""

DEFAULT_ZONE = "z1"
DEFAULT_VERSION = "v1"

_HANG_S = 30.0
_CLOSE_POLL_S = 0.02
_CRASH_DELAY_S = 0.25
"""Time from the first event until a worker crashes at ``CrashPoint.AFTER_DELAY``."""


class CrashPoint(Enum):
    """Moment at which a worker crashes under a prompt with a crashing part."""

    BEFORE_HEAD = "before_head"
    AFTER_HEAD = "after_head"
    AFTER_EVENT = "after_event"
    AFTER_DELAY = "after_delay"


class WorkerFault(Enum):
    """A fault of one request.

    ``SHED`` refuses the request with 503 before it runs, ``BUSY_BUT_RAN`` answers 503 after it ran.
    ``OTHER_ID`` answers with the id of another request, ``UNSIGNED`` without the worker's seal,
    ``EXTRA_ANSWER`` sends a second answer, and ``NO_LENGTH`` ends the body by closing the
    connection. ``RESET_UNSENT`` resets the connection before the request runs,
    ``RESET_AFTER_RUN`` after it started to run. ``UNFRAMED_STREAM`` sends a stream with neither a
    length nor chunks, ``UNFRAMED_CUT_STREAM`` also closes the connection within an event of it.
    ``CRASH_WITHIN_ANSWER`` crashes the worker within an answer with neither a length nor chunks; in
    a stream, between two events.
    """

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
    UNFRAMED_STREAM = "unframed_stream"
    UNFRAMED_CUT_STREAM = "unframed_cut_stream"
    CRASH_WITHIN_ANSWER = "crash_within_answer"

    @property
    def is_unframed_stream(self) -> bool:
        """Whether a stream with this fault has neither a length nor chunks."""
        return self in (
            WorkerFault.UNFRAMED_STREAM,
            WorkerFault.UNFRAMED_CUT_STREAM,
            WorkerFault.CRASH_WITHIN_ANSWER,
        )


@dataclass
class ReceivedRequest:
    """A request that reached the worker.

    Attributes
    ----------
    ran : bool
        Whether the worker started to run it.
    client_disconnected : bool
        Whether the router closed the connection before the end of the answer.
    received_at : float
        Monotonic time.
    rest_asked : str or None
        The ``Retry-After`` with which the worker refused it because it was full.
    said_leaving : bool
        Whether the answer says that the worker leaves.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    ran: bool = False
    client_disconnected: bool = False
    received_at: float = field(default_factory=time.monotonic)
    rest_asked: str | None = None
    said_leaving: bool = False


@dataclass
class WorkerBehaviour:
    """How a worker behaves; may be changed while it runs.

    Attributes
    ----------
    service_time_s : float
        Time to run a plain request.
    event_count : int
        Number of events in a stream.
    event_interval_s : float
        Time between two events.
    read_tokens_per_s : float
        Prompt tokens prefilled per second; prompts are prefilled one at a time in order of
        arrival.
    cache_capacity_tokens : int
        Size of the cache of prompt parts; the least recently used part is evicted.
    slots : int
        Concurrent requests that the worker's entry announces.
    cold_crash_per_s : float
        A cold worker crashes when it is sent more requests than this in a second.
    keep_alive_s : int or None
        Idle timeout that answers announce in a ``Keep-Alive`` header; None sends no header.
    breaks_new_streams : bool
        Whether each stream breaks that is not resumed.
    crashing_parts : frozenset of str
        Prompt parts that crash the worker when it begins to answer, unless they come last.
    crash_point : CrashPoint
    is_chunked : bool
        Whether streams are framed in chunks; otherwise the connection ends them.
    faults : deque of WorkerFault
        Faults of the next requests, one each.
    leaving_header : str
        Name of the header with which all answers say that the worker leaves; empty for none.
    is_full_for : callable or None
        Tells whether a request is refused because the worker is full; None for never.
    rest_asked : str or None
        ``Retry-After`` of such a refusal.
    silent_until : float
        The worker sends nothing until this monotonic time.
    silence_after_close_s : float
        How long the worker sends nothing after an answer that the close of its connection ends.
    """

    service_time_s: float = 0.0
    event_count: int = 5
    event_interval_s: float = 0.01
    read_tokens_per_s: float = 1e6
    cache_capacity_tokens: int = 1_000_000
    slots: int = 8
    cold_crash_per_s: float = math.inf
    keep_alive_s: int | None = None
    breaks_new_streams: bool = False
    crashing_parts: frozenset[str] = frozenset()
    crash_point: CrashPoint = CrashPoint.AFTER_HEAD
    is_chunked: bool = True
    faults: deque[WorkerFault] = field(default_factory=deque)
    leaving_header: str = ""
    is_full_for: Callable[[ReceivedRequest], bool] | None = None
    rest_asked: str | None = None
    silent_until: float = 0.0
    silence_after_close_s: float = 0.0


class Worker:
    """A worker on loopback.

    Parameters
    ----------
    worker_id : str
        Id of this incarnation.
    service : str

    Attributes
    ----------
    born : int
        Start time in milliseconds since the epoch.
    zone : str
        Availability zone that its entry announces.
    version : str
        Version of its software, which it writes into each event.
    received_requests : list of ReceivedRequest
    connections : int
        Connections accepted so far.
    read_tokens : int
        Prompt tokens prefilled so far.
    listing_count : int
        Times that a router has listed the cache.
    crashed_at : float or None
        Monotonic time of the crash, if it has crashed.
    before_exit : callable
        Called when the worker crashes, before its connections break.
    crashed_cold : bool
        Whether the worker crashed under too many requests while it was cold.
    """

    def __init__(self, worker_id: str, service: str, host: str = "127.0.0.1", port: int = 0):
        self.id = worker_id
        self.service = service
        self.zone = DEFAULT_ZONE
        self.version = DEFAULT_VERSION
        self.born = time.time_ns() // 1_000_000
        self.behaviour = WorkerBehaviour()
        self.received_requests: list[ReceivedRequest] = []
        self.connections = 0
        self.read_tokens = 0
        self.listing_count = 0
        self.closing = threading.Event()
        self.crashed = threading.Event()
        self.crashed_at: float | None = None
        self.before_exit: Callable[[], None] = lambda: None
        self.crashed_cold = False
        self._cold_until = self._fragile_from = -math.inf
        self._cold_arrivals: deque[float] = deque()
        self._cached_parts: OrderedDict[str, int] = OrderedDict()
        self._prefill_lock = threading.Lock()
        self._server = BackgroundServer(_Handler, self, host, port)

    @property
    def address(self) -> str:
        """``host:port``."""
        return self._server.address

    def entry(self, zone: str = "", state: str = "ready") -> dict:
        """Return the worker's entry for the store, in its own zone if none is given."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": zone or self.zone,
            "version": self.version,
            "slots": self.behaviour.slots,
            "state": state,
            "sequence": 1,
            "cold_left_ms": round(1000 * self.cold_left_s()),
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
        """Stop abruptly: all connections are broken and new ones refused."""
        if not self.crashed.is_set():
            self.crashed_at = time.monotonic()
            self.crashed.set()
            try:
                self.before_exit()
            finally:
                self._server.abort()

    def has_crashing_part(self, header: str) -> bool:
        """Return whether a prompt has a part that crashes this worker."""
        crashing = self.behaviour.crashing_parts
        return bool(crashing) and not crashing.isdisjoint(shared_part_ids(header))

    def become_cold(self, seconds: float, notice_s: float = 0.0) -> None:
        """Become cold, as after a start; the entry has to be written again.

        For the first ``notice_s`` seconds, in which routers read the entry, it does not crash.
        """
        now = time.monotonic()
        self._cold_until, self._fragile_from = now + seconds, now + notice_s

    def cold_left_s(self) -> float:
        """Return for how many more seconds the worker is cold."""
        return max(0.0, self._cold_until - time.monotonic())

    def note_arrival(self) -> None:
        """Crash if a cold worker receives too many requests."""
        if not self.cold_left_s():
            return
        now = time.monotonic()
        if now < self._fragile_from:
            return
        self._cold_arrivals.append(now)
        while self._cold_arrivals[0] <= now - 1:
            self._cold_arrivals.popleft()
        if len(self._cold_arrivals) > self.behaviour.cold_crash_per_s:
            self.crashed_cold = True
            self.crash()

    def fall_silent_after_close(self) -> None:
        """Send nothing for a while, as an answer that a close ends is complete."""
        if self.behaviour.silence_after_close_s:
            silent_until = time.monotonic() + self.behaviour.silence_after_close_s
            self.behaviour.silent_until = silent_until

    def runs(self) -> list[ReceivedRequest]:
        """Return the requests that ran."""
        return [request for request in self.received_requests if request.ran]

    def read_prompt(self, header: str) -> None:
        """Prefill the uncached part of a prompt, after all prompts that arrived before it."""
        with self._prefill_lock:
            tokens = self._cache_prompt(header)
            self.read_tokens += tokens
            time.sleep(tokens / self.behaviour.read_tokens_per_s)

    def encode_listing(self) -> bytes:
        """Encode the list of cached prompt parts, as the answer to a router's request for it."""
        with self._prefill_lock:
            cached = [["", part, tokens, "m"] for part, tokens in self._cached_parts.items()]
        self.listing_count += 1
        return json.dumps({"epoch": 1, "next": 1, "held": cached, "born": self.born}).encode()

    def _cache_prompt(self, header: str) -> int:
        """Add a prompt's parts to the cache; return the number of tokens to prefill."""
        tokens = 0
        for part in filter(None, header.split(",")):
            name, _, count = part.strip().partition(":")
            if tokens or name not in self._cached_parts:
                tokens += int(count)
            self._cached_parts[name] = int(count)
            self._cached_parts.move_to_end(name)
        while sum(self._cached_parts.values()) > self.behaviour.cache_capacity_tokens:
            self._cached_parts.popitem(last=False)
        return tokens


class _Handler(QuietHandler):
    disable_nagle_algorithm = True
    _chunked = True
    _request: ReceivedRequest | None = None

    @property
    def worker(self) -> Worker:
        return self.server.owner

    def setup(self) -> None:
        super().setup()
        self.worker.connections += 1

    def do_GET(self) -> None:  # noqa: N802 - name required by http.server
        self._handle()

    do_POST = do_PUT = do_DELETE = do_GET  # noqa: N815

    def _handle(self) -> None:
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        headers = {name.title(): val for name, val in self.headers.items()}
        self._request = None
        if self.path == "/api/kv-list":
            self._send_answer(200, self.worker.encode_listing(), signed=False)
            return
        if self.path == "/api/report":
            self._send_report(headers)
            return
        request = self._request = ReceivedRequest(self.command, self.path, headers, body)
        self.worker.received_requests.append(request)
        if self._is_misdirected(headers):
            return
        self.worker.note_arrival()
        if self._refuses(request):
            return
        self._run(request, self._next_fault(headers))

    def _is_misdirected(self, headers: dict[str, str]) -> bool:
        """Refuse a request that expects another instance."""
        if headers.get("X-Expect-Instance", self.worker.id) == self.worker.id:
            return False
        self._send_answer(421, b"", [("X-Instance-Id", self.worker.id)], signed=False)
        return True

    def _send_report(self, headers: dict[str, str]) -> None:
        if not self._is_misdirected(headers):
            report = {"stage": "both", "born": self.worker.born}
            self._send_answer(200, json.dumps(report).encode(), signed=False)

    def _refuses(self, request: ReceivedRequest) -> bool:
        """Refuse a request if the worker is full for it."""
        behaviour = self.worker.behaviour
        if behaviour.is_full_for is None or not behaviour.is_full_for(request):
            return False
        extra = [("X-Not-Executed", "1")]
        if behaviour.rest_asked is not None:
            request.rest_asked = behaviour.rest_asked
            extra.append(("Retry-After", behaviour.rest_asked))
        self._send_answer(503, b"full", extra, signed=False)
        return True

    def _wait_while_silent(self) -> None:
        time.sleep(max(0.0, self.worker.behaviour.silent_until - time.monotonic()))

    def _next_fault(self, headers: dict[str, str]) -> WorkerFault:
        behaviour = self.worker.behaviour
        if behaviour.faults:
            return behaviour.faults.popleft()
        breaks = behaviour.breaks_new_streams and "Last-Event-Id" not in headers
        return WorkerFault.BROKEN_STREAM if breaks else WorkerFault.NONE

    def _run(self, request: ReceivedRequest, fault: WorkerFault) -> None:
        if fault is WorkerFault.RESET_UNSENT:
            self._reset()
            return
        if fault is WorkerFault.SHED:
            self._send_answer(503, b"full", [("X-Not-Executed", "1")], signed=False)
            return
        request.ran = True
        if CRASH_MARKER in request.body:
            self.worker.crash()
        elif fault is WorkerFault.HANG:
            request.client_disconnected = self._wait_for_close(_HANG_S)
            self.close_connection = True
        elif fault is WorkerFault.RESET_AFTER_RUN:
            self._reset()
        elif "X-Token-Count" in request.headers and fault is not WorkerFault.ERROR:
            self.worker.read_prompt(request.headers.get("X-Prompt-Prefix", ""))
            self._stream(request, fault)
        else:
            time.sleep(self.worker.behaviour.service_time_s)
            self._answer_plain(request, fault)

    def _answer_plain(self, request: ReceivedRequest, fault: WorkerFault) -> None:
        body = f"{request.method} {request.target} {len(request.body)}".encode()
        if fault is WorkerFault.ERROR:
            self._send_answer(500, b"failed")
        elif fault is WorkerFault.BUSY_BUT_RAN:
            self._send_answer(503, b"busy")
        elif fault is WorkerFault.OTHER_ID:
            self._send_answer(200, body, request_id="0" * 16)
        elif fault is WorkerFault.UNSIGNED:
            self._send_answer(200, body, signed=False)
        elif fault is WorkerFault.TRUNCATED:
            self._send_head(200, [("Content-Length", str(len(body) + 100))])
            self.wfile.write(body)
            self.close_connection = True
        elif fault is WorkerFault.NO_LENGTH:
            self._send_unframed(body)
        elif fault is WorkerFault.CRASH_WITHIN_ANSWER:
            self._send_unframed(body[: len(body) // 2])
            self.worker.crash()
        else:
            self._send_answer(200, body)
        if fault is WorkerFault.EXTRA_ANSWER:
            self._send_answer(200, b"extra", request_id="f" * 16)

    def _stream(self, request: ReceivedRequest, fault: WorkerFault) -> None:
        crash_point = None
        if self.worker.has_crashing_part(request.headers.get("X-Prompt-Prefix", "")):
            crash_point = self.worker.behaviour.crash_point
        if crash_point is CrashPoint.BEFORE_HEAD:
            self.worker.crash()
            return
        self._chunked = self.worker.behaviour.is_chunked and not fault.is_unframed_stream
        framing = ("Transfer-Encoding", "chunked") if self._chunked else ("Connection", "close")
        self._send_head(200, [("Content-Type", "text/event-stream"), framing])
        self.close_connection = not self._chunked
        if crash_point is CrashPoint.AFTER_HEAD:
            self.worker.crash()
            return
        breaks = fault not in (WorkerFault.NONE, WorkerFault.UNFRAMED_STREAM)
        first = int(request.headers.get("Last-Event-Id", 0)) + 1
        for number in range(first, self.worker.behaviour.event_count + 1):
            event = f"id: {number}\ndata: {self.worker.version} piece-{number}\n\n".encode()
            if breaks and number == first + 2:
                self._break_stream(request, fault, event)
                return
            if self._wait_for_close(self.worker.behaviour.event_interval_s):
                request.client_disconnected = True
                self.close_connection = True
                return
            self._send_chunk(event)
            if crash_point is not None:
                time.sleep(_CRASH_DELAY_S if crash_point is CrashPoint.AFTER_DELAY else 0)
                self.worker.crash()
                return
        self._send_chunk(b"")
        if not self._chunked:
            self.worker.fall_silent_after_close()

    def _break_stream(self, request: ReceivedRequest, fault: WorkerFault, event: bytes) -> None:
        if fault is WorkerFault.CRASH_WITHIN_ANSWER:
            self.worker.crash()
            return
        self._send_chunk(event[: len(event) // 2])
        if fault is WorkerFault.SILENT_STREAM:
            request.client_disconnected = self._wait_for_close(_HANG_S)
        if fault is WorkerFault.UNFRAMED_CUT_STREAM:
            self.close_connection = True
            return
        self._reset()

    def _send_chunk(self, data: bytes) -> None:
        self._wait_while_silent()
        if not self._chunked:
            self.wfile.write(data)
            return
        self.wfile.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    def _wait_for_close(self, seconds: float) -> bool:
        """Wait; return True as soon as the client closes the connection."""
        deadline = time.monotonic() + seconds
        self.connection.settimeout(_CLOSE_POLL_S)
        try:
            while time.monotonic() < deadline and not self.worker.closing.is_set():
                try:
                    if not self.connection.recv(1, socket.MSG_PEEK):
                        return True
                except TimeoutError:
                    continue
                time.sleep(_CLOSE_POLL_S)
            return False
        except OSError:
            return True
        finally:
            self.connection.settimeout(None)

    def _reset(self) -> None:
        set_reset_on_close(self.connection, True)
        self.connection.close()
        self.close_connection = True

    def _send_unframed(self, body: bytes) -> None:
        """Send an answer that the close of its connection ends."""
        self._send_head(200, [("Connection", "close")])
        self.wfile.write(body)
        self.close_connection = True
        self.worker.fall_silent_after_close()

    def _send_answer(
        self, status: int, body: bytes, extra=(), signed=True, request_id=None
    ) -> None:
        headers = [("Content-Length", str(len(body))), *extra]
        self._send_head(status, headers, signed, request_id)
        self.wfile.write(body)

    def _send_head(self, status: int, headers, signed: bool = True, request_id=None) -> None:
        self._wait_while_silent()
        self.send_response(status)
        received_id = self.headers.get("X-Request-Id")
        self.send_header("X-Request-Id", request_id or received_id or "-")
        if signed:
            self.send_header("X-Server-Seal", f"seal.{self.worker.id}")
        if self.worker.behaviour.leaving_header:
            self.send_header(self.worker.behaviour.leaving_header, "1")
            if self._request is not None:
                self._request.said_leaving = True
        if self.worker.behaviour.keep_alive_s is not None:
            self.send_header("Keep-Alive", f"timeout={self.worker.behaviour.keep_alive_s}")
        for name, value in headers:
            self.send_header(name, value)
        self.end_headers()


def shared_part_ids(header: str) -> set[str]:
    """Return the ids of a prompt's parts without its last one, in one spelling."""
    ids = [part.strip().partition(":")[0] for part in header.split(",") if part.strip()]
    return {part_id.lower().lstrip("0") for part_id in ids[:-1]}
