"""Which targets have room at one moment."""

from turmerictray.admission.window import MOST_PART, engine_open, plain_open
from turmerictray.core.ids import TargetId
from turmerictray.routing.load import TargetLoad
from turmerictray.routing.pool_targets import PoolTargets, ShardTargets


class Openings:
    """Targets with room for one more request, by the part of their windows that a team may use.

    Worked out once for all that waits: for each request anew it would be most of what a scheduler
    does.

    Parameters
    ----------
    targets : PoolTargets or ShardTargets
    routers : int
        Routers that share plain targets.
    now : float
        Monotonic seconds.
    """

    def __init__(self, targets: PoolTargets | ShardTargets, routers: int, now: float) -> None:
        self._targets = targets
        self._routers = routers
        self._now = now
        self._open: dict[float, set[TargetId]] = {}

    def __bool__(self) -> bool:
        """Whether any target is open to anyone."""
        return bool(self.of(MOST_PART))

    def of(self, part: float) -> set[TargetId]:
        """The targets that are open to a team with this part of the window."""
        found = self._open.get(part)
        if found is None:
            loads = self._targets.loads.items()
            found = {target for target, load in loads if self._is_open(load, part)}
            self._open[part] = found
        return found

    def note_sent(self, load: TargetLoad) -> None:
        """A request was sent to a target."""
        for part, found in self._open.items():
            if not self._is_open(load, part):
                found.discard(load.info.id)

    def _is_open(self, load: TargetLoad, part: float) -> bool:
        if self._targets.spec.engine is None:
            return plain_open(load, self._routers, self._now)
        return engine_open(load, self._targets.model, self._now, part)
