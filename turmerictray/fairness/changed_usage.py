"""Selection of the teams whose usage has changed since the last report."""

from turmerictray.core.ids import TeamId

_REPORT_INTERVAL_S = 0.25
"""Interval between reports. Until the next one, a team can exceed its share by what the other
schedulers grant it in this time."""

_FULL_REPORT_EVERY = 8
"""One in this many reports includes all teams, for receivers that missed some."""


class ChangedUsage:
    """Selector of the cumulative counters to report, which keeps messages short."""

    def __init__(self) -> None:
        self._reported: dict[TeamId, float] = {}
        self._report_count = 0
        self._next_report_at = 0.0

    def is_due(self, now: float) -> bool:
        """Return whether a report is due; true once per interval."""
        if now < self._next_report_at:
            return False
        self._next_report_at = now + _REPORT_INTERVAL_S
        return True

    def take(self, counters: dict[TeamId, float]) -> dict[TeamId, float]:
        """Return the counters that grew since the last report, or periodically all counters."""
        self._report_count += 1
        if self._report_count % _FULL_REPORT_EVERY:
            counters = {t: v for t, v in counters.items() if v > self._reported.get(t, 0.0)}
        self._reported.update(counters)
        return {team: round(value) for team, value in counters.items()}
