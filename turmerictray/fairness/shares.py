"""Splitting each target's slots between routers by the backlog they hold.

A router alone cannot tell how much of a shared engine it should take: the router that asks
first after a slot frees would take it, and a team that lands on few routers would starve
fleet-wide. Each router therefore tells its peers, in its heartbeat, how many requests each
backlogged team has waiting there. Team ``t`` of weight ``w`` with ``q_r`` requests waiting on
router ``r`` and ``Q`` in the fleet gives router ``r`` the weight ``w * q_r / Q``; a router's
share of every target is its part of the fleet's backlogged weight.
"""

import math
import time

from turmerictray.core.ids import NodeId, TeamId


class ShareTable:
    """Peers' backlog by team and this router's resulting share.

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

    def share(
        self, local: dict[TeamId, int], weights: dict[TeamId, float], now: float | None = None
    ) -> float:
        """This router's share of each target, from 0 to 1.

        Parameters
        ----------
        local : dict
            Waiting requests per team on this router.
        weights : dict
            Team weights; 1.0 for a team not listed.

        Returns
        -------
        float
            1.0 when no peer has backlog; 0.0 when this router has none.
        """
        now = time.monotonic() if now is None else now
        fleet: dict[str, int] = {team: count for team, count in local.items() if count}
        for peer, (demand, seen) in list(self.peers.items()):
            if now - seen > self.stale_s:
                del self.peers[peer]
                continue
            for team, count in demand.items():
                if count > 0:
                    fleet[team] = fleet.get(team, 0) + count
        total = sum(weights.get(TeamId(team), 1.0) for team in fleet)
        if not total:
            return 1.0
        mine = sum(
            weights.get(team, 1.0) * count / fleet[team] for team, count in local.items() if count
        )
        return mine / total


def claim(slots: int, share: float) -> int:
    """Slots of a target this router may fill on its own account: at least one."""
    return max(1, math.ceil(slots * share - 1e-9))
