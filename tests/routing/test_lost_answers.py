"""Engines that lose an answer now and then, and are well otherwise."""

import pytest

from turmerictray.config.routes import EngineSpec, ServiceSpec
from turmerictray.core.ids import ServiceName, TargetId, ZoneId
from turmerictray.routing.load import OpenRead, TargetInfo
from turmerictray.routing.pool_targets import PoolTargets

EXPECTED_S = 0.2
LOST_TOKENS = 4000


TARGET = TargetId("e")


@pytest.fixture
def targets():
    targets = PoolTargets(ServiceSpec(ServiceName("llm"), EngineSpec(64, 100_000)))
    targets.take(TargetInfo(TARGET, ServiceName("llm"), "h:1", ZoneId("z"), 64))
    return targets


@pytest.fixture
def load(targets):
    load = targets.loads[TARGET]
    load.sent(1, OpenRead(10.0, LOST_TOKENS, 0, EXPECTED_S))
    return load


def test_an_answered_request_shows_that_earlier_ones_are_read(targets, load):
    # The first event of an answer is lost on its way; the caller will wait ten seconds for it. The
    # engine answers what is sent after it, so it is neither silent nor busy with the first one.
    # Taken for both, it got nothing from this router until the caller gave up, while a team's
    # whole queue waited here.
    load.sent(2, OpenRead(10.1, 1000, LOST_TOKENS, EXPECTED_S))
    targets.first_event(TARGET, 2, 0.25)
    assert load.own_unread_tokens() == 0
    assert load.overdue_s(13.0) <= 0


def test_an_answered_request_tells_nothing_of_later_ones(targets, load):
    load.sent(2, OpenRead(10.1, 1000, LOST_TOKENS, EXPECTED_S))
    targets.first_event(TARGET, 1, 0.2)
    assert load.own_unread_tokens() == 1000
    assert load.overdue_s(12.0) > 1.0


def test_the_newest_answer_is_taken_for_lost_after_two_seconds(load):
    # Nothing was sent after the lost one, and nothing will be while the engine is taken for silent:
    # without an end to it, the engine stays out until the caller gives up.
    load.give_up_reads(11.0)
    assert load.own_unread_tokens() == LOST_TOKENS
    load.give_up_reads(10.0 + EXPECTED_S + 2.1)
    assert load.own_unread_tokens() == 0
    assert load.overdue_s(13.0) <= 0
    assert load.failures(12.3) == pytest.approx(0.2, abs=0.01)


def test_a_lost_answer_counts_once(targets, load):
    [(target, read)] = targets.give_up_reads(13.0)
    assert (target, read.tokens) == (TARGET, LOST_TOKENS)
    rate = load.failures(13.0)
    assert not targets.give_up_reads(13.1)
    assert load.failures(13.0) == rate


def test_an_answer_that_comes_after_all_is_taken(load):
    load.give_up_reads(13.0)
    assert load.first_event(1, 3.5).tokens == LOST_TOKENS


def test_a_plain_target_may_answer_in_any_order():
    # A plain target works on several requests at once; one that hangs is not done because another
    # was answered, and the target is to be avoided for it.
    targets = PoolTargets(ServiceSpec(ServiceName("shop")))
    targets.take(TargetInfo(TARGET, ServiceName("shop"), "h:1", ZoneId("z"), 6))
    load = targets.loads[TARGET]
    load.sent(1, OpenRead(10.0, 0, 0, 0.05))
    load.sent(2, OpenRead(10.1, 0, 0, 0.05))
    targets.first_event(TARGET, 2, 0.05)
    assert load.overdue_s(11.5) > 1.0
