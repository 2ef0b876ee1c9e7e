"""Cost of scheduling decisions under overload."""

from tests.admission.fleet_sim import in_time, play_prompts
from turmerictray.routing.place import place_prompt
from turmerictray.simulation.engine import SerialEngine
from turmerictray.simulation.fleet import Fleet

ENGINES = 45
READ_PER_S = 60_000.0
MEMORY_TOKENS = 600_000
PER_S, SECONDS = 1_000.0, 2.0

MAX_ATTEMPTS_PER_REQUEST = 4.0
"""Maximum placement attempts per request. The smallest machines have half a core. A quarter of that
for decisions is 0.13 ms for each of 1,000 requests per second, and one attempt over 45 engines
takes 0.1 ms or more. A request needs an attempt on arrival and another when an engine has capacity
for it; twice as many are allowed."""


def test_placement_attempts_do_not_grow_with_the_number_of_messages():
    """Guards against placement attempts over all engines for every message."""
    looks = 0

    def counted(*args):
        nonlocal looks
        looks += 1
        return place_prompt(*args)

    def make(timeline) -> SerialEngine:
        return SerialEngine(timeline, READ_PER_S, MEMORY_TOKENS)

    fleet = Fleet(1, [make] * ENGINES, place=counted)
    play_prompts(fleet, per_s=PER_S, seconds=SECONDS, seed=1, subjects=400)
    fleet.run(SECONDS + 1)
    assert looks <= MAX_ATTEMPTS_PER_REQUEST * len(fleet.callers)
    assert in_time(fleet) > 0.25
