"""Base classes of the HTTP stand-ins: request handler and server on a background thread."""

import contextlib
import socket
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

_SHUTDOWN_POLL_S = 0.05
_LISTEN_BACKLOG = 1024
"""Connections that wait to be accepted; the kernel drops further ones, which then take a second."""


class QuietHandler(BaseHTTPRequestHandler):
    """A handler that logs nothing and tolerates clients that disconnect."""

    protocol_version = "HTTP/1.1"

    def handle_one_request(self) -> None:
        """Serve one request; close the connection if the client has disconnected."""
        try:
            super().handle_one_request()
        except ConnectionError:
            self.close_connection = True

    def log_message(self, format: str, *args: object) -> None:
        """Log nothing, so that standard error holds only the output of the test."""


class _Server(ThreadingHTTPServer):
    """A server that tracks its open connections, so that :meth:`abort` can close them."""

    daemon_threads = True
    request_queue_size = _LISTEN_BACKLOG

    def __init__(self, *args: object) -> None:
        super().__init__(*args)
        self._open: set[socket.socket] = set()
        self._aborted = False
        self._lock = threading.Lock()

    def process_request(self, request: socket.socket, client_address: object) -> None:
        """Track and serve a new connection; close it if the server was aborted meanwhile."""
        with self._lock:
            aborted = self._aborted
            if not aborted:
                self._open.add(request)
        if aborted:
            super().shutdown_request(request)
            return
        super().process_request(request, client_address)

    def shutdown_request(self, request: socket.socket) -> None:
        """Stop tracking a connection and close it."""
        with self._lock:
            self._open.discard(request)
        super().shutdown_request(request)

    def abort(self) -> None:
        """Close the listening socket and shut down all connections."""
        # close() alone does not stop listening while the serving thread polls the socket.
        self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()
        with self._lock:
            self._aborted = True
            open_connections, self._open = self._open, set()
        for conn in open_connections:
            # The handler may close the connection concurrently.
            with contextlib.suppress(OSError):
                conn.shutdown(socket.SHUT_RDWR)


class BackgroundServer:
    """An HTTP server on loopback.

    Parameters
    ----------
    handler : type
        A subclass of :class:`QuietHandler`.
    owner : object
        The stand-in; handlers access it as ``self.server.owner``.
    host : str
    port : int
        0 selects a free port.
    """

    def __init__(self, handler: type, owner: object, host: str, port: int) -> None:
        self._server = _Server((host, port), handler)
        self._address = "{}:{}".format(*self._server.server_address)
        self._server.owner = owner
        self._thread = threading.Thread(
            target=self._server.serve_forever, args=(_SHUTDOWN_POLL_S,), daemon=True
        )

    @property
    def address(self) -> str:
        """``host:port``."""
        return self._address

    def start(self) -> None:
        """Serve on a background thread."""
        self._thread.start()

    def abort(self) -> None:
        """Stop abruptly, as a crash does: connections are broken and new ones refused."""
        self._server.abort()

    def stop(self) -> None:
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()
