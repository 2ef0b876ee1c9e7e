"""Check that a router that has just started is as up to date as its peers."""

from collections.abc import Collection
from enum import Enum

from turmerictray.core.ids import NodeId
from turmerictray.router.published import Position

NO_PEERS_TIMEOUT_S = 1.0
"""A router that knows no peer after this long serves with what it has read itself. It has sent four
messages to its seeds by then."""

_ALL_STARTING_TIMEOUT_S = 0.6
"""The same limit for a router whose known peers have all reported that they are starting too. A
peer that is already serving would have sent two messages by then."""

_NO_REPORT_TIMEOUT_S = 3.0
"""The same limit for a router without a message from some of its known peers. Members that are down
are considered alive for about as long."""

_MAX_STARTUP_S = 10.0
"""A router that knows of newer documents and can't fetch them serves with what it has after this
long."""


class StartupResult(Enum):
    """Reason for which a router begins to serve after its start.

    ``PEER``: as recent as a peer that serves. ``ALONE``: no peer, or only peers that are starting
    too. ``NO_REPORT``: no message from some known peers in time. ``BEHIND``: newer documents could
    not be fetched in time.
    """

    PEER = "peer"
    ALONE = "alone"
    NO_REPORT = "no_word"
    BEHIND = "behind"


class StartupCheck:
    """Decides when a router may serve callers.

    A router starts without any state, and the store may answer with stale data. If the router
    served callers from that data, it would accept revoked keys and routes and send requests to
    targets that have left, until a peer's message revealed newer data.

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
        self._caught_up_by_peer: dict[str, bool] = {}
        self._members: frozenset[str] = frozenset()

    def record_peer(self, peer: str, position: Position, caught_up: bool) -> None:
        """Record a peer's position; ``caught_up`` is False for a peer that is starting too."""
        self._caught_up_by_peer[peer] = caught_up
        self._newest = self._newest.merge(position)

    def set_members(self, members: Collection[str]) -> None:
        """Set the routers considered alive."""
        self._members = frozenset(members) - {self._node}

    def result(self, local: Position, now: float) -> StartupResult | None:
        """Return why the router may serve callers now, or None while it has to wait.

        Parameters
        ----------
        local : Position
            How far this router has read.
        """
        waited_s = now - self._started_at
        if local.is_behind(self._newest):
            return StartupResult.BEHIND if waited_s >= _MAX_STARTUP_S else None
        if any(self._caught_up_by_peer.values()):
            return StartupResult.PEER
        # Peers that are all starting know no more than this router.
        limit_s = _ALL_STARTING_TIMEOUT_S if self._caught_up_by_peer else NO_PEERS_TIMEOUT_S
        if waited_s >= limit_s and self._members <= self._caught_up_by_peer.keys():
            return StartupResult.ALONE
        return StartupResult.NO_REPORT if waited_s >= _NO_REPORT_TIMEOUT_S else None
