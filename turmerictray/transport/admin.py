"""A small HTTP server for readiness, metrics and operators."""

from collections.abc import Callable
from dataclasses import dataclass

from cheroot.server import Gateway, HTTPServer

from turmerictray.config.routes import FrontLimits
from turmerictray.core.errors import CallerError, CallerGone
from turmerictray.core.logs import log_event
from turmerictray.core.supervision import SupervisedThread
from turmerictray.transport.exchange import ClientExchange, RequestHead
from turmerictray.transport.strict_server import HeadDeadlines, StrictServerMixin

_MIN_THREADS = 2

_REQUEST_LIMITS = FrontLimits(body_bytes=64 << 10)
"""Pages need no request body; a small one is read and discarded."""


@dataclass(frozen=True)
class Page:
    """A page served by the admin server: status, body and content type."""

    status: int
    body: bytes
    content_type: str = "application/json"


PageSource = Callable[[], Page]


@dataclass(frozen=True)
class QueryPage:
    """Page whose content depends on the query of its address, which may be empty."""

    source: Callable[[str], Page]


_NOT_FOUND = Page(404, b'{"error": {"type": "not_found"}}')


class _PageGateway(Gateway):
    def respond(self) -> None:
        """Send the page that is registered for the request's path."""
        exchange = ClientExchange(self.req, lambda: False)
        try:
            # An unread body would be parsed as the next request on the connection.
            exchange.read_body()
            page = self._page(exchange.head)
        except CallerError as exc:
            page = Page(exc.status, b'{"error": {"type": "bad_request"}}')
        except CallerGone:
            exchange.abort()
            return
        exchange.answer(page.status, [("Content-Type", page.content_type)], page.body)

    def _page(self, head: RequestHead) -> Page:
        if head.method != "GET":
            return _NOT_FOUND
        path, _, query = head.target.partition("?")
        source = self.req.server.pages.get(path)
        if isinstance(source, QueryPage):
            return source.source(query)
        return _NOT_FOUND if source is None or path != head.target else source()


class _PageServer(StrictServerMixin, HTTPServer):
    """HTTP server with the same strict request parsing as the callers' server."""

    def __init__(self, host: str, port: int, pages: dict[str, PageSource | QueryPage]) -> None:
        super().__init__((host, port), _PageGateway, minthreads=_MIN_THREADS, maxthreads=4)
        self.pages = pages
        self.head_deadlines = HeadDeadlines()
        self.shutdown_timeout = 1
        self.apply_limits(_REQUEST_LIMITS)

    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        """Log cheroot's own errors as structured events."""
        log_event("admin_server_error", level="WARNING", reason=msg.splitlines()[0][:200])


class AdminServer:
    """HTTP server for readiness checks, metrics and operators; serves pages by path.

    Parameters
    ----------
    host : str
    port : int
    pages : dict of str to callable or QueryPage
        Maps each path to a function that returns its page.
    """

    def __init__(self, host: str, port: int, pages: dict[str, PageSource | QueryPage]) -> None:
        self._server = _PageServer(host, port, pages)
        self._thread = SupervisedThread(self._server.serve, f"admin-{port}")

    def start(self) -> None:
        """Bind the port and serve on a background thread."""
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Stop serving and wait up to two seconds for the thread."""
        self._server.stop()
        self._thread.join(timeout=2)
