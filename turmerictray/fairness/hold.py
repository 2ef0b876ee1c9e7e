"""How many requests of one team a router holds at once.

Every request in hand, waiting or being answered, holds one thread of the front. The bound moves
with what is free (the dynamic threshold of Choudhury and Hahne, "Dynamic queue length thresholds
for shared-memory packet switches", 1998): a team may hold as many as are still free, so one
flooding team gets half of the front, two get a third each, and some of it is always free for a
team that comes next.
"""

from collections import Counter

from turmerictray.core.ids import TeamId


class Hold:
    """Counts the requests in hand.

    Parameters
    ----------
    places : int
        Requests the front can hold in all, one per thread.
    """

    def __init__(self, places: int) -> None:
        self.places = places
        self._held: Counter[TeamId] = Counter()
        self._total = 0

    def admits(self, team: TeamId) -> bool:
        """Whether one more request of ``team`` may be taken in hand."""
        return self._held[team] < self.places - self._total

    def take(self, team: TeamId) -> None:
        """Count one more request in hand."""
        self._held[team] += 1
        self._total += 1

    def drop(self, team: TeamId) -> None:
        """Count one request less."""
        self._total -= 1
        self._held[team] -= 1
        if self._held[team] <= 0:
            del self._held[team]

    def __len__(self) -> int:
        return self._total
