"""A pool whose targets have asked this router, or another, to rest."""

import time
from concurrent.futures import Future

import pytest

from turmerictray.admission.budget import RetryBudget
from turmerictray.admission.pool import ServicePool
from turmerictray.admission.pool_types import Outcome, PlacementContext
from turmerictray.config.routes import EngineSpec, ServiceSpec
from turmerictray.core.errors import NoTarget, TargetsResting
from turmerictray.core.ids import NodeId, RequestId, ServiceName, TargetId, TeamId, ZoneId
from turmerictray.fairness.queue import PendingRequest
from turmerictray.fairness.recent_usage import RecentUsage
from turmerictray.routing.load import PendingPrefill, TargetInfo
from turmerictray.routing.prompt import PartId, Prompt, PromptPart
from turmerictray.routing.target_notices import LOCAL_ROUTER

LLM, ZONE, TEAM = ServiceName("llm"), ZoneId("z"), TeamId("t")
ENGINES = [TargetId("e1"), TargetId("e2")]
NOW = 50.0


@pytest.fixture(params=[True, False], ids=["engines", "plain"])
def pool(request):
    return make_pool(request.param)


def make_pool(has_engines: bool) -> ServicePool:
    pool = ServicePool(LLM, ZONE, RecentUsage(NodeId("r1"), lambda: NOW), RetryBudget(0.2, 50, 10))
    pool.targets.set_spec(ServiceSpec(LLM, EngineSpec(64, 600_000) if has_engines else None))
    for engine in ENGINES:
        pool.targets.add_or_update(TargetInfo(engine, LLM, "h:1", ZONE, 64))
    pool.has_engines = has_engines
    return pool


def enqueue(pool: ServicePool, call_id: int, router: str = "", wait_s: float = 5.0):
    prompt = Prompt((PromptPart(PartId(f"p{call_id}"), 100),), 100, 10)
    context = PlacementContext(call_id, prompt if pool.has_engines else None, origin=NodeId(router))
    pending = PendingRequest(
        RequestId(str(call_id)), TEAM, prompt.cost, NOW + wait_s, Future(), context
    )
    pool.enqueue(pending, NOW)
    return pending


def targets_of_dispatches(pool: ServicePool, now: float = NOW) -> list[TargetId]:
    return [dispatch.placement.load.info.id for dispatch in pool.dispatch_ready(now)]


def test_others_get_the_requests_of_a_resting_target(pool):
    """Guards against a target that has turned requests away and, looking idle, draws the next."""
    pool.notices.note_rest(ENGINES[0], 3.0, LOCAL_ROUTER, NOW)
    for call_id in range(4):
        enqueue(pool, call_id)
        for _ in targets_of_dispatches(pool):
            pool.targets.record_first_event(ENGINES[1], call_id, 0.1)
    assert not len(pool.queue)
    assert not pool.targets.loads[ENGINES[0]].running


def test_request_is_refused_if_all_rest_until_after_its_deadline(pool):
    """Guards against a caller who waits for targets that are known to rest."""
    for engine in ENGINES:
        pool.notices.note_rest(engine, 20.0, LOCAL_ROUTER, NOW)
    with pytest.raises(TargetsResting) as refused:
        enqueue(pool, 1)
    assert refused.value.retry_after == pytest.approx(20.0)


def test_request_waits_for_the_first_end_of_a_rest(pool):
    """Guards against a refusal while there is time, and a try that is known to be in vain."""
    for engine, rest_s in zip(ENGINES, (2.0, 20.0), strict=True):
        pool.notices.note_rest(engine, rest_s, LOCAL_ROUTER, NOW)
    enqueue(pool, 1)
    assert not targets_of_dispatches(pool, NOW + 1.9)
    assert targets_of_dispatches(pool, NOW + 2.1) == ENGINES[:1]


def test_other_routers_are_placed_where_one_was_turned_away(pool):
    """Guards against one router's rest that takes a target from all."""
    pool.notices.note_rest(ENGINES[0], 20.0, NodeId("r2"), NOW)
    pool.notices.note_rest(ENGINES[1], 20.0, NodeId("r2"), NOW)
    enqueue(pool, 1, router="r3")
    assert len(targets_of_dispatches(pool, NOW + 0.6)) == 1
    with pytest.raises(TargetsResting):
        enqueue(pool, 2, router="r2")


def test_pending_request_leaves_a_target_that_begins_to_rest():
    """Guards against a request that waits for an engine which has turned its router away."""
    pool = make_pool(has_engines=True)
    loads = pool.targets.loads
    pending = enqueue(pool, 1)
    placement = pool._place(pending.context, 1.0, NOW)
    pool._reserve(pending.context, placement)
    reserved = pending.context.reserved_target.info.id
    pool.notices.note_rest(reserved, 20.0, LOCAL_ROUTER, NOW)
    other = next(engine for engine in ENGINES if engine != reserved)
    assert targets_of_dispatches(pool) == [other]
    assert not loads[reserved].reserved


def test_requests_are_refused_when_all_targets_leave(pool):
    """Guards against callers who wait, until their deadline, for targets that all leave."""
    pending = None
    for engine in ENGINES:
        pool.notices.note_rest(engine, 1.0, LOCAL_ROUTER, NOW)
    pending = enqueue(pool, 1)
    for engine in ENGINES:
        pool.targets.mark_leaving(engine)
    assert pool.take_unservable() == [pending]
    with pytest.raises(NoTarget, match="targets_leaving"):
        enqueue(pool, 2)


def test_decision_beside_many_rests_takes_little_time(pool):
    for number in range(100):
        target = TargetId(f"x{number}")
        pool.targets.add_or_update(TargetInfo(target, LLM, "h:1", ZONE, 64))
        pool.notices.note_rest(target, 20.0, LOCAL_ROUTER, NOW)
    started_at = time.perf_counter()
    for call_id in range(50):
        enqueue(pool, call_id)
    list(pool.dispatch_ready(NOW))
    assert time.perf_counter() - started_at < 2.0


def test_request_is_not_refused_for_the_trial_of_a_target_that_rests_no_more(pool):
    """Guards against a refusal while another request shows that a target serves again."""
    pool.targets.remove(ENGINES[1])
    pool.notices.note_rest(ENGINES[0], 0.3, LOCAL_ROUTER, NOW - 0.4)
    enqueue(pool, 1)
    assert targets_of_dispatches(pool) == ENGINES[:1]
    enqueue(pool, 2, wait_s=0.6)


def test_waiting_request_is_refused_when_all_begin_to_rest_for_longer(pool):
    """Guards against a caller who waits until the deadline for targets that rest beyond it."""
    for engine in ENGINES:
        pool.notices.note_rest(engine, 2.0, LOCAL_ROUTER, NOW)
    pending = enqueue(pool, 1)
    assert not pool.take_resting(NOW)
    for engine in ENGINES:
        pool.notices.note_rest(engine, 600.0, LOCAL_ROUTER, NOW + 0.1)
    ((taken, wait_s),) = pool.take_resting(NOW + 0.1)
    assert taken is pending
    assert wait_s == pytest.approx(600.0)


def test_requests_for_a_resting_engine_keep_no_other_from_an_idle_one():
    """Guards against rounds of grants that are used up by requests which can go nowhere."""
    pool = make_pool(has_engines=True)
    resting, idle = ENGINES

    def ask(call_id: int, team: str, exclude: TargetId) -> PendingRequest:
        prompt = Prompt((PromptPart(PartId(f"p{call_id}"), 100),), 100, 10)
        context = PlacementContext(call_id, prompt, exclude=frozenset({exclude}))
        pending = PendingRequest(
            RequestId(str(call_id)), TeamId(team), prompt.cost, NOW + 5, Future(), context
        )
        pool.enqueue(pending, NOW)
        return pending

    for number in range(30):
        context = ask(number, f"t{number:02}", idle).context
        pool._reserve(context, pool._place(context, 1.0, NOW))
    pool.notices.note_rest(resting, 3.0, LOCAL_ROUTER, NOW)
    ask(99, "zz", resting)
    sent = [
        dispatch.pending.context.call_id
        for number in range(3)
        for dispatch in pool.dispatch_ready(NOW + 0.01 * number)
    ]
    assert sent == [99]


@pytest.mark.parametrize("how", ["cancelled", Outcome.CALLER_GONE, Outcome.NOT_REACHED])
def test_trial_that_was_not_sent_keeps_no_other_request_waiting(pool, how):
    """Guards against a target that serves nobody for a second as a grant was given back."""
    for engine in ENGINES:
        pool.notices.note_rest(engine, 0.3, LOCAL_ROUTER, NOW)
    enqueue(pool, 1)
    enqueue(pool, 2)
    enqueue(pool, 3)
    first, second = pool.dispatch_ready(NOW + 0.6)
    target = first.placement.load.info.id
    assert target != second.placement.load.info.id
    if how == "cancelled":
        pool.cancel_dispatch(first)
    else:
        pool.settle(target, first.pending.context.call_id, how, NOW + 0.6)
    assert pool.notices.next_at(target, LOCAL_ROUTER, NOW + 0.6) <= NOW + 0.6


def enqueue_repeat(pool: ServicePool, call_id: int, router: str = "", wait_s: float = 3.0):
    prompt = Prompt((PromptPart(PartId(f"p{call_id}"), 100),), 100, 10)
    context = PlacementContext(
        call_id,
        prompt if pool.has_engines else None,
        frozenset({"e0"}),
        NodeId(router),
        avoids_trials=True,
    )
    pending = PendingRequest(
        RequestId(str(call_id)), TEAM, prompt.cost, NOW + wait_s, Future(), context
    )
    pool.enqueue(pending, NOW, retry=True)
    return pending


def fill(pool: ServicePool, target: TargetId) -> None:
    """Give a target as many requests as it may have."""
    load = pool.targets.loads[target]
    for number in range(100):
        load.record_sent(1000 + number, PendingPrefill(NOW, 9_000, 0, 9.0))


@pytest.mark.parametrize("busy", [False, True], ids=["other_idle", "other_busier"])
@pytest.mark.parametrize("router", ["", "r3"], ids=["own", "scheduled"])
def test_repeat_is_no_trial_while_another_target_serves(pool, router, busy):
    """Guards against a last try that is refused by a target which turned others away."""
    pool.notices.note_rest(ENGINES[0], 2.0, NodeId("r2"), NOW - 0.6)
    if busy:
        pool.targets.loads[ENGINES[1]].record_sent(99, PendingPrefill(NOW, 100, 0, 0.1))
        pool.targets.loads[ENGINES[1]].failure_rate = 0.9
        pool.targets.loads[ENGINES[1]].failure_rate_updated_at = NOW
    for call_id in range(3):
        enqueue_repeat(pool, call_id, router)
        assert targets_of_dispatches(pool) == ENGINES[1:]
        pool.targets.record_first_event(ENGINES[1], call_id, 0.1)


def test_repeat_waits_for_a_rest_that_ends_in_time(pool):
    """Guards against a last try that is spent on a trial, where a short wait avoids it."""
    pool.notices.note_rest(ENGINES[0], 2.0, NodeId("r2"), NOW - 0.6)
    pool.notices.note_rest(ENGINES[1], 0.4, LOCAL_ROUTER, NOW - 0.1)
    pool.notices.note_served(ENGINES[1], NOW - 0.05, NOW)
    enqueue_repeat(pool, 1)
    assert not targets_of_dispatches(pool, NOW + 0.2)
    assert targets_of_dispatches(pool, NOW + 0.4) == ENGINES[1:]


def test_repeat_waits_for_a_busy_target_while_there_is_time(pool):
    """Guards against a repeat that waits past its deadline rather than be a trial."""
    pool.notices.note_rest(ENGINES[0], 0.5, NodeId("r2"), NOW - 0.6)
    fill(pool, ENGINES[1])
    enqueue_repeat(pool, 1)
    assert not targets_of_dispatches(pool, NOW + 1.0)
    assert targets_of_dispatches(pool, NOW + 1.6) == ENGINES[:1]


def test_repeat_is_a_trial_if_nothing_else_is_left(pool):
    """Guards against a repeat that waits although no target that serves is left."""
    pool.targets.remove(ENGINES[1])
    pool.notices.note_rest(ENGINES[0], 2.0, NodeId("r2"), NOW - 0.6)
    enqueue_repeat(pool, 1)
    assert targets_of_dispatches(pool) == ENGINES[:1]


def test_first_tries_are_still_trials(pool):
    """Guards against a target that is never tried again while others serve."""
    pool.notices.note_rest(ENGINES[0], 2.0, NodeId("r2"), NOW - 0.6)
    for call_id in range(6):
        enqueue(pool, call_id)
    assert ENGINES[0] in targets_of_dispatches(pool)


def test_repeat_goes_to_no_target_that_is_silent_now(pool):
    """Guards against a second try that is lost in the silence of another target."""
    silent, busy = ENGINES
    pool.targets.loads[silent].record_sent(90, PendingPrefill(NOW - 0.8, 100, 0, 0.05))
    pool.targets.loads[busy].record_sent(91, PendingPrefill(NOW, 10, 0, 0.05))
    pool.targets.loads[busy].failure_rate = 0.3
    pool.targets.loads[busy].failure_rate_updated_at = NOW
    enqueue_repeat(pool, 1)
    assert targets_of_dispatches(pool) == [busy]


def test_repeat_goes_to_a_silent_target_if_no_other_is_left(pool):
    pool.targets.remove(ENGINES[1])
    pool.targets.loads[ENGINES[0]].record_sent(90, PendingPrefill(NOW - 0.8, 100, 0, 0.05))
    enqueue_repeat(pool, 1)
    assert targets_of_dispatches(pool) == ENGINES[:1]
