"""The router daemon: builds the router's parts under one application object.

Run as ``turmerictrayd SETTINGS.json`` or ``turmerictray serve SETTINGS.json``. SIGTERM starts a
graceful shutdown: new requests are refused with ``Retry-After``, accepted ones run to their
end, then the process exits 0.
"""

import sys
import threading
import time

import pykka

from turmerictray.config.load import load_settings, parse_config
from turmerictray.config.settings import RouterSettings
from turmerictray.config.snapshot import ConfigSnapshot
from turmerictray.core.actor import stop_actors
from turmerictray.core.app import Application
from turmerictray.core.errors import ConfigError, SettingsError
from turmerictray.core.ids import NodeId, ZoneId
from turmerictray.core.logs import log_event, setup_logging
from turmerictray.core.member import Member
from turmerictray.core.timer import TimerService
from turmerictray.orders.guard import OrderGuard
from turmerictray.orders.home import ClaimHome
from turmerictray.orders.link import HomeLink
from turmerictray.placement.engine import EngineClient
from turmerictray.placement.placer import Placer
from turmerictray.router.dispatcher import Dispatcher
from turmerictray.router.front import Front
from turmerictray.router.messages import ConfigApplied, Drain, StatusQuery
from turmerictray.router.peers import PeerLink
from turmerictray.router.proxy import Proxy
from turmerictray.router.server import HttpServer
from turmerictray.router.status import RouterStatus
from turmerictray.router.upstream import Upstream
from turmerictray.router.watch_config import ConfigWatcher
from turmerictray.router.watch_instances import InstancePoller
from turmerictray.router.watch_load import LoadPoller

_EXPIRE_TICK_S = 0.1
_DRAIN_POLL_S = 0.1
_CLAIMS_TICK_S = 0.5
_ACTORS_STOP_S = 5.0


class _Actors:
    """Starts and stops the router's actors as one component."""

    def __init__(self, router: "Router") -> None:
        self.router = router

    def start(self) -> None:
        self.router.start_actors()

    def stop(self) -> None:
        stop_actors(_ACTORS_STOP_S)


class Router:
    """One entry instance.

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
        # Started in this order and stopped in reverse: the front stops first, so no caller
        # is cut by the actors stopping under it.
        self.app.add(self.timer)
        self.app.add(_Actors(self))
        self.app.add(_Front(self))
        self.app.on_signal(self.drain_and_stop)

    def start_actors(self) -> None:
        """Start the dispatcher, watchers and peer link and subscribe them to the timer."""
        s = self.settings
        self.dispatcher = Dispatcher.start(
            NodeId(s.node),
            self.incarnation,
            self.snapshot,
            assertions=s.assertions,
            peer_timeout_s=s.peer_timeout_s,
            expected_peers=frozenset(peer.node for peer in s.peers),
            places=s.threads,
        )
        self._bootstrap()
        members = self._members()
        placer = Placer.start(
            NodeId(s.node), members, self.snapshot, EngineClient(), s.peer_timeout_s
        )
        self.timer.subscribe(placer, "placement", s.placement_poll_s)
        watcher = ConfigWatcher.start(s.config_url, self.dispatcher, placer, s.watch_wait_s)
        self.timer.subscribe(self.dispatcher, "expire", _EXPIRE_TICK_S)
        if s.instances_url:
            poller = InstancePoller.start(s.instances_url, [self.dispatcher, placer])
            self.timer.subscribe(poller, "instances", s.instances_poll_s)
        load = LoadPoller.start(self.dispatcher)
        self.timer.subscribe(load, "load", s.load_poll_s)
        link = PeerLink.start(
            node=s.node,
            zone=s.zone,
            listen=s.peer_listen,
            peers=[peer.heartbeat for peer in s.peers],
            dispatcher=self.dispatcher,
            peer_timeout_s=s.peer_timeout_s,
            placer=placer,
            watcher=watcher,
            url=s.advertise_url or f"http://{s.listen.host}:{s.listen.port}",
        )
        self.timer.subscribe(link, "heartbeat", s.heartbeat_s)
        self.guard = self._start_guard(members)

    def _members(self) -> list[Member]:
        s = self.settings
        members = [Member(NodeId(s.node), ZoneId(s.zone))]
        return members + [Member(NodeId(peer.node), ZoneId(peer.zone)) for peer in s.peers]

    def _start_guard(self, members: list[Member]) -> OrderGuard:
        s = self.settings
        node = NodeId(s.node)
        home = ClaimHome.start(node, members, s.claims_listen, self.snapshot)
        self.timer.subscribe(home, "claims", _CLAIMS_TICK_S)
        homes = {node: home}
        for peer in s.peers:
            link = HomeLink.start(node, NodeId(peer.node), peer.claims, home)
            self.timer.subscribe(link, "claims", _CLAIMS_TICK_S)
            homes[NodeId(peer.node)] = link
        return OrderGuard(node, members, homes)

    def start_front(self) -> None:
        """Open the HTTP front once the dispatcher it talks to is running."""
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

    def _bootstrap(self) -> None:
        path = self.settings.bootstrap_config
        if not path:
            return
        try:
            with open(path, "rb") as fh:
                cfg = parse_config(fh.read())
        except (OSError, ConfigError) as exc:
            log_event("bootstrap_config_refused", level="WARNING", path=path, reason=str(exc))
            return
        self.dispatcher.tell(ConfigApplied(cfg))

    def drain_and_stop(self) -> None:
        """Refuse new requests, wait for accepted ones (at most ``drain_timeout_s``), stop."""
        if not self._draining.acquire(blocking=False):
            return
        if self.front is not None:
            self.front.draining = True
        self.dispatcher.tell(Drain())
        state = self._wait_idle(time.monotonic() + self.settings.drain_timeout_s)
        log_event("drain_done", inflight=state.inflight, queued=state.queued)
        self.app.request_stop()

    def _wait_idle(self, deadline: float) -> RouterStatus:
        # A request between two tries is neither queued nor in flight for a moment; stopping
        # then would cut it, so the router must be found idle twice in a row.
        idle = 0
        while True:
            state = self.dispatcher.ask(StatusQuery(), timeout=5)
            idle = idle + 1 if state.inflight == 0 and state.queued == 0 else 0
            if idle == 2 or time.monotonic() >= deadline:
                return state
            time.sleep(_DRAIN_POLL_S)

    def run(self) -> int:
        """Run until stopped; returns the process exit code."""
        return self.app.run()


class _Front:
    """The HTTP front as a component of the application."""

    def __init__(self, router: Router) -> None:
        self.router = router

    def start(self) -> None:
        self.router.start_front()

    def stop(self) -> None:
        if self.router.http is not None:
            self.router.http.stop()


def run_router(settings_path: str) -> int:
    """Load settings and run a router; returns the exit code (2 for refused settings)."""
    try:
        settings = load_settings(settings_path, RouterSettings)
    except SettingsError as exc:
        print(f"error: {exc}", file=sys.stderr)
        return 2
    setup_logging("router", settings.node, settings.zone, settings.log_file)
    return Router(settings).run()


def main() -> None:
    """Entry point of ``turmerictrayd``."""
    if len(sys.argv) != 2:
        print("usage: turmerictrayd SETTINGS.json", file=sys.stderr)
        sys.exit(2)
    sys.exit(run_router(sys.argv[1]))


if __name__ == "__main__":
    main()
