"""Which requests are held back because targets ended under them."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from turmerictray.admission import quarantine as module
from turmerictray.admission.digest import request_digest
from turmerictray.admission.quarantine import HELD_AT, HELD_S, Quarantine
from turmerictray.core.errors import Quarantined
from turmerictray.core.ids import RequestDigest, TargetId
from turmerictray.membership.messages import CrashReport

DEADLY = RequestDigest("deadly")
ENGINES = [TargetId(f"e{number}") for number in range(12)]


def is_held(quarantine: Quarantine, now: float = 0.0, digest: RequestDigest = DEADLY) -> bool:
    try:
        quarantine.check(digest, now)
    except Quarantined:
        return True
    return False


def end(quarantine: Quarantine, count: int, now: float = 0.0) -> None:
    for target in ENGINES[:count]:
        quarantine.note_ended(DEADLY, target, now)


def test_a_request_is_held_from_its_third_ending_on():
    quarantine = Quarantine()
    end(quarantine, HELD_AT - 1)
    assert not is_held(quarantine)
    end(quarantine, HELD_AT)
    assert is_held(quarantine)


def test_the_end_of_one_target_counts_once():
    quarantine = Quarantine()
    for _ in range(5):
        quarantine.note_ended(DEADLY, ENGINES[0], 0.0)
    assert not is_held(quarantine)
    assert quarantine.may_try_again(DEADLY, 0.0)


def test_an_attempt_has_no_further_try_after_the_second_ending():
    quarantine = Quarantine()
    end(quarantine, 1)
    assert quarantine.may_try_again(DEADLY, 0.0)
    end(quarantine, 2)
    assert not quarantine.may_try_again(DEADLY, 0.0)


def test_one_copy_of_a_suspect_runs_at_a_time():
    quarantine = Quarantine()
    end(quarantine, 2)
    assert quarantine.begin(DEADLY, 0.0)
    with pytest.raises(Quarantined):
        quarantine.begin(DEADLY, 0.0)
    quarantine.end(DEADLY)
    assert quarantine.begin(DEADLY, 0.0)


def test_a_run_that_outlives_the_memory_of_its_request_is_not_counted_twice():
    """Guards against a suspect that counts as running for ever after it was forgotten."""
    quarantine = Quarantine()
    end(quarantine, 1)
    assert quarantine.begin(DEADLY, 0.0)
    quarantine.sweep(HELD_S)
    end(quarantine, 2, HELD_S)
    quarantine.end(DEADLY)
    assert quarantine.begin(DEADLY, HELD_S)


def test_an_answer_clears_a_request():
    """Guards against a request that comes often and is held for the ends of its neighbours."""
    quarantine = Quarantine()
    end(quarantine, 2)
    quarantine.note_answered(DEADLY)
    for target in ENGINES[4:6]:
        quarantine.note_ended(DEADLY, target, 0.0)
    assert not is_held(quarantine)
    quarantine.note_ended(DEADLY, ENGINES[6], 0.0)
    assert is_held(quarantine)


def test_a_held_request_is_forgotten_when_it_was_not_seen_for_long():
    quarantine = Quarantine()
    end(quarantine, HELD_AT)
    assert is_held(quarantine, HELD_S - 1)
    assert is_held(quarantine, 2 * HELD_S - 2)
    assert not is_held(quarantine, 3 * HELD_S)
    assert not quarantine.held()


def test_old_reports_do_not_bring_back_what_was_forgotten():
    """Guards against routers that remind each other for ever."""
    first, second = Quarantine(), Quarantine()
    end(first, HELD_AT)
    second.merge(first.take_reports(HELD_S - 10), HELD_S - 10)
    assert is_held(second, HELD_S - 10)
    third = Quarantine()
    third.merge(first.take_reports(HELD_S + 1), HELD_S + 1)
    assert not is_held(third, HELD_S + 1)


def test_a_storm_of_them_is_borne_within_bounds():
    """Guards against memory and messages that grow with what callers send."""
    quarantine = Quarantine()
    end(quarantine, HELD_AT)
    for number in range(2 * module._MOST):
        quarantine.note_ended(RequestDigest(f"d{number}"), ENGINES[0], 1.0)
    assert len(quarantine._suspects) <= module._MOST
    assert is_held(quarantine, 2.0)
    most = module._MOST_REPORTS + module._REMINDERS
    assert all(len(quarantine.take_reports(2.0)) <= most for _ in range(20))


def test_news_of_the_worst_goes_first():
    quarantine = Quarantine()
    for number in range(3 * module._MOST_REPORTS):
        quarantine.note_ended(RequestDigest(f"d{number}"), ENGINES[0], 0.0)
    end(quarantine, 2)
    assert quarantine.take_reports(0.0)[0].digest == DEADLY


def test_held_requests_are_told_again_in_turn():
    """Guards against a router that starts when the news has long been passed on."""
    old, fresh = Quarantine(), Quarantine()
    for number in range(40):
        for target in ENGINES[:HELD_AT]:
            old.note_ended(RequestDigest(f"d{number}"), target, 0.0)
    while old.has_news():
        old.take_reports(0.0)
    for _ in range(40 // module._REMINDERS):
        fresh.merge(old.take_reports(1.0), 1.0)
    assert fresh.held() == 40


reports = st.lists(
    st.builds(
        CrashReport,
        digest=st.just(DEADLY),
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
def test_reports_come_to_the_same_in_any_order_and_twice(listed, rng):
    """Guards against counts that depend on who hears what first."""
    plain, mixed = Quarantine(), Quarantine()
    plain.merge(listed, 0.0)
    shuffled = listed + listed[: len(listed) // 2]
    rng.shuffle(shuffled)
    for report in shuffled:
        mixed.merge([report], 0.0)
    assert is_held(plain) == is_held(mixed)
    assert plain.may_try_again(DEADLY, 0.0) == mixed.may_try_again(DEADLY, 0.0)
    assert _told(plain) == _told(mixed)


def _told(quarantine: Quarantine) -> list[tuple]:
    return [(r.digest, r.ended, r.cleared) for r in quarantine.take_reports(0.0)]


MOST_RUNS = 4
"""Of one request: two attempts of a caller, with two tries each."""


@pytest.mark.parametrize(
    ("ends_per_s", "most"), [(1 / 60, 1e-4), (0.5 / 9, 5e-3)], ids=["ordinary", "under-fire"]
)
def test_how_often_an_innocent_request_is_held(ends_per_s, most):
    """An engine ends once a minute; or one of nine each two seconds, all under one request."""
    rng = random.Random(1)
    exposed_s = 1.5
    requests = 200_000
    held = 0
    for _ in range(requests):
        runs = ended = 0
        while runs < MOST_RUNS and ended < HELD_AT:
            runs += 1
            if rng.expovariate(ends_per_s) > exposed_s:
                break
            ended += 1
        held += ended == HELD_AT
    assert held / requests <= most


def test_digests_tell_requests_apart_by_what_callers_repeat():
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
    assert len({request_digest(*each) for each in (plain, *changed)}) == 7
    assert request_digest("A", "b", "c", None, b"") != request_digest("A", "bc", "", None, b"")
