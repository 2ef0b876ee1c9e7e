"""Detection of callers that disconnect while their request is pending or being answered."""

import select
import socket
import threading
from collections.abc import Callable
from enum import Enum

from turmerictray.core.logs import log_event
from turmerictray.core.supervision import SupervisedThread

_SCAN_INTERVAL_S = 0.1
"""Interval between two scans of the callers' connections. A disconnect reaches the target within
this interval plus a round trip; ten scans per second cost less than one wake-up per request."""

_DISCONNECT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL


class Closer(Enum):
    """Who closed the connection of an answer first.

    ``CALLER`` is the caller, for which the router closed it; ``ROUTER_STOP`` is the router, because
    it stops; ``ROUTER`` is the router for any other reason, such as a deadline.
    """

    TARGET = "target"
    CALLER = "caller"
    ROUTER_STOP = "router_stop"
    ROUTER = "router"


class CancellableCall:
    """A request in progress that is cancelled when its caller disconnects.

    Parameters
    ----------
    sock : socket.socket
        The caller's connection.

    Attributes
    ----------
    caller_gone : bool
        Whether the caller has disconnected, or the request was aborted because of a shutdown.
    closer : Closer or None
        Who cancelled the request; None if it was not cancelled.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.fd = sock.fileno()
        # A socket that was closed meanwhile, as on a shutdown, has no descriptor to poll.
        self.caller_gone = self.fd < 0
        self.closer = Closer.ROUTER_STOP if self.caller_gone else None
        self._lock = threading.Lock()
        self._abort: Callable[[], None] | None = None

    def handle_disconnect(self, closer: Closer = Closer.CALLER) -> None:
        """Mark the caller as gone and abort the operation in progress, once."""
        with self._lock:
            if self.caller_gone:
                return
            self.caller_gone = True
            self.closer = closer
            abort, self._abort = self._abort, None
            # Within the lock: once on_disconnect() has returned, the operation's connection may
            # belong to another request.
            if abort is not None:
                abort()

    def check_disconnected(self) -> bool:
        """Poll the caller's connection now; return whether the caller has disconnected."""
        if self.caller_gone:
            return True
        poller = select.poll()
        poller.register(self.fd, select.POLLRDHUP)
        if any(mask & _DISCONNECT_EVENTS for _, mask in poller.poll(0)):
            self.handle_disconnect()
        return self.caller_gone

    def on_disconnect(self, abort: Callable[[], None] | None) -> bool:
        """Set the function that aborts the current operation on a disconnect.

        Parameters
        ----------
        abort : callable or None
            None if there is nothing to abort.

        Returns
        -------
        bool
            False if the caller is already gone; ``abort`` is not called then.
        """
        with self._lock:
            self._abort = abort
            return not self.caller_gone


class DisconnectMonitor:
    """Thread that polls the callers' connections of all requests in progress.

    Parameters
    ----------
    on_scan : callable
        Called after each scan, for other periodic checks with the same interval.
    """

    def __init__(self, on_scan: Callable[[], None] = lambda: None) -> None:
        self._calls: dict[int, CancellableCall] = {}
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._on_scan = on_scan
        self._thread = SupervisedThread(self._run, "hang-up-watch")

    def start(self) -> None:
        """Start the scanning thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop scanning and wait up to two seconds for the thread."""
        self._stop.set()
        self._thread.join(timeout=2)

    def add(self, call: CancellableCall) -> None:
        """Start monitoring a call's connection."""
        with self._lock:
            if call.fd >= 0:
                self._calls[call.fd] = call

    def remove(self, call: CancellableCall) -> None:
        """Stop monitoring a call's connection, which then belongs to the server again."""
        with self._lock:
            self._calls.pop(call.fd, None)

    def abort_all(self) -> int:
        """Abort all calls in progress as if their callers had disconnected; return their number.

        On shutdown the server waits for its threads one after another. If each stream were aborted
        only when the server waits for its thread, all streams together would take far longer than
        a process is given to stop.
        """
        with self._lock:
            calls = list(self._calls.values())
        for call in calls:
            call.handle_disconnect(Closer.ROUTER_STOP)
        return len(calls)

    def __len__(self) -> int:
        return len(self._calls)

    def _run(self) -> None:
        while not self._stop.wait(_SCAN_INTERVAL_S):
            for call in self._find_disconnected():
                call.handle_disconnect()
            self._on_scan()

    def _find_disconnected(self) -> list[CancellableCall]:
        # The lock is held during the poll: if a file descriptor were closed and reused meanwhile,
        # one caller's disconnect would abort another caller's request.
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
            return [self._calls[fd] for fd, mask in events if mask & _DISCONNECT_EVENTS]
