"""Shares of this router in the slots of every service."""

from turmerictray.core.ids import NodeId, ServiceName, TeamId
from turmerictray.fairness.shares import ShareTable
from turmerictray.fairness.slot_allocation import SlotCount, allocate_slots


class SlotShares:
    """Collection of one :class:`~turmerictray.fairness.shares.ShareTable` per service.

    Parameters
    ----------
    node : NodeId
        This router.
    stale_s : float
        Seconds after which a peer that sends no reports no longer counts.
    """

    def __init__(self, node: NodeId, stale_s: float) -> None:
        self.node = node
        self.stale_s = stale_s
        self._tables: dict[ServiceName, ShareTable] = {}

    def update(self, peer: str, demand: dict[str, dict[str, int]]) -> None:
        """Replace a peer's number of waiting requests per service and team."""
        for service in {*self._tables, *map(ServiceName, demand)}:
            self._table(service).update(peer, demand.get(service, {}))

    def teams_waiting(self) -> set[TeamId]:
        """Return the teams that wait for any service on a peer with a recent report."""
        return set().union(*(table.teams_waiting() for table in self._tables.values()))

    def share(
        self, service: ServiceName, local: dict[TeamId, int], weights: dict[TeamId, float]
    ) -> float:
        """Return this router's share of ``service``; see :meth:`ShareTable.share`."""
        return self._table(service).share(local, weights)

    def allocations(
        self,
        service: ServiceName,
        local: dict[TeamId, int],
        weights: dict[TeamId, float],
        targets: list[SlotCount],
    ) -> dict[str, int]:
        """Return the slots of each target that are allocated to this router.

        Parameters
        ----------
        service : ServiceName
        local : dict
            Waiting requests per team on this router.
        weights : dict
            Team weights.
        targets : list of SlotCount
            Live targets of the service, in the same order on every router.

        Returns
        -------
        dict of str to int
            All slots when nothing waits anywhere; none when requests wait on other routers only.
        """
        shares = self._table(service).shares(local, weights)
        if not shares:
            return {tgt.target: tgt.slots for tgt in targets}
        if self.node not in shares:
            return {}
        return allocate_slots(self.node, shares, targets)

    def _table(self, service: ServiceName) -> ShareTable:
        table = self._tables.get(service)
        if table is None:
            table = self._tables[service] = ShareTable(self.node, self.stale_s)
        return table
