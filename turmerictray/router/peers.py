"""The peer link: heartbeats and service counters between routers over pynng.

Each router listens with a PUB socket and dials every peer's PUB with one SUB socket. A
heartbeat carries the router's settled per-team counters: only the teams that changed since the
last beat, and all of them every ``FULL_EVERY`` beats, so a lost beat or a peer that restarted
catches up within that many beats. A peer that started anew is also told what is known of its
earlier lives, since it forgot the service it gave itself. Counters only grow and are merged by
taking the larger value, so beats may be lost, repeated or reordered without service being
counted twice.
"""

import threading
import time

import msgspec
import pykka
import pynng

from turmerictray.core import metrics
from turmerictray.core.actor import BackgroundActor, ask_in_time
from turmerictray.core.errors import PeerError
from turmerictray.core.ids import NodeId
from turmerictray.core.logs import log_event
from turmerictray.core.timer import Tick
from turmerictray.fairness.ledger import PeerCounters
from turmerictray.router.messages import PeerHasNewer, PeerSummary, ReportQuery

FULL_EVERY = 10
"""A heartbeat with every counter is sent once in this many beats."""

ECHO_BEATS = 3
"""Full heartbeats sent after a peer started anew, with what is known of its earlier lives."""

_RECV_TIMEOUT_MS = 1000

_ASK_S = 2.0
"""Four heartbeats; the dispatcher answers within milliseconds unless its machine is in trouble."""


class Heartbeat(msgspec.Struct, frozen=True, tag=True):
    """What a router tells its peers each beat.

    Attributes
    ----------
    node, zone : str
    seq : int
        Beat number within this incarnation.
    config_version : int
        The configuration version in force on the sender.
    counters : PeerCounters
        Settled cumulative tokens per team (all or only the changed ones).
    full : bool
        Whether ``counters`` holds every team.
    demand : dict of str to dict of str to int
        Requests waiting on the sender per service and backlogged team.
    url : str
        The sender's HTTP front, where peers fetch its configuration text.
    echoes : list of PeerCounters
        What the sender knows of the earlier lives of routers that restarted lately.
    """

    node: str
    zone: str
    seq: int
    config_version: int
    counters: PeerCounters
    full: bool
    demand: dict[str, dict[str, int]] = {}
    url: str = ""
    echoes: list[PeerCounters] = []


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Heartbeat)


class PeerLink(BackgroundActor):
    """Publishes this router's heartbeats and feeds peers' into the dispatcher.

    Parameters
    ----------
    node, zone : str
    listen : str
        Own address, ``tcp://host:port``.
    peers : list of str
        Peers' addresses.
    dispatcher : pykka.ActorRef
    peer_timeout_s : float
        A peer silent this long is reported lost.
    placer : pykka.ActorRef
        Told which peers are heard.
    watcher : pykka.ActorRef
        The configuration watcher, told when a peer has a newer configuration.
    url : str
        This router's HTTP front, sent to peers.
    """

    def __init__(
        self,
        node: str,
        zone: str,
        listen: str,
        peers: list[str],
        dispatcher: pykka.ActorRef,
        peer_timeout_s: float,
        placer: pykka.ActorRef,
        watcher: pykka.ActorRef,
        url: str,
    ) -> None:
        super().__init__()
        self.node, self.zone = node, zone
        self.listen, self.peers = listen, peers
        self.dispatcher = dispatcher
        self.placer = placer
        self.watcher = watcher
        self.url = url
        self.best_version = 0
        self.peer_timeout_s = peer_timeout_s
        self.seq = 0
        self.sent: dict[str, float] = {}
        self.seen: dict[str, float] = {}
        self.lost: set[str] = set()
        self.lives: dict[str, int] = {}
        self.newborn: dict[str, int] = {}
        self._closing = threading.Event()
        self.pub: pynng.Pub0 | None = None
        self.sub: pynng.Sub0 | None = None
        self._reader: threading.Thread | None = None

    def on_start(self) -> None:
        try:
            self.pub = pynng.Pub0(listen=self.listen)
        except pynng.NNGException as exc:
            raise PeerError(f"cannot listen on {self.listen}: {exc}") from exc
        self.sub = pynng.Sub0(recv_timeout=_RECV_TIMEOUT_MS)
        self.sub.subscribe(b"")
        for addr in self.peers:
            self.sub.dial(addr, block=False)
        self._reader = threading.Thread(target=self._read, name="peer-reader", daemon=True)
        self._reader.start()

    def on_stop(self) -> None:
        self._closing.set()
        if self._reader is not None:
            self._reader.join(timeout=2)
        for sock in (self.pub, self.sub):
            if sock is not None:
                sock.close()

    def on_receive(self, message: object) -> None:
        if isinstance(message, Tick):
            if not message.is_late():
                self._beat()
            self._check_lost(time.monotonic())
        elif isinstance(message, Heartbeat):
            self._take(message)

    def _beat(self) -> None:
        echo = frozenset(NodeId(node) for node in self.newborn)
        report = ask_in_time(self.dispatcher, ReportQuery(echo), _ASK_S)
        if report is None:
            return
        own = report.counters
        self.seq += 1
        full = self.seq % FULL_EVERY == 1 or bool(self.newborn)
        if full:
            changed = dict(own.counters)
        else:
            changed = {t: v for t, v in own.counters.items() if self.sent.get(t) != v}
        self.sent.update(changed)
        self.newborn = {node: left - 1 for node, left in self.newborn.items() if left > 1}
        beat = Heartbeat(
            self.node,
            self.zone,
            self.seq,
            report.config_version,
            PeerCounters(own.node, own.incarnation, changed),
            full,
            report.demand,
            self.url,
            report.echoes,
        )
        data = _ENCODER.encode(beat)
        self.pub.send(data)
        metrics.count_control("peer", len(data) * max(1, len(self.peers)), 0)

    def _read(self) -> None:
        while not self._closing.is_set():
            try:
                data = self.sub.recv()
            except pynng.Timeout:
                continue
            except pynng.Closed:
                return
            metrics.count_control("peer", 0, len(data))
            try:
                beat = _DECODER.decode(data)
            except msgspec.DecodeError:
                log_event("peer_bad_message", level="WARNING", size=len(data))
                continue
            if beat.node != self.node:
                self.actor_ref.tell(beat)

    def _take(self, beat: Heartbeat) -> None:
        self.seen[beat.node] = time.monotonic()
        if self.lives.get(beat.node) != beat.counters.incarnation:
            self.lives[beat.node] = beat.counters.incarnation
            self.newborn[beat.node] = ECHO_BEATS
        if beat.node in self.lost:
            self.lost.discard(beat.node)
            log_event("peer_back", peer=beat.node, peer_zone=beat.zone)
        summary = PeerSummary(beat.counters, beat.demand, beat.config_version, beat.echoes)
        self.dispatcher.tell(summary)
        self.placer.tell(summary)
        if beat.config_version > self.best_version and beat.url:
            self.best_version = beat.config_version
            self.watcher.tell(PeerHasNewer(beat.config_version, beat.url))

    def _check_lost(self, now: float) -> None:
        for node, last in list(self.seen.items()):
            if node not in self.lost and now - last > self.peer_timeout_s:
                self.lost.add(node)
                log_event("peer_lost", level="WARNING", peer=node, silent_s=round(now - last, 2))
