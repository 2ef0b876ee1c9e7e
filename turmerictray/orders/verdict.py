"""From the homes' votes to what happens to the request."""

from enum import Enum

from turmerictray.config.schema import CutPolicy
from turmerictray.orders.homes import majority
from turmerictray.orders.vote import Vote


class Verdict(Enum):
    """Whether a non-idempotent request may be sent."""

    GRANTED = "granted"
    DUPLICATE = "duplicate"
    UNAVAILABLE = "unavailable"


def decide(votes: list[Vote], policy: CutPolicy) -> Verdict:
    """Judge one claim.

    Parameters
    ----------
    votes : list of Vote
        One per home of the key.
    policy : CutPolicy
        What to do without a majority.

    Returns
    -------
    Verdict
        Any home that holds the key for another request decides alone. Two majorities of the
        same homes share at least one home, so two requests with one key cannot both be granted
        under ``REFUSE``.
    """
    if Vote.HELD in votes:
        return Verdict.DUPLICATE
    if votes.count(Vote.GRANTED) >= majority(len(votes)):
        return Verdict.GRANTED
    return Verdict.GRANTED if policy is CutPolicy.SERVE else Verdict.UNAVAILABLE
