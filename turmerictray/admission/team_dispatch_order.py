"""Dispatch order of one team's pending requests."""

from bisect import bisect_left, bisect_right, insort
from itertools import accumulate

from turmerictray.fairness.queue import PendingRequest

_MIN_WORK_TOKENS = 200
"""Work of a request whose whole prompt is cached: the tokens that an engine could read in the time
such a request takes."""

DispatchKey = tuple[float, int]
"""Sort key of a request: the seconds it could wait on arrival, and the tokens to be read for it."""


def dispatch_key(pending: PendingRequest) -> DispatchKey:
    """Return the sort key of a request, which orders by urgency and then by length."""
    return pending.context.urgency_s, pending.context.reading_tokens


def request_work(pending: PendingRequest) -> float:
    """Return the work that a request causes on its target.

    The unit is tokens to be read for an engine, and calls for a plain service.
    """
    context = pending.context
    return 1.0 if context.prompt is None else context.reading_tokens + _MIN_WORK_TOKENS


class TeamDispatchOrder:
    """The pending requests of a team, sorted by urgency, length and arrival.

    The requests are kept sorted because a linear scan for each arriving request, in the queue of a
    team far over its share, took most of the time that a router has for refusals.
    """

    def __init__(self) -> None:
        self._sorted: list[tuple[DispatchKey, int, PendingRequest]] = []
        self._cumulative_work: list[float] | None = None

    def __len__(self) -> int:
        return len(self._sorted)

    def add(self, pending: PendingRequest, front: bool) -> None:
        """Add a request; ``front`` puts it before others with the same sort key."""
        self._cumulative_work = None
        insort(
            self._sorted, (dispatch_key(pending), -pending.seq if front else pending.seq, pending)
        )

    def remove(self, pending: PendingRequest) -> None:
        """Remove a request."""
        key = dispatch_key(pending)
        for seq in (pending.seq, -pending.seq):
            index = bisect_left(self._sorted, (key, seq))
            if index < len(self._sorted) and self._sorted[index][2] is pending:
                del self._sorted[index]
                self._cumulative_work = None
                return

    def next_requests(self, limit: int) -> list[PendingRequest]:
        """Return at most ``limit`` requests, the next to be dispatched first."""
        return [pending for _, _, pending in self._sorted[:limit]]

    def count_up_to(self, key: DispatchKey) -> int:
        """Return the number of requests ahead of a new one with this sort key."""
        return bisect_right(self._sorted, key, key=lambda entry: entry[0])

    def work_of_first(self, count: int) -> float:
        """Return the work of the first ``count`` requests, in the unit of :func:`request_work`."""
        if self._cumulative_work is None:
            self._cumulative_work = list(
                accumulate((request_work(entry[2]) for entry in self._sorted), initial=0.0)
            )
        return self._cumulative_work[min(count, len(self._sorted))]
