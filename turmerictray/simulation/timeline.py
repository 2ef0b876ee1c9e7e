"""Virtual time: actions in the order of their times."""

import heapq
import itertools
from collections.abc import Callable


class Timeline:
    """Plays actions at their times; those of the same time in the order in which they were set."""

    def __init__(self) -> None:
        self.now = 0.0
        self._order = itertools.count()
        self._actions: list[tuple[float, int, Callable, tuple]] = []

    def at(self, when: float, action: Callable, *args: object) -> None:
        """Do ``action(*args)`` at ``when`` seconds."""
        heapq.heappush(self._actions, (when, next(self._order), action, args))

    def run(self, until: float) -> None:
        """Play all actions up to a time."""
        while self._actions and self._actions[0][0] <= until:
            self.now, _, action, args = heapq.heappop(self._actions)
            action(*args)
