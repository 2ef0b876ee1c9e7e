"""The claims that one router remembers as a home."""

from dataclasses import dataclass

from turmerictray.core.ids import NodeId
from turmerictray.core.member import Member
from turmerictray.orders.homes import homes_of
from turmerictray.orders.keys import ClaimKey
from turmerictray.orders.vote import Vote
from turmerictray.orders.wire import ClaimRecord

VOTES_VALID_S = 0.8
"""A claim must have its majority within this many seconds of asking its homes."""

SETTLE_S = 1.0
"""A restarted home asks the others for their claims no sooner than this many seconds."""


@dataclass(frozen=True)
class _Claim:
    holder: str
    taken_at: float


class ClaimTable:
    """Claims on keys, kept in memory for a limited time.

    Parameters
    ----------
    node : NodeId
        This router.
    members : list of Member
        Every router of the deployment, this one included.
    now : float
        Monotonic time at which this router started knowing nothing, in seconds.
    """

    def __init__(self, node: NodeId, members: list[Member], now: float) -> None:
        self.node = node
        self.members = members
        self.started_at = now
        self.synced: set[NodeId] = set()
        self._claims: dict[ClaimKey, _Claim] = {}

    def __len__(self) -> int:
        return len(self._claims)

    def take(self, key: ClaimKey, holder: str, memory_s: float, now: float) -> Vote:
        """Claim ``key`` for ``holder``, an id unique to one caller's request on one router.

        The claim is kept also when the vote is ``UNSURE``, so that the next copy is refused.

        Parameters
        ----------
        key : ClaimKey
        holder : str
        memory_s : float
            Seconds a claim is remembered.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        Vote
        """
        claim = self._claims.get(key)
        if claim is None or now - claim.taken_at > memory_s:
            self._claims.pop(key, None)
            self._claims[key] = _Claim(holder, now)
        elif claim.holder != holder:
            return Vote.HELD
        return Vote.GRANTED if self._sure(key, memory_s, now) else Vote.UNSURE

    def release(self, key: ClaimKey, holder: str) -> None:
        """Forget ``holder``'s claim on ``key``: its request was not run."""
        claim = self._claims.get(key)
        if claim is not None and claim.holder == holder:
            del self._claims[key]

    def expire(self, memory_s: float, now: float) -> None:
        """Drop the claims older than ``memory_s`` seconds."""
        stale = [key for key, claim in self._claims.items() if now - claim.taken_at > memory_s]
        for key in stale:
            del self._claims[key]

    def records_for(self, node: NodeId, now: float) -> list[ClaimRecord]:
        """The claims whose homes include ``node``, for that router after its restart."""
        return [
            ClaimRecord(key, claim.holder, now - claim.taken_at)
            for key, claim in self._claims.items()
            if node in homes_of(key, self.members)
        ]

    def absorb(
        self, source: NodeId, records: list[ClaimRecord], asked_at: float, now: float
    ) -> None:
        """Take over what another home remembers of the keys of this one.

        Parameters
        ----------
        source : NodeId
        records : list of ClaimRecord
        asked_at, now : float
            Monotonic times of the question and of the answer, in seconds.
        """
        for rec in records:
            self._claims.setdefault(rec.key, _Claim(rec.holder, now - rec.age_s))
        # A claim that this router granted before its restart may still be on its way to the
        # other homes. Asked too early they would not know it, and this router would vouch for
        # a key it had granted. After SETTLE_S such a claim is recorded there or has failed.
        if asked_at - self.started_at >= SETTLE_S:
            self.synced.add(source)

    def vouches_for_all(self, memory_s: float, now: float) -> bool:
        """Whether no key's vote would be ``UNSURE``."""
        peers = {member.node for member in self.members} - {self.node}
        return now - self.started_at >= memory_s or peers <= self.synced

    def _sure(self, key: ClaimKey, memory_s: float, now: float) -> bool:
        # A restarted home has forgotten its claims. If it vouched for a key that it had granted
        # before, a copy of an order that already ran could find a majority. It vouches again
        # when every claim it forgot has expired, or when the key's other homes, one of which
        # is in any majority it was part of, have told it what they remember.
        if now - self.started_at >= memory_s:
            return True
        others = set(homes_of(key, self.members)) - {self.node}
        return others <= self.synced
