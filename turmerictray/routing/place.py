"""Choice of a target by the caller's expected wait and the cost to the whole pool."""

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from typing import NamedTuple

from turmerictray.core.ids import SoftwareVersion, ZoneId
from turmerictray.routing.load import LoadSnapshot, TargetInfo, TargetLoad, TargetPhase
from turmerictray.routing.model import PoolModel
from turmerictray.routing.prompt import Prompt
from turmerictray.routing.rendezvous import rank

_REREAD_WEIGHT_IDLE = 2.0
_REREAD_WEIGHT_BUSY = 6.0
_BUSY_QUEUE_S = 0.35
"""Cost of reading shared parts again beyond the caller's own wait, as a multiple of the reading
time, which delays every request queued behind it. On an idle engine few requests are affected; on
one with :data:`_BUSY_QUEUE_S` of reading queued, all are, and each prompt that is read again there
lengthens the very queue that diverted it."""

_NOT_PREFERRED_PENALTY_S = 0.1
"""Penalty for a target other than the first choice of a prompt whose shared parts no engine caches
yet. Routers that receive such a prompt at the same time agree on where to read it, unless that
engine's queue is longer by more than this."""

_REMOTE_ZONE_PENALTY_S = 0.004
"""Penalty for the latency and traffic between zones; decides only between otherwise equal
targets."""

_FULL_BATCH_DELAY_S = 0.15
"""Delay added by a full batch: each running request makes every step longer."""

_FAILED_ANSWER_COST_S = 2.0
"""Cost of a failed answer to a caller: about the time of a retry."""

_OVERDUE_GRACE_S = 1.0
"""Tolerance for overdue first events. On a healthy engine one first event in thirty is later than
estimated by this much, because of requests from peers that are not reported yet. A shorter
tolerance diverts prompts from the engines that cache them."""

_MIN_FETCH_TOKENS = 500
"""Fewer tokens take less time to read than a transfer takes to start."""

_REMOTE_ZONE_FETCH_FACTOR = 2.0
"""Factor by which a transfer between zones takes longer."""

_FETCH_WEIGHT = 2.0
"""Cost of a transfer beyond the caller's own wait, as a multiple of its time: it delays the
transfers behind it on both links. It is lower than for reading again, which delays all requests."""

_MAX_SOURCE_FAILURE_RATE = 0.3
"""Parts are not fetched from an engine with a higher failure rate, as the transfer may hang as
well."""

_UNUSED_READ_RATE = 1.0
"""Plain services read no prompts, so any rate will do."""

PLAIN_SERVICE_TIME_S = 0.05
"""Assumed time of a request to a plain service; only its ratio to the other terms matters."""


@dataclass(frozen=True)
class Placement:
    """Target chosen for a request.

    Attributes
    ----------
    load : TargetLoad
    miss_tokens : int
        Tokens that the target would have to read for the request.
    ahead_tokens : int
        Tokens that it would have to read before that.
    expected_s : float
        Expected seconds until the first event.
    source : TargetInfo or None
        Engine from which the target is to fetch the parts that it does not cache.
    """

    load: TargetLoad
    miss_tokens: int
    ahead_tokens: int
    expected_s: float
    source: TargetInfo | None = None


PromptPlacementRule = Callable[
    [list[TargetLoad], Prompt, int, PoolModel, ZoneId, float, Collection[TargetLoad]],
    Placement | None,
]
"""Function that chooses an engine, with the parameters of :func:`place_prompt`."""


def candidates(
    loads: Iterable[TargetLoad],
    exclude: frozenset[str],
    now: float,
    home_zones: frozenset[ZoneId] | None = None,
    version: SoftwareVersion | None = None,
) -> list[TargetLoad]:
    """Return the targets that may take a request.

    Unreachable targets are included only if no other is left. ``home_zones`` are the availability
    zones in which the request may run, and ``version`` is the software version that must run it;
    None for all.
    """
    ready = [
        load
        for load in loads
        if load.info.phase is TargetPhase.READY and load.info.id not in exclude
    ]
    if home_zones is not None:
        ready = [load for load in ready if load.info.zone in home_zones]
    if version is not None:
        ready = [load for load in ready if load.info.version == version]
    reachable = [load for load in ready if not load.is_avoided(now)]
    return reachable or ready


class _EngineWork(NamedTuple):
    """Work that an engine would have to do for a prompt.

    Attributes
    ----------
    miss_tokens : int
        Tokens that it would have to read.
    reread_tokens : int
        Tokens of shared parts among them.
    source : TargetLoad or None
        Engine from which it would fetch the parts that it does not cache.
    fetch_s : float
        Seconds that the transfer would take.
    """

    miss_tokens: int
    reread_tokens: int
    source: TargetLoad | None = None
    fetch_s: float = 0.0


def place_prompt(
    loads: list[TargetLoad],
    prompt: Prompt,
    call_id: int,
    model: PoolModel,
    zone: ZoneId,
    now: float,
    other_sources: Collection[TargetLoad] = (),
) -> Placement | None:
    """Return the placement of ``prompt`` with the lowest cost, or None without an engine.

    ``other_sources`` are engines that get no requests from here, but from which cached parts may be
    fetched.

    Requests that wait in this router for an engine count as work before it, so that a long queue
    for the engine that caches a popular part diverts some of them to engines that read it again.
    """
    cached = {load.info.id: load.prefix_cache.cached_tokens(prompt) for load in loads}
    shared = sum(part.tokens for part in prompt.shared)
    preferred = _preferred_engine(loads, prompt, cached)
    sources = {
        version: _source_of_version(version, loads, other_sources, prompt, cached, model, now)
        for version in {load.info.version for load in loads}
    }
    best: tuple[float, float, TargetLoad, _EngineWork] | None = None
    for load in loads:
        source = sources[load.info.version]
        work = _engine_work(load, prompt.input_tokens, shared, cached, source, model)
        cost, expected = _engine_cost(load, work, call_id, model, zone, now)
        if preferred is not None and load.info.id != preferred:
            cost += _NOT_PREFERRED_PENALTY_S
        if best is None or cost < best[0]:
            best = (cost, expected, load, work)
    return _placement(*best[1:], model, now) if best else None


def _placement(
    expected_s: float, load: TargetLoad, work: _EngineWork, model: PoolModel, now: float
) -> Placement:
    ahead = load.load_snapshot(now, model.read_per_s).unread_tokens
    source = work.source.info if work.source is not None else None
    return Placement(load, work.miss_tokens, ahead, expected_s, source)


def _preferred_engine(
    loads: list[TargetLoad], prompt: Prompt, cached: dict[str, int]
) -> str | None:
    """Return the preferred target for a prompt that no engine caches; None if one does."""
    key = prompt.affinity_key
    if key is None or not loads or any(cached.values()):
        return None
    return max(loads, key=lambda load: rank(key, load.info.id)).info.id


def _source_of_version(
    version: SoftwareVersion,
    loads: list[TargetLoad],
    other_sources: Collection[TargetLoad],
    prompt: Prompt,
    cached: dict[str, int],
    model: PoolModel,
    now: float,
) -> TargetLoad | None:
    """Return the engine from which those of a software version may fetch a prompt's parts.

    What one version writes, also into its cache, does not fit another.
    """
    same = [load for load in loads if load.info.version == version]
    source = _fetch_source(same, cached, model, now)
    shared = sum(part.tokens for part in prompt.shared)
    if not model.fetch_per_s or (source is not None and cached[source.info.id] >= shared):
        return source
    return _better_source(source, version, other_sources, prompt, cached, model, now)


def _fetch_source(
    loads: list[TargetLoad], cached: dict[str, int], model: PoolModel, now: float
) -> TargetLoad | None:
    """Return the engine that caches most of a prompt's parts, from which others may fetch them."""
    best = max(loads, key=lambda load: cached[load.info.id], default=None)
    if best is None or cached[best.info.id] < _MIN_FETCH_TOKENS:
        return None
    is_failing = best.load_snapshot(now, model.read_per_s).failure_rate >= _MAX_SOURCE_FAILURE_RATE
    return None if is_failing else best


def _better_source(
    source: TargetLoad | None,
    version: SoftwareVersion,
    other_sources: Collection[TargetLoad],
    prompt: Prompt,
    cached: dict[str, int],
    model: PoolModel,
    now: float,
) -> TargetLoad | None:
    """Return the source that caches most of the prompt's parts; add its tokens to ``cached``."""
    most = max(_MIN_FETCH_TOKENS - 1, cached[source.info.id] if source is not None else 0)
    for load in other_sources:
        if load.info.version != version or load.info.id in cached or load.is_avoided(now):
            continue
        tokens = load.prefix_cache.cached_tokens(prompt)
        if tokens <= most or not _is_usable_source(load, model, now):
            continue
        source, most = load, tokens
    if source is not None:
        cached[source.info.id] = most
    return source


def _is_usable_source(load: TargetLoad, model: PoolModel, now: float) -> bool:
    snapshot = load.load_snapshot(now, model.read_per_s)
    return (
        snapshot.failure_rate < _MAX_SOURCE_FAILURE_RATE and snapshot.overdue_s < _OVERDUE_GRACE_S
    )


def _engine_work(
    load: TargetLoad,
    input_tokens: int,
    shared: int,
    cached: dict[str, int],
    source: TargetLoad | None,
    model: PoolModel,
) -> _EngineWork:
    local = cached[load.info.id]
    if source is not None and model.fetch_per_s:
        fetched = cached[source.info.id] - local
        fetch_s = fetched / model.fetch_per_s
        if source.info.zone != load.info.zone:
            fetch_s *= _REMOTE_ZONE_FETCH_FACTOR
        if fetched >= _MIN_FETCH_TOKENS and fetch_s < fetched / model.read_per_s:
            local += fetched
            return _EngineWork(input_tokens - local, shared - local, source, fetch_s)
    return _EngineWork(input_tokens - local, shared - local)


def _engine_cost(
    load: TargetLoad,
    work: _EngineWork,
    call_id: int,
    model: PoolModel,
    zone: ZoneId,
    now: float,
) -> tuple[float, float]:
    """Return the cost of the request at an engine, and the expected seconds to its first event."""
    to_read = work.miss_tokens
    snapshot = load.load_snapshot(now, model.read_per_s)
    ahead = snapshot.unread_tokens
    reserved = load.reserved_tokens_except(call_id)
    expected = model.first_event_s(ahead + to_read) * load.slowness + work.fetch_s
    queue_s = reserved / model.read_per_s * load.slowness
    busy = min(1.0, (ahead + reserved) / (_BUSY_QUEUE_S * model.read_per_s))
    weight = _REREAD_WEIGHT_IDLE + (_REREAD_WEIGHT_BUSY - _REREAD_WEIGHT_IDLE) * busy
    reread = weight * work.reread_tokens / model.read_per_s + _FETCH_WEIGHT * work.fetch_s
    utilisation = snapshot.running / max(load.info.slots, 1)
    cost = expected + queue_s + reread + _FULL_BATCH_DELAY_S * utilisation * load.slowness
    return cost + _health_penalty(load, snapshot, zone), expected


def _health_penalty(load: TargetLoad, snapshot: LoadSnapshot, zone: ZoneId) -> float:
    cost = _FAILED_ANSWER_COST_S * snapshot.failure_rate
    cost += max(0.0, snapshot.overdue_s - _OVERDUE_GRACE_S)
    return cost if load.info.zone == zone else cost + _REMOTE_ZONE_PENALTY_S


def place_plain(
    loads: list[TargetLoad], call_id: int, zone: ZoneId, now: float
) -> Placement | None:
    """Return the placement on the target of a plain service with the shortest expected wait.

    The search starts at a different target for each call. With a fixed order, the first target
    would get the requests of all routers that have nothing else in progress.
    """
    best: tuple[float, Placement] | None = None
    start = call_id % max(len(loads), 1)
    for load in loads[start:] + loads[:start]:
        snapshot = load.load_snapshot(now, _UNUSED_READ_RATE)
        utilisation = snapshot.running / max(load.info.slots, 1)
        expected = PLAIN_SERVICE_TIME_S * load.slowness * (1 + utilisation)
        cost = expected + _health_penalty(load, snapshot, zone)
        if best is None or cost < best[0]:
            best = (cost, Placement(load, 0, 0, expected))
    return best[1] if best else None
