"""Limit on the requests to cold targets, as seen by one router."""

import math
from collections.abc import Callable

from turmerictray.config.routes import ServiceSpec
from turmerictray.core.ids import TargetId
from turmerictray.routing.cold import ColdLimits, ColdRate, ColdSpec, cold_rate
from turmerictray.routing.load import TargetLoad

IsOwner = Callable[[TargetId, int], bool]
"""Returns whether this router is among the given number of owners of a target."""


class ColdTargets:
    """Decides when a cold target rests, that is, gets no further request.

    Parameters
    ----------
    limits : ColdLimits or None
        None for no tolerance above the configured rate.
    is_owner : callable
        Decides which routers may send to a cold target without a common scheduler.
    """

    def __init__(
        self,
        limits: ColdLimits | None = None,
        is_owner: IsOwner = lambda _target, _owners: True,
    ) -> None:
        self._limits = limits or ColdLimits()
        self._is_owner = is_owner
        self._rate_by_spec: dict[ColdSpec, ColdRate | None] = {}

    def is_resting(
        self, load: TargetLoad, spec: ServiceSpec, now: float, own_path: bool = False
    ) -> bool:
        """Return whether a target is cold and gets no request now.

        Parameters
        ----------
        own_path : bool
            Whether the request has no scheduler that sees all requests to the target. Engines have
            schedulers; a router that reaches none sends nothing to cold engines.
        """
        rate = self._rate(spec.cold) if load.is_cold(now) else None
        if rate is None:
            return False
        if not own_path:
            interval_s = rate.interval_s
        elif spec.engine is None and self._is_owner(load.info.id, rate.owners):
            interval_s = rate.owner_interval_s
        else:
            interval_s = math.inf
        return now < load.last_sent_at + interval_s or interval_s == math.inf

    def exclude_resting(
        self, loads: list[TargetLoad], spec: ServiceSpec, own_path: bool, now: float
    ) -> list[TargetLoad]:
        """Return the targets that are warm, or cold and not resting."""
        return [load for load in loads if not self.is_resting(load, spec, now, own_path)]

    def _rate(self, spec: ColdSpec) -> ColdRate | None:
        if spec not in self._rate_by_spec:
            self._rate_by_spec[spec] = cold_rate(spec, self._limits)
        return self._rate_by_spec[spec]
