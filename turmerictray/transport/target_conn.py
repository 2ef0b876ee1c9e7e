"""Connection to a target that carries one request at a time."""

import http.client
import io
import math
import select
import socket
import time
from dataclasses import dataclass

from urllib3.util.connection import create_connection

from turmerictray.core.errors import ConnectionBroken, NotSent, OutcomeUnknown
from turmerictray.transport.acknowledgement import unacknowledged_bytes
from turmerictray.transport.answer_reader import AnswerReader
from turmerictray.transport.answer_response import AnswerResponse
from turmerictray.transport.body import Body, BodyEnd, body_of
from turmerictray.transport.bounded_input import (
    MAX_HEAD_BYTES,
    BoundedInput,
    check_request_arrived,
)
from turmerictray.transport.exchange import Header
from turmerictray.transport.held_bytes import HELD_ANSWERS
from turmerictray.transport.reset import RESET_ON_CLOSE, set_reset_on_close

_MS_PER_S = 1000
_READ_SIZE_BYTES = 65536
_METHODS_WITH_BODY = ("POST", "PUT", "PATCH")

_ACKNOWLEDGEMENT_TIMEOUT_S = 2.0
"""How long a request may wait to be acknowledged by the kernel of its target's machine. By then it
has been sent again three times. Keepalive would end the connection a second later, and then it
can't be reset."""

_SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    RESET_ON_CLOSE,
]
"""Options of each connection to a target.

TCP keepalive detects a dead peer (network partition, power loss) within about three seconds.
Without it an idle connection seems usable for hours, and the next request on it is lost.

A connection is reset unless it is closed after a complete answer, so also if the process is killed.
"""


@dataclass(frozen=True)
class TargetRequest:
    """A request to a target; ``headers`` holds all headers except Content-Length."""

    method: str
    target: str
    headers: list[Header]
    body: bytes


def _encode(req: TargetRequest) -> bytes:
    lines = [f"{req.method} {req.target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in req.headers]
    if req.body or req.method in _METHODS_WITH_BODY:
        lines.append(f"Content-Length: {len(req.body)}")
    head = "\r\n".join([*lines, "", ""])
    return head.encode("latin-1") + req.body


class _PersistentReader(AnswerReader):
    """A reader that stays open after each answer read from it.

    :class:`http.client.HTTPResponse` closes its file at the end of an answer. Bytes that a target
    sent after the answer would be lost with the buffer, and the next answer would be read from its
    middle. As the reader stays open, such bytes are detected.
    """

    def close(self) -> None:
        """Do nothing; :meth:`TargetConnection.close` closes the socket."""


class _ReaderSocket:
    """The part of the socket interface that :class:`http.client.HTTPResponse` uses."""

    def __init__(self, reader: io.BufferedReader) -> None:
        self._reader = reader

    def makefile(self, _mode: str) -> io.BufferedReader:
        """Return the connection's reader, which all answers share."""
        return self._reader


class TargetConnection:
    """An open connection to a target at ``address`` (``host:port``).

    Raises
    ------
    NotSent
        The connection could not be opened within ``connect_s`` seconds.
    """

    def __init__(self, address: str, connect_s: float) -> None:
        host, _, port = address.rpartition(":")
        self.address = address
        self.idle_since = time.monotonic()
        self.idle_limit_s: float | None = None
        try:
            self._sock = create_connection(
                (host, int(port)), timeout=connect_s, socket_options=_SOCKET_OPTIONS
            )
        except OSError as exc:
            raise NotSent(f"{address}: {exc}") from exc
        self._input = BoundedInput(self._sock, socket.SocketIO(self._sock, "r"))
        self._reader = _PersistentReader(self._input, _READ_SIZE_BYTES)
        self._resp: http.client.HTTPResponse | None = None
        self._body: Body | None = None
        self._is_answered = True
        self._held_bytes = 0

    def send(self, req: TargetRequest, timeout_s: float) -> None:
        """Send a request, head and body.

        Raises
        ------
        OutcomeUnknown
            The connection broke; some or all of the request may have arrived.
        """
        self._is_answered = False
        self.hold(0)
        try:
            self._sock.settimeout(timeout_s)
            self._sock.sendall(_encode(req))
        except OSError as exc:
            raise _call_error(exc, f"{self.address}: send: {exc}") from exc

    def read_head(self, method: str, timeout_s: float) -> "AnswerHead":
        """Wait for the head of the answer.

        Raises
        ------
        OutcomeUnknown
            No valid head came within ``timeout_s`` seconds, or the request does not get through.
        """
        self._body = None
        self._resp = AnswerResponse(_ReaderSocket(self._reader), method=method)
        deadline = time.monotonic() + timeout_s
        try:
            self._await_acknowledgement(deadline)
            self._reader.begin_answer()
            self._input.set_bounds(deadline, MAX_HEAD_BYTES)
            self._resp.begin()
            self._body = body_of(self._resp, method, self._reader)
        except (OSError, http.client.HTTPException, ValueError) as exc:
            raise _call_error(exc, f"{self.address}: head: {exc!r}") from exc
        headers = [(name.title(), val) for name, val in self._resp.getheaders()]
        return AnswerHead(self._resp.status, headers)

    def _await_acknowledgement(self, deadline: float) -> None:
        """Wait for an answer for as long as the request may not have got through.

        Left open, the connection would deliver it seconds after a network partition, when its
        target may already be leaving.
        """
        until = time.monotonic() + _ACKNOWLEDGEMENT_TIMEOUT_S
        if until < deadline and not self._poll(until) and unacknowledged_bytes(self._sock):
            raise TimeoutError("the request is not acknowledged")

    def read_body(self, deadline: float) -> bytes:
        """Read the rest of the answer's body until ``deadline`` (monotonic seconds).

        Its memory counts as held until the connection is closed or carries another request.

        Raises
        ------
        OutcomeUnknown
            The body was cut short, took too long or is too large.
        """
        chunks, size = [], 0
        while chunk := self.read_available(deadline):
            chunks.append(chunk)
            size += len(chunk)
            self.hold(size)
        return b"".join(chunks)

    def hold(self, size: int) -> None:
        """Count ``size`` bytes of the current answer as held in memory.

        Raises
        ------
        OutcomeUnknown
            They are too many for one answer, or beside those of all other answers.
        """
        before, self._held_bytes = self._held_bytes, 0
        if not HELD_ANSWERS.resize(before, size):
            raise OutcomeUnknown(f"{self.address}: body: {size} bytes are too many to hold")
        self._held_bytes = size

    def read_available(self, deadline: float) -> bytes:
        """Wait until ``deadline`` for body data; return what has arrived, or b"" at the end.

        Raises
        ------
        OutcomeUnknown
            The connection broke, or no data arrived in time.
        """
        left_s = deadline - time.monotonic()
        if left_s <= 0:
            raise OutcomeUnknown(f"{self.address}: body: timed out")
        try:
            self._input.set_bounds(deadline)
            return self._body.read_available()
        except (OSError, http.client.HTTPException, ValueError) as exc:
            raise _call_error(exc, f"{self.address}: body: {exc!r}") from exc

    def wait_for_data(self, deadline: float) -> bool:
        """Wait until ``deadline`` for body data; return whether there is something to read.

        Unlike after a timeout of :meth:`read_available`, the body can still be read.

        Raises
        ------
        OutcomeUnknown
            The connection broke.
        """
        try:
            self._input.set_nonblocking()
            buffered = self._reader.peek(1)
            while not self._body.is_readable(buffered):
                if not self._poll(deadline):
                    return False
                if buffered:
                    return True
                # What has come may be the end of a chunk alone. Nothing is the end of all.
                buffered = self._reader.peek(1)
                if not buffered:
                    return True
            return True
        except (OSError, ValueError) as exc:
            raise _call_error(exc, f"{self.address}: body: {exc!r}") from exc

    def _poll(self, deadline: float) -> bool:
        poller = select.poll()
        poller.register(self._sock, select.POLLIN)
        left_s = max(0.0, deadline - time.monotonic())
        return bool(poller.poll(math.ceil(left_s * _MS_PER_S)))

    def check_close(self) -> None:
        """Check that the target has not reset the connection since it closed it.

        Raises
        ------
        OutcomeUnknown
            It has, so that the answer that the close ended may be incomplete.
        """
        try:
            check_request_arrived(self._sock)
        except OSError as exc:
            raise _call_error(exc, f"{self.address}: close: {exc!r}") from exc

    @property
    def body_end(self) -> BodyEnd:
        """What delimits the body of the current answer."""
        return self._body.end

    @property
    def is_closed_by_target(self) -> bool:
        """Whether the target was seen to close or break the connection, not this router."""
        return self._input.is_closed_by_peer

    def is_reusable(self) -> bool:
        """Return whether the answer is complete and the connection may carry another request."""
        body = self._body
        if not self._is_body_complete() or self._resp.will_close:
            return False
        return body.end is not BodyEnd.CONNECTION_CLOSE and not self._has_unexpected_data()

    def is_usable(self, margin_s: float, default_limit_s: float) -> bool:
        """Return whether an idle connection may still be used.

        Parameters
        ----------
        margin_s : float
            The connection is not used during this many seconds before the target's idle limit: if
            the target closes it just then, the request is reset and may or may not have run.
        default_limit_s : float
            The idle limit of a target that doesn't announce one.
        """
        within_limit = self.idle_s() < self.effective_idle_limit_s(default_limit_s) - margin_s
        return within_limit and not self._has_unexpected_data()

    def effective_idle_limit_s(self, default_limit_s: float) -> float:
        """Return the target's idle limit, or ``default_limit_s`` if it doesn't announce one."""
        return default_limit_s if self.idle_limit_s is None else self.idle_limit_s

    def idle_s(self) -> float:
        """Return the seconds since the last answer ended."""
        return time.monotonic() - self.idle_since

    def _has_unexpected_data(self) -> bool:
        # Anything readable on an idle connection is a close, a reset or an unrequested answer. If
        # the connection were reused, that answer would go to the next caller.
        try:
            self._input.set_nonblocking()
            if self._reader.peek(1):
                return True
            self._sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
        return True

    def abort(self) -> None:
        """Give the answer up, from any thread: what is being read of it raises at once."""
        self._input.give_up()

    def close(self) -> None:
        """Close the connection; reset it if a request has no complete answer.

        After a normal close the kernel goes on sending what has not been acknowledged. Behind a
        network partition a target would get the request that is given up here seconds later, when
        it may already be leaving.
        """
        is_open = self._sock.fileno() >= 0
        if is_open and (self._is_answered or self._is_body_complete()):
            set_reset_on_close(self._sock, False)
        self._sock.close()
        self.hold(0)

    def _is_body_complete(self) -> bool:
        return self._body is not None and self._body.is_complete


def _call_error(exc: Exception, reason: str) -> OutcomeUnknown:
    """Return the error for a failed call.

    Only a broken connection suggests that the target has exited; a timeout or an invalid answer
    does not.
    """
    is_broken = isinstance(exc, http.client.IncompleteRead | ConnectionError)
    return ConnectionBroken(reason) if is_broken else OutcomeUnknown(reason)


@dataclass(frozen=True)
class AnswerHead:
    """Status and headers of a target's answer; header names are in title case."""

    status: int
    headers: list[Header]

    def get(self, name: str) -> str | None:
        """Return the first value of header ``name`` (title case), or None."""
        for key, val in self.headers:
            if key == name:
                return val
        return None
