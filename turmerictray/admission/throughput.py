"""Throughput of a service, measured while requests are pending."""

import math

_TIME_CONSTANT_S = 1.0
"""Time constant of the exponential average. An engine reads several of the longest prompts in this
time, and engines that join or leave show within it."""

_MIN_MEASURED_S = 0.05
"""Minimum measured time with requests pending before the average is used."""


class Throughput:
    """Work dispatched per second, averaged over the time in which requests were pending.

    Notes
    -----
    The unit is work rather than requests. A low request rate measured on long prompts would lead to
    the refusal of short prompts that could be dispatched soon. Only long prompts would then be
    admitted, and the measured rate would stay low.
    """

    def __init__(self) -> None:
        self._decayed_work = 0.0
        self._measured_s = 0.0
        self._last_at: float | None = None

    def note_sent(self, work: float, now: float) -> None:
        """Record work that was dispatched."""
        if self._last_at is not None:
            elapsed = now - self._last_at
            decay = math.exp(-elapsed / _TIME_CONSTANT_S)
            self._decayed_work = self._decayed_work * decay + work
            self._measured_s = self._measured_s * decay + elapsed
        self._last_at = now

    def note_idle(self) -> None:
        """Record that no request is pending; the time until the next dispatch is not counted."""
        self._last_at = None

    @property
    def per_s(self) -> float:
        """Work dispatched per second; 0 if not known yet."""
        return self._decayed_work / self._measured_s if self._measured_s >= _MIN_MEASURED_S else 0.0

    def seconds_for(self, work: float) -> float:
        """Return the time in which ``work`` is dispatched, in seconds; 0 if not known yet."""
        per_s = self.per_s
        return work / per_s if per_s else 0.0
