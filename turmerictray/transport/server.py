"""The HTTP server that hands each request to a handler as a :class:`ClientExchange`."""

import threading
import time
from collections.abc import Callable

from cheroot.server import Gateway, HTTPConnection, HTTPServer

from turmerictray.config.routes import FrontLimits
from turmerictray.core.logs import log_event
from turmerictray.transport.exchange import ClientExchange
from turmerictray.transport.framing import StrictRequest

_KEPT_CONNECTIONS = 3000
"""Idle connections of callers that are kept open; below the descriptors of a small instance."""

_IDLE_SLACK = 1.2
"""An idle connection is kept this much longer than the limit allows, so that it is the caller
who closes first: closing at the same moment would lose a request that is on its way."""

_BACKLOG = 1024

Handler = Callable[[ClientExchange], None]


class _FrontConnection(HTTPConnection):
    """A caller's connection; the head of a request must come within its time limit."""

    RequestHandlerClass = StrictRequest

    def communicate(self) -> bool:
        """Serve one request; true when the connection is kept open."""
        self.socket.settimeout(self.server.front_limits.header_timeout_s)
        self.server.heads.begin(self)
        try:
            return super().communicate()
        finally:
            self.server.heads.end(self)


class _HeadDeadlines:
    """Ends connections whose request head takes too long.

    A caller that sends one byte at a time never runs into the time limit of a single read and
    would keep a thread for as long as it likes.
    """

    def __init__(self) -> None:
        self._begun: dict[HTTPConnection, float] = {}
        self._lock = threading.Lock()

    def begin(self, conn: HTTPConnection) -> None:
        """A request's head starts to arrive now."""
        with self._lock:
            self._begun[conn] = time.monotonic()

    def end(self, conn: HTTPConnection) -> None:
        """The head has arrived, or the connection is done."""
        with self._lock:
            self._begun.pop(conn, None)

    def close_overdue(self, limit_s: float) -> None:
        """Stop reading from connections whose head began over ``limit_s`` ago."""
        horizon = time.monotonic() - limit_s
        with self._lock:
            overdue = [conn for conn, begun in self._begun.items() if begun < horizon]
            for conn in overdue:
                del self._begun[conn]
        for conn in overdue:
            _stop_reading(conn)


def _stop_reading(conn: HTTPConnection) -> None:
    try:
        conn.socket.shutdown(0)
    except OSError as exc:
        log_event("slow_head_already_closed", level="DEBUG", exc=exc)


class _ExchangeGateway(Gateway):
    """Passes cheroot's request on to the handler."""

    def respond(self) -> None:
        """Handle the request."""
        server = self.req.server
        server.heads.end(self.req.conn)
        exchange = ClientExchange(self.req, server.is_draining)
        server.handler(exchange)


class _Server(HTTPServer):
    ConnectionClass = _FrontConnection
    version = "turmerictray"

    def __init__(self, host: str, port: int, handler: Handler, threads: int) -> None:
        super().__init__((host, port), _ExchangeGateway, minthreads=threads, maxthreads=threads)
        self.handler = handler
        self.heads = _HeadDeadlines()
        self.front_limits = FrontLimits()
        self.draining = False
        self.server_name = "turmerictray"
        self.request_queue_size = _BACKLOG
        self.keep_alive_conn_limit = _KEPT_CONNECTIONS
        self.shutdown_timeout = 1

    def is_draining(self) -> bool:
        """Whether answers should close their connections."""
        return self.draining

    def process_conn(self, conn: HTTPConnection) -> None:
        """Serve a connection that has something to read.

        A fresh connection waits in the selector like an idle one: handed to a thread at once, a
        caller that connects and sends nothing would hold that thread.
        """
        if conn.last_used is None:
            self._connections.put(conn)
        else:
            super().process_conn(conn)

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
        Requests handled at once.
    """

    def __init__(self, host: str, port: int, handler: Handler, threads: int) -> None:
        self._server = _Server(host, port, handler, threads)
        self._thread = threading.Thread(target=self._serve, name=f"front-{port}", daemon=True)
        self.apply_limits(FrontLimits())

    def apply_limits(self, limits: FrontLimits) -> None:
        """Put new bounds in force for the requests that come next."""
        self._server.front_limits = limits
        self._server.max_request_header_size = limits.header_bytes
        self._server.max_request_body_size = limits.body_bytes
        self._server.timeout = limits.idle_timeout_s * _IDLE_SLACK

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
