"""A router that serves routes from a published text: its parts and their life cycle."""

import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Protocol

import msgspec
import pykka
from prometheus_client import generate_latest

from turmerictray.admission.quarantine import Quarantine
from turmerictray.core import metrics
from turmerictray.core.actor import ask_in_time, stop_actors
from turmerictray.core.app import Application
from turmerictray.core.logs import log_event
from turmerictray.core.timer import TimerService
from turmerictray.membership.link import PERIOD_S, Leave, PeerLink
from turmerictray.membership.messages import MemberEntry, PeerMessage, RouterSummary
from turmerictray.router.broker import Broker
from turmerictray.router.broker_messages import (
    BrokerQuery,
    CaughtUp,
    KeptQuery,
    OnTick,
    PeerHeard,
    RoutersAlive,
    SummaryQuery,
)
from turmerictray.router.cache_warmup import WARMUP_TICK_INTERVAL_S, ListCachedParts, Recall
from turmerictray.router.catch_up import CatchUp, CheckStartup
from turmerictray.router.crash_evidence import CrashEvidence
from turmerictray.router.dialect import Dialect
from turmerictray.router.early import EarlyRefusals
from turmerictray.router.flow import RequestFlow
from turmerictray.router.gateway_settings import GatewaySettings
from turmerictray.router.placement_client import PlacementClient
from turmerictray.router.published import PublishedCopy, PublishedDocs
from turmerictray.router.readers import StoreReaders
from turmerictray.router.reload import LOOK_S, Reload, SettingsReloader
from turmerictray.router.run import Parts
from turmerictray.router.scheduler import Scheduler
from turmerictray.router.startup_check import StartupCheck
from turmerictray.router.text_in_force import TextInForce
from turmerictray.scheduling.choice import SchedulerChoice
from turmerictray.scheduling.link import SchedulingLink
from turmerictray.scheduling.messages import SchedulingMessage
from turmerictray.transport.admin import AdminServer, Page
from turmerictray.transport.hangup import HangUpWatch
from turmerictray.transport.pool import ConnectionPool
from turmerictray.transport.probe import FrontProbe
from turmerictray.transport.server import FrontServer

_EXPIRE_S = 0.05
"""Rhythm of giving up requests that have waited their time; an answer is late by this at most."""

_ASK_S = 2.0

_NOTICED_S = 2.6
"""Time until the balancer has noticed that a router is not ready: two questions a second apart.
Until then new connections still come and must be served."""

_STOP_RESERVE_S = 0.9
"""Kept of the grace period for closing what is left before the process is killed."""

_ACTORS_STOP_S = 0.3
"""Part of the reserve in which actors may end what they are at."""

_DRAIN_LOOK_S = 0.1

_TIDY_S = 5.0
"""Rhythm of closing connections to targets that nobody takes again; they only cost descriptors."""


_BUSY = Page(503, b'{"error": {"type": "busy"}}')


class Source(Protocol):
    """Reads what the platform publishes, or takes what a peer has read, and tells the broker."""

    def start(self) -> None:
        """Start reading."""

    def stop(self) -> None:
        """Stop reading."""

    def take_copy(self, docs: PublishedDocs, peer: str) -> None:
        """Take what ``peer`` has read."""


SourceFactory = Callable[[StoreReaders, pykka.ActorRef, PublishedCopy], list[Source]]


class Gateway:
    """One router.

    Parameters
    ----------
    settings : GatewaySettings
    dialect : Dialect
    sources : callable
        Makes the sources of texts and targets, given what decides whether to read, the broker and
        the copy to keep.
    load_settings : callable
        Returns the settings as they are now; raises :class:`SettingsError`.
    list_kept : callable
        Asks an engine what it keeps.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        dialect: Dialect,
        sources: SourceFactory,
        load_settings: Callable[[], GatewaySettings],
        list_kept: ListCachedParts,
    ) -> None:
        self.settings = settings
        self.incarnation = time.time_ns()
        self.app = Application(f"gateway:{settings.node}")
        self._dialect = dialect
        self._make_sources = sources
        self._load_settings = load_settings
        self._list_kept = list_kept
        self._in_force = TextInForce()
        self._copy = PublishedCopy()
        self._draining = threading.Lock()
        self._is_draining = False
        self._is_overloaded = False
        self._sources: list[Source] = []
        self._timer = TimerService()
        self._conns = ConnectionPool()
        self._quarantine = Quarantine()
        self._watch = HangUpWatch(self._on_scan)
        self._flow: RequestFlow | None = None
        self._early: EarlyRefusals | None = None
        self._front: FrontServer | None = None
        self._probe = FrontProbe(settings.front.host, settings.front.port)
        self._limits = None
        self._tidy_at = 0.0
        self._broker: pykka.ActorRef | None = None
        self._catch_up: pykka.ActorRef | None = None
        self._link: pykka.ActorRef | None = None
        self._admins: list[AdminServer] = []
        for part in (self._timer, _Part(self._start_actors, self._stop_actors), self._watch):
            self.app.add(part)
        self.app.add(_Part(self._start_servers, self._stop_servers))
        self.app.on_signal(self.drain_and_stop)

    def run(self) -> int:
        """Run until stopped; returns the exit code."""
        return self.app.run()

    # -- start and stop ------------------------------------------------------------------------

    def _start_actors(self) -> None:
        s = self.settings
        self._broker = Broker.start(
            s.node, s.zone, self.incarnation, self._in_force, s.repeats, self._quarantine
        )
        self._timer.subscribe(self._broker, "expire", _EXPIRE_S)
        choice = SchedulerChoice(s.node, s.zone)
        self._readers = StoreReaders(s.node, s.zone, is_seed=s.peer in s.seeds)
        self._sources = self._make_sources(self._readers, self._broker, self._copy)
        self._catch_up = CatchUp.start(
            self._copy.position,
            self._readers,
            self._take_copy,
            StartupCheck(s.node, time.monotonic()),
            lambda: self._broker.tell(CaughtUp()),
        )
        self._start_scheduling(choice)

        recall = Recall.start(self._broker, s.node, self._list_kept)
        self._timer.subscribe(recall, "recall", WARMUP_TICK_INTERVAL_S)

        def on_peer(message: PeerMessage) -> None:
            self._broker.tell(PeerHeard(message.summary))
            self._quarantine.merge(message.crashes, time.monotonic())
            self._catch_up.tell(message)
            if recall.is_alive():
                recall.tell(message)

        def on_members(members: tuple[MemberEntry, ...]) -> None:
            choice.set_members(members)
            self._readers.take_members(members)
            alive = RoutersAlive(frozenset({s.node, *(m.node for m in members)}))
            self._broker.tell(alive)
            self._catch_up.tell(alive)
            if recall.is_alive():
                recall.tell(alive)

        self._link = PeerLink.start(
            s.node,
            s.zone,
            self.incarnation,
            f"tcp://{s.peer}",
            str(s.admin),
            [f"tcp://{seed}" for seed in s.seeds],
            build_summary=self._own_summary,
            on_peer=on_peer,
            on_members=on_members,
            scheduling_address=self._calls.address,
            cores=s.cores,
            crashes=self._quarantine,
        )
        self._timer.subscribe(self._link, "peers", PERIOD_S)
        reloader = SettingsReloader.start(s, self._load_settings, self._broker, self._link)
        self._timer.subscribe(reloader, "settings", LOOK_S)
        self.app.on_reload(lambda: reloader.tell(Reload()))
        for source in self._sources:
            source.start()

    def _start_scheduling(self, choice: SchedulerChoice) -> None:
        s = self.settings
        self._calls = SchedulingLink(f"tcp://{s.calls}", self._hear_call)
        self._scheduler = Scheduler(s.node, self._broker, self._calls)
        self._desk = PlacementClient(
            s.node, s.zone, self._broker, self._in_force, choice, self._calls
        )
        self._calls.start()
        hooks = (
            self._desk.request_silence_check,
            self._scheduler.send_keepalives,
            self._look_at_start,
        )
        self._broker.tell(OnTick(hooks, self._desk.send_usage_report))

    def _look_at_start(self, _now: float) -> None:
        if not self._in_force.caught_up:
            self._catch_up.tell(CheckStartup())

    def _hear_call(self, message: SchedulingMessage) -> None:
        if not self._desk.handle_message(message):
            self._scheduler.handle_message(message)

    def _own_summary(self) -> RouterSummary | None:
        summary = ask_in_time(self._broker, SummaryQuery(), _ASK_S)
        if summary is None:
            return None
        targets = self._copy.position().targets
        return msgspec.structs.replace(
            summary,
            targets_revision=targets.revision,
            targets_era=targets.era,
            store_age_s=round(self._readers.age_s(), 2),
        )

    def _take_copy(self, docs: PublishedDocs, peer: str) -> None:
        for source in self._sources:
            source.take_copy(docs, peer)

    def _stop_actors(self) -> None:
        for source in self._sources:
            source.stop()
        stop_actors(_ACTORS_STOP_S)
        self._calls.stop()
        self._conns.close()

    def _start_servers(self) -> None:
        s = self.settings
        crashes = CrashEvidence(self._quarantine, leaving=lambda: self._in_force.announced)
        parts = Parts(self._desk, self._dialect, self._conns, crashes=crashes)
        self._flow = RequestFlow(parts, self._in_force, self._watch, s.threads)
        self._early = EarlyRefusals(parts, self._in_force)
        self._front = FrontServer(
            s.front.host, s.front.port, self._flow.handle, s.threads, self._early
        )
        self._front.start()
        self._probe.start()
        operators = {
            "/status": self._status_page,
            "/published": self._published_page,
            "/kept": self._kept_page,
            "/metrics": _metrics_page,
        }
        ready = {s.ready_path: self._ready_page}
        for address, pages in ((s.ready, ready), (s.admin, operators), (s.metrics, operators)):
            server = AdminServer(address.host, address.port, pages)
            server.start()
            self._admins.append(server)

    def _stop_servers(self) -> None:
        self._probe.stop()
        ended = self._watch.end_all()
        if ended:
            log_event("stopped_in_progress", level="WARNING", requests=ended)
        # Each waits for its own threads; one after the other they would use up the grace period.
        with ThreadPoolExecutor() as pool:
            list(pool.map(lambda server: server.stop(), [self._front, *self._admins]))

    def drain_and_stop(self) -> None:
        """Say not ready, serve what still comes and what is in progress, then stop."""
        if not self._draining.acquire(blocking=False):
            return
        begun = time.monotonic()
        self._is_draining = True
        self._front.drain()
        self._link.tell(Leave())
        log_event("drain_started", in_progress=len(self._watch))
        time.sleep(_NOTICED_S)
        self._flow.refuse_new()
        self._wait_idle(begun + self.settings.grace_s - _STOP_RESERVE_S)
        log_event("drain_done", in_progress=len(self._watch), s=round(time.monotonic() - begun, 2))
        self.app.request_stop()

    def _wait_idle(self, latest: float) -> None:
        while time.monotonic() < latest and len(self._watch):
            time.sleep(_DRAIN_LOOK_S)

    # -- pages ---------------------------------------------------------------------------------

    def _ready_page(self) -> Page:
        in_force = self._in_force
        ready = in_force.current is not None and in_force.targets_listed and in_force.caught_up
        ready = ready and not self._is_draining and not self._is_overloaded
        body = msgspec.json.encode({"ready": ready, "text_version": self._in_force.version})
        return Page(200 if ready else 503, body)

    def _kept_page(self) -> Page:
        kept = ask_in_time(self._broker, KeptQuery(), _ASK_S)
        return _BUSY if kept is None else Page(200, msgspec.json.encode(kept))

    def _status_page(self) -> Page:
        state = ask_in_time(self._broker, BrokerQuery(), _ASK_S)
        if state is None:
            return _BUSY
        targets = self._copy.position().targets
        state |= {
            "store_era": targets.era,
            "targets_revision": targets.revision,
            "in_progress": len(self._watch),
            "draining": self._is_draining,
            "quarantined": self._quarantine.quarantined_count(),
        }
        return Page(200, msgspec.json.encode(state))

    def _published_page(self) -> Page:
        return Page(200, msgspec.json.encode(self._copy.docs()))

    def _on_scan(self) -> None:
        text = self._in_force.current
        if self._front is None:
            return
        if text is not None and text.limits is not self._limits:
            self._limits = text.limits
            self._front.apply_limits(text.limits)
        self._front.close_slow_heads()
        self._note_overloaded(self._probe.is_late())
        now = time.monotonic()
        self._early.tell(now)
        if now >= self._tidy_at:
            self._tidy_at = now + _TIDY_S
            self._conns.close_expired()
            self._quarantine.sweep(now)
            metrics.QUARANTINED.set(self._quarantine.quarantined_count())

    def _note_overloaded(self, is_overloaded: bool) -> None:
        if is_overloaded == self._is_overloaded:
            return
        self._is_overloaded = is_overloaded
        log_event(
            "front_overloaded" if is_overloaded else "front_well",
            level="WARNING" if is_overloaded else "INFO",
            delay_ms=round(self._probe.delay_s() * 1000),
            in_progress=len(self._watch),
        )


class _Part:
    """A component made of two functions."""

    def __init__(self, start: Callable[[], None], stop: Callable[[], None]) -> None:
        self.start = start
        self.stop = stop


def _metrics_page() -> Page:
    return Page(200, generate_latest(metrics.REGISTRY), "text/plain; version=0.0.4")
