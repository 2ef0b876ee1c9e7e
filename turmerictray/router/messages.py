"""Typed messages between the router's actors."""

import time
from dataclasses import dataclass, field

from turmerictray.config.schema import Config
from turmerictray.core.ids import NodeId, RequestId, ServiceName, TargetId, TeamId
from turmerictray.core.reply import Reply
from turmerictray.fairness.ledger import PeerCounters
from turmerictray.routing.target import TargetState


@dataclass(frozen=True)
class Placement:
    """Where a request may go."""

    service: ServiceName
    prefix_key: str | None
    exclude: frozenset[str] = frozenset()


@dataclass(frozen=True)
class Grant:
    """A slot on a target, given to one request.

    Attributes
    ----------
    target : TargetId
    url : str
        The target's base URL.
    fence : int
        Fencing number for orders to the target: the router's incarnation, so a router that
        restarted outranks its own earlier life.
    """

    target: TargetId
    url: str
    fence: int


@dataclass
class Admit:
    """Queue a request; the dispatcher resolves ``reply`` with a :class:`Grant` or an error.

    A caller's thread that gives up waiting cancels ``reply``; the dispatcher then drops the
    request instead of granting it. A ``retry`` of a request accepted before goes to the head of
    its team's queue and is taken also while the router drains. ``config_version`` is that of the
    configuration by which it was read; 0 where it is not told. It may wait from ``arrived``, in
    monotonic seconds, for as long as the queue timeout says.
    """

    req_id: RequestId
    team: TeamId
    hint: float
    placement: Placement
    reply: Reply = field(default_factory=Reply)
    retry: bool = False
    config_version: int = 0
    arrived: float = field(default_factory=time.monotonic)


@dataclass(frozen=True)
class Finished:
    """A granted request ended.

    Attributes
    ----------
    cost : float
        Its true cost in tokens.
    reached : bool
        False when no connection to the target could be made.
    """

    req_id: RequestId
    team: TeamId
    target: TargetId
    hint: float
    cost: float
    reached: bool = True


@dataclass(frozen=True)
class ConfigApplied:
    """A newer configuration was accepted."""

    cfg: Config


@dataclass(frozen=True)
class ConfigConfirmed:
    """The configuration service answered a read asked for at ``asked_at`` (monotonic seconds).

    ``version`` is the newest revision it told, whether accepted or not.
    """

    version: int
    asked_at: float


@dataclass(frozen=True)
class Listing:
    """The instance list's states, by id: targets, and routers by their node name."""

    states: dict[TargetId, TargetState]


@dataclass(frozen=True)
class LoadReport:
    """A target's lagged load: running plus waiting requests, as of ``age_s`` seconds ago."""

    target: TargetId
    busy: int
    age_s: float = 0.0


@dataclass(frozen=True)
class PeerSummary:
    """A peer's heartbeat, from the peer link.

    Attributes
    ----------
    counters : PeerCounters
        The peer's own settled counters.
    demand : dict of str to dict of str to int
        Requests waiting on the peer per service and team.
    config_version : int
    echoes : list of PeerCounters
        What the peer knows of restarted routers' earlier lives, this router's perhaps among
        them.
    """

    counters: PeerCounters
    demand: dict[str, dict[str, int]] = field(default_factory=dict)
    config_version: int = 0
    echoes: list[PeerCounters] = field(default_factory=list)


@dataclass(frozen=True)
class Drain:
    """Refuse new requests; finish those accepted."""


@dataclass(frozen=True)
class StatusQuery:
    """Ask for a snapshot of the dispatcher's state."""


@dataclass(frozen=True)
class TargetsQuery:
    """Ask for ``(target id, url)`` pairs of all known targets."""


@dataclass(frozen=True)
class PeerHasNewer:
    """A peer has a newer configuration in force; its text is at ``url``/admin/config."""

    version: int
    url: str


@dataclass(frozen=True)
class ReportQuery:
    """Ask for a :class:`Report`, with the earlier lives of the nodes in ``echo``."""

    echo: frozenset[NodeId] = frozenset()


@dataclass(frozen=True)
class Report:
    """What a heartbeat tells of this router.

    Attributes
    ----------
    counters : PeerCounters
    config_version : int
        In force.
    demand : dict of str to dict of str to int
        Requests waiting here per service and team.
    echoes : list of PeerCounters
        Earlier lives of restarted peers.
    """

    counters: PeerCounters
    config_version: int
    demand: dict[str, dict[str, int]]
    echoes: list[PeerCounters]
