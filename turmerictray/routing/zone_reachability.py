"""Detection of availability zones whose targets can't be reached."""

from dataclasses import dataclass, field

from turmerictray.core.ids import TargetId, ZoneId

_MIN_UNREACHABLE_TARGETS = 2
"""Targets of a zone to which connections have to fail, with no answer from the zone in between."""

_AVOIDANCE_S = 2.0
"""How long a zone is avoided after the last failure; about the duration of a brief partition."""


@dataclass
class _ZoneFailures:
    targets: set[TargetId] = field(default_factory=set)
    avoid_until: float = 0.0


class ZoneReachability:
    """Failed connections by zone, since the last answer from the zone.

    A partition makes all targets of a zone unreachable at once. Without this, each of them would
    cost some request the time of a failed connection, several times over.
    """

    def __init__(self) -> None:
        self._zones: dict[ZoneId, _ZoneFailures] = {}

    def record_unreachable(self, target: TargetId, zone: ZoneId, now: float) -> None:
        """Record a failed connection."""
        failures = self._zones.setdefault(zone, _ZoneFailures())
        failures.targets.add(target)
        if len(failures.targets) >= _MIN_UNREACHABLE_TARGETS:
            failures.avoid_until = now + _AVOIDANCE_S

    def record_answer(self, zone: ZoneId) -> bool:
        """Record an answer from a target of the zone; return whether the zone was avoided."""
        failures = self._zones.pop(zone, None)
        return failures is not None and failures.avoid_until > 0

    def avoid_until(self, zone: ZoneId) -> float:
        """Return until when the zone is avoided, in monotonic seconds; 0 if it is not."""
        failures = self._zones.get(zone)
        return 0.0 if failures is None else failures.avoid_until
