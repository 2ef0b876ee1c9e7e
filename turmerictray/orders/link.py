"""The link to one peer's home: owns the socket and asks one question at a time."""

import time
from functools import singledispatchmethod

import msgspec
import pykka
import pynng

from turmerictray.core import metrics
from turmerictray.core.actor import BackgroundActor
from turmerictray.core.ids import NodeId
from turmerictray.core.logs import log_event, log_unknown_message
from turmerictray.core.timer import Tick
from turmerictray.orders.ask import AskHome, Synced
from turmerictray.orders.table import SETTLE_S
from turmerictray.orders.vote import Vote
from turmerictray.orders.wire import (
    ANSWER_DECODER,
    ENCODER,
    HomeAnswer,
    HomeRequest,
    Records,
    Sync,
    Voted,
)

_SEND_TIMEOUT_MS = 100
_RECV_TIMEOUT_MS = 300
_HOLD_OFF_S = 1.0


class HomeLink(BackgroundActor):
    """Asks one peer's home, and on start fetches what it remembers for this router.

    Parameters
    ----------
    node : NodeId
        This router.
    peer : NodeId
    address : str
        The peer's claims address, ``tcp://host:port``.
    home : pykka.ActorRef
        This router's own :class:`~turmerictray.orders.home.ClaimHome`.
    """

    def __init__(self, node: NodeId, peer: NodeId, address: str, home: pykka.ActorRef) -> None:
        super().__init__()
        self.node = node
        self.peer = peer
        self.address = address
        self.home = home
        self.started_at = time.monotonic()
        self.synced = False
        self.silent_until = 0.0
        self._req: pynng.Req0 | None = None

    def on_start(self) -> None:
        self._req = pynng.Req0(send_timeout=_SEND_TIMEOUT_MS, recv_timeout=_RECV_TIMEOUT_MS)
        self._req.dial(self.address, block=False)

    def on_stop(self) -> None:
        if self._req is not None:
            self._req.close()

    @singledispatchmethod
    def on_receive(self, message: object) -> None:
        log_unknown_message(message)

    @on_receive.register
    def _(self, msg: AskHome) -> None:
        # Waiting out the timeout for every order while a peer is down would queue orders
        # behind each other here; after one silence the peer counts as unreachable for a
        # second, and its two fellow homes decide.
        answer = None
        if time.monotonic() >= self.silent_until:
            answer = self._exchange(msg.question)
        msg.reply.give(answer.vote if isinstance(answer, Voted) else Vote.UNREACHABLE)

    @on_receive.register
    def _(self, _msg: Tick) -> None:
        asked_at = time.monotonic()
        if self.synced or asked_at - self.started_at < SETTLE_S:
            return
        answer = self._exchange(Sync(self.node))
        if isinstance(answer, Records):
            self.synced = True
            self.home.tell(Synced(answer, asked_at))

    def _exchange(self, question: HomeRequest) -> HomeAnswer | None:
        data = ENCODER.encode(question)
        try:
            self._req.send(data)
            raw = self._req.recv()
            metrics.count_control("claims", len(data), len(raw))
            answer = ANSWER_DECODER.decode(raw)
        except (pynng.NNGException, msgspec.DecodeError) as exc:
            if self.silent_until == 0.0:
                log_event("home_silent", peer=self.peer, reason=type(exc).__name__)
            self.silent_until = time.monotonic() + _HOLD_OFF_S
            return None
        self.silent_until = 0.0
        return answer
