"""Placement strategies compared by the simulation."""

from collections.abc import Callable, Collection
from dataclasses import dataclass, replace

from turmerictray.core.ids import ZoneId
from turmerictray.routing.load import TargetLoad
from turmerictray.routing.model import PoolModel
from turmerictray.routing.place import Placement, PromptPlacementRule, place_prompt
from turmerictray.routing.prefix_cache import PrefixCacheModel
from turmerictray.routing.prompt import Prompt
from turmerictray.routing.rendezvous import rank
from turmerictray.simulation.engine import BatchEngine, EngineProfile
from turmerictray.simulation.fleet import Fleet
from turmerictray.simulation.loads import Load, Scenario, run_load

_MAX_LOAD_RATIO = 1.25
"""Maximum number of requests on an engine, as a multiple of the mean over the pool.

Above it, the next engine in the ranking is tried.
"""

_CACHE_SYNC_INTERVAL_S = 0.25
"""Interval at which routers receive the contents of the engines' caches.

Used by strategies with ``syncs_cache_models``.
"""

_SLOW_ENGINE_SPEED = 0.3


def place_by_hash(
    loads: list[TargetLoad],
    prompt: Prompt,
    call_id: int,
    model: PoolModel,
    zone: ZoneId,
    now: float,
    _other_sources: Collection[TargetLoad] = (),
) -> Placement | None:
    """Choose an engine by consistent hashing with bounded loads.

    Engines are ranked by a rendezvous hash of the prompt's shared part; the first one below
    ``_MAX_LOAD_RATIO`` is chosen, or the first of all if none is.
    """
    if not loads:
        return None
    running = {load.info.id: load.running_in_fleet(now) + len(load.reserved) for load in loads}
    max_running = _MAX_LOAD_RATIO * (sum(running.values()) + 1) / len(loads)
    key = prompt.affinity_key or str(call_id)
    ranked = sorted(loads, key=lambda load: rank(key, load.info.id), reverse=True)
    chosen = next((load for load in ranked if running[load.info.id] < max_running), ranked[0])
    miss = prompt.input_tokens - chosen.prefix_cache.cached_tokens(prompt)
    ahead = chosen.unread_tokens(now, model.read_per_s) + chosen.reserved_tokens_except(call_id)
    return Placement(chosen, miss, ahead, model.first_event_s(ahead + miss))


@dataclass(frozen=True)
class PlacementStrategy:
    """A placement rule and the additional information that routers receive.

    Attributes
    ----------
    name : str
    place : callable
        Rule that chooses an engine for a prompt.
    syncs_cache_models : bool
        Whether routers regularly receive the contents of the engines' caches.
    warms_up_caches : bool
        Whether restarted routers query the engines for their cached parts.
    """

    name: str
    place: PromptPlacementRule
    syncs_cache_models: bool = False
    warms_up_caches: bool = True


STRATEGIES = (
    PlacementStrategy("hash", place_by_hash),
    PlacementStrategy("model", place_prompt),
    PlacementStrategy("model-no-recall", place_prompt, warms_up_caches=False),
    PlacementStrategy("model-follows-memories", place_prompt, syncs_cache_models=True),
)


def sync_cache_models(fleet: Fleet) -> None:
    """Send the cache contents of all engines to all routers, now and periodically."""
    for target, engine in fleet.engines.items():
        parts = engine.cache.cached_parts()
        for pool in fleet.pools:
            load = pool.targets.loads[target]
            load.prefix_cache = PrefixCacheModel(load.prefix_cache.memory_tokens)
            load.prefix_cache.note_parts(parts)
    fleet.timeline.at(fleet.now + _CACHE_SYNC_INTERVAL_S, sync_cache_models, fleet)


def run_strategy(
    strategy: PlacementStrategy,
    load: Load,
    routers: int,
    engines: int,
    before_start: Callable[[Fleet], None],
) -> Fleet:
    """Run a load on a new fleet with one placement strategy and return the fleet.

    Parameters
    ----------
    before_start : callable
        Called with the fleet before the load starts, to set up measurements.
    """
    profiles = [EngineProfile()] * engines
    if load.scenario is Scenario.SLOW_ENGINE:
        profiles[0] = replace(profiles[0], speed=_SLOW_ENGINE_SPEED)
    factories = [
        lambda timeline, profile=profile: BatchEngine(timeline, profile) for profile in profiles
    ]
    fleet = Fleet(routers, factories, place=strategy.place, seed=load.seed)
    if strategy.syncs_cache_models:
        sync_cache_models(fleet)
    before_start(fleet)

    def disturb() -> None:
        if load.scenario is Scenario.RESTART:
            fleet.restart_all(strategy.warms_up_caches)

    run_load(fleet, load, disturb)
    return fleet
