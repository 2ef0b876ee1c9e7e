"""The dispatcher actor, which owns the fair queues, the service ledger and the target table.

Every request is queued here until it is granted a slot on a target. Slots are granted as soon as
they are free, so that no engine is idle while requests wait. The order of grants across teams
follows the ledger, which counts each team's service fleet-wide.
"""

import math
import os
import time
from functools import partial, singledispatchmethod

from turmerictray.config.schema import Config
from turmerictray.config.snapshot import ConfigSnapshot
from turmerictray.config.state import ConfigState
from turmerictray.core import metrics
from turmerictray.core.actor import VitalActor
from turmerictray.core.errors import (
    AdmissionError,
    Draining,
    InternalFailure,
    NoTarget,
    QueueFull,
    QueueTimeout,
    Starting,
)
from turmerictray.core.ids import NodeId, ServiceName, TeamId
from turmerictray.core.logs import close_logs, log_event, log_unknown_message
from turmerictray.core.timer import Tick
from turmerictray.fairness.admission_limit import AdmissionLimit
from turmerictray.fairness.ledger import UsageLedger
from turmerictray.fairness.queue import FairQueue, PendingRequest
from turmerictray.fairness.slot_allocation import SlotCount
from turmerictray.fairness.slots import SlotShares
from turmerictray.membership.reachability import HeardPeers, Reachability
from turmerictray.router.messages import (
    Admit,
    ConfigApplied,
    Drain,
    Finished,
    Grant,
    Listing,
    LoadReport,
    PeersProbed,
    PeerSummary,
    Report,
    ReportQuery,
    SilentPeers,
    SilentPeersQuery,
    StatusQuery,
    TargetsQuery,
)
from turmerictray.router.published import Position
from turmerictray.router.startup_check import StartupCheck, StartupLimits, StartupResult
from turmerictray.router.status import RouterStatus, TargetStatus, TeamStatus
from turmerictray.routing.choice import choose_target
from turmerictray.routing.table import TargetTable
from turmerictray.routing.target import TargetState, TargetView

_FAILED_RETRY_AFTER_S = 1.0
"""Retry-After in seconds of a request whose own message failed unexpectedly."""

_STARTING_RETRY_AFTER_S = 1.0

INVARIANT_EXIT_STATUS = 70
"""Exit status of a router that detected a violated invariant in assertion mode."""


_EXPIRY = "Dispatcher:expiry"
_GRANTS = "Dispatcher:grants"
"""Kinds of work under which failures of ticks are counted."""


class Dispatcher(VitalActor):
    """Scheduler of target slots that shares them fairly and is work-conserving.

    Parameters
    ----------
    node : NodeId
        This router.
    incarnation : int
        Start time of this process in nanoseconds. It identifies the process to peers and is the
        fencing number of its requests to targets.
    snapshot : ConfigSnapshot
        Receives the active configuration, for other components to read.
    assertions : bool
        Whether to check the dispatcher's invariants after every message, which is slower. Meant
        for randomised tests.
    peer_timeout_s : float
        Time after which a silent peer is ignored, and maximum wait at startup for peers that are
        down or partitioned, in seconds.
    expected_peers : frozenset of str
        Peers named in the settings. The router becomes ready once it has received a heartbeat
        from each of them, except those that the instance list marks as gone, and its
        configuration is as new as theirs. For the other cases see
        :class:`~turmerictray.router.startup_check.StartupCheck`.
    front_capacity : int
        Maximum number of requests in the front at once, one per thread.
    peer_addresses : dict of str to str or None
        Heartbeat address of each peer, by name. A peer without one is never probed.
    unresponsive_peer_timeout_s : float
        Maximum wait at startup for peers that accept connections but are silent, in seconds.
    """

    def __init__(
        self,
        node: NodeId,
        incarnation: int,
        snapshot: ConfigSnapshot,
        assertions: bool = False,
        peer_timeout_s: float = 3.0,
        expected_peers: frozenset[str] = frozenset(),
        front_capacity: int = 256,
        peer_addresses: dict[str, str] | None = None,
        unresponsive_peer_timeout_s: float = 30.0,
    ) -> None:
        super().__init__()
        self.node = node
        self.incarnation = incarnation
        self.snapshot = snapshot
        self.snapshot.starting = True
        self.assertions = assertions
        self.ledger = UsageLedger(node, incarnation)
        self.config = ConfigState()
        self.table = TargetTable()
        self.queues: dict[ServiceName, FairQueue] = {}
        self.hold = AdmissionLimit(front_capacity)
        self.draining = False
        self.shares = SlotShares(node, peer_timeout_s)
        limits = StartupLimits(
            no_peers_s=0.0,
            all_starting_s=0.0,
            no_report_s=peer_timeout_s,
            unresponsive_s=unresponsive_peer_timeout_s,
            confirm_all_s=peer_timeout_s,
        )
        self.startup = StartupCheck(node, time.monotonic(), limits)
        self.expected_peers = frozenset(expected_peers)
        self.heard_peers = HeardPeers(peer_addresses or {}, peer_timeout_s)
        self.gone_peers: set[str] = set()
        self.accepting_peers: set[str] = set()
        self.min_config_version = 0

    def on_receive(self, message: object) -> object:
        result = super().on_receive(message)
        if self.assertions:
            try:
                self._check_invariants()
            except AssertionError as exc:
                # A pykka actor that raises an error stops only itself, and the router would hang
                # without a sign of failure. The process is ended instead.
                log_event(
                    "invariant_broken", level="ERROR", reason=str(exc), after=type(message).__name__
                )
                close_logs()
                os._exit(INVARIANT_EXIT_STATUS)
        return result

    def on_message_failed(self, message: object, _exc: Exception) -> None:
        if isinstance(message, Admit):
            # The queue drops a request whose reply is complete.
            failure = InternalFailure("internal_failure", _FAILED_RETRY_AFTER_S)
            message.reply.try_set_exception(failure)

    @singledispatchmethod
    def handle(self, message: object) -> object:
        log_unknown_message(message)
        return None

    @handle.register
    def _(self, msg: Admit) -> None:
        cfg = self.config.current
        if self.draining and not msg.retry:
            retry = cfg.limits.retry_after_s if cfg else 1.0
            msg.reply.try_set_exception(Draining("draining", retry))
            return
        if cfg is not None and not self._has_caught_up(msg):
            msg.reply.try_set_exception(Starting("starting", _STARTING_RETRY_AFTER_S))
            return
        if cfg is None or not self.table.of_service(msg.placement.service):
            msg.reply.try_set_exception(
                NoTarget("no_target", cfg.limits.retry_after_s if cfg else 1)
            )
            return
        pending = PendingRequest(
            msg.req_id,
            msg.team,
            msg.estimated_cost,
            msg.arrived + cfg.limits.queue_timeout_s,
            msg.reply,
            msg.placement,
        )
        queue = self._queue_for(msg.placement.service)
        was_empty = not len(queue)
        try:
            self._check_front_capacity(msg, cfg)
            queue.push(pending, front=msg.retry)
        except QueueFull as exc:
            msg.reply.try_set_exception(exc)
            return
        self.hold.acquire(msg.team)
        if was_empty:
            # While its queue was empty, this router claimed no slots. Without new claims, the
            # request would wait for the next tick although its team is entitled to a slot now.
            self._claim_slots(msg.placement.service)
        self._grant_free_slots()

    def _has_caught_up(self, msg: Admit) -> bool:
        """Return whether the request was parsed with a configuration as new as the peers'.

        A restarted router may have read an outdated configuration from a stale configuration
        service. Requests that it served before it knew its peers' versions, or that it parsed
        before, would be handled by rules that an accepted change has replaced.
        """
        return self.startup.may_serve and msg.config_version >= self.min_config_version

    @handle.register
    def _(self, msg: Finished) -> None:
        view = self.table.targets.get(msg.target)
        if view is not None:
            view.set_inflight(max(0, view.inflight - 1))
            if not msg.target_reached:
                view.note_unreachable(time.monotonic())
                log_event("target_unreachable", target=view.id, failures=view.failures)
            if msg.rest_s:
                view.note_rest(msg.rest_s, time.monotonic())
                log_event("target_resting", target=view.id, rest_s=round(msg.rest_s, 2))
        self.hold.release(msg.team)
        self.ledger.settle(msg.team, msg.estimated_cost, msg.cost)
        metrics.TOKENS.labels(msg.team).inc(msg.cost)
        self._grant_free_slots()

    @handle.register
    def _(self, msg: ConfigApplied) -> None:
        previous = self.config.current
        if not self.config.offer(msg.cfg):
            log_event("config_ignored", version=msg.cfg.version, in_force=self.config.version)
            return
        try:
            self._apply_config(msg.cfg)
        except Exception:
            # The last good one stays in force as a whole.
            self.config.current = previous
            if previous is not None:
                self._apply_config(previous)
            raise
        log_event("config_in_force", version=msg.cfg.version)
        self._update_startup(time.monotonic())
        self._grant_free_slots()

    @handle.register
    def _(self, msg: Listing) -> None:
        for tid in self.table.apply_listing(msg.states):
            log_event("target_leaving", target=tid, state=self.table.targets[tid].state.value)
        self.gone_peers = {tid for tid, state in msg.states.items() if state is TargetState.GONE}
        self._update_startup(time.monotonic())
        self._grant_free_slots()

    @handle.register
    def _(self, msg: LoadReport) -> None:
        view = self.table.targets.get(msg.target)
        if view is not None:
            view.note_reached()
            measured_at = time.monotonic() - msg.age_s
            self.table.report_load(msg.target, msg.busy, view.inflight_at(measured_at))
            self._grant_free_slots()

    @handle.register
    def _(self, msg: PeerSummary) -> None:
        if self.ledger.merge(msg.counters):
            log_event("peer_life", peer=msg.counters.node, incarnation=msg.counters.incarnation)
        for counters in msg.earlier_counters:
            self.ledger.merge(counters)
        self.shares.update(msg.counters.node, msg.demand)
        self.ledger.waiting_on_peers = self.shares.teams_waiting()
        self.ledger.limit_deficit(self.config.limits().catch_up_tokens)
        self._record_peer(msg, time.monotonic())
        self._update_claims()
        self._grant_free_slots()

    @handle.register
    def _(self, msg: Drain) -> None:
        self.draining = True
        log_event("drain_started", queued=self._queued(), inflight=self.table.inflight_total())

    @handle.register
    def _(self, msg: Tick) -> None:
        self.run_step(partial(self._update_startup, msg.now), msg)
        for view in self.table.targets.values():
            for step in (view.expire_suspicion, view.expire_rest):
                self.run_step(partial(step, msg.now), msg)
        for queue in self.queues.values():
            if len(queue):
                self.run_step(partial(self._expire, queue, msg), msg, _EXPIRY)
        self.run_step(self._update_claims, msg)
        self.run_step(self._grant_free_slots, msg, _GRANTS if self._queued() else None)

    @handle.register
    def _(self, msg: StatusQuery) -> RouterStatus:
        return self.status()

    @handle.register
    def _(self, msg: ReportQuery) -> Report:
        earlier = [
            counters
            for node in msg.restarted_nodes
            for counters in self.ledger.earlier_incarnations(node)
        ]
        return Report(
            self.ledger.local_report(),
            self.config.version,
            self._local_demand(),
            earlier,
            self.startup.confirmed,
        )

    @handle.register
    def _(self, _msg: SilentPeersQuery) -> SilentPeers:
        silent = self.heard_peers.silent(time.monotonic())
        addresses = {peer: addr for peer, addr in silent.items() if peer not in self.gone_peers}
        return SilentPeers(addresses, self.startup.confirmed)

    @handle.register
    def _(self, msg: PeersProbed) -> None:
        self.accepting_peers = {
            peer for peer, result in msg.results.items() if result is Reachability.ACCEPTS
        }
        self._update_startup(time.monotonic())

    @handle.register
    def _(self, msg: TargetsQuery) -> list[tuple[str, str]]:
        return [(view.id, view.url) for view in self.table.targets.values()]

    def status(self) -> RouterStatus:
        """Return a snapshot of the router's state, without the state of its claim store."""
        teams = self.ledger.known_teams() | {
            team for queue in self.queues.values() for team in queue.backlogged()
        }
        shares = (
            self.shares.share(service, self._demand_for(service), self.ledger.weights)
            for service in self.queues
        )
        return RouterStatus(
            node=self.node,
            config_version=self.config.version,
            draining=self.draining,
            ready=self.startup.may_serve,
            share=round(min(shares, default=1.0), 3),
            queued=self._queued(),
            in_hand=len(self.hold),
            inflight=self.table.inflight_total(),
            targets=[_target_status(view) for view in self.table.targets.values()],
            teams={team: self._team_status(TeamId(team)) for team in sorted(teams)},
            peers=sorted({node for node, _ in self.ledger.remote} - {self.node}),
        )

    def _team_status(self, team: TeamId) -> TeamStatus:
        queued = sum(queue.depth(team) for queue in self.queues.values())
        return TeamStatus(self.ledger.settled[team], self.ledger.total(team), queued)

    def _check_front_capacity(self, msg: Admit, cfg: Config) -> None:
        # Once all threads of the front are in use, further requests wait in the HTTP server in
        # order of arrival, where a flooding team delays all others. A retry has its thread already.
        if not msg.retry and not self.hold.admits(msg.team):
            raise QueueFull("front_full", cfg.limits.retry_after_s)

    def _queue_for(self, service: ServiceName) -> FairQueue:
        queue = self.queues.get(service)
        if queue is None:
            limits = self.config.current.limits
            queue = FairQueue(self.ledger, limits.queue_per_team, limits.retry_after_s)
            self.queues[service] = queue
        return queue

    def _apply_config(self, cfg: Config) -> None:
        self.table.apply_config(cfg)
        self.ledger.weights = {TeamId(team.id): team.weight for team in cfg.teams}
        for queue in self.queues.values():
            queue.max_per_team = cfg.limits.queue_per_team
            queue.retry_after = cfg.limits.retry_after_s
        self._refuse_removed_services(cfg)
        self.snapshot.current = cfg
        metrics.CONFIG_VERSION.set(cfg.version)

    def _refuse_removed_services(self, cfg: Config) -> None:
        for service in self.queues.keys() - {ServiceName(svc.name) for svc in cfg.services}:
            queue = self.queues.pop(service)
            self._refuse_all(queue, NoTarget("no_target", cfg.limits.retry_after_s))

    def _refuse_all(self, queue: FairQueue, exc: AdmissionError) -> None:
        for pending in queue.expire(math.inf):
            self.hold.release(pending.team)
            pending.reply.try_set_exception(exc)

    def _grant_free_slots(self) -> None:
        for service, queue in self.queues.items():
            targets = self.table.of_service(service)
            while self._grant_next(queue, targets):
                pass
        metrics.QUEUED.set(self._queued())
        metrics.INFLIGHT.set(self.table.inflight_total())

    def _grant_next(self, queue: FairQueue, targets: list[TargetView]) -> bool:
        for team in queue.teams_by_usage():
            placement = queue.peek_head(team).context
            try:
                view = choose_target(targets, placement.prefix_key, placement.exclude)
            except Exception as exc:  # noqa: BLE001 - the requests behind it must not wait for it
                self._refuse_failed(queue.pop_from(team), exc)
                return True
            if view is not None:
                self._grant_or_refuse(queue.pop_from(team), view)
                return True
            if not placement.exclude:
                return False
            # The free targets may be excluded only for this team's oldest request, which failed on
            # them before. Other teams' requests may still use them.
        return False

    def _refuse_failed(self, pending: PendingRequest, exc: Exception) -> None:
        self.log_failed(pending, exc)
        self.hold.release(pending.team)
        pending.reply.try_set_exception(InternalFailure("internal_failure", _FAILED_RETRY_AFTER_S))

    def _grant_or_refuse(self, pending: PendingRequest, view: TargetView) -> None:
        # A slot may become free between a request's deadline and the next expiry tick.
        if pending.deadline > time.monotonic():
            self._grant(pending, view)
        else:
            self._refuse_expired(pending)

    def _refuse_expired(self, pending: PendingRequest) -> None:
        """Refuse a request that exceeded the queue timeout."""
        self.hold.release(pending.team)
        retry_after_s = self.config.limits().retry_after_s
        if pending.reply.try_set_exception(QueueTimeout("queue_timeout", retry_after_s)):
            log_event("given_up", req=pending.req_id, team=pending.team, reason="queue_timeout")

    def _grant(self, pending: PendingRequest, view: TargetView) -> None:
        # A caller's thread that stopped waiting has cancelled its reply. A slot granted to it
        # would never be released, and the target would look busy permanently.
        if not pending.reply.try_set_result(Grant(view.id, view.url, self.incarnation)):
            self.hold.release(pending.team)
            return
        view.set_inflight(view.inflight + 1)
        view.dispatched += 1
        self.ledger.charge(pending.team, pending.estimated_cost)

    def _expire(self, queue: FairQueue, msg: Tick) -> None:
        for pending in queue.expire(msg.now):
            if not self.run_step(partial(self._refuse_expired, pending), msg):
                refusal = QueueTimeout("queue_timeout", _FAILED_RETRY_AFTER_S)
                pending.reply.try_set_exception(refusal)

    def _record_peer(self, msg: PeerSummary, now: float) -> None:
        peer = msg.counters.node
        self.heard_peers.record(peer, now)
        self.startup.record_peer(peer, Position(msg.config_version), msg.caught_up, now)
        self._update_startup(now)

    def _update_startup(self, now: float) -> None:
        if self.startup.confirmed or self.config.current is None:
            return
        self.startup.set_members(self.expected_peers - self.gone_peers)
        silent = self.heard_peers.silent(now).keys() - self.gone_peers
        self.startup.set_unresponsive(bool(self.accepting_peers & silent))
        was_serving = self.startup.may_serve
        result = self.startup.update(Position(self.config.version), now)
        if self.startup.may_serve and not was_serving:
            self._start_serving(result)
        elif was_serving and not self.startup.may_serve:
            self._refuse_as_outdated()

    def _start_serving(self, result: StartupResult) -> None:
        self.min_config_version = self.config.version
        self.snapshot.starting = False
        timed_out = result in (StartupResult.NO_REPORT, StartupResult.BEHIND)
        log_event(
            "ready",
            level="WARNING" if timed_out else "INFO",
            version=self.config.version,
            peers_heard=self.startup.peers_heard,
            timed_out=timed_out,
            by=result.value,
        )

    def _refuse_as_outdated(self) -> None:
        """Refuse the queued requests, which were parsed with an outdated configuration."""
        self.snapshot.starting = True
        log_event("outdated", level="WARNING", version=self.config.version, queued=self._queued())
        for queue in self.queues.values():
            self._refuse_all(queue, Starting("starting", _STARTING_RETRY_AFTER_S))

    def _demand_for(self, service: ServiceName) -> dict[TeamId, int]:
        queue = self.queues.get(service)
        return {team: queue.depth(team) for team in queue.backlogged()} if queue else {}

    def _local_demand(self) -> dict[str, dict[str, int]]:
        demands = {service: self._demand_for(service) for service in self.queues}
        return {service: demand for service, demand in demands.items() if demand}

    def _update_claims(self) -> None:
        for service in self.table.services():
            self._claim_slots(service)

    def _claim_slots(self, service: ServiceName) -> None:
        views = [view for view in self.table.of_service(service) if view.state is TargetState.LIVE]
        claims = self.shares.allocations(
            service,
            self._demand_for(service),
            self.ledger.weights,
            [SlotCount(view.id, view.slots) for view in views],
        )
        for view in views:
            view.allocated_slots = claims.get(view.id, 0)

    def _queued(self) -> int:
        return sum(len(queue) for queue in self.queues.values())

    def _check_invariants(self) -> None:
        # A request counted in the front must be queued or in flight; a leak in the front's count
        # would gradually lock out its team. The front may count more, because removed targets
        # take their in-flight counts with them.
        active = self._queued() + self.table.inflight_total()
        assert len(self.hold) >= active, f"{len(self.hold)} in front, {active} queued or in flight"
        for view in self.table.targets.values():
            assert view.inflight >= 0, f"negative inflight on {view.id}"
        for service, queue in self.queues.items():
            if not len(queue):
                continue
            targets = self.table.of_service(service)
            for team in queue.backlogged():
                placement = queue.peek_head(team).context
                view = choose_target(targets, placement.prefix_key, placement.exclude)
                assert view is None, f"{service} has waiting requests and {view.id} a free slot"


def _target_status(view: TargetView) -> TargetStatus:
    return TargetStatus(
        view.id,
        view.service,
        view.state.value,
        view.inflight,
        view.allocated_slots,
        view.reported_busy,
        view.slots,
        view.dispatched,
        view.suspect_until is not None,
    )
