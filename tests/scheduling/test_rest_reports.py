"""Which schedulers are told of this router's rests."""

import pytest

from turmerictray.core.ids import ServiceName, TargetId
from turmerictray.membership.messages import MemberEntry
from turmerictray.routing.target_notices import LOCAL_ROUTER, TargetNotices
from turmerictray.scheduling.rest_reports import RestReports

LLM, TARGET = ServiceName("llm"), TargetId("e1")
FIRST, SECOND = (MemberEntry(name, "z", "tcp://h:1", 1, 20) for name in ("r1", "r2"))
NOW = 100.0


@pytest.fixture
def notices():
    return TargetNotices()


@pytest.fixture
def reports(notices):
    return RestReports(notices)


def rest(notices, reports, rest_s: float, target: TargetId = TARGET, now: float = NOW) -> None:
    notices.note_rest(target, rest_s, LOCAL_ROUTER, now)
    reports.note_rest(LLM, target, now)


def test_each_scheduler_is_told_once(notices, reports):
    rest(notices, reports, 2.0)
    reports.note_told(LLM, TARGET, FIRST, NOW)
    assert reports.take_untold(LLM, FIRST, NOW + 0.5) == []
    assert reports.take_untold(LLM, SECOND, NOW + 0.5) == [(TARGET, pytest.approx(1.5))]
    assert reports.take_untold(LLM, SECOND, NOW + 0.6) == []


def test_longer_rest_is_told_again(notices, reports):
    rest(notices, reports, 2.0)
    assert reports.take_untold(LLM, FIRST, NOW)
    notices.note_rest(TARGET, 2.0, LOCAL_ROUTER, NOW + 0.2)
    assert reports.take_untold(LLM, FIRST, NOW + 0.3) == [(TARGET, pytest.approx(1.9))]


def test_no_rest_is_kept_after_its_end(notices, reports):
    """Guards against a record that grows with each target that ever rested."""
    for number in range(50):
        rest(notices, reports, 1.0, TargetId(f"t{number}"), NOW + 2 * number)
    assert len(reports._told[LLM]) == 1
    assert reports.take_untold(LLM, FIRST, NOW + 200) == []
    assert not reports._told[LLM]


def test_many_rests_are_told_with_several_requests(notices, reports):
    """Guards against a request that is sent with as many messages as there are targets."""
    for number in range(100):
        rest(notices, reports, 5.0, TargetId(f"t{number}"))
    told = [reports.take_untold(LLM, FIRST, NOW) for _ in range(5)]
    assert max(map(len, told)) <= 32
    assert len({target for part in told for target, _ in part}) == 100


def test_scheduler_that_does_not_know_a_rest_is_told_again(notices, reports):
    rest(notices, reports, 2.0)
    assert reports.take_untold(LLM, FIRST, NOW)
    reports.forget_told(LLM, TARGET, NOW)
    assert reports.take_untold(LLM, FIRST, NOW)
    reports.forget_scheduler(FIRST)
    assert reports.take_untold(LLM, FIRST, NOW)
    assert not reports.take_untold(ServiceName("app"), FIRST, NOW)
