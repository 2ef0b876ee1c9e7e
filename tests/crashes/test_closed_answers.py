"""Checks of answers that only the close of their connections ended."""

import time

import pytest

from turmerictray.core.errors import ConnectionBroken, OutcomeUnknown
from turmerictray.core.ids import RequestDigest, ServiceName, TargetId, ZoneId
from turmerictray.crashes.evidence import CrashEvidence
from turmerictray.crashes.exit_detection import Liveness, TargetExitDetector
from turmerictray.crashes.fingerprint import Fingerprint
from turmerictray.crashes.parts import Suspicion
from turmerictray.routing.load import TargetInfo

REQUEST = Fingerprint(RequestDigest("d1"))
TARGET = TargetInfo(TargetId("e1"), ServiceName("llm"), "h:1", ZoneId("z1"), 4)


def make_evidence(exited: bool, leaving: bool = False) -> CrashEvidence:
    ids = frozenset({TARGET.id} if leaving else ())
    found = Liveness.EXITED if exited else Liveness.RUNNING
    detector = TargetExitDetector(lambda _target, _timeout_s: found)
    return CrashEvidence(ended_targets=detector, leaving=lambda: ids)


def suspicion_after(evidence: CrashEvidence, ran_s: float) -> Suspicion:
    """Check an answer that ran for ``ran_s``; return what is then held against its request."""
    now = time.monotonic()
    with pytest.raises(ConnectionBroken) as caught:
        evidence.check_closed_answer(TARGET, now, now)
    evidence.record_if_crash(REQUEST, TARGET, caught.value, ran_s, now)
    return evidence.quarantine.suspicion(REQUEST, now)


def test_answer_of_a_running_target_is_complete():
    evidence = make_evidence(exited=False)
    evidence.check_closed_answer(TARGET, time.monotonic(), time.monotonic())
    assert evidence.quarantine.suspicion(REQUEST, time.monotonic()) is Suspicion.NONE


def test_answer_of_a_target_that_nobody_can_ask_does_not_look_complete():
    """Guards against a target that can't be reached, as in a partition, and counts as running."""
    detector = TargetExitDetector(lambda _target, _timeout_s: Liveness.UNKNOWN)
    evidence = CrashEvidence(ended_targets=detector)
    with pytest.raises(OutcomeUnknown) as caught:
        evidence.check_closed_answer(TARGET, time.monotonic(), time.monotonic())
    assert not isinstance(caught.value, ConnectionBroken)


def test_first_crash_between_two_events_is_evidence():
    """Guards against a storm of crashes of which each leaves an answer that looks complete."""
    assert suspicion_after(make_evidence(exited=True), ran_s=0.1) is Suspicion.SUSPECT


@pytest.mark.parametrize(("leaving", "ran_s"), [(True, 0.1), (False, 1.5)])
def test_cut_answer_that_is_no_evidence_does_not_look_complete(leaving, ran_s):
    """Guards against a check that is left out where a crash is not the request's doing."""
    assert suspicion_after(make_evidence(exited=True, leaving=leaving), ran_s) is Suspicion.NONE


def test_answer_of_a_target_that_is_silent_for_a_while_is_complete():
    """Guards against a whole answer that is cut because its target gives no report at once."""
    silent_until = time.monotonic() + 0.4

    def check(_target: TargetInfo, timeout_s: float) -> Liveness:
        time.sleep(min(timeout_s, 0.1))
        return Liveness.UNKNOWN if time.monotonic() < silent_until else Liveness.RUNNING

    evidence = CrashEvidence(ended_targets=TargetExitDetector(check))
    now = time.monotonic()
    evidence.check_closed_answer(TARGET, now, deadline=now + 5.0)
    assert time.monotonic() < now + 2.0


@pytest.mark.parametrize(("deadline_s", "given_up"), [(0.3, False), (5.0, True)])
def test_check_of_a_silent_target_ends_with_its_request(deadline_s, given_up):
    """Guards against callers that are kept waiting past their deadline, or after they have left."""

    def check(_target: TargetInfo, timeout_s: float) -> Liveness:
        time.sleep(timeout_s)
        return Liveness.UNKNOWN

    evidence = CrashEvidence(ended_targets=TargetExitDetector(check))
    now = time.monotonic()
    with pytest.raises(OutcomeUnknown):
        evidence.check_closed_answer(
            TARGET, now, deadline=now + deadline_s, is_given_up=lambda: given_up
        )
    assert time.monotonic() - now < (0.5 if not given_up else 2.0)
