"""Tests that the fleet stays within its retry budget in every window."""

from hypothesis import given
from hypothesis import strategies as st

from turmerictray.admission.budget import RetryBudget

RATIO, FLOOR, WINDOW_S = 0.2, 56.0, 10.0

arrivals = st.lists(st.tuples(st.floats(0, 0.5), st.booleans()), max_size=300)


@given(st.lists(arrivals, min_size=1, max_size=4))
def test_retries_of_all_routers_stay_within_the_budget_of_each_window(routers):
    requests: list[float] = []
    retries: list[float] = []
    for events in routers:
        budget = RetryBudget(RATIO, FLOOR, WINDOW_S)
        budget.router_count = len(routers)
        now = 0.0
        for gap, is_request in events:
            now += gap
            if is_request:
                budget.note_request(now)
                requests.append(now)
            elif budget.try_spend(now):
                retries.append(now)
    for end in retries:
        spent = sum(end - WINDOW_S < at <= end for at in retries)
        allowed = RATIO * sum(end - WINDOW_S <= at <= end for at in requests) + FLOOR
        assert spent <= allowed


def test_retries_are_allowed_again_after_a_window():
    budget = RetryBudget(0.0, 10.0, WINDOW_S)
    assert sum(budget.try_spend(0.0) for _ in range(20)) == 8
    assert not budget.try_spend(9.9)
    assert budget.try_spend(10.1)


def test_requests_outside_the_window_are_forgotten_without_retries():
    """Guards against memory that grows with every request of a service that never retries."""
    budget = RetryBudget(RATIO, FLOOR, WINDOW_S)
    for number in range(20_000):
        budget.note_request(number * WINDOW_S / 100)
    assert len(budget._requests) <= 101
