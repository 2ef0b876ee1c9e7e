"""Learns what the engines keep when a router starts without memory.

A router knows what engines keep from its own sends and its peers' words. One that starts knows
nothing, and would have the engines read again what they still keep: with all routers restarted
under load, that alone overloads the pool.
"""

import time
from collections.abc import Callable

import msgspec
import pykka
import urllib3

from turmerictray.core.actor import BackgroundActor, ask_in_time
from turmerictray.core.errors import EngineError, PeerError
from turmerictray.core.ids import NodeId, TargetId
from turmerictray.core.logs import log_event
from turmerictray.core.timer import Tick
from turmerictray.membership.messages import PeerMessage
from turmerictray.router.broker_messages import (
    EnginesQuery,
    KeptHeard,
    KeptParts,
    RoutersAlive,
)
from turmerictray.routing.load import TargetInfo
from turmerictray.routing.prompt import Part
from turmerictray.routing.rendezvous import rank

RECALL_LOOK_S = 0.1

_ELDER_BEATS = 12
"""Messages after which a peer counts as one that knows what engines keep; about three seconds of
its life. Counted in messages, since the routers' clocks may differ."""

_ALONE_S = 0.5
"""A router that has heard no such peer by then asks the engines. A peer that is alive is heard
within two messages, a quarter of a second apart."""

_SETTLED_S = 0.5
"""A router that has heard of no new one for this long knows all that start with it."""

_LONGEST_SETTLING_S = 3.0

_GIVE_UP_S = 10.0
"""What an engine kept longer ago has mostly been replaced, and own sends tell of the rest."""

_PEER_TIMEOUT_S = 1.0
_ASK_S = 1.0

ListKept = Callable[[TargetInfo], list[Part]]
"""Asks an engine what it keeps; raises :class:`EngineError`."""


class RecallPlan:
    """Decides whom to ask what the engines keep.

    A peer that has been up for a while is asked for what it knows of all engines. When all routers
    start at once there is none; then each asks the engines that rank it first among the routers it
    knows, so that every engine is asked about once: listing its memory costs an engine time.

    Parameters
    ----------
    node : NodeId
    started_at : float
        Monotonic seconds.
    """

    def __init__(self, node: NodeId, started_at: float) -> None:
        self.node = node
        self._started_at = started_at
        self._peers: set[str] = set()
        self._grown_at = started_at
        self._elders: dict[str, str] = {}
        self._failed: set[str] = set()

    def note_peer(self, message: PeerMessage) -> None:
        """Take note of a peer that has been heard."""
        sender = message.sender
        self._peers.add(sender.node)
        if sender.beat >= _ELDER_BEATS and not sender.leaving:
            self._elders[sender.node] = message.admin

    def note_members(self, nodes: frozenset[str], now: float) -> None:
        """Take the routers that are believed alive.

        Of a large fleet a router hears few itself before it asks; by those alone each engine would
        be asked by many.
        """
        if not nodes <= self._peers | {self.node}:
            self._grown_at = now
        self._peers |= nodes

    def elder(self) -> tuple[str, str] | None:
        """Name and admin address of a peer to ask, or None."""
        for node, admin in self._elders.items():
            if node not in self._failed:
                return node, admin
        return None

    def note_failed(self, node: str) -> None:
        """A peer could not be asked."""
        self._failed.add(node)

    def is_alone(self, now: float) -> bool:
        """Whether the engines are to be asked, since no peer can tell."""
        waited_s = now - self._started_at
        is_settled = now - self._grown_at >= _SETTLED_S or waited_s >= _LONGEST_SETTLING_S
        return waited_s >= _ALONE_S and is_settled and self.elder() is None

    def is_over(self, now: float) -> bool:
        """Whether it is too late to be of use."""
        return now - self._started_at >= _GIVE_UP_S

    def own_share(self, engines: list[TargetInfo]) -> list[TargetInfo]:
        """The engines that this router asks."""
        routers = {*self._peers, self.node}
        return [
            engine
            for engine in engines
            if max(routers, key=lambda node: rank(engine.id, node)) == self.node
        ]


class Recall(BackgroundActor):
    """Fetches what the engines keep, tells the broker, and ends.

    Parameters
    ----------
    broker : pykka.ActorRef
    node : NodeId
    list_kept : callable
    """

    def __init__(self, broker: pykka.ActorRef, node: NodeId, list_kept: ListKept) -> None:
        super().__init__()
        self._broker = broker
        self._list_kept = list_kept
        self._plan = RecallPlan(node, time.monotonic())

    def on_receive(self, message: PeerMessage | RoutersAlive | Tick) -> None:
        """Take note of peers, or see whether there is something to do."""
        if isinstance(message, PeerMessage):
            self._plan.note_peer(message)
        elif isinstance(message, RoutersAlive):
            self._plan.note_members(message.nodes, time.monotonic())
        elif self._plan.is_over(message.now) or self._step(message.now):
            self.stop()

    def _step(self, now: float) -> bool:
        """Ask whoever is to be asked now; true when that is done."""
        engines = ask_in_time(self._broker, EnginesQuery(), _ASK_S)
        if not engines:
            return False
        elder = self._plan.elder()
        if elder is not None:
            return self._ask_peer(*elder)
        if not self._plan.is_alone(now):
            return False
        self._ask_engines(self._plan.own_share(engines))
        return True

    def _ask_peer(self, node: str, admin: str) -> bool:
        try:
            kept = fetch_kept(admin)
        except PeerError as exc:
            self._plan.note_failed(node)
            log_event("recall_failed", level="WARNING", peer=node, reason=str(exc)[:200])
            return False
        self._broker.tell(KeptHeard(kept, tell_peers=False))
        log_event(
            "kept_from_peer", peer=node, engines=len(kept), parts=sum(map(len, kept.values()))
        )
        return True

    def _ask_engines(self, engines: list[TargetInfo]) -> None:
        for engine in engines:
            if self._plan.is_over(time.monotonic()):
                return
            try:
                parts = self._list_kept(engine)
            except EngineError as exc:
                log_event("recall_failed", level="WARNING", target=engine.id, reason=str(exc)[:200])
                continue
            self._broker.tell(KeptHeard({engine.id: parts}, tell_peers=True))
            log_event("kept_from_engine", target=engine.id, parts=len(parts))


def fetch_kept(admin: str) -> KeptParts:
    """What a peer believes the engines to keep, by target.

    Raises
    ------
    PeerError
        The peer can't be reached or its answer can't be read.
    """
    try:
        resp = urllib3.request(
            "GET", f"http://{admin}/kept", timeout=_PEER_TIMEOUT_S, retries=False
        )
        if resp.status != 200:
            raise PeerError(f"{admin} answered {resp.status}")
        return msgspec.json.decode(resp.data, type=dict[TargetId, list[Part]])
    except (urllib3.exceptions.HTTPError, msgspec.DecodeError) as exc:
        raise PeerError(f"{admin}: {exc}") from exc
