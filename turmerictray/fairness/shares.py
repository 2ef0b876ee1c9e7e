"""Splitting a service's targets between routers by the backlog they hold.

A router alone cannot tell how much of a shared engine it should take: the router that asks
first after a slot frees would take it, and a team that lands on few routers would starve
fleet-wide. Each router therefore tells its peers, in its heartbeat, how many requests each
backlogged team has waiting there. Team ``t`` of weight ``w`` with ``q_r`` requests waiting on
router ``r`` and ``Q`` in the fleet gives router ``r`` the weight ``w * q_r / Q``; a router's
share of the service's slots is its part of the fleet's backlogged weight.
"""

import time
from collections import defaultdict

from turmerictray.core.ids import NodeId, TeamId


class ShareTable:
    """Peers' backlog by team for one service, and the routers' resulting shares.

    Parameters
    ----------
    node : NodeId
        This router.
    stale_s : float
        Backlog figures of a peer silent this long are dropped, in seconds; a lost peer's
        share then returns to the routers still heard.
    """

    def __init__(self, node: NodeId, stale_s: float) -> None:
        self.node = node
        self.stale_s = stale_s
        self.peers: dict[str, tuple[dict[str, int], float]] = {}

    def update(self, peer: str, demand: dict[str, int], now: float | None = None) -> None:
        """Take a peer's waiting requests per team."""
        if peer != self.node:
            self.peers[peer] = (dict(demand), time.monotonic() if now is None else now)

    def teams_waiting(self, now: float | None = None) -> set[TeamId]:
        """Teams that have requests waiting on a peer heard within ``stale_s``."""
        now = time.monotonic() if now is None else now
        return {
            TeamId(team)
            for demand, seen in self.peers.values()
            if now - seen <= self.stale_s
            for team, count in demand.items()
            if count > 0
        }

    def shares(
        self, local: dict[TeamId, int], weights: dict[TeamId, float], now: float | None = None
    ) -> dict[str, float]:
        """Every backlogged router's share of the service, summing to 1.

        Parameters
        ----------
        local : dict
            Waiting requests per team on this router.
        weights : dict
            Team weights; 1.0 for a team not listed.

        Returns
        -------
        dict of str to float
            Empty when nothing waits anywhere.
        """
        now = time.monotonic() if now is None else now
        self.peers = {
            peer: (demand, seen)
            for peer, (demand, seen) in self.peers.items()
            if now - seen <= self.stale_s
        }
        demands = {self.node: local, **{peer: demand for peer, (demand, _) in self.peers.items()}}
        fleet: dict[str, int] = defaultdict(int)
        for demand in demands.values():
            for team, count in demand.items():
                fleet[team] += max(0, count)
        held: dict[str, float] = defaultdict(float)
        for router, demand in demands.items():
            for team, count in demand.items():
                if count > 0:
                    held[router] += weights.get(TeamId(team), 1.0) * count / fleet[team]
        total = sum(held.values())
        return {router: weight / total for router, weight in held.items()}

    def share(
        self, local: dict[TeamId, int], weights: dict[TeamId, float], now: float | None = None
    ) -> float:
        """This router's share, from 0 to 1.

        Returns
        -------
        float
            1.0 when nothing waits anywhere; 0.0 when this router has no backlog and others do.
        """
        shares = self.shares(local, weights, now)
        return shares.get(self.node, 0.0) if shares else 1.0
