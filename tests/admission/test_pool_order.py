"""Which waiting request of a team is sent next, and calls whose end is never told."""

from concurrent.futures import Future

import pytest

from turmerictray.admission.budget import RetryBudget
from turmerictray.admission.pool import Outcome, ServicePool, Wanted
from turmerictray.config.routes import EngineSpec, ServiceSpec
from turmerictray.core.ids import NodeId, RequestId, ServiceName, TargetId, TeamId, ZoneId
from turmerictray.fairness.queue import Pending
from turmerictray.fairness.recent import RecentService
from turmerictray.routing.load import TargetInfo
from turmerictray.routing.prompt import Part, PartId, Prompt

LLM, ZONE, TEAM = ServiceName("llm"), ZoneId("z"), TeamId("t")
ENGINE = TargetId("e1")
LONG, SHORT = 12_000, 600


@pytest.fixture
def ledger():
    return RecentService(NodeId("r1"), lambda: 0.0)


@pytest.fixture
def pool(ledger):
    pool = ServicePool(LLM, ZONE, ledger, RetryBudget(0.2, 50, 10))
    pool.targets.set_spec(ServiceSpec(LLM, EngineSpec(64, 600_000)))
    pool.targets.take(TargetInfo(ENGINE, LLM, "h:1", ZONE, 64))
    return pool


def offer(pool: ServicePool, call_id: int, tokens: int, origin: str = "", give_up=99.0) -> None:
    prompt = Prompt((Part(PartId(f"p{call_id}"), tokens),), tokens, 10)
    wanted = Wanted(call_id, prompt, origin=NodeId(origin), give_up=give_up)
    item = Pending(RequestId(str(call_id)), TEAM, prompt.cost, 60.0, Future(), wanted)
    pool.offer(item, 0.0)


def send_all(pool: ServicePool) -> list[int]:
    """Call ids in the order of their sends, each read at once."""
    order = []
    while (sent := pool.next_sent(0.0)) is not None:
        call_id = sent.item.context.call_id
        order.append(call_id)
        pool.targets.first_event(ENGINE, call_id, 0.2)
    return order


def test_short_prompts_go_before_long_ones_of_their_team(pool):
    """Guards against short questions that wait behind a long prompt of their team."""
    for call_id in range(4):
        offer(pool, call_id, LONG)
    for call_id in range(4, 12):
        offer(pool, call_id, SHORT)
    order = send_all(pool)
    assert sum(call_id >= 4 for call_id in order[:8]) == 6


def test_a_long_prompt_is_not_passed_over_for_ever(pool):
    offer(pool, 0, LONG)
    for call_id in range(1, 20):
        offer(pool, call_id, SHORT)
    assert 0 in send_all(pool)[:4]


def test_prompts_of_one_size_are_sent_in_their_order(pool):
    for call_id in range(9):
        offer(pool, call_id, SHORT)
    assert send_all(pool) == list(range(9))


def test_calls_of_a_router_that_is_gone_do_not_stay_open(pool, ledger):
    """Guards against an engine that counts as full by the calls of a dead router."""
    offer(pool, 1, SHORT, origin="r2")
    offer(pool, 2, SHORT, origin="r3")
    send_all(pool)
    load = pool.targets.loads[ENGINE]
    assert pool.drop_lost_calls({"r1", "r3"}, 1.0) == 1
    assert list(load.calls) == [2]
    assert pool.drop_lost_calls({"r1", "r3"}, 100.5) == 1
    assert load.running == 0


def test_a_call_is_settled_once(pool, ledger):
    offer(pool, 1, SHORT)
    send_all(pool)
    charged = ledger.normalised(TEAM)
    assert charged == SHORT + 20
    pool.settle(ENGINE, 1, Outcome.CALLER_GONE, 0.0, cost=0.0)
    pool.settle(ENGINE, 1, Outcome.CALLER_GONE, 0.0, cost=0.0)
    assert ledger.normalised(TEAM) == 0.0
    assert pool.targets.loads[ENGINE].running == 0
