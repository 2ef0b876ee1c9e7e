"""The HTTP server that hands each request to a handler as a :class:`ClientExchange`."""

import select
import threading
import time
from collections.abc import Callable

from cheroot.server import Gateway, HTTPConnection, HTTPServer

from turmerictray.config.routes import FrontLimits
from turmerictray.core.logs import log_event
from turmerictray.transport.accepting import AcceptWatch
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
        self.accepting = AcceptWatch()
        self.socket = None
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
        self.accepting.note_accepted()
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

    def is_overloaded(self) -> bool:
        """Whether callers had better go elsewhere; to be asked ten times a second."""
        return self._is_stalled() or self._server.requests.read_delay.is_late(time.monotonic())

    def read_delay_s(self) -> float:
        """How long requests lie unread, as a moving average."""
        return self._server.requests.read_delay.mean_s(time.monotonic())

    def _is_stalled(self) -> bool:
        """Whether connections wait and none is accepted."""
        now = time.monotonic()
        waiting = self._connection_waits()
        self._server.accepting.look(waiting, now)
        return self._server.accepting.is_stalled(now)

    def _connection_waits(self) -> bool:
        # The watch that asks runs before the port is bound and after it is closed; an error there
        # would end it, and nobody would notice callers' hang-ups any more.
        sock = self._server.socket
        fd = sock.fileno() if sock is not None else -1
        if fd < 0:
            return False
        poller = select.poll()
        poller.register(fd, select.POLLIN)
        return bool(poller.poll(0))

    def close_slow_heads(self) -> None:
        """End connections whose request head takes longer than the limit allows."""
        self._server.heads.close_overdue(self._server.front_limits.header_timeout_s)

    def _serve(self) -> None:
        self._server.serve()
