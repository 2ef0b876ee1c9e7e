"""Routes, services and teams of a routing configuration, as the routers use them.

A routing configuration defines which requests go to which service and how they may be handled. It
is immutable: a router replaces it as a whole when a newer version arrives.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from turmerictray.core.ids import RegionId, ServiceName, TeamId, ZoneId
from turmerictray.routing.cold import ColdSpec
from turmerictray.routing.prompt import Prompt


class RouteKind(Enum):
    """Kind of a route; decides whether its requests can be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True)
class Backend:
    """A service behind a route, with the weight of its share of the route's requests."""

    service: ServiceName
    weight: float = 1.0


@dataclass(frozen=True)
class Route:
    """Rules for the requests under one host and path prefix.

    Attributes
    ----------
    name, host, prefix : str
        ``prefix`` begins and ends with a slash.
    kind : RouteKind
    backends : tuple of Backend
    timeout_s : float
        Upper bound on the time from a request to its final answer, in seconds.
    objective_s : float
        Latency objective in seconds: an answer (of a stream: its first event) within this time
        has its full value.
    gap_s : float
        Longest pause between two events of a stream that counts as on time, in seconds.
    max_attempts : int
        Number of targets that a request may be sent to.
    priority : int
        Priority of the requests; 0 is the most urgent.
    public : bool
        Whether requests need no API key.
    resumable : bool
        Whether a broken stream may be continued on another target after its last event.
    home_regions : frozenset of RegionId
        Regions whose targets may run the requests; empty for all.
    caller_patience_s : float
        Callers leave a stream that has been silent for so long, in seconds.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    backends: tuple[Backend, ...]
    timeout_s: float
    objective_s: float
    gap_s: float = 1.0
    max_attempts: int = 1
    priority: int = 1
    public: bool = False
    resumable: bool = False
    home_regions: frozenset[RegionId] = frozenset()
    caller_patience_s: float = math.inf

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run can be sent again."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT

    def service_for(self, draw: float) -> ServiceName:
        """Select the service for a uniform ``draw`` in [0, 1), by the weights of the backends."""
        total = sum(backend.weight for backend in self.backends)
        remaining = draw * total
        for backend in self.backends:
            remaining -= backend.weight
            if remaining < 0:
                return backend.service
        return self.backends[-1].service


@dataclass(frozen=True)
class EngineSpec:
    """Properties of the model engines of a service.

    Attributes
    ----------
    slots : int
        Requests that an engine runs concurrently.
    memory_tokens : int
        Memory of an engine, in tokens, which running requests and cached prompt parts share.
    fetch_tokens_per_s : float
        Cached tokens that an engine can fetch from another one per second; 0 if it cannot.
    """

    slots: int
    memory_tokens: int
    fetch_tokens_per_s: float = 0.0

    def may_hold(self, prompt: Prompt) -> bool:
        """Return whether an engine's memory may hold a request; true if its size is not known.

        The generated tokens don't count: a request may end long before its limit.
        """
        return self.memory_tokens <= 0 or prompt.input_tokens <= self.memory_tokens


@dataclass(frozen=True)
class ServiceSpec:
    """A service.

    Attributes
    ----------
    name : ServiceName
    engine : EngineSpec or None
        None for a plain service.
    cold : ColdSpec
    """

    name: ServiceName
    engine: EngineSpec | None = None
    cold: ColdSpec = ColdSpec()


@dataclass(frozen=True)
class TeamSpec:
    """A team, the API keys of its callers, and its weight in the sharing of capacity.

    ``home_regions`` are the regions whose targets may run its requests; empty for all.
    """

    name: TeamId
    keys: frozenset[str] = frozenset()
    weight: float = 1.0
    home_regions: frozenset[RegionId] = frozenset()


@dataclass(frozen=True)
class FrontLimits:
    """Limits on what a caller may send; sizes in bytes, times in seconds."""

    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 75.0


@dataclass(frozen=True)
class RoutingConfig:
    """One version of the routing configuration that operators publish.

    Attributes
    ----------
    version : int
        Increases with each change.
    tokens_per_s : float
        Throughput of all engines together in prompt tokens per second, with a generated token
        counted as two prompt tokens; 0 if the configuration does not specify it.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[ServiceName, ServiceSpec] = field(default_factory=dict)
    teams: tuple[TeamSpec, ...] = ()
    limits: FrontLimits = field(default_factory=FrontLimits)
    tokens_per_s: float = 0.0

    def __post_init__(self) -> None:
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        keys = {key: team.name for team in self.teams for key in team.keys}
        object.__setattr__(self, "_by_host", by_host)
        object.__setattr__(self, "_team_by_key", keys)
        homes = {team.name: team.home_regions for team in self.teams if team.home_regions}
        object.__setattr__(self, "_homes_by_team", homes)
        stream_timeouts: dict[ServiceName, float] = {}
        for route in self.routes:
            for backend in route.backends if route.resumable else ():
                longest_s = max(route.timeout_s, stream_timeouts.get(backend.service, 0.0))
                stream_timeouts[backend.service] = longest_s
        object.__setattr__(self, "_stream_timeouts", stream_timeouts)

    def match(self, host: str, path: str) -> Route | None:
        """Find the route with the longest prefix of ``path``, or None."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def stream_timeout_s(self, service: ServiceName) -> float | None:
        """Return the longest timeout of a service's streams that may be taken up, in seconds.

        None if there are none.
        """
        return self._stream_timeouts.get(service)

    def team_of(self, key: str) -> TeamId | None:
        """Find the team that the API key belongs to, or None."""
        return self._team_by_key.get(key)

    def home_zones(
        self, route: Route, team: TeamId | None, regions: Mapping[ZoneId, RegionId]
    ) -> frozenset[ZoneId] | None:
        """Return the availability zones whose targets may run a request.

        Parameters
        ----------
        route : Route
        team : TeamId or None
        regions : mapping of ZoneId to RegionId
            Region of each zone.

        Returns
        -------
        frozenset of ZoneId or None
            None for all zones. A request whose route and team both have home regions may run only
            in those that they share.
        """
        home_sets = [
            homes for homes in (route.home_regions, self._homes_by_team.get(team)) if homes
        ]
        if not home_sets:
            return None
        homes = frozenset.intersection(*home_sets)
        return frozenset(zone for zone, region in regions.items() if region in homes)

    @property
    def keys_needed(self) -> bool:
        """Whether teams are defined, so that callers must send an API key."""
        return bool(self.teams)
