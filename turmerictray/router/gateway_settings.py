"""Settings of a router that serves routes from a published routing configuration."""

from dataclasses import dataclass, field

from turmerictray.core.ids import NodeId, RegionId, ZoneId
from turmerictray.router.active_config import RetryLimits
from turmerictray.router.read_limits import ReadLimits
from turmerictray.routing.cold import ColdLimits

MAX_FRONT_THREADS = 600
"""Maximum number of front threads, each of which serves one request until its answer has ended.
Streams last for seconds, so a router that receives a team's burst has hundreds in progress."""


@dataclass(frozen=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True)
class GatewaySettings:
    """Settings of one router.

    Attributes
    ----------
    front : Address
        Where callers connect.
    ready : Address
        Where the load balancer checks whether the router accepts callers.
    ready_path : str
    admin : Address
        For operators, and for peers that fetch published documents.
    metrics : Address
        Where ``/metrics`` is served.
    peer : Address
        Gossip address.
    calls : Address
        Scheduling address, where peers request engines while this router is the scheduler.
    seeds : tuple of Address
        Gossip addresses of the routers to contact first.
    grace_s : float
        Time from SIGTERM until the process is killed, in seconds.
    retry_limits : RetryLimits
    cold_limits : ColdLimits
    regions : dict of ZoneId to RegionId
        Region of each availability zone.
    threads : int
        Maximum number of requests served at once; see :data:`MAX_FRONT_THREADS`.
    cores : float
        Processor capacity in cores.
    read_limits : ReadLimits
    """

    node: NodeId
    zone: ZoneId
    front: Address
    ready: Address
    ready_path: str
    admin: Address
    metrics: Address
    peer: Address
    calls: Address
    seeds: tuple[Address, ...] = ()
    grace_s: float = 8.0
    retry_limits: RetryLimits = field(default_factory=RetryLimits)
    cold_limits: ColdLimits = field(default_factory=ColdLimits)
    regions: dict[ZoneId, RegionId] = field(default_factory=dict)
    threads: int = MAX_FRONT_THREADS
    cores: float = 1.0
    read_limits: ReadLimits = field(default_factory=ReadLimits.from_apply_limit)
