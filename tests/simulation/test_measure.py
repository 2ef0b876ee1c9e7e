"""A load is the same for every way, and its figures add up."""

import pytest

from turmerictray.simulation.loads import Arrivals, Load, Shape
from turmerictray.simulation.measure import compare, format_results
from turmerictray.simulation.ways import WAYS


@pytest.mark.parametrize("shape", list(Shape))
def test_load_is_repeatable_and_in_order(shape):
    load = Load(shape, per_s=40, seconds=6, seed=3)
    first, second = (
        [(when, router, caller.team, caller.prompt) for when, router, caller in drawn.draw()]
        for drawn in (Arrivals(load, 4), Arrivals(load, 4))
    )
    assert first == second
    assert [when for when, *_ in first] == sorted(when for when, *_ in first)
    assert 0.5 * 40 * 6 < len(first) < 3 * 40 * 6


def test_burst_and_shift_change_the_middle_third_only():
    burst = Load(Shape.BURST, per_s=60, seconds=9, seed=1)
    times = [when for when, _, _ in Arrivals(burst, 4).draw()]
    middle = sum(burst.begin <= when < burst.end for when in times)
    assert middle > 0.45 * len(times)
    shift = Load(Shape.SHIFT, per_s=60, seconds=9, seed=1)
    routers = {router for when, router, _ in Arrivals(shift, 6).draw() if shift.hot(when)}
    assert routers == {0, 1}


def test_ways_are_compared_on_the_same_callers():
    load = Load(Shape.CALM, per_s=20, seconds=5, seed=2)
    results = compare(load, routers=3, engines=4, ways=WAYS[:2])
    assert [res.way for res in results] == ["hash", "model"]
    for res in results:
        assert 0.5 < res.worth <= 1.0
        assert 0.0 <= res.refused < 0.2
        assert 0.0 < res.busy <= 1.01
        assert len(res.samples) == 10
    table = format_results(load, results)
    assert len(table.splitlines()) == 4


def test_recall_after_a_restart_saves_reading():
    # All routers lose their memory in the middle of a load that fits.
    load = Load(Shape.RESTART, per_s=40, seconds=9, seed=1)
    ways = {way.name: way for way in WAYS}
    recalled, lost = compare(load, 8, 9, (ways["model"], ways["model-no-recall"]))
    assert recalled.read_again < 0.8 * lost.read_again
