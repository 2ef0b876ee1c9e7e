"""Router that serves routes from a published routing configuration: components and life cycle."""

import math
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Protocol

import msgspec
import pykka
from prometheus_client import generate_latest

from turmerictray.core import metrics
from turmerictray.core.actor import ask_with_timeout, stop_actors
from turmerictray.core.app import Application
from turmerictray.core.logs import log_event
from turmerictray.core.timer import TimerService
from turmerictray.crashes.evidence import CrashEvidence
from turmerictray.crashes.exit_detection import TargetCheck, TargetExitDetector
from turmerictray.crashes.quarantine import Quarantine
from turmerictray.membership.link import PERIOD_S, Leave, PeerLink
from turmerictray.membership.messages import MemberEntry, PeerMessage, RouterSummary
from turmerictray.router.active_config import ActiveConfig
from turmerictray.router.cache_warmup import WARMUP_TICK_INTERVAL_S, ListCachedParts, Recall
from turmerictray.router.catch_up import CatchUp, CheckStartup, MessageArrived
from turmerictray.router.dialect import Dialect
from turmerictray.router.early_refusals import EarlyRefusals
from turmerictray.router.flow import RequestFlow
from turmerictray.router.gateway_settings import GatewaySettings
from turmerictray.router.peer_prober import PROBE_INTERVAL_S, PeerProber
from turmerictray.router.peer_texts import PeerTexts
from turmerictray.router.published import (
    PUBLISHED_PAGE,
    PUBLISHED_PAGE_WITHOUT_TEXT,
    PublishedCopy,
    PublishedDocs,
    StorePosition,
)
from turmerictray.router.run import RequestDependencies
from turmerictray.router.settings_reloader import SETTINGS_POLL_S, Reload, SettingsReloader
from turmerictray.router.startup_check import StartupCheck
from turmerictray.router.store_readers import ReadReason, StoreReaderSelection
from turmerictray.routing.target_notices import TargetNotices
from turmerictray.scheduling.broker import Broker
from turmerictray.scheduling.broker_messages import (
    BrokerQuery,
    KeptQuery,
    OnTick,
    PeerHeard,
    RoutersAlive,
    SummaryQuery,
)
from turmerictray.scheduling.choice import SchedulerChoice
from turmerictray.scheduling.link import SchedulingLink
from turmerictray.scheduling.messages import SchedulingMessage
from turmerictray.scheduling.placement_client import PlacementClient
from turmerictray.scheduling.scheduler import Scheduler
from turmerictray.transport.admin import AdminServer, Page, QueryPage
from turmerictray.transport.disconnect import DisconnectMonitor
from turmerictray.transport.pool import ConnectionPool
from turmerictray.transport.probe import FrontProbe
from turmerictray.transport.server import FrontServer
from turmerictray.transport.strict_server import LAST_REQUESTS_S

_EXPIRY_INTERVAL_S = 0.05
"""Interval in seconds at which pending requests past their deadline expire; the maximum delay of
their answers."""

_BROKER_TIMEOUT_S = 2.0

_UNREADY_DETECTION_S = 2.6
"""Time in seconds until the load balancer detects that a router is not ready: two checks, one
second apart. Until then, new connections still arrive and must be served."""

_STOP_RESERVE_S = 0.9
"""Seconds at the end of the grace period that are reserved for closing what remains open before
the process is killed."""

_ACTORS_STOP_TIMEOUT_S = 0.3
"""Seconds of :data:`_STOP_RESERVE_S` in which actors may finish their current work."""

_DRAIN_POLL_S = 0.1

_CLEANUP_INTERVAL_S = 5.0
"""Interval in seconds at which expired idle connections to targets are closed; they only use up
file descriptors."""


_BUSY = Page(503, b'{"error": {"type": "busy"}}')


class Source(Protocol):
    """Source of published documents, read from the store or from peers and sent to the broker."""

    def start(self) -> None:
        """Start reading."""

    def stop(self) -> None:
        """Stop reading."""

    def apply_peer_docs(self, docs: PublishedDocs, peer: str) -> None:
        """Apply the documents that ``peer`` has read."""


SourceFactory = Callable[[StoreReaderSelection, pykka.ActorRef, PublishedCopy], list[Source]]


class Gateway:
    """A router process.

    Parameters
    ----------
    settings : GatewaySettings
    dialect : Dialect
    sources : callable
        Creates the sources of routing configurations and targets, from the
        :class:`StoreReaderSelection` that decide whether to read, the broker, and the
        :class:`PublishedCopy` to store documents in.
    load_settings : callable
        Returns the current settings; raises :class:`SettingsError`.
    list_cached_parts : callable
        Requests the list of prompt parts that an engine caches.
    make_target_check : callable
        Makes a check whether a target runs, which may use the idle connections of a pool.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        dialect: Dialect,
        sources: SourceFactory,
        load_settings: Callable[[], GatewaySettings],
        list_cached_parts: ListCachedParts,
        make_target_check: Callable[[ConnectionPool], TargetCheck],
    ) -> None:
        self.settings = settings
        self.incarnation = time.time_ns()
        self.app = Application(f"gateway:{settings.node}")
        self._dialect = dialect
        self._make_sources = sources
        self._load_settings = load_settings
        self._list_cached_parts = list_cached_parts
        self._make_target_check = make_target_check
        self._active_config = ActiveConfig(settings.regions)
        self._copy = PublishedCopy(lambda: self._active_config.version)
        self._draining = threading.Lock()
        self._is_draining = False
        self._is_overloaded = False
        self._sources: list[Source] = []
        self._timer = TimerService()
        self._connections = ConnectionPool()
        self._quarantine = Quarantine()
        self._notices = TargetNotices()
        self._watch = DisconnectMonitor(self._on_scan)
        self._flow: RequestFlow | None = None
        self._early_refusals: EarlyRefusals | None = None
        self._front: FrontServer | None = None
        self._probe = FrontProbe(settings.front.host, settings.front.port)
        self._limits = None
        self._next_cleanup_at = 0.0
        self._broker: pykka.ActorRef | None = None
        self._catch_up: pykka.ActorRef | None = None
        self._link: pykka.ActorRef | None = None
        self._admins: list[AdminServer] = []
        for component in (
            self._timer,
            _Component(self._start_actors, self._stop_actors),
            self._watch,
        ):
            self.app.add(component)
        self.app.add(_Component(self._start_servers, self._stop_servers))
        self.app.on_signal(self.drain_and_stop)
        self.app.on_unfit(self._drain_unfit)
        self.app.unfit_timeout_s = settings.grace_s

    def run(self) -> int:
        """Run until stopped; return the exit code."""
        return self.app.run()

    # -- start and stop ------------------------------------------------------------------------

    def _start_actors(self) -> None:
        s = self.settings
        self._broker = Broker.start(
            s.node,
            s.zone,
            self.incarnation,
            self._active_config,
            s.retry_limits,
            self._quarantine,
            s.cold_limits,
            self._notices,
        )
        self._timer.subscribe(self._broker, "expire", _EXPIRY_INTERVAL_S)
        choice = SchedulerChoice(s.node, s.zone)
        self._readers = StoreReaderSelection(
            s.node, s.zone, is_seed=s.peer in s.seeds, limits=s.read_limits
        )
        self._sources = self._make_sources(self._readers, self._broker, self._copy)
        self._catch_up = CatchUp.start(
            self._copy,
            self._readers,
            self._apply_peer_docs,
            StartupCheck(s.node, time.monotonic()),
            self._broker.tell,
            s.zone,
            [f"tcp://{seed}" for seed in s.seeds if seed != s.peer],
            PeerTexts(s.node, lambda: self._active_config.version),
        )
        self._timer.subscribe(PeerProber.start(self._catch_up), "probe", PROBE_INTERVAL_S)
        self._start_scheduling(choice)

        cache_warmup = Recall.start(self._broker, s.node, self._list_cached_parts)
        self._timer.subscribe(cache_warmup, "recall", WARMUP_TICK_INTERVAL_S)

        def on_peer(message: PeerMessage, arrived_at: float) -> None:
            heard_version = max(self._active_config.newest_heard, message.summary.text_version)
            self._active_config.newest_heard = heard_version
            self._broker.tell(PeerHeard(message.summary))
            self._quarantine.merge(message.crashes, time.monotonic(), message.part_crashes)
            self._catch_up.tell(MessageArrived(message, arrived_at))
            if cache_warmup.is_alive():
                cache_warmup.tell(message)

        def on_members(
            members: tuple[MemberEntry, ...], silent: frozenset[str], heard_at: float
        ) -> None:
            choice.set_members(members)
            self._readers.update_members(members, silent)
            alive = RoutersAlive(frozenset({s.node, *(m.node for m in members)}), heard_at)
            self._broker.tell(alive)
            self._catch_up.tell(alive)
            if cache_warmup.is_alive():
                cache_warmup.tell(alive)

        self._link = PeerLink.start(
            s.node,
            s.zone,
            self.incarnation,
            f"tcp://{s.peer}",
            str(s.admin),
            [f"tcp://{seed}" for seed in s.seeds],
            build_summary=self._build_summary,
            on_peer=on_peer,
            on_members=on_members,
            scheduling_address=self._scheduling_link.address,
            cores=s.cores,
            crashes=self._quarantine,
        )
        self._timer.subscribe(self._link, "peers", PERIOD_S)
        reloader = SettingsReloader.start(s, self._load_settings, self._broker, self._link)
        self._timer.subscribe(reloader, "settings", SETTINGS_POLL_S)
        self.app.on_reload(lambda: reloader.tell(Reload()))
        for source in self._sources:
            source.start()

    def _start_scheduling(self, choice: SchedulerChoice) -> None:
        s = self.settings
        self._scheduling_link = SchedulingLink(f"tcp://{s.calls}", self._handle_scheduling_message)
        self._scheduler = Scheduler(s.node, self._broker, self._scheduling_link)
        self._placement_client = PlacementClient(
            s.node,
            s.zone,
            self._broker,
            self._active_config,
            choice,
            self._scheduling_link,
            self._notices,
        )
        self._scheduling_link.start()
        hooks = (
            self._placement_client.request_silence_check,
            self._scheduler.send_keepalives,
            self._request_startup_check,
        )
        self._broker.tell(
            OnTick(
                hooks,
                self._placement_client.send_usage_report,
                self._placement_client.send_parts_read,
                self._placement_client,
                self._readers.age_s,
                lambda: self._copy.position().targets,
            )
        )

    def _request_startup_check(self, _now: float) -> None:
        if not self._active_config.caught_up:
            self._catch_up.tell(CheckStartup())

    def _handle_scheduling_message(self, message: SchedulingMessage) -> None:
        if not self._placement_client.handle_message(message):
            self._scheduler.handle_message(message)

    def _build_summary(self) -> RouterSummary | None:
        # Before the positions: what is read meanwhile must not be told as old and yet current.
        confirmed_at, origin = self._readers.confirmation()
        summary = ask_with_timeout(self._broker, SummaryQuery(), _BROKER_TIMEOUT_S)
        if summary is None:
            return None
        position = self._copy.position()
        return msgspec.structs.replace(
            summary,
            targets_revision=position.targets.revision,
            targets_era=position.targets.era,
            zones_revision=position.zones.revision,
            zones_era=position.zones.era,
            store_age_s=round(time.monotonic() - confirmed_at, 2),
            confirmed_by=origin,
            uninterrupted_s=round(self._readers.continuity().uninterrupted_s, 2),
        )

    def _apply_peer_docs(self, docs: PublishedDocs, peer: str) -> None:
        for source in self._sources:
            source.apply_peer_docs(docs, peer)

    def _stop_actors(self) -> None:
        for source in self._sources:
            source.stop()
        stop_actors(_ACTORS_STOP_TIMEOUT_S)
        self._scheduling_link.stop()
        self._connections.close()

    def _start_servers(self) -> None:
        s = self.settings
        deps = RequestDependencies(
            self._placement_client,
            self._dialect,
            self._connections,
            crashes=CrashEvidence(
                self._quarantine,
                TargetExitDetector(self._make_target_check(self._connections)),
                leaving=lambda: self._active_config.announced_leaving,
            ),
            is_outdated=self._active_config.is_outdated,
            is_unavailable=self._active_config.is_unavailable,
            notices=self._notices,
        )
        self._flow = RequestFlow(deps, self._active_config, self._watch, s.threads)
        self._early_refusals = EarlyRefusals(deps, self._active_config)
        self._front = FrontServer(
            s.front.host, s.front.port, self._flow.handle, s.threads, self._early_refusals
        )
        self._front.start()
        self._probe.start()
        operators = {
            "/status": self._status_page,
            PUBLISHED_PAGE: lambda: self._published_page(self._copy.docs_for_peers()),
            PUBLISHED_PAGE_WITHOUT_TEXT: QueryPage(
                lambda query: self._published_page(
                    self._copy.docs_without_text(StorePosition.from_query(query))
                )
            ),
            "/kept": self._cached_parts_page,
            "/metrics": self._metrics_page,
        }
        ready = {s.ready_path: self._ready_page}
        for address, pages in ((s.ready, ready), (s.admin, operators), (s.metrics, operators)):
            server = AdminServer(address.host, address.port, pages)
            server.start()
            self._admins.append(server)

    def _stop_servers(self) -> None:
        self._probe.stop()
        cut_requests = self._watch.abort_all()
        if cut_requests:
            log_event("stopped_in_progress", level="WARNING", requests=cut_requests)
        # Each server waits for its threads; stopped in sequence they would use up the grace period.
        with ThreadPoolExecutor() as pool:
            list(pool.map(lambda server: server.stop(), [self._front, *self._admins]))

    def drain_and_stop(self) -> None:
        """Report not ready, serve arriving requests and those in progress, then stop."""
        if not self._draining.acquire(blocking=False):
            return
        begun_at = self._begin_drain()
        time.sleep(_UNREADY_DETECTION_S)
        self._flow.refuse_new()
        self._finish_drain(begun_at)
        self.app.request_stop()

    def _drain_unfit(self) -> None:
        """Refuse what waits for a target, let the answers in progress finish, then stop."""
        if not self._draining.acquire(blocking=False):
            return
        begun_at = self._begin_drain()
        if self._flow is not None:
            self._flow.refuse_new()
        self._placement_client.refuse_waiting()
        # Until the load balancer notices, callers connect; a refusal tells them more than a reset.
        time.sleep(_UNREADY_DETECTION_S)
        self._finish_drain(begun_at)
        self.app.request_failed_stop()

    def _begin_drain(self) -> float:
        """Report not ready, here and to peers; return when, in monotonic seconds."""
        self._is_draining = True
        if self._front is not None:
            self._front.drain()
        try:
            self._link.tell(Leave())
        except pykka.ActorDeadError:
            log_event("actor_gone", level="WARNING", asked_by="drain")
        log_event("drain_started", in_progress=len(self._watch))
        return time.monotonic()

    def _finish_drain(self, begun_at: float) -> None:
        deadline = begun_at + self.settings.grace_s - _STOP_RESERVE_S
        self._wait_idle(deadline - LAST_REQUESTS_S)
        if self._front is not None:
            self._front.stop_accepting(max(LAST_REQUESTS_S, deadline - time.monotonic()))
        self._wait_idle(deadline)
        log_event(
            "drain_done", in_progress=len(self._watch), s=round(time.monotonic() - begun_at, 2)
        )

    def _wait_idle(self, deadline: float) -> None:
        while time.monotonic() < deadline and len(self._watch):
            time.sleep(_DRAIN_POLL_S)

    # -- pages ---------------------------------------------------------------------------------

    def _ready_page(self) -> Page:
        active_config = self._active_config
        ready = (
            active_config.current is not None
            and active_config.targets_listed
            and active_config.caught_up
        )
        is_fit = not self.app.supervisor.is_unfit and self._actors_run()
        ready = ready and is_fit and not self._is_draining and not self._is_overloaded
        body = msgspec.json.encode({"ready": ready, "text_version": self._active_config.version})
        return Page(200 if ready else 503, body)

    def _actors_run(self) -> bool:
        return all(actor.is_alive() for actor in (self._broker, self._catch_up, self._link))

    def _published_page(self, docs: PublishedDocs) -> Page:
        docs = msgspec.structs.replace(docs, **self._readers.continuity()._asdict())
        return Page(200, msgspec.json.encode(docs))

    def _cached_parts_page(self) -> Page:
        cached = ask_with_timeout(self._broker, KeptQuery(), _BROKER_TIMEOUT_S)
        return _BUSY if cached is None else Page(200, msgspec.json.encode(cached))

    def _status_page(self) -> Page:
        state = ask_with_timeout(self._broker, BrokerQuery(), _BROKER_TIMEOUT_S)
        if state is None:
            return _BUSY
        targets = self._copy.position().targets
        state |= {
            "store_era": targets.era,
            "targets_revision": targets.revision,
            "newest_text_version": self._active_config.newest_heard,
            "reads_store": self._readers.reason.value,
            "store_age_s": _round_age(self._readers.age_s()),
            "confirmed_by": self._readers.confirmation().origin or None,
            "in_progress": len(self._watch),
            "draining": self._is_draining,
            "quarantined": self._quarantine.quarantined_count(),
            "held_parts": self._quarantine.held_parts(),
        }
        return Page(200, msgspec.json.encode(state))

    def _metrics_page(self) -> Page:
        metrics.STORE_STATE_AGE.set(self._readers.age_s())
        metrics.READS_STORE.set(self._readers.reason is not ReadReason.NONE)
        body = generate_latest(metrics.REGISTRY)
        return Page(200, body, "text/plain; version=0.0.4")

    def _on_scan(self) -> None:
        config = self._active_config.current
        if self._front is None:
            return
        if config is not None and config.limits is not self._limits:
            self._limits = config.limits
            self._front.apply_limits(config.limits)
        self._front.close_slow_heads()
        self._set_overloaded(self._probe.is_overloaded())
        now = time.monotonic()
        self._early_refusals.log_refusals(now)
        if now >= self._next_cleanup_at:
            self._next_cleanup_at = now + _CLEANUP_INTERVAL_S
            self._connections.close_expired()
            self._quarantine.sweep(now)
            metrics.QUARANTINED.set(self._quarantine.quarantined_count())
            metrics.HELD_PARTS.set(len(self._quarantine.held_parts()))

    def _set_overloaded(self, is_overloaded: bool) -> None:
        if is_overloaded == self._is_overloaded:
            return
        self._is_overloaded = is_overloaded
        log_event(
            "front_overloaded" if is_overloaded else "front_well",
            level="WARNING" if is_overloaded else "INFO",
            delay_ms=round(self._probe.delay_s() * 1000),
            in_progress=len(self._watch),
        )


class _Component:
    """Application component made of a start and a stop function."""

    def __init__(self, start: Callable[[], None], stop: Callable[[], None]) -> None:
        self.start = start
        self.stop = stop


def _round_age(age_s: float) -> float | None:
    """Return an age for a page, in seconds; None if it is not known."""
    return round(age_s, 2) if math.isfinite(age_s) else None
