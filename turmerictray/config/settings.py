"""Settings files of the router daemon and the stand-ins.

A process learns its addresses and its zone from its settings, never from the machine.
"""

from typing import Annotated

import msgspec

Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]
NngAddress = Annotated[str, msgspec.Meta(pattern=r"^tcp://[^:]+:[0-9]+$")]
Url = Annotated[str, msgspec.Meta(pattern=r"^https?://")]


class Listen(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """An address to listen on."""

    port: Port
    host: str = "127.0.0.1"


class PeerSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Another router of the deployment.

    Attributes
    ----------
    node, zone : str
        As in that router's own settings.
    heartbeat, claims : str
        Its ``peer_listen`` and ``claims_listen`` as this router reaches them.
    """

    node: Annotated[str, msgspec.Meta(min_length=1)]
    zone: Annotated[str, msgspec.Meta(min_length=1)]
    heartbeat: NngAddress
    claims: NngAddress


class RouterSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of one router (entry instance).

    Attributes
    ----------
    node, zone : str
        The router's identity.
    listen : Listen
        Its HTTP front for callers and operators.
    peer_listen : str
        Where peers subscribe to its heartbeats, ``tcp://host:port``.
    claims_listen : str
        Where peers claim keys of non-idempotent requests, ``tcp://host:port``.
    peers : list of PeerSettings
        Every other router of the deployment, up or down; the same on all of them, since the
        homes of a key follow from it.
    config_url : str
        The configuration service.
    instances_url : str or None
        The instance list.
    bootstrap_config : str or None
        A configuration file used only while the service has never answered.
    threads : int
        Callers' requests held at once, waiting or being answered; one team may hold as many as
        are still free.
    """

    node: Annotated[str, msgspec.Meta(min_length=1)]
    zone: Annotated[str, msgspec.Meta(min_length=1)]
    listen: Listen
    peer_listen: NngAddress
    claims_listen: NngAddress
    config_url: Url
    peers: list[PeerSettings] = msgspec.field(default_factory=list)
    instances_url: Url | None = None
    bootstrap_config: str | None = None
    advertise_url: Url | None = None
    log_file: str | None = None
    load_poll_s: Seconds = 0.5
    instances_poll_s: Seconds = 0.5
    heartbeat_s: Seconds = 0.5
    placement_poll_s: Seconds = 1.0
    peer_timeout_s: Seconds = 3.0
    drain_timeout_s: Seconds = 30.0
    watch_wait_s: Seconds = 2.0
    threads: Annotated[int, msgspec.Meta(ge=4, le=1024)] = 256
    assertions: bool = False


class EngineSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of the model engine stand-in.

    Attributes
    ----------
    slots : int
        Requests decoded at once (continuous batching); the rest wait in arrival order.
    tokens_per_s : float
        Decode rate of one slot, in tokens per second.
    prefill_tokens_per_s : float
        Prefill rate for prompt tokens not found in the prefix cache.
    prefix_cache_entries : int
        Prefixes the cache holds (least recently used goes first).
    load_lag_s : float
        Age of the load figures the engine reports.
    check_fencing : bool
        Refuse orders that carry a fencing number lower than one already seen.
    """

    id: str
    listen: Listen
    zone: str = "-"
    slots: Annotated[int, msgspec.Meta(ge=1)] = 4
    tokens_per_s: Annotated[float, msgspec.Meta(gt=0)] = 200.0
    prefill_tokens_per_s: Annotated[float, msgspec.Meta(gt=0)] = 5000.0
    prefix_cache_entries: Annotated[int, msgspec.Meta(ge=0)] = 32
    load_lag_s: Annotated[float, msgspec.Meta(ge=0)] = 0.5
    check_fencing: bool = True
    log_file: str | None = None


class ServiceSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of the plain service stand-in."""

    id: str
    listen: Listen
    zone: str = "-"
    work_s: Annotated[float, msgspec.Meta(ge=0)] = 0.01
    log_file: str | None = None


class ConfigServiceSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of the configuration service stand-in.

    Attributes
    ----------
    initial : str
        Path of the first configuration text it publishes.
    reads_per_s : float
        Global read limit across all readers; a waiting watch counts once.
    """

    listen: Listen
    initial: str
    reads_per_s: Annotated[float, msgspec.Meta(gt=0)] = 2000.0
    log_file: str | None = None


class InstanceListSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of the instance list stand-in.

    Attributes
    ----------
    lag_s : float
        How late a change shows in what the list publishes.
    """

    listen: Listen
    lag_s: Annotated[float, msgspec.Meta(ge=0)] = 1.0
    log_file: str | None = None
