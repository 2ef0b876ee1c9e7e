"""Which routing configurations the peers of a router have in force that it has not."""

import math
from collections.abc import Callable, Collection
from typing import NamedTuple

from turmerictray.core.ids import NodeId

_MIN_FETCH_INTERVAL_S = 1.0
"""Minimum time between two fetches, each of which has the whole configuration."""

_MAX_FETCH_INTERVAL_S = 30.0
"""Limit of that time, which doubles while the same configuration is not put in force here. It
doesn't while there is none, as the router serves nobody until then."""

_HEAR_ALL_S = 3.0
"""Time for which a router without a configuration waits to hear all live peers before it asks the
one with the newest of those that it has heard."""


_MAX_FETCHES = 16
"""Versions whose last fetch is remembered."""


class _Fetch(NamedTuple):
    at: float
    interval_s: float


class PeerTexts:
    """Decides when to ask a peer for an older routing configuration than the newest one.

    While the newest configuration can't be put in force, the routers serve by the last good one. A
    router that has an older one, or none, asks a peer for it.

    A router without any, which serves nobody, first waits for what all live peers tell, so that it
    restores nothing that was withdrawn. In a large fleet that takes too long; if it then takes too
    old a configuration, it asks for the newer one as soon as it hears of it.

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
        self._waiting_since: float | None = None
        self._last_fetch_at = -math.inf
        self._fetches: dict[int, _Fetch] = {}

    def set_members(self, members: Collection[str]) -> None:
        """Set the routers considered alive."""
        self._members = frozenset(members) - {self._node}

    def record(self, peer: str, version: int) -> None:
        """Record the version that a peer has in force."""
        self._versions[peer] = version

    def has_text(self) -> bool:
        """Return whether this router has any configuration in force."""
        return self._version_in_force() > 0

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
        in_force, offered = self._version_in_force(), self._versions.get(peer, 0)
        # The newest known one is tried again without another fetch.
        if not in_force < offered < known_version or not self._may_fetch(offered, now):
            return False
        if not in_force and not self._is_newest(peer, now):
            return False
        self._note_fetch(offered, now)
        return True

    def _may_fetch(self, version: int, now: float) -> bool:
        fetch = self._fetches.get(version)
        is_due = fetch is None or now - fetch.at >= fetch.interval_s
        return is_due and now - self._last_fetch_at >= _MIN_FETCH_INTERVAL_S

    def _note_fetch(self, version: int, now: float) -> None:
        last = self._fetches.pop(version, None)
        interval_s = _MIN_FETCH_INTERVAL_S
        if last is not None and self.has_text():
            interval_s = min(2 * last.interval_s, _MAX_FETCH_INTERVAL_S)
        if len(self._fetches) >= _MAX_FETCHES:
            del self._fetches[next(iter(self._fetches))]
        self._fetches[version] = _Fetch(now, interval_s)
        self._last_fetch_at = now

    def _is_newest(self, peer: str, now: float) -> bool:
        """Return whether no live peer is known, after a wait, to serve by a newer configuration."""
        if self._waiting_since is None:
            self._waiting_since = now
        heard = self._members & self._versions.keys()
        if peer not in heard:
            return False
        if heard != self._members and now - self._waiting_since < _HEAR_ALL_S:
            return False
        return self._versions[peer] == max(self._versions[member] for member in heard)
