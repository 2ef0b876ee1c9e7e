"""Selection of the routers that read the platform's store, and the age of a router's data.

To keep the load on the store independent of the fleet's size, two routers per zone read it. The
others fetch changes from any peer that has newer documents. There is no election: each router
derives from the members it considers alive whether it is one of the two. An additional reader for a
short time does no harm.
"""

import math
import threading
import time
from collections.abc import Callable, Collection, Iterable
from enum import Enum
from typing import NamedTuple

from turmerictray.core.ids import NodeId, ZoneId
from turmerictray.core.logs import log_event
from turmerictray.membership.messages import MemberEntry
from turmerictray.router.published import Position
from turmerictray.routing.rendezvous import rank

READERS_PER_ZONE = 2
"""Two, because one may be killed or refused by the store at any moment."""

_NO_PEERS_TIMEOUT_S = 1.0
"""Seconds after the start from which on a router that knows no peer reads the store itself."""

_MAX_INITIAL_AGE_S = 3.0
"""Maximum age in seconds of the store's last known state, while this router has no documents yet;
beyond it the router reads the store itself. While nothing is published, peers without documents
report how recent that state is."""

_MAX_AGE_S = 5.0
"""The same for a router that has documents: the time that a reader waits for changes, plus the time
that its report takes to arrive."""

_RANK_DELAY_S = 1.0
"""Routers of a zone whose data is too old begin to read one after the other, this many seconds
apart, so that the first successful read makes the others unnecessary. Without the delay, a large
fleet would send hundreds of reads a second while the store is unavailable."""

_MAX_RANK_STEPS = 10
"""Maximum number of such delays; all further routers of a zone begin together."""

_MIN_HEARTBEATS = 6
"""Heartbeats that a router sends before it may designate itself a reader: three seconds in a large
fleet, by which time it knows nearly all members. Earlier it knows few members and would rank among
the first two of its zone, as would every router that starts at the same time."""

_KEY = "store-reader"


class ReadReason(Enum):
    """Why a router reads the store, or that it does not.

    ``DESIGNATED``: for the others of its zone. ``UNCONFIRMED``: for too long, no peer has told that
    this router's data is current.
    """

    NONE = "-"
    DESIGNATED = "designated"
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


class StoreReaderSelection:
    """Decision whether this router reads the store.

    Parameters
    ----------
    node : NodeId
    zone : ZoneId
    clock : callable
        Monotonic seconds.
    is_seed : bool
        Whether starting routers contact this one first; a seed reads the store from the beginning.

    Attributes
    ----------
    reason : ReadReason
        Why the store was read when it was last decided.
    confirmed_by : str
        The peer that last told that this router's data is current; "-" for none.
    """

    def __init__(
        self,
        node: NodeId,
        zone: ZoneId,
        clock: Callable[[], float] = time.monotonic,
        is_seed: bool = False,
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
        self._peer_read_at = -math.inf
        self.reason = ReadReason.NONE
        self.confirmed_by = "-"

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
        return reason is not ReadReason.NONE

    def _reason(self, position: Position) -> ReadReason:
        if self._is_designated:
            return ReadReason.DESIGNATED
        has_read = position.text_version and position.targets.revision
        max_age_s = _MAX_AGE_S if has_read else _MAX_INITIAL_AGE_S
        unconfirmed_s = min(self.age_s(), self._clock() - self._started_at)
        is_unconfirmed = unconfirmed_s > max_age_s + self._rank_steps * _RANK_DELAY_S
        return ReadReason.UNCONFIRMED if is_unconfirmed else ReadReason.NONE

    def _log_change(self, reason: ReadReason, position: Position) -> None:
        with self._lock:
            before, self.reason = self.reason, reason
        if reason is not before:
            log_event(
                "store_reading",
                reason=reason.value,
                before=before.value,
                age_s=round(self.age_s(), 2),
                confirmed_by=self.confirmed_by,
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
            last_read_at = self._read_at.get(prefix, -math.inf)
            if prefix in self._failed_prefixes or now - last_read_at > _MAX_AGE_S:
                self._reading_since[prefix] = now
            self._read_at[prefix] = now
            self._failed_prefixes.discard(prefix)

    def record_store_failure(self, prefix: str) -> None:
        """Record that the store has not answered a read or a watch of ``prefix``."""
        with self._lock:
            if not self._failed_prefixes:
                self._gap_started_at = min(self._read_at.values(), default=-math.inf)
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
            is_reading = now - min(self._read_at.values(), default=-math.inf) <= _MAX_AGE_S
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

    def record_peer_age(self, age_s: float, peer: str = "-") -> None:
        """Record that the state of a peer that is not behind is ``age_s`` seconds old."""
        with self._lock:
            self._peer_read_at = max(self._peer_read_at, self._clock() - age_s)
            self.confirmed_by = peer

    def age_s(self) -> float:
        """Return the age in seconds of the store's last known state; infinite if there is none."""
        with self._lock:
            local_read_at = min(self._read_at.values(), default=-math.inf)
            return self._clock() - max(local_read_at, self._peer_read_at)
