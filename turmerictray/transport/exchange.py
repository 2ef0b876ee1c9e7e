"""One request of a caller and its answer, on the caller's connection."""

import socket
import time
from collections.abc import Iterable
from dataclasses import dataclass
from http import HTTPStatus

from cheroot.errors import MaxSizeExceeded
from cheroot.server import HTTPRequest

from turmerictray.core.errors import CallerError, CallerGone

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
"""Headers that concern one connection only (RFC 9110, section 7.6.1), in lower case."""

_WRITE_STALL_S = 5.0
"""A caller that takes no byte for this long is treated as gone; a router that went on waiting
would keep the target's slot for an answer that nobody reads."""

Header = tuple[str, str]


@dataclass(frozen=True)
class RequestHead:
    """The head of a request as the caller sent it.

    Attributes
    ----------
    method, target : str
        ``target`` is the raw request target, not decoded.
    headers : dict of str to str
        Names in title case.
    """

    method: str
    target: str
    headers: dict[str, str]

    @property
    def path(self) -> str:
        """The raw path of the target, without its query."""
        return self.target.partition("?")[0]

    @property
    def host(self) -> str:
        """The host, in lower case and without a port."""
        return self.headers.get("Host", "").lower().rpartition("@")[2].partition(":")[0]

    def end_to_end_headers(self) -> list[Header]:
        """Headers that may be passed on: none that concern only this connection."""
        named = {name.strip().lower() for name in self.headers.get("Connection", "").split(",")}
        dropped = HOP_BY_HOP | named | {"content-length"}
        return [(name, val) for name, val in self.headers.items() if name.lower() not in dropped]


class ClientExchange:
    """Reads one request and writes one answer.

    Parameters
    ----------
    req : cheroot.server.HTTPRequest
        A request whose head has been read.
    draining : callable
        Whether the router is shutting down, so that answers close their connections.
    """

    def __init__(self, req: HTTPRequest, draining) -> None:
        self._req = req
        self._draining = draining
        self.arrived = time.monotonic()
        headers = {
            name.decode("latin-1"): val.decode("latin-1") for name, val in req.inheaders.items()
        }
        self.head = RequestHead(req.method.decode("latin-1"), req.uri.decode("latin-1"), headers)
        self.started = False
        self.status = 0

    @property
    def sock(self) -> socket.socket:
        """The caller's connection."""
        return self._req.conn.socket

    def finish_reading(self) -> None:
        """The request waits for others from now on; the server may read another one meanwhile."""
        self._req.server.finish_reading(self._req.conn)

    def read_body(self) -> bytes:
        """The whole body.

        Raises
        ------
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
        rfile = self._req.rfile
        if not self._req.chunked_read:
            length = int(self._req.inheaders.get(b"Content-Length", 0))
            data = rfile.read(length) if length else b""
            if len(data) < length:
                raise ConnectionResetError("body ended early")
            return data
        data = rfile.read()
        # The trailer section is part of the body: left unread, its bytes would be taken as the
        # next request on this connection.
        for _ in rfile.read_trailer_lines():
            pass
        return data

    def answer(self, status: int, headers: Iterable[Header], body: bytes) -> None:
        """Send a whole answer.

        Raises
        ------
        CallerGone
            The caller's connection broke.
        """
        self._begin(status, [*headers, ("Content-Length", str(len(body)))])
        if body and self._req.method != b"HEAD":
            self._write(body)

    def start_stream(self, status: int, headers: Iterable[Header]) -> None:
        """Send the head of an answer whose body comes in pieces."""
        self._begin(status, headers)

    def send(self, data: bytes) -> None:
        """Send one piece of a streamed body; raises :class:`CallerGone`."""
        self._write(data)

    def abort(self) -> None:
        """End the answer so that it can't look complete: close without the last chunk."""
        self._req.chunked_write = False
        self._req.close_connection = True
        # Without a head, the server would try to send one of its own, with a status that was never
        # set, and then a 500 to a caller who may still be reading.
        self._req.sent_headers = True

    def _begin(self, status: int, headers: Iterable[Header]) -> None:
        self.started = True
        self.status = status
        req = self._req
        if self._draining():
            req.close_connection = True
        req.status = f"{status} {_phrase(status)}".encode("latin-1")
        req.outheaders = [(name.encode("latin-1"), val.encode("latin-1")) for name, val in headers]
        self.sock.settimeout(_WRITE_STALL_S)
        try:
            req.ensure_headers_sent()
        except OSError as exc:
            raise self._gone(exc) from exc

    def _write(self, data: bytes) -> None:
        try:
            self._req.write(data)
        except OSError as exc:
            raise self._gone(exc) from exc

    def _gone(self, exc: OSError) -> CallerGone:
        self.abort()
        return CallerGone(f"answer not sent: {exc}")


def _phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
