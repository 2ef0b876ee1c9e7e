"""Messages to the broker, the actor that owns the target pools."""

import math
from collections.abc import Callable
from dataclasses import dataclass

from turmerictray.admission.pool_types import Outcome
from turmerictray.config.routes import RoutingConfig
from turmerictray.core.ids import (
    NodeId,
    RequestDigest,
    RequestId,
    ServiceName,
    SoftwareVersion,
    StreamKey,
    TargetId,
    TeamId,
    ZoneId,
)
from turmerictray.core.reply import Reply
from turmerictray.crashes.fingerprint import CrashVerdict, Fingerprint, shared_parts
from turmerictray.membership.messages import RouterSummary
from turmerictray.router.published import StorePosition
from turmerictray.routing.load import TargetGone, TargetInfo
from turmerictray.routing.prompt import Prompt, PromptPart
from turmerictray.scheduling.messages import PartsRead, ServiceGiven, StreamsBegun
from turmerictray.scheduling.shards import UNSHARDED, ShardId
from turmerictray.scheduling.stream_reports import RecordLink

CachedParts = dict[TargetId, list[PromptPart]]
"""Cached prompt parts by engine, least recently used first."""


@dataclass(frozen=True)
class Ask:
    """A request that needs a target.

    Attributes
    ----------
    call_id : int
        Unique in this process.
    queue_deadline : float
        Monotonic time in seconds until which the request may stay queued.
    cost : float
        Load that the request puts on the pool, in tokens that engines read (prefill).
    exclude : frozenset of str
        Targets that the request has already been sent to.
    retry : bool
        The request was granted a target before; it goes to the head of its team's queue.
    repeat : bool
        An earlier attempt reached a target, so this one is charged to the retry budget.
    origin : NodeId
        The router that sends the request to the target; empty for this router.
    zone : ZoneId or None
        Zone of the origin router; None for this router's zone.
    answer_deadline : float
        The request's deadline, in monotonic seconds.
    shard : ShardId
        Shard of engines that the request may be sent to.
    digest : RequestDigest
        Digest of the request's content; see :mod:`turmerictray.crashes.digest`.
    home_zones : frozenset of ZoneId or None
        Availability zones whose targets may run the request; None for all.
    version : SoftwareVersion or None
        Software version that must run the request, to continue a stream; None for any.
    resumes : StreamKey or None
        Stream that the request takes up, at a version that is to be found out; None for none.
    own_path : bool
        No scheduler was asked; other routers may send to the same targets unseen.
    is_test : bool
        The router sends the prompt as a test of a part that is held back.
    is_counted : bool
        A scheduler has counted this attempt, but refused it or its grant was returned; no other
        one counts the request, or charges the retry budget, once more.
    reply : Reply
        Receives a :class:`Granted` or an :class:`~turmerictray.core.errors.AdmissionError`.
    """

    call_id: int
    req_id: RequestId
    team: TeamId
    service: ServiceName
    cost: float
    prompt: Prompt | None
    queue_deadline: float
    reply: Reply
    exclude: frozenset[str] = frozenset()
    retry: bool = False
    repeat: bool = False
    origin: NodeId = NodeId("")
    zone: ZoneId | None = None
    answer_deadline: float = math.inf
    shard: ShardId = UNSHARDED
    digest: RequestDigest = RequestDigest("")
    home_zones: frozenset[ZoneId] | None = None
    own_path: bool = False
    version: SoftwareVersion | None = None
    resumes: StreamKey | None = None
    is_test: bool = False
    is_counted: bool = False

    @property
    def fingerprint(self) -> Fingerprint:
        """Features by which crashes of targets are attributed to the request."""
        return Fingerprint(self.digest, self.team, shared_parts(self.service, self.prompt))


@dataclass(frozen=True)
class Granted:
    """The target assigned to a request.

    Attributes
    ----------
    target : TargetInfo
    expected_s : float
        Estimated seconds from now until the first event of the answer.
    miss_tokens, ahead_tokens : int
        Tokens that the target has to read for this request, and for requests ahead of it.
    scheduler : str
        The router that chose the target; empty for this router.
    fetch_from : str
        ``host:port`` of the engine from which the target fetches cached parts; empty for none.
    backlog_s : float
        Estimated seconds until all requests in the granting pool's queue have been sent.
    isolated : bool
        Whether no other suspect of a crash has just started on the target.
    """

    target: TargetInfo
    expected_s: float
    miss_tokens: int
    ahead_tokens: int
    scheduler: str = ""
    fetch_from: str = ""
    backlog_s: float = 0.0
    isolated: bool = False


@dataclass(frozen=True)
class Withdraw:
    """The caller of a queued request has disconnected."""

    call_id: int
    service: ServiceName


@dataclass(frozen=True)
class RefuseWaiting:
    """This process is about to be replaced: no request is granted a target any more."""


@dataclass(frozen=True)
class FirstEvent:
    """The first event of an answer arrived ``took_s`` seconds after the request was sent.

    ``stream`` is the key of the stream that began, and ``version`` the target's software version.
    """

    call_id: int
    service: ServiceName
    target: TargetId
    took_s: float
    stream: StreamKey | None = None
    version: SoftwareVersion = SoftwareVersion("")


@dataclass(frozen=True)
class Settled:
    """An attempt has ended; ``cost`` is the load that it put on the pool (see :class:`Ask`).

    ``verdict`` is given if the target crashed while starting it, or its answer is news.
    """

    call_id: int
    service: ServiceName
    target: TargetId
    outcome: Outcome
    cost: float
    verdict: CrashVerdict | None = None


@dataclass(frozen=True)
class TargetLeaving:
    """A target has announced in an answer that it is leaving."""

    service: ServiceName
    target: TargetId


@dataclass(frozen=True)
class TargetResting:
    """A target has turned a request away and wants no more of the router for a while.

    Attributes
    ----------
    rest_s : float
        Seconds from now.
    router : NodeId
        Router that was turned away; empty for this router, which has noted the rest already.
    repeated : bool
        Whether the rest has begun before, so that this is no new refusal.
    """

    service: ServiceName
    target: TargetId
    rest_s: float
    router: NodeId = NodeId("")
    repeated: bool = False


@dataclass(frozen=True)
class TextArrived:
    """A routing configuration was read; it takes effect if its version is newer.

    Attributes
    ----------
    source : str
        Where the configuration was read from, for the log.
    """

    config: RoutingConfig
    source: str


@dataclass(frozen=True)
class TargetsListed:
    """The complete list of targets; any target that it lacks is gone."""

    targets: list[TargetInfo]


@dataclass(frozen=True)
class TargetsChanged:
    """Targets whose entries were written or removed, in this order."""

    changes: list[TargetInfo | TargetGone]


@dataclass(frozen=True)
class TargetsSeenBefore:
    """What was published about targets before this router listed them.

    ``versions`` are those of the targets that there were in the last ``known_s`` seconds.
    """

    known_s: float
    versions: frozenset[tuple[ServiceName, SoftwareVersion]]


@dataclass(frozen=True)
class ZonesEvacuated:
    """The availability zones that are evacuated from now on: all others have been taken back.

    Attributes
    ----------
    zones : frozenset of ZoneId
    position : StorePosition
        Position of the newest change.
    source : str
        From where it was learned, for the log.
    """

    zones: frozenset[ZoneId]
    position: StorePosition
    source: str


@dataclass(frozen=True)
class PeerHeard:
    """A peer's gossiped summary of its own work."""

    summary: RouterSummary


@dataclass(frozen=True)
class ServiceHeard:
    """Per-team usage and waiting teams reported by the scheduler of another shard."""

    report: ServiceGiven


@dataclass(frozen=True)
class PartsReadElsewhere:
    """Prompt parts that engines have read, reported by another router."""

    report: PartsRead


@dataclass(frozen=True)
class StreamsBegunElsewhere:
    """Software versions that began streams, reported by another router."""

    report: StreamsBegun


@dataclass(frozen=True)
class KeptHeard:
    """Cached prompt parts reported by engines or a peer.

    ``announce_to_peers`` is true if peers don't know of these parts yet.
    """

    cached: CachedParts
    announce_to_peers: bool


@dataclass(frozen=True)
class KeptQuery:
    """Query for the prompt parts that each engine is assumed to cache, as :data:`CachedParts`."""


@dataclass(frozen=True)
class EnginesQuery:
    """Query for the known engines that may be called, as a list of :class:`TargetInfo`."""


@dataclass(frozen=True)
class RoutersAlive:
    """The routers considered alive, including this router.

    Attributes
    ----------
    nodes : frozenset of str
    heard_at : float
        Since when at least half of the others were heard, in monotonic seconds; infinite if there
        are none.
    """

    nodes: frozenset[str]
    heard_at: float = math.inf


@dataclass(frozen=True)
class StartupState:
    """State of this router's start; sent after the messages that carry what was fetched from peers.

    Attributes
    ----------
    may_serve : bool
        Whether callers may be served.
    confirmed : bool
        Whether the router's documents were compared with those of its peers.
    """

    may_serve: bool
    confirmed: bool


@dataclass(frozen=True)
class OnTick:
    """Callbacks that the broker runs on its ticks.

    Attributes
    ----------
    hooks : tuple of callable
        Called with the time of each tick.
    send_usage_report : callable or None
        Sends the usage of a service's teams to the schedulers of its other shards; called with the
        service, its shard count and the report.
    send_parts_read : callable or None
        Sends what engines have read to the other schedulers.
    stream_records : RecordLink or None
        Link to the routers that keep records of the software versions that began streams.
    targets_age_s : callable
        Returns the age of this router's list of targets, in seconds.
    targets_position : callable
        Returns the position in the store up to which that list is known.
    """

    hooks: tuple[Callable[[float], None], ...]
    send_usage_report: Callable[[ServiceName, int, ServiceGiven], None] | None = None
    send_parts_read: Callable[[PartsRead], None] | None = None
    stream_records: RecordLink | None = None
    targets_age_s: Callable[[], float] = lambda: 0.0
    targets_position: Callable[[], StorePosition] = StorePosition


@dataclass(frozen=True)
class SummaryQuery:
    """Query for this router's own :class:`RouterSummary`."""


@dataclass(frozen=True)
class BrokerQuery:
    """Query for the broker's state, for operators."""
