"""Which routers read the platform's store, and how old what a router knows of it is.

Reads of the store are few and shared by the whole fleet, whatever its size. Two routers a zone read
for the others, which take what is new from any peer that is ahead of them. Nobody is elected: each
router works out from the members it believes alive whether it is one of the two; one reader more
for a moment does no harm.
"""

import math
import threading
import time
from collections.abc import Callable, Iterable

from turmerictray.core.ids import NodeId, ZoneId
from turmerictray.membership.messages import MemberEntry
from turmerictray.router.published import Position
from turmerictray.routing.rendezvous import rank

READERS_PER_ZONE = 2
"""One may be killed or turned away by the store at any moment."""

_ALONE_S = 1.0
"""A router that has heard of no other by then reads for itself."""

_START_S = 3.0
"""Age of what a router that has read nothing knows from which on it reads for itself. Peers that
know nothing either, as nothing is published yet, tell it how lately that was so."""

_STALE_S = 5.0
"""The same for one that has read: as long as a reader waits for changes, and word of its answer is
under way."""

_STEP_S = 1.0
"""Routers of a zone whose knowledge has grown stale begin to read one after the other, this far
apart, so that the first that succeeds saves the others' reads. While the store is away, all of a
large fleet would ask it hundreds of times a second."""

_MOST_STEPS = 10
"""Beyond this many steps the routers of a zone begin together."""

_SETTLED_BEATS = 6
"""Messages that a router has sent before it takes itself for a reader among others: three seconds
in a large fleet, in which it has heard of nearly all. Before, it knows a few others and is one of
the first two of its zone by that, and so are all routers that start at once."""

_KEY = "store-reader"


class StoreReaders:
    """Decides whether this router reads the store.

    Parameters
    ----------
    node : NodeId
    zone : ZoneId
    clock : callable
        Monotonic seconds.
    is_seed : bool
        Routers that start look for this one; it reads for them from the beginning.
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
        self._is_chosen = is_seed
        self._steps = 0
        self._lock = threading.Lock()
        self._confirmed: dict[str, float] = {}
        self._peer_confirmed = -math.inf

    def take_members(self, members: Iterable[MemberEntry]) -> None:
        """Take the routers that are believed alive, this one included."""
        members = list(members)
        if not self._is_settled(members):
            self._is_chosen = self._is_seed
            return
        here = [entry.node for entry in members if entry.zone == self.zone]
        here.sort(key=lambda node: rank(_KEY, node), reverse=True)
        place = here.index(self.node) if self.node in here else 0
        self._is_chosen = place < READERS_PER_ZONE
        self._steps = min(_MOST_STEPS, max(0, place - READERS_PER_ZONE))

    def _is_settled(self, members: list[MemberEntry]) -> bool:
        if len(members) == 1:
            return self._clock() - self._started_at > _ALONE_S
        own = next((entry for entry in members if entry.node == self.node), None)
        return own is None or own.heartbeat >= _SETTLED_BEATS

    def should_read(self, position: Position) -> bool:
        """Whether to ask the store now.

        Parameters
        ----------
        position : Position
            How far this router has read.
        """
        if self._is_chosen:
            return True
        has_read = position.text_version and position.targets.revision
        longest = _STALE_S if has_read else _START_S
        known_s = min(self.age_s(), self._clock() - self._started_at)
        return known_s > longest + self._steps * _STEP_S

    def is_chosen(self) -> bool:
        """Whether this router reads for others."""
        return self._is_chosen

    def note_read(self, prefix: str) -> None:
        """The store has answered a read or a watch of ``prefix``."""
        with self._lock:
            self._confirmed[prefix] = self._clock()

    def note_peer(self, age_s: float) -> None:
        """A peer that is not behind knows of the store as of ``age_s`` seconds ago."""
        with self._lock:
            self._peer_confirmed = max(self._peer_confirmed, self._clock() - age_s)

    def age_s(self) -> float:
        """Age in seconds of what this router knows of the store; infinite if it knows nothing."""
        with self._lock:
            own = min(self._confirmed.values(), default=-math.inf)
            return self._clock() - max(own, self._peer_confirmed)
