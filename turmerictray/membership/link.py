"""The peer link: an actor that owns the gossip sockets to the other routers.

Each router has one pull socket and sends to a few others per period, so its traffic is bounded
whatever the size of the fleet. Messages include entries of other routers, so that every router
learns of every other (see :mod:`turmerictray.membership.gossip`).
"""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial, singledispatchmethod
from typing import Protocol

import msgspec
import pynng

from turmerictray.core import metrics
from turmerictray.core.actor import VitalActor
from turmerictray.core.decoding import DecodingError, MessageDecoder
from turmerictray.core.errors import PeerError
from turmerictray.core.ids import NodeId, ZoneId
from turmerictray.core.logs import log_event, log_unknown_message
from turmerictray.core.receive import Receiver, receive_all
from turmerictray.core.timer import Tick
from turmerictray.membership.gossip import FANOUT, Batch, Gossip
from turmerictray.membership.messages import (
    CrashReport,
    MemberEntry,
    PartCrashReport,
    PeerMessage,
    RouterSummary,
)
from turmerictray.membership.table import MemberTable

PERIOD_S = 0.25
"""Gossip period. Peers' load on an engine is known with this delay, during which all of them may
consider the same engine idle. The period is therefore kept well below an engine's prefill window,
the time for which it has prompts to process."""

_RECV_BUFFER = 128
"""Maximum number of received messages that are not handled yet."""

_RECONNECT_AFTER_S = 2.0
"""Seconds without a message from a peer after which a new connection to it is opened. A connection
that a network partition left half open loses messages without an error."""


_DECODER = MessageDecoder(PeerMessage)

_SENDING = "PeerLink:sending"
"""Kind of work under which failures to tell peers of this router itself are counted."""


class _Received:
    """An encoded :class:`PeerMessage` received over the peer link at ``at``, monotonic seconds."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.at = time.monotonic()


@dataclass(frozen=True)
class Reseed:
    """Replaces the seeds after a change of the settings."""

    seeds: list[str]


class Leave:
    """Announces this router's shutdown to its peers at once."""


class _PeerSocket:
    """Push socket to one peer."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.connected_at = time.monotonic()
        self._sock = pynng.Push0(send_buffer_size=2)
        self._is_dialled = False
        try:
            self._sock.dial(address, block=False)
            self._is_dialled = True
        except pynng.NNGException as exc:
            log_event("peer_dial_failed", level="WARNING", to=address, exc=exc)

    def send(self, data: bytes) -> bool:
        """Send without blocking; return whether the message was sent.

        Messages are not queued, since a delayed summary would be out of date.
        """
        if not self._is_dialled:
            return False
        try:
            self._sock.send(data, block=False)
        except pynng.TryAgain:
            return False
        except pynng.NNGException as exc:
            log_event("peer_send_failed", level="WARNING", to=self.address, exc=exc)
            return False
        return True

    def close(self) -> None:
        """Close the socket."""
        self._sock.close()


class CrashReports(Protocol):
    """Source of the crash reports in gossip messages."""

    def has_pending_updates(self) -> bool:
        """Whether there are reports to send in this period."""

    def take_reports(self, now: float) -> list[CrashReport]:
        """Return the reports on requests for the next message."""

    def take_part_reports(self, now: float) -> list[PartCrashReport]:
        """Return the reports on prompt parts for the next message."""


_Reports = tuple[list[CrashReport], list[PartCrashReport]]


def _take_reports(crashes: CrashReports, reports: _Reports, now: float) -> None:
    """Append the crash reports for the next message."""
    requests, parts = reports
    requests.extend(crashes.take_reports(now))
    parts.extend(crashes.take_part_reports(now))


class PeerLink(VitalActor):
    """Sends this router's summary to its peers and passes on the messages that it receives.

    Parameters
    ----------
    node : NodeId
    zone : ZoneId
    incarnation : int
    address : str
        ``tcp://host:port`` to listen on.
    admin : str
        ``host:port`` at which peers can fetch the published texts.
    seeds : list of str
        Peer-link addresses of the routers to contact first; may be out of date.
    build_summary : callable
        Returns this router's :class:`RouterSummary`, or None if it is not available in time.
    on_peer : callable
        Called with each :class:`PeerMessage` that is received, and when it arrived, in monotonic
        seconds.
    on_members : callable
        Called each period, and when their number changes, with the entries of the live routers,
        which include this router unless it is leaving, the nodes of those that are silent, and
        since when at least half of the others were heard.
    scheduling_address : str
        ``tcp://host:port`` at which this router schedules requests of others.
    cores : float
        Processor capacity of this router in cores.
    crashes : CrashReports or None
        Source of the crash reports to send.
    """

    uncounted_messages = (_Received,)

    def __init__(
        self,
        node: NodeId,
        zone: ZoneId,
        incarnation: int,
        address: str,
        admin: str,
        seeds: list[str],
        build_summary: Callable[[], RouterSummary | None],
        on_peer: Callable[[PeerMessage, float], None],
        on_members: Callable[[tuple[MemberEntry, ...], frozenset[str], float], None],
        scheduling_address: str = "",
        cores: float = 1.0,
        crashes: CrashReports | None = None,
    ) -> None:
        super().__init__()
        self.entry = MemberEntry(
            node, zone, address, incarnation, 0, False, scheduling_address, cores
        )
        self.admin = admin
        self.seeds = seeds
        self.table = MemberTable(node)
        self._build_summary = build_summary
        self._on_peer = on_peer
        self._on_members = on_members
        self._crashes = crashes
        self._size = 1
        self._leaving = False
        self._sockets: dict[str, _PeerSocket] = {}
        self._rng = random.Random()
        self._gossip = Gossip(self.table, self._rng)
        self._receiver: Receiver | None = None

    def open(self) -> None:
        try:
            self._receiver = Receiver(
                self.entry.address, "peer-receive", _RECV_BUFFER, self._receive
            )
        except pynng.NNGException as exc:
            raise PeerError(f"cannot listen on {self.entry.address}: {exc}") from exc

    def on_stop(self) -> None:
        for peer_socket in self._sockets.values():
            peer_socket.close()
        if self._receiver is not None:
            self._receiver.close()

    @singledispatchmethod
    def handle(self, message: object) -> object:
        log_unknown_message(message)
        return None

    @handle.register
    def _(self, msg: Tick) -> None:
        if msg.is_late():
            return
        now = time.monotonic()
        if self._is_gossip_due():
            self.run_step(partial(self._send_all, msg, now), msg, _SENDING)
        self.run_step(partial(self._update_size, now), msg)
        self.run_step(partial(self._publish_members, now), msg)

    def _is_gossip_due(self) -> bool:
        has_reports = self._crashes is not None and self._crashes.has_pending_updates()
        return self._gossip.is_due(self._size, has_reports)

    @handle.register
    def _(self, msg: _Received) -> None:
        try:
            message = _DECODER.decode(msg.data)
        except DecodingError as exc:
            log_event("peer_message_refused", level="WARNING", reason=str(exc)[:200])
            return
        now = time.monotonic()
        metrics.MESSAGE_WAIT.labels("PeerLink").observe(now - msg.at)
        if self.table.update(message.sender, msg.at, direct=True):
            sender = message.sender
            log_event("peer_heard", peer=sender.node, zone=sender.zone, life=sender.incarnation)
        for entry in message.members:
            self.table.update(entry, msg.at, direct=False)
        for pulse in message.pulses:
            self.table.update_heartbeat(pulse, msg.at)
        if message.sender.node != self.entry.node:
            self.table.note_member_count(message.sender.node, message.member_count, now)
            self._on_peer(message, msg.at)
        self._update_size(now)

    @handle.register
    def _(self, msg: Reseed) -> None:
        self.seeds = msg.seeds

    @handle.register
    def _(self, msg: Leave) -> None:
        self._leaving = True
        self._send_all(msg, time.monotonic())

    def _send_all(self, msg: object, now: float) -> None:
        """Send this router's summary to some peers.

        What peers have said may make the messages of all routers fail; it is left out then. An
        exception that remains is of this router's own state.
        """
        summary = self._build_summary()
        if summary is None:
            # A message without load figures would make peers consider this router's targets idle.
            return
        heartbeat = self.entry.heartbeat + 1
        self.entry = msgspec.structs.replace(self.entry, heartbeat=heartbeat, leaving=self._leaving)
        batches: list[Batch] = []
        self.run_step(lambda: batches.extend(self._batches(now)), msg)
        reports: _Reports = ([], [])
        if self._crashes is not None:
            self.run_step(partial(_take_reports, self._crashes, reports, now), msg)
        for batch in batches:
            own = PeerMessage(self.entry, summary, [], self.admin, self._size)
            full = PeerMessage(
                self.entry, summary, batch.members, self.admin, self._size, batch.pulses, *reports
            )
            if not self.run_step(partial(self._send, full, batch, msg, now), msg):
                self._send(own, batch, msg, now)
        used_addresses = {entry.address for batch in batches for entry in batch.recipients}
        self._close_unused(used_addresses)

    def _batches(self, now: float) -> list[Batch]:
        batches = self._gossip.batches(self._size, now)
        used_addresses = {entry.address for batch in batches for entry in batch.recipients}
        seeds = self._seeds_to_try(now, used_addresses)
        return [*batches, Batch(seeds, batches[0].members)] if seeds else batches

    def _send(self, message: PeerMessage, batch: Batch, msg: object, now: float) -> None:
        """Send a message to the recipients of a batch."""
        data = msgspec.msgpack.encode(message)
        for recipient in batch.recipients:
            self.run_step(partial(self._send_to, recipient, data, now), msg)

    def _send_to(self, recipient: MemberEntry, data: bytes, now: float) -> None:
        if self._socket_to(recipient.address, recipient.node, now).send(data):
            metrics.count_control_bytes("peers", len(data), 0)

    def _seeds_to_try(self, now: float, used_addresses: set[str]) -> list[MemberEntry]:
        # A router that knows few peers joins through the seeds, so all of them are tried. Later
        # they only matter after a long partition, and one per period is enough. Seeds known to be
        # alive are selected like any other router.
        known = (
            {entry.address for entry in self.table.alive(now)}
            | used_addresses
            | {self.entry.address}
        )
        unknown = [MemberEntry("", "", seed, 0, 0) for seed in self.seeds if seed not in known]
        return unknown if len(used_addresses) < 2 or not unknown else [self._rng.choice(unknown)]

    def _socket_to(self, address: str, node: str, now: float) -> _PeerSocket:
        peer_socket = self._sockets.get(address)
        if peer_socket is not None and self._is_stale(peer_socket, node, now):
            peer_socket.close()
            peer_socket = None
        if peer_socket is None:
            peer_socket = self._sockets[address] = _PeerSocket(address)
        return peer_socket

    def _is_stale(self, peer_socket: _PeerSocket, node: str, now: float) -> bool:
        is_silent = not node or self.table.silence_s(node, now) > _RECONNECT_AFTER_S
        return is_silent and now - peer_socket.connected_at > _RECONNECT_AFTER_S

    def _close_unused(self, used_addresses: set[str]) -> None:
        for address in set(self._sockets) - used_addresses:
            if len(self._sockets) > 2 * FANOUT:
                self._sockets.pop(address).close()

    def _update_size(self, now: float) -> None:
        size = self.table.size(now)
        if size != self._size:
            log_event("fleet_size", routers=size, before=self._size)
            self._size = size
            self._publish_members(now)

    def _publish_members(self, now: float) -> None:
        local = () if self._leaving else (self.entry,)
        members = (*local, *self.table.alive(now))
        self._on_members(members, self.table.silent(now), self.table.heard_at(now))

    def _receive(self, pull: pynng.Pull0) -> None:
        receive_all(pull, "peers", "peer_receive_failed", self._enqueue_received)

    def _enqueue_received(self, data: bytes) -> None:
        if self.actor_ref.is_alive():
            self.actor_ref.tell(_Received(data))
