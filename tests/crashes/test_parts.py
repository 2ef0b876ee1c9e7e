"""Tests of the attribution of crashes to shared parts of prompts."""

import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from turmerictray.core.errors import Quarantined
from turmerictray.core.ids import RequestDigest, ServiceName, TargetId, TeamId
from turmerictray.crashes import suspects as module
from turmerictray.crashes.attribution import HOLD_THRESHOLD
from turmerictray.crashes.fingerprint import Fingerprint, ServicePart, shared_parts
from turmerictray.crashes.parts import HOLD_S, SOUND_S, Suspicion
from turmerictray.crashes.quarantine import Quarantine
from turmerictray.membership.messages import PartCrashReport, PeerMessage
from turmerictray.routing.prompt import PartId, Prompt, PromptPart

LLM = ServiceName("llm")
TEAM, OWNER = TeamId("depot"), TeamId("rider")
CULPRIT, BYSTANDER = "bad", "rare"
_digests = iter(range(10**9))


def prompt(*parts: str, team: TeamId = TEAM) -> Fingerprint:
    """Return the fingerprint of a prompt that no other request equals."""
    digest = RequestDigest(f"d{next(_digests)}")
    return Fingerprint(digest, team, tuple(ServicePart(LLM, PartId(part)) for part in parts))


def crash(quarantine: Quarantine, *parts: str, targets, isolated=False, now=0.0, team=TEAM) -> None:
    for target in targets:
        quarantine.record_crash(prompt(*parts, team=team), TargetId(f"e{target}"), now, isolated)


def hold(quarantine: Quarantine, *parts: str, first=0, now=0.0, team=TEAM) -> None:
    """Record enough crashes, the last one in isolation."""
    last = first + HOLD_THRESHOLD - 1
    crash(quarantine, *parts, targets=range(first, last), now=now, team=team)
    crash(quarantine, *parts, targets=[last], isolated=True, now=now, team=team)


def is_held(quarantine: Quarantine, *parts: str, now=0.0, team=TEAM) -> bool:
    return quarantine.suspicion(prompt(*parts, team=team), now) is Suspicion.HELD


def test_part_is_held_from_its_third_crash_under_different_requests():
    quarantine = Quarantine()
    crash(quarantine, "a", CULPRIT, targets=[0, 1])
    assert quarantine.suspicion(prompt("b", CULPRIT), 0.0) is Suspicion.ISOLATED
    assert not quarantine.may_retry(prompt("b", CULPRIT), 0.0)
    crash(quarantine, "b", CULPRIT, targets=[2], isolated=True)
    with pytest.raises(Quarantined) as refusal:
        quarantine.check(prompt("c", CULPRIT), 0.0)
    assert refusal.value.retry_after == HOLD_S
    assert not is_held(quarantine, "a") and not is_held(quarantine, "b")


def test_part_that_was_answered_is_not_accused():
    """Guards against holding back the part of most prompts after many crashes at once."""
    quarantine = Quarantine()
    quarantine.record_answer(prompt("system"), 0.0)
    hold(quarantine, "system", CULPRIT, now=SOUND_S - 0.1)
    assert quarantine.suspicion(prompt("system"), SOUND_S) is Suspicion.NONE
    assert is_held(quarantine, "system", CULPRIT, now=SOUND_S)


def test_crashes_that_a_held_part_explains_release_requests_and_parts():
    """Guards against sound requests that are refused for crashes of another one's part."""
    quarantine = Quarantine()
    beside = prompt(BYSTANDER)
    for target in range(HOLD_THRESHOLD):
        quarantine.record_crash(beside, TargetId(f"e{target}"), 0.0)
    hold(quarantine, CULPRIT)
    assert quarantine.suspicion(beside, 0.0) is Suspicion.HELD
    crash(quarantine, CULPRIT, targets=[8], isolated=True)
    assert quarantine.suspicion(beside, 0.0) is Suspicion.NONE
    assert is_held(quarantine, CULPRIT)


def test_part_that_was_only_sent_beside_the_culprit_is_tested():
    """Guards against an innocent part that is held back as long as the culprit."""
    quarantine = Quarantine()
    hold(quarantine, CULPRIT, BYSTANDER)
    assert is_held(quarantine, CULPRIT, BYSTANDER)
    test = prompt(BYSTANDER)
    assert quarantine.suspicion(test, 0.0) is Suspicion.ISOLATED
    quarantine.record_answer(test, 0.0)
    assert quarantine.suspicion(prompt(BYSTANDER), 0.0) is Suspicion.NONE
    assert is_held(quarantine, CULPRIT, BYSTANDER)


def test_failed_test_of_an_ambiguous_part_is_the_last_one():
    """Guards against a culprit that is sent again and again, as another part may be at fault."""
    quarantine = Quarantine()
    hold(quarantine, CULPRIT, BYSTANDER)
    assert not is_held(quarantine, CULPRIT)
    crash(quarantine, CULPRIT, targets=[9], isolated=True)
    assert is_held(quarantine, CULPRIT)
    assert not is_held(quarantine, BYSTANDER)


def test_part_of_crashes_without_isolation_is_tested_once():
    """Guards against holding back the part of most prompts when several targets crash at once."""
    quarantine = Quarantine()
    crash(quarantine, CULPRIT, targets=range(12))
    assert quarantine.suspicion(prompt(CULPRIT), 0.0) is Suspicion.ISOLATED
    crash(quarantine, CULPRIT, targets=[12], isolated=True)
    assert is_held(quarantine, CULPRIT)


def test_quarantined_request_explains_the_crashes_of_its_parts():
    """Guards against refusing all prompts that share a part with a query of death."""
    quarantine = Quarantine()
    deadly = prompt("system")
    for target in range(HOLD_THRESHOLD):
        quarantine.record_crash(deadly, TargetId(f"e{target}"), 0.0, isolated=target == 2)
    other = prompt("system")
    assert quarantine.suspicion(other, 0.0) is Suspicion.ISOLATED
    quarantine.record_answer(other, 0.0)
    assert quarantine.suspicion(prompt("system"), 0.0) is Suspicion.NONE
    assert quarantine.suspicion(deadly, 0.0) is Suspicion.HELD


def test_owner_of_a_part_clears_it_by_the_next_request():
    """Guards against a team that has another team's part held back with its own requests."""
    quarantine = Quarantine()
    hold(quarantine, "owned")
    assert is_held(quarantine, "owned")
    test = prompt("owned", team=OWNER)
    assert quarantine.suspicion(test, 0.0) is Suspicion.ISOLATED
    quarantine.record_answer(test, 0.0)
    assert quarantine.suspicion(prompt("owned"), 0.0) is Suspicion.NONE


def test_part_that_crashed_targets_of_two_teams_is_held_for_all():
    quarantine = Quarantine()
    hold(quarantine, CULPRIT)
    crash(quarantine, CULPRIT, targets=[5], isolated=True, team=OWNER)
    assert is_held(quarantine, CULPRIT, team=TeamId("third"))


def test_held_part_is_tested_after_silence_and_held_again_after_one_crash():
    quarantine = Quarantine()
    hold(quarantine, CULPRIT)
    with pytest.raises(Quarantined):
        quarantine.check(prompt(CULPRIT), HOLD_S - 1)
    assert is_held(quarantine, CULPRIT, now=2 * HOLD_S - 2)
    assert not is_held(quarantine, CULPRIT, now=2 * HOLD_S)
    crash(quarantine, CULPRIT, targets=[7], isolated=True, now=2 * HOLD_S)
    assert is_held(quarantine, CULPRIT, now=2 * HOLD_S)


def count_refusals_until_test(quarantine: Quarantine) -> int:
    for count in range(10_000):
        try:
            if quarantine.check(prompt(CULPRIT), 0.0):
                return count
        except Quarantined:
            continue
    raise AssertionError("never tested")


def test_held_part_is_tested_after_many_refusals_ever_more_rarely():
    """Guards against the part of most prompts being held back wrongly for good."""
    quarantine = Quarantine()
    hold(quarantine, CULPRIT)
    first = count_refusals_until_test(quarantine)
    crash(quarantine, CULPRIT, targets=[20], isolated=True)
    assert count_refusals_until_test(quarantine) == 4 * first
    quarantine.record_answer(prompt(CULPRIT), 0.0)
    assert quarantine.check(prompt(CULPRIT), 0.0) is False


def test_test_of_a_part_does_not_release_the_request_itself():
    """Guards against a query of death that is sent as a test of one of its prompt's parts."""
    quarantine = Quarantine()
    deadly = prompt("system")
    for target in range(HOLD_THRESHOLD):
        quarantine.record_crash(deadly, TargetId(f"e{target}"), 0.0, isolated=True)
    with pytest.raises(Quarantined):
        quarantine.check(deadly, 0.0, is_test=True)


def test_parts_are_counted_by_service_and_once_per_prompt():
    parts = [PromptPart(PartId(name), 100) for name in ("a", "a", "b", "own")]
    assert shared_parts(LLM, Prompt(tuple(parts), 400, 10)) == (
        ServicePart(LLM, PartId("a")),
        ServicePart(LLM, PartId("b")),
    )
    assert shared_parts(LLM, None) == ()
    quarantine = Quarantine()
    hold(quarantine, "a")
    other = Fingerprint(RequestDigest("x"), TEAM, (ServicePart(ServiceName("other"), PartId("a")),))
    assert quarantine.suspicion(other, 0.0) is Suspicion.NONE


reports = st.lists(
    st.builds(
        PartCrashReport,
        service=st.just(LLM),
        part=st.sampled_from(["a", "b", "c"]),
        ended=st.lists(st.sampled_from([f"e{n}" for n in range(6)]), max_size=5, unique=True),
        cleared=st.lists(st.sampled_from([f"e{n}" for n in range(6)]), max_size=2, unique=True),
        isolated=st.lists(st.sampled_from([f"e{n}" for n in range(6)]), max_size=2, unique=True),
        teams=st.lists(st.sampled_from(["t", "u"]), max_size=2, unique=True),
        age_s=st.floats(0, 100),
    ).map(
        lambda r: msgspec.structs.replace(
            r,
            cleared=[c for c in r.cleared if c in r.ended],
            isolated=[c for c in r.isolated if c in r.ended],
        )
    ),
    max_size=8,
)


@given(reports, st.randoms(use_true_random=False))
def test_merging_part_reports_is_commutative_and_idempotent(drawn, rng):
    """Guards against routers that hold different parts back after the same reports."""
    in_order, reordered = Quarantine(), Quarantine()
    in_order.merge([], 0.0, drawn)
    shuffled = drawn + drawn[: len(drawn) // 2]
    rng.shuffle(shuffled)
    for report in shuffled:
        reordered.merge([], 0.0, [report])
    for parts in (("a",), ("b",), ("c",), ("a", "b"), ("a", "b", "c")):
        request = prompt(*parts)
        assert in_order.suspicion(request, 0.0) == reordered.suspicion(request, 0.0)
    assert in_order.held_parts() == reordered.held_parts()


def test_reports_reach_a_router_that_knows_the_part_to_be_sound():
    """Guards against a router that answers prompts with a part and is told to refuse them."""
    informed, accuser = Quarantine(), Quarantine()
    informed.record_answer(prompt("system"), 0.0)
    hold(accuser, "system")
    informed.merge([], 1.0, accuser.take_part_reports(1.0))
    assert informed.suspicion(prompt("system"), 1.0) is Suspicion.NONE
    accuser.merge([], 1.0, informed.take_part_reports(1.0))
    assert accuser.suspicion(prompt("system"), 1.0) is Suspicion.NONE


def test_memory_and_messages_stay_bounded_with_many_parts():
    """Guards against memory and messages that grow with ever new parts in crashing prompts."""
    quarantine = Quarantine()
    hold(quarantine, CULPRIT)
    for number in range(2 * module.MAX_SUSPECTS):
        crash(quarantine, f"p{number}", targets=[30], now=1.0)
        quarantine.record_answer(prompt(f"q{number}"), 1.0)
    assert len(quarantine._parts) <= module.MAX_SUSPECTS
    assert is_held(quarantine, CULPRIT, now=2.0)
    max_reports = module.MAX_UPDATES_PER_MESSAGE + module.REPEATED_REPORTS
    taken = [quarantine.take_part_reports(2.0) for _ in range(20)]
    assert all(len(reports) <= max_reports for reports in taken)
    assert len(msgspec.msgpack.encode(taken[0])) < 8192


def test_message_without_part_reports_is_readable():
    """Guards against routers that can't read the messages of an earlier version."""
    fields = ["n", "z", "tcp://h:1", 1, 1], ["n", 1, 0, [], {}, []], [], "h:2"
    assert (
        msgspec.msgpack.decode(msgspec.msgpack.encode(fields), type=PeerMessage).part_crashes == []
    )


@pytest.mark.parametrize(
    ("crashes_per_s", "max_fraction"), [(1 / 60, 1e-4), (0.5 / 9, 5e-3)], ids=["ordinary", "storm"]
)
def test_innocent_parts_are_rarely_held(crashes_per_s, max_fraction):
    """Covers new parts on one of nine engines that crash once a minute each, or one every 2 s."""
    rng = random.Random(1)
    parts = 20_000
    held = 0
    for number in range(parts):
        quarantine, now = Quarantine(), 0.0
        for run in range(2 * HOLD_THRESHOLD):
            request = prompt(f"p{number}")
            if quarantine.suspicion(request, now) is Suspicion.HELD:
                held += 1
                break
            if rng.expovariate(crashes_per_s) > 1.5:
                break
            isolated = quarantine.suspicion(request, now) is Suspicion.ISOLATED
            quarantine.record_crash(request, TargetId(f"e{run}"), now, isolated)
    assert held / parts <= max_fraction
