"""Crashed targets by suspect, merged among routers."""

from collections.abc import Callable, Hashable, Iterator
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from turmerictray.core.ids import TargetId, TeamId

Key = TypeVar("Key", bound=Hashable)

MAX_SUSPECTS = 4096
"""Maximum number of suspects in memory, about 200 bytes each."""

_EVICTED_AT_ONCE = 128
"""Number of suspects that are forgotten when the table is full; finding them takes long."""

MAX_UPDATES_PER_MESSAGE = 64
"""Maximum number of new reports in one message, about 4 KB."""

REPEATED_REPORTS = 8
"""Number of suspects with several crashes that each message reports again, in rotation, for routers
that have just started or were disconnected."""

_SENDS_PER_UPDATE = 4
"""Number of messages in which a change is reported; see :mod:`turmerictray.membership.table`."""

_MAX_TARGETS = 32
"""Maximum number of targets recorded per suspect; bounds the size of a report."""

_MAX_TEAMS = 8
"""Maximum number of teams recorded per suspect; more than one are all alike."""


@dataclass
class Suspect:
    """A request, or a part of prompts, under suspicion.

    Attributes
    ----------
    seen_at : float
        Monotonic seconds of the last send, crash or report.
    crashed : set of TargetId
        Targets that crashed while running it.
    cleared : set of TargetId
        Those of them that don't count against it, as another target has answered it since.
    isolated : set of TargetId
        Those of them on which no other suspect had just started.
    teams : set of TeamId
        Teams whose requests were running when they crashed.
    running : int
        Copies that this router has sent and that still run.
    refused : int
        Requests that this router has refused since the last crash in isolation.
    times_sent : int
        Number of messages that have reported its latest change.
    """

    seen_at: float
    crashed: set[TargetId] = field(default_factory=set)
    cleared: set[TargetId] = field(default_factory=set)
    isolated: set[TargetId] = field(default_factory=set)
    teams: set[TeamId] = field(default_factory=set)
    running: int = 0
    refused: int = 0
    times_sent: int = 0

    @property
    def crashes(self) -> set[TargetId]:
        """Crashed targets that still count against the suspect."""
        return self.crashed - self.cleared


@dataclass(frozen=True)
class Findings:
    """Targets and teams to add to a suspect; see :class:`Suspect`."""

    crashed: frozenset[TargetId] = frozenset()
    cleared: frozenset[TargetId] = frozenset()
    isolated: frozenset[TargetId] = frozenset()
    teams: frozenset[TeamId] = frozenset()


class SuspectTable(Generic[Key]):
    """Bounded table of suspects whose changes are reported to peers.

    Findings are merged as sets, so they may arrive late, repeatedly and in any order. Not
    thread-safe.

    Parameters
    ----------
    retention_s : float
        Time without a send, crash or report after which a suspect is forgotten.
    min_repeated : int
        Number of crashes from which a suspect is reported repeatedly.
    on_forget : callable
        Called with each suspect that is forgotten, for logs.
    """

    def __init__(
        self,
        retention_s: float,
        min_repeated: int,
        on_forget: Callable[[Key, Suspect], None],
    ) -> None:
        self.retention_s = retention_s
        self._min_repeated = min_repeated
        self._on_forget = on_forget
        self._suspects: dict[Key, Suspect] = {}
        self._rotation = 0

    def __len__(self) -> int:
        return len(self._suspects)

    def items(self) -> Iterator[tuple[Key, Suspect]]:
        """Return a copy of all entries, which other threads may iterate over."""
        return iter(self._suspects.copy().items())

    def crashes(self, at_least: int) -> list[tuple[Key, set[TargetId]]]:
        """Return the suspects with many crashes, with those that count against them."""
        many = [item for item in self.items() if len(item[1].crashed) >= at_least]
        return [(key, suspect.crashes) for key, suspect in many]

    def get(self, key: Key) -> Suspect | None:
        """Return a suspect whether or not it is due to be forgotten."""
        return self._suspects.get(key)

    def find(self, key: Key, now: float) -> Suspect | None:
        """Return a suspect; forget it if it was not seen for long."""
        suspect = self._suspects.get(key)
        if suspect is not None and now - suspect.seen_at >= self.retention_s:
            self._forget(key)
            return None
        return suspect

    def find_or_add(self, key: Key, now: float, seen_at: float) -> Suspect:
        """Return a suspect, and add it if it is not known."""
        suspect = self.find(key, now)
        if suspect is None:
            if len(self._suspects) >= MAX_SUSPECTS:
                for weakest in sorted(self._suspects, key=self._eviction_order)[:_EVICTED_AT_ONCE]:
                    self._forget(weakest)
            suspect = self._suspects[key] = Suspect(seen_at)
        suspect.seen_at = max(suspect.seen_at, seen_at)
        return suspect

    def add_findings(self, suspect: Suspect, found: Findings) -> bool:
        """Add findings to a suspect; return whether any of them is new."""
        has_room = len(suspect.crashed) < _MAX_TARGETS
        crashed = found.crashed - suspect.crashed if has_room else frozenset()
        known = suspect.crashed | crashed
        cleared = (found.cleared - suspect.cleared) & known
        isolated = (found.isolated - suspect.isolated) & known
        has_team_room = len(suspect.teams) < _MAX_TEAMS
        teams = found.teams - suspect.teams if has_team_room else frozenset()
        if not (crashed or cleared or isolated or teams):
            return False
        suspect.crashed |= crashed
        suspect.cleared |= cleared
        suspect.isolated |= isolated
        suspect.teams |= teams
        suspect.times_sent = 0
        if isolated:
            suspect.refused = 0
        return True

    # -- reports to peers ----------------------------------------------------------------------

    def has_pending_updates(self) -> bool:
        """Return whether there are changes to report to peers soon."""
        return any(suspect.times_sent < _SENDS_PER_UPDATE for _, suspect in self.items())

    def take_updates(self) -> list[tuple[Key, Suspect]]:
        """Return the suspects for the next message to peers.

        These are recent changes, highest crash counts first, and some of the suspects with many
        crashes, in rotation.
        """
        updates = [key for key, s in self._suspects.items() if s.times_sent < _SENDS_PER_UPDATE]
        updates.sort(key=lambda key: len(self._suspects[key].crashes), reverse=True)
        taken = updates[:MAX_UPDATES_PER_MESSAGE]
        for key in taken:
            self._suspects[key].times_sent += 1
        taken += [key for key in self._next_repeated() if key not in taken]
        return [(key, self._suspects[key]) for key in taken]

    def _next_repeated(self) -> list[Key]:
        repeated = [k for k, s in self._suspects.items() if len(s.crashes) >= self._min_repeated]
        if not repeated:
            return []
        self._rotation = (self._rotation + REPEATED_REPORTS) % len(repeated)
        count = min(REPEATED_REPORTS, len(repeated))
        return [repeated[(self._rotation + n) % len(repeated)] for n in range(count)]

    # -- memory --------------------------------------------------------------------------------

    def sweep(self, now: float) -> None:
        """Forget the suspects that were not seen for long."""
        for key, _ in self.items():
            self.find(key, now)

    def _eviction_order(self, key: Key) -> tuple[int, float]:
        suspect = self._suspects[key]
        return len(suspect.crashes), suspect.seen_at

    def _forget(self, key: Key) -> None:
        self._on_forget(key, self._suspects.pop(key))
