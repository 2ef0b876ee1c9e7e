"""The settings file that the platform writes for each process (TOML)."""

import os
import tomllib

import msgspec

from turmerictray.core.errors import SettingsError
from turmerictray.core.ids import NodeId, RegionId, ZoneId
from turmerictray.router.active_config import RetryLimits
from turmerictray.router.gateway_settings import Address, GatewaySettings
from turmerictray.router.read_limits import DEFAULT_APPLY_LIMIT_S, ReadLimits
from turmerictray.routing.cold import ColdLimits

SETTINGS_ENV_VAR = "TURMERICTRAY_NODE_FILE"

METRICS_PORT = 9464
"""Port of ``/metrics`` on every machine; must match the deploy file."""

_READY_PATH = "/api/ready"

_DEFAULT_HEARTBEAT_MS = 1200.0
_MAX_HEARTBEAT_MS = 10_000.0

_MIN_OUTAGE_HEARTBEATS = 1.5
"""Time without the store after which entries of live targets may have expired. The store drops an
entry after three intervals without a renewal, of which one may have passed before an outage, and
targets keep the interval only approximately."""


class _Listen(msgspec.Struct, frozen=True):
    front: str
    ready: str
    control: str


class _Bounds(msgspec.Struct, frozen=True):
    grace_s: float = 8.0
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10.0
    # Retries allowed per window in addition to the ratio, although the name says minimum.
    budget_min_retries: float = 50.0
    # Tolerance above the configured rate of requests to a cold target: a factor, and a number.
    cold_over: float = 1.0
    cold_slack: float = 0.0
    # Time within which a new configuration, and a target's leaving, have to be in force.
    config_apply_ms: float = 1000 * DEFAULT_APPLY_LIMIT_S
    drain_ms: float = 1000 * DEFAULT_APPLY_LIMIT_S


class _Limits(msgspec.Struct, frozen=True):
    # Fraction of a single core. That core is "cores" times as fast as a standard one; "cores" is
    # not a number of cores.
    cpu_share: float = 1.0
    cores: float = 1.0


class _Store(msgspec.Struct, frozen=True):
    address: str
    # Time for which the store keeps changes.
    history_s: float = 0.0


class NodeFile(msgspec.Struct, frozen=True):
    """The used fields of the settings file; other fields are ignored."""

    node: str
    ip: str
    zone: str
    internal_ports: tuple[int, int]
    listen: _Listen
    platform: _Store
    seeds: list[str] = []
    # Interval at which targets renew their entries.
    heartbeat_ms: float = _DEFAULT_HEARTBEAT_MS
    # Region by availability zone.
    zones: dict[str, str] = {}
    bounds: _Bounds = _Bounds()
    limits: _Limits = _Limits()


def load_node_file(path: str | None = None) -> NodeFile:
    """Read the settings file.

    Parameters
    ----------
    path : str, optional
        Path of the file; the environment variable ``TURMERICTRAY_NODE_FILE`` names the default.

    Raises
    ------
    SettingsError
        The file can't be read, or a field is missing or invalid; the error names the field.
    """
    source = path or os.environ.get(SETTINGS_ENV_VAR, "")
    try:
        with open(source, "rb") as fh:
            raw = tomllib.load(fh)
        return msgspec.convert(raw, NodeFile, strict=False)
    except (OSError, ValueError) as exc:
        # Invalid TOML and fields, but also text that is not UTF-8, raise subclasses of ValueError.
        raise SettingsError(source or f"${SETTINGS_ENV_VAR}", str(exc)) from exc


def _min_outage_s(node_file: NodeFile) -> float:
    """Return the shortest outage of the store in which entries may expire, in seconds."""
    heartbeat_ms = min(_MAX_HEARTBEAT_MS, max(0.0, node_file.heartbeat_ms))
    return _MIN_OUTAGE_HEARTBEATS * heartbeat_ms / 1000


def build_gateway_settings(node_file: NodeFile) -> GatewaySettings:
    """Translate a settings file into the settings of the gateway.

    Raises
    ------
    SettingsError
        An address is not of the form ``host:port``.
    """
    peer_port = node_file.internal_ports[0]
    bounds = node_file.bounds
    return GatewaySettings(
        node=NodeId(node_file.node),
        zone=ZoneId(node_file.zone),
        front=_parse_address(node_file.listen.front),
        ready=_parse_address(node_file.listen.ready),
        ready_path=_READY_PATH,
        admin=_parse_address(node_file.listen.control),
        metrics=Address(node_file.ip, METRICS_PORT),
        peer=Address(node_file.ip, peer_port),
        calls=Address(node_file.ip, peer_port + 1),
        # A seed is the control address of a machine. Its peer link listens on the first internal
        # port, which is the same on all machines.
        seeds=tuple(Address(_parse_address(seed).host, peer_port) for seed in node_file.seeds),
        grace_s=bounds.grace_s,
        retry_limits=RetryLimits(
            bounds.retry_budget_ratio, bounds.budget_min_retries, bounds.budget_window_s
        ),
        regions={ZoneId(zone): RegionId(region) for zone, region in node_file.zones.items()},
        cold_limits=ColdLimits(bounds.cold_over, bounds.cold_slack),
        cores=node_file.limits.cpu_share * node_file.limits.cores,
        read_limits=ReadLimits.from_apply_limit(
            min(bounds.config_apply_ms, bounds.drain_ms) / 1000, _min_outage_s(node_file)
        ),
    )


def _parse_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()):
        raise SettingsError(SETTINGS_ENV_VAR, f"{text!r} is not host:port")
    return Address(host, int(port))
