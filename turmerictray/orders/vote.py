"""Vote of one replica on a claim."""

from enum import Enum


class Vote(Enum):
    """A replica's answer to a claim.

    ``HELD`` means that another request holds the key. ``UNSURE`` comes from a replica that has
    restarted and may have lost a claim on the key. ``UNREACHABLE`` stands for a replica that did
    not answer in time.
    """

    GRANTED = "granted"
    HELD = "held"
    UNSURE = "unsure"
    UNREACHABLE = "unreachable"
