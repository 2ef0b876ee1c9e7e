"""The fleet's budget of repeats, of which each router spends only its own part."""

from collections import deque

_MARGIN = 0.85
"""Part of the allowance that is used. Windows of the router and of whoever counts don't begin at
the same moment, and a peer that has just left may have spent its part."""


class RetryBudget:
    """Repeats that this router may send to one service, in a sliding window.

    A repeat is any send beyond the first of a request. The allowance of a window is ``ratio`` times
    the requests this router took in it, plus this router's part of ``floor``, which all routers
    share. A router that hears no peer goes on with the part it last knew: its peers still spend
    theirs.

    Parameters
    ----------
    ratio : float
    floor : float
        Repeats that the whole fleet may send in a window however few requests there are.
    window_s : float
    """

    def __init__(self, ratio: float, floor: float, window_s: float) -> None:
        self.ratio = ratio
        self.floor = floor
        self.window_s = window_s
        self.routers = 1
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def set_limits(self, ratio: float, floor: float, window_s: float) -> None:
        """Take changed limits; what was spent stays spent."""
        self.ratio = ratio
        self.floor = floor
        self.window_s = window_s

    def note_request(self, now: float) -> None:
        """A caller's request for the service has come."""
        self._requests.append(now)

    def take(self, now: float) -> bool:
        """Spend one repeat; false when the window's allowance is used up."""
        self._forget(now)
        if len(self._repeats) + 1 > self._allowance():
            return False
        self._repeats.append(now)
        return True

    def _allowance(self) -> float:
        part = self.floor / max(self.routers, 1)
        return _MARGIN * (self.ratio * len(self._requests) + part)

    def _forget(self, now: float) -> None:
        horizon = now - self.window_s
        for times in (self._requests, self._repeats):
            while times and times[0] < horizon:
                times.popleft()
