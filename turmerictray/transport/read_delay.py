"""How long callers' requests lie unread."""

import threading

_SMOOTHING = 0.05
"""Weight of the newest request; twenty decide, a few hundredths of a second under a flood."""

_FORGOTTEN_S = 1.0

_LATE_S = 0.3
"""Callers give a request up that is not read within a second, and sooner with little time left."""

_WELL_S = 0.1


class ReadDelay:
    """Tells when a router reads requests too late, and when it is well again.

    Callers of one team may all come in at one router. More than its processor can read, they wait
    in its sockets, where nobody can refuse them in time, while routers beside it idle. Not ready,
    it is left by the connections that come next; what it has is served on. Two limits keep it from
    changing its mind with each request.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._mean_s = 0.0
        self._noted_at = 0.0
        self._is_late = False

    def note(self, delay_s: float, now: float) -> None:
        """A request was read ``delay_s`` seconds after it could have been."""
        with self._lock:
            if now - self._noted_at > _FORGOTTEN_S:
                self._mean_s = 0.0
            self._mean_s += _SMOOTHING * (delay_s - self._mean_s)
            self._noted_at = now

    def mean_s(self, now: float) -> float:
        """The moving average; 0 when nothing was read lately."""
        with self._lock:
            return self._mean_s if now - self._noted_at <= _FORGOTTEN_S else 0.0

    def is_late(self, now: float) -> bool:
        """Whether requests are read too late."""
        mean_s = self.mean_s(now)
        if mean_s > _LATE_S:
            self._is_late = True
        elif mean_s < _WELL_S:
            self._is_late = False
        return self._is_late
