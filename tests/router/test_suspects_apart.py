"""Where a scheduler sends requests under which targets have ended."""

import time
from dataclasses import replace

import pytest

from turmerictray.admission.pool import Outcome
from turmerictray.config.routes import EngineSpec, ServiceSpec
from turmerictray.core.errors import Quarantined
from turmerictray.core.ids import (
    NodeId,
    RequestDigest,
    RequestId,
    ServiceName,
    TargetId,
    TeamId,
    ZoneId,
)
from turmerictray.core.reply import Reply
from turmerictray.router.broker import Broker
from turmerictray.router.broker_messages import (
    Ask,
    FirstEvent,
    Settled,
    TargetLeaving,
    TargetsChanged,
    TargetsListed,
)
from turmerictray.router.text_in_force import RepeatLimits, TextInForce
from turmerictray.routing.load import BEGINNING_S, TargetInfo, TargetPhase
from turmerictray.routing.prompt import Part, PartId, Prompt

LLM = ServiceName("llm")
CULPRIT, BYSTANDER = RequestDigest("culprit"), RequestDigest("bystander")
PROMPT = Prompt((Part(PartId("shared"), 900), Part(PartId("own"), 100)), 1000, 10)
"""The same for all: they are drawn to the same engine."""


@pytest.fixture
def broker():
    broker = Broker(NodeId("r1"), ZoneId("z"), 1, TextInForce(), RepeatLimits())
    broker.pools.whole(LLM).targets.set_spec(ServiceSpec(LLM, EngineSpec(8, 600_000)))
    infos = [TargetInfo(TargetId(f"e{n}"), LLM, f"h:{n}", ZoneId("z"), 8) for n in range(5)]
    broker.on_receive(TargetsListed(infos))
    return broker


def ask(broker: Broker, call_id: int, digest: RequestDigest, exclude=frozenset()) -> Reply:
    reply, now = Reply(), time.monotonic()
    broker.on_receive(
        Ask(
            call_id,
            RequestId(str(call_id)),
            TeamId("t"),
            LLM,
            1020.0,
            PROMPT,
            now + 5,
            reply,
            exclude,
            give_up=now + 9,
            digest=digest,
        )
    )
    return reply


def target_of(reply: Reply) -> TargetId:
    return reply.result(0).target.id


def end_target(broker: Broker, target: str, *calls: tuple[int, RequestDigest]) -> None:
    """A target ends; the routers of the requests that ran there say so."""
    for call_id, digest in calls:
        broker.on_receive(
            Settled(call_id, LLM, TargetId(target), Outcome.TARGET_ENDED, 0.0, digest)
        )


def test_requests_that_two_targets_ended_under_are_sent_apart(broker):
    """Guards against a bystander that follows the culprit from engine to engine."""
    for number, target in enumerate(("x1", "x2")):
        end_target(broker, target, (100 + number, CULPRIT), (200 + number, BYSTANDER))
    first = target_of(ask(broker, 1, CULPRIT))
    assert target_of(ask(broker, 2, BYSTANDER)) != first


def test_a_request_without_endings_goes_where_its_parts_are_kept(broker):
    """Guards against engines that are closed to everybody while a suspect begins there."""
    for target in ("x1", "x2"):
        end_target(broker, target, (100, CULPRIT))
    first = target_of(ask(broker, 1, CULPRIT))
    assert target_of(ask(broker, 2, RequestDigest("new"))) == first


def test_a_suspect_waits_while_others_begin_everywhere(broker):
    """Guards against suspects that share an engine as there are fewer engines than suspects."""
    names = [RequestDigest(f"s{n}") for n in range(6)]
    for target in ("x1", "x2"):
        end_target(broker, target, *((100 + n, name) for n, name in enumerate(names)))
    replies = [ask(broker, n, name) for n, name in enumerate(names)]
    granted = [target_of(reply) for reply in replies if reply.done()]
    assert len(set(granted)) == len(granted) == 5
    broker.on_receive(Settled(0, LLM, granted[0], Outcome.DONE, 0.0))
    assert target_of(replies[5]) == granted[0]


def test_a_run_that_has_gone_on_for_a_while_bars_nobody(broker):
    """Guards against engines that long answers of suspects close to others."""
    load = broker.pools.whole(LLM).targets.loads[TargetId("e0")]
    for target in ("x1", "x2"):
        end_target(broker, target, (100, CULPRIT))
    target = target_of(ask(broker, 1, CULPRIT))
    load = broker.pools.whole(LLM).targets.loads[target]
    now = time.monotonic()
    assert load.beginning(now) == [CULPRIT]
    broker.on_receive(FirstEvent(1, LLM, target, 0.1))
    assert load.beginning(now + 0.9) == [CULPRIT]
    assert load.beginning(now + BEGINNING_S + 0.2) == []


def test_endings_that_several_routers_tell_are_counted_at_once(broker):
    """Guards against copies that are sent on while the routers still tell each other."""
    for number, target in enumerate(("x1", "x2", "x3")):
        end_target(broker, target, (100 + number, CULPRIT))
    with pytest.raises(Quarantined):
        ask(broker, 1, CULPRIT).result(0)
    assert ask(broker, 2, BYSTANDER).done()


def test_only_targets_that_said_so_count_as_leaving_when_they_end(broker):
    """Guards against endings that speak against nobody as the entry went before the answer."""
    infos = {str(info.id): info for info in broker_targets(broker)}
    broker.on_receive(TargetsChanged(changed=[replace(infos["e1"], phase=TargetPhase.LEAVING)]))
    broker.on_receive(TargetLeaving(LLM, TargetId("e2")))
    broker.on_receive(TargetsChanged(gone=[TargetId(f"e{n}") for n in range(3)]))
    assert broker.in_force.leaving == {"e0", "e1", "e2"}
    assert broker.in_force.announced == {"e1", "e2"}


def broker_targets(broker: Broker) -> list[TargetInfo]:
    return [load.info for load in broker.pools.whole(LLM).targets.loads.values()]
