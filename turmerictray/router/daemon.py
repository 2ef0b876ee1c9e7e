"""The router daemon: creates the router's components and runs them as one application.

Run as ``turmerictrayd SETTINGS.json`` or ``turmerictray serve SETTINGS.json``. SIGTERM starts a
graceful shutdown: new requests are refused with ``Retry-After``, accepted requests run to
completion, and the process exits with status 0.
"""

import sys
import threading
import time

import pykka

from turmerictray.config.load import load_settings, parse_config
from turmerictray.config.settings import RouterSettings
from turmerictray.config.snapshot import ConfigSnapshot
from turmerictray.core.actor import ask_with_timeout, stop_actors
from turmerictray.core.app import Application
from turmerictray.core.errors import ConfigError, SettingsError
from turmerictray.core.ids import NodeId, ZoneId
from turmerictray.core.logs import log_event, setup_logging
from turmerictray.core.member import Member
from turmerictray.core.timer import TimerService
from turmerictray.orders.guard import OrderGuard
from turmerictray.orders.link import HomeLink
from turmerictray.orders.replica import ClaimHome
from turmerictray.placement.engine import EngineClient
from turmerictray.placement.placer import Placer
from turmerictray.router.dispatcher import Dispatcher
from turmerictray.router.fetch_config import PeerConfigFetcher
from turmerictray.router.front import Front
from turmerictray.router.messages import ConfigApplied, Drain, StatusQuery
from turmerictray.router.peer_prober import PROBE_INTERVAL_S, PeerProber
from turmerictray.router.peers import PeerLink
from turmerictray.router.proxy import Proxy
from turmerictray.router.server import HttpServer
from turmerictray.router.status import RouterStatus
from turmerictray.router.upstream import Upstream
from turmerictray.router.watch_config import ConfigWatcher
from turmerictray.router.watch_instances import InstancePoller
from turmerictray.router.watch_load import LoadPoller

_EXPIRY_INTERVAL_S = 0.1
_DRAIN_POLL_INTERVAL_S = 0.1
_STATUS_TIMEOUT_S = 5.0
_CLAIMS_INTERVAL_S = 0.5

_UNFIT_MARGIN_S = 5.0
"""Time beyond that of a drain in which an unfit process has to stop."""
_ACTORS_STOP_TIMEOUT_S = 5.0


class _ActorsComponent:
    """The router's actors as one application component."""

    def __init__(self, router: "Router") -> None:
        self.router = router

    def start(self) -> None:
        self.router.start_actors()

    def stop(self) -> None:
        stop_actors(_ACTORS_STOP_TIMEOUT_S)


class Router:
    """One router process (entry instance) with all its components.

    Parameters
    ----------
    settings : RouterSettings
    """

    def __init__(self, settings: RouterSettings) -> None:
        self.settings = settings
        self.incarnation = time.time_ns()
        self.app = Application(f"router:{settings.node}")
        self.timer = TimerService()
        self.snapshot = ConfigSnapshot()
        self.upstream = Upstream()
        self.dispatcher: pykka.ActorRef | None = None
        self.guard: OrderGuard | None = None
        self.http: HttpServer | None = None
        self.front: Front | None = None
        self._draining = threading.Lock()
        # Components start in this order and stop in reverse. The front stops before the actors
        # that serve its requests, so that no request in progress loses its connection.
        self.app.add(self.timer)
        self.app.add(_ActorsComponent(self))
        self.app.add(_FrontComponent(self))
        self.app.on_signal(self.drain_and_stop)
        self.app.on_unfit(self._drain_unfit)
        self.app.unfit_timeout_s = settings.drain_timeout_s + _UNFIT_MARGIN_S

    def start_actors(self) -> None:
        """Start all actors and subscribe the periodic ones to the timer."""
        s = self.settings
        heartbeat_addresses = {peer.node: peer.heartbeat for peer in s.peers}
        self.dispatcher = Dispatcher.start(
            NodeId(s.node),
            self.incarnation,
            self.snapshot,
            assertions=s.assertions,
            peer_timeout_s=s.peer_timeout_s,
            expected_peers=frozenset(peer.node for peer in s.peers),
            front_capacity=s.threads,
            peer_addresses=heartbeat_addresses,
            unresponsive_peer_timeout_s=s.unresponsive_peer_timeout_s,
        )
        self._apply_bootstrap_config()
        members = self._members()
        placer = Placer.start(
            NodeId(s.node), members, self.snapshot, EngineClient(), s.peer_timeout_s
        )
        self.timer.subscribe(placer, "placement", s.placement_poll_s)
        ConfigWatcher.start(s.config_url, self.dispatcher, placer, s.watch_wait_s)
        self.timer.subscribe(self.dispatcher, "expire", _EXPIRY_INTERVAL_S)
        if s.instances_url:
            poller = InstancePoller.start(s.instances_url, [self.dispatcher, placer])
            self.timer.subscribe(poller, "instances", s.instances_poll_s)
        load = LoadPoller.start(self.dispatcher)
        self.timer.subscribe(load, "load", s.load_poll_s)
        link = PeerLink.start(
            node=s.node,
            zone=s.zone,
            listen=s.peer_listen,
            peers=heartbeat_addresses,
            dispatcher=self.dispatcher,
            peer_timeout_s=s.peer_timeout_s,
            placer=placer,
            fetcher=PeerConfigFetcher.start(self.dispatcher),
            url=s.advertise_url or f"http://{s.listen.host}:{s.listen.port}",
        )
        self.timer.subscribe(link, "heartbeat", s.heartbeat_s)
        self.timer.subscribe(PeerProber.start(self.dispatcher), "probe", PROBE_INTERVAL_S)
        self.guard = self._start_order_guard(members)

    def _members(self) -> list[Member]:
        s = self.settings
        members = [Member(NodeId(s.node), ZoneId(s.zone))]
        return members + [Member(NodeId(peer.node), ZoneId(peer.zone)) for peer in s.peers]

    def _start_order_guard(self, members: list[Member]) -> OrderGuard:
        s = self.settings
        node = NodeId(s.node)
        replica = ClaimHome.start(node, members, s.claims_listen, self.snapshot)
        self.timer.subscribe(replica, "claims", _CLAIMS_INTERVAL_S)
        replicas = {node: replica}
        for peer in s.peers:
            link = HomeLink.start(
                node,
                NodeId(peer.node),
                peer.claims,
                replica,
                lambda: self.snapshot.limits().order_memory_s,
            )
            self.timer.subscribe(link, "claims", _CLAIMS_INTERVAL_S)
            replicas[NodeId(peer.node)] = link
        return OrderGuard(node, members, replicas)

    def start_front(self) -> None:
        """Start the HTTP front; the actors that it sends requests to must be running."""
        s = self.settings
        proxy = Proxy(self.dispatcher, self.upstream, self.guard, s.node)
        self.front = Front(self.dispatcher, proxy, self.snapshot, self.drain_and_stop)
        self.http = HttpServer(
            s.listen.host,
            s.listen.port,
            self.front,
            s.threads,
            s.node,
            self.snapshot.front_limits,
        )
        self.http.start()

    def _apply_bootstrap_config(self) -> None:
        path = self.settings.bootstrap_config
        if not path:
            return
        try:
            with open(path, "rb") as file:
                cfg = parse_config(file.read())
        except (OSError, ConfigError) as exc:
            log_event("bootstrap_config_refused", level="WARNING", path=path, reason=str(exc))
            return
        self.dispatcher.tell(ConfigApplied(cfg))

    def drain_and_stop(self) -> None:
        """Refuse new requests, wait up to ``drain_timeout_s`` for accepted ones, then stop.

        Only the first call has an effect.
        """
        if self._drain():
            self.app.request_stop()

    def _drain_unfit(self) -> None:
        if self._drain():
            self.app.request_failed_stop()

    def _drain(self) -> bool:
        """Drain; return False if that has begun before."""
        if not self._draining.acquire(blocking=False):
            return False
        if self.front is not None:
            self.front.draining = True
        self.dispatcher.tell(Drain())
        state = self._wait_idle(time.monotonic() + self.settings.drain_timeout_s)
        if state is not None:
            log_event("drain_done", inflight=state.inflight, queued=state.queued)
        return True

    def _wait_idle(self, deadline: float) -> RouterStatus | None:
        # Between two attempts a request is briefly neither queued nor in flight. Stopping at that
        # moment would abort it, so two consecutive polls must find the router idle.
        idle_polls = 0
        while True:
            state = ask_with_timeout(self.dispatcher, StatusQuery(), _STATUS_TIMEOUT_S)
            is_idle = state is not None and state.inflight == 0 and state.queued == 0
            idle_polls = idle_polls + 1 if is_idle else 0
            if idle_polls == 2 or time.monotonic() >= deadline:
                return state
            time.sleep(_DRAIN_POLL_INTERVAL_S)

    def run(self) -> int:
        """Run until stopped and return the process's exit status."""
        return self.app.run()


class _FrontComponent:
    """The HTTP front as an application component."""

    def __init__(self, router: Router) -> None:
        self.router = router

    def start(self) -> None:
        self.router.start_front()

    def stop(self) -> None:
        if self.router.http is not None:
            self.router.http.stop()


def run_router(settings_path: str) -> int:
    """Load the settings and run a router.

    Parameters
    ----------
    settings_path : str
        JSON file with the router's settings.

    Returns
    -------
    int
        Exit status of the process: 2 if the settings are invalid.
    """
    try:
        settings = load_settings(settings_path, RouterSettings)
    except SettingsError as exc:
        print(f"error: {exc}", file=sys.stderr)
        return 2
    setup_logging("router", settings.node, settings.zone, settings.log_file)
    return Router(settings).run()


def main() -> None:
    """Run the ``turmerictrayd`` command."""
    if len(sys.argv) != 2:
        print("usage: turmerictrayd SETTINGS.json", file=sys.stderr)
        sys.exit(2)
    sys.exit(run_router(sys.argv[1]))


if __name__ == "__main__":
    main()
