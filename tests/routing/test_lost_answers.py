"""Engines that occasionally lose an answer but are otherwise healthy."""

import pytest

from turmerictray.config.routes import EngineSpec, ServiceSpec
from turmerictray.core.ids import ServiceName, TargetId, ZoneId
from turmerictray.routing.load import PendingPrefill, TargetInfo
from turmerictray.routing.pool_targets import PoolTargets

EXPECTED_S = 0.2
LOST_TOKENS = 4000


TARGET = TargetId("e")


@pytest.fixture
def targets():
    targets = PoolTargets(ServiceSpec(ServiceName("llm"), EngineSpec(64, 100_000)))
    targets.add_or_update(TargetInfo(TARGET, ServiceName("llm"), "h:1", ZoneId("z"), 64))
    return targets


@pytest.fixture
def load(targets):
    load = targets.loads[TARGET]
    load.record_sent(1, PendingPrefill(10.0, LOST_TOKENS, 0, EXPECTED_S))
    return load


def test_answer_marks_earlier_requests_as_read(targets, load):
    # The first event of an answer is lost in transit; its caller will wait ten seconds for it. The
    # engine answers requests that are sent later, so it is neither unresponsive nor busy with the
    # first one. When it counted as both, this router sent it nothing until the caller timed out,
    # while a team's whole queue waited here.
    load.record_sent(2, PendingPrefill(10.1, 1000, LOST_TOKENS, EXPECTED_S))
    targets.record_first_event(TARGET, 2, 0.25)
    assert load.local_unread_tokens() == 0
    assert load.overdue_s(13.0) <= 0


def test_answer_leaves_later_requests_unread(targets, load):
    load.record_sent(2, PendingPrefill(10.1, 1000, LOST_TOKENS, EXPECTED_S))
    targets.record_first_event(TARGET, 1, 0.2)
    assert load.local_unread_tokens() == 1000
    assert load.overdue_s(12.0) > 1.0


def test_newest_answer_is_presumed_lost_after_two_seconds(load):
    # No request was sent after the one whose answer was lost, and none will be while the engine
    # counts as unresponsive: without a time limit, the engine stays unused until the caller times
    # out.
    load.expire_overdue_prefills(11.0)
    assert load.local_unread_tokens() == LOST_TOKENS
    load.expire_overdue_prefills(10.0 + EXPECTED_S + 2.1)
    assert load.local_unread_tokens() == 0
    assert load.overdue_s(13.0) <= 0
    assert load.current_failure_rate(12.3) == pytest.approx(0.2, abs=0.01)


def test_lost_answer_counts_once(targets, load):
    [(target, read)] = targets.expire_overdue_prefills(13.0)
    assert (target, read.tokens) == (TARGET, LOST_TOKENS)
    rate = load.current_failure_rate(13.0)
    assert not targets.expire_overdue_prefills(13.1)
    assert load.current_failure_rate(13.0) == rate


def test_late_answer_is_accepted(load):
    load.expire_overdue_prefills(13.0)
    assert load.record_first_event(1, 3.5).tokens == LOST_TOKENS


def test_plain_target_may_answer_in_any_order():
    # A plain target processes several requests concurrently. An answer to one does not imply that a
    # hanging one is done, and the target is to be avoided because of it.
    targets = PoolTargets(ServiceSpec(ServiceName("shop")))
    targets.add_or_update(TargetInfo(TARGET, ServiceName("shop"), "h:1", ZoneId("z"), 6))
    load = targets.loads[TARGET]
    load.record_sent(1, PendingPrefill(10.0, 0, 0, 0.05))
    load.record_sent(2, PendingPrefill(10.1, 0, 0, 0.05))
    targets.record_first_event(TARGET, 2, 0.05)
    assert load.overdue_s(11.5) > 1.0
