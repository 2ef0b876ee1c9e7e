"""A pool of threads that has as many as were needed at once so far."""

from cheroot.server import HTTPConnection
from cheroot.workers.threadpool import ThreadPool

from turmerictray.core.logs import log_event

_FIRST = 32
"""Threads at the start; a router under everyday load has fewer requests in hand."""

_STEP = 16
"""Threads started together when none is free. One takes 0.6 ms to start on a busy machine, and the
server's loop waits for them."""


class GrowingThreadPool(ThreadPool):
    """Starts threads when requests would wait for one.

    Streams hold a thread for seconds, so a busy router needs hundreds, and most need few. Started
    beforehand, the threads of many routers on one machine used up what it allows.

    Parameters
    ----------
    server : cheroot.server.HTTPServer
    most : int
        Threads at most.
    """

    def __init__(self, server, most: int) -> None:
        super().__init__(server, min=min(_FIRST, most), max=most)

    def put(self, obj: HTTPConnection) -> None:
        """Hand a connection that has something to read to the next free thread."""
        super().put(obj)
        if self.idle < self.qsize:
            self.grow(_STEP)

    def grow(self, amount: int) -> None:
        """Start threads without waiting for them, as the server's loop would stand still."""
        for _ in range(min(amount, int(self.max) - len(self._threads))):
            try:
                self._threads.append(self._spawn_worker())
            except RuntimeError as exc:
                # The machine allows no more. Requests wait for the threads there are.
                log_event("thread_not_started", level="WARNING", have=len(self._threads), exc=exc)
                return
