"""The active routing configuration and the retry limits of a deployment."""

from collections.abc import Mapping
from dataclasses import dataclass

from turmerictray.config.routes import RoutingConfig
from turmerictray.core.ids import RegionId, ServiceName, TargetId, ZoneId
from turmerictray.scheduling.shards import ShardMap


@dataclass(frozen=True)
class RetryLimits:
    """Retry budget of the whole fleet for each service.

    Attributes
    ----------
    ratio : float
        Retries allowed per request in a window.
    floor : float
        Further retries allowed in a window, for the whole fleet.
    window_s : float
        Length of the window in seconds.
    """

    ratio: float = 0.2
    floor: float = 50.0
    window_s: float = 10.0


class ActiveConfig:
    """The routing configuration and target state that a router serves by.

    Only the broker changes it. A :class:`RoutingConfig` is immutable, so other threads see either
    the old or the new one, never a mixture.

    Attributes
    ----------
    current : RoutingConfig or None
        The active routing configuration; None before the first one.
    targets_listed : bool
        Whether a list of the targets has been received.
    caught_up : bool
        False after a start until this router has configuration as new as its peers', or hears
        nobody for too long. Until then no caller is served.
    confirmed : bool
        Whether the configuration was compared with the peers' since the start.
    newest_heard : int
        Newest version that a peer is known to have in force.
    min_version : int
        Version when this router began to serve. Requests that were routed with an older one are
        not served.
    unavailable_targets : frozenset of TargetId
        Targets that accept no more work: leaving, removed, in an evacuated availability zone, or
        with an entry that can't be read.
    announced_leaving : frozenset of TargetId
        The unavailable targets that announced that they were leaving before they were removed.
    shards : dict of ServiceName to ShardMap
        The engines of each service, divided into shards.
    regions : mapping of ZoneId to RegionId
        Region of each availability zone, from the settings.
    """

    def __init__(self, regions: Mapping[ZoneId, RegionId] | None = None) -> None:
        self.regions = regions or {}
        self.current: RoutingConfig | None = None
        self.targets_listed = False
        self.caught_up = False
        self.confirmed = False
        self.newest_heard = 0
        self.min_version = 0
        self.unavailable_targets: frozenset[TargetId] = frozenset()
        self.announced_leaving: frozenset[TargetId] = frozenset()
        self.shards: dict[ServiceName, ShardMap] = {}

    def set_startup(self, may_serve: bool, confirmed: bool) -> None:
        """Set whether callers may be served, and whether the configuration is confirmed."""
        if may_serve and not self.caught_up:
            self.min_version = self.version
        self.confirmed = confirmed
        self.caught_up = may_serve

    def is_outdated(self, version: int) -> bool:
        """Whether a request that was routed with ``version`` must not be sent to a target."""
        return not self.caught_up or version < self.min_version

    def is_unavailable(self, target: TargetId) -> bool:
        """Whether a target accepts no more work."""
        return target in self.unavailable_targets

    @property
    def version(self) -> int:
        """Version of the active configuration; 0 for none."""
        return self.current.version if self.current is not None else 0

    def activate_if_newer(self, config: RoutingConfig) -> bool:
        """Activate ``config`` if it is newer than the active one.

        Without the check, a stale read or an outdated peer could restore routes and keys that were
        withdrawn.

        Returns
        -------
        bool
            Whether ``config`` was activated.
        """
        if config.version <= self.version:
            return False
        self.current = config
        return True
