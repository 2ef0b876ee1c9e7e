"""One target as a router sees it."""

from dataclasses import dataclass
from enum import Enum

from turmerictray.core.ids import ServiceName, TargetId


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

    def others_load(self) -> int:
        """Requests other routers keep on this target, from the lagged report."""
        return max(0, self.reported_busy - self.own_at_report)

    def free_slots(self) -> int:
        """Slots this router may still fill; negative when the target is over-full."""
        return self.slots - self.inflight - self.others_load()
