"""Tests for the placement of requests that are suspected of crashing targets."""

import time
from dataclasses import replace

import pytest

from turmerictray.admission.pool_types import Outcome
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
from turmerictray.core.timer import Tick
from turmerictray.crashes.fingerprint import CrashVerdict, Fingerprint, shared_parts
from turmerictray.crashes.parts import HOLD_S
from turmerictray.router.active_config import ActiveConfig, RetryLimits
from turmerictray.routing.load import CRASH_ATTRIBUTION_S, TargetGone, TargetInfo, TargetPhase
from turmerictray.routing.prompt import PartId, Prompt, PromptPart
from turmerictray.scheduling.broker import Broker
from turmerictray.scheduling.broker_messages import (
    Ask,
    FirstEvent,
    Settled,
    TargetLeaving,
    TargetsChanged,
    TargetsListed,
)
from turmerictray.scheduling.messages import Ended
from turmerictray.scheduling.scheduler import to_verdict

pytestmark = pytest.mark.usefixtures("unthrottled_rounds")

LLM = ServiceName("llm")
CULPRIT, BYSTANDER = RequestDigest("culprit"), RequestDigest("bystander")
PROMPT = Prompt((PromptPart(PartId("shared"), 900), PromptPart(PartId("own"), 100)), 1000, 10)
"""All requests share this prompt, so cache affinity draws them to the same engine."""


@pytest.fixture
def broker():
    broker = Broker(NodeId("r1"), ZoneId("z"), 1, ActiveConfig(), RetryLimits())
    broker.pools.unsharded(LLM).targets.set_spec(ServiceSpec(LLM, EngineSpec(8, 600_000)))
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
            answer_deadline=now + 9,
            digest=digest,
        )
    )
    return reply


def granted_target(reply: Reply) -> TargetId:
    return reply.result(0).target.id


def crash_target(broker: Broker, target: str, *calls: tuple[int, RequestDigest]) -> None:
    """Report a target crash for each request that was running there."""
    for call_id, digest in calls:
        broker.on_receive(
            Settled(
                call_id,
                LLM,
                TargetId(target),
                Outcome.TARGET_ENDED,
                0.0,
                CrashVerdict(True, Fingerprint(digest)),
            )
        )


def test_requests_with_two_crashes_are_isolated_from_each_other(broker):
    """Guards against an innocent request that follows the culprit from engine to engine."""
    for number, target in enumerate(("x1", "x2")):
        crash_target(broker, target, (100 + number, CULPRIT), (200 + number, BYSTANDER))
    first = granted_target(ask(broker, 1, CULPRIT))
    assert granted_target(ask(broker, 2, BYSTANDER)) != first


def test_request_without_crashes_keeps_cache_affinity(broker):
    """Guards against engines that accept no other request while a suspect starts there."""
    for target in ("x1", "x2"):
        crash_target(broker, target, (100, CULPRIT))
    first = granted_target(ask(broker, 1, CULPRIT))
    assert granted_target(ask(broker, 2, RequestDigest("new"))) == first


def test_suspect_waits_while_others_start_on_all_engines(broker):
    """Guards against suspects that share an engine if there are fewer engines than suspects."""
    names = [RequestDigest(f"s{n}") for n in range(6)]
    for target in ("x1", "x2"):
        crash_target(broker, target, *((100 + n, name) for n, name in enumerate(names)))
    replies = [ask(broker, n, name) for n, name in enumerate(names)]
    granted = [granted_target(reply) for reply in replies if reply.done()]
    assert len(set(granted)) == len(granted) == 5
    broker.on_receive(Settled(0, LLM, granted[0], Outcome.DONE, 0.0))
    assert granted_target(replies[5]) == granted[0]


def test_long_running_suspect_does_not_block_its_engine(broker):
    """Guards against engines that are blocked for other suspects while a long answer runs."""
    load = broker.pools.unsharded(LLM).targets.loads[TargetId("e0")]
    for target in ("x1", "x2"):
        crash_target(broker, target, (100, CULPRIT))
    target = granted_target(ask(broker, 1, CULPRIT))
    load = broker.pools.unsharded(LLM).targets.loads[target]
    now = time.monotonic()
    assert [started.digest for started in load.starting_requests(now)] == [CULPRIT]
    broker.on_receive(FirstEvent(1, LLM, target, 0.1))
    assert [started.digest for started in load.starting_requests(now + 0.9)] == [CULPRIT]
    assert load.starting_requests(now + CRASH_ATTRIBUTION_S + 0.2) == []


def test_crashes_reported_by_several_routers_count_at_once(broker):
    """Guards against further copies being sent while crash reports still spread by gossip."""
    for number, target in enumerate(("x1", "x2", "x3")):
        crash_target(broker, target, (100 + number, CULPRIT))
    with pytest.raises(Quarantined):
        ask(broker, 1, CULPRIT).result(0)
    assert ask(broker, 2, BYSTANDER).done()


def test_only_announced_targets_count_as_leaving_when_removed(broker):
    """Guards against uncounted crashes when a target's entry is removed before its answer fails."""
    infos = {str(info.id): info for info in known_targets(broker)}
    broker.on_receive(TargetsChanged([replace(infos["e1"], phase=TargetPhase.LEAVING)]))
    broker.on_receive(TargetLeaving(LLM, TargetId("e2")))
    broker.on_receive(TargetsChanged([TargetGone(TargetId(f"e{n}")) for n in range(3)]))
    assert broker.active_config.unavailable_targets == {"e0", "e1", "e2"}
    assert broker.active_config.announced_leaving == {"e1", "e2"}


def known_targets(broker: Broker) -> list[TargetInfo]:
    return [load.info for load in broker.pools.unsharded(LLM).targets.loads.values()]


def part_verdict(number: int, crashed: bool = True, isolated: bool = False) -> CrashVerdict:
    """Return the verdict on a request that shares its prompt's first part with all others."""
    parts = shared_parts(LLM, PROMPT)
    return CrashVerdict(
        crashed, Fingerprint(RequestDigest(f"p{number}"), TeamId("t"), parts), isolated
    )


def settle(broker: Broker, call_id: int, target: str, verdict: CrashVerdict) -> None:
    outcome = Outcome.TARGET_ENDED if verdict.crashed else Outcome.DONE
    broker.on_receive(Settled(call_id, LLM, TargetId(target), outcome, 0.0, verdict))


def test_one_prompt_with_a_suspect_part_starts_at_a_time(broker):
    """Guards against a part that crashes several engines at once although it is a suspect."""
    for number in range(2):
        settle(broker, 100 + number, f"x{number}", part_verdict(number))
    first = ask(broker, 1, RequestDigest("a"))
    second = ask(broker, 2, RequestDigest("b"))
    assert first.result(0).isolated
    assert not second.done()
    settle(broker, 1, granted_target(first), part_verdict(5, crashed=False))
    assert granted_target(second)
    assert not second.result(0).isolated


def test_waiting_prompts_are_refused_when_their_part_is_held(broker):
    """Guards against prompts that wait until their deadline although they can't be served."""
    for number in range(2):
        settle(broker, 100 + number, f"x{number}", part_verdict(number))
    first, second = ask(broker, 1, RequestDigest("a")), ask(broker, 2, RequestDigest("b"))
    settle(broker, 1, granted_target(first), part_verdict(1, isolated=True))
    broker.on_receive(Tick("expire", time.monotonic()))
    with pytest.raises(Quarantined) as refusal:
        second.result(0)
    assert refusal.value.retry_after == HOLD_S
    with pytest.raises(Quarantined):
        ask(broker, 3, RequestDigest("c")).result(0)


def test_verdicts_reach_the_scheduler_unchanged():
    """Guards against crashes that a scheduler counts for another part, team or request."""
    for verdict in (part_verdict(1, isolated=True), part_verdict(2)):
        fingerprint = verdict.fingerprint
        outcome = Outcome.TARGET_ENDED.value
        parts = [part.part for part in fingerprint.parts]
        ended = Ended(1, LLM, "e0", outcome, 0.0, fingerprint.digest, parts, "t", verdict.isolated)
        assert to_verdict(ended) == verdict
    assert to_verdict(Ended(1, LLM, "e0", Outcome.DONE.value, 0.0)) is None
    answered = to_verdict(Ended(1, LLM, "e0", Outcome.DONE.value, 0.0, parts=["shared"]))
    assert answered == CrashVerdict(False, Fingerprint(parts=shared_parts(LLM, PROMPT)))
