"""What one home answers about one key."""

from enum import Enum


class Vote(Enum):
    """A home's answer to a claim.

    ``UNSURE`` comes from a home that restarted and may have forgotten a claim; ``UNREACHABLE``
    stands for a home that did not answer in time.
    """

    GRANTED = "granted"
    HELD = "held"
    UNSURE = "unsure"
    UNREACHABLE = "unreachable"
