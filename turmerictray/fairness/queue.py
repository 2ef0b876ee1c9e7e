"""Fair queue: a router's backlog, ordered across teams by normalised usage."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import islice
from typing import Any, Protocol

from turmerictray.core.errors import QueueFull
from turmerictray.core.ids import RequestId, TeamId


class TeamOrder(Protocol):
    """Order in which teams are served, notified when a team starts or stops waiting."""

    def normalised(self, team: TeamId) -> float:
        """Return the team's sort key; the lowest is served first."""

    def start_waiting(self, team: TeamId) -> None:
        """Record that the team starts waiting in one more queue."""

    def stop_waiting(self, team: TeamId) -> None:
        """Record that the team stops waiting in one queue."""


@dataclass
class PendingRequest:
    """Request waiting for a target slot.

    Attributes
    ----------
    req_id : RequestId
    team : TeamId
    estimated_cost : float
        Estimated cost in tokens, charged at dispatch.
    deadline : float
        ``time.monotonic()`` value after which the request times out, in seconds.
    reply : Any
        Receiver of the grant or refusal (a future owned by the caller's thread).
    context : Any
        Data that the dispatcher needs to place the request (service, prefix key...).
    """

    req_id: RequestId
    team: TeamId
    estimated_cost: float
    deadline: float
    reply: Any = None
    context: Any = None
    seq: int = field(default=0, compare=False)


class FairQueue:
    """Per-team FIFO queues; :meth:`pop` serves the backlogged team with the lowest usage.

    Parameters
    ----------
    ledger : TeamOrder
        Order in which teams are served.
    max_per_team : int
        Maximum number of waiting requests per team on this router.
    retry_after : float
        Retry delay, in seconds, given to callers refused because their team's queue is full.
    """

    def __init__(self, ledger: TeamOrder, max_per_team: int, retry_after: float) -> None:
        self.ledger = ledger
        self.max_per_team = max_per_team
        self.retry_after = retry_after
        self._queues: dict[TeamId, deque[PendingRequest]] = {}
        self._seq = 0

    def __len__(self) -> int:
        return sum(len(q) for q in self._queues.values())

    def backlogged(self) -> list[TeamId]:
        """Return the teams with at least one waiting request."""
        return list(self._queues)

    def depth(self, team: TeamId) -> int:
        """Return the number of waiting requests of ``team``."""
        return len(self._queues.get(team, ()))

    def push(self, pending: PendingRequest, front: bool = False) -> None:
        """Queue a request; ``front`` puts a retried request at the head of its team's queue.

        Raises
        ------
        QueueFull
            If the team already has ``max_per_team`` waiting requests (never with ``front``).
        """
        queue = self._queues.get(pending.team)
        if queue is None:
            self.ledger.start_waiting(pending.team)
            queue = self._queues[pending.team] = deque()
        elif len(queue) >= self.max_per_team and not front:
            raise QueueFull("queue_full", self.retry_after)
        self._seq += 1
        pending.seq = self._seq
        if front:
            queue.appendleft(pending)
        else:
            queue.append(pending)

    def peek_team(self) -> TeamId | None:
        """Return the team that :meth:`pop` would serve next, or None when nothing waits."""
        if not self._queues:
            return None
        return min(self._queues, key=self.sort_key)

    def peek_head(self, team: TeamId) -> PendingRequest:
        """Return the oldest waiting request of ``team``."""
        return self._queues[team][0]

    def waiting(self, team: TeamId, limit: int) -> list[PendingRequest]:
        """Return the first ``limit`` waiting requests of ``team``, oldest first."""
        return list(islice(self._queues.get(team, ()), limit))

    def teams_by_usage(self) -> Iterator[TeamId]:
        """Yield the backlogged teams, lowest usage first; the queue must not change meanwhile."""
        first = self.peek_team()
        if first is None:
            return
        yield first
        rest = [team for team in self._queues if team != first]
        yield from sorted(rest, key=self.sort_key)

    def pop(self) -> PendingRequest | None:
        """Remove and return the next request of the team with the lowest usage, or None."""
        team = self.peek_team()
        return None if team is None else self.pop_from(team)

    def pop_from(self, team: TeamId) -> PendingRequest:
        """Remove and return the oldest waiting request of ``team``, which must be backlogged."""
        queue = self._queues[team]
        pending = queue.popleft()
        if not queue:
            self._remove_team(team)
        return pending

    def discard(self, pending: PendingRequest) -> bool:
        """Remove a request whose caller is gone; return False if it no longer waits."""
        queue = self._queues.get(pending.team)
        if queue is None or pending not in queue:
            return False
        queue.remove(pending)
        if not queue:
            self._remove_team(pending.team)
        return True

    def expire(self, now: float) -> list[PendingRequest]:
        """Remove and return the requests whose deadline has passed."""
        expired: list[PendingRequest] = []
        for team in list(self._queues):
            queue = self._queues[team]
            remaining = deque(pending for pending in queue if pending.deadline > now)
            expired.extend(pending for pending in queue if pending.deadline <= now)
            if remaining:
                self._queues[team] = remaining
            else:
                self._remove_team(team)
        return expired

    def sort_key(self, team: TeamId) -> tuple[float, int]:
        """Return the sort key of a backlogged team; the lowest is served first."""
        return self.ledger.normalised(team), self._queues[team][0].seq

    def _remove_team(self, team: TeamId) -> None:
        del self._queues[team]
        self.ledger.stop_waiting(team)
