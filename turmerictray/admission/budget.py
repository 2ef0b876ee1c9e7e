"""Retry budget of the fleet, of which each router spends only its own share."""

from collections import deque
from contextlib import suppress

_USED_FRACTION = 0.85
"""Fraction of the allowance that is used. The margin covers the offset between this router's window
and that of an outside observer, and the share that a router spent shortly before it left."""


class RetryBudget:
    """Retries that this router may send to one service in a sliding window.

    A retry is any send of a request beyond its first. The allowance of a window is ``ratio`` times
    the requests that this router received in it, plus this router's share of ``floor``, which all
    routers divide evenly. A router that receives no messages from its peers keeps its last known
    share, because the peers may still spend theirs.

    Parameters
    ----------
    ratio : float
        Retries allowed per request received.
    floor : float
        Retries that the whole fleet may send in a window, however few requests there are.
    window_s : float
        Length of the window, in seconds.
    """

    def __init__(self, ratio: float, floor: float, window_s: float) -> None:
        self.ratio = ratio
        self.floor = floor
        self.window_s = window_s
        self.router_count = 1
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def set_limits(self, ratio: float, floor: float, window_s: float) -> None:
        """Replace the limits; retries already spent still count."""
        self.ratio = ratio
        self.floor = floor
        self.window_s = window_s

    def note_request(self, now: float) -> None:
        """Record a caller's request to the service."""
        self._requests.append(now)
        # Also here, as a service that never retries would otherwise keep all its requests.
        self._remove_expired(now)

    def try_spend(self, now: float) -> bool:
        """Spend one retry; return False if the window's allowance is used up."""
        self._remove_expired(now)
        if len(self._retries) + 1 > self._allowance():
            return False
        self._retries.append(now)
        return True

    def refund(self, spent_at: float) -> None:
        """Take back a retry that was spent at ``spent_at`` and is not sent."""
        # One that has left the window is charged no more.
        with suppress(ValueError):
            self._retries.remove(spent_at)

    def _allowance(self) -> float:
        share = self.floor / max(self.router_count, 1)
        return _USED_FRACTION * (self.ratio * len(self._requests) + share)

    def _remove_expired(self, now: float) -> None:
        horizon = now - self.window_s
        for times in (self._requests, self._retries):
            while times and times[0] < horizon:
                times.popleft()
