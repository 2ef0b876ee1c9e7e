"""Routers and engines in virtual time, around the real decision objects.

Engines read prompts one after the other in order of arrival and keep what they have read. Routers
hear of each other's work four times a second. Nothing else is modelled; what callers get in time is
compared between ways of deciding, not with a real deployment.
"""

import heapq
import itertools
import random
from collections import OrderedDict
from concurrent.futures import Future
from dataclasses import dataclass, field

from turmerictray.admission.budget import RetryBudget
from turmerictray.admission.pool import Outcome, ServicePool, Wanted
from turmerictray.config.routes import EngineSpec, ServiceSpec
from turmerictray.core.errors import AdmissionError
from turmerictray.core.ids import NodeId, RequestId, ServiceName, TargetId, TeamId, ZoneId
from turmerictray.fairness.queue import Pending
from turmerictray.fairness.recent import RecentService
from turmerictray.routing.load import PeerLoad, TargetInfo
from turmerictray.routing.prompt import Part, PartId, Prompt

LLM = ServiceName("llm")
ZONE = ZoneId("z")
GOSSIP_S = 0.25
OBJECTIVE_S = 0.8


@dataclass
class Engine:
    """Reads prompts in order of arrival and keeps ``memory_tokens`` of them."""

    read_per_s: float
    memory_tokens: int
    free_at: float = 0.0
    read_tokens: int = 0
    kept: OrderedDict = field(default_factory=OrderedDict)

    def read(self, prompt: Prompt, now: float) -> float:
        """Take a prompt; returns when its first event comes."""
        missing = 0
        for part in prompt.parts:
            if missing or part.part_id not in self.kept:
                missing += part.tokens
            self.kept[part.part_id] = part.tokens
            self.kept.move_to_end(part.part_id)
        while sum(self.kept.values()) > self.memory_tokens:
            self.kept.popitem(last=False)
        self.read_tokens += missing
        self.free_at = max(self.free_at, now) + missing / self.read_per_s
        return self.free_at + 0.02


@dataclass
class Caller:
    """A request and what became of it."""

    team: TeamId
    arrived: float
    prompt: Prompt
    first_at: float | None = None
    refused_at: float | None = None

    @property
    def in_time(self) -> bool:
        """Whether its first event came within the objective."""
        return self.first_at is not None and self.first_at - self.arrived <= OBJECTIVE_S


class Fleet:
    """``routers`` pools over the same engines.

    Parameters
    ----------
    routers, engines : int
    read_per_s : float
        Tokens that one engine reads in a second.
    """

    def __init__(self, routers: int, engines: int, read_per_s: float = 35_000.0) -> None:
        self.now = 0.0
        self.engines = {TargetId(f"e{n}"): Engine(read_per_s, 600_000) for n in range(engines)}
        self.pools = [self._make_pool(number) for number in range(routers)]
        self.callers: list[Caller] = []
        self._ids = itertools.count(1)
        self._events: list[tuple[float, int, object, tuple]] = []

    def _make_pool(self, number: int) -> ServicePool:
        ledger = RecentService(NodeId(f"r{number}"), lambda: self.now)
        pool = ServicePool(LLM, ZONE, ledger, RetryBudget(0.2, 50, 10))
        pool.targets.set_spec(ServiceSpec(LLM, EngineSpec(64, 600_000)))
        for target in self.engines:
            pool.targets.take(TargetInfo(target, LLM, "h:1", ZONE, 64))
        return pool

    def restart_all(self, recalled: bool) -> None:
        """All routers lose their memory; if ``recalled``, each asks its share of the engines."""
        self.pools = [self._make_pool(number) for number in range(len(self.pools))]
        if not recalled:
            return
        for number, (target, engine) in enumerate(self.engines.items()):
            parts = [Part(part_id, tokens) for part_id, tokens in engine.kept.items()]
            asking = self.pools[number % len(self.pools)]
            asking.targets.note_listed(target, parts, tell_peers=True)

    def at(self, when: float, action, *args) -> None:
        """Do ``action`` at a time."""
        heapq.heappush(self._events, (when, next(self._ids), action, args))

    def ask(self, router: int, team: TeamId, prompt: Prompt) -> None:
        """A caller's request comes in at a router now."""
        caller = Caller(team, self.now, prompt)
        self.callers.append(caller)
        pool, call_id = self.pools[router], next(self._ids)
        until = self.now + OBJECTIVE_S
        wanted = Wanted(call_id, prompt)
        item = Pending(RequestId(str(call_id)), team, prompt.cost, until, Future(), wanted)
        item.caller = caller
        try:
            pool.offer(item, self.now)
        except AdmissionError:
            caller.refused_at = self.now
            return
        self._pump(pool)

    def _pump(self, pool: ServicePool) -> None:
        for item in pool.expire(self.now):
            item.caller.refused_at = self.now
        while (sent := pool.next_sent(self.now)) is not None:
            target = sent.placement.load.info.id
            call_id = sent.item.context.call_id
            first_at = self.engines[target].read(sent.item.context.prompt, self.now)
            self.at(first_at, self._first, pool, target, call_id, sent.item.caller, self.now)

    def _first(self, pool, target, call_id, caller: Caller, sent_at: float) -> None:
        caller.first_at = self.now
        pool.targets.first_event(target, call_id, self.now - sent_at)
        self.at(self.now + 0.5, self._done, pool, target, call_id)
        self._pump(pool)

    def _done(self, pool, target, call_id) -> None:
        pool.settle(target, call_id, Outcome.DONE, self.now)
        self._pump(pool)

    def _gossip(self) -> None:
        for number, pool in enumerate(self.pools):
            node = NodeId(f"r{number}")
            told = pool._ledger.told()
            reads = [(target, list(parts)) for target, parts in pool.targets.take_reads()]
            waiting = pool.backlogged()
            for other in self.pools:
                if other is not pool:
                    self._hear(other, node, pool, told, reads, waiting)
        for pool in self.pools:
            self._pump(pool)
        self.at(self.now + GOSSIP_S, self._gossip)

    def _hear(self, other, node, pool, told, reads, waiting) -> None:
        other.targets.hear_peer(
            node,
            {
                target: PeerLoad(load.running, load.own_unread_tokens(), self.now)
                for target, load in pool.targets.loads.items()
            },
        )
        for target, parts in reads:
            other.targets.note_peer_read(target, parts)
        other._ledger.merge(node, 1, told)
        other._ledger.note_waiting(node, waiting)

    def run(self, seconds: float) -> None:
        """Play until a time."""
        self.at(self.now, self._gossip)
        while self._events and self._events[0][0] <= seconds:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)

    def in_time(self, since: float = 0.0, team: str | None = None) -> float:
        """Share of requests whose first event came within the objective."""
        asked = [c for c in self.callers if c.arrived >= since and team in (None, c.team)]
        return sum(caller.in_time for caller in asked) / max(len(asked), 1)

    def read_tokens(self) -> int:
        """Tokens that all engines have read."""
        return sum(engine.read_tokens for engine in self.engines.values())


def play_prompts(
    fleet: Fleet,
    per_s: float,
    seconds: float,
    seed: int,
    subjects: int = 100,
    team=lambda rng: TeamId(f"t{rng.randrange(8)}"),
    router=None,
) -> None:
    """Schedule requests at random times, each on one of ``subjects`` shared parts."""
    rng = random.Random(seed)
    when = 0.0
    while (when := when + rng.expovariate(per_s)) < seconds:
        subject = rng.randrange(subjects)
        shared = Part(PartId(f"s{subject}"), 8_000 + 100 * (subject % 90))
        own = Part(PartId(f"o{when}"), int(min(20_000, rng.lognormvariate(7.8, 0.9))))
        prompt = Prompt((shared, own), shared.tokens + own.tokens, 100)
        name = team(rng)
        at = rng.randrange(len(fleet.pools)) if router is None else router(name)
        fleet.at(when, fleet.ask, at, name, prompt)
