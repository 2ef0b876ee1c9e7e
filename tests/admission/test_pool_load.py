"""Simulations of several routers that share engines, under demanding loads."""

import pytest

from tests.admission.fleet_sim import (
    OBJECTIVE_S,
    LossyEngine,
    in_time,
    play_prompts,
    read_tokens,
    reading_fleet,
)
from turmerictray.core.ids import TeamId
from turmerictray.simulation.fleet import GOSSIP_INTERVAL_S, Fleet

ROUTERS, ENGINES = 8, 9


def test_light_load_is_in_time_and_parts_are_read_about_once():
    fleet = reading_fleet(ROUTERS, ENGINES)
    play_prompts(fleet, per_s=20, seconds=30, seed=1)
    fleet.run(40)
    assert in_time(fleet, since=8) > 0.95
    input_tokens = sum(caller.prompt.input_tokens for caller in fleet.callers)
    unshared_tokens = sum(caller.prompt.parts[-1].tokens for caller in fleet.callers)
    assert read_tokens(fleet) - unshared_tokens < 0.35 * (input_tokens - unshared_tokens)


def test_overload_does_not_make_all_answers_late():
    # If all requests of an overloaded pool waited until their deadline, every answer would be late.
    # Requests that can no longer be in time must be refused, so that the others are in time. 0.32
    # of all requests are in time; 0.20 if each waits for its whole objective, and 0.28 if engines
    # have 0.25 s of reading queued instead of 0.08 s.
    fleet = reading_fleet(ROUTERS, ENGINES)
    play_prompts(fleet, per_s=160, seconds=25, seed=2)
    fleet.run(35)
    late = [c for c in fleet.callers if c.first_at is not None and not c.in_time]
    served = [c for c in fleet.callers if c.first_at is not None]
    assert in_time(fleet, since=5) > 0.29
    assert len(late) < 0.4 * len(served)


def test_refusals_come_before_the_objective_has_passed():
    fleet = reading_fleet(ROUTERS, ENGINES)
    play_prompts(fleet, per_s=200, seconds=15, seed=3)
    fleet.run(25)
    waits = [c.refused_at - c.arrived_at for c in fleet.callers if c.refused_at is not None]
    assert waits
    assert max(waits) <= OBJECTIVE_S + GOSSIP_INTERVAL_S


def test_every_request_ends():
    fleet = reading_fleet(ROUTERS, ENGINES)
    play_prompts(fleet, per_s=120, seconds=10, seed=4)
    fleet.run(60)
    assert all(c.first_at is not None or c.refused_at is not None for c in fleet.callers)
    assert all(not load.reserved for pool in fleet.pools for load in pool.targets.loads.values())


def test_a_popular_part_is_read_on_several_engines():
    # Most prompts share one of two parts. The engines that cache them must not serve all of these
    # prompts while the others idle; some of the parts must be read again on other engines.
    fleet = reading_fleet(ROUTERS, ENGINES)
    play_prompts(fleet, per_s=60, seconds=20, seed=5, subjects=2)
    fleet.run(30)
    assert in_time(fleet, since=6) > 0.85
    busy = [engine for engine in fleet.engines.values() if engine.read_tokens > 200_000]
    assert len(busy) >= 4


def test_cached_parts_survive_a_restart_of_all_routers():
    # All routers are killed under a sustainable load and restart without state. Prompts then go to
    # the least loaded engine instead of the one that caches their part. Reading the parts again
    # doubles the work, and callers are late or refused for seconds. The lists of cached parts that
    # the engines return on request suffice to avoid this: 0.84 of the callers in the next four
    # seconds are in time instead of 0.24, and 0.88 without a restart.
    def in_time_after_restart(recalled: bool) -> float:
        fleet = reading_fleet(ROUTERS, ENGINES)
        play_prompts(fleet, per_s=50, seconds=19, seed=7, subjects=200)
        fleet.timeline.at(15.0, fleet.restart_all, recalled)
        fleet.run(30)
        return in_time(fleet, since=15)

    assert in_time_after_restart(recalled=True) > 0.75
    assert in_time_after_restart(recalled=False) < 0.4


@pytest.mark.parametrize("seed", [6, 7])
def test_a_team_whose_callers_use_one_router_gets_its_share(seed):
    # All callers of one team use one router, those of another team the seven others. Every router
    # dispatches to any engine that appears to have capacity, so the second team would receive
    # several times as much service. To prevent this, its routers use smaller windows, and the
    # router of the first team uses a larger one: the first team receives 0.94 and 0.93 of the other
    # team's service instead of 0.67 and 0.71.
    lone, spread = TeamId("lone"), TeamId("spread")
    fleet = reading_fleet(ROUTERS, ENGINES)
    numbers = iter(range(10**9))
    play_prompts(
        fleet,
        per_s=180,
        seconds=20,
        seed=seed,
        team=lambda rng: lone if rng.random() < 0.5 else spread,
        router=lambda name: 0 if name == lone else 1 + next(numbers) % (ROUTERS - 1),
    )
    fleet.run(30)

    def served(team) -> float:
        done = [c for c in fleet.callers if c.team == team and c.first_at and c.arrived_at > 4]
        return sum(caller.prompt.cost for caller in done)

    assert served(lone) > 0.85 * served(spread)


def test_lost_answers_do_not_make_engines_unavailable():
    # Every engine loses one answer in fifty. A router that waits for such an answer until the
    # caller's deadline considers the engine unresponsive and busy, soon all of them. This fault
    # reduced the callers in time from 0.57 to 0.29 and raised the idle time of the engines from
    # 0.16 to 0.44.
    fleet = Fleet(6, [LossyEngine] * ENGINES)
    play_prompts(fleet, per_s=90, seconds=25, seed=1)
    fleet.run(30)
    assert in_time(fleet, since=5) > 0.5


def test_engines_do_not_idle_between_load_reports_of_peers():
    # The load of six routers is 0.9 of the engines' capacity. If the last load reports of peers are
    # taken unchanged, engines appear busy for up to 0.25 s after they have finished, and requests
    # wait needlessly. This fault reduced the callers in time from 0.75 and 0.71 to 0.66 and 0.67,
    # and the utilisation of the engines from 0.94 to 0.88.
    shares = []
    for seed in (1, 2):
        fleet = reading_fleet(6, ENGINES)
        play_prompts(fleet, per_s=90, seconds=25, seed=seed)
        fleet.run(30)
        shares.append(in_time(fleet, since=5))
    assert sum(shares) / 2 > 0.7, shares


def test_a_single_scheduler_serves_more_requests_in_time():
    # Eight routers exchange load reports four times per second, so several of them dispatch to the
    # same free engine at once. Requests then wait at the engine, where they can be neither
    # reordered nor refused. A single scheduler knows everything that it has dispatched. Both runs
    # use the same engines and the same load, which is twice their capacity.
    shares = {}
    for routers in (ROUTERS, 1):
        fleet = reading_fleet(routers, ENGINES)
        play_prompts(fleet, per_s=160, seconds=25, seed=2)
        fleet.run(35)
        served = [c for c in fleet.callers if c.first_at is not None]
        shares[routers] = in_time(fleet, since=5), sum(c.in_time for c in served) / len(served)
    print(shares)
    assert shares[1][0] > shares[ROUTERS][0]
    assert shares[1][1] > shares[ROUTERS][1]
