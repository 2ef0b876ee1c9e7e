"""Messages exchanged between the actors and threads of one router process."""

import time
from dataclasses import dataclass, field

from turmerictray.config.schema import Config
from turmerictray.core.ids import NodeId, RequestId, ServiceName, TargetId, TeamId
from turmerictray.core.reply import Reply
from turmerictray.fairness.ledger import PeerCounters
from turmerictray.membership.reachability import Reachability
from turmerictray.routing.target import TargetState


@dataclass(frozen=True)
class Placement:
    """Constraints and preferences for the choice of a request's target.

    Attributes
    ----------
    service : ServiceName
    prefix_key : str or None
        Digest of the first characters of the prompt. Requests with the same key prefer the same
        target, whose cache may hold the prefix.
    exclude : frozenset of str
        Targets on which earlier attempts of the request failed.
    """

    service: ServiceName
    prefix_key: str | None
    exclude: frozenset[str] = frozenset()


@dataclass(frozen=True)
class Grant:
    """A slot on a target, granted to one request.

    Attributes
    ----------
    target : TargetId
    url : str
        Base URL of the target.
    fence : int
        Fencing number sent to the target. It is the router's incarnation, so that a restarted
        router supersedes the process that it replaces.
    """

    target: TargetId
    url: str
    fence: int


@dataclass
class Admit:
    """Request to the dispatcher to queue a caller's request until a target slot is free.

    The dispatcher resolves ``reply`` with a :class:`Grant` or an error. A caller's thread that
    stops waiting cancels ``reply``; the dispatcher then drops the request instead of granting it.

    Attributes
    ----------
    req_id : RequestId
    team : TeamId
    estimated_cost : float
        Estimated cost in tokens.
    placement : Placement
    reply : Reply
    retry : bool
        A further attempt of a request that was accepted before. It goes to the head of its team's
        queue and is accepted even while the router drains.
    config_version : int
        Version of the configuration with which the request was parsed.
    arrived : float
        Start of the queue timeout, in monotonic seconds.
    """

    req_id: RequestId
    team: TeamId
    estimated_cost: float
    placement: Placement
    reply: Reply = field(default_factory=Reply)
    retry: bool = False
    config_version: int = 0
    arrived: float = field(default_factory=time.monotonic)


@dataclass(frozen=True)
class Finished:
    """Notification that a granted request has ended and its slot is free.

    Attributes
    ----------
    req_id : RequestId
    team : TeamId
    target : TargetId
    estimated_cost : float
        Estimated cost in tokens, as in :class:`Admit`.
    cost : float
        Actual cost in tokens.
    target_reached : bool
        False if no connection to the target could be opened.
    rest_s : float
        Seconds for which the target, which refused the request, wants no others; 0 for none.
    """

    req_id: RequestId
    team: TeamId
    target: TargetId
    estimated_cost: float
    cost: float
    target_reached: bool = True
    rest_s: float = 0.0


@dataclass(frozen=True)
class ConfigApplied:
    """A valid configuration, to be applied unless a version at least as new is active."""

    cfg: Config


@dataclass(frozen=True)
class ConfigConfirmed:
    """Confirmation that the configuration service answered a read.

    Attributes
    ----------
    version : int
        Newest revision that the service reported, whether it was accepted or not.
    requested_at : float
        When the read was sent, in monotonic seconds.
    """

    version: int
    requested_at: float


@dataclass(frozen=True)
class Listing:
    """States in the instance list.

    Attributes
    ----------
    states : dict of TargetId to TargetState
        By target id, and for routers by node name.
    """

    states: dict[TargetId, TargetState]


@dataclass(frozen=True)
class LoadReport:
    """A target's load as the target last measured it.

    Attributes
    ----------
    target : TargetId
    busy : int
        Running plus waiting requests, from all routers.
    age_s : float
        Age of the measurement in seconds.
    """

    target: TargetId
    busy: int
    age_s: float = 0.0


@dataclass(frozen=True)
class PeerSummary:
    """Content of a peer's heartbeat, sent on by the peer link.

    Attributes
    ----------
    counters : PeerCounters
        Settled counters of the peer.
    demand : dict of str to dict of str to int
        Requests waiting on the peer per service and team.
    config_version : int
        Version that is active on the peer.
    earlier_counters : list of PeerCounters
        The peer's copies of counters from earlier incarnations of restarted routers, which may
        include this one.
    caught_up : bool
        False for a peer that is starting too.
    """

    counters: PeerCounters
    demand: dict[str, dict[str, int]] = field(default_factory=dict)
    config_version: int = 0
    earlier_counters: list[PeerCounters] = field(default_factory=list)
    caught_up: bool = True


@dataclass(frozen=True)
class Drain:
    """Request to refuse new requests and finish the accepted ones."""


@dataclass(frozen=True)
class StatusQuery:
    """Query for a :class:`~turmerictray.router.status.RouterStatus`."""


@dataclass(frozen=True)
class TargetsQuery:
    """Query for the ``(target id, url)`` pairs of all known targets."""


@dataclass(frozen=True)
class SilentPeersQuery:
    """Query for the :class:`SilentPeers`, while the router starts."""


@dataclass(frozen=True)
class SilentPeers:
    """Peers that were not heard lately.

    Attributes
    ----------
    addresses : dict of str to str
        ``tcp://host:port`` by the peer's name.
    confirmed : bool
        Whether the start is over, and silent peers no longer matter.
    """

    addresses: dict[str, str]
    confirmed: bool


@dataclass(frozen=True)
class PeersProbed:
    """Results of probes of silent peers, by the peer's name."""

    results: dict[str, Reachability]


@dataclass(frozen=True)
class PeerHasNewer:
    """Notification that a peer has a newer configuration, served at ``url``/admin/config."""

    version: int
    url: str


@dataclass(frozen=True)
class ReportQuery:
    """Query for a :class:`Report`.

    Attributes
    ----------
    restarted_nodes : frozenset of NodeId
        Restarted nodes whose counters from earlier incarnations are to be included.
    """

    restarted_nodes: frozenset[NodeId] = frozenset()


@dataclass(frozen=True)
class Report:
    """State of this router that its heartbeats carry.

    Attributes
    ----------
    counters : PeerCounters
    config_version : int
        Active version.
    demand : dict of str to dict of str to int
        Requests waiting on this router per service and team.
    earlier_counters : list of PeerCounters
        Counters from earlier incarnations of restarted peers.
    caught_up : bool
        False from this router's start until its configuration was compared with its peers'.
    """

    counters: PeerCounters
    config_version: int
    demand: dict[str, dict[str, int]]
    earlier_counters: list[PeerCounters]
    caught_up: bool = True
