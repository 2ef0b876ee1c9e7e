"""Processor time of a router's decisions, by the number of targets.

The decisions are played on plain objects in one process, without sockets, so that the costs of two
versions can be compared on any machine.
"""

import json
import time
from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass

import msgspec

from turmerictray.admission.budget import RetryBudget
from turmerictray.admission.pool import ServicePool
from turmerictray.admission.pool_types import Outcome, PlacementContext
from turmerictray.admission.window import ENGINE_WINDOW_S
from turmerictray.config.routes import EngineSpec, ServiceSpec
from turmerictray.core.ids import (
    NodeId,
    RequestId,
    ServiceName,
    TargetId,
    TargetName,
    TeamId,
    ZoneId,
)
from turmerictray.fairness.queue import PendingRequest
from turmerictray.fairness.recent_usage import RecentUsage
from turmerictray.router.published import (
    PublishedCopy,
    PublishedEntry,
    StorePosition,
    TargetHistory,
)
from turmerictray.routing.load import PeerLoad, TargetInfo
from turmerictray.routing.prompt import PartId, Prompt, PromptPart

SIZES = (10, 100, 1000)
"""Numbers of targets for which costs are measured."""

_REPEATS = 200
_SERVICE, _TEAM, _NODE = ServiceName("service"), TeamId("team"), NodeId("r1")
_READ_PER_S = 50_000.0
_MEMORY_TOKENS = 500_000
_PROMPT = (12_000, 3_000)
"""Shared and own tokens of a prompt."""

Measurement = Callable[[int], float]
"""Returns the cost for a number of targets, in milliseconds."""


@dataclass(frozen=True)
class DecisionCost:
    """Cost of one decision in milliseconds of processor time, by the number of targets."""

    decision: str
    ms_by_targets: dict[int, float]


def measure_decision_costs(sizes: tuple[int, ...] = SIZES) -> list[DecisionCost]:
    """Measure the processor time of each decision.

    Parameters
    ----------
    sizes : tuple of int
        Numbers of targets.
    """
    measurements: dict[str, Measurement] = {
        "plain request: queue, place, settle": _plain_request_ms,
        "prompt: queue, place, first event, settle": _prompt_ms,
        "tick: estimates, overdue answers, lost calls": _tick_ms,
        "gossip: a peer's load": _peer_load_ms,
        "list of one changed target for a peer": _changes_ms,
        "list of all targets for a peer": _all_targets_ms,
    }
    return [
        DecisionCost(decision, {size: round(measure(size), 3) for size in sizes})
        for decision, measure in measurements.items()
    ]


def format_decision_costs(costs: list[DecisionCost]) -> str:
    """Return the costs as a table, in milliseconds."""
    sizes = list(costs[0].ms_by_targets)
    lines = ["ms of processor time".ljust(48) + "".join(f"{size:>10}" for size in sizes)]
    for cost in costs:
        cells = "".join(f"{ms:>10.3f}" for ms in cost.ms_by_targets.values())
        lines.append(cost.decision.ljust(48) + cells)
    return "\n".join(lines)


def _per_call_ms(call: Callable[[int], object]) -> float:
    started_at = time.process_time()
    for number in range(_REPEATS):
        call(number)
    return (time.process_time() - started_at) / _REPEATS * 1000


def _make_pool(targets: int, engines: bool) -> ServicePool:
    budget = RetryBudget(0.2, 50, 10)
    pool = ServicePool(_SERVICE, ZoneId("z0"), RecentUsage(_NODE, time.monotonic), budget)
    if engines:
        spec = ServiceSpec(_SERVICE, EngineSpec(64, _MEMORY_TOKENS))
        pool.targets.set_spec(spec, _READ_PER_S)
    for number in range(targets):
        zone = ZoneId(f"z{number % 3}")
        info = TargetInfo(TargetId(f"t{number}"), _SERVICE, "h:1", zone, 64)
        pool.targets.add_or_update(info)
    return pool


def _send(pool: ServicePool, number: int, prompt: Prompt | None) -> None:
    now = time.monotonic()
    context = PlacementContext(number, prompt)
    cost = 1.0 if prompt is None else prompt.cost
    request = RequestId(str(number))
    pool.enqueue(PendingRequest(request, _TEAM, cost, now + 9.0, Future(), context), now)
    target = pool.dispatch_next(now).placement.load.info.id
    if prompt is not None:
        pool.targets.record_first_event(target, number, 0.1, now)
    pool.settle(target, number, Outcome.DONE, now)


def _plain_request_ms(targets: int) -> float:
    pool = _make_pool(targets, engines=False)
    return _per_call_ms(lambda number: _send(pool, number, None))


def _prompt_ms(targets: int) -> float:
    pool = _make_pool(targets, engines=True)
    shared, own = _PROMPT

    def send(number: int) -> None:
        parts = (
            PromptPart(PartId(f"shared{number % 50}"), shared),
            PromptPart(PartId(f"own{number}"), own),
        )
        _send(pool, number, Prompt(parts, shared + own, 100))

    return _per_call_ms(send)


def _tick_ms(targets: int) -> float:
    pool = _make_pool(targets, engines=True)

    def tick(_number: int) -> None:
        now = time.monotonic()
        pool.targets.update_estimates(ENGINE_WINDOW_S)
        pool.targets.expire_overdue_prefills(now)
        pool.drop_lost_calls({_NODE}, now)

    return _per_call_ms(tick)


def _peer_load_ms(targets: int) -> float:
    pool = _make_pool(targets, engines=True)
    loads = {TargetId("t0"): PeerLoad(1, 1000, 0.0)}
    return _per_call_ms(
        lambda number: pool.targets.update_peer_load(NodeId(f"r{number % 20}"), loads)
    )


def _make_copy(targets: int) -> PublishedCopy:
    entry = json.dumps({"service": _SERVICE, "address": "10.0.0.1:80", "zone": "z0"}).encode()
    entries = {
        TargetName(f"t{number}"): PublishedEntry.encode(entry, StorePosition(0, number + 1))
        for number in range(targets)
    }
    copy = PublishedCopy()
    copy.put_targets(entries, StorePosition(0, targets), TargetHistory({}, StorePosition()))
    return copy


def _changes_ms(targets: int) -> float:
    copy, since = _make_copy(targets), StorePosition(0, targets - 1)
    return _per_call_ms(lambda _number: msgspec.json.encode(copy.docs_without_text(since)))


def _all_targets_ms(targets: int) -> float:
    copy = _make_copy(targets)
    return _per_call_ms(lambda _number: msgspec.json.encode(copy.docs_without_text()))
