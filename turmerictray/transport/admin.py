"""A small HTTP server for readiness, metrics and operators."""

import threading
from collections.abc import Callable
from dataclasses import dataclass

from cheroot.server import Gateway, HTTPServer

from turmerictray.core.logs import log_event

_THREADS = 2


@dataclass(frozen=True)
class Page:
    """An answer of the admin server."""

    status: int
    body: bytes
    content_type: str = "application/json"


PageSource = Callable[[], Page]

_NOT_FOUND = Page(404, b'{"error": {"type": "not_found"}}')


class _PageGateway(Gateway):
    def respond(self) -> None:
        """Answer with the page of the request's path."""
        req = self.req
        source = req.server.pages.get(req.path.decode("latin-1"))
        page = _NOT_FOUND if source is None or req.method != b"GET" else source()
        req.status = f"{page.status} -".encode()
        req.outheaders = [
            (b"Content-Type", page.content_type.encode()),
            (b"Content-Length", str(len(page.body)).encode()),
        ]
        req.ensure_headers_sent()
        req.write(page.body)


class AdminServer:
    """Serves pages by path.

    Parameters
    ----------
    host : str
    port : int
    pages : dict of str to callable
        Path to the source of its page.
    """

    def __init__(self, host: str, port: int, pages: dict[str, PageSource]) -> None:
        self._server = HTTPServer((host, port), _PageGateway, minthreads=_THREADS, maxthreads=4)
        self._server.pages = pages
        self._server.shutdown_timeout = 1
        self._server.error_log = _log_error
        self._thread = threading.Thread(
            target=self._server.serve, name=f"admin-{port}", daemon=True
        )

    def start(self) -> None:
        """Bind the port and serve on a background thread."""
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop()
        self._thread.join(timeout=2)


def _log_error(msg: str = "", level: int = 20, traceback: bool = False) -> None:
    log_event("admin_server_error", level="WARNING", reason=msg.splitlines()[0][:200])
