"""What operators are told of the pools of engines."""

import time

from tests.router.test_shard_pools import INFOS, LLM, SHARD, ask, broker  # noqa: F401
from turmerictray.core import metrics
from turmerictray.core.timer import Tick


def tick(broker, now: float) -> None:  # noqa: F811
    broker.on_receive(Tick("expire", now))


def test_pace_and_idle_engines_are_told_for_each_shard(broker):  # noqa: F811
    now = time.monotonic()
    members = len(broker.pools.of(LLM, SHARD).targets.loads)
    tick(broker, now)
    for call_id in range(3):
        ask(broker, call_id, SHARD)
    tick(broker, now + 1.1)
    idle = metrics.ENGINES_IDLE.labels(LLM, "1/2")
    assert idle._value.get() == members - 3
    state = broker.pools.of(LLM, SHARD).state(now)
    assert (state.ready, state.waiting, state.refused) == (members, 0, 0)
    assert state.sent > 0
