"""Tells second by second how fast pools of engines are given work, and what stays unused."""

from collections.abc import Iterable
from weakref import WeakKeyDictionary

from turmerictray.admission.pool import PoolState, ServicePool
from turmerictray.core import metrics
from turmerictray.core.logs import log_event
from turmerictray.scheduling.shards import ShardId

_EVERY_S = 1.0


class PoolGauges:
    """Logs and exports the state of the pools in which something happens."""

    def __init__(self) -> None:
        self._told: WeakKeyDictionary[ServicePool, PoolState] = WeakKeyDictionary()
        self._next_at = 0.0

    def is_due(self, now: float) -> bool:
        """Whether the next second has come."""
        if now < self._next_at:
            return False
        self._next_at = now + _EVERY_S
        return True

    def tell(self, pools: Iterable[tuple[ShardId, ServicePool]], now: float) -> None:
        """Export the state of pools, and log it for those in which something has happened.

        That is, which were given work, hold some, or refused some since the last time.

        Parameters
        ----------
        pools : iterable of (ShardId, ServicePool)
            Pools of engines.
        """
        for shard, pool in pools:
            state, before = pool.state(now), self._told.get(pool)
            self._told[pool] = state
            _export(shard, pool, state)
            if before is not None and (state.waiting or _has_moved(state, before)):
                _tell(shard, pool, state, before)


def _has_moved(state: PoolState, before: PoolState) -> bool:
    return state.sent != before.sent or state.refused != before.refused


def _export(shard: ShardId, pool: ServicePool, state: PoolState) -> None:
    name = _name(shard)
    metrics.POOL_PACE.labels(pool.name, name).set(state.pace_per_s)
    metrics.ENGINES_IDLE.labels(pool.name, name).set(state.idle)


def _name(shard: ShardId) -> str:
    return f"{shard.index}/{shard.count}"


def _tell(shard: ShardId, pool: ServicePool, state: PoolState, before: PoolState) -> None:
    log_event(
        "pool",
        service=pool.name,
        shard=_name(shard),
        waiting=state.waiting,
        pace_per_s=round(state.pace_per_s),
        ready=state.ready,
        idle=state.idle,
        sent=round(state.sent - before.sent),
        refused=state.refused - before.refused,
    )
