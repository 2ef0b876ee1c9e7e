"""One target as a router sees it."""

import time
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from turmerictray.core.ids import ServiceName, TargetId

_HISTORY = 256
"""Changes of in-flight count kept per target; at 100 a second, 2.5 s of history."""


_SUSPECT_BASE_S = 0.5
_SUSPECT_MAX_S = 8.0


class TargetState(Enum):
    """Whether a target takes new work."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass
class TargetView:
    """What one router knows of one target.

    Attributes
    ----------
    inflight : int
        Requests this router has sent and not yet seen end.
    reported_busy : int
        Running plus waiting requests in the target's last load report (from all routers).
    own_at_report : int
        This router's ``inflight`` when that report was taken, so the others' share can be told.
    claim : int or None
        Slots this router may fill on its own account; None before the split is first worked out.
    failures : int
        Connections refused or timed out in a row.
    suspect_until : float or None
        Monotonic time, in seconds, until which other targets are preferred after a failure.
    """

    id: TargetId
    service: ServiceName
    url: str
    zone: str
    slots: int
    fencing: bool
    state: TargetState = TargetState.LIVE
    inflight: int = 0
    reported_busy: int = 0
    own_at_report: int = 0
    dispatched: int = 0

    claim: int | None = None
    failures: int = 0
    suspect_until: float | None = None
    history: deque = field(default_factory=lambda: deque(maxlen=_HISTORY))

    def note_unreachable(self, now: float) -> None:
        """Prefer other targets for a while, longer with each failure in a row.

        The instance list lags: without this, every request whose prompt prefix prefers a crashed
        target would try it first, and with two crashed its one retry could meet the other and
        end as a refusal beside an idle target.
        """
        pause = min(_SUSPECT_MAX_S, _SUSPECT_BASE_S * 2**self.failures)
        self.failures += 1
        self.suspect_until = now + pause

    def note_reached(self) -> None:
        """Forget past failures: the target answered."""
        self.failures = 0
        self.suspect_until = None

    def end_suspicion(self, now: float) -> None:
        """Let the target be tried again once its pause has passed."""
        if self.suspect_until is not None and now >= self.suspect_until:
            self.suspect_until = None

    def set_inflight(self, value: int) -> None:
        """Change this router's in-flight count, remembering when."""
        self.inflight = value
        self.history.append((time.monotonic(), value))

    def inflight_at(self, when: float) -> int:
        """This router's in-flight count at ``time.monotonic()`` value ``when``.

        A load report describes the target as it was ``age`` seconds ago; comparing it with
        today's in-flight count would count requests sent since as already in the report and
        borrow slots that are taken. Unknown (too old) times give 0, which borrows least.
        """
        for stamp, value in reversed(self.history):
            if stamp <= when:
                return value
        return 0

    def idle_by_report(self) -> int:
        """Slots the lagged report shows idle, less those this router filled since."""
        return self.slots - self.reported_busy - max(0, self.inflight - self.own_at_report)

    def free_slots(self) -> int:
        """Slots this router may fill now: its own claim, or idle ones it may borrow.

        The claim (see :mod:`turmerictray.fairness.shares`) keeps routers from taking each
        other's part of a busy target; borrowing keeps a target from idling when the routers
        that claim it have nothing to send. A borrowed slot may meet a late report and wait in
        the engine's own queue for a moment, which costs less than an idle slot.
        """
        claim = self.slots if self.claim is None else self.claim
        return max(claim - self.inflight, self.idle_by_report())
