"""Schema of the settings files of the router and the stand-ins.

A process takes its addresses and its zone from its settings and never detects them.
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
        Identity of the peer, as in its settings.
    heartbeat, claims : str
        The peer's ``peer_listen`` and ``claims_listen``, as reachable from this router.
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
        Identity of the router.
    listen : Listen
        Address of the HTTP front for callers and operators.
    peer_listen : str
        Address at which peers subscribe to its heartbeats, ``tcp://host:port``.
    claims_listen : str
        Address at which peers claim keys of non-idempotent requests, ``tcp://host:port``.
    peers : list of PeerSettings
        All other routers of the deployment, running or not. All routers must agree on the
        deployment's routers, because the claim replicas of a key are derived from them.
    config_url : str
        URL of the configuration service.
    instances_url : str or None
        URL of the instance list.
    bootstrap_config : str or None
        A configuration file that is used only until the configuration service first answers.
    unresponsive_peer_timeout_s : float
        Maximum wait at a start for peers that accept connections but are silent, in seconds. They
        may be frozen with a newer configuration in force.
    threads : int
        Callers' requests that are handled concurrently, waiting or being answered; one team may
        use as many threads as are free.
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
    unresponsive_peer_timeout_s: Seconds = 30.0
    drain_timeout_s: Seconds = 30.0
    watch_wait_s: Seconds = 2.0
    threads: Annotated[int, msgspec.Meta(ge=4, le=1024)] = 256
    assertions: bool = False


class EngineSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of the stand-in for a model engine.

    Attributes
    ----------
    slots : int
        Requests decoded concurrently (continuous batching); the others wait in arrival order.
    tokens_per_s : float
        Decode rate of one slot, in tokens per second.
    prefill_tokens_per_s : float
        Prefill rate for prompt tokens that are not in the prefix cache.
    prefix_cache_entries : int
        Capacity of the prefix cache, in prefixes; the least recently used one is evicted first.
    load_lag_s : float
        Age of the load figures that the engine reports, in seconds.
    check_fencing : bool
        Whether to refuse model orders with a lower fencing number than one already seen.
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
    """Settings of the stand-in for a plain service."""

    id: str
    listen: Listen
    zone: str = "-"
    work_s: Annotated[float, msgspec.Meta(ge=0)] = 0.01
    log_file: str | None = None


class ConfigServiceSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of the stand-in for the configuration service.

    Attributes
    ----------
    initial : str
        Path of the first configuration that it publishes.
    reads_per_s : float
        Limit on the reads per second of all readers together; a waiting watch counts once.
    """

    listen: Listen
    initial: str
    reads_per_s: Annotated[float, msgspec.Meta(gt=0)] = 2000.0
    log_file: str | None = None


class InstanceListSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of the stand-in for the instance list.

    Attributes
    ----------
    lag_s : float
        Delay until a change appears in the published list, in seconds.
    """

    listen: Listen
    lag_s: Annotated[float, msgspec.Meta(ge=0)] = 1.0
    log_file: str | None = None
