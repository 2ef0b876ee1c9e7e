"""The peer link, which exchanges heartbeats with usage counters between routers over pynng.

Each router publishes on a PUB socket and subscribes to all peers with one SUB socket. A heartbeat
carries the router's settled usage per team: normally only of the teams whose counter changed since
the last heartbeat, and of all teams in every ``FULL_HEARTBEAT_INTERVAL``-th heartbeat, so that
receivers recover from lost heartbeats and restarts within that many heartbeats. A restarted peer
has lost the counters of its earlier incarnations; its peers send them back to it. Counters only
grow and are merged by taking the larger value, so usage is not counted twice if heartbeats are
lost, repeated or reordered.
"""

import threading
import time
from functools import partial

import msgspec
import pykka
import pynng

from turmerictray.core import metrics
from turmerictray.core.actor import VitalActor, ask_with_timeout
from turmerictray.core.decoding import DecodingError, MessageDecoder
from turmerictray.core.errors import PeerError
from turmerictray.core.ids import NodeId
from turmerictray.core.logs import log_event
from turmerictray.core.supervision import SupervisedThread
from turmerictray.core.timer import Tick
from turmerictray.fairness.ledger import PeerCounters
from turmerictray.router.messages import PeerHasNewer, PeerSummary, ReportQuery

FULL_HEARTBEAT_INTERVAL = 10
"""Interval between heartbeats with the counters of all teams, in heartbeats."""

ECHO_HEARTBEATS = 3
"""Number of full heartbeats sent after a peer's restart with its earlier counters."""

_RECV_TIMEOUT_MS = 1000

_REPORT_TIMEOUT_S = 2.0
"""Timeout for the dispatcher's report, in seconds: four heartbeat periods. The dispatcher answers
within milliseconds unless its machine is overloaded or frozen."""


_SENDING = "PeerLink:sending"
"""Kind of work under which failed heartbeats are counted."""


class Heartbeat(msgspec.Struct, frozen=True, tag=True):
    """Periodic message from a router to all its peers.

    Attributes
    ----------
    node, zone : str
        Name and availability zone of the sender.
    seq : int
        Sequence number within the sender's incarnation.
    config_version : int
        Version of the sender's active configuration.
    counters : PeerCounters
        Settled cumulative tokens per team, of all teams or only those that changed.
    full : bool
        Whether ``counters`` contains all teams.
    demand : dict of str to dict of str to int
        Requests waiting on the sender per service and backlogged team.
    url : str
        Base URL of the sender's HTTP front, from which peers fetch its configuration.
    echoes : list of PeerCounters
        The sender's copies of counters from earlier incarnations of recently restarted routers.
    caught_up : bool
        False from the sender's start until its configuration was compared with its peers'.
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
    caught_up: bool = True


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = MessageDecoder(Heartbeat)


class PeerLink(VitalActor):
    """Actor that sends this router's heartbeats and passes on those of its peers.

    Parameters
    ----------
    node, zone : str
        Name and availability zone of this router.
    listen : str
        Address to publish on, ``tcp://host:port``.
    peers : dict of str to str
        Address that each peer publishes on, by the peer's name.
    dispatcher : pykka.ActorRef
        Receives a :class:`PeerSummary` for each heartbeat of a peer.
    peer_timeout_s : float
        Time without a heartbeat after which a peer is logged as silent, in seconds.
    placer : pykka.ActorRef
        Receives the same summaries, to know which peers are alive.
    fetcher : pykka.ActorRef
        Notified when a peer has a newer configuration.
    url : str
        Base URL of this router's HTTP front, sent to peers.
    """

    def __init__(
        self,
        node: str,
        zone: str,
        listen: str,
        peers: dict[str, str],
        dispatcher: pykka.ActorRef,
        peer_timeout_s: float,
        placer: pykka.ActorRef,
        fetcher: pykka.ActorRef,
        url: str,
    ) -> None:
        super().__init__()
        self.node, self.zone = node, zone
        self.listen, self.peers = listen, peers
        self.started_at = time.monotonic()
        self.dispatcher = dispatcher
        self.placer = placer
        self.fetcher = fetcher
        self.url = url
        self.config_version = 0
        self.peer_timeout_s = peer_timeout_s
        self.seq = 0
        self.last_sent: dict[str, float] = {}
        self.last_received_at: dict[str, float] = {}
        self.silent_peers: set[str] = set()
        self.incarnations: dict[str, int] = {}
        self.echoes_left: dict[str, int] = {}
        self._closing = threading.Event()
        self.pub: pynng.Pub0 | None = None
        self.sub: pynng.Sub0 | None = None
        self._reader: SupervisedThread | None = None

    def open(self) -> None:
        try:
            self.pub = pynng.Pub0(listen=self.listen)
        except pynng.NNGException as exc:
            raise PeerError(f"cannot listen on {self.listen}: {exc}") from exc
        self.sub = pynng.Sub0(recv_timeout=_RECV_TIMEOUT_MS)
        self.sub.subscribe(b"")
        for addr in self.peers.values():
            self.sub.dial(addr, block=False)
        self._reader = SupervisedThread(self._receive, "peer-reader")
        self._reader.start()
        log_event("peer_link_started", listen=self.listen, peers=len(self.peers))

    def on_stop(self) -> None:
        self._closing.set()
        if self._reader is not None:
            self._reader.join(timeout=2)
        for sock in (self.pub, self.sub):
            if sock is not None:
                sock.close()

    def handle(self, message: object) -> None:
        if isinstance(message, Tick):
            if message.is_late():
                metrics.HEARTBEATS.labels("late_tick").inc()
            else:
                self.run_step(self._send_heartbeat, message, _SENDING)
            self.run_step(partial(self._check_silence, time.monotonic()), message)
        elif isinstance(message, Heartbeat):
            self._process_heartbeat(message)

    def _send_heartbeat(self) -> None:
        restarted = frozenset(NodeId(node) for node in self.echoes_left)
        report = ask_with_timeout(self.dispatcher, ReportQuery(restarted), _REPORT_TIMEOUT_S)
        if report is None:
            metrics.HEARTBEATS.labels("no_report").inc()
            return
        local = report.counters
        self.config_version = report.config_version
        self.seq += 1
        full = self.seq % FULL_HEARTBEAT_INTERVAL == 1 or bool(self.echoes_left)
        if full:
            changed = dict(local.counters)
        else:
            changed = {t: v for t, v in local.counters.items() if self.last_sent.get(t) != v}
        self.last_sent.update(changed)
        self.echoes_left = {node: left - 1 for node, left in self.echoes_left.items() if left > 1}
        heartbeat = Heartbeat(
            self.node,
            self.zone,
            self.seq,
            report.config_version,
            PeerCounters(local.node, local.incarnation, changed),
            full,
            report.demand,
            self.url,
            report.earlier_counters,
            report.caught_up,
        )
        data = _ENCODER.encode(heartbeat)
        self.pub.send(data)
        metrics.HEARTBEATS.labels("sent").inc()
        metrics.count_control_bytes("peer", len(data) * max(1, len(self.peers)), 0)

    def _receive(self) -> None:
        while not self._closing.is_set():
            try:
                data = self.sub.recv()
            except pynng.Timeout:
                continue
            except pynng.Closed:
                return
            metrics.count_control_bytes("peer", 0, len(data))
            try:
                heartbeat = _DECODER.decode(data)
            except DecodingError:
                log_event("peer_bad_message", level="WARNING", size=len(data))
                continue
            if heartbeat.node == self.node:
                continue
            try:
                self.actor_ref.tell(heartbeat)
            except pykka.ActorDeadError:
                # The router is stopping; the actor ended before its socket is closed.
                return

    def _process_heartbeat(self, heartbeat: Heartbeat) -> None:
        self.last_received_at[heartbeat.node] = time.monotonic()
        if self.incarnations.get(heartbeat.node) != heartbeat.counters.incarnation:
            self.incarnations[heartbeat.node] = heartbeat.counters.incarnation
            self.echoes_left[heartbeat.node] = ECHO_HEARTBEATS
        if heartbeat.node in self.silent_peers:
            self.silent_peers.discard(heartbeat.node)
            log_event("peer_back", peer=heartbeat.node, peer_zone=heartbeat.zone)
        summary = PeerSummary(
            heartbeat.counters,
            heartbeat.demand,
            heartbeat.config_version,
            heartbeat.echoes,
            heartbeat.caught_up,
        )
        self.dispatcher.tell(summary)
        self.placer.tell(summary)
        if heartbeat.config_version > self.config_version and heartbeat.url:
            # Repeated with each heartbeat until this router has it, as a fetch may fail.
            self.fetcher.tell(PeerHasNewer(heartbeat.config_version, heartbeat.url))

    def _check_silence(self, now: float) -> None:
        """Report how long each peer has been silent, counted from the start if never heard."""
        for node in self.peers:
            silent_s = now - self.last_received_at.get(node, self.started_at)
            metrics.PEER_SILENCE.labels(node).set(round(silent_s, 2))
            if silent_s > self.peer_timeout_s and node not in self.silent_peers:
                self.silent_peers.add(node)
                # The further fields tell a link that doesn't work here from one of the peer: how
                # many peers it is connected to, and how many heartbeats it has sent itself.
                log_event(
                    "peer_lost",
                    level="WARNING",
                    peer=node,
                    silent_s=round(silent_s, 2),
                    heard_before=node in self.last_received_at,
                    connected=len(self.sub.pipes),
                    sent=self.seq,
                )
