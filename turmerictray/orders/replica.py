"""Replica actor: owns this router's claim table and the socket on which peers query it."""

import threading
import time
from functools import singledispatchmethod

import pykka
import pynng

from turmerictray.config.snapshot import ConfigSnapshot
from turmerictray.core import metrics
from turmerictray.core.actor import VitalActor
from turmerictray.core.decoding import DecodingError
from turmerictray.core.errors import PeerError
from turmerictray.core.ids import NodeId
from turmerictray.core.logs import log_event, log_unknown_message
from turmerictray.core.member import Member
from turmerictray.core.supervision import SupervisedThread
from turmerictray.core.timer import Tick
from turmerictray.orders.messages import AskHome, HomeQuery, HomeState, Synced
from turmerictray.orders.table import ClaimTable
from turmerictray.orders.vote import Vote
from turmerictray.orders.wire import (
    ENCODER,
    REQUEST_DECODER,
    Records,
    Release,
    ReplicaAnswer,
    ReplicaRequest,
    Sync,
    Take,
    Voted,
)

_RECV_TIMEOUT_MS = 1000
"""Interval at which the socket thread checks whether the actor is stopping."""

_ASK_TIMEOUT_S = 2.0
"""Time the socket thread waits for the actor's answer to a peer's request."""


class ClaimHome(VitalActor):
    """Votes on claims, from peers over a REP socket and from this router by actor messages.

    Parameters
    ----------
    node : NodeId
    members : list of Member
        All routers of the deployment.
    listen : str
        Address to listen on, ``tcp://host:port``.
    snapshot : ConfigSnapshot
        Source of ``limits.order_memory_s`` in the active configuration.
    """

    def __init__(
        self, node: NodeId, members: list[Member], listen: str, snapshot: ConfigSnapshot
    ) -> None:
        super().__init__()
        self.node = node
        self.listen = listen
        self.snapshot = snapshot
        self.table = ClaimTable(node, members, time.monotonic())
        self._closing = threading.Event()
        self._rep: pynng.Rep0 | None = None
        self._thread: SupervisedThread | None = None

    def open(self) -> None:
        try:
            self._rep = pynng.Rep0(listen=self.listen, recv_timeout=_RECV_TIMEOUT_MS)
        except pynng.NNGException as exc:
            raise PeerError(f"cannot listen on {self.listen}: {exc}") from exc
        self._thread = SupervisedThread(self._serve_peers, "claims-reader")
        self._thread.start()

    def on_stop(self) -> None:
        self._closing.set()
        if self._rep is not None:
            self._rep.close()

    @singledispatchmethod
    def handle(self, message: object) -> ReplicaAnswer | None:
        log_unknown_message(message)
        return None

    @handle.register
    def _(self, msg: AskHome) -> None:
        vote = self.handle(msg.request).vote
        msg.reply.try_set_result(vote)

    @handle.register
    def _(self, msg: Take) -> Voted:
        return Voted(self.table.acquire(msg.key, msg.holder, self._retention_s(), time.monotonic()))

    @handle.register
    def _(self, msg: Release) -> Voted:
        self.table.release(msg.key, msg.holder)
        return Voted(Vote.GRANTED)

    @handle.register
    def _(self, msg: Sync) -> Records:
        return Records(self.node, self.table.records_for(msg.node, time.monotonic()))

    @handle.register
    def _(self, msg: Synced) -> None:
        answer = msg.answer
        self.table.merge_records(answer.source, answer.records, msg.requested_at, time.monotonic())
        log_event("claims_synced", peer=answer.source, records=len(answer.records))

    @handle.register
    def _(self, _msg: HomeQuery) -> HomeState:
        vouching = self.table.is_complete(self._retention_s(), time.monotonic())
        return HomeState(len(self.table), sorted(self.table.synced), vouching)

    @handle.register
    def _(self, msg: Tick) -> None:
        self.table.expire(self._retention_s(), msg.now)
        metrics.CLAIMS_KEPT.set(len(self.table))

    def _retention_s(self) -> float:
        return self.snapshot.limits().order_memory_s

    def _serve_peers(self) -> None:
        while not self._closing.is_set():
            try:
                data = self._rep.recv()
            except pynng.Timeout:
                continue
            except pynng.Closed:
                return
            answer = self._answer(data)
            metrics.count_control_bytes("claims", len(answer), len(data))
            try:
                self._rep.send(answer)
            except pynng.NNGException:
                continue

    def _answer(self, data: bytes) -> bytes:
        try:
            request: ReplicaRequest = REQUEST_DECODER.decode(data)
            answer = self.actor_ref.ask(request, timeout=_ASK_TIMEOUT_S)
            if answer is not None:
                return ENCODER.encode(answer)
        except DecodingError:
            log_event("peer_bad_message", level="WARNING", size=len(data))
        except (pykka.ActorDeadError, pykka.Timeout):
            log_event("claims_home_stalled", level="WARNING")
        return ENCODER.encode(Voted(Vote.UNSURE))
