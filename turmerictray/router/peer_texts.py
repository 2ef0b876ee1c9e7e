"""Which routing configurations the peers of a router without one have in force."""

from collections.abc import Callable, Collection

from turmerictray.core.ids import NodeId

_MIN_FETCH_INTERVAL_S = 1.0
"""Minimum time between two fetches, each of which has the whole configuration."""


class PeerTexts:
    """Decides when to ask a peer for an older routing configuration than the newest one.

    A router that starts while the newest configuration can't be put in force has none, and serves
    nobody, although its peers serve by the last good one. It asks for that one only while no live
    peer is known to serve by a newer one, so that it restores nothing that was withdrawn.

    Parameters
    ----------
    node : NodeId
        This router.
    version_in_force : callable
        Returns the version of the configuration that this router has in force; 0 for none.
    """

    def __init__(self, node: NodeId, version_in_force: Callable[[], int]) -> None:
        self._node = node
        self._version_in_force = version_in_force
        self._members: frozenset[str] = frozenset()
        self._versions: dict[str, int] = {}
        self._next_fetch_at = 0.0

    def set_members(self, members: Collection[str]) -> None:
        """Set the routers considered alive."""
        self._members = frozenset(members) - {self._node}

    def record(self, peer: str, version: int) -> None:
        """Record the version that a peer has in force."""
        self._versions[peer] = version

    def should_ask(self, peer: str, known_version: int, now: float) -> bool:
        """Decide whether to ask a peer for the configuration that it has in force.

        Parameters
        ----------
        peer : str
        known_version : int
            Version of the newest configuration that this router knows; 0 for none.
        now : float
            Monotonic seconds.
        """
        if self._version_in_force() or not known_version or now < self._next_fetch_at:
            return False
        if not self._members or not self._members <= self._versions.keys():
            return False
        newest = max(self._versions[member] for member in self._members)
        if not newest or self._versions.get(peer) != newest:
            return False
        self._next_fetch_at = now + _MIN_FETCH_INTERVAL_S
        return True
