"""Allocation of targets' slots to routers, in whole slots and without coordination.

Every router knows from heartbeats the backlogged weight on each router, and so computes the same
allocation. Rounding up each router's share of each target separately would allocate more slots than
there are: six routers, of which five have a share of one fifteenth each, would be allocated 7 slots
of an engine with 4, and the engine's first-come-first-served queue, instead of the fair queue,
would decide the order. Instead each router gets the whole slots of its share of each target. The
remaining slots of all targets form one sequence, in which each router owns an interval as long as
the sum of the fractions it lost by rounding down.
"""

import math
from collections import Counter
from dataclasses import dataclass

_EPS = 1e-9


@dataclass(frozen=True)
class SlotCount:
    """Target and the number of requests it serves concurrently."""

    target: str
    slots: int


def allocate_slots(node: str, shares: dict[str, float], targets: list[SlotCount]) -> dict[str, int]:
    """Return the slots of each target that are allocated to ``node``.

    The cost is proportional to routers times distinct slot counts, plus targets.

    Parameters
    ----------
    node : str
        This router; must be in ``shares``.
    shares : dict of str to float
        Every backlogged router's share of the pool; they sum to 1.
    targets : list of SlotCount
        Live targets of one service, in the same order on every router.

    Returns
    -------
    dict of str to int
        Slots by target. Over all routers they sum to each target's slots, plus one slot for each
        router whose share rounds to none: otherwise a team that waits only there would starve.
    """
    size_counts = Counter(tgt.slots for tgt in targets)
    remaining = {
        slots: slots - sum(_whole_slots(slots, share) for share in shares.values())
        for slots in size_counts
    }
    start = sum(
        _lost_fractions(share, size_counts) for peer, share in shares.items() if peer < node
    )
    end = start + _lost_fractions(shares[node], size_counts)
    allocations = {}
    position = 0
    nearest = None
    for tgt in targets:
        # A slot belongs to the router whose interval contains its midpoint, hence to exactly one.
        extra = sum(start <= position + i + 0.5 < end for i in range(remaining[tgt.slots]))
        allocations[tgt.target] = _whole_slots(tgt.slots, shares[node]) + extra
        position += remaining[tgt.slots]
        if nearest is None and start < position:
            nearest = tgt.target
    if targets and not any(allocations.values()):
        allocations[nearest or targets[-1].target] = 1
    return allocations


def _whole_slots(slots: int, share: float) -> int:
    return math.floor(slots * share + _EPS)


def _lost_fractions(share: float, size_counts: Counter[int]) -> float:
    return sum(
        count * max(0.0, slots * share - _whole_slots(slots, share))
        for slots, count in size_counts.items()
    )
