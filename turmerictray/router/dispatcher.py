"""The dispatcher actor: owns the fair queues, the ledger and the target table.

Every request waits here for a slot. A slot is granted whenever a target has one free and work
waits, so no engine idles while a queue holds work; the order of grants across teams follows
the ledger, which counts service fleet-wide.
"""

import os
import time
from functools import singledispatchmethod

from turmerictray.config.schema import Config
from turmerictray.config.snapshot import ConfigSnapshot
from turmerictray.config.state import ConfigState
from turmerictray.core import metrics
from turmerictray.core.actor import BackgroundActor
from turmerictray.core.errors import Draining, NoTarget, QueueFull, QueueTimeout, Starting
from turmerictray.core.ids import NodeId, ServiceName, TeamId
from turmerictray.core.logs import log_event, log_unknown_message
from turmerictray.core.timer import Tick
from turmerictray.fairness.allot import SlotCount
from turmerictray.fairness.hold import Hold
from turmerictray.fairness.ledger import ServiceLedger
from turmerictray.fairness.queue import FairQueue, Pending
from turmerictray.fairness.slots import SlotShares
from turmerictray.router.messages import (
    Admit,
    ConfigApplied,
    Drain,
    Finished,
    Grant,
    Listing,
    LoadReport,
    PeerSummary,
    Report,
    ReportQuery,
    StatusQuery,
    TargetsQuery,
)
from turmerictray.router.status import RouterStatus, TargetStatus, TeamStatus
from turmerictray.routing.choice import choose_target
from turmerictray.routing.table import TargetTable
from turmerictray.routing.target import TargetState, TargetView

INVARIANT_EXIT = 70
"""Exit status of a router whose invariant broke in assertion mode."""


class Dispatcher(BackgroundActor):
    """Grants target slots to queued requests, fairly and without idling.

    Parameters
    ----------
    node : NodeId
        This router.
    incarnation : int
        This process's start time in nanoseconds; used as fencing number and peer incarnation.
    snapshot : ConfigSnapshot
        Where the configuration in force is put for the other parts to read.
    assertions : bool
        Check the dispatcher's invariants after every message (slower; for randomised runs).
    peer_timeout_s : float
        A peer silent this long no longer counts; also the longest wait for peers at start.
    expected_peers : frozenset of str
        Peers named in the settings; the router serves once it has heard all that the instance
        list does not call gone and has caught up with their configuration, or after
        ``peer_timeout_s``.
    places : int
        Requests the front can hold at once, one per thread.
    """

    def __init__(
        self,
        node: NodeId,
        incarnation: int,
        snapshot: ConfigSnapshot,
        assertions: bool = False,
        peer_timeout_s: float = 3.0,
        expected_peers: frozenset[str] = frozenset(),
        places: int = 256,
    ) -> None:
        super().__init__()
        self.node = node
        self.incarnation = incarnation
        self.snapshot = snapshot
        self.assertions = assertions
        self.ledger = ServiceLedger(node, incarnation)
        self.config = ConfigState()
        self.table = TargetTable()
        self.queues: dict[ServiceName, FairQueue] = {}
        self.hold = Hold(places)
        self.draining = False
        self.shares = SlotShares(node, peer_timeout_s)
        self.started_at = time.monotonic()
        self.startup_s = peer_timeout_s
        self.expected_peers = expected_peers
        self.gone_peers: set[str] = set()
        self.peer_versions: dict[str, int] = {}
        self.ready = False
        self.ready_version = 0

    def on_receive(self, message: object) -> object:
        result = self.handle(message)
        if self.assertions:
            try:
                self._check_invariants()
            except AssertionError as exc:
                # In assertion mode a broken invariant must stop the run loudly: a pykka
                # actor that raises only stops itself, and the router would hang quietly.
                log_event(
                    "invariant_broken", level="ERROR", reason=str(exc), after=type(message).__name__
                )
                os._exit(INVARIANT_EXIT)
        return result

    @singledispatchmethod
    def handle(self, message: object) -> object:
        log_unknown_message(message)
        return None

    @handle.register
    def _(self, msg: Admit) -> None:
        cfg = self.config.current
        if self.draining and not msg.retry:
            retry = cfg.limits.retry_after_s if cfg else 1.0
            msg.reply.refuse(Draining("draining", retry))
            return
        if cfg is not None and not self._has_caught_up(msg):
            msg.reply.refuse(Starting("starting", 1.0))
            return
        if cfg is None or not self.table.of_service(msg.placement.service):
            msg.reply.refuse(NoTarget("no_target", cfg.limits.retry_after_s if cfg else 1))
            return
        pending = Pending(
            msg.req_id,
            msg.team,
            msg.hint,
            msg.arrived + cfg.limits.queue_timeout_s,
            msg.reply,
            msg.placement,
        )
        queue = self._queue(msg.placement.service)
        idle = not len(queue)
        try:
            self._check_hold(msg, cfg)
            queue.push(pending, front=msg.retry)
        except QueueFull as exc:
            msg.reply.refuse(exc)
            return
        self.hold.take(msg.team)
        if idle:
            # Without backlog this router claimed nothing; the first request would wait for the
            # next tick although its team is entitled to a slot now.
            self._claim_slots(msg.placement.service)
        self._pump()

    def _has_caught_up(self, msg: Admit) -> bool:
        """Whether a request was read by a text at least as new as that of the peers at the start.

        A router back from a restart may hold an older one (the service can be stale); by serving
        before it has heard them, or what it has read until then, it would undo an accepted change.
        """
        return self.ready and not 0 < msg.config_version < self.ready_version

    @handle.register
    def _(self, msg: Finished) -> None:
        view = self.table.targets.get(msg.target)
        if view is not None:
            view.set_inflight(max(0, view.inflight - 1))
            if not msg.reached:
                view.note_unreachable(time.monotonic())
                log_event("target_unreachable", target=view.id, failures=view.failures)
        self.hold.drop(msg.team)
        self.ledger.settle(msg.team, msg.hint, msg.cost)
        metrics.TOKENS.labels(msg.team).inc(msg.cost)
        self._pump()

    @handle.register
    def _(self, msg: ConfigApplied) -> None:
        if not self.config.offer(msg.cfg):
            log_event("config_ignored", version=msg.cfg.version, in_force=self.config.version)
            return
        self._apply(msg.cfg)
        log_event("config_in_force", version=msg.cfg.version)
        self._check_ready(time.monotonic())
        self._pump()

    @handle.register
    def _(self, msg: Listing) -> None:
        for tid in self.table.apply_listing(msg.states):
            log_event("target_leaving", target=tid, state=self.table.targets[tid].state.value)
        self.gone_peers = {tid for tid, state in msg.states.items() if state is TargetState.GONE}
        self._check_ready(time.monotonic())
        self._pump()

    @handle.register
    def _(self, msg: LoadReport) -> None:
        view = self.table.targets.get(msg.target)
        if view is not None:
            view.note_reached()
            taken_at = time.monotonic() - msg.age_s
            self.table.report_load(msg.target, msg.busy, view.inflight_at(taken_at))
            self._pump()

    @handle.register
    def _(self, msg: PeerSummary) -> None:
        if self.ledger.merge(msg.counters):
            log_event("peer_life", peer=msg.counters.node, incarnation=msg.counters.incarnation)
        for report in msg.echoes:
            self.ledger.merge(report)
        self.shares.update(msg.counters.node, msg.demand)
        self.ledger.waiting_elsewhere = self.shares.teams_waiting()
        self.ledger.forgive(self.config.limits().catch_up_tokens)
        self.peer_versions[msg.counters.node] = msg.config_version
        self._check_ready(time.monotonic())
        self._update_claims()
        self._pump()

    @handle.register
    def _(self, msg: Drain) -> None:
        self.draining = True
        log_event("drain_started", queued=self._queued(), inflight=self.table.inflight_total())

    @handle.register
    def _(self, msg: Tick) -> None:
        self._check_ready(msg.now)
        for view in self.table.targets.values():
            view.end_suspicion(msg.now)
        self._expire(msg.now)
        self._update_claims()
        self._pump()

    @handle.register
    def _(self, msg: StatusQuery) -> RouterStatus:
        return self.status()

    @handle.register
    def _(self, msg: ReportQuery) -> Report:
        echoes = [rep for node in msg.echo for rep in self.ledger.earlier_lives(node)]
        return Report(self.ledger.own_report(), self.config.version, self._local_demand(), echoes)

    @handle.register
    def _(self, msg: TargetsQuery) -> list[tuple[str, str]]:
        return [(view.id, view.url) for view in self.table.targets.values()]

    def status(self) -> RouterStatus:
        """A snapshot of the router's state, without its claims on orders."""
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
            ready=self.ready,
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

    def _check_hold(self, msg: Admit, cfg: Config) -> None:
        # Requests past the front's threads wait unseen in the server, in order of arrival,
        # where one flooding team stands before all others. A retry is in hand already.
        if not msg.retry and not self.hold.admits(msg.team):
            raise QueueFull("front_full", cfg.limits.retry_after_s)

    def _queue(self, service: ServiceName) -> FairQueue:
        queue = self.queues.get(service)
        if queue is None:
            limits = self.config.current.limits
            queue = FairQueue(self.ledger, limits.queue_per_team, limits.retry_after_s)
            self.queues[service] = queue
        return queue

    def _apply(self, cfg: Config) -> None:
        self.table.apply_config(cfg)
        self.ledger.weights = {TeamId(team.id): team.weight for team in cfg.teams}
        for queue in self.queues.values():
            queue.max_per_team = cfg.limits.queue_per_team
            queue.retry_after = cfg.limits.retry_after_s
        self.snapshot.current = cfg
        metrics.CONFIG_VERSION.set(cfg.version)

    def _pump(self) -> None:
        for service, queue in self.queues.items():
            targets = self.table.of_service(service)
            while self._grant_next(queue, targets):
                pass
        metrics.QUEUED.set(self._queued())
        metrics.INFLIGHT.set(self.table.inflight_total())

    def _grant_next(self, queue: FairQueue, targets: list[TargetView]) -> bool:
        for team in queue.by_service():
            placement = queue.peek_head(team).context
            view = choose_target(targets, placement.prefix_key, placement.exclude)
            if view is not None:
                self._grant_in_time(queue.pop_from(team), view)
                return True
            if not placement.exclude:
                return False
            # Only this team's head is kept off the open targets (it already failed there);
            # stopping here would leave them idle while other teams' work waits.
        return False

    def _grant_in_time(self, item: Pending, view: TargetView) -> None:
        # A slot may come free between a request's timeout and the tick that gives requests up.
        if item.deadline > time.monotonic():
            self._grant(item, view)
        else:
            self._give_up(item)

    def _give_up(self, item: Pending) -> None:
        """Refuse a request that has waited its time."""
        self.hold.drop(item.team)
        retry_after_s = self.config.limits().retry_after_s
        if item.reply.refuse(QueueTimeout("queue_timeout", retry_after_s)):
            log_event("given_up", req=item.req_id, team=item.team, reason="queue_timeout")

    def _grant(self, item: Pending, view: TargetView) -> None:
        # A caller's thread that stopped waiting has cancelled its reply. Granting it would
        # take a slot that nobody gives back, and the target would look busy for good.
        if not item.reply.give(Grant(view.id, view.url, self.incarnation)):
            self.hold.drop(item.team)
            return
        view.set_inflight(view.inflight + 1)
        view.dispatched += 1
        self.ledger.charge(item.team, item.hint)

    def _expire(self, now: float) -> None:
        cfg = self.config.current
        for queue in self.queues.values():
            for item in queue.expire(now):
                self._give_up(item)
        if self.draining and cfg is not None:
            self._pump()

    def _check_ready(self, now: float) -> None:
        if self.ready or self.config.current is None:
            return
        heard_all = self.expected_peers <= self.peer_versions.keys() | self.gone_peers
        caught_up = self.config.version >= max(self.peer_versions.values(), default=0)
        timed_out = now - self.started_at > self.startup_s
        if (heard_all and caught_up) or timed_out:
            self.ready = True
            self.ready_version = self.config.version
            log_event(
                "ready",
                version=self.config.version,
                peers_heard=len(self.peer_versions),
                timed_out=timed_out and not (heard_all and caught_up),
            )

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
        claims = self.shares.claims(
            service,
            self._demand_for(service),
            self.ledger.weights,
            [SlotCount(view.id, view.slots) for view in views],
        )
        for view in views:
            view.claim = claims.get(view.id, 0)

    def _queued(self) -> int:
        return sum(len(queue) for queue in self.queues.values())

    def _check_invariants(self) -> None:
        # Every request in hand is queued or in flight, so a request that is dropped from one
        # count but not the other would slowly close the front to its team. In flight can be
        # less: targets that left the configuration take their count along.
        held = self._queued() + self.table.inflight_total()
        assert len(self.hold) >= held, f"{len(self.hold)} in hand, {held} queued or in flight"
        for view in self.table.targets.values():
            assert view.inflight >= 0, f"negative inflight on {view.id}"
        for service, queue in self.queues.items():
            if not len(queue):
                continue
            targets = self.table.of_service(service)
            for team in queue.backlogged():
                placement = queue.peek_head(team).context
                view = choose_target(targets, placement.prefix_key, placement.exclude)
                assert view is None, f"work waits for {service} while {view.id} has a free slot"


def _target_status(view: TargetView) -> TargetStatus:
    return TargetStatus(
        view.id,
        view.service,
        view.state.value,
        view.inflight,
        view.claim,
        view.reported_busy,
        view.slots,
        view.dispatched,
        view.suspect_until is not None,
    )
