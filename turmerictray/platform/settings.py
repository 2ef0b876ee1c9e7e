"""The settings file that the platform writes for each process (TOML)."""

import os
import tomllib

import msgspec

from turmerictray.core.errors import SettingsError
from turmerictray.core.ids import NodeId, ZoneId
from turmerictray.router.gateway_settings import Address, GatewaySettings
from turmerictray.router.text_in_force import RepeatLimits

SETTINGS_VARIABLE = "TURMERICTRAY_NODE_FILE"

METRICS_PORT = 9464
"""Where ``/metrics`` is served on every machine; the deploy file names the same port."""

_READY_PATH = "/api/ready"


class _Listen(msgspec.Struct, frozen=True):
    front: str
    ready: str
    control: str


class _Bounds(msgspec.Struct, frozen=True):
    grace_s: float = 8.0
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10.0
    # Named a minimum of retries; it is what may be spent in a window beside the ratio.
    budget_min_retries: float = 50.0


class _Limits(msgspec.Struct, frozen=True):
    # A share of one core that is "cores" times as fast as usual, not of so many cores.
    cpu_share: float = 1.0
    cores: float = 1.0


class _Store(msgspec.Struct, frozen=True):
    address: str


class NodeFile(msgspec.Struct, frozen=True):
    """The fields of the settings file that are used; others are ignored."""

    node: str
    ip: str
    zone: str
    internal_ports: tuple[int, int]
    listen: _Listen
    platform: _Store
    seeds: list[str] = []
    bounds: _Bounds = _Bounds()
    limits: _Limits = _Limits()


def load_node_file(path: str | None = None) -> NodeFile:
    """Read the settings file.

    Raises
    ------
    SettingsError
        It can't be read, or a field is missing or wrong; the error names the field.
    """
    source = path or os.environ.get(SETTINGS_VARIABLE, "")
    try:
        with open(source, "rb") as fh:
            raw = tomllib.load(fh)
        return msgspec.convert(raw, NodeFile, strict=False)
    except (OSError, tomllib.TOMLDecodeError, msgspec.ValidationError) as exc:
        raise SettingsError(source or f"${SETTINGS_VARIABLE}", str(exc)) from exc


def gateway_settings(node_file: NodeFile) -> GatewaySettings:
    """The product's settings for a process with this settings file."""
    peer_port = node_file.internal_ports[0]
    bounds = node_file.bounds
    return GatewaySettings(
        node=NodeId(node_file.node),
        zone=ZoneId(node_file.zone),
        front=_address(node_file.listen.front),
        ready=_address(node_file.listen.ready),
        ready_path=_READY_PATH,
        admin=_address(node_file.listen.control),
        metrics=Address(node_file.ip, METRICS_PORT),
        peer=Address(node_file.ip, peer_port),
        calls=Address(node_file.ip, peer_port + 1),
        # A seed names where a machine serves control; its peer link has the first internal port,
        # which is the same on all machines.
        seeds=tuple(Address(_address(seed).host, peer_port) for seed in node_file.seeds),
        grace_s=bounds.grace_s,
        repeats=RepeatLimits(
            bounds.retry_budget_ratio, bounds.budget_min_retries, bounds.budget_window_s
        ),
        cores=node_file.limits.cpu_share * node_file.limits.cores,
    )


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        raise SettingsError(SETTINGS_VARIABLE, f"{text!r} is not host:port")
    return Address(host, int(port))
