"""A timer service that sends periodic messages to actors.

One thread sleeps until the next tick is due and sends each subscriber a :class:`Tick` message
whenever its period has passed. Subscribers are pykka actors, so they handle ticks on their own
thread, like any other message.
"""

import threading
import time
from dataclasses import dataclass

import pykka

from turmerictray.core.supervision import SupervisedThread

_MAX_SLEEP_S = 0.1
"""Upper bound on a sleep, so that a new subscription is noticed in time."""

_COALESCE_S = 0.01
"""Ticks that are due within this time are sent on the same wake-up."""

_MAX_TICK_AGE_S = 0.4
"""Age above which a tick counts as late."""


@dataclass(frozen=True)
class Tick:
    """Sent to a subscriber once per period.

    Attributes
    ----------
    name : str
        Name of the subscription; an actor can have several.
    now : float
        ``time.monotonic()`` when the tick was sent, in seconds.
    """

    name: str
    now: float

    def is_late(self) -> bool:
        """Whether the tick waited so long in the subscriber's mailbox that it can be skipped.

        A subscriber that was blocked (by the timeout of a dead target, or in a frozen process)
        finds many queued ticks; handling all of them would delay it for as long again.
        """
        return time.monotonic() - self.now > _MAX_TICK_AGE_S


@dataclass
class _Subscription:
    ref: pykka.ActorRef
    name: str
    period: float
    due: float


class TimerService:
    """Sends periodic :class:`Tick` messages to subscribed actors."""

    def __init__(self) -> None:
        self._subs: list[_Subscription] = []
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._thread = SupervisedThread(self._run, "timer")

    def subscribe(self, ref: pykka.ActorRef, name: str, period: float) -> None:
        """Send ``Tick(name, now)`` to ``ref`` every ``period`` seconds.

        Parameters
        ----------
        ref : pykka.ActorRef
            The subscriber.
        name : str
            Name of the subscription, repeated in each tick.
        period : float
            Time between ticks, in seconds.
        """
        with self._lock:
            self._subs.append(_Subscription(ref, name, period, time.monotonic() + period))

    def start(self) -> None:
        """Start the timer thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop sending ticks and wait for the thread."""
        self._stop.set()
        if self._thread.is_alive():
            self._thread.join(timeout=2)

    def _sleep_time(self) -> float:
        now = time.monotonic()
        with self._lock:
            next_due = min((sub.due for sub in self._subs), default=now + _MAX_SLEEP_S)
        return min(_MAX_SLEEP_S, max(0.0, next_due - now))

    def _run(self) -> None:
        while not self._stop.wait(self._sleep_time()):
            now = time.monotonic()
            with self._lock:
                subs = list(self._subs)
            for sub in subs:
                if now + _COALESCE_S < sub.due:
                    continue
                sub.due = now + sub.period
                self._send(sub, now)

    def _send(self, sub: _Subscription, now: float) -> None:
        try:
            sub.ref.tell(Tick(sub.name, now))
        except pykka.ActorDeadError:
            # The subscriber has finished its work.
            with self._lock:
                self._subs.remove(sub)
