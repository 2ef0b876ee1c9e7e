"""Link to one peer's replica: owns the socket and sends one request at a time."""

import time
from collections import deque
from collections.abc import Callable
from functools import singledispatchmethod

import pykka
import pynng

from turmerictray.core import metrics
from turmerictray.core.actor import VitalActor
from turmerictray.core.decoding import DecodingError
from turmerictray.core.ids import NodeId
from turmerictray.core.logs import log_event, log_unknown_message
from turmerictray.core.timer import Tick
from turmerictray.orders.messages import AskHome, Synced
from turmerictray.orders.table import SYNC_DELAY_S
from turmerictray.orders.vote import Vote
from turmerictray.orders.wire import (
    ANSWER_DECODER,
    ENCODER,
    Records,
    Release,
    ReplicaAnswer,
    ReplicaRequest,
    Sync,
    Voted,
)

_SEND_TIMEOUT_MS = 100
_RECV_TIMEOUT_MS = 300
_UNREACHABLE_PAUSE_S = 1.0
"""Time for which a peer that did not answer is considered unreachable."""


class HomeLink(VitalActor):
    """Queries one peer's replica, and after the start fetches the claims that it stores.

    Parameters
    ----------
    node : NodeId
        The local router.
    peer : NodeId
    address : str
        Address of the peer's replica, ``tcp://host:port``.
    local_replica : pykka.ActorRef
        The local :class:`~turmerictray.orders.replica.ClaimHome`.
    retention_s : callable
        Returns the time in seconds for which replicas store claims. A release that the peer has
        not answered is repeated for as long.
    """

    def __init__(
        self,
        node: NodeId,
        peer: NodeId,
        address: str,
        local_replica: pykka.ActorRef,
        retention_s: Callable[[], float],
    ) -> None:
        super().__init__()
        self.node = node
        self.peer = peer
        self.address = address
        self.local_replica = local_replica
        self.started_at = time.monotonic()
        self.synced = False
        self.unreachable_until = 0.0
        self.retention_s = retention_s
        self._unconfirmed_releases: deque[tuple[float, Release]] = deque()
        self._req: pynng.Req0 | None = None

    def open(self) -> None:
        self._req = pynng.Req0(send_timeout=_SEND_TIMEOUT_MS, recv_timeout=_RECV_TIMEOUT_MS)
        self._req.dial(self.address, block=False)

    def on_stop(self) -> None:
        if self._req is not None:
            self._req.close()

    @singledispatchmethod
    def handle(self, message: object) -> None:
        log_unknown_message(message)

    @handle.register
    def _(self, msg: AskHome) -> None:
        # Waiting for the timeout with every order while a peer is down would queue the orders
        # here. After one timeout the peer is considered unreachable for a second, in which the
        # key's other two replicas decide.
        answer = None
        if time.monotonic() >= self.unreachable_until:
            answer = self._exchange(msg.request)
        if answer is None and isinstance(msg.request, Release):
            self._unconfirmed_releases.append((time.monotonic(), msg.request))
        msg.reply.try_set_result(answer.vote if isinstance(answer, Voted) else Vote.UNREACHABLE)

    @handle.register
    def _(self, msg: Tick) -> None:
        self.run_step(self._repeat_releases, msg)
        requested_at = time.monotonic()
        if self.synced or requested_at - self.started_at < SYNC_DELAY_S:
            return
        answer = self._exchange(Sync(self.node))
        if isinstance(answer, Records):
            self.synced = True
            self.local_replica.tell(Synced(answer, requested_at))

    def _repeat_releases(self) -> None:
        while self._unconfirmed_releases and time.monotonic() >= self.unreachable_until:
            requested_at, release = self._unconfirmed_releases[0]
            expired = time.monotonic() - requested_at > self.retention_s()
            if not expired and self._exchange(release) is None:
                return
            self._unconfirmed_releases.popleft()

    def _exchange(self, request: ReplicaRequest) -> ReplicaAnswer | None:
        data = ENCODER.encode(request)
        try:
            self._req.send(data)
            raw = self._req.recv()
            metrics.count_control_bytes("claims", len(data), len(raw))
            answer = ANSWER_DECODER.decode(raw)
        except (pynng.NNGException, DecodingError) as exc:
            if self.unreachable_until == 0.0:
                log_event("home_silent", peer=self.peer, reason=type(exc).__name__)
            self.unreachable_until = time.monotonic() + _UNREACHABLE_PAUSE_S
            return None
        self.unreachable_until = 0.0
        return answer
