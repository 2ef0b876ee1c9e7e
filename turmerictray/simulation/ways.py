"""Ways of placing prompts that are compared with each other."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from turmerictray.core.ids import ZoneId
from turmerictray.routing.load import TargetLoad
from turmerictray.routing.model import PoolModel
from turmerictray.routing.place import Placement, PromptPlacementRule, place_prompt
from turmerictray.routing.prefix_cache import PrefixCacheModel
from turmerictray.routing.prompt import Prompt
from turmerictray.routing.rendezvous import rank
from turmerictray.simulation.engine import BatchEngine, EngineShape
from turmerictray.simulation.fleet import Fleet
from turmerictray.simulation.loads import Load, Shape, play

_BOUND = 1.25
"""Requests an engine may have, as a multiple of the pool's mean, before the next is taken."""

_EVENTS_S = 0.25
"""Rhythm in which routers learn what engines keep, in the way that follows their memories."""

_SLOW_SPEED = 0.3


def place_by_hash(
    loads: list[TargetLoad],
    prompt: Prompt,
    call_id: int,
    model: PoolModel,
    zone: ZoneId,
    now: float,
) -> Placement | None:
    """The first engine in the rank of the prompt's shared part that is not over the bound."""
    if not loads:
        return None
    running = {load.info.id: load.running_in_fleet(now) + len(load.reserved) for load in loads}
    bound = _BOUND * (sum(running.values()) + 1) / len(loads)
    key = prompt.affinity_key or str(call_id)
    ranked = sorted(loads, key=lambda load: rank(key, load.info.id), reverse=True)
    chosen = next((load for load in ranked if running[load.info.id] < bound), ranked[0])
    miss = prompt.input_tokens - chosen.prefix_cache.cached_tokens(prompt)
    ahead = chosen.unread_tokens(now, model.read_per_s) + chosen.reserved_tokens_except(call_id)
    return Placement(chosen, miss, ahead, model.first_event_s(ahead + miss))


@dataclass(frozen=True)
class Way:
    """A way of placing prompts, and what routers learn beside their own messages."""

    name: str
    place: PromptPlacementRule
    follows_memories: bool = False
    recalls: bool = True


WAYS = (
    Way("hash", place_by_hash),
    Way("model", place_prompt),
    Way("model-no-recall", place_prompt, recalls=False),
    Way("model-follows-memories", place_prompt, follows_memories=True),
)


def follow_memories(fleet: Fleet) -> None:
    """Tell all routers what every engine keeps, now and from now on."""
    for target, engine in fleet.engines.items():
        parts = engine.memory.parts()
        for pool in fleet.pools:
            load = pool.targets.loads[target]
            load.prefix_cache = PrefixCacheModel(load.prefix_cache.memory_tokens)
            load.prefix_cache.note_parts(parts)
    fleet.timeline.at(fleet.now + _EVENTS_S, follow_memories, fleet)


def play_way(
    way: Way, load: Load, routers: int, engines: int, watch: Callable[[Fleet], None]
) -> Fleet:
    """Play a load on a new fleet that places prompts in one way; returns the fleet afterwards.

    Parameters
    ----------
    watch : callable
        Called with the fleet before the load begins, to set what is measured during the run.
    """
    shapes = [EngineShape()] * engines
    if load.shape is Shape.SLOW_ENGINE:
        shapes[0] = replace(shapes[0], speed=_SLOW_SPEED)
    makers = [lambda timeline, shape=shape: BatchEngine(timeline, shape) for shape in shapes]
    fleet = Fleet(routers, makers, place=way.place, seed=load.seed)
    if way.follows_memories:
        follow_memories(fleet)
    watch(fleet)

    def trouble() -> None:
        if load.shape is Shape.RESTART:
            fleet.restart_all(way.recalls)

    play(fleet, load, trouble)
    return fleet
