"""What callers, workers and the player of faults saw in a soak."""

from collections import Counter
from dataclasses import dataclass, field

from turmerictray.platform.standins.caller import RawAnswer

STREAMS = frozenset({"plan", "recon"})
"""Routes that answer with a stream."""

RUN_ONCE = frozenset({"order", "recon"})
"""Routes whose requests may run once at most."""


@dataclass(frozen=True)
class Disturbance:
    """Something was disturbed for a time; times are monotonic seconds."""

    what: str
    begun: float
    ended: float

    def touches(self, since: float, until: float) -> bool:
        """Whether it lasted at any moment of a span."""
        return self.begun <= until and self.ended >= since


@dataclass(frozen=True)
class Retired:
    """A worker that was told to leave, or that crashed."""

    worker: str
    at: float
    crashed: bool


@dataclass(frozen=True)
class Exit:
    """A router's process ended after a planned stop.

    Attributes
    ----------
    code : int or None
        None: it still ran when it was killed, long after the grace period.
    was_ready : bool
        It took callers when it was told to stop.
    """

    router: str
    code: int | None
    was_ready: bool


@dataclass
class Sent:
    """A caller's request.

    Attributes
    ----------
    kind : str
        Name of its route.
    router : str
    began, ended : float
        Monotonic seconds; the end is that of its answer.
    left_at : float or None
        When its caller hung up.
    """

    request_id: str
    kind: str
    router: str
    method: str
    target: str
    body: bytes
    began: float
    ended: float = 0.0
    answer: RawAnswer = field(default_factory=RawAnswer)
    left_at: float | None = None


@dataclass
class Flooded:
    """A flood of one team's requests at one router.

    Attributes
    ----------
    outcome_of : dict of str to str
        Request id to the status of its answer, or ``closed``, ``reset`` or ``unanswered``.
    """

    router: str
    began: float
    ended: float
    outcome_of: dict[str, str]


@dataclass
class Record:
    """Everything that the checks look at."""

    sent: list[Sent] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    retired: dict[str, Retired] = field(default_factory=dict)
    stops: list[tuple[str, float]] = field(default_factory=list)
    exits: list[Exit] = field(default_factory=list)
    faults: Counter = field(default_factory=Counter)
    floods: list[Flooded] = field(default_factory=list)
    deadly: set[bytes] = field(default_factory=set)

    def disturbed(self, since: float, until: float, *what: str) -> bool:
        """Whether any of ``what`` was disturbed in a span; of anything when none is named."""
        return any(
            each.touches(since, until)
            for each in self.disturbances
            if not what or each.what in what
        )
