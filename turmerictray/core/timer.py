"""The timer service that parts subscribe to.

One thread sleeps until the nearest tick is due and sends each subscriber a :class:`Tick` message
when its period has passed. Subscribers are pykka actors, so a tick is handled on the subscriber's
own thread, with its own state, like any other message.
"""

import threading
import time
from dataclasses import dataclass

import pykka

_LONGEST_S = 0.1
"""Longest sleep, so that a new subscription is noticed in time."""

_EARLY_S = 0.01
"""Ticks due this soon are sent on the same wake-up."""

_LATE_S = 0.4


@dataclass(frozen=True)
class Tick:
    """Sent to a subscriber once per period.

    Attributes
    ----------
    name : str
        The subscription's name, so one actor can hold several.
    now : float
        ``time.monotonic()`` when the tick was sent, in seconds.
    """

    name: str
    now: float

    def is_late(self) -> bool:
        """Whether the tick waited so long in the subscriber's mailbox that it may be skipped.

        A subscriber that was blocked (a dead target's timeout, a frozen process) finds a pile
        of ticks; working them all off would keep it behind for as long again.
        """
        return time.monotonic() - self.now > _LATE_S


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
        self._thread = threading.Thread(target=self._run, name="timer", daemon=True)

    def subscribe(self, ref: pykka.ActorRef, name: str, period: float) -> None:
        """Send ``Tick(name, now)`` to ``ref`` every ``period`` seconds.

        Parameters
        ----------
        ref : pykka.ActorRef
            The subscriber.
        name : str
            Names the subscription in the tick.
        period : float
            Seconds between ticks.
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

    def _pause(self) -> float:
        now = time.monotonic()
        with self._lock:
            nearest = min((sub.due for sub in self._subs), default=now + _LONGEST_S)
        return min(_LONGEST_S, max(0.0, nearest - now))

    def _run(self) -> None:
        while not self._stop.wait(self._pause()):
            now = time.monotonic()
            with self._lock:
                subs = list(self._subs)
            for sub in subs:
                if now + _EARLY_S < sub.due:
                    continue
                sub.due = now + sub.period
                if sub.ref.is_alive():
                    sub.ref.tell(Tick(sub.name, now))
