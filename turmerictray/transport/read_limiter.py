"""Limit on the number of requests that a server reads and decides on at the same time."""

import threading
import time
from collections import OrderedDict, deque
from collections.abc import Callable, Hashable

from turmerictray.core.supervision import SupervisedThread

_MAX_CONCURRENT_READS = 2
"""Each runnable thread wakes up every switch interval to request the interpreter lock (GIL);
hundreds of runnable threads spend most of the processor's time on that alone."""

_SLOT_LEASE_S = 0.03
"""A slot is freed after this time even if the request is not decided on yet, so that requests with
slow decisions can't stop others from being read."""


class ReadLimiter:
    """Starts items in order of arrival, in a limited number of slots.

    An item occupies its slot until it is released or, if others are queued, its lease expires.

    Parameters
    ----------
    on_start : callable
        Called with each item that gets a slot and the seconds that it has waited for one, on the
        thread that submitted the item or freed the slot. Returns false if the item needs no slot
        any more.
    max_slots : int
        Number of slots.
    lease_s : float
        Maximum time in seconds that an item occupies a slot.
    """

    def __init__(
        self,
        on_start: Callable[[Hashable, float], bool],
        max_slots: int = _MAX_CONCURRENT_READS,
        lease_s: float = _SLOT_LEASE_S,
    ) -> None:
        self._on_start = on_start
        self._max_slots = max_slots
        self._lease_s = lease_s
        self._queue: deque[tuple[Hashable, float]] = deque()
        self._lease_ends_at: OrderedDict[Hashable, float] = OrderedDict()
        self._changed = threading.Condition()
        self._stopped = False
        self._thread = SupervisedThread(self._run, "read-turns")

    def start(self) -> None:
        """Start the thread that frees slots with an expired lease."""
        self._thread.start()

    def stop(self) -> None:
        """Stop freeing slots with an expired lease."""
        with self._changed:
            self._stopped = True
            self._changed.notify()

    def submit(self, item: Hashable) -> None:
        """Start an item at once if a slot is free, otherwise queue it."""
        with self._changed:
            is_full = len(self._lease_ends_at) >= self._max_slots
            if is_full:
                self._queue.append((item, time.monotonic()))
                self._changed.notify()
            else:
                self._occupy_slot(item)
        if not is_full:
            self._start_from((item, 0.0))

    def release(self, item: Hashable) -> None:
        """Free an item's slot; do nothing if the item no longer occupies one."""
        self._start_from(self._free_slot(item))

    def queue_delay_s(self) -> float:
        """Return the seconds that the first queued item has waited; 0 if the queue is empty."""
        with self._changed:
            return time.monotonic() - self._queue[0][1] if self._queue else 0.0

    def _start_from(self, entry: tuple[Hashable, float] | None) -> None:
        """Start an entry, and the following ones for as long as the last one needs no slot."""
        while entry is not None and not self._on_start(*entry):
            entry = self._free_slot(entry[0])

    def _free_slot(self, item: Hashable) -> tuple[Hashable, float] | None:
        """Free a slot and return the next item to start and its waiting time, if any."""
        with self._changed:
            if self._lease_ends_at.pop(item, None) is None or not self._queue:
                return None
            next_item, queued_at = self._queue.popleft()
            self._occupy_slot(next_item)
            return next_item, time.monotonic() - queued_at

    def _occupy_slot(self, item: Hashable) -> None:
        self._lease_ends_at[item] = time.monotonic() + self._lease_s

    def _run(self) -> None:
        while (item := self._wait_for_expired_lease()) is not None:
            self.release(item)

    def _wait_for_expired_lease(self) -> Hashable | None:
        """Return an item whose lease has expired while others are queued; None when stopped."""
        with self._changed:
            while not self._stopped:
                if not self._queue or not self._lease_ends_at:
                    self._changed.wait()
                    continue
                item, ends_at = next(iter(self._lease_ends_at.items()))
                left_s = ends_at - time.monotonic()
                if left_s <= 0:
                    return item
                self._changed.wait(left_s)
            return None
