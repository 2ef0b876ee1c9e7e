"""Tests of the refusal of requests that would be dispatched too late."""

from concurrent.futures import Future
from dataclasses import replace

import pytest

from turmerictray.admission.budget import RetryBudget
from turmerictray.admission.pool import ServicePool
from turmerictray.admission.pool_types import PlacementContext
from turmerictray.config.routes import EngineSpec, ServiceSpec
from turmerictray.core.errors import WontBeServed
from turmerictray.core.ids import (
    NodeId,
    RequestId,
    ServiceName,
    SoftwareVersion,
    TargetId,
    TeamId,
    ZoneId,
)
from turmerictray.fairness.queue import PendingRequest
from turmerictray.fairness.recent_usage import RecentUsage
from turmerictray.routing.cold import ColdSpec
from turmerictray.routing.load import TargetInfo
from turmerictray.routing.prompt import PartId, Prompt, PromptPart

LLM, ZONE, ENGINE = ServiceName("llm"), ZoneId("z"), TargetId("e1")
LONG, SHORT = 12_000, 600
LONG_S = 0.1
"""Time in which the engine reads a long prompt, in seconds."""
OBJECTIVE_S = 0.4


class Clock:
    """Clock set by the test."""

    now = 0.0

    def __call__(self) -> float:
        return self.now


def make_pool(clock: Clock) -> ServicePool:
    pool = ServicePool(LLM, ZONE, RecentUsage(NodeId("r1"), clock), RetryBudget(0.2, 50, 10))
    pool.targets.set_spec(ServiceSpec(LLM, EngineSpec(64, 600_000)), LONG / LONG_S)
    pool.targets.add_or_update(TargetInfo(ENGINE, LLM, "h:1", ZONE, 64))
    return pool


def enqueue(
    pool: ServicePool,
    clock: Clock,
    call_id: int,
    team: str,
    tokens: int,
    wait: float,
    version: SoftwareVersion | None = None,
):
    prompt = Prompt((PromptPart(PartId(f"p{call_id}"), tokens),), tokens, 10)
    pending = PendingRequest(
        RequestId(str(call_id)),
        TeamId(team),
        prompt.cost,
        clock.now + wait,
        Future(),
        PlacementContext(call_id, prompt, version=version),
    )
    pool.enqueue(pending, clock.now)


def test_an_engine_with_nothing_to_do_is_given_what_comes():
    """Guards against refusals based on the throughput of a past stall while engines are idle."""
    clock = Clock()
    pool = make_pool(clock)
    for call_id in range(12):
        enqueue(pool, clock, call_id, "a", LONG, 60.0)
        clock.now += 10 * LONG_S
        for sent in pool.dispatch_ready(clock.now):
            pool.targets.record_first_event(ENGINE, sent.pending.context.call_id, LONG_S)
    enqueue(pool, clock, 50, "a", LONG, 60.0)
    for number in range(1, 6):
        pool.targets.add_or_update(TargetInfo(TargetId(f"back{number}"), LLM, "h:1", ZONE, 64))
    assert len(list(pool.dispatch_ready(clock.now))) == 1
    for number in range(3):
        enqueue(pool, clock, 100 + number, f"b{number}", LONG, OBJECTIVE_S)
    assert len(pool.queue) == 3


@pytest.mark.parametrize(
    ("idle", "version"),
    [({"cold_s": 60.0}, None), ({"version": SoftwareVersion("v2")}, SoftwareVersion("v1"))],
    ids=["resting", "other version"],
)
def test_idle_engines_that_may_not_be_used_save_no_request_from_refusal(idle, version):
    """Guards against waiting in vain beside resting cold engines, or those of other versions."""
    clock = Clock()
    pool = make_pool(clock)
    engine = TargetInfo(ENGINE, LLM, "h:1", ZONE, 64, version=SoftwareVersion("v1"))
    pool.targets.add_or_update(engine)
    pool.targets.set_spec(replace(pool.targets.spec, cold=ColdSpec(60.0, 0.5)))
    for call_id in range(12):
        enqueue(pool, clock, call_id, "a", LONG, 60.0)
        clock.now += 10 * LONG_S
        for sent in pool.dispatch_ready(clock.now):
            pool.targets.record_first_event(ENGINE, sent.pending.context.call_id, LONG_S)
    enqueue(pool, clock, 50, "a", LONG, OBJECTIVE_S)
    for number in range(5):
        target = TargetId(f"idle{number}")
        info = replace(engine, id=target, **idle)
        pool.targets.add_or_update(info, clock.now)
        pool.targets.loads[target].last_sent_at = clock.now
    with pytest.raises(WontBeServed):
        enqueue(pool, clock, 51, "a", LONG, OBJECTIVE_S, version)


def test_short_prompts_are_not_refused_after_long_ones_lowered_the_request_rate():
    """Guards against measuring throughput in requests, which long prompts would make too low."""
    clock = Clock()
    pool = make_pool(clock)
    enqueue(pool, clock, 0, "long", LONG, 60.0)
    for call_id in range(1, 30):
        enqueue(pool, clock, call_id, "long", LONG, 60.0)
        sent = pool.dispatch_next(clock.now)
        clock.now += LONG_S
        pool.targets.record_first_event(ENGINE, sent.pending.context.call_id, LONG_S)
    for number in range(8):
        enqueue(pool, clock, 100 + number, f"short{number}", SHORT, OBJECTIVE_S)
    assert len(pool.queue) == 9


def test_burst_after_calm_is_not_refused_for_the_rate_at_which_requests_came():
    """Guards against a throughput that counts time in which no request was pending."""
    clock = Clock()
    pool = make_pool(clock)
    for call_id in range(6):
        enqueue(pool, clock, call_id, "a", SHORT, OBJECTIVE_S)
        assert pool.dispatch_next(clock.now) is not None
        pool.targets.record_first_event(ENGINE, call_id, SHORT / LONG * LONG_S)
        clock.now += 1.0
    for number in range(8):
        enqueue(pool, clock, 100 + number, "a", SHORT, OBJECTIVE_S)
    assert len(pool.queue) == 8
