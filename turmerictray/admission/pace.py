"""How fast a service takes work, measured while requests wait for it."""

import math

_MEMORY_S = 1.0
"""Time over which the pace is averaged. Several of the longest prompts are read in it, and engines
that come or go show within it."""

_LEAST_SEEN_S = 0.05
"""Time with requests waiting that must have been seen before a pace is believed."""


class Pace:
    """Work sent a second, averaged over the time in which something waited.

    Notes
    -----
    Work is counted rather than requests: a pace of requests that long prompts have set would refuse
    short ones whose turn comes soon, and then only long ones are let in, which keeps it slow.
    """

    def __init__(self) -> None:
        self._work = 0.0
        self._seconds = 0.0
        self._last_at: float | None = None

    def note_sent(self, work: float, now: float) -> None:
        """Some work was sent."""
        if self._last_at is not None:
            elapsed = now - self._last_at
            kept = math.exp(-elapsed / _MEMORY_S)
            self._work = self._work * kept + work
            self._seconds = self._seconds * kept + elapsed
        self._last_at = now

    def note_idle(self) -> None:
        """Nothing waits; the time until the next send says nothing about the pace."""
        self._last_at = None

    @property
    def per_s(self) -> float:
        """Work sent a second; 0 where it is not known yet."""
        return self._work / self._seconds if self._seconds >= _LEAST_SEEN_S else 0.0

    def seconds_for(self, work: float) -> float:
        """Seconds until so much work has been sent; 0 where no pace is known yet."""
        per_s = self.per_s
        return work / per_s if per_s else 0.0
