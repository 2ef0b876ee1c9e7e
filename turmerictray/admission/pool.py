"""Targets and pending requests of one service: dispatch, queueing and refusal of requests.

A pool is a plain object; the actor that owns it passes in the time. Under overload, requests wait
in the pool rather than at the targets. Here they can still be reordered between teams, refused in
time or dropped when their caller disconnects; targets can do none of that.
"""

import math
import random
from collections import Counter
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass, replace
from heapq import heapify, heappop, heappush

from turmerictray.admission.available_targets import AvailableTargets
from turmerictray.admission.budget import RetryBudget
from turmerictray.admission.cold_targets import ColdTargets
from turmerictray.admission.dispatch_order import OLDEST_REQUEST_INTERVAL, DispatchOrder
from turmerictray.admission.pool_types import (
    Dispatch,
    Outcome,
    PlacementContext,
    PlacementFailed,
    PoolState,
)
from turmerictray.admission.team_dispatch_order import request_work
from turmerictray.admission.throughput import Throughput
from turmerictray.admission.window import (
    ENGINE_WINDOW_S,
    engine_has_capacity,
    plain_target_has_capacity,
    window_fraction,
)
from turmerictray.config.routes import ServiceSpec
from turmerictray.core.errors import NoTarget, QueueFull, TargetsResting, WontBeServed
from turmerictray.core.ids import (
    RequestId,
    ServiceName,
    TargetId,
    TeamId,
    ZoneId,
)
from turmerictray.crashes.fingerprint import Fingerprint
from turmerictray.crashes.parts import Suspicion
from turmerictray.crashes.quarantine import Quarantine
from turmerictray.fairness.queue import FairQueue, PendingRequest
from turmerictray.fairness.recent_usage import ExcessUsage, RecentUsage
from turmerictray.routing.load import ActiveCall, PendingPrefill, TargetLoad, TargetPhase
from turmerictray.routing.place import (
    Placement,
    PromptPlacementRule,
    candidates,
    place_plain,
    place_prompt,
)
from turmerictray.routing.pool_targets import PoolTargets, ShardTargets
from turmerictray.routing.target_notices import TargetNotices

_MAX_PENDING_PER_TEAM = 256
"""Maximum pending requests of one team; more than can be served within any latency objective. Where
one router schedules for all, the limit applies to the requests of all routers."""

_MIN_WAIT_FRACTION = 0.3
"""Fraction of the time to its deadline that a request may always wait, however long its prompt."""

_MIN_BACKLOG = 3
"""Number of pending requests from which a team counts as backlogged. One or two often wait for the
engine that caches their prompt. If these counted, any small team would make all others appear ahead
of it and hide the differences between the large teams."""

_URGENCY_DIGITS = 1
"""Decimal digits to which urgency is rounded. A tenth of a second distinguishes latency objectives
but ignores differences in the time that requests took to reach the router."""

_PLACEMENT_RETRY_S = 0.1
"""Interval after which placement of a request that waits for an engine is attempted again. It is
attempted earlier when that engine has capacity, or when an engine for which no request waits gets
capacity. In this interval the work of the engines changes by a few prompts, and an engine that no
longer responds is noticed. Attempts after every message would need more processor time than the
scheduler of a large fleet has."""

NO_TARGET_RETRY_S = 0.5
"""Retry-After in seconds while no target serves a request."""

_URGENT_FRACTION = 0.5
"""Fraction of its time after which a repeat may be a trial; the rest is left for the answer. No
request waits for a silent engine for longer than that, or than :data:`_URGENT_S`."""

_URGENT_S = 0.25
"""Time before its queue deadline from which a request is placed on any engine with capacity rather
than wait for one that is silent; enough for two placement attempts. It still waits for an engine
that answers: under overload, prompts would be read again everywhere otherwise."""

_SILENT_S = 0.5
"""Time without an overdue first event, or any other, after which an engine is silent. One that is
only busy gives one for each prompt that it reads."""

_CANDIDATES_PER_TEAM = 8
"""Number of pending requests of a team that are considered in one round."""

_MAX_PLAIN_CANDIDATES = 24
"""Targets of a plain service that are compared for a request. With more, the comparison would take
longer than the request at a service of hundreds of targets, and find hardly a better one."""

_MAX_FAILED_ATTEMPTS = 12
"""Maximum unsuccessful placement attempts in one round; bounds its duration with long queues."""


@dataclass
class _FailedAttemptLimit:
    """Remaining unsuccessful placement attempts of a scheduling round."""

    remaining: int


class ServicePool:
    """Targets of one service and the requests that wait for them.

    Parameters
    ----------
    name : ServiceName
        Name of the service.
    zone : ZoneId
        Availability zone of this router.
    ledger : RecentUsage
        Recent usage of the teams, which determines their order.
    budget : RetryBudget
        Retry budget of the service.
    place : callable
        Function that chooses an engine for a prompt.
    targets : PoolTargets or ShardTargets or None
        Targets; None for a new, empty set for the whole service.
    crashes : Quarantine or None
        Evidence on requests that crash their targets; None for none.
    cold_targets : ColdTargets or None
        Limits the requests to cold targets; None for no tolerance above their configured rate.
    notices : TargetNotices or None
        What targets have said of themselves; None for an empty record.
    """

    def __init__(
        self,
        name: ServiceName,
        zone: ZoneId,
        ledger: RecentUsage,
        budget: RetryBudget,
        place: PromptPlacementRule = place_prompt,
        targets: PoolTargets | ShardTargets | None = None,
        crashes: Quarantine | None = None,
        cold_targets: ColdTargets | None = None,
        notices: TargetNotices | None = None,
    ) -> None:
        self.name = name
        self.zone = zone
        self.ledger = ledger
        self.budget = budget
        self.crashes = crashes or Quarantine()
        self.cold_targets = cold_targets or ColdTargets()
        self.notices = notices or TargetNotices()
        self._place_prompt = place
        self.targets = PoolTargets(ServiceSpec(name)) if targets is None else targets
        self.queue = FairQueue(ledger, _MAX_PENDING_PER_TEAM, 0.0)
        self.router_count = 1
        self._dispatch_counts: Counter[TeamId] = Counter()
        self._dispatch_order = DispatchOrder()
        self._available_since: dict[TargetId, float] = {}
        self._throughput = Throughput()
        self._dispatched_work = 0.0
        self._refused_count = 0
        self._rng = random.Random()

    def enqueue(self, pending: PendingRequest, now: float, retry: bool = False) -> None:
        """Queue a request.

        Parameters
        ----------
        pending : PendingRequest
            Request, with a :class:`PlacementContext` as its context.
        now : float
            Monotonic seconds.
        retry : bool
            Whether the request, or the stream that it takes up, was dispatched before. It is then
            queued first and not refused for its expected wait.

        Raises
        ------
        NoTarget
            No target serves the request, or it was already sent to all of them.
        QueueFull
            The team has too many pending requests.
        WontBeServed
            At the current throughput, the request would be dispatched after its deadline.
        """
        context: PlacementContext = pending.context
        loads = self._candidates(context, now)
        if not loads:
            raise NoTarget(self._missing_reason(context), NO_TARGET_RETRY_S)
        if not retry:
            pending.deadline = self._queue_deadline(pending, loads, now)
        urgent_s = _URGENT_FRACTION * (pending.deadline - now)
        context.urgent_from = pending.deadline - (urgent_s if retry else min(_URGENT_S, urgent_s))
        self._check_rests(pending, loads, now)
        wait = self.expected_wait_s(pending)
        if (
            not retry
            and now + wait > pending.deadline
            and not self._has_idle_engine(loads, context, now)
        ):
            self._refused_count += 1
            raise WontBeServed(self._refusal_reason(pending), wait)
        try:
            self.queue.push(pending, front=retry)
        except QueueFull as exc:
            raise QueueFull(exc.reason, wait) from exc
        self._dispatch_order.add(pending, front=retry)

    def _missing_reason(self, context: PlacementContext) -> str:
        if context.version is not None:
            return "no_target_of_version"
        phases = {load.info.phase for load in self.targets.loads.values()}
        return "targets_leaving" if phases == {TargetPhase.LEAVING} else "no_target"

    def _check_rests(self, pending: PendingRequest, loads: list[TargetLoad], now: float) -> None:
        """Refuse a request if all its targets rest until after its deadline."""
        rest_end = self._first_rest_end(pending, loads)
        if rest_end > pending.deadline:
            raise TargetsResting("targets_resting", rest_end - now)

    def _first_rest_end(self, pending: PendingRequest, loads: list[TargetLoad]) -> float:
        router = pending.context.origin
        return min(self.notices.rest_end(load.info.id, router) for load in loads)

    def _has_idle_engine(
        self, loads: list[TargetLoad], context: PlacementContext, now: float
    ) -> bool:
        """Return whether one of ``loads`` has nothing to read, and no pending request will take it.

        After a stall, the measured throughput says nothing of such an engine.
        """
        waiting = len(self.queue)
        if self.targets.spec.engine is None or waiting >= len(loads):
            return False
        return waiting < sum(self._is_idle(load, context, now) for load in loads)

    def _is_idle(self, load: TargetLoad, context: PlacementContext, now: float) -> bool:
        spec, own_path = self.targets.spec, context.own_path
        if load.is_avoided(now) or self.cold_targets.is_resting(load, spec, now, own_path):
            return False
        if self.notices.next_at(load.info.id, context.origin, now) > now:
            return False
        snapshot = load.load_snapshot(now, self.targets.model.read_per_s)
        return not snapshot.unread_tokens and snapshot.running < load.info.slots

    def _queue_deadline(
        self, pending: PendingRequest, loads: list[TargetLoad], now: float
    ) -> float:
        """Return the time until which a request may wait and still be answered in time.

        The expected reading time is subtracted from the deadline. If every request could wait until
        its deadline, overloaded engines would answer all requests late. Requests that can no longer
        be in time are refused instead, so that the others are in time.
        """
        prompt = pending.context.prompt
        if prompt is None:
            return pending.deadline
        miss_tokens = min(
            prompt.input_tokens - load.prefix_cache.cached_tokens(prompt) for load in loads
        )
        pending.context.reading_tokens = miss_tokens
        pending.context.urgency_s = round(pending.deadline - now, _URGENCY_DIGITS)
        reading_s = self.targets.model.first_event_s(miss_tokens) + ENGINE_WINDOW_S / 2
        # Without this bound, a prompt that takes longer to read than its latency objective would
        # always be refused.
        min_deadline = now + _MIN_WAIT_FRACTION * (pending.deadline - now)
        return max(min_deadline, pending.deadline - reading_s)

    def expected_wait_s(self, pending: PendingRequest) -> float:
        """Estimate the seconds until a request is dispatched, from the work ahead of it."""
        return self._throughput.seconds_for(self._dispatch_order.work_ahead_of(pending))

    def backlog_s(self) -> float:
        """Estimate the seconds until all pending requests have been dispatched."""
        return self._throughput.seconds_for(self._dispatch_order.total_work())

    def _refusal_reason(self, pending: PendingRequest) -> str:
        work, wait = self._dispatch_order.work_ahead_of(pending), self.expected_wait_s(pending)
        return f"wait_too_long: {round(work)} before it, {round(wait * 1000)} ms"

    def backlogged(self) -> set[TeamId]:
        """Return the teams with enough pending requests to count as backlogged."""
        teams = self.queue.backlogged()
        return {team for team in teams if self.queue.depth(team) >= _MIN_BACKLOG}

    def dispatch_next(self, now: float) -> Dispatch | None:
        """Return the first dispatch of :meth:`dispatch_ready`, or None."""
        return next(self.dispatch_ready(now), None)

    def dispatch_ready(self, now: float) -> Iterator[Dispatch]:
        """Take the requests that can be dispatched now and assign them to targets.

        Teams are served in the order of the ledger. Requests whose chosen engine has capacity, and
        those without a chosen engine, come first. They are followed by those that may fare better
        at an engine for which no request waits. If the engine of a team's first request is full,
        the next requests of the team are considered too; otherwise an engine would idle while
        requests for it are pending.
        """
        if not len(self.queue):
            self._throughput.note_idle()
            return
        available = AvailableTargets(self.targets, self.router_count, now, self.cold_targets)
        unreserved_since = self._unreserved_since(available, now)
        attempts = _FailedAttemptLimit(_MAX_FAILED_ATTEMPTS)

        def may_improve(context: PlacementContext, _fraction: float) -> bool:
            return (
                context.last_attempt_at < unreserved_since
                or now - context.last_attempt_at >= _PLACEMENT_RETRY_S
            )

        def target_available(context: PlacementContext, fraction: float) -> bool:
            if context.reserved_target is None:
                return context.isolated or may_improve(context, fraction)
            if not self._is_reservation_valid(context, now):
                return True
            return context.reserved_target.info.id in available.for_fraction(fraction)

        yield from self._dispatch_matching(target_available, available, attempts, now)
        yield from self._dispatch_matching(may_improve, available, attempts, now)

    def _dispatch_matching(
        self,
        should_attempt: Callable[[PlacementContext, float], bool],
        available: AvailableTargets,
        attempts: "_FailedAttemptLimit",
        now: float,
    ) -> Iterator[Dispatch]:
        """Dispatch requests in the order of their teams.

        A dispatch changes the place of its own team only, so a heap keeps the order.
        """
        backlogged = self.backlogged()
        excesses = self.ledger.excess_usage(backlogged)
        top_usage = self.ledger.max_usage() if backlogged else 0.0
        teams = [(self.queue.sort_key(team), team) for team in self.queue.backlogged()]
        heapify(teams)
        while teams and available and attempts.remaining:
            _, team = heappop(teams)
            fraction = window_fraction(self._excess_tokens(team, excesses, backlogged, top_usage))
            for pending in self._next_requests(team):
                if not attempts.remaining or not should_attempt(pending.context, fraction):
                    continue
                placement = self._dispatch_or_remove(pending, fraction, now)
                if placement is None:
                    attempts.remaining -= pending.context.had_targets
                    continue
                available.note_sent(placement.load)
                yield Dispatch(pending, placement)
                if self.queue.depth(team):
                    heappush(teams, (self.queue.sort_key(team), team))
                break

    def _dispatch_or_remove(
        self, pending: PendingRequest, fraction: float, now: float
    ) -> Placement | None:
        """Place a request and book it; return None if it has to wait.

        Raises
        ------
        PlacementFailed
            That failed unexpectedly; the request was removed without a trace.
        """
        placement = None
        try:
            placement = self._place(pending.context, fraction, now)
            if placement is not None:
                self._remove(pending)
                self._record_dispatch(pending, placement, now)
        except Exception as exc:
            self._remove(pending)
            self.release(pending.context)
            if placement is not None:
                self._end(placement.load, pending.context.call_id, 0.0)
            raise PlacementFailed(pending) from exc
        return placement

    def _is_reservation_valid(self, context: PlacementContext, now: float) -> bool:
        """Return whether a request waits for a target that still accepts requests."""
        load = context.reserved_target
        is_current = self.targets.loads.get(load.info.id) is load
        may_serve = load.info.phase is TargetPhase.READY and not load.is_avoided(now)
        return is_current and may_serve and self._may_place(load, context, now)

    def _may_place(self, load: TargetLoad, context: PlacementContext, now: float) -> bool:
        return self.notices.next_at(load.info.id, context.origin, now) <= now

    def _unreserved_since(self, available: AvailableTargets, now: float) -> float:
        """Return when an engine for which no request waits last became available.

        Requests that wait for another engine may be dispatched sooner there.
        """
        if self.targets.spec.engine is None:
            return math.inf
        latest = -math.inf
        available_before, self._available_since = self._available_since, {}
        for target in available.for_fraction(1.0):
            load = self.targets.loads[target]
            if load.info.phase is not TargetPhase.READY:
                continue
            available_since = self._available_since[target] = available_before.get(target, now)
            if not load.reserved:
                latest = max(latest, available_since)
        return latest

    def _next_requests(self, team: TeamId) -> list[PendingRequest]:
        """Return the team's next requests: usually the most urgent, regularly the oldest."""
        if self._dispatch_counts[team] % OLDEST_REQUEST_INTERVAL == 0:
            return self.queue.waiting(team, _CANDIDATES_PER_TEAM)
        return self._dispatch_order.next_requests(team, _CANDIDATES_PER_TEAM)

    def _excess_tokens(
        self, team: TeamId, excesses: ExcessUsage, backlogged: set[TeamId], top_usage: float
    ) -> float:
        """Return the team's excess of recent usage; its deficit, negated, if it is backlogged."""
        excess_tokens = excesses.of(team)
        return (
            excess_tokens
            if excess_tokens or team not in backlogged
            else -self.ledger.deficit(team, top_usage)
        )

    def _candidates(self, context: PlacementContext, now: float) -> list[TargetLoad]:
        loads = self.targets.loads.values()
        return candidates(loads, context.exclude, now, context.home_zones, context.version)

    def _place(self, context: PlacementContext, fraction: float, now: float) -> Placement | None:
        context.last_attempt_at = now
        loads = self._candidates(context, now)
        if context.prompt is not None and context.version is None:
            loads = self.targets.exclude_joining(loads, now)
        loads = self.cold_targets.exclude_resting(loads, self.targets.spec, context.own_path, now)
        if context.avoids_trials and now < context.urgent_from:
            loads = self._exclude_trials(loads, context, now)
        loads = self.notices.exclude_resting(loads, context.origin, now)
        context.had_targets = bool(loads)
        if not loads:
            # It is tried again when the time has come, instead of in each round.
            self.release(context)
            return None
        suspicion = self.crashes.suspicion(context.fingerprint, now)
        if suspicion is Suspicion.HELD and not context.is_test:
            return None
        context.isolated = suspicion >= Suspicion.ISOLATED
        if context.isolated:
            loads = self._isolated_loads(loads, context.fingerprint, now)
        if not context.avoids_trials:
            return self._place_among(loads, context, fraction, now)
        trials = [load for load in loads if self.notices.is_trial(load.info.id)]
        others = [load for load in loads if not self.notices.is_trial(load.info.id)]
        return self._place_among(others, context, fraction, now) or self._place_among(
            trials, context, fraction, now
        )

    def _exclude_trials(
        self, loads: list[TargetLoad], context: PlacementContext, now: float
    ) -> list[TargetLoad]:
        """Return the targets that may serve the request and are no trial; all if none is.

        Those that are silent now are included only if no other is left.
        """
        notices, router = self.notices, context.origin
        others = [
            load
            for load in loads
            if not notices.is_trial(load.info.id)
            and notices.rest_end(load.info.id, router) < context.urgent_from
        ]
        answering = [load for load in others if load.silent_s(now) <= _SILENT_S]
        return answering or others or loads

    def _place_among(
        self, loads: list[TargetLoad], context: PlacementContext, fraction: float, now: float
    ) -> Placement | None:
        """Place a request on one of ``loads``, or reserve one for it and return None."""
        if context.prompt is None:
            return self._place_plain(loads, context.call_id, now)
        placement = self._choose_engine(loads, context, now)
        if placement is None or engine_has_capacity(
            placement.load, self.targets.model, now, fraction
        ):
            return placement
        if now >= context.urgent_from and placement.load.silent_s(now) > _SILENT_S:
            free = [
                load
                for load in loads
                if engine_has_capacity(load, self.targets.model, now, fraction)
            ]
            if free:
                return self._choose_engine(free, context, now)
        # Waiting for the engine that caches the prompt is cheaper than reading it elsewhere, which
        # would delay the requests there. The cost of the chosen engine already includes the
        # requests that wait for it.
        self._reserve(context, placement)
        return None

    def _choose_engine(
        self, loads: list[TargetLoad], context: PlacementContext, now: float
    ) -> Placement | None:
        return self._place_prompt(
            loads,
            context.prompt,
            context.call_id,
            self.targets.model,
            context.zone or self.zone,
            now,
            self._other_sources(context),
        )

    def _place_plain(self, loads: list[TargetLoad], call_id: int, now: float) -> Placement | None:
        """Place a request on one of a few targets drawn at random; on any if these are full."""
        for drawn in (self._draw_targets(loads), loads):
            free = [
                load for load in drawn if plain_target_has_capacity(load, self.router_count, now)
            ]
            if free:
                return place_plain(free, call_id, self.zone, now)
        return None

    def _draw_targets(self, loads: list[TargetLoad]) -> list[TargetLoad]:
        if len(loads) <= _MAX_PLAIN_CANDIDATES:
            return loads
        return self._rng.sample(loads, _MAX_PLAIN_CANDIDATES)

    def _other_sources(self, context: PlacementContext) -> Collection[TargetLoad]:
        """Return the engines from which cached parts may be fetched, whether they serve or not."""
        loads = self.targets.service_loads.values()
        if context.home_zones is None:
            return loads
        return [load for load in loads if load.info.zone in context.home_zones]

    def _isolated_loads(
        self, loads: list[TargetLoad], fingerprint: Fingerprint, now: float
    ) -> list[TargetLoad]:
        """Return the targets on which no suspect has just started.

        There are none while another request with the same suspect part has just started anywhere.
        """
        parts = self.crashes.isolated_parts(fingerprint, now)
        if parts and any(
            not parts.isdisjoint(other.parts)
            for load in self.targets.service_loads.values()
            for other in load.starting_requests(now)
        ):
            return []
        return [load for load in loads if not self._has_starting_suspect(load, now)]

    def _has_starting_suspect(self, load: TargetLoad, now: float) -> bool:
        return any(
            self.crashes.suspicion(fingerprint, now) for fingerprint in load.starting_requests(now)
        )

    def _reserve(self, context: PlacementContext, placement: Placement) -> None:
        if context.reserved_target is not placement.load:
            self.release(context)
            context.reserved_target = context.last_reserved_target = placement.load
        placement.load.reserve(context.call_id, placement.miss_tokens)

    @staticmethod
    def release(context: PlacementContext) -> None:
        """Release the target reserved for a request, if any."""
        if context.reserved_target is not None:
            context.reserved_target.release(context.call_id)
            context.reserved_target = None

    def withdraw(self, call_id: int) -> PendingRequest | None:
        """Remove and return a pending request; None if it is not pending."""
        for team in self.queue.backlogged():
            for pending in self.queue.waiting(team, self.queue.depth(team)):
                if pending.context.call_id == call_id:
                    self._remove(pending)
                    self.release(pending.context)
                    return pending
        return None

    def _remove(self, pending: PendingRequest) -> None:
        self.queue.discard(pending)
        self._dispatch_order.remove(pending)

    def expire(self, now: float) -> list[PendingRequest]:
        """Remove and return the requests whose deadline has passed."""
        expired = self.queue.expire(now)
        for pending in expired:
            self._dispatch_order.remove(pending)
            self.release(pending.context)
        return expired

    def take_unservable(self) -> list[PendingRequest]:
        """Remove and return the pending requests that no target will run.

        These are all if every target leaves or is evacuated, and those that need a software version
        of which no target is left. Targets that are missing usually return within the requests'
        deadlines.
        """
        if not len(self.queue):
            return []
        infos = [load.info for load in self.targets.loads.values()]
        phases = {info.phase for info in infos}
        none_left = bool(phases) and TargetPhase.READY not in phases
        versions = {info.version for info in infos if info.phase is TargetPhase.READY}
        requests = [
            pending
            for pending in self.waiting_requests()
            if none_left
            or pending.context.version is not None
            and pending.context.version not in versions
        ]
        for pending in requests:
            self._remove(pending)
            self.release(pending.context)
        return requests

    def take_resting(self, now: float) -> list[tuple[PendingRequest, float]]:
        """Remove the pending requests whose targets all rest until after their deadline.

        Returns
        -------
        list of (PendingRequest, float)
            With the seconds until the first of these rests ends.
        """
        taken = []
        for pending in self.waiting_requests():
            loads = self._candidates(pending.context, now)
            rest_end = self._first_rest_end(pending, loads) if loads else -math.inf
            if rest_end > pending.deadline:
                self._remove(pending)
                self.release(pending.context)
                taken.append((pending, rest_end - now))
        return taken

    def take_held(self, now: float) -> list[PendingRequest]:
        """Remove and return the pending requests that must not be sent to any target."""
        held = [
            pending
            for pending in self.waiting_requests()
            if not pending.context.is_test
            and self.crashes.suspicion(pending.context.fingerprint, now) is Suspicion.HELD
        ]
        for pending in held:
            self._remove(pending)
            self.release(pending.context)
        return held

    def _record_dispatch(self, pending: PendingRequest, placement: Placement, now: float) -> None:
        context: PlacementContext = pending.context
        self.release(context)
        self._dispatch_counts[pending.team] += 1
        self.ledger.charge(pending.team, pending.estimated_cost)
        read = PendingPrefill(
            now,
            placement.miss_tokens,
            placement.ahead_tokens,
            placement.expected_s,
            placement.load.slowness,
        )
        call = ActiveCall(
            pending.team,
            pending.estimated_cost,
            context.origin,
            context.answer_deadline,
            context.fingerprint,
            pending.req_id,
        )
        placement.load.record_sent(context.call_id, read, call)
        self.notices.note_sent(placement.load.info.id, now, context.origin)
        if context.prompt is not None:
            placement.load.prefix_cache.note_read(context.prompt)
            self.targets.note_read(placement.load.info.id, context.prompt)
        self._dispatched_work += request_work(pending)
        self._throughput.note_sent(request_work(pending), now)

    def cancel_dispatch(self, dispatch: Dispatch) -> None:
        """Undo the dispatch of a request that was not sent after all."""
        self.notices.note_given_back(dispatch.placement.load.info.id)
        self._end(dispatch.placement.load, dispatch.pending.context.call_id, 0.0)

    def settle(
        self,
        target: TargetId,
        call_id: int,
        outcome: Outcome,
        now: float,
        cost: float | None = None,
    ) -> None:
        """Record the end of a send and correct the charge of its team.

        Parameters
        ----------
        target : TargetId
            Target of the send.
        call_id : int
            Identifies the send.
        outcome : Outcome
            How it ended.
        now : float
            Monotonic seconds.
        cost : float or None
            Actual cost, in tokens read; None to keep the cost charged at dispatch.
        """
        load = self.targets.loads.get(target)
        if load is None or not self._end(load, call_id, cost):
            return
        if outcome in (Outcome.CALLER_GONE, Outcome.NOT_REACHED):
            self.notices.note_given_back(target)
        if outcome is Outcome.NOT_REACHED:
            self.targets.record_unreachable(target, now)
        elif outcome in (Outcome.DONE, Outcome.FAILED, Outcome.TARGET_ENDED):
            if outcome is Outcome.DONE:
                self.targets.record_reached(target)
            load.record_answer(outcome is Outcome.DONE, now)

    def _end(self, load: TargetLoad, call_id: int, cost: float | None) -> bool:
        call = load.calls.get(call_id)
        if call is not None and cost is not None:
            self.ledger.settle(call.team, call.charged, cost)
            # Its end is done again if the rest fails, and must not refund the team once more.
            load.calls[call_id] = replace(call, charged=cost)
        # Only now, so that a call whose team could not be refunded is still known.
        load.record_end(call_id)
        return call is not None

    def forget_call(self, target: TargetId, call_id: int, cost: float) -> None:
        """Remove a call from a target, whatever fails, without learning from its end.

        Parameters
        ----------
        target : TargetId
        call_id : int
        cost : float
            Actual cost, in tokens read, which replaces the charge of its team.
        """
        load = self.targets.loads.get(target)
        if load is None:
            return
        try:
            self._end(load, call_id, cost)
        finally:
            load.record_end(call_id)

    def request_of(self, target: TargetId, call_id: int) -> RequestId | None:
        """Return the id of a request that runs at a target; None if it is not known."""
        load = self.targets.loads.get(target)
        call = None if load is None else load.calls.get(call_id)
        return None if call is None else call.req_id

    def waiting_requests(self) -> list[PendingRequest]:
        """Return the pending requests, team by team, oldest first."""
        return [
            pending
            for team in self.queue.backlogged()
            for pending in self.queue.waiting(team, self.queue.depth(team))
        ]

    def take_waiting(self) -> list[PendingRequest]:
        """Remove and return all pending requests."""
        waiting = self.waiting_requests()
        for pending in waiting:
            self._remove(pending)
            self.release(pending.context)
        return waiting

    def repair_order(self) -> int:
        """Make the dispatch order list exactly the pending requests again.

        Returns
        -------
        int
            Number of requests that were missing from it, or listed although they don't wait.
        """
        waiting = self.waiting_requests()
        wrong = {id(pending) for pending in waiting} ^ self._dispatch_order.request_ids()
        if wrong:
            self._dispatch_order = DispatchOrder()
            for pending in waiting:
                self._dispatch_order.add(pending, front=False)
        return len(wrong)

    def drop_lost_calls(self, alive: Collection[str], now: float) -> int:
        """Remove the calls of routers that are gone and calls whose end was never reported.

        Otherwise their engines would count as busy permanently.

        Returns
        -------
        int
            Number of calls removed.
        """
        lost = [
            (load, call_id)
            for load in self.targets.loads.values()
            if load.calls
            for call_id in load.orphaned_calls(alive, now)
        ]
        for load, call_id in lost:
            load.record_end(call_id)
        return len(lost)

    def state(self, now: float) -> PoolState:
        """Return the pool's load and progress."""
        read_per_s = self.targets.model.read_per_s
        ready = [
            load.load_snapshot(now, read_per_s)
            for load in self.targets.loads.values()
            if load.info.phase is TargetPhase.READY
        ]
        return PoolState(
            waiting=len(self.queue),
            pace_per_s=self._throughput.per_s,
            ready=len(ready),
            idle=sum(not snapshot.unread_tokens for snapshot in ready),
            sent=self._dispatched_work,
            refused=self._refused_count,
        )

    def describe(self, now: float) -> dict[str, object]:
        """Return the pool's state as a dictionary, for operators."""
        return {
            "waiting": len(self.queue),
            "read_tokens_per_s": round(self.targets.model.read_per_s),
            "targets": self._describe_targets(now),
        }

    def _describe_targets(self, now: float) -> dict[str, object]:
        described = self.targets.describe(now)
        for target, fields in described.items():
            fields["rest_s"] = round(self.notices.rest_left_s(target, now), 2)
        return described
