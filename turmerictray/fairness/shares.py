"""Shares of a service's targets per router, in proportion to the routers' backlogs.

A router alone cannot determine its share of a shared engine: the router that asks first after a
slot becomes free would take it, and a team whose requests arrive at few routers would starve
fleet-wide. Each router therefore reports to its peers, in its heartbeat, how many requests of each
backlogged team wait there. Team ``t`` of weight ``w`` with ``q_r`` requests waiting on router ``r``
and ``Q`` in the fleet gives router ``r`` the weight ``w * q_r / Q``; a router's share of the
service's slots is its fraction of the fleet's backlogged weight.
"""

import time
from collections import defaultdict

from turmerictray.core.ids import NodeId, TeamId


class ShareTable:
    """Backlog of peers by team for one service, and the resulting shares of the routers.

    Parameters
    ----------
    node : NodeId
        This router.
    stale_s : float
        Seconds after which the backlog of a peer that sends no reports is dropped, so that its
        share returns to the remaining routers.
    """

    def __init__(self, node: NodeId, stale_s: float) -> None:
        self.node = node
        self.stale_s = stale_s
        self.peers: dict[str, tuple[dict[str, int], float]] = {}

    def update(self, peer: str, demand: dict[str, int], now: float | None = None) -> None:
        """Replace a peer's number of waiting requests per team."""
        if peer != self.node:
            self.peers[peer] = (dict(demand), time.monotonic() if now is None else now)

    def teams_waiting(self, now: float | None = None) -> set[TeamId]:
        """Return the teams with requests waiting on a peer that reported within ``stale_s``."""
        now = time.monotonic() if now is None else now
        return {
            TeamId(team)
            for demand, received_at in self.peers.values()
            if now - received_at <= self.stale_s
            for team, count in demand.items()
            if count > 0
        }

    def shares(
        self, local: dict[TeamId, int], weights: dict[TeamId, float], now: float | None = None
    ) -> dict[str, float]:
        """Return every backlogged router's share of the service, summing to 1.

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
            peer: (demand, received_at)
            for peer, (demand, received_at) in self.peers.items()
            if now - received_at <= self.stale_s
        }
        demands = {self.node: local, **{peer: demand for peer, (demand, _) in self.peers.items()}}
        fleet_demand: dict[str, int] = defaultdict(int)
        for demand in demands.values():
            for team, count in demand.items():
                fleet_demand[team] += max(0, count)
        router_weights: dict[str, float] = defaultdict(float)
        for router, demand in demands.items():
            for team, count in demand.items():
                if count > 0:
                    router_weights[router] += (
                        weights.get(TeamId(team), 1.0) * count / fleet_demand[team]
                    )
        total = sum(router_weights.values())
        return {router: weight / total for router, weight in router_weights.items()}

    def share(
        self, local: dict[TeamId, int], weights: dict[TeamId, float], now: float | None = None
    ) -> float:
        """Return this router's share, from 0 to 1.

        Returns
        -------
        float
            1.0 when nothing waits anywhere; 0.0 when this router has no backlog and others do.
        """
        shares = self.shares(local, weights, now)
        return shares.get(self.node, 0.0) if shares else 1.0
