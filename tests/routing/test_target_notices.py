"""What is known of targets from their answers."""

import math
import random

import pytest

from turmerictray.core.ids import NodeId, ServiceName, TargetId, ZoneId
from turmerictray.routing.load import TargetInfo, TargetLoad
from turmerictray.routing.prefix_cache import PrefixCacheModel
from turmerictray.routing.target_notices import LOCAL_ROUTER, TargetNotices

TARGET, OTHER = TargetId("e1"), NodeId("r2")
NOW = 100.0


@pytest.fixture
def notices():
    return TargetNotices()


def may_place(notices: TargetNotices, router: NodeId, now: float) -> bool:
    return notices.next_at(TARGET, router, now) <= now


def test_leaving_target_is_left_alone_for_good(notices):
    """Guards against an entry that undoes what a target has said of itself."""
    assert notices.note_leaving(TARGET)
    assert not notices.note_leaving(TARGET)
    assert notices.is_leaving(TARGET)
    assert not notices.may_send(TARGET, NOW + 1e6)
    assert notices.next_at(TARGET, LOCAL_ROUTER, NOW) == math.inf
    assert notices.leaving_among([TargetId("e0"), TARGET], 9) == [TARGET]


def test_router_that_was_turned_away_sends_nothing_until_the_end(notices):
    assert notices.note_rest(TARGET, 3.0, LOCAL_ROUTER, NOW)
    assert not notices.may_send(TARGET, NOW + 2.9)
    assert not may_place(notices, LOCAL_ROUTER, NOW + 2.9)
    assert notices.may_send(TARGET, NOW + 3.0)
    assert may_place(notices, LOCAL_ROUTER, NOW + 3.0)


def test_latest_end_counts(notices):
    """Guards against a shorter rest, told later, that ends a longer one."""
    notices.note_rest(TARGET, 3.0, LOCAL_ROUTER, NOW)
    assert not notices.note_rest(TARGET, 1.0, LOCAL_ROUTER, NOW + 0.5)
    assert not notices.may_send(TARGET, NOW + 2.9)


def test_end_of_a_rest_lets_one_request_through_until_it_is_served(notices):
    """Guards against all waiting requests that meet a target at the end of its rest."""
    notices.note_rest(TARGET, 2.0, LOCAL_ROUTER, NOW)
    sent_at = NOW + 2.0
    notices.note_sent(TARGET, sent_at)
    assert not may_place(notices, LOCAL_ROUTER, sent_at + 0.1)
    notices.note_served(TARGET, sent_at, sent_at + 0.2)
    assert may_place(notices, LOCAL_ROUTER, sent_at + 0.2)
    notices.note_sent(TARGET, sent_at + 0.2)
    assert may_place(notices, LOCAL_ROUTER, sent_at + 0.2)


def test_trial_without_an_answer_keeps_others_away_for_a_while_only(notices):
    notices.note_rest(TARGET, 2.0, LOCAL_ROUTER, NOW)
    notices.note_sent(TARGET, NOW + 2.0)
    assert not may_place(notices, LOCAL_ROUTER, NOW + 2.9)
    assert may_place(notices, LOCAL_ROUTER, NOW + 3.1)


def test_answer_to_an_earlier_request_is_no_sign_that_a_target_serves_again(notices):
    """Guards against a full target that looks free because of what it had accepted before."""
    notices.note_rest(TARGET, 2.0, LOCAL_ROUTER, NOW)
    notices.note_served(TARGET, NOW - 0.5, NOW + 0.1)
    notices.note_sent(TARGET, NOW + 2.0)
    notices.note_served(TARGET, NOW - 0.2, NOW + 2.1)
    assert not may_place(notices, LOCAL_ROUTER, NOW + 2.1)


def test_target_that_turned_one_router_away_is_tried_by_others_with_one_request(notices):
    """Guards against a target that is full for one router and idle for all."""
    notices.note_rest(TARGET, 3.0, OTHER, NOW)
    assert notices.may_send(TARGET, NOW)
    assert not may_place(notices, LOCAL_ROUTER, NOW + 0.1)
    assert may_place(notices, LOCAL_ROUTER, NOW + 0.6)
    notices.note_sent(TARGET, NOW + 0.6)
    notices.note_served(TARGET, NOW + 0.6, NOW + 0.7)
    assert may_place(notices, LOCAL_ROUTER, NOW + 0.7)
    assert not may_place(notices, OTHER, NOW + 0.7)


def test_repeated_rest_keeps_a_target_from_no_other_router(notices):
    """Guards against a rest, told again, that counts as another refusal."""
    notices.note_rest(TARGET, 3.0, OTHER, NOW)
    notices.note_sent(TARGET, NOW + 0.6)
    notices.note_served(TARGET, NOW + 0.6, NOW + 0.7)
    notices.note_running_rest(TARGET, 2.2, OTHER, NOW + 0.8)
    assert may_place(notices, LOCAL_ROUTER, NOW + 0.8)
    assert not may_place(notices, OTHER, NOW + 2.9)
    assert may_place(notices, OTHER, NOW + 3.1)


def test_repeated_rest_of_which_nothing_was_known_is_kept(notices):
    notices.note_running_rest(TARGET, 2.0, OTHER, NOW)
    assert not may_place(notices, OTHER, NOW + 1.9)
    assert may_place(notices, LOCAL_ROUTER, NOW)
    notices.note_sent(TARGET, NOW)
    assert not may_place(notices, LOCAL_ROUTER, NOW + 0.1)


@pytest.mark.parametrize("first_event_s", [0.9, 1.2, 3.0])
def test_target_whose_first_events_take_long_serves_fully_again(notices, first_event_s):
    """Guards against a busy target that is given one request a second for ever."""
    notices.note_rest(TARGET, 0.3, LOCAL_ROUTER, NOW)
    sent_at, now, placed = [], NOW, 0
    while now < NOW + 20:
        now += 0.01
        for at in [at for at in sent_at if now >= at + first_event_s]:
            sent_at.remove(at)
            notices.note_served(TARGET, at, now)
        if may_place(notices, LOCAL_ROUTER, now):
            notices.note_sent(TARGET, now)
            sent_at.append(now)
            placed += 1
    assert placed > 1000


def requests_reaching(
    notices: TargetNotices, is_full_for, rest_s: float, routers: int = 3, seconds: float = 20.0
) -> dict[NodeId, list[float]]:
    """Let routers send a request whenever they may, each 10 ms; return when, by router.

    Their order is drawn anew each time, as it depends on the teams. ``is_full_for`` tells whether
    a router is turned away at a time.
    """
    sent = {NodeId(f"r{number}"): [] for number in range(routers)}
    answers = []
    order, rng = list(sent), random.Random(5)
    for step in range(int(100 * seconds)):
        now = NOW + step / 100
        for answer in [answer for answer in answers if answer[0] <= now]:
            answers.remove(answer)
            _, router, sent_at, refused = answer
            if refused:
                notices.note_rest(TARGET, rest_s, router, now)
            else:
                notices.note_served(TARGET, sent_at, now, router)
        rng.shuffle(order)
        for router in order:
            if may_place(notices, router, now):
                notices.note_sent(TARGET, now, router)
                sent[router].append(now)
                refused = is_full_for(router, now)
                answers.append((now + (0.01 if refused else 0.1), router, now, refused))
    return sent


@pytest.mark.parametrize("rest_s", [0.3, 1.0, 3.0])
def test_target_that_turns_one_router_away_again_and_again_stays_open_for_others(notices, rest_s):
    """Guards against short rests of one router that close a target for all at each refusal."""
    sent = requests_reaching(notices, lambda router, _now: router == "r0", rest_s)
    assert min(len(sent["r1"]), len(sent["r2"])) > 1600
    assert len(sent["r0"]) <= 20 / rest_s + 4
    for at in sent["r0"]:
        in_rest = [late for late in sent["r0"] if at + 0.02 < late < at + rest_s]
        assert not in_rest


@pytest.mark.parametrize(("rest_s", "most"), [(0.3, 66), (1.0, 42), (3.0, 24)])
def test_target_that_is_full_for_all_is_tried_by_one_at_a_time(notices, rest_s, most):
    """Guards against a full target that each router may try, as it is taken to serve others."""
    sent = requests_reaching(notices, lambda _router, _now: True, rest_s)
    assert sum(map(len, sent.values())) <= most


def test_target_that_fills_up_for_all_is_closed_by_the_first_other_router(notices):
    """Guards against refusals of one router that hide those of the others."""
    sent = requests_reaching(
        notices, lambda router, now: router == "r0" or now > NOW + 10, 0.3, seconds=14.0
    )
    late = [at for times in sent.values() for at in times if at > NOW + 10.1]
    assert len(late) <= 3.9 / 0.3 + 2


def test_refusals_of_two_routers_in_turn_close_a_target_each_time(notices):
    for number in range(20):
        now, router = NOW + 5 * number, (LOCAL_ROUTER, OTHER)[number % 2]
        notices.note_rest(TARGET, 1.0, router, now)
        assert not may_place(notices, NodeId("r3"), now + 0.4)
        notices.note_served(TARGET, now + 0.6, now + 0.7, NodeId("r3"))
        assert may_place(notices, NodeId("r3"), now + 0.8)


def test_requests_on_their_way_when_a_router_is_refused_are_one_refusal(notices):
    """Guards against a target that stays open after one refusal of many requests."""
    for number in range(20):
        notices.note_rest(TARGET, 1.0, OTHER, NOW + 0.001 * number)
        notices.note_served(TARGET, NOW + 0.1, NOW + 0.2, LOCAL_ROUTER)
    notices.note_rest(TARGET, 1.0, OTHER, NOW + 2.0)
    assert not may_place(notices, LOCAL_ROUTER, NOW + 2.1)


def test_only_router_that_sends_is_tried_with_one_request_after_each_refusal(notices):
    """Guards against a router that takes its own served requests for those of others."""
    for number in range(20):
        now = NOW + 2 * number
        notices.note_rest(TARGET, 1.0, OTHER, now)
        notices.note_sent(TARGET, now + 1.0)
        assert not may_place(notices, OTHER, now + 1.1)
        notices.note_served(TARGET, now + 1.0, now + 1.2, OTHER)


def test_rests_that_ended_long_ago_are_forgotten_if_there_are_many(notices):
    for number in range(3000):
        notices.note_rest(TargetId(f"t{number}"), 1.0, LOCAL_ROUTER, NOW + number)
    assert len(notices._rests) <= 1024
    assert not notices.may_send(TargetId("t2999"), NOW + 2999.5)


def test_only_resting_targets_are_excluded(notices):
    infos = [TargetInfo(TargetId(name), ServiceName("llm"), "h:1", ZoneId("z"), 8) for name in "ab"]
    loads = [TargetLoad(info, PrefixCacheModel(1000)) for info in infos]
    assert notices.exclude_resting(loads, LOCAL_ROUTER, NOW) == loads
    notices.note_rest(infos[0].id, 3.0, LOCAL_ROUTER, NOW)
    assert notices.exclude_resting(loads, LOCAL_ROUTER, NOW) == loads[1:]
    assert notices.resting_count(NOW) == 1
