"""Choosing a target by what the caller would wait there and what the pool would lose."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import NamedTuple

from turmerictray.core.ids import ZoneId
from turmerictray.routing.load import Standing, TargetInfo, TargetLoad, TargetPhase
from turmerictray.routing.model import PoolModel
from turmerictray.routing.prompt import Prompt
from turmerictray.routing.rendezvous import rank

_AGAIN_IDLE = 2.0
_AGAIN_BUSY = 6.0
_BUSY_S = 0.35
"""What reading costs beyond the caller's own wait, as a multiple of its time: the time is taken
from all requests that come behind it. On an idle engine few do; on one with :data:`_BUSY_S` of
reading before it, all of them, and every prompt that is read again there makes the line longer that
sent it there."""

_AWAY_S = 0.1
"""What a target other than its first choice costs a prompt whose shared parts no engine keeps yet.
Routers that see such a prompt at the same moment agree on where to read it, unless that engine is
behind by more than this."""

_ZONE_S = 0.004
"""A longer way and bytes between zones; decides only between targets that are otherwise equal."""

_BATCH_S = 0.15
"""What a full batch adds: each running request makes every step longer."""

_FAILURE_S = 2.0
"""What a failed answer costs a caller: about the time of asking again."""

_OVERDUE_GRACE_S = 1.0
"""On a well engine one first event in thirty comes later than estimated by this much, because peers
sent work that is not known yet. A shorter grace sends prompts away from where they are kept."""

_LEAST_FETCHED_TOKENS = 500
"""Fewer tokens are read in less time than a transfer takes to begin."""

_OTHER_ZONE_FETCH = 2.0
"""A transfer between zones takes twice as long."""

_FETCH_WEIGHT = 2.0
"""What a transfer costs beyond the caller's own wait, as a multiple of its time: it holds up the
transfers behind it on both links. Less than reading again, which holds up all requests."""

_MOST_SOURCE_FAILURES = 0.3
"""An engine that fails more of its requests is not fetched from: the transfer may hang as well."""

_NO_READING = 1.0
"""Plain services read no prompts; any rate will do."""

PLAIN_WORK_S = 0.05
"""Time a plain service takes for a request; only its ratio to the other terms matters."""


@dataclass(frozen=True)
class Placement:
    """A target for a request.

    Attributes
    ----------
    load : TargetLoad
    miss_tokens : int
        Tokens the target would have to read for it.
    ahead_tokens : int
        Tokens it would have to read before.
    expected_s : float
        Seconds until its first event.
    source : TargetInfo or None
        The engine from which the target is to fetch the parts that it doesn't keep.
    """

    load: TargetLoad
    miss_tokens: int
    ahead_tokens: int
    expected_s: float
    source: TargetInfo | None = None


PlacePrompt = Callable[[list[TargetLoad], Prompt, int, PoolModel, ZoneId, float], Placement | None]
"""A way of choosing an engine, with the parameters of :func:`place_prompt`."""


def candidates(
    loads: Iterable[TargetLoad], exclude: frozenset[str], now: float
) -> list[TargetLoad]:
    """The targets that may take a request; ones that could not be reached only as a last resort."""
    ready = [
        load
        for load in loads
        if load.info.phase is TargetPhase.READY and load.info.id not in exclude
    ]
    reachable = [load for load in ready if not load.avoided(now)]
    return reachable or ready


class _Offer(NamedTuple):
    """What an engine would have to do for a prompt.

    Attributes
    ----------
    miss_tokens : int
        Tokens that it has to read.
    again_tokens : int
        Of these, tokens of shared parts.
    source : TargetLoad or None
        The engine from which it fetches what it doesn't keep itself.
    fetch_s : float
        Seconds that this takes.
    """

    miss_tokens: int
    again_tokens: int
    source: TargetLoad | None = None
    fetch_s: float = 0.0


def place_prompt(
    loads: list[TargetLoad],
    prompt: Prompt,
    call_id: int,
    model: PoolModel,
    zone: ZoneId,
    now: float,
) -> Placement | None:
    """The engine where ``prompt`` costs least, or None without an engine.

    Requests that wait in this router for an engine count as work before it, so that a long line
    for the one that keeps a popular part sends some of them to read it elsewhere.
    """
    kept = {load.info.id: load.kept.kept_tokens(prompt) for load in loads}
    shared = sum(part.tokens for part in prompt.shared)
    first = _first_choice(loads, prompt, kept)
    source = _source(loads, kept, model, now)
    best: tuple[float, float, TargetLoad, _Offer] | None = None
    for load in loads:
        offer = _offer(load, prompt.input_tokens, shared, kept, source, model)
        cost, expected = _engine_cost(load, offer, call_id, model, zone, now)
        if first is not None and load.info.id != first:
            cost += _AWAY_S
        if best is None or cost < best[0]:
            best = (cost, expected, load, offer)
    return _placement(*best[1:], model, now) if best else None


def _placement(
    expected_s: float, load: TargetLoad, offer: _Offer, model: PoolModel, now: float
) -> Placement:
    ahead = load.standing(now, model.read_per_s).unread_tokens
    source = offer.source.info if offer.source is not None else None
    return Placement(load, offer.miss_tokens, ahead, expected_s, source)


def _first_choice(loads: list[TargetLoad], prompt: Prompt, kept: dict[str, int]) -> str | None:
    """The target to prefer for a prompt that no engine keeps; None when one does."""
    key = prompt.home_key
    if key is None or not loads or any(kept.values()):
        return None
    return max(loads, key=lambda load: rank(key, load.info.id)).info.id


def _source(
    loads: list[TargetLoad], kept: dict[str, int], model: PoolModel, now: float
) -> TargetLoad | None:
    """The engine that others may fetch a prompt's parts from: the one that keeps most of them."""
    best = max(loads, key=lambda load: kept[load.info.id], default=None)
    if best is None or kept[best.info.id] < _LEAST_FETCHED_TOKENS:
        return None
    fails = best.standing(now, model.read_per_s).failures >= _MOST_SOURCE_FAILURES
    return None if fails else best


def _offer(
    load: TargetLoad,
    input_tokens: int,
    shared: int,
    kept: dict[str, int],
    source: TargetLoad | None,
    model: PoolModel,
) -> _Offer:
    own = kept[load.info.id]
    if source is not None and model.fetch_per_s:
        fetched = kept[source.info.id] - own
        fetch_s = fetched / model.fetch_per_s
        if source.info.zone != load.info.zone:
            fetch_s *= _OTHER_ZONE_FETCH
        if fetched >= _LEAST_FETCHED_TOKENS and fetch_s < fetched / model.read_per_s:
            own += fetched
            return _Offer(input_tokens - own, shared - own, source, fetch_s)
    return _Offer(input_tokens - own, shared - own)


def _engine_cost(
    load: TargetLoad,
    offer: _Offer,
    call_id: int,
    model: PoolModel,
    zone: ZoneId,
    now: float,
) -> tuple[float, float]:
    """What the request costs at an engine, and the seconds to its first event there."""
    miss = offer.miss_tokens
    standing = load.standing(now, model.read_per_s)
    ahead = standing.unread_tokens
    held = load.held_tokens(call_id)
    expected = model.first_event_s(ahead + miss) * load.slowness + offer.fetch_s
    line_s = held / model.read_per_s * load.slowness
    busy = min(1.0, (ahead + held) / (_BUSY_S * model.read_per_s))
    weight = _AGAIN_IDLE + (_AGAIN_BUSY - _AGAIN_IDLE) * busy
    again = weight * offer.again_tokens / model.read_per_s + _FETCH_WEIGHT * offer.fetch_s
    fill = standing.running / max(load.info.slots, 1)
    cost = expected + line_s + again + _BATCH_S * fill * load.slowness
    return cost + _trouble(load, standing, zone), expected


def _trouble(load: TargetLoad, standing: Standing, zone: ZoneId) -> float:
    cost = _FAILURE_S * standing.failures
    cost += max(0.0, standing.overdue_s - _OVERDUE_GRACE_S)
    return cost if load.info.zone == zone else cost + _ZONE_S


def place_plain(
    loads: list[TargetLoad], call_id: int, zone: ZoneId, now: float
) -> Placement | None:
    """The target of a plain service where a request waits least, or None without one.

    Among equals calls take turns; always the first one would get the requests of all routers that
    have nothing else in progress.
    """
    best: tuple[float, Placement] | None = None
    turn = call_id % max(len(loads), 1)
    for load in loads[turn:] + loads[:turn]:
        standing = load.standing(now, _NO_READING)
        fill = standing.running / max(load.info.slots, 1)
        expected = PLAIN_WORK_S * load.slowness * (1 + fill)
        cost = expected + _trouble(load, standing, zone)
        if best is None or cost < best[0]:
            best = (cost, Placement(load, 0, 0, expected))
    return best[1] if best else None
