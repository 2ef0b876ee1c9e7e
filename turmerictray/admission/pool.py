"""One service's targets and waiting requests: who is sent where, who waits, who is refused.

A pool is a plain object; the actor that owns it passes in the time. It answers the load in which
more is asked than the targets can do: work waits here, where it can still be ordered between teams,
refused in time or dropped with its caller, and not in the targets, which can do none of that.
"""

import math
from collections import Counter
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass
from enum import Enum
from heapq import heapify, heappop, heappush

from turmerictray.admission.budget import RetryBudget
from turmerictray.admission.line import OLDEST_EVERY, WaitingLine
from turmerictray.admission.openings import Openings
from turmerictray.admission.pace import Pace
from turmerictray.admission.turns import work_of
from turmerictray.admission.window import READ_AHEAD_S, engine_open, plain_open, window_part
from turmerictray.config.routes import ServiceSpec
from turmerictray.core.errors import NoTarget, QueueFull, WontBeServed
from turmerictray.core.ids import (
    NodeId,
    RequestDigest,
    ServiceName,
    TargetId,
    TeamId,
    ZoneId,
)
from turmerictray.fairness.queue import FairQueue, Pending
from turmerictray.fairness.recent import Leads, RecentService
from turmerictray.routing.load import OpenCall, OpenRead, TargetLoad, TargetPhase
from turmerictray.routing.place import (
    Placement,
    PlacePrompt,
    candidates,
    place_plain,
    place_prompt,
)
from turmerictray.routing.pool_targets import PoolTargets, ShardTargets
from turmerictray.routing.prompt import Prompt

_QUEUE_PER_TEAM = 256
"""Waiting requests of one team, of all routers where one schedules for all; more than can be served
within any objective."""

_LEAST_WAIT_PART = 0.3
"""Part of its time that a request may wait however long its prompt is."""

_BACKLOGGED = 3
"""Waiting requests from which a team counts as backlogged. One or two wait now and then for the
engine that keeps their prompt; counted, any small team would make all others seem ahead of it, and
the differences between the large ones would be lost."""

_URGENCY_DIGITS = 1
"""Objectives are told apart to a tenth of a second; what the way to the router took is not."""

_LOOK_AGAIN_S = 0.1
"""A request that waits for an engine is looked at again when that engine has room, when one gets
room that nobody waits for, and else after this time: by then what engines have to do has changed
by a few prompts, and one that has fallen silent shows. Looked at with each message instead, the
requests of a large fleet need more processor time than a scheduler has."""

_LOOK_BEHIND = 8
_MOST_LOOKED_AT = 12
"""Waiting requests looked at in vain in one round: bounds its time when the queue is long."""


@dataclass
class _Looks:
    """How many requests may still be looked at in vain."""

    left: int


class Outcome(Enum):
    """How a send to a target ended."""

    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not_run"
    NOT_REACHED = "not_reached"
    CALLER_GONE = "caller_gone"
    OUT_OF_TIME = "out_of_time"
    TARGET_ENDED = "target_ended"


@dataclass
class Wanted:
    """What a waiting request needs.

    Attributes
    ----------
    call_id : int
    prompt : Prompt or None
        None for plain services.
    exclude : frozenset of str
        Targets it has been sent to.
    origin : NodeId
        The router that sends it; empty for this router.
    zone : ZoneId or None
        Where that router stands; None for the pool's own zone.
    digest : RequestDigest
        See :mod:`turmerictray.admission.digest`.
    apart : bool
        It is not sent where a suspect has just begun.
    give_up : float
        Monotonic seconds at which it ends at the latest.
    urgency_s : float
        Seconds that it could wait when it was offered, rounded.
    reading_tokens : int
        Tokens that an engine has to read for it at least, as known when it was offered.
    held_by : TargetLoad or None
        The target it waits for.
    waited_for : TargetLoad or None
        The target it waited for last, also when it waits no more.
    looked_at : float
        Monotonic seconds at which the target was chosen.
    """

    call_id: int
    prompt: Prompt | None
    exclude: frozenset[str] = frozenset()
    origin: NodeId = NodeId("")
    zone: ZoneId | None = None
    digest: RequestDigest = RequestDigest("")
    apart: bool = False
    give_up: float = math.inf
    urgency_s: float = 0.0
    reading_tokens: int = 0
    held_by: TargetLoad | None = None
    waited_for: TargetLoad | None = None
    looked_at: float = -math.inf


@dataclass(frozen=True)
class Sent:
    """A waiting request that is to be sent to a target now."""

    item: Pending
    placement: Placement


@dataclass(frozen=True)
class PoolState:
    """What a pool does, for operators.

    Attributes
    ----------
    waiting : int
    pace_per_s : float
        Work a second by which waits are estimated, in the unit of
        :func:`~turmerictray.admission.turns.work_of`.
    ready, idle : int
        Targets that take requests; of these, the ones with nothing to read.
    sent : float
        Work sent so far.
    refused : int
        Requests refused so far because their turn would have come too late.
    """

    waiting: int
    pace_per_s: float
    ready: int
    idle: int
    sent: float
    refused: int


class ServicePool:
    """The targets of one service and the requests that wait for them.

    Parameters
    ----------
    name : ServiceName
    zone : ZoneId
        Where this router stands.
    ledger : RecentService
        Orders the teams.
    budget : RetryBudget
    place : callable
        The way of choosing an engine.
    targets : PoolTargets or ShardTargets or None
        The targets; None for a new set of a whole service's.
    is_suspect : callable
        Whether a target has ended under a request.
    """

    def __init__(
        self,
        name: ServiceName,
        zone: ZoneId,
        ledger: RecentService,
        budget: RetryBudget,
        place: PlacePrompt = place_prompt,
        targets: PoolTargets | ShardTargets | None = None,
        is_suspect: Callable[[RequestDigest], bool] = lambda _digest: False,
    ) -> None:
        self.name = name
        self.zone = zone
        self.ledger = ledger
        self.budget = budget
        self.is_suspect = is_suspect
        self._place_prompt = place
        self.targets = PoolTargets(ServiceSpec(name)) if targets is None else targets
        self.queue = FairQueue(ledger, _QUEUE_PER_TEAM, 0.0)
        self.routers = 1
        self._turns: Counter[TeamId] = Counter()
        self._line = WaitingLine()
        self._opened_at: dict[TargetId, float] = {}
        self._pace = Pace()
        self._sent = 0.0
        self._refused = 0

    def offer(self, item: Pending, now: float, retry: bool = False) -> None:
        """Queue a request.

        Raises
        ------
        NoTarget
            Nothing serves the request, or everything has been tried.
        QueueFull
            The team has too many waiting.
        WontBeServed
            By the rate at which requests are sent now, its turn comes too late.
        """
        wanted: Wanted = item.context
        loads = candidates(self.targets.loads.values(), wanted.exclude, now)
        if not loads:
            raise NoTarget("no_target", 0.5)
        if not retry:
            item.deadline = self._wait_until(item, loads, now)
        wait = self.expected_wait_s(item)
        if not retry and now + wait > item.deadline:
            self._refused += 1
            raise WontBeServed(self._wait_reason(item), wait)
        try:
            self.queue.push(item, front=retry)
        except QueueFull as exc:
            raise QueueFull(exc.reason, wait) from exc
        self._line.add(item, first=retry)

    def _wait_until(self, item: Pending, loads: list[TargetLoad], now: float) -> float:
        """Until when a request may wait and still be answered in time.

        Engines that are asked for more than they can do answer everything late when each request
        waits as long as it may; the ones that can't be in time any more are refused, so that
        the others are.
        """
        prompt = item.context.prompt
        if prompt is None:
            return item.deadline
        miss = min(prompt.input_tokens - load.kept.kept_tokens(prompt) for load in loads)
        item.context.reading_tokens = miss
        item.context.urgency_s = round(item.deadline - now, _URGENCY_DIGITS)
        reading = self.targets.model.first_event_s(miss) + READ_AHEAD_S / 2
        # A prompt that takes longer to read than its objective would never be let in.
        least = now + _LEAST_WAIT_PART * (item.deadline - now)
        return max(least, item.deadline - reading)

    def expected_wait_s(self, item: Pending) -> float:
        """Seconds until the request's turn, by the work before it and the pace of sends."""
        return self._pace.seconds_for(self._line.work_ahead_of(item))

    def backlog_s(self) -> float:
        """Seconds until all that waits has been sent, by the pace of sends."""
        return self._pace.seconds_for(self._line.work())

    def _wait_reason(self, item: Pending) -> str:
        work, wait = self._line.work_ahead_of(item), self.expected_wait_s(item)
        return f"wait_too_long: {round(work)} before it, {round(wait * 1000)} ms"

    def backlogged(self) -> set[TeamId]:
        """Teams that wait for room."""
        teams = self.queue.backlogged()
        return {team for team in teams if self.queue.depth(team) >= _BACKLOGGED}

    def next_sent(self, now: float) -> Sent | None:
        """The first of :meth:`sends`."""
        return next(self.sends(now), None)

    def sends(self, now: float) -> Iterator[Sent]:
        """Take the requests that may be sent now, and book them on their targets.

        Teams come in the order of the ledger. Requests whose engine has room, and those that have
        none yet, come first; then the ones that may be better off at an engine that nobody waits
        for. Behind a request whose engine is full, the team's next ones are looked at too, or an
        engine would idle while work for it waits.
        """
        if not len(self.queue):
            self._pace.note_idle()
            return
        openings = Openings(self.targets, self.routers, now)
        unclaimed_at = self._unclaimed_at(openings, now)
        looks = _Looks(_MOST_LOOKED_AT)

        def may_do_better(wanted: Wanted, _part: float) -> bool:
            return wanted.looked_at < unclaimed_at or now - wanted.looked_at >= _LOOK_AGAIN_S

        def has_opening(wanted: Wanted, part: float) -> bool:
            if wanted.held_by is None:
                return wanted.apart or may_do_better(wanted, part)
            if not self._is_placed(wanted, now):
                return True
            return wanted.held_by.info.id in openings.of(part)

        yield from self._send_those(has_opening, openings, looks, now)
        yield from self._send_those(may_do_better, openings, looks, now)

    def _send_those(
        self,
        is_worth_a_look: Callable[[Wanted, float], bool],
        openings: Openings,
        looks: "_Looks",
        now: float,
    ) -> Iterator[Sent]:
        """Send requests in the order of their teams, which a send changes for its own team only."""
        backlogged = self.backlogged()
        leads = self.ledger.leads(backlogged)
        most = self.ledger.most() if backlogged else 0.0
        teams = [(self.queue.order(team), team) for team in self.queue.backlogged()]
        heapify(teams)
        while teams and openings and looks.left:
            _, team = heappop(teams)
            part = window_part(self._lead(team, leads, backlogged, most))
            for item in self._next_of(team):
                if not looks.left or not is_worth_a_look(item.context, part):
                    continue
                placement = self._place(item.context, part, now)
                if placement is None:
                    looks.left -= 1
                    continue
                self._remove(item)
                self._book(item, placement, now)
                openings.note_sent(placement.load)
                yield Sent(item, placement)
                if self.queue.depth(team):
                    heappush(teams, (self.queue.order(team), team))
                break

    def _is_placed(self, wanted: Wanted, now: float) -> bool:
        """Whether a request waits for a target that still takes requests."""
        load = wanted.held_by
        is_listed = self.targets.loads.get(load.info.id) is load
        return is_listed and load.info.phase is TargetPhase.READY and not load.avoided(now)

    def _unclaimed_at(self, openings: Openings, now: float) -> float:
        """When an engine that nobody waits for got room last; requests may be better off there."""
        if self.targets.spec.engine is None:
            return math.inf
        newest = -math.inf
        opened_before, self._opened_at = self._opened_at, {}
        for target in openings.of(1.0):
            load = self.targets.loads[target]
            if load.info.phase is not TargetPhase.READY:
                continue
            opened_at = self._opened_at[target] = opened_before.get(target, now)
            if not load.held:
                newest = max(newest, opened_at)
        return newest

    def _next_of(self, team: TeamId) -> list[Pending]:
        """The team's requests that come next: mostly the most urgent, now and then the oldest."""
        if self._turns[team] % OLDEST_EVERY == 0:
            return self.queue.waiting(team, _LOOK_BEHIND)
        return self._line.next(team, _LOOK_BEHIND)

    def _lead(self, team: TeamId, leads: Leads, backlogged: set[TeamId], most: float) -> float:
        lead = leads.of(team)
        return lead if lead or team not in backlogged else -self.ledger.behind(team, most)

    def _place(self, wanted: Wanted, part: float, now: float) -> Placement | None:
        wanted.looked_at = now
        loads = candidates(self.targets.loads.values(), wanted.exclude, now)
        if wanted.apart:
            loads = [load for load in loads if not self._begins_suspect(load, now)]
        if wanted.prompt is None:
            loads = [load for load in loads if plain_open(load, self.routers, now)]
            return place_plain(loads, wanted.call_id, self.zone, now)
        zone = wanted.zone or self.zone
        placement = self._place_prompt(
            loads, wanted.prompt, wanted.call_id, self.targets.model, zone, now
        )
        if placement is None or engine_open(placement.load, self.targets.model, now, part):
            return placement
        # Waiting for the engine that keeps the prompt is worth it: reading the prompt elsewhere
        # takes time from the requests there. The line before the engine counts in its cost.
        self._hold(wanted, placement)
        return None

    def _begins_suspect(self, load: TargetLoad, now: float) -> bool:
        return any(digest and self.is_suspect(digest) for digest in load.beginning(now))

    def _hold(self, wanted: Wanted, placement: Placement) -> None:
        if wanted.held_by is not placement.load:
            self.release(wanted)
            wanted.held_by = wanted.waited_for = placement.load
        placement.load.hold(wanted.call_id, placement.miss_tokens)

    @staticmethod
    def release(wanted: Wanted) -> None:
        """The request waits for no target any more."""
        if wanted.held_by is not None:
            wanted.held_by.release(wanted.call_id)
            wanted.held_by = None

    def withdraw(self, call_id: int) -> Pending | None:
        """Take a waiting request out of the queue; None when it doesn't wait."""
        for team in self.queue.backlogged():
            for item in self.queue.waiting(team, self.queue.depth(team)):
                if item.context.call_id == call_id:
                    self._remove(item)
                    self.release(item.context)
                    return item
        return None

    def _remove(self, item: Pending) -> None:
        self.queue.discard(item)
        self._line.remove(item)

    def expire(self, now: float) -> list[Pending]:
        """Take out the requests that have waited their time."""
        expired = self.queue.expire(now)
        for item in expired:
            self._line.remove(item)
            self.release(item.context)
        return expired

    def _book(self, item: Pending, placement: Placement, now: float) -> None:
        wanted: Wanted = item.context
        self.release(wanted)
        self._turns[item.team] += 1
        self.ledger.charge(item.team, item.hint)
        read = OpenRead(
            now,
            placement.miss_tokens,
            placement.ahead_tokens,
            placement.expected_s,
            placement.load.slowness,
        )
        call = OpenCall(item.team, item.hint, wanted.origin, wanted.give_up, wanted.digest)
        placement.load.sent(wanted.call_id, read, call)
        if wanted.prompt is not None:
            placement.load.kept.note_read(wanted.prompt)
            self.targets.note_read(placement.load.info.id, wanted.prompt.shared)
        self._sent += work_of(item)
        self._pace.note_sent(work_of(item), now)

    def unbook(self, sent: Sent) -> None:
        """Take back a booking whose request is not sent."""
        self._end(sent.placement.load, sent.item.context.call_id, 0.0)

    def settle(
        self,
        target: TargetId,
        call_id: int,
        outcome: Outcome,
        now: float,
        cost: float | None = None,
    ) -> None:
        """A send has ended.

        Parameters
        ----------
        cost : float or None
            What it took from the pool, in tokens read; None for what was charged.
        """
        load = self.targets.loads.get(target)
        if load is None or not self._end(load, call_id, cost):
            return
        if outcome is Outcome.NOT_REACHED:
            load.not_reached(now)
        elif outcome in (Outcome.DONE, Outcome.FAILED, Outcome.TARGET_ENDED):
            load.answered(outcome is Outcome.DONE, now)

    def _end(self, load: TargetLoad, call_id: int, cost: float | None) -> bool:
        call = load.ended(call_id)
        if call is not None and cost is not None:
            self.ledger.settle(call.team, call.charged, cost)
        return call is not None

    def drop_lost_calls(self, alive: Collection[str], now: float) -> int:
        """End the calls of routers that are gone, and those whose end was never told.

        Their engines would count as busy with them for good.
        """
        lost = [
            (load, call_id)
            for load in self.targets.loads.values()
            for call_id in load.lost_calls(alive, now)
        ]
        for load, call_id in lost:
            load.ended(call_id)
        return len(lost)

    def state(self, now: float) -> PoolState:
        """What the pool does now."""
        read_per_s = self.targets.model.read_per_s
        ready = [
            load.standing(now, read_per_s)
            for load in self.targets.loads.values()
            if load.info.phase is TargetPhase.READY
        ]
        return PoolState(
            waiting=len(self.queue),
            pace_per_s=self._pace.per_s,
            ready=len(ready),
            idle=sum(not standing.unread_tokens for standing in ready),
            sent=self._sent,
            refused=self._refused,
        )

    def describe(self, now: float) -> dict[str, object]:
        """The pool's state, for operators."""
        return {
            "waiting": len(self.queue),
            "read_tokens_per_s": round(self.targets.model.read_per_s),
            "targets": self.targets.describe(now),
        }
