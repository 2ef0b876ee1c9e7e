"""The peer link: an actor that owns the sockets to the other routers.

Each router pulls on one address and pushes to a few others a period, so the traffic of a router is
bounded whatever the size of the fleet; entries of other routers travel with the messages, and so
every router hears of every other (see :mod:`turmerictray.membership.gossip`).
"""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Protocol

import msgspec
import pynng

from turmerictray.core import metrics
from turmerictray.core.actor import VitalActor
from turmerictray.core.errors import PeerError
from turmerictray.core.ids import NodeId, ZoneId
from turmerictray.core.logs import log_event, log_unknown_message
from turmerictray.core.receive import Receiver, receive_all
from turmerictray.core.timer import Tick
from turmerictray.membership.gossip import FANOUT, Batch, Gossip
from turmerictray.membership.messages import (
    CrashReport,
    MemberEntry,
    PeerMessage,
    RouterSummary,
)
from turmerictray.membership.table import MemberTable

PERIOD_S = 0.25
"""Time between messages. What peers have sent to an engine is known this late; in that time all of
them may take the same engine for free, so it is kept well under an engine's reading window."""

_RECV_BUFFER = 128
"""Messages that wait to be handled."""

_REDIAL_S = 2.0
"""A peer silent this long is dialled anew: a connection that a cut left half open swallows messages
without an error, and new ones work."""


class _Received:
    """Bytes that came in over the peer link."""

    def __init__(self, data: bytes) -> None:
        self.data = data


@dataclass(frozen=True)
class Reseed:
    """The settings name other seeds."""

    seeds: list[str]


class Leave:
    """This router is shutting down; its peers are to be told now."""


class _Outlet:
    """The push socket to one peer."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.dialled_at = time.monotonic()
        self._sock = pynng.Push0(send_buffer_size=2)
        self._sock.dial(address, block=False)

    def send(self, data: bytes) -> bool:
        """Send if the peer takes it at once; a summary that waited would be out of date."""
        try:
            self._sock.send(data, block=False)
        except pynng.TryAgain:
            return False
        return True

    def close(self) -> None:
        """Close the socket."""
        self._sock.close()


class CrashReports(Protocol):
    """Where reports of crashes come from."""

    def has_news(self) -> bool:
        """Whether there is something that peers should hear soon."""

    def take_reports(self, now: float) -> list[CrashReport]:
        """What the next message is to tell."""


class PeerLink(VitalActor):
    """Sends this router's summary to its peers and hands on theirs.

    Parameters
    ----------
    node : NodeId
    zone : ZoneId
    incarnation : int
    address : str
        ``tcp://host:port`` to pull on.
    admin : str
        ``host:port`` where peers may fetch the published texts.
    seeds : list of str
        Peer-link addresses of routers to start with; may be stale.
    own_summary : callable
        Returns this router's :class:`RouterSummary`, or None when it can't be had in time.
    on_peer : callable
        Called with each :class:`PeerMessage`.
    on_members : callable
        Called with the entries of the live routers, this one's own included, now and then.
    calls : str
        ``tcp://host:port`` at which this router schedules requests of others.
    cores : float
        What this router's processor can do, in cores.
    crashes : CrashReports or None
        Reports that travel with the messages.
    """

    def __init__(
        self,
        node: NodeId,
        zone: ZoneId,
        incarnation: int,
        address: str,
        admin: str,
        seeds: list[str],
        own_summary: Callable[[], RouterSummary | None],
        on_peer: Callable[[PeerMessage], None],
        on_members: Callable[[tuple[MemberEntry, ...]], None],
        calls: str = "",
        cores: float = 1.0,
        crashes: CrashReports | None = None,
    ) -> None:
        super().__init__()
        self.entry = MemberEntry(node, zone, address, incarnation, 0, False, calls, cores)
        self.admin = admin
        self.seeds = seeds
        self.table = MemberTable(node)
        self._own_summary = own_summary
        self._on_peer = on_peer
        self._on_members = on_members
        self._crashes = crashes
        self._size = 1
        self._leaving = False
        self._outlets: dict[str, _Outlet] = {}
        self._rng = random.Random()
        self._gossip = Gossip(self.table, self._rng)
        self._receiver: Receiver | None = None

    def on_start(self) -> None:
        try:
            self._receiver = Receiver(
                self.entry.address, "peer-receive", _RECV_BUFFER, self._receive
            )
        except pynng.NNGException as exc:
            raise PeerError(f"cannot listen on {self.entry.address}: {exc}") from exc

    def on_stop(self) -> None:
        for outlet in self._outlets.values():
            outlet.close()
        if self._receiver is not None:
            self._receiver.close()

    @singledispatchmethod
    def on_receive(self, message: object) -> object:
        log_unknown_message(message)
        return None

    @on_receive.register
    def _(self, msg: Tick) -> None:
        if msg.is_late():
            return
        now = time.monotonic()
        has_news = self._crashes is not None and self._crashes.has_news()
        if self._gossip.is_due(self._size, has_news):
            self._send_all(now)
        self._note_size(now)
        self._tell_members(now)

    @on_receive.register
    def _(self, msg: _Received) -> None:
        try:
            heard = msgspec.msgpack.decode(msg.data, type=PeerMessage)
        except msgspec.DecodeError as exc:
            log_event("peer_message_refused", level="WARNING", reason=str(exc))
            return
        now = time.monotonic()
        if self.table.learn(heard.sender, now, direct=True):
            sender = heard.sender
            log_event("peer_heard", peer=sender.node, zone=sender.zone, life=sender.incarnation)
        for entry in heard.known:
            self.table.learn(entry, now, direct=False)
        for pulse in heard.pulses:
            self.table.learn_pulse(pulse, now)
        if heard.sender.node != self.entry.node:
            self.table.note_knows(heard.sender.node, heard.knows, now)
            self._on_peer(heard)
        self._note_size(now)

    @on_receive.register
    def _(self, msg: Reseed) -> None:
        self.seeds = msg.seeds

    @on_receive.register
    def _(self, msg: Leave) -> None:
        self._leaving = True
        self._send_all(time.monotonic())

    def _send_all(self, now: float) -> None:
        summary = self._own_summary()
        if summary is None:
            # Nothing is sent rather than a message without work: peers would take the targets
            # that this router uses for free.
            return
        beat = self.entry.beat + 1
        self.entry = msgspec.structs.replace(self.entry, beat=beat, leaving=self._leaving)
        batches = self._gossip.batches(self._size, now)
        crashes = [] if self._crashes is None else self._crashes.take_reports(now)
        used = set()
        for batch in batches:
            used |= self._send(batch, summary, crashes, now)
        seeds = self._seeds_to_try(now, used)
        if seeds:
            used |= self._send(Batch(seeds, batches[0].known), summary, crashes, now)
        self._close_unused(used)

    def _send(
        self, batch: Batch, summary: RouterSummary, crashes: list[CrashReport], now: float
    ) -> set[str]:
        """Send a message to a batch's routers; returns their addresses."""
        message = PeerMessage(
            self.entry, summary, batch.known, self.admin, self._size, batch.pulses, crashes
        )
        data = msgspec.msgpack.encode(message)
        for contact in batch.contacts:
            if self._outlet(contact.address, contact.node, now).send(data):
                metrics.count_control("peers", len(data), 0)
        return {contact.address for contact in batch.contacts}

    def _seeds_to_try(self, now: float, used: set[str]) -> list[MemberEntry]:
        # While few peers are known the seeds are the way in; later they only matter after a long
        # cut, and one at a time is enough. A seed that is known to live is reached like any other.
        known = {entry.address for entry in self.table.alive(now)} | used | {self.entry.address}
        unknown = [MemberEntry("", "", seed, 0, 0) for seed in self.seeds if seed not in known]
        return unknown if len(used) < 2 or not unknown else [self._rng.choice(unknown)]

    def _outlet(self, address: str, node: str, now: float) -> _Outlet:
        outlet = self._outlets.get(address)
        if outlet is not None and self._is_stale(outlet, node, now):
            outlet.close()
            outlet = None
        if outlet is None:
            outlet = self._outlets[address] = _Outlet(address)
        return outlet

    def _is_stale(self, outlet: _Outlet, node: str, now: float) -> bool:
        silent = not node or self.table.unheard_s(node, now) > _REDIAL_S
        return silent and now - outlet.dialled_at > _REDIAL_S

    def _close_unused(self, used: set[str]) -> None:
        for address in set(self._outlets) - used:
            if len(self._outlets) > 2 * FANOUT:
                self._outlets.pop(address).close()

    def _note_size(self, now: float) -> None:
        size = self.table.size(now)
        if size != self._size:
            log_event("fleet_size", routers=size, before=self._size)
            self._size = size
            self._tell_members(now)

    def _tell_members(self, now: float) -> None:
        own = () if self._leaving else (self.entry,)
        self._on_members((*own, *self.table.alive(now)))

    def _receive(self, pull: pynng.Pull0) -> None:
        receive_all(pull, "peers", "peer_receive_failed", self._hand_on)

    def _hand_on(self, data: bytes) -> None:
        if self.actor_ref.is_alive():
            self.actor_ref.tell(_Received(data))
