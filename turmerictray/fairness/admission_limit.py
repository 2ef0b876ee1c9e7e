"""Limit on the number of requests that a router has in progress for one team.

Every request in progress, waiting or being answered, occupies one thread of the HTTP front end. The
limit depends on the free threads (the dynamic threshold of Choudhury and Hahne, "Dynamic queue
length thresholds for shared-memory packet switches", 1998): a team may have as many requests in
progress as there are free threads. One flooding team thus gets half of the front end, two get a
third each, and some threads are always free for the next team.
"""

from collections import Counter

from turmerictray.core.ids import TeamId


class AdmissionLimit:
    """Counter of requests in progress per team, with a dynamic limit.

    Parameters
    ----------
    capacity : int
        Maximum number of requests in progress, one per thread.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._in_progress: Counter[TeamId] = Counter()
        self._total = 0

    def admits(self, team: TeamId) -> bool:
        """Return whether one more request of ``team`` may be accepted."""
        return self._in_progress[team] < self.capacity - self._total

    def acquire(self, team: TeamId) -> None:
        """Count one more request in progress."""
        self._in_progress[team] += 1
        self._total += 1

    def release(self, team: TeamId) -> None:
        """Count one request less in progress."""
        self._total -= 1
        self._in_progress[team] -= 1
        if self._in_progress[team] <= 0:
            del self._in_progress[team]

    def __len__(self) -> int:
        return self._total
