"""What the HTTP stand-ins share: a quiet handler and a server on a background thread."""

import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


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
        self._server = ThreadingHTTPServer((host, port), handler)
        self._server.daemon_threads = True
        self._server.owner = owner
        self._thread = threading.Thread(target=self._server.serve_forever, daemon=True)

    @property
    def address(self) -> str:
        """``host:port``."""
        host, port = self._server.server_address
        return f"{host}:{port}"

    def start(self) -> None:
        """Serve on a background thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()
