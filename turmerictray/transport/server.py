"""The HTTP server that hands each request to a handler as a :class:`ClientExchange`."""

import socket
from collections.abc import Callable
from functools import partial
from typing import Protocol

from cheroot.server import Gateway, HTTPConnection, HTTPServer

from turmerictray.config.routes import FrontLimits
from turmerictray.core.logs import log_event
from turmerictray.core.supervision import SupervisedThread, report_item_failure
from turmerictray.transport.exchange import ClientExchange, RequestHead
from turmerictray.transport.fast_path import is_complete_request, peek_received, try_fast_path
from turmerictray.transport.strict_server import LAST_REQUESTS_S, HeadDeadlines, StrictServerMixin
from turmerictray.transport.threads import GrowingThreadPool

_IDLE_TIMEOUT_FACTOR = 1.2
"""Multiple of the idle limit after which the server closes an idle connection.

The caller should close first: if the server closed at the same moment, a request on its way would
be lost.
"""

Handler = Callable[[ClientExchange], None]


class FastPath(Protocol):
    """Decides which requests are answered from their head alone.

    ``read_delay_s`` is the time that requests currently wait until they are read; it grows when the
    router can't keep up with incoming requests.
    """

    def is_active(self, read_delay_s: float) -> bool:
        """Return whether any request may be answered now.

        If not, the server skips the additional parsing of heads.
        """

    def answer(self, head: RequestHead, read_delay_s: float) -> bytes | None:
        """Return the encoded answer, after which the connection is closed; None to serve it."""


class _NoFastPath:
    def is_active(self, read_delay_s: float) -> bool:
        return False

    def answer(self, head: RequestHead, read_delay_s: float) -> bytes | None:
        return None


class _AcceptedSocket:
    """Stands in for the listening socket, to hand cheroot a connection that is accepted already."""

    def __init__(self, sock: socket.socket, addr: tuple[str, int]) -> None:
        self._connection = sock, addr

    def accept(self) -> tuple[socket.socket, tuple[str, int]]:
        """Return the accepted connection and its caller's address."""
        return self._connection


class _ExchangeGateway(Gateway):
    """Passes each of cheroot's requests to the handler."""

    def respond(self) -> None:
        """Handle the request."""
        server = self.req.server
        exchange = ClientExchange(self.req, server.is_draining)
        try:
            server.handler(exchange)
        finally:
            exchange.close()


class _Server(StrictServerMixin, HTTPServer):
    version = "turmerictray"

    def __init__(
        self, host: str, port: int, handler: Handler, threads: int, fast_path: FastPath
    ) -> None:
        super().__init__((host, port), _ExchangeGateway)
        self.requests = GrowingThreadPool(self, threads, self._answer_on_fast_path)
        self.handler = handler
        self.fast_path = fast_path
        self.head_deadlines = HeadDeadlines()
        self.draining = False
        self.server_name = "turmerictray"
        self.shutdown_timeout = 1

    def is_draining(self) -> bool:
        """Return whether connections are to be closed after their next answer."""
        return self.draining

    def add_new_connection(self, conn: HTTPConnection) -> None:
        """Register a new connection with the selector, like an idle one.

        If it were handed to a thread at once, a caller that connects and sends nothing would
        occupy that thread.
        """
        self._connections.put(conn)

    def process_conn(self, conn: HTTPConnection) -> None:
        """Process a connection that is new or has data to read."""
        if conn.last_used is None:
            super().process_conn(conn)
            return
        self.unread.add(conn, has_arrived=True)
        data = None if conn.rfile.has_data() else peek_received(conn.socket)
        if data == b"":
            # The caller has closed an idle connection.
            conn.close()
        elif is_complete_request(data):
            self.requests.queue_for_reading(conn)
        else:
            # A slow sender occupies a thread, but must not occupy a read slot.
            self.requests.put(conn)

    def put_conn(self, conn: HTTPConnection) -> None:
        """Keep a connection for its next request.

        An exception here would end the worker thread, and with it the whole server.
        """
        try:
            super().put_conn(conn)
        except Exception as exc:  # noqa: BLE001 - one connection must not end all others
            report_item_failure("front", exc)
            conn.close()

    def _answer_on_fast_path(self, conn: HTTPConnection, waited_s: float) -> bool:
        """Answer a connection's request on the fast path if possible, and close the connection."""
        if not self._try_fast_path(conn.socket, waited_s):
            return False
        conn.close()
        return True

    def _try_fast_path(self, sock: socket.socket, read_delay_s: float) -> bool:
        try:
            if not self.fast_path.is_active(read_delay_s):
                return False
            return try_fast_path(sock, partial(self.fast_path.answer, read_delay_s=read_delay_s))
        except Exception as exc:  # noqa: BLE001 - the request is served the regular way
            report_item_failure("fast-path", exc)
            return False

    def accept_connection(self) -> None:
        """Accept a connection and try the fast path.

        Under heavy load the request has usually arrived by the time of the accept.
        """
        try:
            sock, addr = self.socket.accept()
        except OSError as exc:
            log_event("accept_failed", level="DEBUG", exc=exc)
            return
        if self._try_fast_path(sock, self.requests.read_limiter.queue_delay_s()):
            sock.close()
            return
        conn = self._connections._from_server_socket(_AcceptedSocket(sock, addr))
        if conn is not None:
            self.add_new_connection(conn)

    def finish_reading(self, conn: HTTPConnection) -> None:
        """Free the connection's read slot for another request."""
        super().finish_reading(conn)
        self.requests.read_limiter.release(conn)

    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        """Log cheroot's own errors as structured events."""
        log_event("http_server_error", level="WARNING", reason=msg.splitlines()[0][:200])


class FrontServer:
    """The callers' HTTP server as an application component.

    Parameters
    ----------
    host : str
    port : int
    handler : callable
        Called with each request, on one of the server's threads.
    threads : int
        Maximum number of requests handled at the same time.
    fast_path : FastPath or None
        Answers requests without a worker thread; None to serve all requests normally.
    """

    def __init__(
        self,
        host: str,
        port: int,
        handler: Handler,
        threads: int,
        fast_path: FastPath | None = None,
    ) -> None:
        self._server = _Server(host, port, handler, threads, fast_path or _NoFastPath())
        self._thread = SupervisedThread(self._serve, f"front-{port}")
        self.apply_limits(FrontLimits())

    def apply_limits(self, limits: FrontLimits) -> None:
        """Apply new limits to the requests that follow."""
        self._server.apply_limits(limits, _IDLE_TIMEOUT_FACTOR)

    def start(self) -> None:
        """Bind the port and serve on a background thread."""
        self._server.prepare()
        self._thread.start()
        host, port = self._server.bind_addr
        log_event("listening", host=host, port=port)

    def drain(self) -> None:
        """Close each connection after its next answer."""
        self._server.draining = True

    def stop_accepting(self, timeout_s: float) -> None:
        """Refuse new connections, and answer or decide on what has arrived on the open ones."""
        self._server.stop_accepting(timeout_s)

    def stop(self) -> None:
        """Stop accepting; requests in progress get a short time to finish."""
        self.stop_accepting(LAST_REQUESTS_S)
        self._server.stop()
        self._thread.join(timeout=2)

    def close_slow_heads(self) -> None:
        """Stop reading from connections whose request head takes longer than the limit."""
        self._server.head_deadlines.close_overdue(self._server.front_limits.header_timeout_s)

    def _serve(self) -> None:
        self._server.serve()
