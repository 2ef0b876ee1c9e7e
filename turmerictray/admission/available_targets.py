"""Targets that have capacity at one point in time."""

from turmerictray.admission.cold_targets import ColdTargets
from turmerictray.admission.window import (
    MAX_WINDOW_FRACTION,
    engine_has_capacity,
    plain_target_has_capacity,
)
from turmerictray.core.ids import TargetId
from turmerictray.routing.load import TargetLoad
from turmerictray.routing.pool_targets import PoolTargets, ShardTargets


class AvailableTargets:
    """Targets with capacity for one more request, by the window fraction that a team may use.

    The sets are computed once per scheduling round and reused for all pending requests. Computing
    them for each request would take most of a scheduler's processor time.

    Parameters
    ----------
    targets : PoolTargets or ShardTargets
        Targets of the service, or of one of its shards.
    router_count : int
        Number of routers that share plain targets.
    now : float
        Monotonic seconds.
    cold_targets : ColdTargets
        Decides which cold targets rest.
    """

    def __init__(
        self,
        targets: PoolTargets | ShardTargets,
        router_count: int,
        now: float,
        cold_targets: ColdTargets,
    ) -> None:
        self._cold_targets = cold_targets
        self._targets = targets
        self._router_count = router_count
        self._now = now
        self._targets_by_fraction: dict[float, set[TargetId]] = {}

    def __bool__(self) -> bool:
        """Return whether any target has capacity for any team."""
        if self._targets.spec.engine is None:
            # The set of all would be needed for nothing else.
            loads = self._targets.loads.values()
            return any(self._has_capacity(load, MAX_WINDOW_FRACTION) for load in loads)
        return bool(self.for_fraction(MAX_WINDOW_FRACTION))

    def for_fraction(self, fraction: float) -> set[TargetId]:
        """Return the targets with capacity for a team that may use this window fraction."""
        found = self._targets_by_fraction.get(fraction)
        if found is None:
            loads = self._targets.loads.items()
            found = {target for target, load in loads if self._has_capacity(load, fraction)}
            self._targets_by_fraction[fraction] = found
        return found

    def note_sent(self, load: TargetLoad) -> None:
        """Remove a target from the sets for which a dispatch has used up its capacity."""
        for fraction, found in self._targets_by_fraction.items():
            if not self._has_capacity(load, fraction):
                found.discard(load.info.id)

    def _has_capacity(self, load: TargetLoad, fraction: float) -> bool:
        spec = self._targets.spec
        if self._cold_targets.is_resting(load, spec, self._now):
            return False
        if spec.engine is None:
            return plain_target_has_capacity(load, self._router_count, self._now)
        return engine_has_capacity(load, self._targets.model, self._now, fraction)
