"""The HTTP server that hands each request to a handler as a :class:`ClientExchange`."""

import threading
from collections.abc import Callable

from cheroot.server import Gateway, HTTPConnection, HTTPServer

from turmerictray.config.routes import FrontLimits
from turmerictray.core.logs import log_event
from turmerictray.transport.exchange import ClientExchange
from turmerictray.transport.heads import HeadDeadlines, StrictServerMixin
from turmerictray.transport.threads import GrowingThreadPool

_IDLE_SLACK = 1.2
"""An idle connection is kept this much longer than the limit allows, so that it is the caller
who closes first: closing at the same moment would lose a request that is on its way."""

_BACKLOG = 1024

Handler = Callable[[ClientExchange], None]


class _ExchangeGateway(Gateway):
    """Passes cheroot's request on to the handler."""

    def respond(self) -> None:
        """Handle the request."""
        server = self.req.server
        exchange = ClientExchange(self.req, server.is_draining)
        server.handler(exchange)


class _Server(StrictServerMixin, HTTPServer):
    version = "turmerictray"

    def __init__(self, host: str, port: int, handler: Handler, threads: int) -> None:
        super().__init__((host, port), _ExchangeGateway)
        self.requests = GrowingThreadPool(self, threads)
        self.handler = handler
        self.heads = HeadDeadlines()
        self.draining = False
        self.server_name = "turmerictray"
        self.request_queue_size = _BACKLOG
        self.shutdown_timeout = 1

    def is_draining(self) -> bool:
        """Whether answers should close their connections."""
        return self.draining

    def take_new(self, conn: HTTPConnection) -> None:
        """Let a fresh connection wait in the selector like an idle one.

        Handed to a thread at once, a caller that connects and sends nothing would hold that
        thread.
        """
        self._connections.put(conn)

    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        """Write cheroot's own errors as structured events."""
        log_event("http_server_error", level="WARNING", reason=msg.splitlines()[0][:200])


class FrontServer:
    """The server as a component of the application.

    Parameters
    ----------
    host : str
    port : int
    handler : callable
        Called with each request, on one of the server's threads.
    threads : int
        Requests handled at once, at most.
    """

    def __init__(self, host: str, port: int, handler: Handler, threads: int) -> None:
        self._server = _Server(host, port, handler, threads)
        self._thread = threading.Thread(target=self._serve, name=f"front-{port}", daemon=True)
        self.apply_limits(FrontLimits())

    def apply_limits(self, limits: FrontLimits) -> None:
        """Put new bounds in force for the requests that come next."""
        self._server.apply_limits(limits, _IDLE_SLACK)

    def start(self) -> None:
        """Bind the port and serve on a background thread."""
        self._server.prepare()
        self._thread.start()
        host, port = self._server.bind_addr
        log_event("listening", host=host, port=port)

    def drain(self) -> None:
        """Close each connection after its next answer."""
        self._server.draining = True

    def stop(self) -> None:
        """Stop accepting; requests in progress get a short time to end."""
        self._server.stop()
        self._thread.join(timeout=2)

    def close_slow_heads(self) -> None:
        """End connections whose request head takes longer than the limit allows."""
        self._server.heads.close_overdue(self._server.front_limits.header_timeout_s)

    def _serve(self) -> None:
        self._server.serve()
