"""Selection of the scheduler for a service's engines, or for one shard of them.

Every router computes the scheduler from the members that it believes alive, so no election is
needed. Routers whose member lists differ, for example after a network partition, may select two
schedulers for a while. Each then learns of the other's requests only by gossip, and engines may
receive more requests than is optimal; no guarantee depends on the scheduler being unique.
"""

import time
from collections.abc import Callable, Iterable

from turmerictray.core.ids import NodeId, ServiceName, ZoneId
from turmerictray.membership.messages import MemberEntry
from turmerictray.routing.rendezvous import weighted_rank
from turmerictray.scheduling.shards import UNSHARDED, ShardId

_MIN_HEARTBEATS = 12
"""Gossip messages that a router must have sent before it is eligible as scheduler. In a small fleet
that takes three seconds, in which the router obtains the configuration, the targets and the
contents of the engines' caches. The unit is messages because the routers' clocks may differ. If no
router has sent that many, all are eligible."""

_SKIP_S = (1.0, 2.0, 4.0)
"""Seconds for which an unresponsive scheduler is skipped, by number of consecutive timeouts. A
process restarts within a second; a router that stays down is removed from the member list after
three seconds."""

_PARTITION_THRESHOLD = 2
"""Number of unresponsive routers in other zones from which the local zone is assumed to be
partitioned from them. Trying all remote routers one by one would take seconds in a large fleet."""

_CORES_EXPONENT = 2
"""Exponent applied to a router's cores in its rendezvous weight. Callers are spread evenly over the
routers, so a router with twice the cores has far more than twice the capacity left for
scheduling."""

_RANKS_INFORMED = 2
"""Routers per shard that are told what engines cache: the scheduler and its successor."""

_INFORMED_TTL_S = 1.0
"""Seconds for which the selection of these routers is cached."""

_SELECTION_TTL_S = 0.1
"""Seconds for which a selection is cached; ranking all routers per request would be too slow."""


_CachedMembers = dict[tuple[ServiceName, int], tuple[float, list[MemberEntry]]]
"""Members by service and number of shards, with the time until which they are valid."""


class SchedulerChoice:
    """Selects schedulers by rendezvous hashing among responsive members, weighted by their cores.

    Parameters
    ----------
    node : NodeId
        The local router.
    zone : ZoneId
    clock : callable
        Monotonic seconds.
    """

    def __init__(
        self, node: NodeId, zone: ZoneId, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.node = node
        self.zone = zone
        self._clock = clock
        self._members: tuple[MemberEntry, ...] = ()
        self._unresponsive: dict[str, tuple[int, float]] = {}
        self._selections: dict[str, tuple[float, MemberEntry | None]] = {}
        self._informed: _CachedMembers = {}
        self._record_holders: _CachedMembers = {}
        self._incarnations: frozenset[tuple[str, int]] = frozenset()

    def set_members(self, members: Iterable[MemberEntry]) -> None:
        """Replace the list of members believed alive, which includes the local router."""
        self._members = tuple(members)
        incarnations = frozenset((entry.node, entry.incarnation) for entry in self._members)
        if incarnations != self._incarnations:
            # A router that joins must be sent the records of streams before others stop.
            self._incarnations, self._record_holders = incarnations, {}
        # Assign a new dict instead of clearing the old one, which other threads may be reading.
        self._selections = {}

    def mark_unresponsive(self, node: str) -> None:
        """Skip a scheduler that did not answer in time for a while."""
        count, _ = self._unresponsive.get(node, (0, 0.0))
        skip_s = _SKIP_S[min(count, len(_SKIP_S) - 1)]
        self._unresponsive = {**self._unresponsive, node: (count + 1, self._clock() + skip_s)}
        self._selections = {}

    def mark_responsive(self, node: str) -> None:
        """Make a scheduler that has answered eligible again."""
        if node in self._unresponsive:
            self._unresponsive = {n: state for n, state in self._unresponsive.items() if n != node}
            self._selections = {}

    def scheduler(self, service: ServiceName, shard: ShardId = UNSHARDED) -> MemberEntry | None:
        """Return the scheduler of a shard's engines; None where the local router decides."""
        selected = self._cached_selection(service, shard)
        return None if selected is None or selected.node == self.node else selected

    def is_scheduler(self, service: ServiceName, shard: ShardId) -> bool:
        """Whether the local router is the scheduler of a shard."""
        selected = self._cached_selection(service, shard)
        return selected is not None and selected.node == self.node

    def _cached_selection(self, service: ServiceName, shard: ShardId) -> MemberEntry | None:
        key = _key(service, shard)
        now = self._clock()
        until, selected = self._selections.get(key, (0.0, None))
        if now >= until:
            selected = self._select(key, now)
            self._selections[key] = (now + _SELECTION_TTL_S, selected)
        return selected

    def ranked_members(self, key: str) -> list[MemberEntry]:
        """Return the eligible members, including the local router, in order of preference."""
        eligible = [entry for entry in self._members if entry.heartbeat >= _MIN_HEARTBEATS]
        return _rank_members(key, eligible or self._members)

    def informed_members(self, service: ServiceName, shards: int) -> list[MemberEntry]:
        """Return the other routers that are to know what the engines of a service cache.

        These are the schedulers of the present division into ``shards`` and of the next ones, their
        successors, and the routers that would schedule for each zone if it were partitioned.
        """
        return self._cached_members(self._informed, self._find_informed, service, shards)

    def stream_record_holders(self, service: ServiceName, shards: int) -> list[MemberEntry]:
        """Return the routers that are to know which software version began each stream.

        These are the routers of :meth:`informed_members`, those that have started too recently to
        schedule but will do so in a moment, and the local router if it is any of these.
        """
        return self._cached_members(
            self._record_holders, self._find_record_holders, service, shards
        )

    def _cached_members(
        self,
        cache: _CachedMembers,
        find: Callable[[ServiceName, int], list[MemberEntry]],
        service: ServiceName,
        shards: int,
    ) -> list[MemberEntry]:
        now = self._clock()
        until, members = cache.get((service, shards), (0.0, []))
        if now >= until:
            members = find(service, shards)
            cache[service, shards] = (now + _INFORMED_TTL_S, members)
        return members

    def _find_record_holders(self, service: ServiceName, shards: int) -> list[MemberEntry]:
        found = self._informed_by_node(service, shards)
        for index in range(shards):
            ranked = _rank_members(_key(service, ShardId(index, shards)), self._members)
            found.update((entry.node, entry) for entry in ranked[:_RANKS_INFORMED])
        return list(found.values())

    def _find_informed(self, service: ServiceName, shards: int) -> list[MemberEntry]:
        found = self._informed_by_node(service, shards)
        found.pop(self.node, None)
        return list(found.values())

    def _informed_by_node(self, service: ServiceName, shards: int) -> dict[str, MemberEntry]:
        found: dict[str, MemberEntry] = {}
        for count in {1, shards, 2 * shards}:
            for index in range(count):
                ranked = self.ranked_members(_key(service, ShardId(index, count)))
                chosen = ranked[:_RANKS_INFORMED]
                if count == 1:
                    chosen += {entry.zone: entry for entry in reversed(ranked)}.values()
                found.update((entry.node, entry) for entry in chosen)
        return found

    def _select(self, key: str, now: float) -> MemberEntry | None:
        unresponsive = {node for node, (_, until) in self._unresponsive.items() if until > now}
        remote = [e for e in self._members if e.node in unresponsive and e.zone != self.zone]
        is_partitioned = len(remote) >= _PARTITION_THRESHOLD
        for entry in self.ranked_members(key):
            if entry.node == self.node:
                return entry
            if entry.node not in unresponsive and (entry.zone == self.zone or not is_partitioned):
                return entry
        return None


def _rank_members(key: str, members: Iterable[MemberEntry]) -> list[MemberEntry]:
    return sorted(
        members,
        key=lambda entry: weighted_rank(key, entry.node, entry.cores**_CORES_EXPONENT),
        reverse=True,
    )


def _key(service: ServiceName, shard: ShardId) -> str:
    return service if shard == UNSHARDED else f"{service}/{shard.index}/{shard.count}"
