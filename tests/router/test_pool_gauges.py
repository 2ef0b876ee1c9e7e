"""What operators are told of the pools of engines."""

import time

from tests.router.test_shard_pools import INFOS, LLM, SHARD, ask, broker  # noqa: F401
from turmerictray.core import metrics
from turmerictray.router.pool_gauges import PoolGauges


def test_pace_and_idle_engines_are_told_for_each_shard(broker):  # noqa: F811
    gauges, now = PoolGauges(), time.monotonic()
    pool = broker.pools.of(LLM, SHARD)
    members = len(pool.targets.loads)
    gauges.tell([(SHARD, pool)], now)
    for call_id in range(3):
        ask(broker, call_id, SHARD)
    gauges.tell([(SHARD, pool)], now)
    assert 0 < members < len(INFOS)
    assert metrics.ENGINES_IDLE.labels(LLM, "1/2")._value.get() == members - 3
    state = pool.state(now)
    assert (state.ready, state.waiting, state.refused) == (members, 0, 0)
    assert state.sent > 0


def test_a_second_has_to_pass_between_two_tellings():
    gauges = PoolGauges()
    assert [gauges.is_due(now) for now in (1.0, 1.5, 2.1)] == [True, False, True]
