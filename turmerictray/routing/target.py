"""State of one target, as seen by one router."""

import time
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from turmerictray.core.ids import ServiceName, TargetId

_HISTORY_LENGTH = 256
"""Changes of the in-flight count remembered per target; at 100 per second, 2.5 s of history."""

_SUSPECT_MIN_S = 0.5
_SUSPECT_MAX_S = 8.0


class TargetState(Enum):
    """Availability of a target for new requests."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass
class TargetView:
    """Load and reachability of one target, as seen by one router.

    Attributes
    ----------
    inflight : int
        Requests that this router has sent and that have not ended.
    reported_busy : int
        Running and waiting requests of all routers, in the target's last load report.
    inflight_at_report : int
        This router's ``inflight`` when that report was taken, which separates its own requests from
        those of other routers.
    allocated_slots : int or None
        Slots allocated to this router; None until the first allocation.
    failures : int
        Consecutive connections that were refused or timed out.
    suspect_until : float or None
        Monotonic time, in seconds, until which other targets are preferred after a failure.
    rest_until : float or None
        Monotonic time, in seconds, until which the target wants no requests of this router.
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
    inflight_at_report: int = 0
    dispatched: int = 0

    allocated_slots: int | None = None
    failures: int = 0
    suspect_until: float | None = None
    rest_until: float | None = None
    history: deque = field(default_factory=lambda: deque(maxlen=_HISTORY_LENGTH))

    def note_unreachable(self, now: float) -> None:
        """Prefer other targets for some time, longer after each consecutive failure.

        The instance list is delayed. Without this, every request whose prefix prefers a crashed
        target would try that target first, and with two targets crashed its only retry could go to
        the other one and end as a refusal although a third is idle.
        """
        pause = min(_SUSPECT_MAX_S, _SUSPECT_MIN_S * 2**self.failures)
        self.failures += 1
        self.suspect_until = now + pause

    def note_reached(self) -> None:
        """Reset the failure count after the target answered."""
        self.failures = 0
        self.suspect_until = None

    def expire_suspicion(self, now: float) -> None:
        """Make the target eligible again once its avoidance period has passed."""
        if self.suspect_until is not None and now >= self.suspect_until:
            self.suspect_until = None

    def note_rest(self, rest_s: float, now: float) -> None:
        """Send nothing to the target for ``rest_s`` seconds, as it has asked."""
        self.rest_until = max(now + rest_s, self.rest_until or 0.0)

    def expire_rest(self, now: float) -> None:
        """End the target's rest once its time has passed."""
        if self.rest_until is not None and now >= self.rest_until:
            self.rest_until = None

    def set_inflight(self, value: int) -> None:
        """Set this router's in-flight count and record the time of the change."""
        self.inflight = value
        self.history.append((time.monotonic(), value))

    def inflight_at(self, when: float) -> int:
        """Return this router's in-flight count at ``time.monotonic()`` value ``when``.

        A load report describes the target as it was ``age`` seconds ago. Compared with the current
        in-flight count, it would seem to include requests sent since, and the router would borrow
        slots that are taken. For times before the recorded history the result is 0, which borrows
        least.
        """
        for stamp, value in reversed(self.history):
            if stamp <= when:
                return value
        return 0

    def reported_idle_slots(self) -> int:
        """Return the slots idle in the delayed report, less those this router has filled since."""
        return self.slots - self.reported_busy - max(0, self.inflight - self.inflight_at_report)

    def free_slots(self) -> int:
        """Return the slots this router may fill now: allocated ones, or idle ones it may borrow.

        The allocation (see :mod:`turmerictray.fairness.shares`) keeps routers from using each
        other's share of a busy target; borrowing keeps a target from idling when the routers with
        an allocation have nothing to send. Because reports are delayed, a request in a borrowed
        slot may wait briefly in the engine's own queue, which costs less than an idle slot.
        """
        allocated = self.slots if self.allocated_slots is None else self.allocated_slots
        return max(allocated - self.inflight, self.reported_idle_slots())
