"""Which routers remember a key: its homes.

Every router computes the same homes from the same settings, so nothing has to be agreed on.
Routers are ranked per key by rendezvous hashing, and the homes are taken from different zones
as long as there are any, so that losing one zone costs a key at most one home of three.
"""

import hashlib

from turmerictray.core.ids import NodeId, ZoneId
from turmerictray.core.member import Member
from turmerictray.orders.keys import ClaimKey

HOMES = 3
"""Homes per key: with a majority of two, one home may be lost, cut off or restarting."""


def _rank(key: ClaimKey, node: NodeId) -> bytes:
    return hashlib.blake2b(key + node.encode(), digest_size=8).digest()


def homes_of(key: ClaimKey, members: list[Member], count: int = HOMES) -> list[NodeId]:
    """The homes of ``key``, at most ``count`` of them.

    Parameters
    ----------
    key : ClaimKey
    members : list of Member
        Every router of the deployment, live or not: a list of only the live ones would differ
        between the sides of a cut, and two majorities could then miss each other.
    count : int

    Returns
    -------
    list of NodeId
        The best-ranked router of each zone, best zone first, then the next of each zone.
    """
    ranked = sorted(members, key=lambda member: _rank(key, member.node))
    seen: dict[ZoneId, int] = {}
    rounds: list[tuple[int, int, NodeId]] = []
    for place, member in enumerate(ranked):
        nth = seen.get(member.zone, 0)
        seen[member.zone] = nth + 1
        rounds.append((nth, place, member.node))
    return [node for _, _, node in sorted(rounds)[:count]]


def majority(homes: int) -> int:
    """Grants that a claim needs from ``homes`` homes."""
    return homes // 2 + 1
