"""Tests for the repair of pools after an operation was interrupted."""

from concurrent.futures import Future

import pytest

from turmerictray.admission.budget import RetryBudget
from turmerictray.admission.pool import ServicePool
from turmerictray.admission.pool_repair import repair_pools
from turmerictray.admission.pool_types import PlacementContext, PlacementFailed
from turmerictray.config.routes import EngineSpec, ServiceSpec
from turmerictray.core.ids import NodeId, RequestId, ServiceName, TargetId, TeamId, ZoneId
from turmerictray.fairness.queue import PendingRequest
from turmerictray.fairness.recent_usage import RecentUsage
from turmerictray.routing.load import TargetInfo
from turmerictray.routing.prompt import PartId, Prompt, PromptPart

LLM, ZONE, TEAM = ServiceName("llm"), ZoneId("z"), TeamId("t")
ENGINE = TargetId("e1")


@pytest.fixture
def pool():
    """Return a pool with one engine and three pending requests, one of which waits for it."""
    pool = ServicePool(LLM, ZONE, RecentUsage(NodeId("r1")), RetryBudget(0.2, 50, 10))
    pool.targets.set_spec(ServiceSpec(LLM, EngineSpec(64, 600_000)))
    pool.targets.add_or_update(TargetInfo(ENGINE, LLM, "h:1", ZONE, 64))
    for call_id in range(4):
        prompt = Prompt((PromptPart(PartId(f"p{call_id}"), 9000),), 9000, 10)
        context = PlacementContext(call_id, prompt)
        pending = PendingRequest(
            RequestId(str(call_id)), TEAM, prompt.cost, 60.0, Future(), context
        )
        pool.enqueue(pending, 0.0)
    assert pool.dispatch_next(0.0) is not None
    assert pool.dispatch_next(0.0) is None
    return pool


def test_sound_state_is_left_as_it_is(pool):
    assert repair_pools([pool]) == 0


def test_request_that_is_missing_from_the_order_is_sent_after_the_repair(pool):
    """Guards against a request that waits until its deadline, as nothing would ever send it."""
    pending = pool.waiting_requests()[0]
    pool._dispatch_order.remove(pending)
    assert repair_pools([pool]) == 1
    assert pending in pool._next_requests(TEAM)


def test_request_that_no_longer_waits_leaves_the_order(pool):
    """Guards against a request that is sent again after it was answered."""
    pending = pool.waiting_requests()[0]
    pool.queue.discard(pending)
    assert repair_pools([pool]) >= 1
    assert pending not in pool._next_requests(TEAM)


def test_reservation_without_a_request_is_released(pool):
    """Guards against an engine that looks busy with requests that have gone."""
    load = pool.targets.loads[ENGINE]
    load.reserve(77, 50_000)
    assert repair_pools([pool]) == 2
    assert 77 not in load.reserved
    assert load.reserved_tokens_total == sum(load.reserved.values())


def test_request_whose_placement_raises_leaves_no_trace(pool, monkeypatch):
    """Guards against a request that fails each round of grants, and those behind it that wait."""
    first = pool._next_requests(TEAM)[0]

    def place(context, _fraction, _now):
        assert context is not first.context, "not expected"

    monkeypatch.setattr(pool, "_place", place)
    with pytest.raises(PlacementFailed) as raised:
        list(pool.dispatch_ready(1.0))
    assert raised.value.pending is first
    assert len(pool.waiting_requests()) == 2
    assert repair_pools([pool]) == 0
