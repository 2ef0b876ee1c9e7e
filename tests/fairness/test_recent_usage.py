"""Comparison of teams by their recent usage, over the whole fleet."""

from hypothesis import given
from hypothesis import strategies as st

from turmerictray.core.ids import NodeId, TeamId
from turmerictray.fairness.recent_usage import HALF_LIFE_S, RecentUsage

A, B = TeamId("a"), TeamId("b")


class Clock:
    """Clock that the test sets."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


def make_usage() -> tuple[RecentUsage, Clock]:
    clock = Clock()
    return RecentUsage(NodeId("r1"), clock), clock


def test_service_counts_half_after_a_half_life():
    usage, clock = make_usage()
    usage.charge(A, 1000)
    clock.now += HALF_LIFE_S
    usage.charge(B, 500)
    assert abs(usage.normalised(A) - usage.normalised(B)) < 1e-6


def test_team_served_at_a_peer_is_not_served_first_here():
    """Guards against a team that appears unserved because peers serve it."""
    usage, _ = make_usage()
    usage.merge("r2", 1, {A: 0.0})
    usage.merge("r2", 1, {A: 5000.0})
    usage.charge(B, 1000)
    assert usage.normalised(B) < usage.normalised(A)


def test_peer_counters_reported_twice_count_once():
    usage, _ = make_usage()
    usage.merge("r2", 1, {})
    for _ in range(3):
        usage.merge("r2", 1, {A: 5000.0})
    usage.charge(B, 5000)
    assert usage.normalised(A) == usage.normalised(B)


def test_usage_before_the_first_report_of_a_peer_is_not_recent():
    usage, _ = make_usage()
    usage.merge("r2", 1, {A: 1e9})
    assert usage.normalised(A) == 0


def test_excess_over_a_team_that_waits_at_a_peer_decays():
    usage, clock = make_usage()
    usage.charge(A, 100_000)
    assert usage.excess(A, set()) == 0
    assert usage.excess(A, {A}) == 0
    usage.note_waiting("r2", {B})
    assert abs(usage.excess(A, set()) - 100_000) < 1
    clock.now += 2 * HALF_LIFE_S
    usage.note_waiting("r2", {B})
    assert abs(usage.excess(A, set()) - 25_000) < 1
    assert usage.excess(B, {A}) == 0


def test_team_that_waited_at_a_crashed_peer_limits_no_other_team():
    """Guards against a crashed router's last report that a team waits there."""
    usage, clock = make_usage()
    usage.note_waiting("r2", {B})
    usage.charge(A, 500_000)
    assert usage.excess(A, set()) > 400_000
    clock.now += 2.5
    usage.charge(A, 500_000)
    assert usage.excess(A, set()) == 0


@given(st.lists(st.tuples(st.sampled_from([A, B]), st.floats(0, 30), st.floats(1, 1e5))))
def test_order_is_that_of_plainly_decayed_sums(events):
    usage, clock = make_usage()
    plain = {A: 0.0, B: 0.0}
    for team, gap, tokens in events:
        clock.now += gap
        plain = {name: value * 0.5 ** (gap / HALF_LIFE_S) for name, value in plain.items()}
        usage.charge(team, tokens)
        plain[team] += tokens
    if abs(plain[A] - plain[B]) > 1e-3 * (plain[A] + plain[B]):
        assert (usage.normalised(A) < usage.normalised(B)) == (plain[A] < plain[B])


def test_deficit_decays():
    usage, clock = make_usage()
    usage.charge(A, 90_000)
    usage.charge(B, 10_000)
    assert abs(usage.deficit(B, usage.max_usage()) - 80_000) < 1
    assert usage.deficit(A, usage.max_usage()) == 0
    clock.now += HALF_LIFE_S
    assert abs(usage.deficit(B, usage.max_usage()) - 40_000) < 1


def test_no_deficit_before_any_usage():
    usage, _ = make_usage()
    assert usage.deficit(A, usage.max_usage()) == 0


def test_max_usage_is_raised_at_once_and_lowered_after_a_refresh():
    usage, clock = make_usage()
    usage.charge(A, 10_000)
    assert abs(usage.deficit(B, usage.max_usage()) - 10_000) < 1
    usage.charge(A, 90_000)
    assert abs(usage.deficit(B, usage.max_usage()) - 100_000) < 1
    usage.settle(A, 90_000, 5_000)
    clock.now += 0.3
    assert usage.deficit(B, usage.max_usage()) < 15_000


def test_max_usage_is_rescaled_with_the_counts():
    """Guards against a cached maximum that is not rescaled with the counts."""
    usage, clock = make_usage()
    usage.charge(A, 10_000)
    clock.now += 41 * HALF_LIFE_S - 0.1
    usage.charge(B, 10_000)
    usage.max_usage()
    clock.now += 0.05
    usage.charge(A, 10_000)
    assert usage.deficit(A, usage.max_usage()) < 100


def test_excess_is_continuous_at_rescaling():
    usage, clock = make_usage()
    clock.now += 39.9 * HALF_LIFE_S
    usage.charge(A, 10_000)
    clock.now += 0.2 * HALF_LIFE_S
    assert usage.excess(A, {A, B}) < 10_000


def test_team_that_starts_waiting_is_level_with_the_last_served_one():
    usage, _ = make_usage()
    for _ in range(5):
        usage.charge(A, 100_000)
    usage.start_waiting(B)
    assert usage.normalised(B) == 400_000
    usage.charge(B, 100_000)
    assert usage.normalised(A) == usage.normalised(B)
    usage.start_waiting(A)
    assert usage.normalised(A) == 500_000


def test_cheap_request_does_not_lower_the_level_of_returning_teams():
    """Guards against a request to a plain service lowering the level of returning teams."""
    usage, _ = make_usage()
    for _ in range(5):
        usage.charge(A, 100_000)
    usage.charge(B, 1)
    usage.start_waiting(TeamId("c"))
    assert usage.normalised(TeamId("c")) == 400_000
