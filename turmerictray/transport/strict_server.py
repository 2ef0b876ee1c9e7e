"""cheroot connections and server mixin with strict framing and a time limit for request heads."""

import select
import socket
import threading
import time
from contextlib import suppress

from cheroot.server import HTTPConnection

from turmerictray.config.routes import FrontLimits
from turmerictray.core.logs import log_event
from turmerictray.core.supervision import report_item_failure
from turmerictray.transport.framing import StrictRequest
from turmerictray.transport.reset import set_reset_on_close

_READ_TIMEOUT_MARGIN_S = 0.5
"""Added to the time limit of a single read to get the time limit of a whole head.

A caller that has stopped sending gets a 408 when the read times out. If the head's limit expired at
the same time, the caller might get a 400 instead, as if its head were malformed.
"""

_MAX_ACCEPTS_PER_ITERATION = 64
"""Connections accepted in one iteration of the server's loop; bounded so that a flood of new
connections doesn't delay the open ones."""

LAST_REQUESTS_S = 0.2
"""Time that a server always has for requests on open connections before it stops, in seconds."""

_EXPECTED_S = 1.0
"""Time for which a server that stops waits at most for the first request on a connection, in
seconds. It follows within a round trip, but some callers connect long before they ask."""


class UnreadConnections:
    """Connections on which a request is expected or has not been read and decided on yet.

    These are new ones, and those with a request that has arrived. Idle connections of callers that
    have their answer don't count.
    """

    def __init__(self) -> None:
        self._connections: dict[HTTPConnection, bool] = {}
        self._changed = threading.Condition()

    def add(self, conn: HTTPConnection, has_arrived: bool) -> None:
        """Expect a request on a connection, of which some bytes have arrived or none."""
        with self._changed:
            self._connections[conn] = has_arrived

    def discard(self, conn: HTTPConnection) -> None:
        """Note that a connection's request is decided on, or that the connection is closed."""
        with self._changed:
            if self._connections.pop(conn, None) is not None:
                self._changed.notify_all()

    def wait(self, deadline: float) -> None:
        """Wait until all requests are decided on, and briefly for those of which none has come."""
        with self._changed:
            left_s = deadline - time.monotonic()
            self._changed.wait_for(lambda: not self._connections, min(left_s, _EXPECTED_S))
            left_s = deadline - time.monotonic()
            self._changed.wait_for(lambda: not any(self._connections.values()), left_s)


class HeadDeadlines:
    """Time limit for whole request heads.

    A caller that sends one byte at a time never reaches the time limit of a single read, and
    without this limit could occupy a thread indefinitely.
    """

    def __init__(self) -> None:
        self._started_at: dict[HTTPConnection, float] = {}
        self._lock = threading.Lock()

    def begin(self, conn: HTTPConnection) -> None:
        """Start the time limit of the connection's next request head."""
        with self._lock:
            self._started_at[conn] = time.monotonic()

    def end(self, conn: HTTPConnection) -> None:
        """End the time limit: the head has arrived, or the connection is closed."""
        with self._lock:
            self._started_at.pop(conn, None)

    def close_overdue(self, limit_s: float) -> None:
        """Stop reading from connections whose head has taken more than ``limit_s`` seconds."""
        cutoff = time.monotonic() - limit_s - _READ_TIMEOUT_MARGIN_S
        with self._lock:
            overdue = [conn for conn, started_at in self._started_at.items() if started_at < cutoff]
            for conn in overdue:
                del self._started_at[conn]
        for conn in overdue:
            _stop_reading(conn)


def _stop_reading(conn: HTTPConnection) -> None:
    try:
        conn.socket.shutdown(socket.SHUT_RD)
    except OSError as exc:
        log_event("slow_head_already_closed", level="DEBUG", exc=exc)


class _TimedRequest(StrictRequest):
    """A request that ends its head's time limit once the head is read."""

    def parse_request(self) -> None:
        """Read the head."""
        super().parse_request()
        self.server.head_deadlines.end(self.conn)


class StrictConnection(HTTPConnection):
    """A caller's connection with strict framing and a time limit for each request head."""

    RequestHandlerClass = _TimedRequest
    _resets = False

    def __init__(self, server: "StrictServerMixin", *args: object) -> None:
        super().__init__(server, *args)
        server.unread.add(self, has_arrived=False)

    def set_reset_on_close(self, resets: bool) -> None:
        """Set whether closing the connection resets it, also if the process is killed.

        A caller whose answer is delimited by the close of its connection takes a normal close for
        the end of the answer.
        """
        self._resets = resets
        set_reset_on_close(self.socket, resets)

    def close(self) -> None:
        """Close the connection, with a reset if that was set.

        An exception here would end the worker thread, and with it the whole server.
        """
        self.server.unread.discard(self)
        try:
            self._close()
        except Exception as exc:  # noqa: BLE001 - one connection must not end all others
            report_item_failure("front", exc)

    def _close(self) -> None:
        if not self._resets:
            super().close()
            return
        # The shutdown before a normal close would reach the caller ahead of the reset.
        self.rfile.close()
        self.socket.close()

    def communicate(self) -> bool:
        """Serve one request; return whether the connection is kept open."""
        self.socket.settimeout(self.server.front_limits.header_timeout_s)
        self.server.head_deadlines.begin(self)
        try:
            return super().communicate()
        finally:
            self.server.head_deadlines.end(self)
            self.server.finish_reading(self)


class StrictServerMixin:
    """Mixin for a cheroot server that uses :class:`StrictConnection`.

    The server must set ``head_deadlines`` and call :meth:`apply_limits` before it starts.
    """

    ConnectionClass = StrictConnection
    keep_alive_conn_limit = 3000
    """Limit of idle connections; cheroot's default of ten would close nearly all of them."""
    request_queue_size = 1024
    """Connections that may wait to be accepted; the kernel drops further ones, and their callers
    try again after a second."""

    def __init__(self, *args: object, **kwargs: object) -> None:
        self.unread = UnreadConnections()
        self._accepts_no_more = threading.Event()
        self._is_listening_closed = threading.Event()
        super().__init__(*args, **kwargs)

    def process_conn(self, conn: HTTPConnection) -> None:
        """Process a connection that is new or has data to read."""
        if conn.last_used is not None:
            self.unread.add(conn, has_arrived=True)
            super().process_conn(conn)
            return
        self.add_new_connection(conn)
        self._accept_pending(_MAX_ACCEPTS_PER_ITERATION)
        # After the accepts, as the connection that wakes the loop may be among them.
        if self._accepts_no_more.is_set():
            self._close_listening()

    def stop_accepting(self, timeout_s: float) -> None:
        """Close the listening socket, and wait until what callers have sent is decided on.

        Only the first call has an effect.

        Connections that the kernel has accepted are served like all others; closing the socket
        would reset them. The server's loop does so, as its selector is not safe for other threads.
        """
        if self._accepts_no_more.is_set() or not self.ready:
            return
        deadline = time.monotonic() + timeout_s
        self._accepts_no_more.set()
        # The loop wakes for a new connection only; if none can be opened, some are waiting.
        with suppress(OSError), socket.create_connection(self.bind_addr, timeout_s):
            self._is_listening_closed.wait(deadline - time.monotonic())
        self.unread.wait(deadline)

    def _close_listening(self) -> None:
        self._accept_pending(self.request_queue_size)
        self._connections._selector.unregister(self.socket.fileno())
        self.socket.close()
        self.socket = None
        self._is_listening_closed.set()

    def add_new_connection(self, conn: HTTPConnection) -> None:
        """Process a connection that has just been accepted."""
        super().process_conn(conn)

    def finish_reading(self, conn: HTTPConnection) -> None:
        """Note that a connection's request has been read and decided on, or has ended."""
        self.unread.discard(conn)

    def _accept_pending(self, max_accepts: int) -> None:
        # cheroot's loop accepts one connection per iteration, and an iteration handles every open
        # connection that has a request. During a flood on open connections, each new caller would
        # otherwise wait one more iteration.
        poller = select.poll()
        poller.register(self.socket, select.POLLIN)
        for _ in range(max_accepts):
            if not poller.poll(0):
                return
            self.accept_connection()

    def accept_connection(self) -> None:
        """Accept a pending connection."""
        conn = self._connections._from_server_socket(self.socket)
        if conn is not None:
            self.add_new_connection(conn)

    def apply_limits(self, limits: FrontLimits, idle_timeout_factor: float = 1.0) -> None:
        """Apply new limits to the requests that follow.

        Parameters
        ----------
        limits : FrontLimits
        idle_timeout_factor : float
            Multiple of the idle limit after which the server closes an idle connection.
        """
        self.front_limits = limits
        self.max_request_header_size = limits.header_bytes
        self.max_request_body_size = limits.body_bytes
        self.timeout = limits.idle_timeout_s * idle_timeout_factor
