"""Simulated fleets whose engines only read prompts, and random load on them."""

import random

from turmerictray.core.ids import TeamId
from turmerictray.routing.prompt import PartId, Prompt, PromptPart
from turmerictray.simulation.engine import SerialEngine
from turmerictray.simulation.fleet import Caller, Fleet

OBJECTIVE_S = 0.8
_READ_PER_S = 35_000.0
_MEMORY_TOKENS = 600_000


def reading_fleet(routers: int, engines: int) -> Fleet:
    """Return a fleet of engines that read prompts one at a time in order of arrival."""

    def make(timeline) -> SerialEngine:
        return SerialEngine(timeline, _READ_PER_S, _MEMORY_TOKENS)

    return Fleet(routers, [make] * engines)


class LossyEngine(SerialEngine):
    """Engine that never answers every ``lost_one_in``-th request."""

    lost_one_in = 50

    def __init__(self, timeline) -> None:
        super().__init__(timeline, _READ_PER_S, _MEMORY_TOKENS)
        self._received = 0

    def submit(self, run) -> None:
        self._received += 1
        if self._received % self.lost_one_in == 0:
            run.on_first = run.on_done = lambda: None
        super().submit(run)


def in_time(fleet: Fleet, since: float = 0.0) -> float:
    """Return the fraction of requests whose first event came within the latency objective."""
    callers = [caller for caller in fleet.callers if caller.arrived_at >= since]
    return sum(caller.in_time for caller in callers) / max(len(callers), 1)


def read_tokens(fleet: Fleet) -> int:
    """Return the number of tokens that all engines have read."""
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
    """Schedule requests at random times, each with one of ``subjects`` shared prompt parts.

    Parameters
    ----------
    fleet : Fleet
    per_s : float
        Mean number of requests per second.
    seconds : float
        Virtual time at which the load ends.
    seed : int
    subjects : int
        Number of different shared prompt parts.
    team : callable
        Returns the team of a request, given the random number generator.
    router : callable or None
        Returns the index of the router for a team; None for random routers.
    since : float
        Virtual time at which the load begins.
    """
    rng = random.Random(seed)
    when = since
    while (when := when + rng.expovariate(per_s)) < seconds:
        subject = rng.randrange(subjects)
        shared = PromptPart(PartId(f"s{subject}"), 8_000 + 100 * (subject % 90))
        unshared = PromptPart(PartId(f"o{when}"), int(min(20_000, rng.lognormvariate(7.8, 0.9))))
        prompt = Prompt((shared, unshared), shared.tokens + unshared.tokens, 100)
        name = team(rng)
        at = rng.randrange(len(fleet.pools)) if router is None else router(name)
        fleet.timeline.at(when, fleet.submit, at, Caller(name, when, prompt, OBJECTIVE_S))
