"""Splitting targets' slots between routers in whole slots, without any router asking another.

Every router knows (from heartbeats) the backlogged weight each router holds, and so computes the
same split. Rounding each router's part of each target up on its own would hand out more slots
than there are: six routers of which five hold a fifteenth would claim 7 slots of an engine with
4, and the engine's own arrival-order queue, not the fair queue, would decide who goes first.
Instead each router gets the whole slots of its part on each target, and the slots left over are
dealt out along one line over all targets, on which each router owns a stretch as long as the
fractions it lost.
"""

import math
from collections import Counter
from dataclasses import dataclass

_EPS = 1e-9


@dataclass(frozen=True)
class SlotCount:
    """A target and the requests it serves at once."""

    target: str
    slots: int


def allot(node: str, shares: dict[str, float], targets: list[SlotCount]) -> dict[str, int]:
    """Slots of each target that ``node`` may fill on its own account.

    The cost grows with routers times distinct slot counts, plus targets.

    Parameters
    ----------
    node : str
        This router; must be in ``shares``.
    shares : dict of str to float
        Every backlogged router's part of the pool; they sum to 1.
    targets : list of SlotCount
        The live targets of one service, in the same order on every router.

    Returns
    -------
    dict of str to int
        Slots by target. Over all routers they sum to each target's slots, but for one slot more
        to each router whose part rounds to none: a team that waits only there must not starve.
    """
    sizes = Counter(tgt.slots for tgt in targets)
    left = {
        slots: slots - sum(_whole(slots, share) for share in shares.values()) for slots in sizes
    }
    start = sum(_lost(share, sizes) for other, share in shares.items() if other < node)
    end = start + _lost(shares[node], sizes)
    claims = {}
    place = 0
    nearest = None
    for tgt in targets:
        # A slot belongs to the router whose stretch holds its middle, so exactly to one.
        won = sum(start <= place + i + 0.5 < end for i in range(left[tgt.slots]))
        claims[tgt.target] = _whole(tgt.slots, shares[node]) + won
        place += left[tgt.slots]
        if nearest is None and start < place:
            nearest = tgt.target
    if targets and not any(claims.values()):
        claims[nearest or targets[-1].target] = 1
    return claims


def _whole(slots: int, share: float) -> int:
    return math.floor(slots * share + _EPS)


def _lost(share: float, sizes: Counter[int]) -> float:
    return sum(
        count * max(0.0, slots * share - _whole(slots, share)) for slots, count in sizes.items()
    )
