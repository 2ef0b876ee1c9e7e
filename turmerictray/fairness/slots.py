"""This router's part of every service's slots, from what all routers have waiting."""

from turmerictray.core.ids import NodeId, ServiceName, TeamId
from turmerictray.fairness.allot import SlotCount, allot
from turmerictray.fairness.shares import ShareTable


class SlotShares:
    """A :class:`~turmerictray.fairness.shares.ShareTable` per service.

    Parameters
    ----------
    node : NodeId
        This router.
    stale_s : float
        A peer silent this long no longer counts, in seconds.
    """

    def __init__(self, node: NodeId, stale_s: float) -> None:
        self.node = node
        self.stale_s = stale_s
        self._tables: dict[ServiceName, ShareTable] = {}

    def update(self, peer: str, demand: dict[str, dict[str, int]]) -> None:
        """Take a peer's waiting requests per service and team."""
        for service in {*self._tables, *map(ServiceName, demand)}:
            self._table(service).update(peer, demand.get(service, {}))

    def teams_waiting(self) -> set[TeamId]:
        """Teams that wait for any service on a peer heard lately."""
        return set().union(*(table.teams_waiting() for table in self._tables.values()))

    def share(
        self, service: ServiceName, local: dict[TeamId, int], weights: dict[TeamId, float]
    ) -> float:
        """This router's share of ``service``; see :meth:`ShareTable.share`."""
        return self._table(service).share(local, weights)

    def claims(
        self,
        service: ServiceName,
        local: dict[TeamId, int],
        weights: dict[TeamId, float],
        targets: list[SlotCount],
    ) -> dict[str, int]:
        """Slots of each target that this router may fill on its own account.

        Parameters
        ----------
        service : ServiceName
        local : dict
            Waiting requests per team on this router.
        weights : dict
            Team weights.
        targets : list of SlotCount
            The service's live targets, in the same order on every router.

        Returns
        -------
        dict of str to int
            All slots when nothing waits anywhere; none when work waits on other routers only.
        """
        shares = self._table(service).shares(local, weights)
        if not shares:
            return {tgt.target: tgt.slots for tgt in targets}
        if self.node not in shares:
            return {}
        return allot(self.node, shares, targets)

    def _table(self, service: ServiceName) -> ShareTable:
        table = self._tables.get(service)
        if table is None:
            table = self._tables[service] = ShareTable(self.node, self.stale_s)
        return table
