"""One request of a caller and its answer on the caller's connection."""

import socket
import time
from collections.abc import Iterable
from dataclasses import dataclass
from http import HTTPStatus

from cheroot.errors import MaxSizeExceeded
from cheroot.server import HTTPRequest

from turmerictray.core.errors import CallerError, CallerGone, RouterFull
from turmerictray.transport.framing import StrictChunkReader
from turmerictray.transport.held_bytes import HELD_REQUESTS

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    }
)
"""Header names that apply to a single connection (RFC 9110, section 7.6.1), in lower case."""

_WRITE_TIMEOUT_S = 5.0
"""A caller that accepts no data for this long counts as disconnected; otherwise an answer that is
never read would keep the target's slot occupied."""

_BODIES_FULL_RETRY_S = 0.5
"""Retry-After while other bodies take all the memory for them, in seconds."""

_DISCARD_SIZE_BYTES = 65536

Header = tuple[str, str]


@dataclass(frozen=True)
class RequestHead:
    """Method, target and headers of a request as the caller sent them.

    Attributes
    ----------
    method : str
    target : str
        The raw request target, not decoded.
    headers : dict of str to str
        Names in title case.
    """

    method: str
    target: str
    headers: dict[str, str]

    @property
    def path(self) -> str:
        """The raw path of the target, without the query."""
        return self.target.partition("?")[0]

    @property
    def host(self) -> str:
        """The value of the Host header in lower case, without a port."""
        return self.headers.get("Host", "").lower().rpartition("@")[2].partition(":")[0]

    def end_to_end_headers(self) -> list[Header]:
        """Return the headers that may be forwarded, without those of this connection only."""
        connection_headers = {
            name.strip().lower() for name in self.headers.get("Connection", "").split(",")
        }
        dropped = HOP_BY_HOP | connection_headers | {"content-length"}
        return [(name, val) for name, val in self.headers.items() if name.lower() not in dropped]


class ClientExchange:
    """Reads the body of one request and writes its answer.

    Parameters
    ----------
    req : cheroot.server.HTTPRequest
        A request whose head has been read.
    is_draining : callable
        Returns whether the router is shutting down, in which case answers close their connections.

    Attributes
    ----------
    arrived_at : float
        Monotonic time at which the head had been read.
    answer_started : bool
        Whether sending of the answer has begun.
    status : int
        The status of the answer; 0 before it has begun.
    """

    def __init__(self, req: HTTPRequest, is_draining) -> None:
        self._req = req
        self._is_draining = is_draining
        self.arrived_at = time.monotonic()
        headers = {
            name.decode("latin-1"): val.decode("latin-1") for name, val in req.inheaders.items()
        }
        self.head = RequestHead(req.method.decode("latin-1"), req.uri.decode("latin-1"), headers)
        self.answer_started = False
        self.status = 0
        self._is_unfinished = False
        self._held_bytes = 0

    @property
    def sock(self) -> socket.socket:
        """The socket of the caller's connection."""
        return self._req.conn.socket

    def finish_reading(self) -> None:
        """Let the server read another request; this one now waits for a target."""
        self._req.server.finish_reading(self._req.conn)

    def read_body(self) -> bytes:
        """Read and return the whole body; its memory counts as held until :meth:`close`.

        Raises
        ------
        RouterFull
            Other bodies take the memory for it. It has been read and dropped, so that the caller
            can read the answer.
        CallerError
            The body is malformed or over the limit; the connection is closed after the answer.
        CallerGone
            The caller closed its connection before the body was complete.
        """
        try:
            return self._read_body()
        except MaxSizeExceeded as exc:
            self._req.close_connection = True
            raise CallerError(f"body too large: {exc}", 413) from exc
        except ValueError as exc:
            self._req.close_connection = True
            raise CallerError(f"body is malformed: {exc}") from exc
        except OSError as exc:
            self._req.close_connection = True
            raise CallerGone(f"body not read: {exc}") from exc

    def _read_body(self) -> bytes:
        if not self._req.chunked_read:
            length = int(self._req.inheaders.get(b"Content-Length", 0))
            if not self._hold(length):
                self._discard(length)
                raise RouterFull("bodies_full", _BODIES_FULL_RETRY_S)
            return self._read_exactly(length)
        return self._read_chunks(self._req.conn.rfile)

    def _read_chunks(self, rfile: StrictChunkReader) -> bytes:
        """Read a chunked body, counting its memory as it arrives."""
        pieces: list[bytes] = []
        size, is_held = 0, True
        for piece in rfile.pieces(self._req.server.max_request_body_size):
            size += len(piece)
            is_held = is_held and self._hold(size)
            if is_held:
                pieces.append(piece)
            else:
                pieces.clear()
        if not is_held:
            raise RouterFull("bodies_full", _BODIES_FULL_RETRY_S)
        return b"".join(pieces)

    def _hold(self, size: int) -> bool:
        is_held = HELD_REQUESTS.resize(self._held_bytes, size)
        self._held_bytes = size if is_held else 0
        return is_held

    def _discard(self, length: int) -> None:
        while length:
            length -= len(self._read_exactly(min(length, _DISCARD_SIZE_BYTES)))

    def _read_exactly(self, size: int) -> bytes:
        data = self._req.rfile.read(size) if size else b""
        if len(data) < size:
            raise ConnectionResetError("body ended early")
        return data

    def answer(self, status: int, headers: Iterable[Header], body: bytes) -> None:
        """Send a complete answer: head and body.

        Raises
        ------
        CallerGone
            The caller's connection broke.
        """
        self._send_head(status, [*headers, ("Content-Length", str(len(body)))])
        if body and self._req.method != b"HEAD":
            self._write(body)

    def start_stream(self, status: int, headers: Iterable[Header]) -> None:
        """Send the head of an answer whose body is streamed; raises :class:`CallerGone`.

        The caller sees the answer as incomplete unless :meth:`end_stream` is called.
        """
        self._is_unfinished = True
        # Before the head: without chunks the close that follows a kill would end the answer.
        self._req.conn.set_reset_on_close(True)
        self._send_head(status, headers)
        if self._req.chunked_write:
            self._req.conn.set_reset_on_close(False)

    def send(self, data: bytes) -> None:
        """Send part of a streamed body; raises :class:`CallerGone`."""
        self._write(data)

    def end_stream(self) -> None:
        """End a streamed body as complete."""
        self._is_unfinished = False
        if not self._req.chunked_write:
            self._req.conn.set_reset_on_close(False)

    def close(self) -> None:
        """Abort the answer if it is unfinished; to be called when the request has been handled."""
        self._hold(0)
        if self._is_unfinished:
            self.abort()

    def abort(self) -> None:
        """Close the connection without the last chunk, so that the answer is seen as incomplete."""
        self._req.chunked_write = False
        self._req.close_connection = True
        # Otherwise cheroot would send a head of its own if none was sent: with a status that was
        # never set, and then a 500 to a caller that may still be reading.
        self._req.sent_headers = True

    def _send_head(self, status: int, headers: Iterable[Header]) -> None:
        self.answer_started = True
        self.status = status
        req = self._req
        if self._is_draining():
            req.close_connection = True
        req.status = f"{status} {_phrase(status)}".encode("latin-1")
        req.outheaders = [(name.encode("latin-1"), val.encode("latin-1")) for name, val in headers]
        self.sock.settimeout(_WRITE_TIMEOUT_S)
        try:
            req.ensure_headers_sent()
        except OSError as exc:
            raise self._caller_gone(exc) from exc

    def _write(self, data: bytes) -> None:
        try:
            self._req.write(data)
        except OSError as exc:
            raise self._caller_gone(exc) from exc

    def _caller_gone(self, exc: OSError) -> CallerGone:
        self.abort()
        return CallerGone(f"answer not sent: {exc}")


def _phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
