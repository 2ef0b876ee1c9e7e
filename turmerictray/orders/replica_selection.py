"""Replicas of a key: the routers that store the claims on it.

Every router computes the same replicas from the same settings, so no coordination is needed.
Routers are ranked per key by rendezvous hashing, and replicas are placed in different zones as far
as possible, so that the loss of one zone removes at most one of a key's three replicas.
"""

import hashlib

from turmerictray.core.ids import NodeId, ZoneId
from turmerictray.core.member import Member
from turmerictray.orders.keys import ClaimKey

REPLICA_COUNT = 3
"""Replicas per key. Two of three are a majority, so one may be down, partitioned or restarting."""


def _rank(key: ClaimKey, node: NodeId) -> bytes:
    return hashlib.blake2b(key + node.encode(), digest_size=8).digest()


def replicas_of(key: ClaimKey, members: list[Member], count: int = REPLICA_COUNT) -> list[NodeId]:
    """Return the replicas of ``key``, at most ``count`` of them.

    Parameters
    ----------
    key : ClaimKey
    members : list of Member
        All routers of the deployment, live or not. A list of the live ones would differ between
        the sides of a network partition, so that two disjoint majorities would be possible.
    count : int

    Returns
    -------
    list of NodeId
        The best-ranked router of each zone, best zone first, then the next of each zone.
    """
    ranked_members = sorted(members, key=lambda member: _rank(key, member.node))
    zone_counts: dict[ZoneId, int] = {}
    candidates: list[tuple[int, int, NodeId]] = []
    for index, member in enumerate(ranked_members):
        zone_rank = zone_counts.get(member.zone, 0)
        zone_counts[member.zone] = zone_rank + 1
        candidates.append((zone_rank, index, member.node))
    return [node for _, _, node in sorted(candidates)[:count]]


def majority(replica_count: int) -> int:
    """Return the number of grants that a claim needs from ``replica_count`` replicas."""
    return replica_count // 2 + 1
