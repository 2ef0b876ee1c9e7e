"""Teams are compared by what they had lately, over the whole fleet."""

from hypothesis import given
from hypothesis import strategies as st

from turmerictray.core.ids import NodeId, TeamId
from turmerictray.fairness.recent import HALF_LIFE_S, RecentService

A, B = TeamId("a"), TeamId("b")


class Clock:
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


def make() -> tuple[RecentService, Clock]:
    clock = Clock()
    return RecentService(NodeId("r1"), clock), clock


def test_service_counts_half_after_a_half_life():
    service, clock = make()
    service.charge(A, 1000)
    clock.now += HALF_LIFE_S
    service.charge(B, 500)
    assert abs(service.normalised(A) - service.normalised(B)) < 1e-6


def test_team_served_at_a_peer_is_not_served_first_here():
    """Guards against a team that looks unserved because it is served elsewhere."""
    service, _ = make()
    service.merge("r2", 1, {A: 0.0})
    service.merge("r2", 1, {A: 5000.0})
    service.charge(B, 1000)
    assert service.normalised(B) < service.normalised(A)


def test_peer_counters_told_twice_count_once():
    service, _ = make()
    service.merge("r2", 1, {})
    for _ in range(3):
        service.merge("r2", 1, {A: 5000.0})
    service.charge(B, 5000)
    assert service.normalised(A) == service.normalised(B)


def test_what_a_peer_served_before_it_was_heard_is_not_recent():
    service, _ = make()
    service.merge("r2", 1, {A: 1e9})
    assert service.normalised(A) == 0


def test_lead_over_a_team_that_waits_elsewhere_decays():
    service, clock = make()
    service.charge(A, 100_000)
    assert service.lead(A, set()) == 0
    assert service.lead(A, {A}) == 0
    service.note_waiting("r2", {B})
    assert abs(service.lead(A, set()) - 100_000) < 1
    clock.now += 2 * HALF_LIFE_S
    service.note_waiting("r2", {B})
    assert abs(service.lead(A, set()) - 25_000) < 1
    assert service.lead(B, {A}) == 0


def test_team_that_waited_at_a_dead_peer_holds_nobody_back():
    """Guards against the last word of a dead router that a team waits there."""
    service, clock = make()
    service.note_waiting("r2", {B})
    service.charge(A, 500_000)
    assert service.lead(A, set()) > 400_000
    clock.now += 2.5
    service.charge(A, 500_000)
    assert service.lead(A, set()) == 0


@given(st.lists(st.tuples(st.sampled_from([A, B]), st.floats(0, 30), st.floats(1, 1e5))))
def test_order_is_that_of_plainly_decayed_sums(events):
    service, clock = make()
    plain = {A: 0.0, B: 0.0}
    for team, gap, tokens in events:
        clock.now += gap
        plain = {name: value * 0.5 ** (gap / HALF_LIFE_S) for name, value in plain.items()}
        service.charge(team, tokens)
        plain[team] += tokens
    if abs(plain[A] - plain[B]) > 1e-3 * (plain[A] + plain[B]):
        assert (service.normalised(A) < service.normalised(B)) == (plain[A] < plain[B])


def test_how_far_a_team_is_behind_the_best_served_one_decays():
    service, clock = make()
    service.charge(A, 90_000)
    service.charge(B, 10_000)
    assert abs(service.behind(B, service.most()) - 80_000) < 1
    assert service.behind(A, service.most()) == 0
    clock.now += HALF_LIFE_S
    assert abs(service.behind(B, service.most()) - 40_000) < 1


def test_nobody_is_behind_before_anything_was_served():
    service, _ = make()
    assert service.behind(A, service.most()) == 0


def test_the_best_served_team_is_known_at_once_and_corrected_soon():
    service, clock = make()
    service.charge(A, 10_000)
    assert abs(service.behind(B, service.most()) - 10_000) < 1
    service.charge(A, 90_000)
    assert abs(service.behind(B, service.most()) - 100_000) < 1
    service.settle(A, 90_000, 5_000)
    clock.now += 0.3
    assert service.behind(B, service.most()) < 15_000


def test_what_the_best_served_team_had_is_rescaled_with_the_rest():
    """Guards against a looked-up value that is not rescaled with the counts."""
    service, clock = make()
    service.charge(A, 10_000)
    clock.now += 41 * HALF_LIFE_S - 0.1
    service.charge(B, 10_000)
    service.most()
    clock.now += 0.05
    service.charge(A, 10_000)
    assert service.behind(A, service.most()) < 100


def test_a_lead_is_the_same_at_the_moment_of_rescaling():
    service, clock = make()
    clock.now += 39.9 * HALF_LIFE_S
    service.charge(A, 10_000)
    clock.now += 0.2 * HALF_LIFE_S
    assert service.lead(A, {A, B}) < 10_000


def test_a_team_that_begins_to_wait_starts_level_with_the_one_served_last():
    service, _ = make()
    for _ in range(5):
        service.charge(A, 100_000)
    service.join(B)
    assert service.normalised(B) == 400_000
    service.charge(B, 100_000)
    assert service.normalised(A) == service.normalised(B)
    service.join(A)
    assert service.normalised(A) == 500_000


def test_a_call_that_costs_next_to_nothing_does_not_bring_back_a_debt():
    """Guards against a level that a cheap call of a plain service lowers."""
    service, _ = make()
    for _ in range(5):
        service.charge(A, 100_000)
    service.charge(B, 1)
    service.join(TeamId("c"))
    assert service.normalised(TeamId("c")) == 400_000
