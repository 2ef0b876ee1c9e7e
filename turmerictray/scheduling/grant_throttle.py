"""Throttling of the broker's grant rounds."""

import time
from collections.abc import Callable, MutableMapping
from weakref import WeakKeyDictionary

from turmerictray.admission.pool import ServicePool

MAX_TIME_FRACTION = 0.25
"""Maximum fraction of the time that grant rounds may take. The rest is for handling messages and
for this router's own callers, which compete for the same CPU."""

_MAX_DELAY_S = 0.02
"""A round runs after this time even if messages keep arriving. Engines are given 0.03 s of prompt
reading in advance, so none of them idles meanwhile."""


class GrantThrottle:
    """Batches grant decisions over many messages and bounds their share of CPU time.

    A grant decision examines all engines and the requests queued for them. Made after each message,
    it used all the CPU of a router that schedules for a large fleet: messages waited for seconds,
    other routers considered the scheduler dead, and its own callers could not connect. All messages
    that have already arrived are therefore handled first, and after each round the next one is
    delayed in proportion to the time that the last one took, which bounds the rounds' fraction of
    the time on any machine and for any fleet size.

    Parameters
    ----------
    grant_all : callable
        Grants all that a pool can grant now, given the pool and the time.
    is_idle : callable
        Returns whether the broker's inbox is empty.
    clock : callable
        Returns monotonic seconds.
    sleep : callable
        Sleeps for a number of seconds.
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
        self._requested_at: dict[ServicePool, float] = {}
        self._not_before: MutableMapping[ServicePool, float] = WeakKeyDictionary()

    def request_round(self, pool: ServicePool, now: float) -> None:
        """Mark a pool as changed in a way that may allow a grant."""
        self._requested_at.setdefault(pool, now)

    def run_due(self) -> None:
        """Run the grant rounds that are due; call this after each message."""
        if not self._requested_at:
            return
        self._run_ready(self._clock())
        if self._requested_at and self._is_idle():
            # With an empty inbox, no message would soon trigger the next check.
            self._sleep(min(self._pause_s(), _MAX_DELAY_S))
            self._run_ready(self._clock())

    def _run_ready(self, now: float) -> None:
        is_idle = self._is_idle()
        for pool, requested_at in list(self._requested_at.items()):
            is_due = is_idle or now >= requested_at + _MAX_DELAY_S
            if is_due and now >= self._not_before.get(pool, 0.0):
                del self._requested_at[pool]
                self._run_round(pool)

    def _pause_s(self) -> float:
        now = self._clock()
        return max(0.0, min(self._not_before.get(pool, 0.0) for pool in self._requested_at) - now)

    def _run_round(self, pool: ServicePool) -> None:
        started_at = self._clock()
        self._grant_all(pool, started_at)
        ended_at = self._clock()
        self._not_before[pool] = (
            ended_at + (ended_at - started_at) * (1 - MAX_TIME_FRACTION) / MAX_TIME_FRACTION
        )
