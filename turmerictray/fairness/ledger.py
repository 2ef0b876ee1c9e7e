"""Service received per team, on this router and as reported by peers.

Service is counted in tokens. A request is charged its rough hint when it is dispatched and the
charge is corrected to the true cost when it ends. Peers report their own *settled* cumulative
counters per incarnation; counters only grow, so merging keeps the larger value and a summary
delivered twice, or again after a partition heals, is never counted twice.

What orders the fair queue is *normalised* service: tokens over weight, plus an offset that
forgives what a team may not claim (see :meth:`ServiceLedger.join` and
:meth:`ServiceLedger.forgive`).
"""

from collections import Counter, defaultdict

import msgspec

from turmerictray.core.ids import NodeId, TeamId

KEPT_LIVES = 3
"""Incarnations of one node whose counters are kept apart: its present and two earlier ones."""


class PeerCounters(msgspec.Struct, frozen=True):
    """One router's settled cumulative service per team, in tokens.

    Attributes
    ----------
    node : str
        The router that served.
    incarnation : int
        Start time of its process in nanoseconds; a restarted router counts afresh.
    counters : dict of str to float
        Team to cumulative tokens, only for teams with service.
    """

    node: str
    incarnation: int
    counters: dict[str, float]


class ServiceLedger:
    """Per-team service, local and fleet-wide, normalised by weight.

    Parameters
    ----------
    node : NodeId
        This router, whose own counters are kept apart from peers'.
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
        self.waiting_elsewhere: set[TeamId] = set()
        self._waiting: Counter[TeamId] = Counter()
        self._remote_sum: dict[str, float] = defaultdict(float)
        self._retired: dict[str, int] = {}

    def weight(self, team: TeamId) -> float:
        """The team's weight; 1.0 for a team the configuration does not list."""
        return self.weights.get(team, 1.0)

    def charge(self, team: TeamId, hint: float) -> None:
        """Charge a dispatched request's hint, in tokens, until its true cost is known."""
        self.provisional[team] += hint

    def settle(self, team: TeamId, hint: float, cost: float) -> None:
        """Replace a request's provisional ``hint`` by its true ``cost``, in tokens."""
        self.provisional[team] = max(0.0, self.provisional[team] - hint)
        self.settled[team] += cost

    def merge(self, report: PeerCounters) -> bool:
        """Take a report, keeping the larger value of each counter (idempotent).

        A report on an earlier life of this router counts like a peer's.

        Returns
        -------
        bool
            True when the report starts a life of its node that was not known before.
        """
        key = (report.node, report.incarnation)
        if key == (self.node, self.incarnation):
            return False
        if report.incarnation <= self._retired.get(report.node, 0):
            return False
        fresh = key not in self.remote
        known = self.remote.setdefault(key, {})
        for team, value in report.counters.items():
            gain = value - known.get(team, 0.0)
            if gain > 0:
                known[team] = value
                self._remote_sum[team] += gain
        if fresh:
            self._retire_lives(report.node)
        return fresh

    def earlier_lives(self, node: NodeId) -> list[PeerCounters]:
        """What is known of ``node``'s lives before its latest, for that node itself."""
        lives = sorted(inc for name, inc in self.remote if name == node)
        return [PeerCounters(node, inc, dict(self.remote[(node, inc)])) for inc in lives[:-1]]

    def remote_total(self, team: TeamId) -> float:
        """Tokens the team received through peers, over the lives that are kept."""
        return self._remote_sum.get(team, 0.0)

    def total(self, team: TeamId) -> float:
        """Fleet-wide tokens the team received as far as this router knows."""
        return self.settled[team] + self.provisional[team] + self.remote_total(team)

    def normalised(self, team: TeamId) -> float:
        """Service over weight plus the team's offset; lowest is served first."""
        return self.total(team) / self.weight(team) + self.offset[team]

    def join(self, team: TeamId) -> None:
        """Count one more service queue in which ``team`` has requests waiting.

        A team that waited nowhere in the fleet is put level with the least served of the teams
        that do. Without it, a team idle for an hour would come back with an hour of credit and
        hold the pool alone until it caught up. The level is added as an offset: raising the
        team to a fixed floor instead would leave it at that floor, first in line, until its own
        service had passed it.
        """
        self._waiting[team] += 1
        if self._waiting[team] > 1 or team in self.waiting_elsewhere:
            return
        others = [self.normalised(other) for other in self._waiting if other != team]
        if others:
            self._raise_to(team, min(others))

    def leave(self, team: TeamId) -> None:
        """Count one service queue less in which ``team`` has requests waiting."""
        self._waiting[team] -= 1
        if self._waiting[team] <= 0:
            del self._waiting[team]

    def forgive(self, limit: float) -> None:
        """Let no waiting team be more than ``limit`` tokens per weight behind the most served.

        A peer heard again after a partition can report an hour of service to one team at once.
        Paid back in full, that team would be starved here until every other had as much.
        """
        if len(self._waiting) < 2:
            return
        level = max(self.normalised(team) for team in self._waiting) - limit
        for team in self._waiting:
            self._raise_to(team, level)

    def known_teams(self) -> set[str]:
        """Teams with service counted here or reported by a peer."""
        return set(self.settled) | set(self.provisional) | set(self._remote_sum)

    def own_report(self) -> PeerCounters:
        """This router's settled cumulative counters, for its peers."""
        counters = {team: value for team, value in self.settled.items() if value > 0}
        return PeerCounters(self.node, self.incarnation, counters)

    def charged(self) -> dict[TeamId, float]:
        """This router's service per team, with the hints of requests still in progress.

        Streams last for seconds; told of only when they end, a team's service would look smaller to
        peers than it is, and they would go on to serve it first.
        """
        teams = set(self.settled) | set(self.provisional)
        return {team: self.settled[team] + self.provisional[team] for team in teams}

    def is_ahead(self, team: TeamId, slack: float) -> bool:
        """Whether ``team`` has had ``slack`` tokens per weight more than a team that waits."""
        waiting = (self._waiting.keys() | self.waiting_elsewhere) - {team}
        if not waiting:
            return False
        least = min(self.normalised(other) for other in waiting)
        return self.normalised(team) - least > slack

    def _raise_to(self, team: TeamId, level: float) -> None:
        gap = level - self.normalised(team)
        if gap > 0:
            self.offset[team] += gap

    def _retire_lives(self, node: str) -> None:
        # One set of counters per restart, for ever, would grow without bound. The oldest life's
        # service moves into the teams' offsets, and late beats of it are no longer taken.
        lives = sorted(inc for name, inc in self.remote if name == node)
        for inc in lives[:-KEPT_LIVES]:
            self._retired[node] = inc
            for team, value in self.remote.pop((node, inc)).items():
                self._remote_sum[team] -= value
                self.offset[TeamId(team)] += value / self.weight(TeamId(team))
