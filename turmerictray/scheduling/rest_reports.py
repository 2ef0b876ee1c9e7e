"""Which schedulers know of the rests that targets have asked this router for."""

import threading
from collections import defaultdict

from turmerictray.core.ids import ServiceName, TargetId
from turmerictray.membership.messages import MemberEntry
from turmerictray.routing.target_notices import TargetNotices

_MAX_REPEATED = 32
"""Rests that are told to a scheduler with one request; the others follow with the next ones."""

_TOLERANCE_S = 0.05
"""A rest that ends later than told by less than this is not told again."""

_Scheduler = tuple[str, int]
"""Node and incarnation of a scheduler; a new incarnation knows nothing."""


class RestReports:
    """Running rests of this router by service, and which scheduler has been told of which.

    A router that begins to schedule has heard of no rest that was told before. Safe for use by many
    threads.

    Parameters
    ----------
    notices : TargetNotices
    """

    def __init__(self, notices: TargetNotices) -> None:
        self._notices = notices
        self._lock = threading.Lock()
        self._told: defaultdict[ServiceName, dict[TargetId, dict[_Scheduler, float]]]
        self._told = defaultdict(dict)

    def note_rest(self, service: ServiceName, target: TargetId, now: float) -> None:
        """Record that a target of a service rests."""
        with self._lock:
            self._drop_ended(service, now)
            self._told[service].setdefault(target, {})

    def note_told(
        self, service: ServiceName, target: TargetId, scheduler: MemberEntry, now: float
    ) -> None:
        """Record that a scheduler has been told of a rest."""
        until = now + self._notices.rest_left_s(target, now)
        with self._lock:
            told = self._told[service].get(target)
            if told is not None:
                told[scheduler.node, scheduler.incarnation] = until

    def forget_told(self, service: ServiceName, target: TargetId, now: float) -> None:
        """Have the schedulers told again of a rest, as one of them doesn't know it."""
        with self._lock:
            self._drop_ended(service, now)
            self._told[service][target] = {}

    def forget_scheduler(self, scheduler: MemberEntry) -> None:
        """Have a scheduler told again of all rests, as messages to it may be lost."""
        with self._lock:
            for rests in self._told.values():
                for told in rests.values():
                    told.pop((scheduler.node, scheduler.incarnation), None)

    def take_untold(
        self, service: ServiceName, scheduler: MemberEntry, now: float
    ) -> list[tuple[TargetId, float]]:
        """Return what a scheduler is to be told now; it counts as told.

        Returns
        -------
        list of (TargetId, float)
            Targets that rest, with the seconds that are left.
        """
        if not self._told.get(service):
            return []
        key = (scheduler.node, scheduler.incarnation)
        untold = []
        with self._lock:
            self._drop_ended(service, now)
            for target, told in self._told[service].items():
                left_s = self._notices.rest_left_s(target, now)
                if now + left_s > told.get(key, 0.0) + _TOLERANCE_S:
                    told[key] = now + left_s
                    untold.append((target, left_s))
                    if len(untold) == _MAX_REPEATED:
                        break
        return untold

    def _drop_ended(self, service: ServiceName, now: float) -> None:
        self._told[service] = {
            target: told
            for target, told in self._told[service].items()
            if self._notices.rest_left_s(target, now)
        }
