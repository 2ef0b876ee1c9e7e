"""Notices callers that hang up while their request waits or is answered."""

import select
import socket
import threading
from collections.abc import Callable

from turmerictray.core.logs import log_event

_SCAN_S = 0.1
"""Time between two looks at the callers' connections. A target is told of a hang-up within this
time and a round trip; looking ten times a second costs less than a wake-up per request."""

_HUNG_UP = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL


class Call:
    """A request in progress, which its caller may give up at any moment.

    Parameters
    ----------
    sock : socket.socket
        The caller's connection.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.fd = sock.fileno()
        self.gone = False
        self._lock = threading.Lock()
        self._abort: Callable[[], None] | None = None

    def hang_up(self) -> None:
        """The caller is gone: abort what is being waited for."""
        with self._lock:
            if self.gone:
                return
            self.gone = True
            abort, self._abort = self._abort, None
        if abort is not None:
            abort()

    def look(self) -> bool:
        """Look at the caller's connection now; true when the caller has left."""
        poller = select.poll()
        poller.register(self.fd, select.POLLRDHUP)
        if any(mask & _HUNG_UP for _, mask in poller.poll(0)):
            self.hang_up()
        return self.gone

    def on_hang_up(self, abort: Callable[[], None] | None) -> bool:
        """Set what a hang-up aborts (None: nothing); false when the caller is already gone."""
        with self._lock:
            self._abort = abort
            return not self.gone


class HangUpWatch:
    """A thread that looks at the connections of all calls in progress.

    Parameters
    ----------
    on_scan : callable
        Called after each look, for other checks that need the same rhythm.
    """

    def __init__(self, on_scan: Callable[[], None] = lambda: None) -> None:
        self._calls: dict[int, Call] = {}
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._on_scan = on_scan
        self._thread = threading.Thread(target=self._run, name="hang-up-watch", daemon=True)

    def start(self) -> None:
        """Start looking."""
        self._thread.start()

    def stop(self) -> None:
        """Stop looking and wait for the thread."""
        self._stop.set()
        self._thread.join(timeout=2)

    def add(self, call: Call) -> None:
        """Watch a call's connection."""
        with self._lock:
            self._calls[call.fd] = call

    def remove(self, call: Call) -> None:
        """Stop watching; the connection belongs to the server again."""
        with self._lock:
            self._calls.pop(call.fd, None)

    def end_all(self) -> int:
        """Abort all calls in progress, as if their callers had hung up; returns how many.

        The server waits for its threads one by one. Ended only as it comes to each, streams would
        take far longer together than a process has that is told to stop.
        """
        with self._lock:
            calls = list(self._calls.values())
        for call in calls:
            call.hang_up()
        return len(calls)

    def __len__(self) -> int:
        return len(self._calls)

    def _run(self) -> None:
        while not self._stop.wait(_SCAN_S):
            for call in self._hung_up():
                call.hang_up()
            self._on_scan()

    def _hung_up(self) -> list[Call]:
        # The lock is held during the look: a descriptor that is closed and used again meanwhile
        # would make one caller's hang-up abort another caller's request.
        with self._lock:
            if not self._calls:
                return []
            poller = select.poll()
            for fd in self._calls:
                poller.register(fd, select.POLLRDHUP)
            try:
                events = poller.poll(0)
            except OSError as exc:
                log_event("hang_up_scan_failed", level="WARNING", exc=exc)
                return []
            return [self._calls[fd] for fd, mask in events if mask & _HUNG_UP]
