"""Metrics and log lines, once a second, on the send rate and idle engines of engine pools."""

from collections.abc import Iterable
from weakref import WeakKeyDictionary

from turmerictray.admission.pool import ServicePool
from turmerictray.admission.pool_types import PoolState
from turmerictray.core import metrics
from turmerictray.core.logs import log_event
from turmerictray.scheduling.shards import ShardId

_REPORT_INTERVAL_S = 1.0


class PoolGauges:
    """Exports the state of engine pools and logs the active ones."""

    def __init__(self) -> None:
        self._last_states: WeakKeyDictionary[ServicePool, PoolState] = WeakKeyDictionary()
        self._next_report_at = 0.0

    def is_due(self, now: float) -> bool:
        """Check whether the next report is due; if so, schedule the following one."""
        if now < self._next_report_at:
            return False
        self._next_report_at = now + _REPORT_INTERVAL_S
        return True

    def report(self, pools: Iterable[tuple[ShardId, ServicePool]], now: float) -> None:
        """Export the state of all given pools and log the active ones.

        A pool is active if requests wait in it, or if it has sent or refused any since the last
        call.

        Parameters
        ----------
        pools : iterable of (ShardId, ServicePool)
            Pools of engines.
        """
        for shard, pool in pools:
            state, previous = pool.state(now), self._last_states.get(pool)
            self._last_states[pool] = state
            _export(shard, pool, state)
            if previous is not None and (state.waiting or _has_changed(state, previous)):
                _log_state(shard, pool, state, previous)


def _has_changed(state: PoolState, previous: PoolState) -> bool:
    return state.sent != previous.sent or state.refused != previous.refused


def _export(shard: ShardId, pool: ServicePool, state: PoolState) -> None:
    name = _shard_label(shard)
    metrics.POOL_THROUGHPUT.labels(pool.name, name).set(state.pace_per_s)
    metrics.ENGINES_IDLE.labels(pool.name, name).set(state.idle)


def _shard_label(shard: ShardId) -> str:
    return f"{shard.index}/{shard.count}"


def _log_state(shard: ShardId, pool: ServicePool, state: PoolState, previous: PoolState) -> None:
    log_event(
        "pool",
        service=pool.name,
        shard=_shard_label(shard),
        waiting=state.waiting,
        pace_per_s=round(state.pace_per_s),
        ready=state.ready,
        idle=state.idle,
        sent=round(state.sent - previous.sent),
        refused=state.refused - previous.refused,
    )
