"""What is sent while most that waits is better off where it waits."""

from concurrent.futures import Future

import pytest

from turmerictray.admission.budget import RetryBudget
from turmerictray.admission.pool import ServicePool, Wanted
from turmerictray.config.routes import EngineSpec, ServiceSpec
from turmerictray.core.ids import NodeId, RequestId, ServiceName, TargetId, TeamId, ZoneId
from turmerictray.fairness.queue import Pending
from turmerictray.fairness.recent import RecentService
from turmerictray.routing.load import TargetInfo
from turmerictray.routing.prompt import Part, PartId, Prompt

LLM, ZONE = ServiceName("llm"), ZoneId("z")
READ_PER_S = 100_000.0
OWN = 1_000
SHARED = {"a": 80_000, "b": 9_000}
"""What an engine has to read for the second is more than its window, and less than the window of a
team that is far behind, so that requests are looked at while no engine has room for them."""
READ_S = 0.2
"""Longer than a request waits until it is looked at again."""
WAITING = 16


@pytest.fixture
def pool():
    ledger = RecentService(NodeId("r1"), lambda: 0.0)
    pool = ServicePool(LLM, ZONE, ledger, RetryBudget(0.2, 50, 10))
    pool.targets.set_spec(ServiceSpec(LLM, EngineSpec(64, 600_000)), READ_PER_S * 2)
    for target in ("e1", "e2"):
        pool.targets.take(TargetInfo(TargetId(target), LLM, "h:1", ZONE, 64))
    pool.targets.model.read_per_s = READ_PER_S
    return pool


def offer(pool: ServicePool, call_id: int, team: str, shared: str, now: float) -> None:
    parts = (Part(PartId(shared), SHARED[shared]), Part(PartId(f"own{call_id}"), OWN))
    prompt = Prompt(parts, SHARED[shared] + OWN, 10)
    wanted = Wanted(call_id, prompt)
    item = Pending(RequestId(str(call_id)), TeamId(team), prompt.cost, now + 60, Future(), wanted)
    pool.offer(item, now)


def read_shared(pool: ServicePool, call_id: int, shared: str) -> TargetId:
    """An engine reads a shared part; returns which."""
    offer(pool, call_id, "first", shared, 0.0)
    return pool.next_sent(0.0).placement.load.info.id


def test_an_engine_does_not_idle_behind_requests_that_wait_for_another(pool):
    """Guards against rounds that end after looking once more, in vain, at what comes first."""
    busy, free = read_shared(pool, 1, "a"), read_shared(pool, 2, "b")
    assert busy != free
    for number in range(WAITING):
        offer(pool, 10 + number, f"t{number % 8}", "a", 0.0)
    offer(pool, 500, "last", "b", 0.0)
    pool.ledger.charge(TeamId("last"), SHARED["b"])
    for _ in range(WAITING):
        assert pool.next_sent(0.0) is None
    pool.targets.first_event(free, 2, READ_S)
    sent = pool.next_sent(READ_S)
    assert sent is not None
    assert (sent.item.context.call_id, sent.placement.load.info.id) == (500, free)
