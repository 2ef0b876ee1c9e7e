"""Check that a router that has just started is as up to date as its peers."""

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum

from turmerictray.core.ids import NodeId
from turmerictray.router.published import Position


@dataclass(frozen=True)
class StartupLimits:
    """Time limits of a start, in seconds since the start if not stated otherwise.

    Attributes
    ----------
    no_peers_s : float
        A router that knows no peer after this long serves with what it has read itself.
    all_starting_s : float
        The limit for a router whose known peers have all reported that they are starting too, since
        the first of these reports. In this time a peer that serves is heard, directly or by the
        entries that starting peers forward, though it may miss some gossip periods.
    no_report_s : float
        The same limit for a router without a message from some of its known peers.
    behind_s : float
        A router that knows of newer documents and can't fetch them serves with what it has after
        this long.
    unresponsive_s : float
        The limit that replaces the above while a silent peer accepts connections. Its
        process is alive, perhaps frozen, and may have newer documents in force. The router can't
        tell it from a process that hangs forever, so the wait is bounded.
    all_starting_unresponsive_s : float
        The limit for a router whose known peers have all reported that they are starting too, while
        an address accepts connections silently. It may belong to another program by now, so a fleet
        that was down as a whole does not wait for it any longer.
    confirm_all_s : float
        Until then, one peer that serves does not suffice as long as others are silent.
    """

    no_peers_s: float = 1.0
    all_starting_s: float = 1.0
    no_report_s: float = 3.0
    behind_s: float = 10.0
    unresponsive_s: float = 30.0
    all_starting_unresponsive_s: float = 5.0
    confirm_all_s: float = 0.0


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

    A router that hears nobody has to serve at some time, as its availability zone may be
    partitioned. It does so unconfirmed: the first peer that reveals newer documents makes it refuse
    callers again until it has fetched them.

    Parameters
    ----------
    node : NodeId
    started_at : float
        Monotonic seconds.
    limits : StartupLimits

    Attributes
    ----------
    may_serve : bool
    confirmed : bool
        Whether the router's documents were compared with those of its peers. The check has then
        ended.
    """

    def __init__(
        self, node: NodeId, started_at: float, limits: StartupLimits | None = None
    ) -> None:
        self._node = node
        self._started_at = started_at
        self._limits = limits or StartupLimits()
        self._newest = Position()
        self._newest_when_served = Position()
        self._caught_up_by_peer: dict[str, bool] = {}
        self._first_heard_at = started_at
        self._members: frozenset[str] = frozenset()
        self._unresponsive = False
        self.may_serve = False
        self.confirmed = False

    def record_peer(self, peer: str, position: Position, caught_up: bool, now: float) -> None:
        """Record a peer's position; ``caught_up`` is False for a peer that is starting too."""
        if not self._caught_up_by_peer:
            self._first_heard_at = now
        self._caught_up_by_peer[peer] = caught_up
        self._newest = self._newest.merge(position)

    def set_members(self, members: Collection[str]) -> None:
        """Set the routers considered alive."""
        self._members = frozenset(members) - {self._node}

    def set_unresponsive(self, unresponsive: bool) -> None:
        """Set whether a peer that accepts connections is silent."""
        self._unresponsive = unresponsive

    @property
    def peers_heard(self) -> int:
        """Number of peers whose position is known."""
        return len(self._caught_up_by_peer)

    def update(self, local: Position, now: float) -> StartupResult | None:
        """Update whether the router may serve callers.

        Parameters
        ----------
        local : Position
            How far this router has read.

        Returns
        -------
        StartupResult or None
            Reason to serve or, once serving, to consider the start confirmed; None if there is
            none.
        """
        if self.may_serve and self._is_revealed_as_outdated(local):
            self.may_serve = False
            self._started_at = self._first_heard_at = now
        result = self.result(local, now)
        if result is None:
            return None
        if not self.may_serve:
            self.may_serve = True
            self._newest_when_served = self._newest
        self.confirmed = result is StartupResult.PEER or self._has_heard_all(result, now)
        return result

    def _has_heard_all(self, result: StartupResult, now: float) -> bool:
        if result is not StartupResult.ALONE or not self._caught_up_by_peer:
            return False
        # A frozen peer may still wake up and reveal newer documents.
        return not self._unresponsive or now - self._started_at >= self._limits.unresponsive_s

    def _is_revealed_as_outdated(self, local: Position) -> bool:
        return local.is_behind(self._newest) and self._newest_when_served.is_behind(self._newest)

    def result(self, local: Position, now: float) -> StartupResult | None:
        """Return why the router may serve callers now, or None while it has to wait.

        Parameters
        ----------
        local : Position
            How far this router has read.
        """
        limits = self._limits
        waited_s = now - self._started_at
        heard_all = self._members <= self._caught_up_by_peer.keys()
        if local.is_behind(self._newest):
            return StartupResult.BEHIND if waited_s >= self._limit(limits.behind_s) else None
        if any(self._caught_up_by_peer.values()) and (
            heard_all or waited_s >= limits.confirm_all_s
        ):
            return StartupResult.PEER
        if heard_all and self._has_waited_for_serving_peer(now):
            return StartupResult.ALONE
        return StartupResult.NO_REPORT if waited_s >= self._limit(limits.no_report_s) else None

    def _has_waited_for_serving_peer(self, now: float) -> bool:
        limits = self._limits
        if not self._caught_up_by_peer:
            return now - self._started_at >= self._limit(limits.no_peers_s)
        # Peers that are all starting know no more than this router.
        limit_s = limits.all_starting_s
        if self._unresponsive:
            limit_s = max(limit_s, limits.all_starting_unresponsive_s)
        return now - self._first_heard_at >= limit_s

    def _limit(self, limit_s: float) -> float:
        return max(limit_s, self._limits.unresponsive_s) if self._unresponsive else limit_s
