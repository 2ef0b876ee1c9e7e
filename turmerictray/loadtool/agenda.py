"""Actions played at their times, in real time, on a thread."""

import heapq
import itertools
import threading
import time
from collections.abc import Callable


class Agenda:
    """Plays actions in order of time; actions may add others while it runs."""

    def __init__(self) -> None:
        self._order = itertools.count()
        self._actions: list[tuple[float, int, Callable[[], None]]] = []
        self._begun = 0.0
        self._thread = threading.Thread(target=self._run, name="agenda", daemon=True)

    def at(self, at_s: float, action: Callable[[], None]) -> None:
        """Do ``action()`` this many seconds after the start."""
        heapq.heappush(self._actions, (at_s, next(self._order), action))

    def after(self, for_s: float, action: Callable[[], None]) -> None:
        """Do ``action()`` this many seconds from now."""
        self.at(time.monotonic() - self._begun + for_s, action)

    def start(self) -> None:
        """Begin to play."""
        self._begun = time.monotonic()
        self._thread.start()

    def finish(self) -> None:
        """Wait until all actions have been played."""
        self._thread.join()

    def _run(self) -> None:
        while self._actions:
            at_s, _, action = heapq.heappop(self._actions)
            time.sleep(max(0.0, self._begun + at_s - time.monotonic()))
            action()
