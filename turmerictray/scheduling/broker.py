"""The actor that owns the target pools and assigns targets to requests."""

import math
import time
from collections.abc import Callable
from dataclasses import replace
from functools import partial, singledispatchmethod

from turmerictray.admission.budget import RetryBudget
from turmerictray.admission.cold_targets import ColdTargets
from turmerictray.admission.pool import NO_TARGET_RETRY_S, ServicePool
from turmerictray.admission.pool_types import Dispatch, PlacementContext, PlacementFailed
from turmerictray.admission.window import ENGINE_WINDOW_S
from turmerictray.config.routes import RoutingConfig
from turmerictray.core import metrics
from turmerictray.core.actor import VitalActor
from turmerictray.core.errors import (
    AdmissionError,
    CallerGone,
    InternalFailure,
    NoTarget,
    Quarantined,
    QueueTimeout,
    RepeatsUsedUp,
    TargetsResting,
)
from turmerictray.core.ids import (
    NodeId,
    RequestId,
    ServiceName,
    SoftwareVersion,
    TargetId,
    TeamId,
    ZoneId,
)
from turmerictray.core.logs import log_event, log_unknown_message
from turmerictray.core.timer import Tick
from turmerictray.crashes.fingerprint import CrashVerdict
from turmerictray.crashes.parts import HOLD_S
from turmerictray.crashes.quarantine import Quarantine
from turmerictray.fairness.changed_usage import ChangedUsage
from turmerictray.fairness.queue import PendingRequest
from turmerictray.fairness.recent_usage import RecentUsage
from turmerictray.membership.messages import GoneVersion, PartRead, RouterSummary, TargetWork
from turmerictray.membership.table import silent_timeout_s
from turmerictray.router.active_config import ActiveConfig, RetryLimits
from turmerictray.router.published import StorePosition
from turmerictray.routing.cold import ColdLimits
from turmerictray.routing.load import PeerLoad, TargetGone, TargetInfo, TargetPhase
from turmerictray.routing.prompt import PartId, PromptPart
from turmerictray.routing.rendezvous import rank
from turmerictray.routing.streams import LEAVING_SERVES_S, VERSION_RETENTION_S
from turmerictray.routing.target_notices import TargetNotices
from turmerictray.scheduling.broker_answers import (
    draining,
    give_back_charge,
    refuse,
    refuse_expired,
    to_granted,
    unservable_reason,
)
from turmerictray.scheduling.broker_messages import (
    Ask,
    BrokerQuery,
    CachedParts,
    EnginesQuery,
    FirstEvent,
    KeptHeard,
    KeptQuery,
    OnTick,
    PartsReadElsewhere,
    PeerHeard,
    RefuseWaiting,
    RoutersAlive,
    ServiceHeard,
    Settled,
    StartupState,
    StreamsBegunElsewhere,
    SummaryQuery,
    TargetLeaving,
    TargetResting,
    TargetsChanged,
    TargetsListed,
    TargetsSeenBefore,
    TextArrived,
    Withdraw,
    ZonesEvacuated,
)
from turmerictray.scheduling.failed_messages import FAILED_RETRY_AFTER_S, FailedMessages
from turmerictray.scheduling.failed_texts import FailedTexts
from turmerictray.scheduling.grant_throttle import GrantThrottle
from turmerictray.scheduling.messages import PartsRead, ServiceGiven
from turmerictray.scheduling.observation import TargetObservation
from turmerictray.scheduling.pool_gauges import PoolGauges
from turmerictray.scheduling.resumptions import Resumptions, TargetsView
from turmerictray.scheduling.service_pools import ServicePools
from turmerictray.scheduling.stream_reports import RecordLink

_PARTS_REPORT_INTERVAL_S = 0.25
"""Interval between two reports of what engines have read, in seconds."""

_GRANT_ROUNDS = "Broker:grants"
"""Kind of work under which failed rounds of grants are counted."""

_EXPIRY = "Broker:expiry"
"""Kind of work under which failures to end the wait of overdue requests are counted."""

_VERSION_HOLD_MARGIN_S = 1.0
"""Time in which routers that have a new entry tell the others, in seconds."""

_MAX_REPORTED_LEAVING = 64
"""Maximum number of leaving targets in a message to peers, which bounds its size."""

_BUDGET_RETRY_AFTER_S = 0.5
"""Retry-After in seconds when a service's retry budget is used up."""


class Broker(VitalActor):
    """Queues requests per team and assigns targets to them in fair-share order.

    Parameters
    ----------
    node : NodeId
    zone : ZoneId
    incarnation : int
        This process's start time in nanoseconds.
    active_config : ActiveConfig
        Holds the active routing configuration, which other threads read.
    retry_limits : RetryLimits
        The fleet-wide retry budget of each service.
    quarantine : Quarantine or None
        Records of requests that crashed targets; None starts with an empty one.
    cold_limits : ColdLimits or None
        Tolerance above the rate that cold targets bear; None for none.
    notices : TargetNotices or None
        What targets have said of themselves; None for an empty record.
    """

    uncounted_messages = (
        TextArrived,
        TargetsListed,
        TargetsChanged,
        TargetsSeenBefore,
        TargetLeaving,
        TargetResting,
        ZonesEvacuated,
        RoutersAlive,
        RetryLimits,
        PeerHeard,
        ServiceHeard,
        PartsReadElsewhere,
        StreamsBegunElsewhere,
        KeptHeard,
    )

    def __init__(
        self,
        node: NodeId,
        zone: ZoneId,
        incarnation: int,
        active_config: ActiveConfig,
        retry_limits: RetryLimits,
        quarantine: Quarantine | None = None,
        cold_limits: ColdLimits | None = None,
        notices: TargetNotices | None = None,
    ) -> None:
        super().__init__()
        self.node = node
        self.zone = zone
        self.incarnation = incarnation
        self.active_config = active_config
        self.retry_limits = retry_limits
        self.quarantine = quarantine or Quarantine()
        self.cold_limits = cold_limits or ColdLimits()
        self.notices = notices or TargetNotices()
        self.ledger = RecentUsage(node)
        self.pools = ServicePools(self._make_pool)
        self._failed_texts = FailedTexts()
        self._failed_messages = FailedMessages(self.pools, self._failed_texts, self._record_verdict)
        self.send_usage_report: Callable[[ServiceName, int, ServiceGiven], None] | None = None
        self.send_parts_read: Callable[[PartsRead], None] | None = None
        self.stream_records: RecordLink | None = None
        self.targets_age_s: Callable[[], float] = lambda: 0.0
        self.targets_position: Callable[[], StorePosition] = StorePosition
        self._resumptions = Resumptions(node)
        self._observation = TargetObservation()
        self.shard_usage_changes = ChangedUsage()
        self.fleet_size = 1
        self.live_routers: frozenset[str] = frozenset({node})
        self._router_lost_at = -math.inf
        # Routers that were lost since the store last confirmed the list of targets.
        self._lost_routers: frozenset[str] = frozenset()
        self._routers_heard_at = -math.inf
        self._newest_position = StorePosition()
        self.evacuated_zones: frozenset[ZoneId] = frozenset()
        # Called on each tick that is not late. Components that run at the same interval share this
        # thread; a thread per component would wake up 20 times a second on every router.
        self.tick_hooks: tuple[Callable[[float], None], ...] = ()
        self.gossip_usage_changes = ChangedUsage()
        self._gauges = PoolGauges()
        self._swept_revision = 0
        self._is_closing = False
        self._last_call: tuple[object, RequestId | None] = (None, None)
        self._parts_report_due_at = -math.inf
        self._grants = GrantThrottle(self._grant_ready, self.actor_inbox.empty)

    def on_receive(self, message: object) -> object:
        result = super().on_receive(message)
        if not self.contain(self._grants.run_due, message, _GRANT_ROUNDS):
            self.contain(self._failed_messages.repair, message)
        return result

    def request_of(self, message: object) -> str | None:
        if not isinstance(message, (FirstEvent, Settled)):
            return super().request_of(message)
        if self._last_call[0] is not message:
            self._note_call(message)
        return self._last_call[1]

    def _note_call(self, msg: FirstEvent | Settled) -> None:
        """Keep the id of the request of a message, which is forgotten as the message is handled."""
        found = (
            pool.request_of(msg.target, msg.call_id)
            for pool in self.pools.all_unsharded()
            if pool.name == msg.service
        )
        self._last_call = msg, next(found, None)

    def on_message_failed(self, message: object, exc: Exception) -> None:
        try:
            self._failed_messages.undo(message, exc)
        finally:
            self._failed_messages.repair()

    @singledispatchmethod
    def handle(self, message: object) -> object:
        """Handle a message; requests that it makes grantable wait for the next grant round."""
        log_unknown_message(message)
        return None

    # -- requests --------------------------------------------------------------------------

    @handle.register
    def _(self, msg: Ask) -> None:
        if self._is_closing:
            msg.reply.try_set_exception(draining())
            return
        now = time.monotonic()
        pool = self.pools.for_shard(msg.service, msg.shard)
        if not msg.retry and not msg.is_counted:
            pool.budget.note_request(now)
        try:
            context = self._placement_context(msg, now)
        except AdmissionError as exc:
            msg.reply.try_set_exception(exc)
            return
        request = PendingRequest(
            msg.req_id, msg.team, msg.cost, msg.queue_deadline, msg.reply, context
        )
        try:
            self.quarantine.check(context.fingerprint, now, msg.is_test)
            if msg.repeat and not msg.is_counted:
                self._charge(request, pool, now)
            # To its caller, a stream that is taken up is one that was dispatched before.
            pool.enqueue(request, now, msg.retry or msg.resumes is not None)
        except AdmissionError as exc:
            refuse(request, pool, exc)
            return
        except Exception:
            give_back_charge(request, pool)
            raise
        self._grants.request_round(pool, now)

    @staticmethod
    def _charge(request: PendingRequest, pool: ServicePool, now: float) -> None:
        """Charge a request to the retry budget; it is given back if the request is not granted."""
        if not pool.budget.try_spend(now):
            raise RepeatsUsedUp("repeats_used_up", _BUDGET_RETRY_AFTER_S)
        request.context.charged_at = now

    @handle.register
    def _(self, _msg: RefuseWaiting) -> None:
        self._is_closing = True
        for pool in self.pools.all():
            self.contain(partial(self._refuse_all, pool), _msg)

    @staticmethod
    def _refuse_all(pool: ServicePool) -> None:
        for request in pool.take_waiting():
            refuse(request, pool, draining())

    def _placement_context(self, msg: Ask, now: float) -> PlacementContext:
        return PlacementContext(
            msg.call_id,
            msg.prompt,
            msg.exclude,
            msg.origin,
            msg.zone,
            msg.fingerprint,
            answer_deadline=msg.answer_deadline,
            home_zones=msg.home_zones,
            version=self._required_version(msg, now),
            own_path=msg.own_path or msg.prompt is None,
            is_test=msg.is_test,
            # A refusal would use up its last try, or pause the stream that it continues.
            avoids_trials=msg.retry or msg.repeat or msg.resumes is not None,
        )

    def _required_version(self, msg: Ask, now: float) -> SoftwareVersion | None:
        """Return the software version that must run a request; None for any.

        On the own path only a record counts: the scheduler that refused the request may know of
        a version that this router has not heard of.

        Raises
        ------
        CannotResume
            The request takes up a stream, and which version began it is not known.
        """
        if msg.version is not None or msg.resumes is None:
            return msg.version
        targets = None if msg.own_path else self._targets_view(msg.service, now)
        return self._resumptions.find_version(msg.service, msg.resumes, targets, now)

    def _targets_view(self, service: ServiceName, now: float) -> TargetsView:
        versions = self.pools.unsharded(service).targets.recent_versions(now)
        known_s = self._targets_known_s(now)
        is_confirmed = self._is_list_confirmed(now)
        return TargetsView(versions, known_s, is_confirmed, self._streams_last_s(service))

    def _streams_last_s(self, service: ServiceName) -> float:
        """Return for how long a stream may be awaited whose target has left."""
        config = self.active_config.current
        timeout_s = None if config is None else config.stream_timeout_s(service)
        if timeout_s is None:
            return VERSION_RETENTION_S
        return min(VERSION_RETENTION_S, timeout_s + LEAVING_SERVES_S)

    def _targets_known_s(self, now: float) -> float:
        age_s = self.targets_age_s() if self.active_config.targets_listed else math.inf
        if now - age_s > self._router_lost_at:
            self._lost_routers = frozenset()
        self._observation.update(now, age_s, self._router_lost_at, self._routers_heard_at)
        return self._observation.known_s(now)

    def _is_list_confirmed(self, now: float) -> bool:
        is_confirmed = self._observation.is_confirmed(now, silent_timeout_s(self.fleet_size))
        return is_confirmed and self.targets_position() >= self._newest_position

    @handle.register
    def _(self, msg: Withdraw) -> None:
        for pool in self.pools.for_service(msg.service):
            request = pool.withdraw(msg.call_id)
            if request is not None:
                refuse(request, pool, CallerGone("caller gone while waiting"))
                return

    @handle.register
    def _(self, msg: FirstEvent) -> None:
        self._note_call(msg)
        pool = self.pools.unsharded(msg.service)
        now = time.monotonic()
        if msg.stream is not None:
            self._resumptions.record(msg.service, msg.stream, msg.version, now)
        pool.targets.record_first_event(msg.target, msg.call_id, msg.took_s, now)
        router = pool.targets.origin_of(msg.target, msg.call_id)
        self.notices.note_served(msg.target, now - msg.took_s, now, router)
        self._schedule_grants(msg.service, now)

    @handle.register
    def _(self, msg: Settled) -> None:
        self._note_call(msg)
        pool = self.pools.unsharded(msg.service)
        now = time.monotonic()
        if msg.verdict is not None:
            self._record_verdict(msg.verdict, msg.target, now)
        pool.settle(msg.target, msg.call_id, msg.outcome, now, msg.cost)
        self._schedule_grants(msg.service, now)

    def _record_verdict(self, verdict: CrashVerdict, target: TargetId, now: float) -> None:
        # Recorded here at once: the next request with the same content, or the same part of its
        # prompt, may arrive before the report that the router gossips to its peers.
        fingerprint = verdict.fingerprint
        if verdict.crashed:
            self.quarantine.record_crash(fingerprint, target, now, verdict.isolated)
        else:
            self.quarantine.record_answer(fingerprint, now)

    def _schedule_grants(self, service: ServiceName, now: float) -> None:
        for pool in self.pools.for_service(service):
            if len(pool.queue):
                self._grants.request_round(pool, now)

    def _grant_ready(self, pool: ServicePool, now: float) -> None:
        while not self._grant_until_failure(pool, now):
            pass
        self.note_success(_GRANT_ROUNDS)
        metrics.QUEUED.set(sum(len(pool.queue) for pool in self.pools.all()))

    def _grant_until_failure(self, pool: ServicePool, now: float) -> bool:
        """Grant what can be granted; return whether no placement failed.

        A request whose placement fails is refused alone. Left in the queue, it would fail each
        round, and the requests behind it would wait until their deadlines. Its failure counts for
        nothing else: sent again and again, it would end one scheduler after the other.
        """
        try:
            for sent in pool.dispatch_ready(now):
                self._grant(pool, sent, now)
        except PlacementFailed as exc:
            request = exc.pending
            self.log_failed(request, exc.__cause__)
            refuse(request, pool, InternalFailure("internal_failure", FAILED_RETRY_AFTER_S))
            return False
        return True

    def _grant(self, pool: ServicePool, sent: Dispatch, now: float) -> None:
        try:
            granted = to_granted(pool, sent)
        except Exception as exc:
            pool.cancel_dispatch(sent)
            raise PlacementFailed(sent.pending) from exc
        if not sent.pending.reply.try_set_result(granted):
            # The caller's thread stopped waiting concurrently. A booking that is never settled
            # would make the target look busy indefinitely.
            pool.cancel_dispatch(sent)
            give_back_charge(sent.pending, pool)

    @handle.register
    def _(self, msg: Tick) -> None:
        for pool in self.pools.all_unsharded():
            for step in (self._update_estimates, self._expire_overdue_prefills, self._drop_lost):
                self._run_pool_step(partial(step, pool, msg.now), msg)
        self._refuse_quarantined(msg)
        text = self._failed_texts.due(msg.now)
        if text is not None:
            self.actor_ref.tell(text)
        for pool in self.pools.all():
            if len(pool.queue):
                self._run_pool_step(partial(self._expire, pool, msg), msg, _EXPIRY)
                self._grants.request_round(pool, msg.now)
        self.run_step(partial(self._targets_known_s, msg.now), msg)
        steps = [] if msg.is_late() else [*self.tick_hooks, *self._reports()]
        for step in (*steps, self._report_gauges):
            self.run_step(partial(step, msg.now), msg)

    def _run_pool_step(
        self, step: Callable[[], object], msg: object, kind: str | None = None
    ) -> bool:
        """Do a step on one pool; repair the pools if it fails halfway."""
        is_done = self.run_step(step, msg, kind)
        if not is_done:
            self.run_step(self._failed_messages.repair, msg)
        return is_done

    def _reports(self) -> tuple[Callable[[float], None], ...]:
        return self._report_parts_read, self._report_streams_begun, self._report_usage

    @staticmethod
    def _update_estimates(pool: ServicePool, _now: float) -> None:
        pool.targets.update_estimates(ENGINE_WINDOW_S)

    def _drop_lost(self, pool: ServicePool, now: float) -> None:
        pool.drop_lost_calls(self.live_routers, now)

    def _expire(self, pool: ServicePool, msg: Tick) -> None:
        for request in pool.expire(msg.now):
            if not self.run_step(partial(refuse_expired, request, pool, msg.now), msg):
                refuse(request, pool, QueueTimeout("queue_timeout", FAILED_RETRY_AFTER_S))

    def _report_streams_begun(self, now: float) -> None:
        if self.stream_records is not None:
            self._resumptions.report(partial(self._targets_view, now=now), self.stream_records, now)

    def _report_gauges(self, now: float) -> None:
        if self._gauges.is_due(now):
            self._gauges.report(self.pools.engine_pools(), now)

    def _refuse_quarantined(self, msg: Tick) -> None:
        """Refuse pending requests that were quarantined while they waited."""
        revision = self.quarantine.revision
        if revision == self._swept_revision:
            return
        swept = [
            self._run_pool_step(partial(self._refuse_held, pool, msg.now), msg)
            for pool in self.pools.all()
        ]
        if all(swept):
            self._swept_revision = revision

    @staticmethod
    def _refuse_held(pool: ServicePool, now: float) -> None:
        for request in pool.take_held(now):
            refuse(request, pool, Quarantined("quarantined: while it waited", HOLD_S))

    def _report_usage(self, now: float) -> None:
        """Send per-team usage and the waiting teams to the schedulers of the other shards.

        Gossip alone is too slow for this in a large fleet: a team that one shard has just served
        would be served at each of the other shards as well.
        """
        if self.send_usage_report is None or not self.shard_usage_changes.is_due(now):
            return
        for service, pools in self.pools.shard_pools().items():
            waiting = sorted(set().union(*(pool.backlogged() for pool in pools.values())))
            changed = self.shard_usage_changes.take(self.ledger.local_counters())
            shard_count = max(shard.count for shard in pools)
            self.send_usage_report(
                service, shard_count, ServiceGiven(self.node, self.incarnation, changed, waiting)
            )

    def _report_parts_read(self, now: float) -> None:
        """Tell the other schedulers what the engines have read on behalf of this one.

        Gossip tells only a few routers of each read. A scheduler that takes over engines without
        knowing what they cache has all shared parts read again.
        """
        if self.send_parts_read is None or now < self._parts_report_due_at:
            return
        self._parts_report_due_at = now + _PARTS_REPORT_INTERVAL_S
        for pool in self.pools.unsharded_engine_pools():
            reads = pool.targets.take_reads_for_schedulers()
            if reads:
                self.send_parts_read(PartsRead(pool.name, reads))

    def _expire_overdue_prefills(self, pool: ServicePool, now: float) -> None:
        for target, read in pool.targets.expire_overdue_prefills(now):
            log_event(
                "answer_lost",
                target=target,
                service=pool.name,
                sent_ms_ago=round((now - read.sent_at) * 1000),
                expected_ms=round(read.expected_s * 1000),
                ahead_tokens=read.ahead_tokens,
            )

    # -- routing configuration and targets ---------------------------------------------------

    @handle.register
    def _(self, msg: TextArrived) -> None:
        config, previous = msg.config, self.active_config.current
        if not self._failed_texts.may_try(config.version, time.monotonic()):
            return
        if not self.active_config.activate_if_newer(config):
            return
        try:
            self._apply_config(config)
        except Exception:
            self._restore_config(previous)
            raise
        self._failed_texts.note_applied(config.version)
        log_event(
            "text_in_force",
            version=config.version,
            source=msg.source,
            routes=len(config.routes),
            teams=len(config.teams),
        )

    def _apply_config(self, config: RoutingConfig) -> None:
        self.ledger.weights = {team.name: team.weight for team in config.teams}
        for spec in config.services.values():
            self.pools.unsharded(spec.name).targets.set_spec(spec, config.tokens_per_s)
        self.active_config.shards = self.pools.update_shards()
        metrics.CONFIG_VERSION.set(config.version)

    def _restore_config(self, previous: RoutingConfig | None) -> None:
        """Put the last configuration in force again after the application of a newer one failed."""
        self.active_config.current = previous
        if previous is not None:
            self._apply_config(previous)

    @handle.register
    def _(self, msg: StartupState) -> None:
        self.active_config.set_startup(msg.may_serve, msg.confirmed)

    @handle.register
    def _(self, msg: TargetsListed) -> None:
        listed_ids = {info.id for info in msg.targets}
        for pool in self.pools.all_unsharded():
            for target in set(pool.targets.loads) - listed_ids:
                self._remove_alone(pool, target, msg)
        for info in msg.targets:
            self.contain(partial(self._update_target, info), msg)
        self.active_config.targets_listed = True
        self.active_config.shards = self.pools.update_shards()
        self._refuse_unservable()
        self._schedule_all_grants()

    @handle.register
    def _(self, msg: TargetsChanged) -> None:
        for change in msg.changes:
            if isinstance(change, TargetGone):
                self._remove_everywhere(change.id, msg)
            else:
                self.contain(partial(self._update_target, change), msg)
        self.active_config.shards = self.pools.update_shards()
        self._refuse_unservable()
        self._schedule_all_grants()

    @handle.register
    def _(self, msg: TargetLeaving) -> None:
        self._note_leaving(msg.target, "answer")

    @handle.register
    def _(self, msg: TargetResting) -> None:
        now = time.monotonic()
        if msg.repeated:
            self.notices.note_running_rest(msg.target, msg.rest_s, msg.router, now)
        elif msg.router:
            self.notices.note_rest(msg.target, msg.rest_s, msg.router, now)
        log_event(
            "target_resting",
            level="WARNING",
            target=msg.target,
            service=msg.service,
            rest_s=round(msg.rest_s, 2),
            router=msg.router or self.node,
            repeated=msg.repeated,
        )
        metrics.RESTING_TARGETS.set(self.notices.resting_count(now))
        for pool in self.pools.for_service(msg.service):
            for request, wait_s in pool.take_resting(now):
                refuse(request, pool, TargetsResting("targets_resting", wait_s))
        self._schedule_grants(msg.service, now)

    def _note_leaving(self, target: TargetId, source: str) -> None:
        """Take a target out of use that has said, here or to another router, that it leaves."""
        self.notices.note_leaving(target)
        if target in self.active_config.announced_leaving:
            return
        for pool in self.pools.all_unsharded():
            if target not in pool.targets.loads:
                continue
            pool.targets.mark_leaving(target)
            self._mark_leaving(target)
            log_event("target_leaving", target=target, service=pool.name, source=source)
            self.active_config.shards = self.pools.update_shards()
            self._refuse_unservable()
            self._schedule_all_grants()

    def _mark_leaving(self, target: TargetId) -> None:
        self._mark_unavailable(target)
        self.active_config.announced_leaving = self.active_config.announced_leaving | {target}

    @handle.register
    def _(self, msg: ZonesEvacuated) -> None:
        now = time.monotonic()
        before, self.evacuated_zones = self.evacuated_zones, msg.zones
        changed = [
            info
            for pool in self.pools.all_unsharded()
            for info in pool.targets.set_evacuated(msg.zones, now)
        ]
        for info in changed:
            self._record_phase(info)
        for zone in sorted(msg.zones ^ before):
            log_event(
                "zone_evacuated" if zone in msg.zones else "zone_taken_back",
                level="WARNING",
                evacuated_zone=zone,
                source=msg.source,
                era=msg.position.era,
                revision=msg.position.revision,
                targets=sum(info.zone == zone for info in changed),
            )
        metrics.EVACUATED_ZONES.set(len(msg.zones))
        self.active_config.shards = self.pools.update_shards()
        self._refuse_unservable()
        self._schedule_all_grants()

    def _refuse_unservable(self) -> None:
        for pool in self.pools.all():
            for request in pool.take_unservable():
                reason = unservable_reason(request, pool)
                refuse(request, pool, NoTarget(reason, NO_TARGET_RETRY_S))

    def _update_target(self, info: TargetInfo) -> None:
        for old_pool in self.pools.all_unsharded():
            if old_pool.name != info.service and info.id in old_pool.targets.loads:
                self._remove_target(old_pool, info.id)
        if info.phase is TargetPhase.READY and self.notices.is_leaving(info.id):
            # The entry is older than what the target has said, whenever it is read.
            info = replace(info, phase=TargetPhase.LEAVING)
        pool = self.pools.unsharded(info.service)
        previous = pool.targets.loads.get(info.id)
        pool.targets.add_or_update(info, time.monotonic())
        if previous is None or (
            previous.info.phase is TargetPhase.READY and info.phase is not TargetPhase.READY
        ):
            log_event(
                "target",
                target=info.id,
                service=info.service,
                phase=info.phase.value,
                software=info.version or "-",
            )
        self._record_phase(pool.targets.loads[info.id].info)

    def _record_phase(self, info: TargetInfo) -> None:
        active_config = self.active_config
        if info.phase is TargetPhase.LEAVING:
            self._mark_leaving(info.id)
            return
        active_config.announced_leaving = active_config.announced_leaving - {info.id}
        if info.phase is TargetPhase.READY:
            active_config.unavailable_targets = active_config.unavailable_targets - {info.id}
        else:
            active_config.unavailable_targets = active_config.unavailable_targets | {info.id}

    def _remove_everywhere(self, target: TargetId, msg: object) -> None:
        for pool in self.pools.all_unsharded():
            if target in pool.targets.loads:
                self._remove_alone(pool, target, msg)

    def _remove_alone(self, pool: ServicePool, target: TargetId, msg: object) -> None:
        """Remove a target; if that fails, the rest of the message is applied all the same."""
        if not self.contain(partial(self._remove_target, pool, target), msg):
            self.contain(partial(self._take_out_of_use, pool, target), msg)

    def _take_out_of_use(self, pool: ServicePool, target: TargetId) -> None:
        pool.targets.mark_leaving(target)
        self._mark_unavailable(target)

    def _mark_unavailable(self, target: TargetId) -> None:
        self.active_config.unavailable_targets = self.active_config.unavailable_targets | {target}

    def _remove_target(self, pool: ServicePool, target: TargetId) -> None:
        # Not added to the announced targets: the entry of a crashed target may be removed before
        # the answers that the crash interrupted have failed, so removal is no announcement.
        pool.targets.remove(target, time.monotonic())
        self._mark_unavailable(target)
        log_event("target", target=target, service=pool.name, phase=TargetPhase.GONE.value)

    def _schedule_all_grants(self) -> None:
        now = time.monotonic()
        for pool in self.pools.all():
            if len(pool.queue):
                self._grants.request_round(pool, now)

    # -- peers -------------------------------------------------------------------------------

    @handle.register
    def _(self, msg: PeerHeard) -> None:
        summary, now = msg.summary, time.monotonic()
        node = NodeId(summary.node)
        target_work = {
            w.target: PeerLoad(w.running, w.unread_tokens, now) for w in summary.target_work
        }
        for pool in self.pools.all_unsharded():
            pool.targets.update_peer_load(node, target_work)
            for read in summary.reads:
                pool.targets.record_peer_read(
                    read.target, [PromptPart(PartId(read.part), read.tokens)]
                )
        self.ledger.merge(summary.node, summary.incarnation, summary.service)
        self.ledger.note_waiting(node, map(TeamId, summary.waiting))
        for target in map(TargetId, summary.leaving):
            self._note_leaving(target, f"peer:{node}")
        self._note_peer_observation(summary, now)
        self._schedule_all_grants()

    def _note_peer_observation(self, summary: RouterSummary, now: float) -> None:
        """Take over what a peer knows of targets that were there before this router's list."""
        for gone in summary.gone_versions:
            targets = self.pools.unsharded(ServiceName(gone.service)).targets
            targets.note_gone_version(SoftwareVersion(gone.version), now - gone.gone_s)
        peer = StorePosition(summary.targets_era, summary.targets_revision)
        self._newest_position = max(self._newest_position, peer)
        # The last targets of a version may be gone here that an older list still has.
        if peer >= self.targets_position():
            self._observation.extend(summary.targets_known_s, now)

    @handle.register
    def _(self, msg: TargetsSeenBefore) -> None:
        now = time.monotonic()
        for service, version in msg.versions:
            self.pools.unsharded(service).targets.note_gone_version(version, now)
        self._targets_known_s(now)
        self._observation.extend_by_history(min(msg.known_s, 2 * VERSION_RETENTION_S), now)

    @handle.register
    def _(self, msg: ServiceHeard) -> None:
        report = msg.report
        usage_by_team = {TeamId(team): tokens for team, tokens in report.service.items()}
        self.ledger.merge(report.scheduler, report.incarnation, usage_by_team)
        self.ledger.note_waiting(report.scheduler, map(TeamId, report.waiting))

    @handle.register
    def _(self, msg: PartsReadElsewhere) -> None:
        targets = self.pools.unsharded(ServiceName(msg.report.service)).targets
        for target, part, tokens in msg.report.reads:
            targets.record_peer_read(TargetId(target), [PromptPart(PartId(part), tokens)])

    @handle.register
    def _(self, msg: StreamsBegunElsewhere) -> None:
        self._resumptions.merge(msg.report, time.monotonic())

    @handle.register
    def _(self, msg: KeptHeard) -> None:
        for pool in self.pools.unsharded_engine_pools():
            for target, parts in msg.cached.items():
                pool.targets.record_cached(target, parts, msg.announce_to_peers)
        self._schedule_all_grants()

    @handle.register
    def _(self, msg: KeptQuery) -> CachedParts:
        return {
            target: load.prefix_cache.parts()
            for pool in self.pools.unsharded_engine_pools()
            for target, load in pool.targets.loads.items()
        }

    @handle.register
    def _(self, msg: EnginesQuery) -> list[TargetInfo]:
        return [
            load.info
            for pool in self.pools.unsharded_engine_pools()
            for load in pool.targets.loads.values()
            if load.info.phase is not TargetPhase.EVACUATED
        ]

    @handle.register
    def _(self, msg: RetryLimits) -> None:
        self.retry_limits = msg
        for pool in self.pools.all_unsharded():
            pool.budget.set_limits(msg.ratio, msg.floor, msg.window_s)

    @handle.register
    def _(self, msg: RoutersAlive) -> None:
        now, lost = time.monotonic(), self.live_routers - msg.nodes
        if lost:
            self._router_lost_at = now
        self._lost_routers = (self._lost_routers | lost) - msg.nodes
        # With most of the others lost, it is this router that may be cut off.
        if len(self._lost_routers) < len(msg.nodes):
            self._routers_heard_at = min(msg.heard_at, now)
        self.fleet_size = len(msg.nodes)
        self.live_routers = msg.nodes
        for pool in self.pools.all_unsharded():
            self._set_fleet_size(pool)

    def _set_fleet_size(self, pool: ServicePool) -> None:
        pool.router_count = self.fleet_size
        pool.targets.version_hold_s = silent_timeout_s(self.fleet_size) + _VERSION_HOLD_MARGIN_S
        # This router's fraction of the shared floor only shrinks: routers that look gone may be
        # partitioned from here and still spend their fractions.
        pool.budget.router_count = max(pool.budget.router_count, self.fleet_size)

    @handle.register
    def _(self, msg: OnTick) -> None:
        self.tick_hooks = msg.hooks
        self.send_usage_report = msg.send_usage_report
        self.send_parts_read = msg.send_parts_read
        self.stream_records = msg.stream_records
        self.targets_age_s = msg.targets_age_s
        self.targets_position = msg.targets_position

    @handle.register
    def _(self, msg: SummaryQuery) -> RouterSummary:
        now = time.monotonic()
        return RouterSummary(
            node=self.node,
            incarnation=self.incarnation,
            text_version=self.active_config.version,
            target_work=self._local_work(),
            service=self.gossip_usage_changes.take(self.ledger.local_counters()),
            waiting=sorted({team for pool in self.pools.all() for team in pool.backlogged()}),
            reads=self._collect_reads(),
            caught_up=self.active_config.confirmed,
            leaving=self.notices.leaving_among(self._known_targets(), _MAX_REPORTED_LEAVING),
            targets_known_s=int(self._targets_known_s(now)),
            gone_versions=[
                GoneVersion(pool.name, version, round(now - gone_at, 1))
                for pool in self.pools.all_unsharded()
                for version, gone_at in pool.targets.gone_versions(now).items()
            ],
        )

    def _known_targets(self) -> list[TargetId]:
        return [target for pool in self.pools.all_unsharded() for target in pool.targets.loads]

    def _collect_reads(self) -> list[PartRead]:
        reads = {}
        for pool in self.pools.all_unsharded():
            for target, parts in pool.targets.take_unreported_reads():
                reads.update({(target, part.part_id): part.tokens for part in parts})
        return [PartRead(target, part, tokens) for (target, part), tokens in reads.items()]

    def _local_work(self) -> list[TargetWork]:
        return [
            TargetWork(load.info.id, load.running, load.local_unread_tokens())
            for pool in self.pools.all_unsharded()
            for load in pool.targets.loads.values()
            if load.running
        ]

    @handle.register
    def _(self, msg: BrokerQuery) -> dict[str, object]:
        now = time.monotonic()
        return {
            "node": self.node,
            "text_version": self.active_config.version,
            "routers": self.fleet_size,
            "evacuated_zones": sorted(self.evacuated_zones),
            "refused_text_version": self._failed_texts.version,
            "services": {pool.name: pool.describe(now) for pool in self.pools.all_unsharded()},
        }

    def _is_owner(self, target: TargetId, owners: int) -> bool:
        """Return whether this router is among the ``owners`` of a target."""
        ranks = sorted((rank(target, node) for node in self.live_routers), reverse=True)
        return rank(target, self.node) in ranks[:owners]

    def _make_pool(self, service: ServiceName) -> ServicePool:
        limits = self.retry_limits
        budget = RetryBudget(limits.ratio, limits.floor, limits.window_s)
        pool = ServicePool(
            service,
            self.zone,
            self.ledger,
            budget,
            crashes=self.quarantine,
            cold_targets=ColdTargets(self.cold_limits, self._is_owner),
            notices=self.notices,
        )
        self._set_fleet_size(pool)
        pool.targets.set_evacuated(self.evacuated_zones)
        config = self.active_config.current
        if config is not None and service in config.services:
            pool.targets.set_spec(config.services[service], config.tokens_per_s)
        return pool
