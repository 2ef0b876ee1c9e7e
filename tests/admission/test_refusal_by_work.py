"""Which requests are refused at once because their turn would come too late."""

from concurrent.futures import Future

from turmerictray.admission.budget import RetryBudget
from turmerictray.admission.pool import ServicePool, Wanted
from turmerictray.config.routes import EngineSpec, ServiceSpec
from turmerictray.core.ids import NodeId, RequestId, ServiceName, TargetId, TeamId, ZoneId
from turmerictray.fairness.queue import Pending
from turmerictray.fairness.recent import RecentService
from turmerictray.routing.load import TargetInfo
from turmerictray.routing.prompt import Part, PartId, Prompt

LLM, ZONE, ENGINE = ServiceName("llm"), ZoneId("z"), TargetId("e1")
LONG, SHORT = 12_000, 600
LONG_S = 0.1
"""Time in which the engine reads a long prompt."""
OBJECTIVE_S = 0.4


class Clock:
    """A clock that the test sets."""

    now = 0.0

    def __call__(self) -> float:
        return self.now


def make_pool(clock: Clock) -> ServicePool:
    pool = ServicePool(LLM, ZONE, RecentService(NodeId("r1"), clock), RetryBudget(0.2, 50, 10))
    pool.targets.set_spec(ServiceSpec(LLM, EngineSpec(64, 600_000)), LONG / LONG_S)
    pool.targets.take(TargetInfo(ENGINE, LLM, "h:1", ZONE, 64))
    return pool


def offer(pool: ServicePool, clock: Clock, call_id: int, team: str, tokens: int, wait: float):
    prompt = Prompt((Part(PartId(f"p{call_id}"), tokens),), tokens, 10)
    item = Pending(
        RequestId(str(call_id)),
        TeamId(team),
        prompt.cost,
        clock.now + wait,
        Future(),
        Wanted(call_id, prompt),
    )
    pool.offer(item, clock.now)


def test_an_engine_with_nothing_to_do_is_given_what_comes():
    """Guards against refusals by a pace from the time of a stall while engines idle."""
    clock = Clock()
    pool = make_pool(clock)
    for call_id in range(12):
        offer(pool, clock, call_id, "a", LONG, 60.0)
        clock.now += 10 * LONG_S
        for sent in pool.sends(clock.now):
            pool.targets.first_event(ENGINE, sent.item.context.call_id, LONG_S)
    offer(pool, clock, 50, "a", LONG, 60.0)
    for number in range(1, 6):
        pool.targets.take(TargetInfo(TargetId(f"back{number}"), LLM, "h:1", ZONE, 64))
    assert len(list(pool.sends(clock.now))) == 1
    for number in range(3):
        offer(pool, clock, 100 + number, f"b{number}", LONG, OBJECTIVE_S)
    assert len(pool.queue) == 3


def test_short_prompts_are_not_refused_for_the_pace_that_long_ones_set():
    """Guards against a pace of requests that lets in nothing but long prompts once they set it."""
    clock = Clock()
    pool = make_pool(clock)
    offer(pool, clock, 0, "long", LONG, 60.0)
    for call_id in range(1, 30):
        offer(pool, clock, call_id, "long", LONG, 60.0)
        sent = pool.next_sent(clock.now)
        clock.now += LONG_S
        pool.targets.first_event(ENGINE, sent.item.context.call_id, LONG_S)
    for number in range(8):
        offer(pool, clock, 100 + number, f"short{number}", SHORT, OBJECTIVE_S)
    assert len(pool.queue) == 9
