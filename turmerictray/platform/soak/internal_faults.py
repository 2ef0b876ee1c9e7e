"""Selects where in a router an exception is raised from outside its code."""

from collections import Counter

from turmerictray.platform.standins.failing_router import PLACEMENT, THREAD_STEPS

MESSAGES = (
    "Broker:Ask",
    "Broker:Settled",
    "Broker:FirstEvent",
    "Broker:Tick",
    "Broker:PeerHeard",
    "Broker:SummaryQuery",
    "Broker:RoutersAlive",
    "PeerLink:Received",
    "PeerLink:Tick",
    "CatchUp:MessageArrived",
    "SettingsReloader:Tick",
)
"""Messages that routers handle under load, as ``Actor:Message``."""

FAULT_POINTS = (*MESSAGES, *THREAD_STEPS, PLACEMENT)

_MAX_PER_POINT = 2
"""Maximum number of faults of a point in one process.

Routers end by design when failures recur. A fault is raised at the next use of its point, which may
be long after it was armed, so the maximum holds for the life of the process.
"""


class FaultPointSelection:
    """Selects fault points and limits how often a process fails at the same one."""

    def __init__(self) -> None:
        self._counts: Counter[tuple[int, str]] = Counter()

    def select(self, pid: int, random_number: int) -> str | None:
        """Return a point at which a process is to fail; None if it has failed there often enough.

        Parameters
        ----------
        pid : int
            Id of the process.
        random_number : int
        """
        point = FAULT_POINTS[random_number % len(FAULT_POINTS)]
        if self._counts[pid, point] >= _MAX_PER_POINT:
            return None
        self._counts[pid, point] += 1
        return point
