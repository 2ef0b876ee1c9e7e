"""The cheroot HTTP server of a WSGI application, as an application component."""

import threading
from collections.abc import Callable

from cheroot import wsgi

from turmerictray.config.routes import FrontLimits
from turmerictray.core.logs import log_event
from turmerictray.transport.heads import HeadDeadlines, StrictServerMixin

_LOOK_S = 0.25
"""Rhythm of looking for request heads that take too long and for changed limits."""


class _WsgiServer(StrictServerMixin, wsgi.Server):
    """A WSGI server with strict framing and limits on request heads."""


class HttpServer:
    """Serves a WSGI application on its own thread pool.

    Parameters
    ----------
    host : str
    port : int
    app : callable
        The WSGI application.
    threads : int
        Worker threads; each holds one caller's connection at a time.
    name : str
        For logs.
    limits : callable
        Returns the bounds on what a caller may send, as they are now.
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
        self.server.heads = HeadDeadlines()
        self._limits = limits
        self.server.apply_limits(limits())
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._serve, name=f"http-{name}", daemon=True)
        self._looker = threading.Thread(target=self._look, name=f"heads-{name}", daemon=True)

    def start(self) -> None:
        """Bind the port and serve on a background thread."""
        self.server.prepare()
        self._thread.start()
        self._looker.start()
        log_event(
            "listening",
            server=self.name,
            host=self.server.bind_addr[0],
            port=self.server.bind_addr[1],
        )

    def stop(self) -> None:
        """Stop accepting and wait for running requests (cheroot's shutdown timeout)."""
        self._stop.set()
        self.server.stop()
        self._thread.join(timeout=10)

    def _serve(self) -> None:
        self.server.serve()

    def _look(self) -> None:
        while not self._stop.wait(_LOOK_S):
            limits = self._limits()
            if limits != self.server.front_limits:
                self.server.apply_limits(limits)
            self.server.heads.close_overdue(limits.header_timeout_s)
