"""Loads are reproducible, and strategies are measured on the same load."""

import pytest

from turmerictray.simulation.loads import Arrivals, Load, Scenario
from turmerictray.simulation.measure import compare_strategies, format_results
from turmerictray.simulation.strategies import STRATEGIES


@pytest.mark.parametrize("shape", list(Scenario))
def test_load_is_reproducible_and_ordered(shape):
    load = Load(shape, per_s=40, seconds=6, seed=3)
    first, second = (
        [(when, router, caller.team, caller.prompt) for when, router, caller in drawn.draw()]
        for drawn in (Arrivals(load, 4), Arrivals(load, 4))
    )
    assert first == second
    assert [when for when, *_ in first] == sorted(when for when, *_ in first)
    assert 0.5 * 40 * 6 < len(first) < 3 * 40 * 6


def test_burst_and_shift_change_the_middle_third_only():
    burst = Load(Scenario.BURST, per_s=60, seconds=9, seed=1)
    times = [when for when, _, _ in Arrivals(burst, 4).draw()]
    middle = sum(burst.disturbance_start <= when < burst.disturbance_end for when in times)
    assert middle > 0.45 * len(times)
    shift = Load(Scenario.SHIFT, per_s=60, seconds=9, seed=1)
    routers = {router for when, router, _ in Arrivals(shift, 6).draw() if shift.is_disturbed(when)}
    assert routers == {0, 1}


def test_strategies_are_compared_on_same_load():
    load = Load(Scenario.CALM, per_s=20, seconds=5, seed=2)
    results = compare_strategies(load, routers=3, engines=4, strategies=STRATEGIES[:2])
    assert [res.strategy for res in results] == ["hash", "model"]
    for res in results:
        assert 0.5 < res.utility <= 1.0
        assert 0.0 <= res.unserved_fraction < 0.2
        assert 0.0 < res.busy_fraction <= 1.01
        assert len(res.samples) == 10
    table = format_results(load, results)
    assert len(table.splitlines()) == 4


def test_cache_warmup_after_restart_reduces_prefill():
    # All routers restart and lose their state in the middle of a load within capacity.
    load = Load(Scenario.RESTART, per_s=40, seconds=9, seed=1)
    strategies = {strategy.name: strategy for strategy in STRATEGIES}
    warmed_up, cold = compare_strategies(
        load, 8, 9, (strategies["model"], strategies["model-no-recall"])
    )
    assert warmed_up.reread_fraction < 0.8 * cold.reread_fraction
