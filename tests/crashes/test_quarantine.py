"""Tests of the quarantine of requests that crash targets."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from turmerictray.core.errors import Quarantined
from turmerictray.core.ids import RequestDigest, TargetId
from turmerictray.crashes import suspects as module
from turmerictray.crashes.attribution import HOLD_THRESHOLD
from turmerictray.crashes.digest import request_digest
from turmerictray.crashes.fingerprint import Fingerprint
from turmerictray.crashes.quarantine import QUARANTINE_S, Quarantine
from turmerictray.membership.messages import CrashReport

DEADLY = Fingerprint(RequestDigest("deadly"))
LATER_S = 5.0
"""Time after an answer at which crashes are no longer those of one moment after it."""

ENGINES = [TargetId(f"e{number}") for number in range(12)]


def is_quarantined(
    quarantine: Quarantine, now: float = 0.0, fingerprint: Fingerprint = DEADLY
) -> bool:
    try:
        quarantine.check(fingerprint, now)
    except Quarantined:
        return True
    return False


def numbered(number: int) -> Fingerprint:
    return Fingerprint(RequestDigest(f"d{number}"))


def crash(quarantine: Quarantine, count: int, now: float = 0.0) -> None:
    for target in ENGINES[:count]:
        quarantine.record_crash(DEADLY, target, now)


def test_a_request_is_quarantined_from_its_third_crash():
    quarantine = Quarantine()
    crash(quarantine, HOLD_THRESHOLD - 1)
    assert not is_quarantined(quarantine)
    crash(quarantine, HOLD_THRESHOLD)
    assert is_quarantined(quarantine)


def test_crashes_of_one_target_count_once():
    quarantine = Quarantine()
    for _ in range(5):
        quarantine.record_crash(DEADLY, ENGINES[0], 0.0)
    assert not is_quarantined(quarantine)
    assert quarantine.may_retry(DEADLY, 0.0)


def test_a_request_is_not_retried_after_its_second_crash():
    quarantine = Quarantine()
    crash(quarantine, 1)
    assert quarantine.may_retry(DEADLY, 0.0)
    crash(quarantine, 2)
    assert not quarantine.may_retry(DEADLY, 0.0)


def test_one_copy_of_a_suspect_runs_at_a_time():
    quarantine = Quarantine()
    crash(quarantine, 2)
    assert quarantine.begin_run(DEADLY, 0.0)
    with pytest.raises(Quarantined):
        quarantine.begin_run(DEADLY, 0.0)
    quarantine.end_run(DEADLY)
    assert quarantine.begin_run(DEADLY, 0.0)


def test_a_run_that_outlasts_its_suspect_entry_is_not_counted_twice():
    """Guards against a suspect that counts as running permanently after it was forgotten."""
    quarantine = Quarantine()
    crash(quarantine, 1)
    assert quarantine.begin_run(DEADLY, 0.0)
    quarantine.sweep(QUARANTINE_S)
    crash(quarantine, 2, QUARANTINE_S)
    quarantine.end_run(DEADLY)
    assert quarantine.begin_run(DEADLY, QUARANTINE_S)


def test_an_answer_clears_a_request():
    """Guards against quarantining a frequent request for crashes caused by concurrent ones."""
    quarantine = Quarantine()
    crash(quarantine, 2)
    quarantine.record_answer(DEADLY, 0.0)
    quarantine.record_crash(DEADLY, ENGINES[3], 0.0)
    for target in ENGINES[4:6]:
        quarantine.record_crash(DEADLY, target, LATER_S)
    assert not is_quarantined(quarantine, LATER_S)
    quarantine.record_crash(DEADLY, ENGINES[6], LATER_S)
    assert is_quarantined(quarantine, LATER_S)


def test_a_request_that_was_just_answered_is_not_held_for_a_crash_of_all_targets():
    """Guards against a frequent request that is refused for good, as it ran everywhere."""
    quarantine, peer = Quarantine(), Quarantine()
    quarantine.record_answer(DEADLY, 0.0)
    crash(quarantine, HOLD_THRESHOLD, 1.0)
    assert not is_quarantined(quarantine, 1.0)
    assert not quarantine.accused(DEADLY, 1.0).digest
    # Copies of other routers, which have not answered it, ran there too.
    crash(peer, HOLD_THRESHOLD, 1.0)
    quarantine.merge(peer.take_reports(1.5), 1.5)
    assert not is_quarantined(quarantine, 1.5)
    peer.merge(quarantine.take_reports(2.0), 2.0)
    assert not is_quarantined(peer, 2.0)


def test_a_request_that_has_become_deadly_is_held_whatever_it_was():
    """Guards against engines that are ended for as long as an old answer speaks for a request."""
    quarantine = Quarantine()
    quarantine.record_answer(DEADLY, 0.0)
    crash(quarantine, 1, 1.0)
    assert quarantine.accused(DEADLY, LATER_S).digest
    crash(quarantine, HOLD_THRESHOLD, LATER_S)
    assert is_quarantined(quarantine, LATER_S)


def test_an_old_answer_does_not_speak_for_a_request():
    quarantine = Quarantine()
    quarantine.record_answer(DEADLY, 0.0)
    crash(quarantine, HOLD_THRESHOLD, 100.0)
    assert is_quarantined(quarantine, 100.0)


def test_a_quarantined_request_expires():
    quarantine = Quarantine()
    crash(quarantine, HOLD_THRESHOLD)
    assert is_quarantined(quarantine, QUARANTINE_S - 1)
    assert is_quarantined(quarantine, 2 * QUARANTINE_S - 2)
    assert not is_quarantined(quarantine, 3 * QUARANTINE_S)
    assert not quarantine.quarantined_count()


def test_old_reports_do_not_restore_an_expired_suspect():
    """Guards against routers that keep reporting an expired suspect to each other."""
    first, second = Quarantine(), Quarantine()
    crash(first, HOLD_THRESHOLD)
    second.merge(first.take_reports(QUARANTINE_S - 10), QUARANTINE_S - 10)
    assert is_quarantined(second, QUARANTINE_S - 10)
    third = Quarantine()
    third.merge(first.take_reports(QUARANTINE_S + 1), QUARANTINE_S + 1)
    assert not is_quarantined(third, QUARANTINE_S + 1)


def test_memory_and_messages_stay_bounded_with_many_suspects():
    """Guards against memory and messages that grow with the number of suspects."""
    quarantine = Quarantine()
    crash(quarantine, HOLD_THRESHOLD)
    for number in range(2 * module.MAX_SUSPECTS):
        quarantine.record_crash(numbered(number), ENGINES[0], 1.0)
    assert len(quarantine._requests) <= module.MAX_SUSPECTS
    assert is_quarantined(quarantine, 2.0)
    max_reports = module.MAX_UPDATES_PER_MESSAGE + module.REPEATED_REPORTS
    assert all(len(quarantine.take_reports(2.0)) <= max_reports for _ in range(20))


def test_suspects_with_most_crashes_are_reported_first():
    quarantine = Quarantine()
    for number in range(3 * module.MAX_UPDATES_PER_MESSAGE):
        quarantine.record_crash(numbered(number), ENGINES[0], 0.0)
    crash(quarantine, 2)
    assert quarantine.take_reports(0.0)[0].digest == DEADLY.digest


def test_quarantined_requests_are_reported_repeatedly():
    """Guards against a router that never learns of suspects reported before its start."""
    established, restarted = Quarantine(), Quarantine()
    for number in range(40):
        for target in ENGINES[:HOLD_THRESHOLD]:
            established.record_crash(numbered(number), target, 0.0)
    while established.has_pending_updates():
        established.take_reports(0.0)
    for _ in range(40 // module.REPEATED_REPORTS):
        restarted.merge(established.take_reports(1.0), 1.0)
    assert restarted.quarantined_count() == 40


reports = st.lists(
    st.builds(
        CrashReport,
        digest=st.just(DEADLY.digest),
        ended=st.lists(st.sampled_from(ENGINES[:6]), min_size=1, max_size=4, unique=True),
        cleared=st.lists(st.sampled_from(ENGINES[:6]), max_size=2, unique=True),
        age_s=st.floats(0, 100),
    ).map(
        lambda r: CrashReport(r.digest, r.ended, [c for c in r.cleared if c in r.ended], r.age_s)
    ),
    min_size=1,
    max_size=8,
)


@given(reports, st.randoms(use_true_random=False))
def test_merging_reports_is_commutative_and_idempotent(drawn, rng):
    """Guards against crash counts that depend on the order of the reports."""
    in_order, reordered = Quarantine(), Quarantine()
    in_order.merge(drawn, 0.0)
    shuffled = drawn + drawn[: len(drawn) // 2]
    rng.shuffle(shuffled)
    for report in shuffled:
        reordered.merge([report], 0.0)
    assert is_quarantined(in_order) == is_quarantined(reordered)
    assert in_order.may_retry(DEADLY, 0.0) == reordered.may_retry(DEADLY, 0.0)
    assert _reported(in_order) == _reported(reordered)


def _reported(quarantine: Quarantine) -> list[tuple]:
    return [(r.digest, r.ended, r.cleared) for r in quarantine.take_reports(0.0)]


MAX_RUNS = 4
"""Maximum sends of one request: two requests by the caller, with two attempts each."""


@pytest.mark.parametrize(
    ("crashes_per_s", "max_fraction"),
    [(1 / 60, 1e-4), (0.5 / 9, 5e-3)],
    ids=["ordinary", "query-of-death"],
)
def test_innocent_requests_are_rarely_quarantined(crashes_per_s, max_fraction):
    """Covers one engine crash per minute, and a crash of one of nine engines every two seconds.

    In the second case, a single query of death causes all crashes.
    """
    rng = random.Random(1)
    exposed_s = 1.5
    requests = 200_000
    quarantined = 0
    for _ in range(requests):
        runs = crashes = 0
        while runs < MAX_RUNS and crashes < HOLD_THRESHOLD:
            runs += 1
            if rng.expovariate(crashes_per_s) > exposed_s:
                break
            crashes += 1
        quarantined += crashes == HOLD_THRESHOLD
    assert quarantined / requests <= max_fraction


def test_digests_depend_on_everything_that_callers_repeat():
    plain = ("POST", "shop.example", "/plan/1?x=%2f", "key-a", b"body")
    assert request_digest(*plain) == request_digest(*plain)
    changed = [
        ("PUT", *plain[1:]),
        ("POST", "other.example", *plain[2:]),
        (*plain[:2], "/plan/1?x=/", *plain[3:]),
        (*plain[:3], "key-b", b"body"),
        (*plain[:3], None, b"body"),
        (*plain[:4], b"body2"),
    ]
    assert len({request_digest(*request) for request in (plain, *changed)}) == 7
    assert request_digest("A", "b", "c", None, b"") != request_digest("A", "bc", "", None, b"")
