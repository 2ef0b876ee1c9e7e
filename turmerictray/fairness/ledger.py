"""Service received per team, on this router and as reported by peers.

Service is counted in tokens. A request is charged its rough hint when it is dispatched and the
charge is corrected to the true cost when it ends. Peers report their own *settled* cumulative
counters per incarnation; counters only grow, so merging keeps the larger value and a summary
delivered twice, or again after a partition heals, is never counted twice.
"""

from collections import defaultdict

import msgspec

from turmerictray.core.ids import NodeId, TeamId


class PeerCounters(msgspec.Struct, frozen=True):
    """One peer's settled cumulative service per team, in tokens.

    Attributes
    ----------
    node : str
        The peer.
    incarnation : int
        Start time of the peer's process in nanoseconds; a restarted peer counts afresh.
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
    """

    def __init__(self, node: NodeId) -> None:
        self.node = node
        self.weights: dict[TeamId, float] = {}
        self.settled: dict[TeamId, float] = defaultdict(float)
        self.provisional: dict[TeamId, float] = defaultdict(float)
        self.remote: dict[tuple[str, int], dict[str, float]] = {}
        self.floor: dict[TeamId, float] = defaultdict(float)

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

    def merge(self, peer: PeerCounters) -> None:
        """Take a peer's counters, keeping the larger value of each (idempotent)."""
        if peer.node == self.node:
            return
        key = (peer.node, peer.incarnation)
        known = self.remote.setdefault(key, {})
        for team, value in peer.counters.items():
            if value > known.get(team, 0.0):
                known[team] = value

    def remote_total(self, team: TeamId) -> float:
        """Tokens the team received through peers, over all their incarnations."""
        return sum(counters.get(team, 0.0) for counters in self.remote.values())

    def total(self, team: TeamId) -> float:
        """Fleet-wide tokens the team received as far as this router knows."""
        return self.settled[team] + self.provisional[team] + self.remote_total(team)

    def normalised(self, team: TeamId) -> float:
        """Service divided by weight, raised to the team's floor; lowest is served first."""
        return max(self.total(team) / self.weight(team), self.floor[team])

    def lift(self, team: TeamId, others: list[TeamId]) -> None:
        """Raise a team that just became backlogged to the least of the backlogged ``others``.

        Without it, a team idle for an hour would come back with an hour of credit and hold the
        pool alone until it caught up; with it, a returning team starts level with the least
        served backlogged team, which bounds the gap it can claim.
        """
        if not others:
            return
        level = min(self.normalised(other) for other in others)
        if level > self.normalised(team):
            self.floor[team] = level

    def known_teams(self) -> set[str]:
        """Teams with service counted here or reported by a peer."""
        teams = set(self.settled) | set(self.provisional)
        for counters in self.remote.values():
            teams.update(counters)
        return teams

    def own_counters(self) -> dict[str, float]:
        """This router's settled cumulative counters, for its peers."""
        return {team: value for team, value in self.settled.items() if value > 0}
