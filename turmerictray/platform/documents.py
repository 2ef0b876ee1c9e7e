"""Decoding of the documents that operators and targets write to the platform's store."""

import ipaddress
import re
from enum import Enum
from typing import Annotated

import msgspec

from turmerictray.config.routes import (
    Backend,
    EngineSpec,
    FrontLimits,
    Route,
    RouteKind,
    RoutingConfig,
    ServiceSpec,
    TeamSpec,
)
from turmerictray.core.decoding import MAX_INT64, Counter, DecodingError, decode_json
from turmerictray.core.errors import ConfigError
from turmerictray.core.ids import (
    RegionId,
    ServiceName,
    SoftwareVersion,
    TargetId,
    TargetName,
    TeamId,
    ZoneId,
)
from turmerictray.routing.cold import ColdSpec
from turmerictray.routing.load import TargetInfo, TargetPhase

_MS_PER_S = 1000.0
_BYTES_PER_MBIT = 1e6 / 8

_MIN_CALLER_PATIENCE_S = 2.0
_PATIENCE_LATENCY_FACTOR = 4.0
_PATIENCE_GAP_FACTOR = 8.0
"""Callers leave a stream that has been silent for that time, for that multiple of their route's
latency objective or of its longest pause, whichever is longest."""

_MAX_SLOTS = 100_000
"""Upper limit on the slots of a target, far above what any target runs concurrently.

A larger value in an entry would make that target attract all requests.
"""

_MAX_NUMBER = 10**15
"""Upper limit on the magnitude of a configuration's numbers, so that no computation overflows.

Lenient decoding also reads ``"nan"`` and ``"inf"``, which are outside any bounds.
"""

_MAX_SOCKET_TIMEOUT_MS = 10**9
"""Upper limit on the time limits of connections; some systems hold 31 bits of milliseconds."""

_DEFAULT_HEADER_TIMEOUT_MS = 3000.0

_Number = Annotated[float, msgspec.Meta(ge=-_MAX_NUMBER, le=_MAX_NUMBER)]
_NonNegative = Annotated[float, msgspec.Meta(ge=0, le=_MAX_NUMBER)]
_Integer = Annotated[int, msgspec.Meta(ge=-_MAX_NUMBER, le=_MAX_NUMBER)]
_Size = Annotated[int, msgspec.Meta(ge=0, le=_MAX_NUMBER)]
_SocketTimeout = Annotated[float, msgspec.Meta(ge=0, le=_MAX_SOCKET_TIMEOUT_MS)]


class _Backend(msgspec.Struct, frozen=True):
    service: str
    weight: _Number = 1.0


class _Route(msgspec.Struct, frozen=True):
    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_ms: _NonNegative
    target_latency_ms: _NonNegative
    # A route has either a single service or several weighted backends.
    service: str | None = None
    backends: list[_Backend] = []
    priority: _Integer = 1
    max_attempts: _Integer = 1
    public: bool = False
    resumable: bool = False
    gap_aim_ms: _NonNegative = 1000.0
    allowed_regions: list[str] = []


class _Engine(msgspec.Struct, frozen=True):
    slots: _Integer
    kv_tokens: _Integer
    # Size of a cached token in bytes, and bandwidth of the links between engines in Mbit/s.
    kv_bytes: _Number = 0.0
    link_mbps: _Number = 0.0


class _Service(msgspec.Struct, frozen=True):
    name: str
    engine: _Engine | None = None
    cold_s: _NonNegative = 0.0
    cold_per_s: _NonNegative = 0.0


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: _Size = 16384
    max_body_bytes: _Size = 4 << 20
    header_timeout_ms: _SocketTimeout = _DEFAULT_HEADER_TIMEOUT_MS
    idle_timeout_ms: _SocketTimeout = 75_000.0
    tokens_per_s: _Number = 0.0


class _Tenant(msgspec.Struct, frozen=True):
    name: str
    api_keys: list[str] = []
    allowed_regions: list[str] = []


class _Config(msgspec.Struct, frozen=True):
    version: Annotated[int, msgspec.Meta(ge=1, le=MAX_INT64)]
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = _Limits()
    tenants: list[_Tenant] = []


class _State(Enum):
    READY = "ready"
    DRAINING = "draining"


_PHASES = {_State.READY: TargetPhase.READY, _State.DRAINING: TargetPhase.LEAVING}

_MAX_NAME_CHARS = 256
"""Upper limit on the length of a name or version of a target.

They are part of log lines, of requests' headers and of the messages between routers.
"""

_Text = Annotated[str, msgspec.Meta(max_length=_MAX_NAME_CHARS)]
_NonEmptyText = Annotated[str, msgspec.Meta(min_length=1, max_length=_MAX_NAME_CHARS)]


_BORN_SEPARATOR = "@"

_FIRST_MULTICAST_OCTET = 224
"""IPv4 addresses from here on are multicast, reserved or broadcast, those with 0 of no machine."""


class _Server(msgspec.Struct, frozen=True):
    """A target's entry in the store.

    Every field that all targets write is required, even if the router does not use it: an entry
    that lacks one was not written by a target.
    """

    service: _NonEmptyText
    address: _NonEmptyText
    zone: _NonEmptyText
    version: _Text
    slots: Annotated[int, msgspec.Meta(ge=1, le=_MAX_SLOTS)]
    state: _State
    sequence: Counter
    cold_left_ms: _NonNegative
    # Start time of the process in Unix milliseconds. A restarted target keeps its entry's name and
    # writes a new start time. Targets of older releases omit it and get a new name at each start.
    born: Counter | msgspec.UnsetType = msgspec.UNSET


def decode_routing_config(data: bytes) -> RoutingConfig:
    """Decode the published routing configuration.

    Parameters
    ----------
    data : bytes
        JSON.

    Raises
    ------
    ConfigError
        The configuration is not valid; the reason names the field.
    """
    cfg = _decode_lenient(data, _Config, "configuration")
    return RoutingConfig(
        version=cfg.version,
        routes=tuple(_convert_route(route) for route in cfg.routes),
        services={ServiceName(svc.name): _convert_service(svc) for svc in cfg.services},
        teams=tuple(_convert_team(tenant) for tenant in cfg.tenants),
        limits=FrontLimits(
            cfg.limits.max_header_bytes,
            cfg.limits.max_body_bytes,
            # No head arrives in no time at all, so 0 can only mean that none is set.
            (cfg.limits.header_timeout_ms or _DEFAULT_HEADER_TIMEOUT_MS) / _MS_PER_S,
            cfg.limits.idle_timeout_ms / _MS_PER_S,
        ),
        tokens_per_s=cfg.limits.tokens_per_s,
    )


def _decode_lenient(data: bytes, kind: type, what: str):
    try:
        return decode_json(data, kind, strict=False)
    except DecodingError as exc:
        raise ConfigError(f"{what}: {exc}") from exc


def _convert_route(route: _Route) -> Route:
    backends = tuple(Backend(ServiceName(b.service), b.weight) for b in route.backends)
    if not backends and route.service is not None:
        backends = (Backend(ServiceName(route.service)),)
    if not backends:
        raise ConfigError(f"route {route.name!r} has neither service nor backends")
    return Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.path_prefix,
        kind=route.kind,
        backends=backends,
        timeout_s=route.timeout_ms / _MS_PER_S,
        objective_s=route.target_latency_ms / _MS_PER_S,
        gap_s=route.gap_aim_ms / _MS_PER_S,
        max_attempts=route.max_attempts,
        priority=route.priority,
        public=route.public,
        resumable=route.resumable,
        home_regions=frozenset(map(RegionId, route.allowed_regions)),
        caller_patience_s=_caller_patience_s(route),
    )


def _caller_patience_s(route: _Route) -> float:
    latency_ms = _PATIENCE_LATENCY_FACTOR * route.target_latency_ms
    gap_ms = _PATIENCE_GAP_FACTOR * route.gap_aim_ms
    return max(_MIN_CALLER_PATIENCE_S, latency_ms / _MS_PER_S, gap_ms / _MS_PER_S)


def _convert_team(tenant: _Tenant) -> TeamSpec:
    return TeamSpec(
        TeamId(tenant.name),
        frozenset(tenant.api_keys),
        home_regions=frozenset(map(RegionId, tenant.allowed_regions)),
    )


def _convert_service(service: _Service) -> ServiceSpec:
    engine = service.engine
    spec = None
    if engine is not None:
        bytes_per_s = engine.link_mbps * _BYTES_PER_MBIT
        fetch_tokens_per_s = bytes_per_s / engine.kv_bytes if engine.kv_bytes else 0.0
        spec = EngineSpec(engine.slots, engine.kv_tokens, fetch_tokens_per_s)
    cold = ColdSpec(service.cold_s, service.cold_per_s)
    return ServiceSpec(ServiceName(service.name), spec, cold)


def decode_target(name: TargetName, data: bytes) -> TargetInfo:
    """Decode a target's entry.

    Decoding is strict: no value is converted and no default is filled in, because an entry that
    was not written by a target may hold the address of another process.

    Parameters
    ----------
    name : TargetName
        Name of the entry in the store.
    data : bytes
        JSON.

    Raises
    ------
    ConfigError
        The entry is not valid; the reason names the field.
    """
    if not re.fullmatch("[!-~]+", name) or len(name) > _MAX_NAME_CHARS:
        raise ConfigError(f"name {name[:_MAX_NAME_CHARS]!r} can't be in a header")
    try:
        entry = decode_json(data, _Server)
    except DecodingError as exc:
        raise ConfigError(f"target {name}: {exc}") from exc
    if not _is_ip_and_port(entry.address):
        raise ConfigError(
            f"target {name}: address {entry.address!r} is not an IPv4 address and port of a machine"
        )
    if not all(text.isprintable() for text in (entry.service, entry.zone, entry.version)):
        raise ConfigError(f"target {name}: service, zone or version has control characters")
    if entry.born is msgspec.UNSET and _BORN_SEPARATOR in name:
        # Its id could be that of an incarnation of another target.
        raise ConfigError(f"target {name}: name has a start time, and the entry has none")
    return TargetInfo(
        target_id(name, entry.born),
        ServiceName(entry.service),
        entry.address,
        ZoneId(entry.zone),
        entry.slots,
        _PHASES[entry.state],
        name,
        entry.cold_left_ms / _MS_PER_S,
        SoftwareVersion(entry.version),
    )


def target_id(name: TargetName, born: int | msgspec.UnsetType) -> TargetId:
    """Return the id of an incarnation of the target with the entry ``name``.

    Parameters
    ----------
    name : TargetName
    born : int or UNSET
        Start time of the incarnation in Unix milliseconds; unset for targets of older releases.
    """
    return TargetId(name if born is msgspec.UNSET else f"{name}{_BORN_SEPARATOR}{born}")


def _is_ip_and_port(text: str) -> bool:
    host, _, port = text.rpartition(":")
    if not re.fullmatch("[0-9]{1,5}", port) or not 0 < int(port) < 1 << 16:
        return False
    try:
        first, *_ = ipaddress.IPv4Address(host).packed
    except ValueError:
        return False
    return 0 < first < _FIRST_MULTICAST_OCTET
