"""When the broker grants what its messages have made possible."""

import time
from collections.abc import Callable, MutableMapping
from weakref import WeakKeyDictionary

from turmerictray.admission.pool import ServicePool

MOST_PART = 0.25
"""Part of the time that rounds of grants may take. The rest is for the messages themselves, and for
the router's own callers, who wait for the same processor."""

_LONGEST_S = 0.02
"""A round comes after this time though messages keep coming. Engines have 0.03 s of reading before
them, so that none idles meanwhile."""


class GrantRounds:
    """Grants once for many messages, and no more often than the processor bears.

    A decision looks at all engines and at what waits for them. Made for each message, it took the
    whole processor of a router that schedules for a large fleet: messages waited for seconds, the
    others took the scheduler for dead, and its own callers found no connection. Messages that are
    there already are all taken first; the next round waits in proportion to the time that the last
    one took, so that its part of the time is bounded on any machine and in any fleet.

    Parameters
    ----------
    grant_all : callable
        Grants what a pool can grant now, given the pool and the time.
    is_idle : callable
        Whether no further message waits.
    clock, sleep : callable
        Monotonic seconds; waits for some.
    """

    def __init__(
        self,
        grant_all: Callable[[ServicePool, float], None],
        is_idle: Callable[[], bool],
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._grant_all = grant_all
        self._is_idle = is_idle
        self._clock = clock
        self._sleep = sleep
        self._wanted: dict[ServicePool, float] = {}
        self._not_before: MutableMapping[ServicePool, float] = WeakKeyDictionary()

    def want(self, pool: ServicePool, now: float) -> None:
        """Something has changed in a pool that may let a request be sent."""
        self._wanted.setdefault(pool, now)

    def run_due(self) -> None:
        """Make the rounds that are due; to be called after each message."""
        if not self._wanted:
            return
        self._run(self._clock())
        if self._wanted and self._is_idle():
            # No message would bring the next look soon.
            self._sleep(min(self._pause_s(), _LONGEST_S))
            self._run(self._clock())

    def _run(self, now: float) -> None:
        is_idle = self._is_idle()
        for pool, wanted_at in list(self._wanted.items()):
            is_due = is_idle or now >= wanted_at + _LONGEST_S
            if is_due and now >= self._not_before.get(pool, 0.0):
                del self._wanted[pool]
                self._round(pool)

    def _pause_s(self) -> float:
        now = self._clock()
        return max(0.0, min(self._not_before.get(pool, 0.0) for pool in self._wanted) - now)

    def _round(self, pool: ServicePool) -> None:
        begun = self._clock()
        self._grant_all(pool, begun)
        ended = self._clock()
        self._not_before[pool] = ended + (ended - begun) * (1 - MOST_PART) / MOST_PART
