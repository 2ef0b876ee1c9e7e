"""Thread pool that grows on demand and does not shrink."""

import threading
from collections.abc import Callable

from cheroot.server import HTTPConnection
from cheroot.workers.threadpool import ThreadPool

from turmerictray.core.logs import log_event
from turmerictray.transport.read_limiter import ReadLimiter

_INITIAL_THREADS = 32
"""Enough for a router under normal load, which has fewer requests in progress."""

_GROWTH_STEP = 16
"""Threads started together when too few are idle; requests wait until they have started."""

TryFastPath = Callable[[HTTPConnection, float], bool]
"""Answers a connection's request on the fast path if possible; see :class:`GrowingThreadPool`."""


class GrowingThreadPool(ThreadPool):
    """Thread pool that starts more threads when requests would have to wait for one.

    A stream occupies a thread for seconds, so a busy router needs hundreds of threads, but most
    routers need few. When all threads were started in advance, many routers on one machine
    exceeded its thread limit.

    Only a few requests are read at the same time, in order of arrival; see :class:`ReadLimiter`. A
    thread that waits for a target or relays a stream has released its read slot, so it competes for
    the processor with these few only, no matter how many requests come in.

    Parameters
    ----------
    server : cheroot.server.HTTPServer
    max_threads : int
        Maximum number of threads.
    try_fast_path : callable
        Called with a connection that gets a read slot and the seconds that it has waited for it;
        returns whether its request has been answered and needs no thread.
    """

    def __init__(
        self, server, max_threads: int, try_fast_path: TryFastPath = lambda conn, waited_s: False
    ) -> None:
        super().__init__(server, min=min(_INITIAL_THREADS, max_threads), max=max_threads)
        self.read_limiter = ReadLimiter(self._start_reading)
        self._try_fast_path = try_fast_path
        self._growth_lock = threading.Lock()

    def start(self) -> None:
        """Start the initial threads and the read limiter."""
        super().start()
        self.read_limiter.start()

    def stop(self, timeout: float = 5) -> None:
        """Stop all threads and wait at most ``timeout`` seconds for them."""
        self.read_limiter.stop()
        super().stop(timeout)

    def queue_for_reading(self, conn: HTTPConnection) -> None:
        """Serve a connection whose request has arrived as soon as a read slot is free."""
        self.read_limiter.submit(conn)

    def _start_reading(self, conn: HTTPConnection, waited_s: float) -> bool:
        if self._try_fast_path(conn, waited_s):
            return False
        self.put(conn)
        return True

    def put(self, obj: HTTPConnection) -> None:
        """Hand a connection to the next idle thread, and start threads if there are too few."""
        super().put(obj)
        with self._growth_lock:
            if self.idle < self.qsize:
                self.grow(_GROWTH_STEP)

    def grow(self, amount: int) -> None:
        """Start up to ``amount`` threads without waiting, which would block the server's loop."""
        for _ in range(min(amount, int(self.max) - len(self._threads))):
            try:
                self._threads.append(self._spawn_worker())
            except RuntimeError as exc:
                # The machine's thread limit is reached; requests wait for the existing threads.
                log_event("thread_not_started", level="WARNING", have=len(self._threads), exc=exc)
                return
