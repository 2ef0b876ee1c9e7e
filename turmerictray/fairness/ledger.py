"""Usage per team, on this router and as reported by peers.

Usage is counted in tokens. A request is charged its estimated cost when it is dispatched, and the
charge is corrected to the true cost when it ends. Peers report their own *settled* cumulative
counters per incarnation. Since counters only grow, merging takes the larger value, and a report
that is delivered twice or again after a partition heals is not counted twice.

The fair queue is ordered by *normalised* usage: tokens over weight, plus an offset that cancels
credit or debt to which a team is not entitled (see :meth:`UsageLedger.start_waiting` and
:meth:`UsageLedger.limit_deficit`).
"""

from collections import Counter, defaultdict

import msgspec

from turmerictray.core.ids import NodeId, TeamId

MAX_INCARNATIONS_PER_NODE = 3
"""Incarnations of one node with separate counters: the current one and two earlier ones."""


class PeerCounters(msgspec.Struct, frozen=True):
    """Settled cumulative usage per team on one router, in tokens.

    Attributes
    ----------
    node : str
        Router that served the requests.
    incarnation : int
        Start time of its process in nanoseconds; a restarted router counts from zero.
    counters : dict of str to float
        Cumulative tokens by team, only for teams with usage.
    """

    node: str
    incarnation: int
    counters: dict[str, float]


class UsageLedger:
    """Usage per team, local and fleet-wide, normalised by weight.

    Parameters
    ----------
    node : NodeId
        This router, whose counters are separate from those of its peers.
    incarnation : int
        This router's start time in nanoseconds.
    """

    def __init__(self, node: NodeId, incarnation: int = 0) -> None:
        self.node = node
        self.incarnation = incarnation
        self.weights: dict[TeamId, float] = {}
        self.settled: dict[TeamId, float] = defaultdict(float)
        self.provisional: dict[TeamId, float] = defaultdict(float)
        self.remote: dict[tuple[str, int], dict[str, float]] = {}
        self.offset: dict[TeamId, float] = defaultdict(float)
        self.waiting_on_peers: set[TeamId] = set()
        self._waiting_queues: Counter[TeamId] = Counter()
        self._remote_sum: dict[str, float] = defaultdict(float)
        self._last_retired: dict[str, int] = {}

    def weight(self, team: TeamId) -> float:
        """Return the team's weight; 1.0 if the configuration does not list the team."""
        return self.weights.get(team, 1.0)

    def charge(self, team: TeamId, estimated_cost: float) -> None:
        """Charge a dispatched request's estimated cost until its true cost is known."""
        self.provisional[team] += estimated_cost

    def settle(self, team: TeamId, estimated_cost: float, cost: float) -> None:
        """Replace a request's ``estimated_cost`` by its true ``cost``, both in tokens."""
        self.provisional[team] = max(0.0, self.provisional[team] - estimated_cost)
        self.settled[team] += cost

    def merge(self, report: PeerCounters) -> bool:
        """Merge a report, taking the larger value of each counter (idempotent).

        A report on an earlier incarnation of this router counts like a peer's.

        Returns
        -------
        bool
            True if the report is the first one on this incarnation of its node.
        """
        key = (report.node, report.incarnation)
        if key == (self.node, self.incarnation):
            return False
        if report.incarnation <= self._last_retired.get(report.node, 0):
            return False
        is_first_report = key not in self.remote
        known = self.remote.setdefault(key, {})
        for team, value in report.counters.items():
            gain = value - known.get(team, 0.0)
            if gain > 0:
                known[team] = value
                self._remote_sum[team] += gain
        if is_first_report:
            self._retire_old_incarnations(report.node)
        return is_first_report

    def earlier_incarnations(self, node: NodeId) -> list[PeerCounters]:
        """Return the counters of ``node``'s incarnations before its latest one.

        They are sent to that node itself.
        """
        incarnations = sorted(incarnation for name, incarnation in self.remote if name == node)
        return [
            PeerCounters(node, incarnation, dict(self.remote[(node, incarnation)]))
            for incarnation in incarnations[:-1]
        ]

    def remote_total(self, team: TeamId) -> float:
        """Return the tokens that peers served to the team, over the remembered incarnations."""
        return self._remote_sum.get(team, 0.0)

    def total(self, team: TeamId) -> float:
        """Return the tokens served to the team in the whole fleet, as far as known here."""
        return self.settled[team] + self.provisional[team] + self.remote_total(team)

    def normalised(self, team: TeamId) -> float:
        """Return usage over weight plus the team's offset; the lowest is served first."""
        return self.total(team) / self.weight(team) + self.offset[team]

    def start_waiting(self, team: TeamId) -> None:
        """Count one more queue in which ``team`` has waiting requests.

        A team that was waiting nowhere in the fleet is raised to the lowest normalised usage among
        the waiting teams. Otherwise a team idle for an hour would return with an hour of credit and
        use the pool alone until it had caught up. The level is reached by an offset: clamping the
        team to a fixed floor would leave it at that floor, first in line, until its own usage had
        passed it.
        """
        self._waiting_queues[team] += 1
        if self._waiting_queues[team] > 1 or team in self.waiting_on_peers:
            return
        others = [self.normalised(other) for other in self._waiting_queues if other != team]
        if others:
            self._raise_to(team, min(others))

    def stop_waiting(self, team: TeamId) -> None:
        """Count one queue less in which ``team`` has waiting requests."""
        self._waiting_queues[team] -= 1
        if self._waiting_queues[team] <= 0:
            del self._waiting_queues[team]

    def limit_deficit(self, limit: float) -> None:
        """Limit how far a waiting team may be behind the one with the highest usage.

        ``limit`` is in tokens per weight. A peer that reconnects after a partition can report an
        hour of usage of one team at once. Compensated in full, that team would be starved here
        until every other had received as much.
        """
        if len(self._waiting_queues) < 2:
            return
        level = max(self.normalised(team) for team in self._waiting_queues) - limit
        for team in self._waiting_queues:
            self._raise_to(team, level)

    def known_teams(self) -> set[str]:
        """Return the teams with usage counted here or reported by a peer."""
        return set(self.settled) | set(self.provisional) | set(self._remote_sum)

    def local_report(self) -> PeerCounters:
        """Return this router's settled cumulative counters, for its peers."""
        counters = {team: value for team, value in self.settled.items() if value > 0}
        return PeerCounters(self.node, self.incarnation, counters)

    def charged(self) -> dict[TeamId, float]:
        """Return this router's usage per team, with the estimated cost of requests in progress.

        Streams last for seconds. If they were reported only when they end, peers would see a lower
        usage than the true one and continue to serve the team first.
        """
        teams = set(self.settled) | set(self.provisional)
        return {team: self.settled[team] + self.provisional[team] for team in teams}

    def is_ahead(self, team: TeamId, slack: float) -> bool:
        """Return whether ``team`` is ahead of any waiting team by more than ``slack``.

        ``slack`` is in tokens per weight.
        """
        waiting = (self._waiting_queues.keys() | self.waiting_on_peers) - {team}
        if not waiting:
            return False
        lowest = min(self.normalised(other) for other in waiting)
        return self.normalised(team) - lowest > slack

    def _raise_to(self, team: TeamId, level: float) -> None:
        gap = level - self.normalised(team)
        if gap > 0:
            self.offset[team] += gap

    def _retire_old_incarnations(self, node: str) -> None:
        # Keeping one set of counters per restart would use unbounded memory. The counters of the
        # oldest incarnation move into the teams' offsets, and late heartbeats of it are ignored.
        incarnations = sorted(incarnation for name, incarnation in self.remote if name == node)
        for incarnation in incarnations[:-MAX_INCARNATIONS_PER_NODE]:
            self._last_retired[node] = incarnation
            for team, value in self.remote.pop((node, incarnation)).items():
                self._remote_sum[team] -= value
                self.offset[TeamId(team)] += value / self.weight(TeamId(team))
