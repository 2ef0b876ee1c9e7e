"""Guard that claims a non-idempotent request's key before the first byte is sent."""

import time
import uuid
from concurrent.futures import Future, wait
from dataclasses import dataclass

import pykka

from turmerictray.config.schema import PartitionPolicy
from turmerictray.core import metrics
from turmerictray.core.errors import ClaimUnavailable, DuplicateOrder
from turmerictray.core.ids import NodeId
from turmerictray.core.logs import log_event
from turmerictray.core.member import Member
from turmerictray.orders.keys import ClaimKey
from turmerictray.orders.messages import AskHome, HomeQuery, HomeState
from turmerictray.orders.replica_selection import replicas_of
from turmerictray.orders.table import VOTES_VALID_S
from turmerictray.orders.verdict import Verdict, decide
from turmerictray.orders.vote import Vote
from turmerictray.orders.wire import Release, Take

_VOTES_WAIT_S = 0.6
"""Time to wait for the replicas' votes on a claim, and for their answers to a release."""

_STATE_WAIT_S = 2.0
"""Time to wait for the state of the local replica."""

_FRESH_FRACTION = 0.5
"""Fraction of the replicas' retention time in which a granted claim may be used."""


@dataclass(frozen=True)
class Claim:
    """A granted claim.

    Attributes
    ----------
    key : ClaimKey
    holder : str
        Unique id of this claim.
    requested_at : float
        Monotonic time just before the claim was sent to the replicas, in seconds.
    retention_s : float
        Time for which the replicas store the claim, in seconds.
    """

    key: ClaimKey
    holder: str
    requested_at: float
    retention_s: float

    def is_fresh(self, now: float) -> bool:
        """Whether the replicas are certain to store this claim at monotonic time ``now``."""
        return now - self.requested_at < self.retention_s * _FRESH_FRACTION


class OrderGuard:
    """Claims keys at their replicas.

    Parameters
    ----------
    node : NodeId
        The local router.
    members : list of Member
        All routers of the deployment, including the local one.
    replicas : dict of NodeId to pykka.ActorRef
        The actor that handles :class:`~turmerictray.orders.messages.AskHome` for each member: the
        local :class:`~turmerictray.orders.replica.ClaimHome`, or the
        :class:`~turmerictray.orders.link.HomeLink` to a peer.
    """

    def __init__(
        self, node: NodeId, members: list[Member], replicas: dict[NodeId, pykka.ActorRef]
    ) -> None:
        self.node = node
        self.members = members
        self.replicas = replicas

    def acquire(
        self, key: ClaimKey, policy: PartitionPolicy, retention_s: float, retry_after_s: float
    ) -> Claim:
        """Claim ``key`` for one request.

        Parameters
        ----------
        key : ClaimKey
        policy : PartitionPolicy
            Whether to grant the claim when too few replicas do.
        retention_s, retry_after_s : float
            Seconds, from the configuration's limits.

        Raises
        ------
        DuplicateOrder
            If another copy of the request holds the key; this one was not run.
        ClaimUnavailable
            If too few replicas granted the claim; the request was not run.
        """
        claim = Claim(key, uuid.uuid4().hex, time.monotonic(), retention_s)
        votes = self._collect_votes(Take(key, claim.holder))
        verdict = decide(votes, policy)
        if verdict is Verdict.GRANTED and time.monotonic() - claim.requested_at > VOTES_VALID_S:
            # This process was paused while it collected the votes. Meanwhile a replica may have
            # restarted and synced with the others before this claim reached them, so a majority
            # that is this old does not exclude a second one.
            verdict = Verdict.UNAVAILABLE
        metrics.CLAIMS.labels(verdict.value).inc()
        if verdict is Verdict.GRANTED:
            if votes.count(Vote.GRANTED) < len(votes):
                log_event("claim_partial", key=key.hex(), votes=_format_votes(votes))
            return claim
        log_event("claim_refused", key=key.hex(), verdict=verdict.value, votes=_format_votes(votes))
        self.release(claim)
        if verdict is Verdict.DUPLICATE:
            raise DuplicateOrder("another request with this key was already taken")
        raise ClaimUnavailable("order_homes_unreachable", retry_after_s)

    def release(self, claim: Claim) -> None:
        """Release a claim whose request was certainly not run, and wait for the replicas.

        The caller is told afterwards that it may send the request again. A replica that still held
        the claim would then refuse the copy as a duplicate. Replicas that do not answer in time
        are not waited for any longer; their links repeat the release.
        """
        votes = self._collect_votes(Release(claim.key, claim.holder))
        if Vote.UNREACHABLE in votes:
            log_event("claim_release_late", key=claim.key.hex(), votes=_format_votes(votes))

    def state(self) -> HomeState:
        """Return the state of the local replica."""
        return self.replicas[self.node].ask(HomeQuery(), timeout=_STATE_WAIT_S)

    def _send(self, request: Take | Release) -> list[Future]:
        replies = []
        for node in replicas_of(request.key, self.members):
            message = AskHome(request)
            self.replicas[node].tell(message)
            replies.append(message.reply)
        return replies

    def _collect_votes(self, request: Take) -> list[Vote]:
        done, late = wait(self._send(request), timeout=_VOTES_WAIT_S)
        return [future.result() for future in done] + [Vote.UNREACHABLE] * len(late)


def _format_votes(votes: list[Vote]) -> str:
    return ",".join(vote.value for vote in votes)
