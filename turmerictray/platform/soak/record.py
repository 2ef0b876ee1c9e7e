"""Records of a soak run, written by callers and the fault injector and read by the checks."""

import math
from collections import Counter
from dataclasses import dataclass, field

from turmerictray.platform.standins.caller import RawAnswer

STREAMS = frozenset({"plan", "recon"})
"""Routes that answer with a stream."""

VERSIONS = ("v1", "v2")
"""Software versions of the workers, which serve side by side."""

ZONES = ("z1", "z2")
"""Availability zones of the workers."""

RESUMABLE = "plan"
"""Route whose streams callers take up again."""

RUN_ONCE = frozenset({"order", "recon"})
"""Routes whose requests may run at most once."""


@dataclass(frozen=True)
class Disturbance:
    """A disturbed component and the time of the disturbance.

    Attributes
    ----------
    component : str
        Name of a router, ``store`` or ``worker``; with ``/store``, a router's way to the store.
    started_at, ended_at : float
        Monotonic seconds.
    """

    component: str
    started_at: float
    ended_at: float

    def overlaps(self, since: float, until: float) -> bool:
        """Return whether the disturbance was active at any moment from ``since`` to ``until``."""
        return self.started_at <= until and self.ended_at >= since


@dataclass(frozen=True)
class RetiredWorker:
    """A worker that started to leave, or that crashed.

    Attributes
    ----------
    worker : str
    retired_at : float
        Monotonic seconds.
    crashed : bool
    tells_in_answers : bool
        Whether it says only in its answers that it leaves, while its entry stays ready.
    """

    worker: str
    retired_at: float
    crashed: bool
    tells_in_answers: bool = False


@dataclass
class EvacuationRecord:
    """An evacuation of an availability zone; ``ended_at`` is infinite while it lasts."""

    zone: str
    started_at: float
    ended_at: float = math.inf


@dataclass(frozen=True)
class RouterExit:
    """Result of a planned stop of a router process.

    Attributes
    ----------
    router : str
    exit_code : int or None
        None if it was still running long after the grace period and was killed.
    was_ready : bool
        Whether it accepted requests when it was stopped.
    """

    router: str
    exit_code: int | None
    was_ready: bool


@dataclass(frozen=True)
class InternalFault:
    """An exception that a router was made to raise.

    Attributes
    ----------
    router : str
    point : str
        Message or thread; see :mod:`turmerictray.platform.standins.failing_router`.
    armed_at : float
        Monotonic seconds; the exception is raised at the next use of the point.
    """

    router: str
    point: str
    armed_at: float


@dataclass
class SoakRequest:
    """A request that a caller sent.

    Attributes
    ----------
    request_id : str
    route : str
        Name of its route.
    router : str
        Name of the router to which it was sent.
    method, target : str
    body : bytes
    started_at, ended_at : float
        Times of the request and of the end of its answer, in monotonic seconds.
    answer : RawAnswer
    disconnected_at : float or None
        When its caller disconnected without reading the answer.
    resumes : str
        Id of the request that brought the first event of the stream that this one takes up; empty
        if it takes up none.
    first_event : int
        Number of the first event that the answer may hold.
    """

    request_id: str
    route: str
    router: str
    method: str
    target: str
    body: bytes
    started_at: float
    ended_at: float = 0.0
    answer: RawAnswer = field(default_factory=RawAnswer)
    disconnected_at: float | None = None
    resumes: str = ""
    first_event: int = 1

    @property
    def stream_id(self) -> str:
        """Id of the request that began the stream."""
        return self.resumes or self.request_id


@dataclass
class FloodRecord:
    """A flood of one team's requests at one router.

    Attributes
    ----------
    router : str
    started_at, ended_at : float
        Monotonic seconds; the end is infinite while the flood lasts.
    outcome_by_id : dict of str to str
        Status of each request's answer, or ``closed``, ``reset`` or ``unanswered``, by request id.
    """

    router: str
    started_at: float
    ended_at: float
    outcome_by_id: dict[str, str]


@dataclass(frozen=True)
class Publication:
    """A configuration that the store has acknowledged.

    Attributes
    ----------
    version : int
    at : float
        Monotonic seconds.
    has_probed_route : bool
    """

    version: int
    at: float
    has_probed_route: bool


@dataclass(frozen=True)
class Probe:
    """A request for the probed route; a status of 0 stands for no answer."""

    request_id: str
    router: str
    started_at: float
    ended_at: float
    status: int


@dataclass
class SoakRecord:
    """All records of a run.

    Attributes
    ----------
    requests : list of SoakRequest
    disturbances : list of Disturbance
    retired_workers : dict of str to RetiredWorker
        By the worker's id.
    evacuations : list of EvacuationRecord
    planned_stops : list of tuple of str and float
        Name of the router and time at which it received SIGTERM.
    exits : list of RouterExit
    unplanned_exits : list of tuple of str and int
        Name and exit code of each router process that ended by itself.
    internal_faults : list of InternalFault
    fault_counts : Counter
        Number of injected faults by kind.
    floods : list of FloodRecord
    crashing_bodies : set of bytes
        Bodies of the requests that crash workers.
    crashing_parts : set of str
        Ids of the prompt parts that crash workers, in lower-case hexadecimal.
    publications : list of Publication
        In order of time; the first one has been in force since before the run.
    probes : list of Probe
    """

    requests: list[SoakRequest] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    retired_workers: dict[str, RetiredWorker] = field(default_factory=dict)
    evacuations: list[EvacuationRecord] = field(default_factory=list)
    planned_stops: list[tuple[str, float]] = field(default_factory=list)
    exits: list[RouterExit] = field(default_factory=list)
    unplanned_exits: list[tuple[str, int]] = field(default_factory=list)
    internal_faults: list[InternalFault] = field(default_factory=list)
    fault_counts: Counter = field(default_factory=Counter)
    floods: list[FloodRecord] = field(default_factory=list)
    crashing_bodies: set[bytes] = field(default_factory=set)
    crashing_parts: set[str] = field(default_factory=set)
    publications: list[Publication] = field(
        default_factory=lambda: [Publication(1, -math.inf, has_probed_route=True)]
    )
    probes: list[Probe] = field(default_factory=list)

    def was_disturbed(self, since: float, until: float, *components: str) -> bool:
        """Return whether a component was disturbed from ``since`` to ``until``.

        Parameters
        ----------
        since, until : float
            Monotonic seconds.
        *components : str
            Components to consider; all if none is given.
        """
        return any(
            disturbance.overlaps(since, until)
            for disturbance in self.disturbances
            if not components or disturbance.component in components
        )
