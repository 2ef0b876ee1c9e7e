"""Decision on a claim, from the votes of the key's replicas."""

from enum import Enum

from turmerictray.config.schema import PartitionPolicy
from turmerictray.orders.replica_selection import majority
from turmerictray.orders.vote import Vote


class Verdict(Enum):
    """Whether a non-idempotent request may be sent."""

    GRANTED = "granted"
    DUPLICATE = "duplicate"
    UNAVAILABLE = "unavailable"


def decide(votes: list[Vote], policy: PartitionPolicy) -> Verdict:
    """Decide whether a claim is granted.

    Parameters
    ----------
    votes : list of Vote
        One per replica of the key.
    policy : PartitionPolicy
        Whether to grant a claim without a majority.

    Returns
    -------
    Verdict
        ``DUPLICATE`` if any replica stores a claim of another request on the key. Two majorities
        of the same replicas share at least one replica, so two requests with the same key cannot
        both be granted under ``REFUSE``.
    """
    if Vote.HELD in votes:
        return Verdict.DUPLICATE
    if votes.count(Vote.GRANTED) >= majority(len(votes)):
        return Verdict.GRANTED
    return Verdict.GRANTED if policy is PartitionPolicy.SERVE else Verdict.UNAVAILABLE
