"""The broker: the actor that owns the pools and grants targets to requests."""

import time
from collections.abc import Callable
from functools import singledispatchmethod

from turmerictray.admission.budget import RetryBudget
from turmerictray.admission.pool import Outcome, Sent, ServicePool, Wanted
from turmerictray.admission.quarantine import LAST_TRY_AT, Quarantine
from turmerictray.config.routes import RoutingText
from turmerictray.core import metrics
from turmerictray.core.actor import VitalActor
from turmerictray.core.errors import AdmissionError, CallerGone, QueueTimeout, RepeatsUsedUp
from turmerictray.core.ids import (
    NodeId,
    RequestDigest,
    ServiceName,
    TargetId,
    TeamId,
    ZoneId,
)
from turmerictray.core.logs import log_event, log_unknown_message
from turmerictray.core.timer import Tick
from turmerictray.fairness.changed import ChangedService
from turmerictray.fairness.queue import Pending
from turmerictray.fairness.recent import RecentService
from turmerictray.membership.messages import PartRead, RouterSummary, TargetWork
from turmerictray.router.broker_messages import (
    Ask,
    BrokerQuery,
    CaughtUp,
    EnginesQuery,
    FirstEvent,
    Granted,
    KeptHeard,
    KeptParts,
    KeptQuery,
    OnTick,
    PeerHeard,
    RoutersAlive,
    ServiceHeard,
    Settled,
    SummaryQuery,
    TargetLeaving,
    TargetsChanged,
    TargetsListed,
    TextArrived,
    Withdraw,
)
from turmerictray.router.pool_gauges import PoolGauges
from turmerictray.router.rounds import GrantRounds
from turmerictray.router.service_pools import ServicePools
from turmerictray.router.text_in_force import RepeatLimits, TextInForce
from turmerictray.routing.load import PeerLoad, TargetInfo, TargetPhase
from turmerictray.routing.prompt import Part, PartId
from turmerictray.scheduling.messages import ServiceGiven

_BUSY_RETRY_S = 0.5


class Broker(VitalActor):
    """Grants targets to requests, by team.

    Parameters
    ----------
    node : NodeId
    zone : ZoneId
    incarnation : int
        This process's start time in nanoseconds.
    in_force : TextInForce
        Where the text in force is put for other threads to read.
    repeats : RepeatLimits
        The fleet's budget of repeats, per service.
    quarantine : Quarantine or None
        What is known of requests under which targets have ended; None for nothing yet.
    """

    def __init__(
        self,
        node: NodeId,
        zone: ZoneId,
        incarnation: int,
        in_force: TextInForce,
        repeats: RepeatLimits,
        quarantine: Quarantine | None = None,
    ) -> None:
        super().__init__()
        self.node = node
        self.zone = zone
        self.incarnation = incarnation
        self.in_force = in_force
        self.repeats = repeats
        self.quarantine = quarantine or Quarantine()
        self.ledger = RecentService(node)
        self.pools = ServicePools(self._make_pool)
        self.tell_given: Callable[[ServiceName, int, ServiceGiven], None] | None = None
        self.given = ChangedService()
        self.routers = 1
        self.alive: frozenset[str] = frozenset({node})
        # Called with each tick that is not late. Parts that look after requests at the same rhythm
        # need no thread of their own: each would wake up twenty times a second on every router.
        self.on_tick: tuple[Callable[[float], None], ...] = ()
        self.summarised = ChangedService()
        self._gauges = PoolGauges()
        self._rounds = GrantRounds(self._grant_all, self.actor_inbox.empty)

    def on_receive(self, message: object) -> object:
        result = self.handle(message)
        self._rounds.run_due()
        return result

    @singledispatchmethod
    def handle(self, message: object) -> object:
        """Take a message; what it makes possible is granted in the next round."""
        log_unknown_message(message)
        return None

    # -- requests --------------------------------------------------------------------------

    @handle.register
    def _(self, msg: Ask) -> None:
        now = time.monotonic()
        pool = self.pools.of(msg.service, msg.shard)
        if not msg.retry:
            pool.budget.note_request(now)
        wanted = self._wanted(msg, now)
        item = Pending(msg.req_id, msg.team, msg.cost, msg.wait_until, msg.reply, wanted)
        try:
            self.quarantine.check(msg.digest, now)
            if msg.repeat and not pool.budget.take(now):
                raise RepeatsUsedUp("repeats_used_up", _BUSY_RETRY_S)
            pool.offer(item, now, msg.retry)
        except AdmissionError as exc:
            msg.reply.refuse(exc)
            return
        self._rounds.want(pool, now)

    def _wanted(self, msg: Ask, now: float) -> Wanted:
        return Wanted(
            msg.call_id,
            msg.prompt,
            msg.exclude,
            msg.origin,
            msg.zone,
            msg.digest,
            apart=self.quarantine.endings(msg.digest, now) >= LAST_TRY_AT,
            give_up=msg.give_up,
        )

    @handle.register
    def _(self, msg: Withdraw) -> None:
        for pool in self.pools.of_service(msg.service):
            item = pool.withdraw(msg.call_id)
            if item is not None:
                item.reply.refuse(CallerGone("caller gone while waiting"))
                return

    @handle.register
    def _(self, msg: FirstEvent) -> None:
        pool = self.pools.whole(msg.service)
        pool.targets.first_event(msg.target, msg.call_id, msg.took_s)
        self._want(msg.service, time.monotonic())

    @handle.register
    def _(self, msg: Settled) -> None:
        pool = self.pools.whole(msg.service)
        now = time.monotonic()
        if msg.outcome is Outcome.TARGET_ENDED:
            # Its router's own word to all others takes longer than the next copy of a request.
            self.quarantine.note_ended(msg.digest, msg.target, now)
        pool.settle(msg.target, msg.call_id, msg.outcome, now, msg.cost)
        self._want(msg.service, now)

    def _want(self, service: ServiceName, now: float) -> None:
        for pool in self.pools.of_service(service):
            if len(pool.queue):
                self._rounds.want(pool, now)

    def _grant_all(self, pool: ServicePool, now: float) -> None:
        for sent in pool.sends(now):
            self._grant(pool, sent, now)
        metrics.QUEUED.set(sum(len(each.queue) for each in self.pools.all()))

    def _grant(self, pool: ServicePool, sent: Sent, now: float) -> None:
        item, placement = sent.item, sent.placement
        granted = Granted(
            placement.load.info,
            placement.expected_s,
            placement.miss_tokens,
            placement.ahead_tokens,
            fetch_from=placement.source.address if placement.source else "",
            backlog_s=pool.backlog_s(),
        )
        if not item.reply.give(granted):
            # The caller's thread stopped waiting at this very moment; a booking that nobody
            # settles would make the target look busy for good.
            pool.unbook(sent)

    @handle.register
    def _(self, msg: Tick) -> None:
        for pool in self.pools.wholes():
            pool.targets.judge_slowness()
            self._give_up_reads(pool, msg.now)
            pool.drop_lost_calls(self.alive, msg.now)
        for pool in self.pools.all():
            for item in pool.expire(msg.now):
                reason = _timeout_reason(item, pool, msg.now)
                item.reply.refuse(QueueTimeout(reason, pool.expected_wait_s(item)))
            if len(pool.queue):
                self._rounds.want(pool, msg.now)
        if not msg.is_late():
            for hook in self.on_tick:
                hook(msg.now)
            self._tell_given(msg.now)
        if self._gauges.is_due(msg.now):
            self._gauges.tell(self.pools.of_engines(), msg.now)

    def _tell_given(self, now: float) -> None:
        """Tell the schedulers of other shards what teams were given and which wait here.

        Messages among all routers bring that too late in a large fleet: a team that is served by
        one shard would have its turn at each of the others as well.
        """
        if self.tell_given is None or not self.given.is_due(now):
            return
        for service, pools in self.pools.scheduled().items():
            waiting = sorted(set().union(*(pool.backlogged() for pool in pools.values())))
            changed = self.given.take(self.ledger.told())
            count = max(shard.count for shard in pools)
            self.tell_given(
                service, count, ServiceGiven(self.node, self.incarnation, changed, waiting)
            )

    def _give_up_reads(self, pool: ServicePool, now: float) -> None:
        for target, read in pool.targets.give_up_reads(now):
            log_event(
                "answer_lost",
                target=target,
                service=pool.name,
                sent_ms_ago=round((now - read.sent_at) * 1000),
                expected_ms=round(read.expected_s * 1000),
                ahead_tokens=read.ahead_tokens,
            )

    # -- the text and the targets ------------------------------------------------------------

    @handle.register
    def _(self, msg: TextArrived) -> None:
        if not self.in_force.offer(msg.text):
            return
        text = msg.text
        self._apply(text)
        log_event(
            "text_in_force",
            version=text.version,
            source=msg.source,
            routes=len(text.routes),
            teams=len(text.teams),
        )

    def _apply(self, text: RoutingText) -> None:
        self.ledger.weights = {team.name: team.weight for team in text.teams}
        for spec in text.services.values():
            self.pools.whole(spec.name).targets.set_spec(spec, text.tokens_per_s)
        self.in_force.shards = self.pools.divide()
        metrics.CONFIG_VERSION.set(text.version)

    @handle.register
    def _(self, msg: CaughtUp) -> None:
        self.in_force.caught_up = True

    @handle.register
    def _(self, msg: TargetsListed) -> None:
        listed = {info.id for info in msg.targets}
        for pool in self.pools.wholes():
            for target in set(pool.targets.loads) - listed:
                self._drop(pool, target)
        for info in msg.targets:
            self._take(info)
        self.in_force.targets_listed = True
        self.in_force.shards = self.pools.divide()
        self._want_all()

    @handle.register
    def _(self, msg: TargetsChanged) -> None:
        for target in msg.gone:
            for pool in self.pools.wholes():
                if target in pool.targets.loads:
                    self._drop(pool, target)
        for info in msg.changed:
            self._take(info)
        self.in_force.shards = self.pools.divide()
        self._want_all()

    @handle.register
    def _(self, msg: TargetLeaving) -> None:
        self.pools.whole(msg.service).targets.mark_leaving(msg.target)
        self._note_leaving(msg.target)

    def _note_leaving(self, target: TargetId) -> None:
        self.in_force.leaving = self.in_force.leaving | {target}
        self.in_force.announced = self.in_force.announced | {target}

    def _take(self, info: TargetInfo) -> None:
        for other in self.pools.wholes():
            if other.name != info.service and info.id in other.targets.loads:
                self._drop(other, info.id)
        pool = self.pools.whole(info.service)
        known = pool.targets.loads.get(info.id)
        pool.targets.take(info)
        if known is None or (
            known.info.phase is TargetPhase.READY and info.phase is not TargetPhase.READY
        ):
            log_event("target", target=info.id, service=info.service, phase=info.phase.value)
        self._note_phase(pool.targets.loads[info.id].info)

    def _note_phase(self, info: TargetInfo) -> None:
        if info.phase is TargetPhase.READY:
            self.in_force.leaving = self.in_force.leaving - {info.id}
            self.in_force.announced = self.in_force.announced - {info.id}
        else:
            self._note_leaving(info.id)

    def _drop(self, pool: ServicePool, target: str) -> None:
        # The entry of one that has crashed may be gone before the answers that it broke off: that
        # announces nothing.
        pool.targets.drop(target)
        self.in_force.leaving = self.in_force.leaving | {TargetId(target)}
        log_event("target", target=target, service=pool.name, phase=TargetPhase.GONE.value)

    def _want_all(self) -> None:
        now = time.monotonic()
        for pool in self.pools.all():
            if len(pool.queue):
                self._rounds.want(pool, now)

    # -- peers -------------------------------------------------------------------------------

    @handle.register
    def _(self, msg: PeerHeard) -> None:
        summary, now = msg.summary, time.monotonic()
        node = NodeId(summary.node)
        work = {w.target: PeerLoad(w.running, w.unread_tokens, now) for w in summary.work}
        for pool in self.pools.wholes():
            pool.targets.hear_peer(node, work)
            for read in summary.reads:
                pool.targets.note_peer_read(read.target, [Part(PartId(read.part), read.tokens)])
        self.ledger.merge(summary.node, summary.incarnation, summary.service)
        self.ledger.note_waiting(node, map(TeamId, summary.waiting))
        self._want_all()

    @handle.register
    def _(self, msg: ServiceHeard) -> None:
        given = msg.given
        service = {TeamId(team): tokens for team, tokens in given.service.items()}
        self.ledger.merge(given.scheduler, given.incarnation, service)
        self.ledger.note_waiting(given.scheduler, map(TeamId, given.waiting))

    @handle.register
    def _(self, msg: KeptHeard) -> None:
        for pool in self.pools.engines():
            for target, parts in msg.kept.items():
                pool.targets.note_listed(target, parts, msg.tell_peers)
        self._want_all()

    @handle.register
    def _(self, msg: KeptQuery) -> KeptParts:
        return {
            target: load.kept.parts()
            for pool in self.pools.engines()
            for target, load in pool.targets.loads.items()
        }

    @handle.register
    def _(self, msg: EnginesQuery) -> list[TargetInfo]:
        return [load.info for pool in self.pools.engines() for load in pool.targets.loads.values()]

    @handle.register
    def _(self, msg: RepeatLimits) -> None:
        self.repeats = msg
        for pool in self.pools.wholes():
            pool.budget.set_limits(msg.ratio, msg.floor, msg.window_s)

    @handle.register
    def _(self, msg: RoutersAlive) -> None:
        self.routers = len(msg.nodes)
        self.alive = msg.nodes
        for pool in self.pools.wholes():
            self._set_fleet_size(pool)

    def _set_fleet_size(self, pool: ServicePool) -> None:
        pool.routers = self.routers
        # The part of the shared floor only shrinks: routers that are cut off from here may live
        # on and spend theirs.
        pool.budget.routers = max(pool.budget.routers, self.routers)

    @handle.register
    def _(self, msg: OnTick) -> None:
        self.on_tick = msg.hooks
        self.tell_given = msg.tell_given

    @handle.register
    def _(self, msg: SummaryQuery) -> RouterSummary:
        return RouterSummary(
            node=self.node,
            incarnation=self.incarnation,
            text_version=self.in_force.version,
            work=self._own_work(),
            service=self.summarised.take(self.ledger.told()),
            waiting=sorted({team for pool in self.pools.all() for team in pool.backlogged()}),
            reads=self._take_reads(),
            caught_up=self.in_force.caught_up,
        )

    def _take_reads(self) -> list[PartRead]:
        reads = {}
        for pool in self.pools.wholes():
            for target, parts in pool.targets.take_reads():
                reads.update({(target, part.part_id): part.tokens for part in parts})
        return [PartRead(target, part, tokens) for (target, part), tokens in reads.items()]

    def _own_work(self) -> list[TargetWork]:
        return [
            TargetWork(load.info.id, load.running, load.own_unread_tokens())
            for pool in self.pools.wholes()
            for load in pool.targets.loads.values()
            if load.running
        ]

    @handle.register
    def _(self, msg: BrokerQuery) -> dict[str, object]:
        now = time.monotonic()
        return {
            "node": self.node,
            "text_version": self.in_force.version,
            "routers": self.routers,
            "services": {pool.name: pool.describe(now) for pool in self.pools.wholes()},
        }

    def _is_suspect(self, digest: RequestDigest) -> bool:
        return self.quarantine.endings(digest, time.monotonic()) > 0

    def _make_pool(self, service: ServiceName) -> ServicePool:
        limits = self.repeats
        budget = RetryBudget(limits.ratio, limits.floor, limits.window_s)
        pool = ServicePool(service, self.zone, self.ledger, budget, is_suspect=self._is_suspect)
        self._set_fleet_size(pool)
        text = self.in_force.current
        if text is not None and service in text.services:
            pool.targets.set_spec(text.services[service], text.tokens_per_s)
        return pool


def _timeout_reason(item: Pending, pool: ServicePool, now: float) -> str:
    """Why a request was not granted in time, for the log."""
    waited_for = item.context.waited_for
    if waited_for is None:
        return f"queue_timeout: {len(pool.queue)} others wait"
    overdue_ms = round(waited_for.overdue_s(now) * 1000)
    return (
        f"queue_timeout: {len(pool.queue)} others wait, "
        f"for {waited_for.info.id} overdue {overdue_ms} ms"
    )
