"""Which teams' service has changed since it was told last."""

from turmerictray.core.ids import TeamId

_EVERY_S = 0.25
"""Rhythm of telling. A team gets ahead by what the other schedulers give it in this time."""

_ALL_EVERY = 8
"""Every so many times all teams are told, for those that missed some."""


class ChangedService:
    """Picks what is to be told from cumulative counters, so that messages stay short."""

    def __init__(self) -> None:
        self._told: dict[TeamId, float] = {}
        self._times = 0
        self._due = 0.0

    def is_due(self, now: float) -> bool:
        """Whether it is time to tell again; true once each time."""
        if now < self._due:
            return False
        self._due = now + _EVERY_S
        return True

    def take(self, counters: dict[TeamId, float]) -> dict[TeamId, float]:
        """The teams that had some since the last time; now and then all."""
        self._times += 1
        if self._times % _ALL_EVERY:
            counters = {t: v for t, v in counters.items() if v > self._told.get(t, 0.0)}
        self._told.update(counters)
        return {team: round(value) for team, value in counters.items()}
