"""The cheroot HTTP server as an application component."""

import threading

from cheroot import wsgi

from turmerictray.core.logs import log_event

_IDLE_S = 75
"""Seconds an idle connection is kept, longer than callers and balancers commonly keep theirs:
the end that closes first must be theirs, or their next request meets a closed connection."""


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
    """

    def __init__(self, host: str, port: int, app, threads: int, name: str) -> None:
        self.name = name
        self.server = wsgi.Server(
            (host, port),
            app,
            numthreads=threads,
            server_name=name,
            shutdown_timeout=5,
            request_queue_size=1024,
        )
        self.server.timeout = _IDLE_S
        self._thread = threading.Thread(target=self._serve, name=f"http-{name}", daemon=True)

    def start(self) -> None:
        """Bind the port and serve on a background thread."""
        self.server.prepare()
        self._thread.start()
        log_event(
            "listening",
            server=self.name,
            host=self.server.bind_addr[0],
            port=self.server.bind_addr[1],
        )

    def stop(self) -> None:
        """Stop accepting and wait for running requests (cheroot's shutdown timeout)."""
        self.server.stop()
        self._thread.join(timeout=10)

    def _serve(self) -> None:
        self.server.serve()
