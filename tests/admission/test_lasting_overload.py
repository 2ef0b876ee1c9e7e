"""Utilisation of the engines under a lasting load of twice their capacity."""

import pytest

from tests.admission.fleet_sim import play_prompts, read_tokens
from turmerictray.core.ids import ServiceName, TargetId, TeamId, ZoneId
from turmerictray.routing.load import TargetInfo
from turmerictray.simulation.engine import SerialEngine
from turmerictray.simulation.fleet import Fleet

ENGINES = 9
READ_PER_S = 35_000.0
MEMORY_TOKENS = 600_000
CAPACITY_PER_S = ENGINES * READ_PER_S
PER_S = 120.0
"""Prompts per second. With the shared parts that the engines cache, this is twice what the engines
can read."""

SECONDS = 30
STALL_S, STALL_END_S = 5, 7
HOT = TeamId("hot")
MIN_UTILISATION = 0.9
"""Minimum utilisation of the engines, in each second from one second after the stall."""


def make_fleet() -> Fleet:
    def make(timeline) -> SerialEngine:
        return SerialEngine(timeline, READ_PER_S, MEMORY_TOKENS)

    return Fleet(1, [make] * ENGINES)


def stall(fleet: Fleet) -> None:
    """Remove a third of the engines for a while, and let one team demand five times its share."""
    lost = [TargetId(f"e{number}") for number in range(ENGINES // 3)]

    def remove_engines() -> None:
        for target in lost:
            fleet.pools[0].targets.remove(target)

    def restore_engines() -> None:
        for target in lost:
            info = TargetInfo(target, ServiceName("llm"), "h:1", ZoneId("z"), 64)
            fleet.pools[0].targets.add_or_update(info)

    fleet.timeline.at(STALL_S, remove_engines)
    fleet.timeline.at(STALL_END_S, restore_engines)
    play_prompts(fleet, PER_S / 2, STALL_END_S, 7, team=lambda rng: HOT, since=STALL_S)


def utilisation_per_second(fleet: Fleet) -> list[float]:
    """Return the utilisation of the engines in each second."""
    totals = [0.0]
    for second in range(1, SECONDS + 1):
        fleet.run(second)
        totals.append(read_tokens(fleet) / CAPACITY_PER_S)
    return [after - before for before, after in zip(totals, totals[1:], strict=False)]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_engines_are_kept_busy_after_a_stall(seed):
    """Guards against capacity that stays unused after requests were refused during a stall."""
    fleet = make_fleet()
    play_prompts(fleet, PER_S, SECONDS, seed)
    stall(fleet)
    utilisation = utilisation_per_second(fleet)
    assert sum(utilisation) / SECONDS > MIN_UTILISATION
    later = utilisation[STALL_END_S + 1 :]
    assert min(sum(pair) / 2 for pair in zip(later, later[1:], strict=False)) > MIN_UTILISATION


def test_engines_are_kept_busy_after_a_scheduler_takeover():
    """Guards against a new scheduler that starts without a measured throughput."""
    fleet = make_fleet()
    play_prompts(fleet, PER_S, SECONDS, 4)
    stall(fleet)
    fleet.timeline.at(STALL_END_S + 0.5, fleet.restart_all, True)
    utilisation = utilisation_per_second(fleet)
    assert min(utilisation[STALL_END_S + 2 :]) > MIN_UTILISATION - 0.1
    assert (
        sum(utilisation[STALL_END_S + 2 :]) / len(utilisation[STALL_END_S + 2 :]) > MIN_UTILISATION
    )
