"""A connection to a target that carries one request at a time."""

import http.client
import io
import socket
import time
from dataclasses import dataclass

from urllib3.util.connection import create_connection

from turmerictray.core.errors import ConnectionBroken, NotSent, OutcomeUnknown
from turmerictray.transport.exchange import Header

_PIECE_BYTES = 65536
_METHODS_WITH_BODY = ("POST", "PUT", "PATCH")

_KEEPALIVE = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
]
"""Probes find a connection that went silent (cut, power loss) within about three seconds; without
them an idle one looks sound for hours and swallows the next request."""


@dataclass(frozen=True)
class TargetRequest:
    """What is sent to a target; ``headers`` hold everything but the body's length."""

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


class _KeptReader(io.BufferedReader):
    """A buffered reader that outlives the answers read from it.

    An answer closes its file when it ends. Bytes that a target sent after the answer would be
    lost with the buffer and its next answer would start in the middle; kept, they are noticed.
    """

    def close(self) -> None:
        """Do nothing; the connection closes the socket."""


class _ReaderSource:
    """What :class:`http.client.HTTPResponse` wants of a socket."""

    def __init__(self, reader: io.BufferedReader) -> None:
        self._reader = reader

    def makefile(self, _mode: str) -> io.BufferedReader:
        """The connection's one reader."""
        return self._reader


class TargetConnection:
    """An open connection to ``address`` (``host:port``).

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
                (host, int(port)), timeout=connect_s, socket_options=_KEEPALIVE
            )
        except OSError as exc:
            raise NotSent(f"{address}: {exc}") from exc
        raw = socket.SocketIO(self._sock, "r")
        self._reader = _KeptReader(raw, _PIECE_BYTES)
        self._resp: http.client.HTTPResponse | None = None

    def send(self, req: TargetRequest, timeout_s: float) -> None:
        """Send a whole request.

        Raises
        ------
        OutcomeUnknown
            The connection broke; some or all of the request may have arrived.
        """
        try:
            self._sock.settimeout(timeout_s)
            self._sock.sendall(_encode(req))
        except OSError as exc:
            raise _failure(exc, f"{self.address}: send: {exc}") from exc

    def read_head(self, method: str, timeout_s: float) -> "AnswerHead":
        """Wait for the head of the answer.

        Raises
        ------
        OutcomeUnknown
            No valid head came within ``timeout_s`` seconds.
        """
        self._resp = http.client.HTTPResponse(_ReaderSource(self._reader), method=method)
        try:
            self._sock.settimeout(timeout_s)
            self._resp.begin()
        except (OSError, http.client.HTTPException, ValueError) as exc:
            raise _failure(exc, f"{self.address}: head: {exc!r}") from exc
        headers = [(name.title(), val) for name, val in self._resp.getheaders()]
        return AnswerHead(self._resp.status, headers)

    def read_whole(self, deadline: float) -> bytes:
        """The rest of the answer's body, until ``deadline`` (monotonic seconds).

        Raises
        ------
        OutcomeUnknown
            The body broke off or took too long.
        """
        pieces = []
        while piece := self.read_piece(deadline):
            pieces.append(piece)
        return b"".join(pieces)

    def read_piece(self, deadline: float) -> bytes:
        """What has arrived of the body, or b"" at its end; waits until ``deadline``."""
        left = deadline - time.monotonic()
        if left <= 0:
            raise OutcomeUnknown(f"{self.address}: body: timed out")
        try:
            self._sock.settimeout(left)
            return self._read_some()
        except (OSError, http.client.HTTPException, ValueError) as exc:
            raise _failure(exc, f"{self.address}: body: {exc!r}") from exc

    def _read_some(self) -> bytes:
        resp = self._resp
        if resp.isclosed():
            return b""
        if resp.chunked or resp.length is None:
            return resp.read1(_PIECE_BYTES)
        # read1() takes the end of the connection for the end of a body of known length, so a body
        # that is cut short would look whole; read() raises IncompleteRead.
        return resp.read()

    def is_reusable(self) -> bool:
        """Whether the answer has ended cleanly and another request may follow."""
        resp = self._resp
        if resp is None or not resp.isclosed() or resp.will_close:
            return False
        return not self._has_stray_bytes()

    def is_fresh(self, margin_s: float, default_limit_s: float) -> bool:
        """Whether an idle connection may still be used.

        Parameters
        ----------
        margin_s : float
            Seconds before the target's idle limit from which it isn't used any more: a target
            that closes just then resets the request, and nobody knows whether it ran.
        default_limit_s : float
            The idle limit of a target that doesn't name one.
        """
        within = self.idle_s() < self.limit_s(default_limit_s) - margin_s
        return within and not self._has_stray_bytes()

    def limit_s(self, default_limit_s: float) -> float:
        """The target's idle limit, or ``default_limit_s`` if it doesn't name one."""
        return default_limit_s if self.idle_limit_s is None else self.idle_limit_s

    def idle_s(self) -> float:
        """Seconds since the last answer ended."""
        return time.monotonic() - self.idle_since

    def _has_stray_bytes(self) -> bool:
        # Anything readable on an idle connection is a close, a reset or an answer that nobody
        # asked for; used again, it would be taken for the next caller's answer.
        sock = self._sock
        try:
            sock.settimeout(0)
            if self._reader.peek(1):
                return True
            sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
        return True

    def abort(self) -> None:
        """Break the connection from another thread; a blocked read or write returns at once."""
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # Already closed by the other side, which is what was asked for.
            return

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()


def _failure(exc: Exception, reason: str) -> OutcomeUnknown:
    """The error for a call that failed; silence and nonsense say less than a broken connection."""
    is_broken = isinstance(exc, http.client.IncompleteRead | ConnectionError)
    return ConnectionBroken(reason) if is_broken else OutcomeUnknown(reason)


@dataclass(frozen=True)
class AnswerHead:
    """Status and headers of a target's answer; names in title case."""

    status: int
    headers: list[Header]

    def get(self, name: str) -> str | None:
        """The first value of ``name`` (title case), or None."""
        for key, val in self.headers:
            if key == name:
                return val
        return None
