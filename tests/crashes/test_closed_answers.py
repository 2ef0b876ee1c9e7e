"""Checks of answers that only the close of their connections ended."""

import time

import pytest

from turmerictray.core.errors import ConnectionBroken
from turmerictray.core.ids import RequestDigest, ServiceName, TargetId, ZoneId
from turmerictray.crashes.closed_answers import ClosedAnswerChecks
from turmerictray.crashes.evidence import ClosedAnswer, CrashEvidence
from turmerictray.crashes.exit_detection import TargetExitDetector
from turmerictray.crashes.fingerprint import Fingerprint
from turmerictray.crashes.parts import Suspicion
from turmerictray.routing.load import TargetInfo

REQUEST = Fingerprint(RequestDigest("d1"))
TARGET = TargetInfo(TargetId("e1"), ServiceName("llm"), "h:1", ZoneId("z1"), 4)


def evidence(exited: bool, leaving: bool = False, check_later=lambda _answer: None):
    ids = frozenset({TARGET.id} if leaving else ())
    return CrashEvidence(
        ended_targets=TargetExitDetector(lambda _address: exited),
        leaving=lambda: ids,
        check_later=check_later,
    )


def answer(age_s: float = 0.0) -> ClosedAnswer:
    return ClosedAnswer(REQUEST, TARGET, time.monotonic() - age_s)


def suspicion_after_check(crashes: CrashEvidence, found: ClosedAnswer) -> Suspicion:
    checks = ClosedAnswerChecks.start(crashes)
    checks.ask(found, timeout=2)
    checks.stop()
    return crashes.quarantine.suspicion(REQUEST, time.monotonic())


def test_first_crash_between_two_events_is_evidence_afterwards():
    """Guards against a storm of crashes of which each leaves an answer that looks complete."""
    assert suspicion_after_check(evidence(exited=True), answer()) is Suspicion.SUSPECT


@pytest.mark.parametrize(
    ("exited", "leaving", "age_s"), [(False, False, 0.0), (True, True, 0.0), (True, False, 1.5)]
)
def test_no_evidence_of_targets_that_run_or_leave_or_of_long_ago(exited, leaving, age_s):
    crashes = evidence(exited, leaving)
    assert suspicion_after_check(crashes, answer(age_s)) is Suspicion.NONE


def test_caller_waits_for_the_check_only_after_another_crash():
    later = []
    crashes = evidence(exited=True, check_later=later.append)
    first = answer()
    assert not crashes.check_closed_answer(first, 0.1)
    assert later == [first]
    crashes.quarantine.record_crash(REQUEST, TARGET.id, time.monotonic())
    with pytest.raises(ConnectionBroken):
        crashes.check_closed_answer(answer(), 0.1)
    assert later == [first]


def test_answer_that_ran_for_long_is_not_checked():
    later = []
    assert not evidence(exited=True, check_later=later.append).check_closed_answer(answer(), 1.5)
    assert not later
