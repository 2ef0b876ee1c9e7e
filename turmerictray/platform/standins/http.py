"""What the HTTP stand-ins share: a quiet handler and a server on a background thread."""

import contextlib
import socket
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

_STOP_LOOK_S = 0.05


class QuietHandler(BaseHTTPRequestHandler):
    """A handler for which a caller that hangs up is no error."""

    protocol_version = "HTTP/1.1"

    def handle_one_request(self) -> None:
        """Serve one request."""
        try:
            super().handle_one_request()
        except ConnectionError:
            self.close_connection = True

    def log_message(self, format: str, *args: object) -> None:
        """Keep standard error for the test's own output."""


class _Server(ThreadingHTTPServer):
    """A server that knows its open connections."""

    daemon_threads = True

    def __init__(self, *args: object) -> None:
        super().__init__(*args)
        self._open: set[socket.socket] = set()
        self._lock = threading.Lock()

    def process_request(self, request: socket.socket, client_address: object) -> None:
        """Serve a new connection."""
        with self._lock:
            self._open.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request: socket.socket) -> None:
        """A connection has ended."""
        with self._lock:
            self._open.discard(request)
        super().shutdown_request(request)

    def abort(self) -> None:
        """Stop listening and break all connections."""
        # While the serving thread waits on it, a socket that is only closed goes on listening.
        self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()
        with self._lock:
            broken, self._open = self._open, set()
        for conn in broken:
            # Its handler may be closing it at this moment.
            with contextlib.suppress(OSError):
                conn.shutdown(socket.SHUT_RDWR)


class BackgroundServer:
    """An HTTP server on loopback.

    Parameters
    ----------
    handler : type
        A subclass of :class:`QuietHandler`; ``owner`` is its server's ``owner``.
    owner : object
    host : str
    port : int
        0 picks a free one.
    """

    def __init__(self, handler: type, owner: object, host: str, port: int) -> None:
        self._server = _Server((host, port), handler)
        self._address = "{}:{}".format(*self._server.server_address)
        self._server.owner = owner
        self._thread = threading.Thread(
            target=self._server.serve_forever, args=(_STOP_LOOK_S,), daemon=True
        )

    @property
    def address(self) -> str:
        """``host:port``."""
        return self._address

    def start(self) -> None:
        """Serve on a background thread."""
        self._thread.start()

    def abort(self) -> None:
        """End without a word: nothing listens any more, and all connections break."""
        self._server.abort()

    def stop(self) -> None:
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()
