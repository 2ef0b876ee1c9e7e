"""What a router believes of one target: its work, its speed and its health.

All times are passed in, so that the beliefs can be tested without waiting.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass, field
from enum import Enum

from turmerictray.core.ids import (
    NodeId,
    RequestDigest,
    ServiceName,
    TargetId,
    TargetName,
    TeamId,
    ZoneId,
)
from turmerictray.routing.kept import KeptParts

_SMOOTHING = 0.2
"""Weight of the newest answer in the moving averages; five answers decide."""

_FAILURE_HALF_LIFE_S = 3.0
"""Time in which half of a target's failure rate is forgiven when nothing is heard of it, so that a
target that was avoided gets a request again and can show that it is well."""

_SUSPECT_S = (0.3, 0.6, 1.2, 2.0)
"""How long a target that could not be reached is avoided, by failures in a row. A restart takes a
second or more; the first step is short because one lost packet fails a connection as well."""

_PEER_LOAD_TTL_S = 2.0
"""A peer's word on its own load counts this long: four of its messages may be lost."""

_SLOWNESS_RANGE = (0.7, 20.0)

_SLOWNESS_STEP = (0.3, 8.0)
"""One answer counts as at most this many times faster or slower than expected."""

_SLOWNESS_SMOOTHING = 0.1
"""Weight of one answer in the logarithm of the slowness. Work that peers sent meanwhile makes
single answers late on a well target, but not ten in a row."""

_LOST_S = 2.0
"""How late a first event is when it is taken for lost. An engine whose newest answer was lost would
count as busy and silent until that request's caller gives up, and nothing sent there meanwhile
could show otherwise."""

_END_TOLD_S = 1.0
"""How long after a request's last moment its end may still be told by the router that sent it."""

BEGINNING_S = 1.0
"""Time after the first event of a run in which its target's end still speaks against it. What has
run for longer was not ended by how it began."""

_TELLING_S = 0.06
"""Answers expected sooner are ruled by the way there and back and say little about the target."""


class TargetPhase(Enum):
    """Where a target is in its life."""

    READY = "ready"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True)
class TargetInfo:
    """A target as the discovery source lists it.

    Attributes
    ----------
    id : TargetId
        Names one incarnation; a target that restarts comes back under another id, as it keeps and
        runs nothing of before.
    address : str
        ``host:port``.
    slots : int
        Requests it runs at once.
    name : TargetName
        The name that it goes by itself, which a restart may keep; empty where it is the id.
    """

    id: TargetId
    service: ServiceName
    address: str
    zone: ZoneId
    slots: int
    phase: TargetPhase = TargetPhase.READY
    name: TargetName = TargetName("")

    @property
    def own_name(self) -> TargetName:
        """What the target calls itself."""
        return self.name or TargetName(self.id)


@dataclass(frozen=True)
class PeerLoad:
    """What another router has running on a target, and the tokens it waits to have read."""

    running: int
    unread_tokens: int
    heard_at: float


@dataclass
class OpenRead:
    """A request sent by this router whose first event has not come yet.

    Attributes
    ----------
    sent_at : float
    tokens : int
        Tokens the target has to read for it.
    ahead_tokens : int
        Tokens the target had to read before it.
    expected_s : float
        Seconds from the send to the first event, as estimated then.
    slowness : float
        The target's slowness in that estimate.
    passed : bool
        Nothing is read for it any more: the target has answered a request that was sent later, or
        its own answer is taken for lost.
    """

    sent_at: float
    tokens: int
    ahead_tokens: int
    expected_s: float
    slowness: float = 1.0
    passed: bool = False


@dataclass(frozen=True)
class OpenCall:
    """A request that was given to the target and has not ended.

    Attributes
    ----------
    team : TeamId
    charged : float
        What its team was charged for it, in tokens read.
    origin : NodeId
        The router that sends it; empty for this router.
    until : float
        Monotonic seconds at which its router gives it up at the latest.
    digest : RequestDigest
        See :mod:`turmerictray.admission.digest`; empty where it is not known.
    """

    team: TeamId = TeamId("-")
    charged: float = 0.0
    origin: NodeId = NodeId("")
    until: float = math.inf
    digest: RequestDigest = RequestDigest("")


@dataclass(frozen=True)
class Standing:
    """What a target has to do at one moment, and what speaks against it.

    Attributes
    ----------
    unread_tokens, running : int
        For this router and its peers.
    failures : float
        See :meth:`TargetLoad.failures`.
    overdue_s : float
        See :meth:`TargetLoad.overdue_s`.
    """

    unread_tokens: int
    running: int
    failures: float
    overdue_s: float


@dataclass
class TargetLoad:
    """Beliefs on one target.

    Attributes
    ----------
    calls : dict of int to OpenCall
        Requests that run there by this router's choice.
    first_at : dict of int to float
        When their first events came, in monotonic seconds.
    held : dict of int to int
        Requests of this router that wait for the target, and the tokens it would read for each.
    held_sum : int
        The sum of these tokens.
    slowness : float
        How many times longer its answers take than those of its pool.
    log_lateness : float
        Moving average of the logarithm of (time taken / time that the pool's model says).
    failure_rate : float
        Moving average of failed answers, 0 to 1.
    last_first_at : float
        When the newest first event came, in monotonic seconds.
    """

    info: TargetInfo
    kept: KeptParts
    calls: dict[int, OpenCall] = field(default_factory=dict)
    reads: dict[int, OpenRead] = field(default_factory=dict)
    first_at: dict[int, float] = field(default_factory=dict)
    held: dict[int, int] = field(default_factory=dict)
    held_sum: int = 0
    peers: dict[NodeId, PeerLoad] = field(default_factory=dict)
    slowness: float = 1.0
    log_lateness: float = 0.0
    failure_rate: float = 0.0
    judged_at: float = 0.0
    unreachable: int = 0
    last_first_at: float = -math.inf
    avoid_until: float = 0.0
    _standing: Standing | None = None
    _standing_at: float = 0.0

    @property
    def running(self) -> int:
        """How many requests run there by this router's choice."""
        return len(self.calls)

    def sent(self, call_id: int, read: OpenRead, call: OpenCall | None = None) -> None:
        """A request was given to the target."""
        self.calls[call_id] = call or OpenCall()
        self.reads[call_id] = read
        self.note_changed()

    def first_event(self, call_id: int, took_s: float) -> OpenRead | None:
        """The first event of an answer came; returns what was known when the request was sent."""
        read = self.reads.pop(call_id, None)
        self.note_changed()
        if read is not None:
            self.first_at[call_id] = read.sent_at + took_s
            self.last_first_at = max(self.last_first_at, read.sent_at + took_s)
        if read is None or read.expected_s < _TELLING_S:
            return read
        low, high = _SLOWNESS_STEP
        ratio = min(high, max(low, took_s * read.slowness / read.expected_s))
        self.log_lateness += _SLOWNESS_SMOOTHING * (math.log(ratio) - self.log_lateness)
        return read

    def read_up_to(self, answered: OpenRead) -> None:
        """What was sent before ``answered`` is read, as engines read in order of arrival.

        A lost answer would else make the engine look busy and silent until its caller gives up.
        """
        for read in self.reads.values():
            if read.sent_at < answered.sent_at:
                read.passed = True
        self.note_changed()

    def give_up_reads(self, now: float) -> list[OpenRead]:
        """Take first events that are long overdue for lost, and count them as failed answers."""
        lost = [
            read for read in self._open_reads() if now - read.sent_at - read.expected_s > _LOST_S
        ]
        for read in lost:
            read.passed = True
            self.answered(False, now)
        return lost

    def judge_slowness(self, usual_log_lateness: float) -> None:
        """Compare the target's lateness with what is usual in its pool.

        All targets of a pool are late together when it is busy; only the difference is a target's
        own.
        """
        low, high = _SLOWNESS_RANGE
        self.slowness = min(high, max(low, math.exp(self.log_lateness - usual_log_lateness)))
        self.note_changed()

    def ended(self, call_id: int) -> OpenCall | None:
        """The request has ended, however; None when it is not known, or no longer."""
        self.note_changed()
        self.reads.pop(call_id, None)
        self.first_at.pop(call_id, None)
        return self.calls.pop(call_id, None)

    def beginning(self, now: float) -> list[RequestDigest]:
        """Requests that have just begun to run here, or are about to."""
        return [
            call.digest
            for call_id, call in self.calls.items()
            if now < self.first_at.get(call_id, now) + BEGINNING_S
        ]

    def lost_calls(self, alive: Collection[str], now: float) -> list[int]:
        """Requests of routers that are gone, or whose end was never told."""
        return [
            call_id
            for call_id, call in self.calls.items()
            if now > call.until + _END_TOLD_S or (call.origin and call.origin not in alive)
        ]

    def answered(self, ok: bool, now: float) -> None:
        """Count an answer as good or failed."""
        self.note_changed()
        rate = self.failures(now)
        self.failure_rate = rate + _SMOOTHING * ((0.0 if ok else 1.0) - rate)
        self.judged_at = now
        if ok:
            self.unreachable = 0
            self.avoid_until = 0.0

    def not_reached(self, now: float) -> None:
        """A connection could not be opened."""
        step = min(self.unreachable, len(_SUSPECT_S) - 1)
        self.unreachable += 1
        self.avoid_until = now + _SUSPECT_S[step]

    def failures(self, now: float) -> float:
        """The failure rate, faded by the time since it was last judged."""
        return self.failure_rate * 0.5 ** ((now - self.judged_at) / _FAILURE_HALF_LIFE_S)

    def avoided(self, now: float) -> bool:
        """Whether the target is passed over while others can be reached."""
        return now < self.avoid_until

    def unread_tokens(self, now: float, read_per_s: float) -> int:
        """Tokens that the target still has to read, for this router and its peers.

        Peers tell four times a second. Taken as they were told, their tokens would close an engine
        that has read them long ago, and the router with the longest queue would leave it idle.

        Parameters
        ----------
        read_per_s : float
            Tokens that a target of the pool reads in a second.
        """
        return self._unread(self._open_reads(), self._heard(now), now, read_per_s)

    def _unread(
        self, reads: list[OpenRead], heard: list[PeerLoad], now: float, read_per_s: float
    ) -> int:
        unread = sum(read.tokens for read in reads)
        if heard:
            # What peers have sent may be read before this router's.
            return unread + self._peers_unread(heard, now, read_per_s)
        return unread - self._read_since(reads, now, read_per_s)

    def _read_since(self, reads: list[OpenRead], now: float, read_per_s: float) -> int:
        """Tokens read since the last first event.

        Counted whole until its own first event, a prompt that is longer than the window would keep
        the next one back until word of its end has come here, and the engine would idle meanwhile.
        Only the oldest request's reading is taken to go on: an engine that has fallen silent is not
        given more and more.
        """
        if not reads:
            return 0
        since_s = max(0.0, now - max(reads[0].sent_at, self.last_first_at))
        return min(reads[0].tokens, int(read_per_s * since_s / self.slowness))

    def _peers_unread(self, heard: list[PeerLoad], now: float, read_per_s: float) -> int:
        busy = [load for load in heard if load.unread_tokens]
        if not busy:
            return 0
        told = sum(load.unread_tokens for load in busy)
        since_s = now - min(load.heard_at for load in busy)
        return max(0, told - int(read_per_s * since_s / self.slowness))

    def standing(self, now: float, read_per_s: float) -> Standing:
        """What the target has to do now.

        It is worked out once for the many looks of one moment, as it sums up all that is open there
        and all that peers said.
        """
        if self._standing is None or self._standing_at != now:
            self._standing_at = now
            heard = self._heard(now)
            reads = self._open_reads()
            self._standing = Standing(
                self._unread(reads, heard, now, read_per_s),
                self.running + sum(load.running for load in heard),
                self.failures(now),
                max((now - read.sent_at - read.expected_s for read in reads), default=0.0),
            )
        return self._standing

    def hear_peer(self, node: NodeId, load: PeerLoad | None) -> None:
        """Take a peer's word on its own work here; None when it has none."""
        if load is not None:
            self.peers[node] = load
        else:
            self.peers.pop(node, None)
        self.note_changed()

    def note_changed(self) -> None:
        """What was worked out for this moment is out of date."""
        self._standing = None

    def held_tokens(self, call_id: int) -> int:
        """Tokens of the requests that wait here for the target, but for ``call_id`` itself."""
        return self.held_sum - self.held.get(call_id, 0)

    def hold(self, call_id: int, tokens: int) -> None:
        """A request waits for the target, which would read ``tokens`` for it."""
        self.held_sum += tokens - self.held.get(call_id, 0)
        self.held[call_id] = tokens

    def release(self, call_id: int) -> None:
        """A request waits for the target no more."""
        self.held_sum -= self.held.pop(call_id, 0)

    def own_unread_tokens(self) -> int:
        """Tokens that the target still has to read for this router, whole requests."""
        return sum(read.tokens for read in self._open_reads())

    def running_in_fleet(self, now: float) -> int:
        """Requests that run on the target, for this router and its peers."""
        return self.running + sum(load.running for load in self._heard(now))

    def overdue_s(self, now: float) -> float:
        """How far the oldest open read is past its expected end, in seconds.

        A target that went silent answers nothing, so no average of answers ever shows it.
        """
        return max(
            (now - read.sent_at - read.expected_s for read in self._open_reads()), default=0.0
        )

    def _open_reads(self) -> list[OpenRead]:
        return [read for read in self.reads.values() if not read.passed]

    def _heard(self, now: float) -> list[PeerLoad]:
        if not self.peers:
            return []
        horizon = now - _PEER_LOAD_TTL_S
        return [load for load in self.peers.values() if load.heard_at > horizon]
