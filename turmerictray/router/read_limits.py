"""Time limits by which a published change reaches each router that reaches the store."""

from dataclasses import dataclass

DEFAULT_APPLY_LIMIT_S = 2.0
"""Time in which a published change has to be in force, if the settings name none."""

DEFAULT_MIN_OUTAGE_S = 1.8
"""Shortest outage of the store in which entries of live targets may expire, if the settings name
none."""

_MIN_APPLY_LIMIT_S = 1.0
_MAX_APPLY_LIMIT_S = 5.0
"""Bounds of that time: with less, the fleet would read the store all the time."""

_WATCH_FRACTION = 0.45
_RESPONSE_MARGIN_FRACTION = 0.3
_UNCONFIRMED_FRACTION = 0.7
_RANK_SPREAD_FRACTION = 0.1
_BEHIND_FRACTION = 0.4


@dataclass(frozen=True)
class ReadLimits:
    """Limits of the reads of the store, as parts of the time that a change may take.

    Each way by which a router notices that it may have missed a change, and the read that follows,
    fit into this time: a watch without an answer, data that nobody has confirmed, and a newer
    version that could not be fetched from a peer.

    Attributes
    ----------
    watch_s : float
        Seconds that a watch waits for changes, the pause before it included.
    response_margin_s : float
        Seconds after which a watch without an answer has failed, beyond that time.
    unconfirmed_s : float
        Age of the data from which on a router reads the store itself. It is above the wait of a
        watch and the time that the reader's report takes to arrive.
    rank_spread_s : float
        Seconds over which the routers of a zone begin to read.
    behind_s : float
        Seconds for which a router tries to fetch a newer version from peers, before it reads it.
    hold_s : float
        Seconds for which a router that could not fetch a version goes on reading.
    retry_pause_s : float
        Pause after the second failed attempt, and later ones, of a router that is not designated.
    min_outage_s : float
        Seconds without an answer to any router from which on the store may have been unavailable to
        others too, for long enough that entries have expired.
    """

    watch_s: float
    response_margin_s: float
    unconfirmed_s: float
    rank_spread_s: float
    behind_s: float
    hold_s: float
    retry_pause_s: float
    min_outage_s: float

    @classmethod
    def from_apply_limit(
        cls, limit_s: float = DEFAULT_APPLY_LIMIT_S, min_outage_s: float = DEFAULT_MIN_OUTAGE_S
    ) -> "ReadLimits":
        """Derive the limits from the seconds in which a change has to be in force."""
        limit_s = min(_MAX_APPLY_LIMIT_S, max(_MIN_APPLY_LIMIT_S, limit_s))
        return cls(
            watch_s=_WATCH_FRACTION * limit_s,
            response_margin_s=_RESPONSE_MARGIN_FRACTION * limit_s,
            unconfirmed_s=_UNCONFIRMED_FRACTION * limit_s,
            rank_spread_s=_RANK_SPREAD_FRACTION * limit_s,
            behind_s=_BEHIND_FRACTION * limit_s,
            hold_s=limit_s,
            retry_pause_s=limit_s,
            min_outage_s=min_outage_s,
        )
