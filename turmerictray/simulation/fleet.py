"""Routers that share engines, with their messages to each other and their callers."""

import itertools
import random
from collections.abc import Callable, Sequence
from concurrent.futures import Future
from dataclasses import dataclass, field

from turmerictray.admission.budget import RetryBudget
from turmerictray.admission.pool import Outcome, PlacementContext, ServicePool
from turmerictray.admission.time_bounds import retry_after_s
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

GOSSIP_S = 0.25
"""Time between a router's messages to its peers."""

EXPIRE_S = 0.05
"""Rhythm in which routers give up requests that have waited their time."""

_RECONNECT_S = 0.2
"""Time until a caller whose connection broke asks again."""

_LLM = ServiceName("llm")
_ZONE = ZoneId("z")

MakeEngine = Callable[[Timeline], Engine]


@dataclass
class Caller:
    """A request and what became of it; times are seconds of virtual time.

    Attributes
    ----------
    kind : str
    objective_s : float
        From its first attempt to the first event.
    pause_limit_s : float
        Longest pause between events that is still on time.
    refusals : int
    broken : bool
        Its answer ended early.
    """

    team: TeamId
    arrived: float
    prompt: Prompt
    objective_s: float
    kind: str = "-"
    pause_limit_s: float = 1e9
    returns: int = 0
    first_at: float | None = None
    refused_at: float | None = None
    refusals: int = 0
    broken: bool = False
    run: Run | None = field(default=None, repr=False)

    @property
    def in_time(self) -> bool:
        """Whether the first event, and all others, came within their objectives."""
        if self.first_at is None or self.first_at - self.arrived > self.objective_s:
            return False
        if self.broken:
            return False
        return self.run is None or self.run.longest_pause_s <= self.pause_limit_s


class Fleet:
    """Routers with the product's own decision objects, over modelled engines.

    Parameters
    ----------
    routers : int
    engines : sequence of callable
        Make the engines, given the time line.
    memory_tokens : int
        What the operators' text says of an engine's memory.
    place : callable
        The way of choosing an engine.
    """

    def __init__(
        self,
        routers: int,
        engines: Sequence[MakeEngine],
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
        self._ids = itertools.count(1)
        self._open: dict[int, Caller] = {}
        self._rng = random.Random(seed)
        self.timeline.at(0.0, self._gossip)
        self.timeline.at(0.0, self._expire)

    @property
    def now(self) -> float:
        """Seconds of virtual time."""
        return self.timeline.now

    def _make_pool(self, number: int) -> ServicePool:
        ledger = RecentUsage(NodeId(f"r{number}"), lambda: self.now)
        pool = ServicePool(_LLM, _ZONE, ledger, RetryBudget(0.2, 50, 10), self._place)
        pool.targets.set_spec(self._spec)
        for target in self.engines:
            pool.targets.add_or_update(TargetInfo(target, _LLM, "h:1", _ZONE, 64))
        return pool

    def restart_all(self, recalled: bool) -> None:
        """All routers are killed and start again; if ``recalled``, they ask the engines at once.

        Their callers lose their connections: those without an event yet come back, the others have
        half an answer.
        """
        dead, self.pools = self.pools, [self._make_pool(n) for n in range(len(self.pools))]
        for pool in dead:
            for item in pool.expire(float("inf")):
                self._refuse(item.caller, _RECONNECT_S)
        for caller in self._open.values():
            caller.run.gone = True
            caller.broken = caller.first_at is not None
            if not caller.broken:
                self._refuse(caller, _RECONNECT_S)
        self._open.clear()
        if recalled:
            self.list_engines()

    def list_engines(self) -> None:
        """Each router asks its share of the engines what they keep, and tells its peers."""
        for number, (target, engine) in enumerate(self.engines.items()):
            asking = self.pools[number % len(self.pools)]
            asking.targets.record_cached(target, engine.memory.parts(), announce_to_peers=True)

    # -- requests ------------------------------------------------------------------------------

    def ask(self, router: int, caller: Caller) -> None:
        """A caller's request comes in at a router now."""
        if not caller.refusals:
            self.callers.append(caller)
        pool, call_id = self.pools[router], next(self._ids)
        until = self.now + caller.objective_s
        wanted = PlacementContext(call_id, caller.prompt)
        item = PendingRequest(
            RequestId(str(call_id)), caller.team, caller.prompt.cost, until, Future(), wanted
        )
        item.caller = caller
        try:
            pool.enqueue(item, self.now)
        except AdmissionError as exc:
            self._refuse(caller, exc.retry_after)
            return
        self._pump(pool)

    def _refuse(self, caller: Caller, room_in_s: float) -> None:
        caller.refused_at = self.now
        caller.refusals += 1
        if caller.refusals > caller.returns:
            return
        wait = retry_after_s(room_in_s, caller.objective_s * 3, self._rng)
        self.timeline.at(self.now + wait, self.ask, self._rng.randrange(len(self.pools)), caller)

    def _pump(self, pool: ServicePool) -> None:
        for sent in pool.dispatch_ready(self.now):
            self._send(pool, sent)

    def _send(self, pool: ServicePool, sent) -> None:
        target, call_id = sent.placement.load.info.id, sent.pending.context.call_id
        caller, sent_at = sent.pending.caller, self.now

        def first() -> None:
            if run.gone:
                return
            caller.first_at = self.now
            pool.targets.record_first_event(target, call_id, self.now - sent_at)
            self._pump(pool)

        def done() -> None:
            if run.gone:
                return
            del self._open[call_id]
            pool.settle(target, call_id, Outcome.DONE, self.now)
            self._pump(pool)

        run = caller.run = Run(caller.prompt, first, done)
        self._open[call_id] = caller
        self.engines[target].submit(run)

    def _expire(self) -> None:
        for pool in self.pools:
            pool.targets.update_slowness()
            pool.targets.expire_overdue_prefills(self.now)
            for item in pool.expire(self.now):
                self._refuse(item.caller, pool.expected_wait_s(item))
            self._pump(pool)
        self.timeline.at(self.now + EXPIRE_S, self._expire)

    # -- what routers tell each other ------------------------------------------------------------

    def _gossip(self) -> None:
        for number, pool in enumerate(self.pools):
            self._tell_peers(NodeId(f"r{number}"), pool)
        for pool in self.pools:
            self._pump(pool)
        self.timeline.at(self.now + GOSSIP_S, self._gossip)

    def _tell_peers(self, node: NodeId, pool: ServicePool) -> None:
        told, waiting = pool.ledger.local_counters(), pool.backlogged()
        reads = pool.targets.take_unreported_reads()
        work = {
            target: PeerLoad(load.running, load.local_unread_tokens(), self.now)
            for target, load in pool.targets.loads.items()
        }
        for other in self.pools:
            if other is pool:
                continue
            other.targets.update_peer_load(node, work)
            for target, parts in reads:
                other.targets.record_peer_read(target, list(parts))
            other.ledger.merge(node, 1, told)
            other.ledger.note_waiting(node, waiting)

    def run(self, until: float) -> None:
        """Play up to a time."""
        self.timeline.run(until)
