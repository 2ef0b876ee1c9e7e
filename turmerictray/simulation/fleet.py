"""Simulated fleet of routers that share engines and exchange load updates."""

import itertools
import random
from collections.abc import Callable, Sequence
from concurrent.futures import Future
from dataclasses import dataclass, field

from turmerictray.admission.budget import RetryBudget
from turmerictray.admission.pool import ServicePool
from turmerictray.admission.pool_types import Outcome, PlacementContext
from turmerictray.admission.time_bounds import retry_after_s
from turmerictray.admission.window import ENGINE_WINDOW_S
from turmerictray.config.routes import EngineSpec, ServiceSpec
from turmerictray.core.errors import AdmissionError
from turmerictray.core.ids import NodeId, RequestId, ServiceName, TargetId, TeamId, ZoneId
from turmerictray.fairness.queue import PendingRequest
from turmerictray.fairness.recent_usage import RecentUsage
from turmerictray.routing.load import PeerLoad, TargetInfo
from turmerictray.routing.place import PromptPlacementRule, place_prompt
from turmerictray.routing.prompt import Prompt
from turmerictray.simulation.engine import Engine, Run
from turmerictray.simulation.timeline import Timeline

GOSSIP_INTERVAL_S = 0.25
"""Interval between a router's updates to its peers."""

EXPIRY_INTERVAL_S = 0.05
"""Interval at which routers expire pending requests that have reached their deadline."""

_RECONNECT_DELAY_S = 0.2
"""Delay before a caller whose connection broke submits its request again."""

_LLM = ServiceName("llm")
_ZONE = ZoneId("z")

EngineFactory = Callable[[Timeline], Engine]


@dataclass
class Caller:
    """A caller with one request and its result; times are virtual seconds.

    Attributes
    ----------
    kind : str
        Name of the kind of request.
    objective_s : float
        Maximum time from the first submission to the first event.
    pause_limit_s : float
        Maximum pause between two events.
    max_resubmissions : int
        How often the caller submits the request again after a refusal.
    refusals : int
        How often the request has been refused.
    interrupted : bool
        Whether the answer was interrupted.
    """

    team: TeamId
    arrived_at: float
    prompt: Prompt
    objective_s: float
    kind: str = "-"
    pause_limit_s: float = 1e9
    max_resubmissions: int = 0
    first_at: float | None = None
    refused_at: float | None = None
    refusals: int = 0
    interrupted: bool = False
    run: Run | None = field(default=None, repr=False)

    @property
    def in_time(self) -> bool:
        """Whether the first event and all pauses stayed within their limits."""
        if self.first_at is None or self.first_at - self.arrived_at > self.objective_s:
            return False
        if self.interrupted:
            return False
        return self.run is None or self.run.max_pause_s <= self.pause_limit_s


class Fleet:
    """Routers that use the product's decision code, on simulated engines.

    Parameters
    ----------
    routers : int
        Number of routers.
    engines : sequence of callable
        Factories that create an engine on a timeline.
    memory_tokens : int
        Memory of an engine as given in the routing configuration.
    place : callable
        Rule that chooses an engine for a prompt.
    seed : int
        Seed of the retry delays and of the routers chosen for retries.
    """

    def __init__(
        self,
        routers: int,
        engines: Sequence[EngineFactory],
        memory_tokens: int = 600_000,
        place: PromptPlacementRule = place_prompt,
        seed: int = 1,
    ) -> None:
        self.timeline = Timeline()
        self.engines = {
            TargetId(f"e{number}"): make(self.timeline) for number, make in enumerate(engines)
        }
        self._spec = ServiceSpec(_LLM, EngineSpec(64, memory_tokens))
        self._place = place
        self.pools = [self._make_pool(number) for number in range(routers)]
        self.callers: list[Caller] = []
        self._call_ids = itertools.count(1)
        self._active: dict[int, Caller] = {}
        self._rng = random.Random(seed)
        self.timeline.at(0.0, self._gossip)
        self.timeline.at(0.0, self._expire)

    @property
    def now(self) -> float:
        """Current virtual time in seconds."""
        return self.timeline.now

    def _make_pool(self, number: int) -> ServicePool:
        ledger = RecentUsage(NodeId(f"r{number}"), lambda: self.now)
        pool = ServicePool(_LLM, _ZONE, ledger, RetryBudget(0.2, 50, 10), self._place)
        pool.targets.set_spec(self._spec)
        for target in self.engines:
            pool.targets.add_or_update(TargetInfo(target, _LLM, "h:1", _ZONE, 64))
        return pool

    def restart_all(self, warm_up_caches: bool) -> None:
        """Kill and restart all routers.

        With ``warm_up_caches`` they query the engines for their cached parts at once.

        Callers lose their connections: those that have not received an event submit their request
        again, the others are left with an interrupted answer.
        """
        old_pools, self.pools = self.pools, [self._make_pool(n) for n in range(len(self.pools))]
        for pool in old_pools:
            for request in pool.expire(float("inf")):
                self._refuse(request.caller, _RECONNECT_DELAY_S)
        for caller in self._active.values():
            caller.run.caller_gone = True
            caller.interrupted = caller.first_at is not None
            if not caller.interrupted:
                self._refuse(caller, _RECONNECT_DELAY_S)
        self._active.clear()
        if warm_up_caches:
            self.list_engines()

    def list_engines(self) -> None:
        """Let each router query its share of the engines for cached parts and inform its peers."""
        for number, (target, engine) in enumerate(self.engines.items()):
            pool = self.pools[number % len(self.pools)]
            pool.targets.record_cached(target, engine.cache.cached_parts(), announce_to_peers=True)

    # -- requests ------------------------------------------------------------------------------

    def submit(self, router: int, caller: Caller) -> None:
        """Submit a caller's request to a router at the current time."""
        if not caller.refusals:
            self.callers.append(caller)
        pool, call_id = self.pools[router], next(self._call_ids)
        deadline = self.now + caller.objective_s
        context = PlacementContext(call_id, caller.prompt)
        request = PendingRequest(
            RequestId(str(call_id)), caller.team, caller.prompt.cost, deadline, Future(), context
        )
        request.caller = caller
        try:
            pool.enqueue(request, self.now)
        except AdmissionError as exc:
            self._refuse(caller, exc.retry_after)
            return
        self._dispatch(pool)

    def _refuse(self, caller: Caller, retry_in_s: float) -> None:
        caller.refused_at = self.now
        caller.refusals += 1
        if caller.refusals > caller.max_resubmissions:
            return
        wait = retry_after_s(retry_in_s, caller.objective_s * 3, self._rng)
        self.timeline.at(self.now + wait, self.submit, self._rng.randrange(len(self.pools)), caller)

    def _dispatch(self, pool: ServicePool) -> None:
        for sent in pool.dispatch_ready(self.now):
            self._send(pool, sent)

    def _send(self, pool: ServicePool, sent) -> None:
        target, call_id = sent.placement.load.info.id, sent.pending.context.call_id
        caller, sent_at = sent.pending.caller, self.now

        def on_first() -> None:
            if run.caller_gone:
                return
            caller.first_at = self.now
            pool.targets.record_first_event(target, call_id, self.now - sent_at, self.now)
            self._dispatch(pool)

        def on_done() -> None:
            if run.caller_gone:
                return
            del self._active[call_id]
            pool.settle(target, call_id, Outcome.DONE, self.now)
            self._dispatch(pool)

        run = caller.run = Run(caller.prompt, on_first, on_done)
        self._active[call_id] = caller
        self.engines[target].submit(run)

    def _expire(self) -> None:
        for pool in self.pools:
            pool.targets.update_estimates(ENGINE_WINDOW_S)
            pool.targets.expire_overdue_prefills(self.now)
            for request in pool.expire(self.now):
                self._refuse(request.caller, pool.expected_wait_s(request))
            self._dispatch(pool)
        self.timeline.at(self.now + EXPIRY_INTERVAL_S, self._expire)

    # -- messages between routers ----------------------------------------------------------------

    def _gossip(self) -> None:
        for number, pool in enumerate(self.pools):
            self._send_updates(NodeId(f"r{number}"), pool)
        for pool in self.pools:
            self._dispatch(pool)
        self.timeline.at(self.now + GOSSIP_INTERVAL_S, self._gossip)

    def _send_updates(self, node: NodeId, pool: ServicePool) -> None:
        counters, waiting = pool.ledger.local_counters(), pool.backlogged()
        reads = pool.targets.take_unreported_reads()
        work = {
            target: PeerLoad(load.running, load.local_unread_tokens(), self.now)
            for target, load in pool.targets.loads.items()
        }
        for peer in self.pools:
            if peer is pool:
                continue
            peer.targets.update_peer_load(node, work)
            for target, parts in reads:
                peer.targets.record_peer_read(target, list(parts))
            peer.ledger.merge(node, 1, counters)
            peer.ledger.note_waiting(node, waiting)

    def run(self, until: float) -> None:
        """Run the simulation up to a virtual time."""
        self.timeline.run(until)
