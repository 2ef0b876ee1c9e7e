"""Input that a decoder finds odd, and a server that answers every request with it."""

from collections.abc import Iterator
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from threading import Thread

NESTED_JSON = b'{"more": ' + b"[" * 100_000 + b"]" * 100_000 + b"}"
NESTED_MESSAGE = b"\x81\xa1z" + b"\x91" * 100_000

ODD_JSON = [NESTED_JSON, b"[" * 100_000, b"9" * 5000, b"1e999", b'"\\ud800"', b"\xff\xfe", b"[[]]"]


class AnsweringServer(ThreadingHTTPServer):
    """A server on loopback whose answers have a body and headers that can be replaced."""

    daemon_threads = True

    def __init__(self, body: bytes = b"", headers: dict[str, str] | None = None) -> None:
        super().__init__(("127.0.0.1", 0), _Handler)
        self.body, self.headers = body, headers or {}
        self.address = f"127.0.0.1:{self.server_port}"
        self.url = f"http://{self.address}"


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:
        body = self.server.body
        body = body(self.path) if callable(body) else body
        self.send_response(200)
        for name, value in {**self.server.headers, "Content-Length": str(len(body))}.items():
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *args: object) -> None:
        """Log nothing."""


@contextmanager
def answering(body=b"", headers: dict[str, str] | None = None) -> Iterator[AnsweringServer]:
    """Run a server that answers every request with ``body``, or with what it returns for a path."""
    with AnsweringServer(body, headers) as server:
        Thread(target=server.serve_forever, kwargs={"poll_interval": 0.02}, daemon=True).start()
        try:
            yield server
        finally:
            server.shutdown()
