"""Messages to the broker, the actor that owns the pools."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from turmerictray.admission.pool import Outcome
from turmerictray.config.routes import RoutingText
from turmerictray.core.ids import (
    NodeId,
    RequestDigest,
    RequestId,
    ServiceName,
    TargetId,
    TeamId,
    ZoneId,
)
from turmerictray.core.reply import Reply
from turmerictray.membership.messages import RouterSummary
from turmerictray.routing.load import TargetInfo
from turmerictray.routing.prompt import Part, Prompt
from turmerictray.scheduling.messages import ServiceGiven
from turmerictray.scheduling.shards import WHOLE, ShardId

KeptParts = dict[TargetId, list[Part]]
"""Parts of prompts that engines keep, by engine, least recently used first."""


@dataclass(frozen=True)
class Ask:
    """A request asks for a target.

    Attributes
    ----------
    call_id : int
        Unique in this process.
    wait_until : float
        Monotonic seconds until which it may wait.
    cost : float
        What it takes from the pool, in tokens read.
    exclude : frozenset of str
        Targets it has been sent to.
    retry : bool
        It has been granted a target before; it goes to the head of its team's queue.
    repeat : bool
        An earlier send reached a target, so this one spends from the budget of repeats.
    origin : NodeId
        The router that sends it; empty for this router.
    zone : ZoneId or None
        Where that router stands; None for this router's own.
    give_up : float
        Monotonic seconds at which it ends at the latest.
    shard : ShardId
        The engines that it may be sent to.
    digest : RequestDigest
        See :mod:`turmerictray.admission.digest`.
    reply : Reply
        Receives a :class:`Granted` or an :class:`~turmerictray.core.errors.AdmissionError`.
    """

    call_id: int
    req_id: RequestId
    team: TeamId
    service: ServiceName
    cost: float
    prompt: Prompt | None
    wait_until: float
    reply: Reply
    exclude: frozenset[str] = frozenset()
    retry: bool = False
    repeat: bool = False
    origin: NodeId = NodeId("")
    zone: ZoneId | None = None
    give_up: float = math.inf
    shard: ShardId = WHOLE
    digest: RequestDigest = RequestDigest("")


@dataclass(frozen=True)
class Granted:
    """The target to send to.

    Attributes
    ----------
    target : TargetInfo
    expected_s : float
        Seconds from now until its first event, as estimated.
    miss_tokens, ahead_tokens : int
        Tokens the target has to read for the request, and before it.
    scheduler : str
        The router that chose; empty for this one.
    fetch_from : str
        ``host:port`` of the engine from which the target is to fetch kept parts; empty for none.
    backlog_s : float
        Seconds until all that waits there has been sent.
    """

    target: TargetInfo
    expected_s: float
    miss_tokens: int
    ahead_tokens: int
    scheduler: str = ""
    fetch_from: str = ""
    backlog_s: float = 0.0


@dataclass(frozen=True)
class Withdraw:
    """The caller of a waiting request is gone."""

    call_id: int
    service: ServiceName


@dataclass(frozen=True)
class FirstEvent:
    """An answer's first event came ``took_s`` seconds after the request was sent."""

    call_id: int
    service: ServiceName
    target: TargetId
    took_s: float


@dataclass(frozen=True)
class Settled:
    """A send has ended; ``cost`` is what it took from the pool, in tokens read.

    ``digest`` tells the request when its target has ended under it.
    """

    call_id: int
    service: ServiceName
    target: TargetId
    outcome: Outcome
    cost: float
    digest: RequestDigest = RequestDigest("")


@dataclass(frozen=True)
class TargetLeaving:
    """A target's own answer says that it is leaving."""

    service: ServiceName
    target: TargetId


@dataclass(frozen=True)
class TextArrived:
    """A routing text was read; it takes force if its version is newer.

    Attributes
    ----------
    source : str
        Where it came from, for the log.
    """

    text: RoutingText
    source: str


@dataclass(frozen=True)
class TargetsListed:
    """The whole list of targets: what is not in it is gone."""

    targets: list[TargetInfo]


@dataclass(frozen=True)
class TargetsChanged:
    """Targets whose entries changed, and targets whose entries are gone."""

    changed: list[TargetInfo] = field(default_factory=list)
    gone: list[TargetId] = field(default_factory=list)


@dataclass(frozen=True)
class PeerHeard:
    """A peer's summary of its own work."""

    summary: RouterSummary


@dataclass(frozen=True)
class ServiceHeard:
    """What teams were given, and which wait, at the scheduler of another shard."""

    given: ServiceGiven


@dataclass(frozen=True)
class KeptHeard:
    """What engines keep, as they or a peer say; peers don't know of it if ``tell_peers``."""

    kept: KeptParts
    tell_peers: bool


@dataclass(frozen=True)
class KeptQuery:
    """Ask for what the engines are believed to keep, as :data:`KeptParts`."""


@dataclass(frozen=True)
class EnginesQuery:
    """Ask for the engines that are known, as a list of :class:`TargetInfo`."""


@dataclass(frozen=True)
class RoutersAlive:
    """The routers that are believed alive, this one included."""

    nodes: frozenset[str]


@dataclass(frozen=True)
class CaughtUp:
    """This router knows as much as its peers; sent after what it has learnt from them."""


@dataclass(frozen=True)
class OnTick:
    """Functions to call with each tick, given its time, and who hears what shards were given."""

    hooks: tuple[Callable[[float], None], ...]
    tell_given: Callable[[ServiceName, int, ServiceGiven], None] | None = None


@dataclass(frozen=True)
class SummaryQuery:
    """Ask for this router's own :class:`RouterSummary`."""


@dataclass(frozen=True)
class BrokerQuery:
    """Ask for the broker's state, for operators."""
