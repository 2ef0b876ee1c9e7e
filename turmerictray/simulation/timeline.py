"""Virtual time and a queue of scheduled actions."""

import heapq
import itertools
from collections.abc import Callable


class Timeline:
    """Event queue in virtual time; simultaneous actions run in the order they were scheduled."""

    def __init__(self) -> None:
        self.now = 0.0
        self._sequence = itertools.count()
        self._actions: list[tuple[float, int, Callable, tuple]] = []

    def at(self, when: float, action: Callable, *args: object) -> None:
        """Schedule ``action(*args)`` for the virtual time ``when``, in seconds."""
        heapq.heappush(self._actions, (when, next(self._sequence), action, args))

    def run(self, until: float) -> None:
        """Run all actions scheduled up to and including ``until``."""
        while self._actions and self._actions[0][0] <= until:
            self.now, _, action, args = heapq.heappop(self._actions)
            action(*args)
