"""Claims that one router stores as a replica."""

from dataclasses import dataclass

from turmerictray.core.ids import NodeId
from turmerictray.core.member import Member
from turmerictray.orders.keys import ClaimKey
from turmerictray.orders.replica_selection import replicas_of
from turmerictray.orders.vote import Vote
from turmerictray.orders.wire import ClaimRecord

VOTES_VALID_S = 0.8
"""Seconds after a claim was sent to its replicas within which a majority must have granted it."""

SYNC_DELAY_S = 1.0
"""Seconds after its start that a replica waits before it requests the claims of the others.

It is longer than :data:`VOTES_VALID_S`: by then every claim that the replica granted before its
restart is stored at the other replicas or has failed.
"""


@dataclass(frozen=True)
class _Claim:
    holder: str
    acquired_at: float


class ClaimTable:
    """Claims on keys, stored in memory for a limited time.

    Parameters
    ----------
    node : NodeId
        The local router.
    members : list of Member
        All routers of the deployment, including the local one.
    now : float
        Monotonic time at which this router started with an empty table, in seconds.
    """

    def __init__(self, node: NodeId, members: list[Member], now: float) -> None:
        self.node = node
        self.members = members
        self.started_at = now
        self.synced: set[NodeId] = set()
        self._claims: dict[ClaimKey, _Claim] = {}

    def __len__(self) -> int:
        return len(self._claims)

    def acquire(self, key: ClaimKey, holder: str, retention_s: float, now: float) -> Vote:
        """Claim ``key`` for ``holder``, an id unique to one caller's request on one router.

        The claim is stored even if the vote is ``UNSURE``, so that later copies are refused.

        Parameters
        ----------
        key : ClaimKey
        holder : str
        retention_s : float
            Seconds for which a claim is stored.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        Vote
        """
        claim = self._claims.get(key)
        if claim is None or now - claim.acquired_at > retention_s:
            self._claims.pop(key, None)
            self._claims[key] = _Claim(holder, now)
        elif claim.holder != holder:
            return Vote.HELD
        return Vote.GRANTED if self._is_key_complete(key, retention_s, now) else Vote.UNSURE

    def release(self, key: ClaimKey, holder: str) -> None:
        """Remove ``holder``'s claim on ``key``, because its request was not run."""
        claim = self._claims.get(key)
        if claim is not None and claim.holder == holder:
            del self._claims[key]

    def expire(self, retention_s: float, now: float) -> None:
        """Remove the claims older than ``retention_s`` seconds."""
        expired = [
            key for key, claim in self._claims.items() if now - claim.acquired_at > retention_s
        ]
        for key in expired:
            del self._claims[key]

    def records_for(self, node: NodeId, now: float) -> list[ClaimRecord]:
        """Return the claims of which ``node`` is a replica, for its sync after a restart."""
        return [
            ClaimRecord(key, claim.holder, now - claim.acquired_at)
            for key, claim in self._claims.items()
            if node in replicas_of(key, self.members)
        ]

    def merge_records(
        self, source: NodeId, records: list[ClaimRecord], requested_at: float, now: float
    ) -> None:
        """Merge the claims that another replica stores.

        Parameters
        ----------
        source : NodeId
        records : list of ClaimRecord
        requested_at, now : float
            Monotonic times of the request and of the response, in seconds.
        """
        for record in records:
            self._claims.setdefault(record.key, _Claim(record.holder, now - record.age_s))
        # A claim that this replica granted before its restart may still be in transit to the
        # others. If it synced too early, it would miss that claim and could grant the same key
        # again. After SYNC_DELAY_S such a claim is stored at the others or has failed.
        if requested_at - self.started_at >= SYNC_DELAY_S:
            self.synced.add(source)

    def is_complete(self, retention_s: float, now: float) -> bool:
        """Whether a claim on any key would get a vote other than ``UNSURE``."""
        peers = {member.node for member in self.members} - {self.node}
        return now - self.started_at >= retention_s or peers <= self.synced

    def _is_key_complete(self, key: ClaimKey, retention_s: float, now: float) -> bool:
        # A restarted replica has lost its claims. If it granted a key that it had granted before,
        # a copy of an order that already ran could get a majority. It may grant again when all
        # lost claims have expired, or after a sync with the key's other replicas: any majority
        # that it was part of includes one of them.
        if now - self.started_at >= retention_s:
            return True
        peers = set(replicas_of(key, self.members)) - {self.node}
        return peers <= self.synced
