"""Routes, services and teams of a routing text, as the routers use them.

A routing text says which request goes to which service and what may be done with it. It is
immutable: a router swaps the whole text when a newer version arrives.
"""

from dataclasses import dataclass, field
from enum import Enum

from turmerictray.core.ids import ServiceName, TeamId


class RouteKind(Enum):
    """What a route promises about its requests."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True)
class Backend:
    """A service behind a route and its share of the route's requests."""

    service: ServiceName
    weight: float = 1.0


@dataclass(frozen=True)
class Route:
    """What the operator says of the requests under one host and path prefix.

    Attributes
    ----------
    name, host, prefix : str
        ``prefix`` begins and ends with a slash.
    kind : RouteKind
    backends : tuple of Backend
    timeout_s : float
        The longest time a request may go without its final answer, in seconds.
    objective_s : float
        The answer (of a stream: its first event) earns its full worth within this time.
    gap_s : float
        Longest pause between two events of a stream that is still on time, in seconds.
    max_attempts : int
        Targets that one request may be sent to.
    priority : int
        0 is the most urgent.
    public : bool
        Requests need no key.
    resumable : bool
        A broken stream may go on at another target after its last event.
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

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be sent once more."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT

    def service_for(self, draw: float) -> ServiceName:
        """The service for a uniform ``draw`` in [0, 1), by the backends' weights."""
        total = sum(backend.weight for backend in self.backends)
        mark = draw * total
        for backend in self.backends:
            mark -= backend.weight
            if mark < 0:
                return backend.service
        return self.backends[-1].service


@dataclass(frozen=True)
class EngineSpec:
    """What the text says of the model engines of a service.

    Attributes
    ----------
    slots : int
        Requests an engine runs at once.
    memory_tokens : int
        Tokens that running requests and kept prompt parts share.
    fetch_per_s : float
        Kept tokens that one engine can hand to another in a second; 0 where they can't.
    """

    slots: int
    memory_tokens: int
    fetch_per_s: float = 0.0


@dataclass(frozen=True)
class ServiceSpec:
    """A service; ``engine`` is None for a plain one."""

    name: ServiceName
    engine: EngineSpec | None = None


@dataclass(frozen=True)
class TeamSpec:
    """A team, the keys its callers present, and its weight in the shared pool."""

    name: TeamId
    keys: frozenset[str] = frozenset()
    weight: float = 1.0


@dataclass(frozen=True)
class FrontLimits:
    """Bounds on what a caller may send; sizes in bytes, times in seconds."""

    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 75.0


@dataclass(frozen=True)
class RoutingText:
    """One version of the operators' text.

    Attributes
    ----------
    version : int
        Grows with each change.
    tokens_per_s : float
        What the engines together produce, a token generated counting as two tokens read; 0 when
        the text does not say.
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

    def match(self, host: str, path: str) -> Route | None:
        """The route with the longest prefix that begins ``path``, or None."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def team_of(self, key: str) -> TeamId | None:
        """The team that holds ``key``, or None."""
        return self._team_by_key.get(key)

    @property
    def keys_needed(self) -> bool:
        """Whether the text names teams, so that callers must present a key."""
        return bool(self.teams)
