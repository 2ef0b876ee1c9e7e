"""Tests for a broker that is told what targets say of themselves."""

import time

import msgspec
import pytest

from turmerictray.config.routes import EngineSpec, ServiceSpec
from turmerictray.core.errors import NoTarget, RepeatsUsedUp, TargetsResting
from turmerictray.core.ids import (
    NodeId,
    RequestId,
    ServiceName,
    SoftwareVersion,
    StreamKey,
    TargetId,
    TeamId,
    ZoneId,
)
from turmerictray.core.reply import Reply
from turmerictray.core.timer import Tick
from turmerictray.router.active_config import ActiveConfig, RetryLimits
from turmerictray.routing.load import TargetGone, TargetInfo, TargetPhase
from turmerictray.routing.prompt import PartId, Prompt, PromptPart
from turmerictray.scheduling.broker import Broker
from turmerictray.scheduling.broker_messages import (
    Ask,
    FirstEvent,
    PeerHeard,
    SummaryQuery,
    TargetLeaving,
    TargetResting,
    TargetsChanged,
    TargetsListed,
    Withdraw,
)

pytestmark = pytest.mark.usefixtures("unthrottled_rounds")

LLM, TEAM, ZONE = ServiceName("llm"), TeamId("t"), ZoneId("z")
ENGINES = [TargetInfo(TargetId(f"e{n}"), LLM, f"h:{n}", ZONE, 8) for n in range(2)]
FIRST, SECOND = (info.id for info in ENGINES)


@pytest.fixture
def broker():
    broker = Broker(NodeId("r1"), ZONE, 1, ActiveConfig(), RetryLimits())
    broker.pools.unsharded(LLM).targets.set_spec(ServiceSpec(LLM, EngineSpec(8, 600_000)))
    broker.on_receive(TargetsListed(ENGINES))
    return broker


def ask(
    broker: Broker, call_id: int, origin: str = "", reply: Reply | None = None, **options
) -> Reply:
    reply, now = reply or Reply(), time.monotonic()
    prompt = Prompt((PromptPart(PartId(f"p{call_id}"), 100),), 100, 10)
    broker.on_receive(
        Ask(
            call_id,
            RequestId(str(call_id)),
            TEAM,
            LLM,
            100.0,
            prompt,
            now + 5,
            reply,
            origin=NodeId(origin),
            answer_deadline=now + 9,
            **options,
        )
    )
    return reply


def phase_of(broker: Broker, target: TargetId) -> TargetPhase:
    return broker.pools.unsharded(LLM).targets.loads[target].info.phase


def test_leaving_target_stays_so_whatever_its_entry_says(broker):
    """Guards against an entry, written before and read later, that brings a target back."""
    broker.on_receive(TargetLeaving(LLM, FIRST))
    broker.on_receive(TargetsChanged([ENGINES[0]]))
    assert phase_of(broker, FIRST) is TargetPhase.LEAVING
    broker.on_receive(TargetsChanged([TargetGone(FIRST)]))
    broker.on_receive(TargetsChanged([ENGINES[0]]))
    assert phase_of(broker, FIRST) is TargetPhase.LEAVING
    assert FIRST in broker.active_config.unavailable_targets


def test_new_incarnation_is_a_target_like_any_other(broker):
    broker.on_receive(TargetLeaving(LLM, FIRST))
    reborn = TargetInfo(TargetId("e0@2"), LLM, "h:0", ZONE, 8)
    broker.on_receive(TargetsChanged([reborn]))
    assert phase_of(broker, reborn.id) is TargetPhase.READY


def test_peers_are_told_of_leaving_targets_while_they_are_listed(broker):
    """Guards against a router that starts, and knows of a leaving target only its entry."""
    broker.on_receive(TargetLeaving(LLM, FIRST))
    summary = broker.on_receive(SummaryQuery())
    assert summary.leaving == [FIRST]
    peer = Broker(NodeId("r2"), ZONE, 1, ActiveConfig(), RetryLimits())
    peer.pools.unsharded(LLM).targets.set_spec(ServiceSpec(LLM, EngineSpec(8, 600_000)))
    peer.on_receive(TargetsListed(ENGINES))
    peer.on_receive(PeerHeard(summary))
    assert phase_of(peer, FIRST) is TargetPhase.LEAVING
    broker.on_receive(TargetsChanged([TargetGone(FIRST)]))
    assert broker.on_receive(SummaryQuery()).leaving == []


def test_target_that_is_listed_after_it_was_told_leaving_is_leaving(broker):
    """Guards against a peer's word that is lost because the entry is read after it."""
    late = TargetInfo(TargetId("e9"), LLM, "h:9", ZONE, 8)
    summary = msgspec.structs.replace(broker.on_receive(SummaryQuery()), node="r2", leaving=["e9"])
    broker.on_receive(PeerHeard(summary))
    broker.on_receive(TargetsChanged([late]))
    assert phase_of(broker, late.id) is TargetPhase.LEAVING


def test_scheduler_places_no_request_of_a_router_on_what_turned_it_away(broker):
    broker.on_receive(TargetResting(LLM, FIRST, 5.0, NodeId("r2")))
    for call_id in range(3):
        assert ask(broker, call_id, "r2").result(0).target.id == SECOND


@pytest.mark.parametrize("origin", ["", "r3"], ids=["own", "of_a_router"])
@pytest.mark.parametrize(
    "options",
    [
        {"retry": True, "repeat": True},
        {"retry": True},
        {"version": SoftwareVersion(""), "resumes": StreamKey(1)},
    ],
    ids=["repeat", "retry", "resumption"],
)
def test_repeat_is_not_the_trial_of_a_target_that_turned_a_router_away(broker, options, origin):
    """Guards against a stream that is taken up, with its last try, where it is refused."""
    broker.on_receive(TargetResting(LLM, FIRST, 0.05, NodeId("r2")))
    time.sleep(0.1)
    targets = [ask(broker, call_id, origin, **options).result(0).target.id for call_id in range(3)]
    assert targets == [SECOND] * 3
    assert ask(broker, 3, origin).result(0).target.id == FIRST


def test_request_waits_for_the_only_engine_that_rests_for_its_router_alone(broker):
    """Guards against a refusal, as without targets, of what could wait until a rest ends."""
    broker.on_receive(TargetsListed(ENGINES[:1]))
    broker.on_receive(TargetResting(LLM, FIRST, 0.3, NodeId("r2"), repeated=True))
    pending, other = ask(broker, 1, "r2"), ask(broker, 2, "r3")
    assert other.result(0).target.id == FIRST
    broker.on_receive(FirstEvent(2, LLM, FIRST, 0.0))
    assert not pending.done()
    time.sleep(0.35)
    broker.on_receive(Tick("expire", time.monotonic()))
    assert pending.result(0).target.id == FIRST


def test_request_whose_only_engine_rests_for_longer_is_told_until_when(broker):
    broker.on_receive(TargetsListed(ENGINES[:1]))
    broker.on_receive(TargetResting(LLM, FIRST, 30.0, NodeId("r2"), repeated=True))
    refusal = ask(broker, 1, "r2").exception(0)
    assert isinstance(refusal, TargetsResting)
    assert refusal.retry_after == pytest.approx(30.0, abs=0.5)


def test_pending_requests_are_refused_when_the_last_target_leaves(broker):
    """Guards against callers who wait, until their deadline, for targets that all leave."""
    replies = [ask(broker, call_id) for call_id in range(40)]
    waiting = [reply for reply in replies if not reply.done()]
    for info in ENGINES:
        broker.on_receive(TargetLeaving(LLM, info.id))
    assert waiting
    assert all(isinstance(reply.exception(0), NoTarget) for reply in waiting)


@pytest.mark.parametrize("repeat", [False, True])
def test_request_that_another_scheduler_has_counted_leaves_the_budget_as_it_is(broker, repeat):
    """Guards against a retry budget that grows, or is spent, twice for one attempt."""
    budget = broker.pools.unsharded(LLM).budget
    ask(broker, 1, "r2", repeat=repeat).result(0)
    assert (len(budget._requests), len(budget._retries)) == (1, int(repeat))
    ask(broker, 2, "r2", repeat=repeat, is_counted=True).result(0)
    assert (len(budget._requests), len(budget._retries)) == (1, int(repeat))


@pytest.mark.parametrize("cause", ["no_target", "resting", "leaving", "withdrawn", "expired"])
def test_repeat_that_is_refused_is_not_charged(broker, cause):
    """Guards against a retry budget that is used up by requests which are never sent."""
    charged = broker.pools.unsharded(LLM).budget._retries
    if cause == "no_target":
        options = {"exclude": frozenset({FIRST, SECOND})}
    else:
        options, rest_s = {}, 30.0 if cause == "resting" else 2.0
        for info in ENGINES:
            broker.notices.note_rest(info.id, rest_s, NodeId("r2"), time.monotonic())
    reply = ask(broker, 1, "r2", retry=True, repeat=True, **options)
    assert reply.done() == (not charged) == (cause in ("no_target", "resting"))
    if cause == "leaving":
        for info in ENGINES:
            broker.on_receive(TargetLeaving(LLM, info.id))
    elif cause == "withdrawn":
        broker.on_receive(Withdraw(1, LLM))
    elif cause == "expired":
        broker.on_receive(Tick("expire", time.monotonic() + 6))
    assert reply.exception(0)
    assert not charged


def test_repeat_whose_caller_has_gone_as_it_is_granted_is_not_charged(broker):
    reply = Reply()
    reply.cancel()
    ask(broker, 1, "r2", reply, retry=True, repeat=True)
    assert not broker.pools.unsharded(LLM).budget._retries


def test_counted_repeat_is_placed_although_the_budget_is_used_up(broker):
    """Guards against a repeat that is refused for its own first placement."""
    budget = broker.pools.unsharded(LLM).budget
    now = time.monotonic()
    while budget.try_spend(now):
        pass
    assert isinstance(ask(broker, 1, "r2", repeat=True).exception(0), RepeatsUsedUp)
    ask(broker, 2, "r2", repeat=True, is_counted=True).result(0)
