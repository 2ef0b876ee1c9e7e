"""Dispatch order of all teams' pending requests, and the work ahead of a new request."""

from collections import defaultdict

from turmerictray.admission.team_dispatch_order import TeamDispatchOrder, dispatch_key
from turmerictray.core.ids import TeamId
from turmerictray.fairness.queue import PendingRequest

OLDEST_REQUEST_INTERVAL = 4
"""One in this many dispatches of a team takes its oldest request. The others take the most urgent
one, and the shortest of those. Under twice the load that the engines can read, the time that a few
long prompts take suffices to answer most callers with short prompts in time. Dispatching the oldest
request now and then keeps long prompts from starving."""


class DispatchOrder:
    """The pending requests of each team in dispatch order.

    The work ahead of a request is computed for every arriving request, and under overload most of
    these are refused without changing the queue. The sums are therefore cached until it changes.
    """

    def __init__(self) -> None:
        self._teams: defaultdict[TeamId, TeamDispatchOrder] = defaultdict(TeamDispatchOrder)
        self._cached_work: dict[int, float] = {}

    def add(self, pending: PendingRequest, front: bool) -> None:
        """Add a request; ``front`` puts it before others with the same sort key."""
        self._teams[pending.team].add(pending, front)
        self._cached_work.clear()

    def remove(self, pending: PendingRequest) -> None:
        """Remove a request."""
        order = self._teams[pending.team]
        order.remove(pending)
        if not len(order):
            del self._teams[pending.team]
        self._cached_work.clear()

    def next_requests(self, team: TeamId, limit: int) -> list[PendingRequest]:
        """Return at most ``limit`` of a team's requests, the next to be dispatched first."""
        return self._teams[team].next_requests(limit)

    def request_ids(self) -> set[int]:
        """Return the identities (:func:`id`) of the requests."""
        return {
            id(pending)
            for order in self._teams.values()
            for pending in order.next_requests(len(order))
        }

    def total_work(self) -> float:
        """Return the work of all pending requests.

        The unit is that of :func:`turmerictray.admission.team_dispatch_order.request_work`.
        """
        return sum(order.work_of_first(len(order)) for order in self._teams.values())

    def work_ahead_of(self, pending: PendingRequest) -> float:
        """Return the work that is dispatched before a request.

        Teams are served in rotation, so a request waits for the requests of its own team ahead of
        it and for as many requests of every other team.
        """
        team_order = self._teams.get(pending.team)
        if team_order is None:
            return self._work_of_first(1)
        ahead = (
            team_order.count_up_to(dispatch_key(pending))
            * OLDEST_REQUEST_INTERVAL
            // (OLDEST_REQUEST_INTERVAL - 1)
        )
        other_work = self._work_of_first(ahead + 1) - team_order.work_of_first(ahead + 1)
        return other_work + team_order.work_of_first(ahead)

    def _work_of_first(self, count: int) -> float:
        """Return the work of the first ``count`` requests of every team."""
        work = self._cached_work.get(count)
        if work is None:
            work = sum(order.work_of_first(count) for order in self._teams.values())
            self._cached_work[count] = work
        return work
