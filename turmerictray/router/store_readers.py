"""Selection of the routers that read the platform's store, and the age of a router's data.

To keep the load on the store independent of the fleet's size, two routers per zone read it. The
others fetch changes from any peer that has newer documents, and read the store themselves if peers
don't keep them current. There is no election: each router
derives from the members it considers alive whether it is one of the two. An additional reader for a
short time does no harm.
"""

import math
import threading
import time
from collections import deque
from collections.abc import Callable, Collection, Iterable
from enum import Enum
from typing import NamedTuple

from turmerictray.core.ids import NodeId, ZoneId
from turmerictray.core.logs import log_event
from turmerictray.membership.messages import MemberEntry
from turmerictray.router.published import Position
from turmerictray.router.read_limits import ReadLimits
from turmerictray.routing.rendezvous import rank

READERS_PER_ZONE = 2
"""Two, because one may be killed or refused by the store at any moment."""

_NO_PEERS_TIMEOUT_S = 1.0
"""Seconds after the start from which on a router that knows no peer reads the store itself."""

_MAX_INITIAL_AGE_S = 3.0
"""Maximum age in seconds of the store's last known state, while this router has no documents yet;
beyond it the router reads the store itself. While nothing is published, peers without documents
report how recent that state is."""

_RANK_DELAY_S = 1.0
"""While this router has no documents yet, routers of a zone begin to read one after the other, this
many seconds apart, so that the first successful read makes the others unnecessary."""

_MAX_RANK_STEPS = 10
"""Maximum number of such delays; all further routers of a zone begin together."""

_MAX_READ_GAP_S = 5.0
"""Time without an answer after which the store no longer counts as read without interruption."""

_MAX_MISSING = 32
"""Positions heard from peers, and not reached here, that are told apart. Versions that follow each
other quickly must not count as one that could not be fetched since the first of them."""

_MIN_HEARTBEATS = 6
"""Heartbeats that a router sends before it may designate itself a reader: three seconds in a large
fleet, by which time it knows nearly all members. Earlier it knows few members and would rank among
the first two of its zone, as would every router that starts at the same time."""

_KEY = "store-reader"


class ReadReason(Enum):
    """Why a router reads the store, or that it does not.

    ``DESIGNATED``: for the others of its zone. ``BEHIND``: it could not fetch from peers what they
    have read. ``UNCONFIRMED``: for too long, no peer has told that this router's data is current.
    """

    NONE = "-"
    DESIGNATED = "designated"
    BEHIND = "behind"
    UNCONFIRMED = "unconfirmed"


class ReadContinuity(NamedTuple):
    """How continuously a router has read the store.

    Attributes
    ----------
    uninterrupted_s : float
        Seconds for which the store has answered all its reads; 0 if the router does not read it.
    gap_s : float or None
        Seconds since the last answer before the last gap; None if there was no gap.
    """

    uninterrupted_s: float
    gap_s: float | None


class Confirmation(NamedTuple):
    """What tells that a router's data is current.

    Attributes
    ----------
    at : float
        When the data was last known to be current, in monotonic seconds; minus infinity for never.
    origin : str
        The router whose read of the store tells so; empty if not known.
    """

    at: float
    origin: str


class _Heard(NamedTuple):
    """A position that a peer has told, and when its message arrived, in monotonic seconds."""

    position: Position
    at: float


class StoreReaderSelection:
    """Decision whether this router reads the store.

    A router that is not designated reads the store while no other router's read confirms its data,
    and while it fails to fetch from peers what they have read. Its own read ends neither: a router
    that confirmed itself would stop reading although it is the only one that the store serves. It
    stops for a router that is ranked before it, so that of several that read for lack of a
    designated one, the first goes on.

    Parameters
    ----------
    node : NodeId
    zone : ZoneId
    clock : callable
        Monotonic seconds.
    is_seed : bool
        Whether starting routers contact this one first; a seed reads the store from the beginning.
    limits : ReadLimits

    Attributes
    ----------
    reason : ReadReason
        Why the store was read when it was last decided.
    """

    def __init__(
        self,
        node: NodeId,
        zone: ZoneId,
        clock: Callable[[], float] = time.monotonic,
        is_seed: bool = False,
        limits: ReadLimits | None = None,
    ) -> None:
        self.node = node
        self.zone = zone
        self._is_seed = is_seed
        self._clock = clock
        self._started_at = clock()
        self._is_designated = is_seed
        self._rank_steps = 0
        self._lock = threading.Lock()
        self._read_at: dict[str, float] = {}
        self._reading_since: dict[str, float] = {}
        self._failed_prefixes: set[str] = set()
        self._gap_started_at = -math.inf
        self._limits = limits or ReadLimits.from_apply_limit()
        self._rank = rank(_KEY, node)
        self._confirmed_at = -math.inf
        self._confirmed_by = ""
        self._outranked_at = -math.inf
        self._current_at = -math.inf
        self._outage_ended_at = -math.inf
        self._missing: deque[_Heard] = deque()
        self._held_until = -math.inf
        self.reason = ReadReason.NONE

    def update_members(self, members: Iterable[MemberEntry], silent: Collection[str] = ()) -> None:
        """Set the routers that are considered alive, including this one.

        Silent ones are replaced as readers: an additional reader does no harm, while without
        readers a zone would miss a change of the configuration.
        """
        members = list(members)
        if not self._knows_members(members):
            self._is_designated = self._is_seed
            return
        local = [entry for entry in members if entry.zone == self.zone]
        local_nodes = [entry.node for entry in local if entry.node not in silent]
        local_nodes.sort(key=lambda node: rank(_KEY, node), reverse=True)
        position_in_zone = local_nodes.index(self.node) if self.node in local_nodes else 0
        self._is_designated = position_in_zone < READERS_PER_ZONE
        self._rank_steps = min(_MAX_RANK_STEPS, max(0, position_in_zone - READERS_PER_ZONE))

    def _knows_members(self, members: list[MemberEntry]) -> bool:
        if len(members) == 1:
            return self._clock() - self._started_at > _NO_PEERS_TIMEOUT_S
        local_entry = next((entry for entry in members if entry.node == self.node), None)
        return local_entry is None or local_entry.heartbeat >= _MIN_HEARTBEATS

    def should_read(self, position: Position) -> bool:
        """Return whether to read the store now.

        Parameters
        ----------
        position : Position
            The versions of the documents that this router has.
        """
        reason = self._reason(position)
        self._log_change(reason, position)
        if reason is ReadReason.NONE:
            with self._lock:
                self._reading_since.clear()
        return reason is not ReadReason.NONE

    def _reason(self, position: Position) -> ReadReason:
        if self._is_designated:
            return ReadReason.DESIGNATED
        now = self._clock()
        with self._lock:
            if self._could_not_fetch(position, now):
                self._held_until = now + self._limits.hold_s
            if now < self._held_until:
                return ReadReason.BEHIND
            if now - self._reference_time() > self._max_age_s(position):
                return ReadReason.UNCONFIRMED
            return ReadReason.NONE

    def _could_not_fetch(self, position: Position, now: float) -> bool:
        self._drop_obtained(position)
        return bool(self._missing) and now - self._missing[0].at > self._limits.behind_s

    def _drop_obtained(self, position: Position) -> None:
        # What the store has answered since then is as new as what was heard, whatever it was.
        read_at = self._local_read_at()
        while self._missing and (
            read_at >= self._missing[0].at or not position.is_behind(self._missing[0].position)
        ):
            self._missing.popleft()

    def _reference_time(self) -> float:
        """Return the time from which on a router ranked before this one has confirmed nothing."""
        is_reading = self.reason is ReadReason.UNCONFIRMED
        return max(self._started_at, self._outranked_at if is_reading else self._confirmed_at)

    def _max_age_s(self, position: Position) -> float:
        if not (position.text_version and position.targets.revision):
            return _MAX_INITIAL_AGE_S + self._rank_steps * _RANK_DELAY_S
        spread_s = self._rank_steps / _MAX_RANK_STEPS * self._limits.rank_spread_s
        return self._limits.unconfirmed_s + spread_s

    def _log_change(self, reason: ReadReason, position: Position) -> None:
        with self._lock:
            before, self.reason = self.reason, reason
        if reason is not before:
            log_event(
                "store_reading",
                reason=reason.value,
                before=before.value,
                age_s=round(self.age_s(), 2),
                confirmed_by=self.confirmation().origin or "-",
                text_version=position.text_version,
                targets_revision=position.targets.revision,
            )

    def is_designated(self) -> bool:
        """Return whether this router reads the store for others."""
        return self._is_designated

    def record_store_read(self, prefix: str) -> None:
        """Record that the store has answered a read or a watch of ``prefix``."""
        with self._lock:
            now = self._clock()
            gap_s = now - self._read_at.get(prefix, -math.inf)
            if prefix in self._failed_prefixes or gap_s > _MAX_READ_GAP_S:
                self._reading_since[prefix] = now
            self._reading_since.setdefault(prefix, now)
            self._read_at[prefix] = now
            self._failed_prefixes.discard(prefix)
            self._note_current(self._local_read_at(), now)

    def record_store_failure(self, prefix: str) -> None:
        """Record that the store has not answered a read or a watch of ``prefix``."""
        with self._lock:
            if not self._failed_prefixes:
                self._gap_started_at = self._local_read_at()
            self._failed_prefixes.add(prefix)

    def reads_store(self) -> bool:
        """Return whether this router is designated to read the store, and the store answers."""
        with self._lock:
            return self._is_designated and not self._failed_prefixes

    def continuity(self) -> ReadContinuity:
        """Return for how long this router has read the store, and since when it missed answers."""
        with self._lock:
            now = self._clock()
            since = max(self._reading_since.values(), default=math.inf)
            is_reading = now - self._local_read_at() <= _MAX_READ_GAP_S
            uninterrupted_s = now - since if is_reading and not self._failed_prefixes else 0.0
            gap_s = now - self._gap_started_at
            return ReadContinuity(max(0.0, uninterrupted_s), None if gap_s == math.inf else gap_s)

    def adopt_gap(self, gap_s: float) -> None:
        """Record that a peer kept entries, now copied from it, because of its own gap."""
        with self._lock:
            self._gap_started_at = max(self._gap_started_at, self._clock() - gap_s)

    def covers_gap(self, uninterrupted_s: float) -> bool:
        """Return whether a peer has read the store since before this router's last gap.

        Parameters
        ----------
        uninterrupted_s : float
            Seconds for which the peer has read without interruption.
        """
        gap_s = self.continuity().gap_s
        return gap_s is not None and uninterrupted_s > gap_s

    def record_confirmation(self, confirmed_at: float, origin: str) -> None:
        """Record that this router's data was current when another router read the store.

        Parameters
        ----------
        confirmed_at : float
            Monotonic seconds.
        origin : str
            The router that read the store; empty if not known.
        """
        if origin == self.node:
            return
        with self._lock:
            if confirmed_at > self._confirmed_at:
                self._confirmed_at, self._confirmed_by = confirmed_at, origin
                self._note_current(confirmed_at, self._clock())
            if origin and rank(_KEY, origin) > self._rank:
                self._outranked_at = max(self._outranked_at, confirmed_at)

    def record_heard(self, peer: Position, local: Position, heard_at: float) -> None:
        """Record how far a peer has read.

        Parameters
        ----------
        peer, local : Position
            How far the peer and this router have read.
        heard_at : float
            When the peer's message arrived, in monotonic seconds.
        """
        with self._lock:
            self._drop_obtained(local)
            newest = self._missing[-1].position if self._missing else local
            if not newest.is_behind(peer):
                return
            if len(self._missing) == _MAX_MISSING:
                heard_at = self._missing.pop().at
            self._missing.append(_Heard(newest.merge(peer), heard_at))

    def confirmation(self) -> Confirmation:
        """Return when this router's data was last known to be current, and by whose read.

        A router that reads the store tells of its own read, by which others judge whether it goes
        on.
        """
        with self._lock:
            now, read_at = self._clock(), self._local_read_at()
            is_reading = self.reason is not ReadReason.NONE and not self._failed_prefixes
            is_read_lately = is_reading and now - read_at <= self._limits.unconfirmed_s
            if is_read_lately or read_at > self._confirmed_at:
                return Confirmation(read_at, self.node)
            return Confirmation(self._confirmed_at, self._confirmed_by)

    def age_s(self) -> float:
        """Return the age in seconds of the store's last known state; infinite if there is none."""
        with self._lock:
            return self._clock() - max(self._local_read_at(), self._confirmed_at)

    def outage_ended_at(self) -> float:
        """Return when the last outage of the store ended, in monotonic seconds; now if one lasts.

        An outage is a time, of ``ReadLimits.min_outage_s`` at least, in which the store answered
        neither this router nor any that confirmed its data.
        """
        with self._lock:
            now = self._clock()
            is_away = now - self._current_at >= self._limits.min_outage_s
            return now if is_away else self._outage_ended_at

    def _note_current(self, current_at: float, now: float) -> None:
        """Record that the data was current at a time, which may end an outage of the store."""
        if current_at - self._current_at >= self._limits.min_outage_s:
            self._outage_ended_at = now
        self._current_at = max(self._current_at, current_at)

    def _local_read_at(self) -> float:
        if self._failed_prefixes - self._read_at.keys():
            return -math.inf
        return min(self._read_at.values(), default=-math.inf)
