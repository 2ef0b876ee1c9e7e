"""The guard that a non-idempotent request passes before its first byte is sent."""

import time
import uuid
from concurrent.futures import Future, wait
from dataclasses import dataclass

import pykka

from turmerictray.config.schema import CutPolicy
from turmerictray.core import metrics
from turmerictray.core.errors import ClaimUnavailable, DuplicateOrder
from turmerictray.core.ids import NodeId
from turmerictray.core.logs import log_event
from turmerictray.core.member import Member
from turmerictray.orders.ask import AskHome, HomeQuery, HomeState
from turmerictray.orders.homes import homes_of
from turmerictray.orders.keys import ClaimKey
from turmerictray.orders.table import VOTES_VALID_S
from turmerictray.orders.verdict import Verdict, decide
from turmerictray.orders.vote import Vote
from turmerictray.orders.wire import Release, Take

_VOTES_WAIT_S = 0.6
_STATE_WAIT_S = 2.0
_FRESH_PART = 0.5
"""Part of the homes' memory in which a granted claim may still be acted on."""


@dataclass(frozen=True)
class Claim:
    """A granted claim.

    Attributes
    ----------
    key : ClaimKey
    holder : str
        Unique id of this claim.
    asked_at : float
        Monotonic time before the homes were asked, in seconds.
    memory_s : float
        How long the homes remember it, in seconds.
    """

    key: ClaimKey
    holder: str
    asked_at: float
    memory_s: float

    def fresh(self, now: float) -> bool:
        """Whether the homes surely still hold this claim at monotonic time ``now``."""
        return now - self.asked_at < self.memory_s * _FRESH_PART


class OrderGuard:
    """Claims keys at their homes.

    Parameters
    ----------
    node : NodeId
        This router.
    members : list of Member
        Every router of the deployment, this one included.
    homes : dict of NodeId to pykka.ActorRef
        Per member the actor that takes :class:`~turmerictray.orders.ask.AskHome` for it: the
        own :class:`~turmerictray.orders.home.ClaimHome`, and a
        :class:`~turmerictray.orders.link.HomeLink` per peer.
    """

    def __init__(
        self, node: NodeId, members: list[Member], homes: dict[NodeId, pykka.ActorRef]
    ) -> None:
        self.node = node
        self.members = members
        self.homes = homes

    def take(
        self, key: ClaimKey, policy: CutPolicy, memory_s: float, retry_after_s: float
    ) -> Claim:
        """Claim ``key`` for one request.

        Parameters
        ----------
        key : ClaimKey
        policy : CutPolicy
            What to do when too few homes answer.
        memory_s, retry_after_s : float
            Seconds, from the configuration's limits.

        Raises
        ------
        DuplicateOrder
            Another copy of the request holds the key; this one was not run.
        ClaimUnavailable
            Too few homes could vouch for the key; the request was not run.
        """
        claim = Claim(key, uuid.uuid4().hex, time.monotonic(), memory_s)
        votes = self._votes(Take(key, claim.holder))
        verdict = decide(votes, policy)
        if verdict is Verdict.GRANTED and time.monotonic() - claim.asked_at > VOTES_VALID_S:
            # Frozen while asking: a home may have restarted since and asked the others before
            # this claim reached them, so an old majority proves nothing.
            verdict = Verdict.UNAVAILABLE
        metrics.CLAIMS.labels(verdict.value).inc()
        if verdict is Verdict.GRANTED:
            if votes.count(Vote.GRANTED) < len(votes):
                log_event("claim_partial", key=key.hex(), votes=_names(votes))
            return claim
        log_event("claim_refused", key=key.hex(), verdict=verdict.value, votes=_names(votes))
        self.release(claim)
        if verdict is Verdict.DUPLICATE:
            raise DuplicateOrder("another request with this key was already taken")
        raise ClaimUnavailable("order_homes_unreachable", retry_after_s)

    def release(self, claim: Claim) -> None:
        """Give a claim back after its request was provably not run; does not wait."""
        self._put(Release(claim.key, claim.holder))

    def state(self) -> HomeState:
        """The state of this router's own home."""
        return self.homes[self.node].ask(HomeQuery(), timeout=_STATE_WAIT_S)

    def _put(self, question: Take | Release) -> list[Future]:
        futs = []
        for node in homes_of(question.key, self.members):
            ask = AskHome(question)
            self.homes[node].tell(ask)
            futs.append(ask.reply)
        return futs

    def _votes(self, question: Take) -> list[Vote]:
        done, late = wait(self._put(question), timeout=_VOTES_WAIT_S)
        return [fut.result() for fut in done] + [Vote.UNREACHABLE] * len(late)


def _names(votes: list[Vote]) -> str:
    return ",".join(vote.value for vote in votes)
