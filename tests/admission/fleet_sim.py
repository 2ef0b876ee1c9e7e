"""Fleets whose engines only read, and a plain load on them."""

import random

from turmerictray.core.ids import TeamId
from turmerictray.routing.prompt import Part, PartId, Prompt
from turmerictray.simulation.engine import SerialEngine
from turmerictray.simulation.fleet import Caller, Fleet

OBJECTIVE_S = 0.8
_READ_PER_S = 35_000.0
_MEMORY_TOKENS = 600_000


def reading_fleet(routers: int, engines: int) -> Fleet:
    """A fleet of engines that read prompts one after the other in order of arrival."""

    def make(timeline) -> SerialEngine:
        return SerialEngine(timeline, _READ_PER_S, _MEMORY_TOKENS)

    return Fleet(routers, [make] * engines)


class LossyEngine(SerialEngine):
    """A reading engine of which some answers never come, by the order of its requests."""

    lost_one_in = 50

    def __init__(self, timeline) -> None:
        super().__init__(timeline, _READ_PER_S, _MEMORY_TOKENS)
        self._taken = 0

    def submit(self, run) -> None:
        self._taken += 1
        if self._taken % self.lost_one_in == 0:
            run.on_first = run.on_done = lambda: None
        super().submit(run)


def in_time(fleet: Fleet, since: float = 0.0) -> float:
    """Share of requests whose first event came within the objective."""
    asked = [caller for caller in fleet.callers if caller.arrived >= since]
    return sum(caller.in_time for caller in asked) / max(len(asked), 1)


def read_tokens(fleet: Fleet) -> int:
    """Tokens that all engines have read."""
    return sum(engine.read_tokens for engine in fleet.engines.values())


def play_prompts(
    fleet: Fleet,
    per_s: float,
    seconds: float,
    seed: int,
    subjects: int = 100,
    team=lambda rng: TeamId(f"t{rng.randrange(8)}"),
    router=None,
    since: float = 0.0,
) -> None:
    """Schedule requests at random times, each on one of ``subjects`` shared parts."""
    rng = random.Random(seed)
    when = since
    while (when := when + rng.expovariate(per_s)) < seconds:
        subject = rng.randrange(subjects)
        shared = Part(PartId(f"s{subject}"), 8_000 + 100 * (subject % 90))
        own = Part(PartId(f"o{when}"), int(min(20_000, rng.lognormvariate(7.8, 0.9))))
        prompt = Prompt((shared, own), shared.tokens + own.tokens, 100)
        name = team(rng)
        at = rng.randrange(len(fleet.pools)) if router is None else router(name)
        fleet.timeline.at(when, fleet.ask, at, Caller(name, when, prompt, OBJECTIVE_S))
