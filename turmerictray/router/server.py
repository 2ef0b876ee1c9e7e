"""A cheroot HTTP server for a WSGI application, as an application component."""

import sys
import threading
from collections.abc import Callable

from cheroot import wsgi

from turmerictray.config.routes import FrontLimits
from turmerictray.core.logs import log_event
from turmerictray.core.supervision import SupervisedThread
from turmerictray.transport.strict_server import LAST_REQUESTS_S, HeadDeadlines, StrictServerMixin

_LIMITS_CHECK_INTERVAL_S = 0.25
"""Interval between checks for overdue request heads and for changed limits."""


class _Gateway(wsgi.Gateway_10):
    """Resets the connection of an HTTP/1.0 answer that doesn't come to its end.

    Without a length a normal close would be the proper end of what has been sent.
    """

    def respond(self) -> None:
        """Send the application's answer."""
        conn = self.req.conn
        conn.set_reset_on_close(self.req.response_protocol == "HTTP/1.0")
        try:
            super().respond()
        finally:
            # An application that raises before its head is answered with a failure.
            is_cut = self.req.sent_headers and sys.exception() is not None
            conn.set_reset_on_close(is_cut and self.req.response_protocol == "HTTP/1.0")


class _WsgiServer(StrictServerMixin, wsgi.Server):
    """A WSGI server with strict framing and limits on request heads."""


class HttpServer:
    """An HTTP server that runs a WSGI application on its own thread pool.

    Parameters
    ----------
    host : str
    port : int
    app : callable
        The WSGI application.
    threads : int
        Number of worker threads. Each serves one caller's connection at a time.
    name : str
        Name of the server in log lines and thread names.
    limits : callable
        Returns the current limits on requests.
    """

    def __init__(
        self,
        host: str,
        port: int,
        app,
        threads: int,
        name: str,
        limits: Callable[[], FrontLimits] = FrontLimits,
    ) -> None:
        self.name = name
        self.server = _WsgiServer(
            (host, port),
            app,
            numthreads=threads,
            server_name=name,
            shutdown_timeout=5,
            request_queue_size=1024,
        )
        self.server.gateway = _Gateway
        self.server.head_deadlines = HeadDeadlines()
        self._limits = limits
        self.server.apply_limits(limits())
        self._stop = threading.Event()
        self._thread = SupervisedThread(self._serve, f"http-{name}")
        self._limits_thread = SupervisedThread(self._enforce_limits, f"heads-{name}")

    def start(self) -> None:
        """Bind the port and serve on a background thread."""
        self.server.prepare()
        self._thread.start()
        self._limits_thread.start()
        log_event(
            "listening",
            server=self.name,
            host=self.server.bind_addr[0],
            port=self.server.bind_addr[1],
        )

    def stop(self) -> None:
        """Stop accepting connections and wait up to cheroot's shutdown timeout for requests."""
        self.server.stop_accepting(LAST_REQUESTS_S)
        self._stop.set()
        self.server.stop()
        self._thread.join(timeout=10)

    def _serve(self) -> None:
        self.server.serve()

    def _enforce_limits(self) -> None:
        while not self._stop.wait(_LIMITS_CHECK_INTERVAL_S):
            limits = self._limits()
            if limits != self.server.front_limits:
                self.server.apply_limits(limits)
            self.server.head_deadlines.close_overdue(limits.header_timeout_s)
