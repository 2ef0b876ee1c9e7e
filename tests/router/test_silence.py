"""When a silent target is given up for another one."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from turmerictray.router.silence import event_patience_s, min_next_try_s, patience_s

PLAIN_S, ENGINE_S = 0.05, 0.5
GAP_S = 0.25
seconds = st.floats(0.0, 60.0)


@pytest.mark.parametrize("left_s", [1.5, 3.0, 8.0])
@pytest.mark.parametrize("expected_s", [PLAIN_S, 0.2])
def test_second_try_comes_in_time_after_a_target_that_is_lost(left_s, expected_s):
    """Guards against callers who wait for a dead target until nothing else can answer."""
    assert patience_s(left_s, expected_s) <= left_s - max(0.5, expected_s)


@pytest.mark.parametrize("silence_s", [1.3, 2.0])
@pytest.mark.parametrize("left_s", [3.0, 8.0])
@pytest.mark.parametrize("expected_s", [PLAIN_S, 0.3, 0.56])
def test_target_that_is_silent_for_two_seconds_keeps_its_request(silence_s, left_s, expected_s):
    """Guards against a try given up just before its answer, for one that has too little time."""
    assert patience_s(left_s, expected_s) > silence_s + 0.2


@pytest.mark.parametrize("silence_s", [1.3, 2.0, 2.5])
def test_short_deadline_is_met_elsewhere(silence_s):
    """Guards against a caller with a short deadline who never gets a second try."""
    assert patience_s(1.5, PLAIN_S) < silence_s


def test_dead_target_costs_no_more_than_half_a_second_more():
    """Guards against patience that callers pay for with each lost target."""
    for expected_s in (PLAIN_S, 0.2, ENGINE_S, 1.0):
        assert patience_s(8.0, expected_s) <= max(2.0, 4 * expected_s) + 0.5


@pytest.mark.parametrize(("left_s", "expected_s"), [(0.4, 0.05), (1.2, 0.05), (3.0, 1.0)])
def test_target_is_kept_if_another_could_not_answer_in_time(left_s, expected_s):
    """Guards against a try that is given up for one that comes too late."""
    assert patience_s(left_s, expected_s) == left_s


@given(seconds, seconds)
def test_patience_is_within_the_time_left(left_s, expected_s):
    assert 0.0 <= patience_s(left_s, expected_s) <= left_s
    if patience_s(left_s, expected_s) < left_s:
        assert left_s - patience_s(left_s, expected_s) >= max(0.5, expected_s) - 1e-9


@pytest.mark.parametrize("silence_s", [1.3, 2.0])
@pytest.mark.parametrize("left_s", [3.0, 8.0])
@pytest.mark.parametrize("expected_s", [PLAIN_S, 0.3, 0.56])
def test_stream_that_is_silent_for_two_seconds_stays_at_its_target(silence_s, left_s, expected_s):
    """Guards against a stream given up for a pause of a sound target."""
    assert event_patience_s(left_s, expected_s, GAP_S) > silence_s + 0.2


@pytest.mark.parametrize("left_s", [2.0, 4.0])
def test_silent_stream_goes_on_elsewhere_before_its_deadline(left_s):
    assert event_patience_s(left_s, PLAIN_S, GAP_S) <= left_s - 0.5


@pytest.mark.parametrize("caller_s", [2.0, 4.0])
@pytest.mark.parametrize("expected_s", [PLAIN_S, ENGINE_S, 1.0, 3.0])
def test_silent_stream_goes_on_elsewhere_before_its_caller_leaves(caller_s, expected_s):
    """Guards against a stream of a dead target that its caller gives up first."""
    patience_s = event_patience_s(30.0, expected_s, GAP_S, caller_s)
    assert 0.9 <= patience_s <= max(caller_s - max(0.5, expected_s), caller_s / 2)


def test_stream_with_wide_pauses_is_given_up_later():
    """Guards against a stream given up for a pause that its route allows."""
    assert event_patience_s(60.0, ENGINE_S, 2.0) >= 6.0


def test_silent_stream_near_its_deadline_stays_at_its_target():
    """Guards against a stream that is given up for a target with too little time."""
    assert event_patience_s(0.9, PLAIN_S, GAP_S) == 0.9


@given(seconds, seconds, seconds)
def test_event_patience_is_within_the_time_left(left_s, expected_s, gap_s):
    assert 0.0 <= event_patience_s(left_s, expected_s, gap_s) <= left_s


@given(seconds, seconds, seconds)
def test_another_target_may_be_granted_once_a_stream_is_given_up(left_s, expected_s, gap_s):
    """Guards against a target that is asked for when there is no time left for it."""
    patience = event_patience_s(left_s, expected_s, gap_s)
    if patience < left_s:
        assert left_s - patience >= min_next_try_s(expected_s) + 0.2
