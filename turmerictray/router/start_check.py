"""When a router that has just started knows as much as its peers."""

from collections.abc import Collection
from enum import Enum

from turmerictray.core.ids import NodeId
from turmerictray.router.published import Position

ALONE_S = 1.0
"""A router that no peer is known to by then goes by what it has read itself. It has sent its seeds
four messages by then."""

_ALL_STARTING_S = 0.6
"""The same for one that has heard all peers that it knows, which are starting as well. A peer that
is not has sent it two messages by then."""

_NO_WORD_S = 3.0
"""The same for a router that knows of peers it has not heard. Members that are down count as alive
for about as long."""

_LONGEST_S = 10.0
"""A router that knows of something newer and can't get it goes by what it has from then on."""


class StartEnd(Enum):
    """Why a start is over."""

    PEER = "peer"
    ALONE = "alone"
    NO_WORD = "no_word"
    BEHIND = "behind"


class StartCheck:
    """Decides when a router may serve callers.

    A router that starts has no memory, and a store can answer with what it knew some time ago. By
    that answer the router would serve routes and keys that were withdrawn, and send requests to
    targets that have left, until a peer's word of something newer came.

    Parameters
    ----------
    node : NodeId
    started_at : float
        Monotonic seconds.
    """

    def __init__(self, node: NodeId, started_at: float) -> None:
        self._node = node
        self._started_at = started_at
        self._newest = Position()
        self._heard: dict[str, bool] = {}
        self._members: frozenset[str] = frozenset()

    def hear(self, peer: str, position: Position, caught_up: bool) -> None:
        """Take a peer's word; ``caught_up`` is false for one that is starting itself."""
        self._heard[peer] = caught_up
        self._newest = self._newest.merge(position)

    def take_members(self, members: Collection[str]) -> None:
        """Take the routers that are believed alive."""
        self._members = frozenset(members) - {self._node}

    def end(self, own: Position, now: float) -> StartEnd | None:
        """Why the router may serve callers now; None while it has to wait.

        Parameters
        ----------
        own : Position
            How far this router has read.
        """
        waited_s = now - self._started_at
        if own.is_behind(self._newest):
            return StartEnd.BEHIND if waited_s >= _LONGEST_S else None
        if any(self._heard.values()):
            return StartEnd.PEER
        # Peers that are all starting know no more than this router does.
        limit_s = _ALL_STARTING_S if self._heard else ALONE_S
        if waited_s >= limit_s and self._members <= self._heard.keys():
            return StartEnd.ALONE
        return StartEnd.NO_WORD if waited_s >= _NO_WORD_S else None
