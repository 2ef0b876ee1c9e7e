"""Tests of the local admission check before requests are submitted to the scheduler."""

import pytest

from turmerictray.admission.backlog import TeamBacklog, TeamRoute
from turmerictray.core.errors import AdmissionError, BacklogFull, WontBeServed
from turmerictray.core.ids import TeamId

PLAN = TeamRoute(TeamId("depot"), "plan")
OTHER = TeamRoute(TeamId("rider"), "plan")
OBJECTIVE_S = 0.8


@pytest.fixture
def backlog():
    return TeamBacklog()


def start_waiting(backlog, key, count):
    for _ in range(count):
        backlog.start_waiting(key)


def submitted(backlog, key, rate, seconds, begin=0.0):
    """Return how many of the requests arriving at ``rate`` are submitted to the scheduler."""
    count = 0
    for number in range(int(rate * seconds)):
        try:
            backlog.check_submission(key, OBJECTIVE_S, begin + number / rate)
            count += 1
        except AdmissionError:
            continue
    return count


def test_a_team_with_few_waiting_requests_is_not_refused(backlog):
    start_waiting(backlog, PLAN, 31)
    backlog.check_capacity(PLAN, OBJECTIVE_S, 0.0)
    assert not backlog.may_refuse(0.0)


def test_requests_beyond_those_granted_in_time_are_refused(backlog):
    start_waiting(backlog, PLAN, 32)
    assert backlog.may_refuse(0.0)
    with pytest.raises(BacklogFull) as refusal:
        backlog.check_capacity(PLAN, OBJECTIVE_S, 0.0)
    assert 0 < refusal.value.retry_after <= 4.0
    backlog.check_capacity(OTHER, OBJECTIVE_S, 0.0)


def test_a_team_with_a_high_grant_rate_may_have_more_waiting(backlog):
    # At 100 grants per second, 80 of the waiting requests are granted within the objective.
    start_waiting(backlog, PLAN, 400)
    for number in range(400):
        backlog.stop_waiting(PLAN, True, number / 100)
    start_waiting(backlog, PLAN, 100)
    backlog.check_capacity(PLAN, OBJECTIVE_S, 4.0)
    start_waiting(backlog, PLAN, 100)
    with pytest.raises(BacklogFull) as refusal:
        backlog.check_capacity(PLAN, OBJECTIVE_S, 4.0)
    assert 1.0 < refusal.value.retry_after < 3.0


def test_requests_are_accepted_again_when_none_wait(backlog):
    start_waiting(backlog, PLAN, 40)
    for _ in range(40):
        backlog.stop_waiting(PLAN, False, 1.0)
    assert not backlog.may_refuse(1.0)
    backlog.check_capacity(PLAN, OBJECTIVE_S, 1.0)


def test_few_requests_are_submitted_after_a_refusal(backlog):
    """Guards against refusals that each cost a thread and two messages during a request flood."""
    backlog.note_refusal(PLAN, 1.5, 0.0)
    with pytest.raises(WontBeServed) as refusal:
        for _ in range(50):
            backlog.check_submission(PLAN, OBJECTIVE_S, 0.01)
    assert refusal.value.retry_after == 1.5
    assert submitted(backlog, PLAN, rate=900, seconds=0.4, begin=0.05) <= 12
    assert submitted(backlog, OTHER, rate=900, seconds=0.4, begin=0.05) == 360


def test_submissions_after_a_refusal_follow_the_grant_rate(backlog):
    start_waiting(backlog, PLAN, 400)
    for number in range(400):
        backlog.stop_waiting(PLAN, True, number / 100)
    backlog.note_refusal(PLAN, 0.1, 4.0)
    assert submitted(backlog, PLAN, rate=900, seconds=0.4, begin=4.0) > 60


def test_a_refusal_expires(backlog):
    backlog.note_refusal(PLAN, 1.5, 0.0)
    assert backlog.may_refuse(0.4)
    assert not backlog.may_refuse(0.6)
    assert submitted(backlog, PLAN, rate=900, seconds=0.4, begin=0.6) == 360
