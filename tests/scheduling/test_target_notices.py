"""Tests for a broker that is told what targets say of themselves."""

import time

import msgspec
import pytest

from turmerictray.config.routes import EngineSpec, ServiceSpec
from turmerictray.core.errors import NoTarget
from turmerictray.core.ids import NodeId, RequestId, ServiceName, TargetId, TeamId, ZoneId
from turmerictray.core.reply import Reply
from turmerictray.router.active_config import ActiveConfig, RetryLimits
from turmerictray.routing.load import TargetInfo, TargetPhase
from turmerictray.routing.prompt import PartId, Prompt, PromptPart
from turmerictray.scheduling.broker import Broker
from turmerictray.scheduling.broker_messages import (
    Ask,
    PeerHeard,
    SummaryQuery,
    TargetLeaving,
    TargetResting,
    TargetsChanged,
    TargetsListed,
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


def ask(broker: Broker, call_id: int, origin: str = "") -> Reply:
    reply, now = Reply(), time.monotonic()
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
    broker.on_receive(TargetsChanged(gone=[FIRST]))
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
    broker.on_receive(TargetsChanged(gone=[FIRST]))
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


def test_pending_requests_are_refused_when_the_last_target_leaves(broker):
    """Guards against callers who wait, until their deadline, for targets that all leave."""
    replies = [ask(broker, call_id) for call_id in range(40)]
    waiting = [reply for reply in replies if not reply.done()]
    for info in ENGINES:
        broker.on_receive(TargetLeaving(LLM, info.id))
    assert waiting
    assert all(isinstance(reply.exception(0), NoTarget) for reply in waiting)
