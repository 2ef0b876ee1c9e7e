"""A team's waiting requests in the order in which they are sent."""

from bisect import bisect_left, bisect_right, insort
from itertools import accumulate

from turmerictray.fairness.queue import Pending

_LEAST_WORK = 200
"""Tokens that an engine reads in the time that a request takes whose whole prompt is kept."""

Turn = tuple[float, int]
"""Seconds that a request could wait when it came, and the tokens to be read for it."""


def turn_of(item: Pending) -> Turn:
    """Orders a team's requests: the most urgent first, the shortest of those."""
    return item.context.urgency_s, item.context.reading_tokens


def work_of(item: Pending) -> float:
    """What sending a request takes from the targets: tokens to be read, or 1 for a plain call."""
    wanted = item.context
    return 1.0 if wanted.prompt is None else wanted.reading_tokens + _LEAST_WORK


class TeamTurns:
    """Keeps requests sorted by their turn, those of one turn in the order in which they came.

    Looked through for each request that comes, the queue of a team far over its share took most of
    the time that a router has for its refusals.
    """

    def __init__(self) -> None:
        self._sorted: list[tuple[Turn, int, Pending]] = []
        self._work_up_to: list[float] | None = None

    def __len__(self) -> int:
        return len(self._sorted)

    def add(self, item: Pending, first: bool) -> None:
        """A request waits; ``first`` puts it before others of its turn."""
        self._work_up_to = None
        insort(self._sorted, (turn_of(item), -item.seq if first else item.seq, item))

    def remove(self, item: Pending) -> None:
        """A request waits no more."""
        turn = turn_of(item)
        for seq in (item.seq, -item.seq):
            index = bisect_left(self._sorted, (turn, seq))
            if index < len(self._sorted) and self._sorted[index][2] is item:
                del self._sorted[index]
                self._work_up_to = None
                return

    def next(self, most: int) -> list[Pending]:
        """At most ``most`` requests that come next."""
        return [item for _, _, item in self._sorted[:most]]

    def up_to(self, turn: Turn) -> int:
        """How many come before a new request of this turn."""
        return bisect_right(self._sorted, turn, key=lambda entry: entry[0])

    def work_of(self, first: int) -> float:
        """Work of the first so many requests, in the unit of :func:`work_of`."""
        if self._work_up_to is None:
            self._work_up_to = list(accumulate((work_of(e[2]) for e in self._sorted), initial=0.0))
        return self._work_up_to[min(first, len(self._sorted))]
