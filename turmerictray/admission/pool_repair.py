"""Repair of the state that the pools of a service share, after an operation was interrupted."""

from collections.abc import Collection

from turmerictray.admission.pool import ServicePool
from turmerictray.admission.pool_types import PlacementContext
from turmerictray.routing.load import TargetLoad


def repair_pools(pools: Collection[ServicePool]) -> int:
    """Restore what must hold between queues, their dispatch order and reservations.

    An operation that an exception interrupted may have changed only some of them. A request that
    is queued but not ordered would never be sent, and a reservation that nobody holds would make
    its target look busy.

    Parameters
    ----------
    pools : collection of ServicePool
        All pools of one service, which share the state of its targets.

    Returns
    -------
    int
        Number of entries that were wrong.
    """
    wrong = sum(pool.repair_order() for pool in pools)
    contexts: dict[int, PlacementContext] = {
        pending.context.call_id: pending.context
        for pool in pools
        for pending in pool.waiting_requests()
    }
    loads = {id(load): load for pool in pools for load in pool.targets.service_loads.values()}
    return wrong + sum(_release_unheld(load, contexts) for load in loads.values())


def _release_unheld(load: TargetLoad, contexts: dict[int, PlacementContext]) -> int:
    held = {
        call_id: tokens
        for call_id, tokens in load.reserved.items()
        if call_id in contexts and contexts[call_id].reserved_target is load
    }
    total = sum(held.values())
    wrong = len(load.reserved) - len(held) + (load.reserved_tokens_total != total)
    load.reserved, load.reserved_tokens_total = held, total
    return wrong
