"""Choosing a target by what the caller would wait there and what the pool would lose."""

from collections.abc import Iterable
from dataclasses import dataclass

from turmerictray.core.ids import ZoneId
from turmerictray.routing.load import TargetLoad, TargetPhase
from turmerictray.routing.model import PoolModel
from turmerictray.routing.prompt import Prompt
from turmerictray.routing.rendezvous import order

READ_AGAIN_WEIGHT = 1.0
"""What reading a shared part again costs beyond the caller's own wait. The time is taken from all
requests behind it as well, so it counts once more for the pool."""

_HOME_KEPT = (0.9, 0.3)
"""Chance that the first and the second choice of a part keep it though this router has not sent it
there: its peers place by the same order."""

_ZONE_S = 0.004
"""A longer way and bytes between zones; decides only between targets that are otherwise equal."""

_BATCH_S = 0.15
"""What a full batch adds: each running request makes every step longer."""

_FAILURE_S = 2.0
"""What a failed answer costs a caller: about the time of asking again."""

_OVERDUE_GRACE_S = 0.1
"""Estimates are off by this much on a well engine."""

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
    """

    load: TargetLoad
    miss_tokens: int
    ahead_tokens: int
    expected_s: float


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


def place_prompt(
    loads: list[TargetLoad], prompt: Prompt, model: PoolModel, zone: ZoneId, now: float
) -> Placement | None:
    """The engine where ``prompt`` costs least, or None without an engine."""
    if not loads:
        return None
    homes = _homes(loads, prompt)
    best: tuple[float, Placement] | None = None
    for load in loads:
        miss = _miss_tokens(load, prompt, homes)
        found = _engine_cost(load, miss, model, zone, now)
        if best is None or found[0] < best[0]:
            best = found
    return best[1]


def _homes(loads: list[TargetLoad], prompt: Prompt) -> dict[str, float]:
    key = prompt.home_key
    if key is None:
        return {}
    ranked = order(key, [load.info.id for load in loads])
    return dict(zip(ranked, _HOME_KEPT, strict=False))


def _miss_tokens(load: TargetLoad, prompt: Prompt, homes: dict[str, float]) -> int:
    kept = load.kept.kept_tokens(prompt)
    shared = sum(part.tokens for part in prompt.shared)
    likely = homes.get(load.info.id, 0.0) * shared
    return prompt.input_tokens - int(max(kept, likely))


def _engine_cost(
    load: TargetLoad, miss: int, model: PoolModel, zone: ZoneId, now: float
) -> tuple[float, Placement]:
    ahead = load.unread_tokens(now)
    expected = model.first_event_s(ahead + miss) * load.slowness
    again = READ_AGAIN_WEIGHT * miss / model.read_per_s
    fill = load.running_in_fleet(now) / max(load.info.slots, 1)
    cost = expected + again + _BATCH_S * fill * load.slowness + _trouble(load, zone, now)
    return cost, Placement(load, miss, ahead, expected)


def _trouble(load: TargetLoad, zone: ZoneId, now: float) -> float:
    cost = _FAILURE_S * load.failures(now)
    cost += max(0.0, load.overdue_s(now) - _OVERDUE_GRACE_S)
    return cost if load.info.zone == zone else cost + _ZONE_S


def place_plain(loads: list[TargetLoad], zone: ZoneId, now: float) -> Placement | None:
    """The target of a plain service where a request waits least, or None without one."""
    best: tuple[float, Placement] | None = None
    for load in loads:
        fill = load.running_in_fleet(now) / max(load.info.slots, 1)
        expected = PLAIN_WORK_S * load.slowness * (1 + fill)
        cost = expected + _trouble(load, zone, now)
        if best is None or cost < best[0]:
            best = (cost, Placement(load, 0, 0, expected))
    return best[1] if best else None
