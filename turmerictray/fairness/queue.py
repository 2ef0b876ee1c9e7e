"""The fair queue: a router's backlog, ordered across teams by normalised service."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import islice
from typing import Any, Protocol

from turmerictray.core.errors import QueueFull
from turmerictray.core.ids import RequestId, TeamId


class TeamOrder(Protocol):
    """Says which team is served first; told of teams that begin and cease to wait."""

    def normalised(self, team: TeamId) -> float:
        """The team's place; lowest is served first."""

    def join(self, team: TeamId) -> None:
        """The team begins to wait in one more queue."""

    def leave(self, team: TeamId) -> None:
        """The team waits in one queue less."""


@dataclass
class Pending:
    """A request waiting for a target slot.

    Attributes
    ----------
    req_id : RequestId
    team : TeamId
    hint : float
        Rough cost estimate in tokens, charged at dispatch.
    deadline : float
        ``time.monotonic()`` after which the request is given up, in seconds.
    reply : Any
        Where the grant or refusal goes (a future owned by the caller's thread).
    context : Any
        Whatever the dispatcher needs to place the request (service, prefix key...).
    """

    req_id: RequestId
    team: TeamId
    hint: float
    deadline: float
    reply: Any = None
    context: Any = None
    seq: int = field(default=0, compare=False)


class FairQueue:
    """Per-team FIFO queues; :meth:`pop` serves the backlogged team least served so far.

    Parameters
    ----------
    ledger : TeamOrder
        Decides which team is least served.
    max_per_team : int
        Requests one team may have waiting on this router.
    retry_after : float
        Seconds given to callers refused because their team's queue is full.
    """

    def __init__(self, ledger: TeamOrder, max_per_team: int, retry_after: float) -> None:
        self.ledger = ledger
        self.max_per_team = max_per_team
        self.retry_after = retry_after
        self._queues: dict[TeamId, deque[Pending]] = {}
        self._seq = 0

    def __len__(self) -> int:
        return sum(len(q) for q in self._queues.values())

    def backlogged(self) -> list[TeamId]:
        """Teams with at least one waiting request."""
        return list(self._queues)

    def depth(self, team: TeamId) -> int:
        """Requests of ``team`` waiting."""
        return len(self._queues.get(team, ()))

    def push(self, item: Pending, front: bool = False) -> None:
        """Queue a request; ``front`` puts a retried request back at the head of its team.

        Raises
        ------
        QueueFull
            When the team already has ``max_per_team`` requests waiting (never for ``front``).
        """
        queue = self._queues.get(item.team)
        if queue is None:
            self.ledger.join(item.team)
            queue = self._queues[item.team] = deque()
        elif len(queue) >= self.max_per_team and not front:
            raise QueueFull("queue_full", self.retry_after)
        self._seq += 1
        item.seq = self._seq
        if front:
            queue.appendleft(item)
        else:
            queue.append(item)

    def peek_team(self) -> TeamId | None:
        """The team :meth:`pop` would serve next, or None when nothing waits."""
        if not self._queues:
            return None
        return min(self._queues, key=self.order)

    def peek_head(self, team: TeamId) -> Pending:
        """The oldest waiting request of ``team``."""
        return self._queues[team][0]

    def waiting(self, team: TeamId, most: int) -> list[Pending]:
        """The first ``most`` waiting requests of ``team``, oldest first."""
        return list(islice(self._queues.get(team, ()), most))

    def by_service(self) -> Iterator[TeamId]:
        """Backlogged teams, least served first; the queue must not change meanwhile."""
        first = self.peek_team()
        if first is None:
            return
        yield first
        rest = [team for team in self._queues if team != first]
        yield from sorted(rest, key=self.order)

    def pop(self) -> Pending | None:
        """Take the next request of the least served backlogged team, or None."""
        team = self.peek_team()
        return None if team is None else self.pop_from(team)

    def pop_from(self, team: TeamId) -> Pending:
        """Take the oldest waiting request of ``team``, which must be backlogged."""
        queue = self._queues[team]
        item = queue.popleft()
        if not queue:
            self._drop(team)
        return item

    def discard(self, item: Pending) -> bool:
        """Remove a waiting request whose caller is gone; false when it waits no more."""
        queue = self._queues.get(item.team)
        if queue is None or item not in queue:
            return False
        queue.remove(item)
        if not queue:
            self._drop(item.team)
        return True

    def expire(self, now: float) -> list[Pending]:
        """Remove and return the requests whose deadline has passed."""
        gone: list[Pending] = []
        for team in list(self._queues):
            queue = self._queues[team]
            keep = deque(item for item in queue if item.deadline > now)
            gone.extend(item for item in queue if item.deadline <= now)
            if keep:
                self._queues[team] = keep
            else:
                self._drop(team)
        return gone

    def order(self, team: TeamId) -> tuple[float, int]:
        """The place of a backlogged team; lowest is served first."""
        return self.ledger.normalised(team), self._queues[team][0].seq

    def _drop(self, team: TeamId) -> None:
        del self._queues[team]
        self.ledger.leave(team)
