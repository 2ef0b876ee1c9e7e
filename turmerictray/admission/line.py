"""All teams' waiting requests, and the work that is sent before a new one."""

from collections import defaultdict

from turmerictray.admission.turns import TeamTurns, turn_of
from turmerictray.core.ids import TeamId
from turmerictray.fairness.queue import Pending

OLDEST_EVERY = 4
"""One of so many sends of a team takes its oldest request, the others the one that can wait least,
and of those the shortest. Under twice the load that engines can read, most callers with short
prompts are answered in time by the time that a few long ones take; the oldest's turn keeps long
ones from waiting for ever."""


class WaitingLine:
    """The turns of each team.

    What comes before a request is asked for with each one that comes, and most of those are refused
    under load, so it is remembered until the line changes.
    """

    def __init__(self) -> None:
        self._teams: defaultdict[TeamId, TeamTurns] = defaultdict(TeamTurns)
        self._work_of_first: dict[int, float] = {}

    def add(self, item: Pending, first: bool) -> None:
        """A request waits; ``first`` puts it before others of its turn."""
        self._teams[item.team].add(item, first)
        self._work_of_first.clear()

    def remove(self, item: Pending) -> None:
        """A request waits no more."""
        turns = self._teams[item.team]
        turns.remove(item)
        if not len(turns):
            del self._teams[item.team]
        self._work_of_first.clear()

    def next(self, team: TeamId, most: int) -> list[Pending]:
        """At most ``most`` of a team's requests that come next."""
        return self._teams[team].next(most)

    def work(self) -> float:
        """Work of all that waits, in the unit of :func:`turmerictray.admission.turns.work_of`."""
        return sum(turns.work_of(len(turns)) for turns in self._teams.values())

    def work_ahead_of(self, item: Pending) -> float:
        """Work that is sent before a request.

        Teams take turns, so it waits for those of its own team that come before it, and for as many
        of each other team.
        """
        own = self._teams.get(item.team)
        if own is None:
            return self._work_of_all(1)
        before = own.up_to(turn_of(item)) * OLDEST_EVERY // (OLDEST_EVERY - 1)
        others = self._work_of_all(before + 1) - own.work_of(before + 1)
        return others + own.work_of(before)

    def _work_of_all(self, first: int) -> float:
        """Work of the first so many requests of each team."""
        work = self._work_of_first.get(first)
        if work is None:
            work = sum(turns.work_of(first) for turns in self._teams.values())
            self._work_of_first[first] = work
        return work
