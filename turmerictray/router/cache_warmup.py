"""Retrieval of the engines' cache contents after a router's start.

A router learns which prompt parts engines cache from its own sends and its peers' messages. After a
start it knows of none and would place prompts where their cached parts are not, so that engines
read them again. If all routers restart under load, those extra reads alone overload the pool.
"""

import time
from collections.abc import Callable

import pykka
import urllib3

from turmerictray.core.actor import BackgroundActor, ask_with_timeout
from turmerictray.core.decoding import DecodingError, decode_json
from turmerictray.core.errors import EngineError, PeerError
from turmerictray.core.ids import NodeId, TargetId
from turmerictray.core.logs import log_event
from turmerictray.core.timer import Tick
from turmerictray.membership.messages import PeerMessage
from turmerictray.routing.load import TargetInfo
from turmerictray.routing.prompt import PromptPart
from turmerictray.routing.rendezvous import rank
from turmerictray.scheduling.broker_messages import (
    CachedParts,
    EnginesQuery,
    KeptHeard,
    RoutersAlive,
)
from turmerictray.transport.bounded_input import bounded_pool_manager

WARMUP_TICK_INTERVAL_S = 0.1
"""Interval of the ticks that drive :class:`Recall`."""

_ESTABLISHED_HEARTBEATS = 12
"""Messages that a peer must have sent to count as knowing the engines' cache contents; about 3 s of
uptime. Uptime is counted in messages because the routers' clocks may differ."""

_NO_PEER_TIMEOUT_S = 0.5
"""A router that knows no such peer after this long asks the engines. A message from a live peer
arrives within two intervals of a quarter of a second."""

_MEMBERSHIP_SETTLE_S = 0.5
"""If no new router has appeared for this long, all that started together are known."""

_MAX_MEMBERSHIP_SETTLE_S = 3.0
"""Routers that keep joining delay the requests to the engines no longer than this."""

_MAX_DURATION_S = 10.0
"""Retrieval is abandoned after this long: most of what engines cached at the start has been evicted
by then, and this router's own sends have revealed the rest."""

_PEER_TIMEOUT_S = 1.0
_BROKER_QUERY_TIMEOUT_S = 1.0

ListCachedParts = Callable[[TargetInfo], list[PromptPart]]
"""Lists an engine's cached prompt parts; raises :class:`EngineError`."""


class CacheWarmupPlan:
    """Decides whether to ask a peer or the engines for the engines' cache contents.

    A peer that has been running for a while is asked for what it knows of all engines. If all
    routers start at once there is no such peer; each router then asks the engines for which it
    ranks first (by rendezvous hashing) among the routers it knows. Every engine is thus asked about
    once, since listing its cache takes time from its requests.

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
        self._members_grown_at = started_at
        self._established_peers: dict[str, str] = {}
        self._failed_peers: set[str] = set()

    def note_peer(self, message: PeerMessage) -> None:
        """Record a peer from which a message has arrived."""
        sender = message.sender
        self._peers.add(sender.node)
        if sender.heartbeat >= _ESTABLISHED_HEARTBEATS and not sender.leaving:
            self._established_peers[sender.node] = message.admin

    def add_members(self, nodes: frozenset[str], now: float) -> None:
        """Add the routers considered alive.

        In a large fleet, messages from only a few peers arrive before a router asks. If the engines
        were divided among those alone, many routers would ask the same engine.
        """
        if not nodes <= self._peers | {self.node}:
            self._members_grown_at = now
        self._peers |= nodes

    def established_peer(self) -> tuple[str, str] | None:
        """Return the name and admin address of a peer to ask, or None."""
        for node, admin in self._established_peers.items():
            if node not in self._failed_peers:
                return node, admin
        return None

    def exclude_peer(self, node: str) -> None:
        """Exclude a peer from which fetching failed."""
        self._failed_peers.add(node)

    def should_ask_engines(self, now: float) -> bool:
        """Check whether to ask the engines because no peer can answer."""
        waited_s = now - self._started_at
        is_settled = (
            now - self._members_grown_at >= _MEMBERSHIP_SETTLE_S
            or waited_s >= _MAX_MEMBERSHIP_SETTLE_S
        )
        return waited_s >= _NO_PEER_TIMEOUT_S and is_settled and self.established_peer() is None

    def is_expired(self, now: float) -> bool:
        """Check whether it is too late for the cache contents to be useful."""
        return now - self._started_at >= _MAX_DURATION_S

    def assigned_engines(self, engines: list[TargetInfo]) -> list[TargetInfo]:
        """Return the engines that this router asks."""
        routers = {*self._peers, self.node}
        return [
            engine
            for engine in engines
            if max(routers, key=lambda node: rank(engine.id, node)) == self.node
        ]


class Recall(BackgroundActor):
    """Sends the engines' cache contents to the broker after a start, then stops.

    Parameters
    ----------
    broker : pykka.ActorRef
    node : NodeId
    list_cached_parts : callable
    """

    def __init__(
        self, broker: pykka.ActorRef, node: NodeId, list_cached_parts: ListCachedParts
    ) -> None:
        super().__init__()
        self._broker = broker
        self._list_cached_parts = list_cached_parts
        self._plan = CacheWarmupPlan(node, time.monotonic())

    def on_receive(self, message: PeerMessage | RoutersAlive | Tick) -> None:
        """Record peers; on a tick, ask a peer or the engines if it is time."""
        if isinstance(message, PeerMessage):
            self._plan.note_peer(message)
        elif isinstance(message, RoutersAlive):
            self._plan.add_members(message.nodes, time.monotonic())
        elif self._plan.is_expired(message.now) or self._try_warm_up(message.now):
            self.stop()

    def _try_warm_up(self, now: float) -> bool:
        """Ask a peer or the engines if it is time; return True when finished."""
        engines = ask_with_timeout(self._broker, EnginesQuery(), _BROKER_QUERY_TIMEOUT_S)
        if not engines:
            return False
        established_peer = self._plan.established_peer()
        if established_peer is not None:
            return self._ask_peer(*established_peer)
        if not self._plan.should_ask_engines(now):
            return False
        self._ask_engines(self._plan.assigned_engines(engines))
        return True

    def _ask_peer(self, node: str, admin: str) -> bool:
        try:
            cached = fetch_cached_parts(admin)
        except PeerError as exc:
            self._plan.exclude_peer(node)
            log_event("recall_failed", level="WARNING", peer=node, reason=str(exc)[:200])
            return False
        self._broker.tell(KeptHeard(cached, announce_to_peers=False))
        log_event(
            "kept_from_peer", peer=node, engines=len(cached), parts=sum(map(len, cached.values()))
        )
        return True

    def _ask_engines(self, engines: list[TargetInfo]) -> None:
        for engine in engines:
            if self._plan.is_expired(time.monotonic()):
                return
            try:
                parts = self._list_cached_parts(engine)
            except EngineError as exc:
                log_event("recall_failed", level="WARNING", target=engine.id, reason=str(exc)[:200])
                continue
            self._broker.tell(KeptHeard({engine.id: parts}, announce_to_peers=True))
            log_event("kept_from_engine", target=engine.id, parts=len(parts))


def fetch_cached_parts(admin: str) -> CachedParts:
    """Fetch from a peer the prompt parts that it assumes engines to cache, by target.

    Raises
    ------
    PeerError
        The peer can't be reached or its answer can't be read.
    """
    try:
        with bounded_pool_manager(retries=False) as http:
            resp = http.request("GET", f"http://{admin}/kept", timeout=_PEER_TIMEOUT_S)
        if resp.status != 200:
            raise PeerError(f"{admin} answered {resp.status}")
        return decode_json(resp.data, dict[TargetId, list[PromptPart]])
    except (urllib3.exceptions.HTTPError, DecodingError) as exc:
        raise PeerError(f"{admin}: {exc}") from exc
