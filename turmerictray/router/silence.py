"""When a silent target is given up for another one.

A silent target may be lost for good, or about to go on. The try is given up late, as what it has
done is lost with it, and the next target may fall silent too; but not too late for the next one.
"""

import math

_PATIENCE_FACTOR = 4.0
_MIN_PATIENCE_S = 2.5
"""A target that has not begun to answer after four times the expected time, and at least this many
seconds, is given up even if there is time left. Estimates are rarely off by more than that factor,
and pauses of sound targets are rarely longer."""

_PAUSE_FACTOR = 3.0
"""A target whose stream pauses for longer than this multiple of its route's longest pause between
two events, and for longer than ``_MIN_PATIENCE_S``, is given up even if there is time left."""

_NEXT_TRY_FACTOR = 1.25
_MIN_NEXT_TRY_S = 0.5
"""Time that is left for a try at another target, in seconds: that expected for this one and a
quarter more, for the queue, and at least this."""

_PROBABLE_DELAY_FACTOR = 3.0
_PROBABLE_DELAY_S = 0.75
"""A target that is silent for less than this, or than three times the expected time, is more likely
to answer than another one: if there is no time to wait for so long, it isn't given up."""


def patience_s(left_s: float, expected_s: float) -> float:
    """Return how long a target may be silent before it is given up for another one.

    Parameters
    ----------
    left_s : float
        Seconds left until the answer's deadline, when the request is sent.
    expected_s : float
        Estimated seconds from then until the target begins to answer.

    Returns
    -------
    float
        Seconds from then; ``left_s`` if no other target could be expected to answer in time.
    """
    return _bounded_patience_s(left_s, expected_s, _PATIENCE_FACTOR * expected_s)


def event_patience_s(
    left_s: float, expected_s: float, gap_s: float, caller_s: float = math.inf
) -> float:
    """Return how long a stream may pause before another target is asked for.

    Parameters
    ----------
    left_s : float
        Seconds left until the answer's deadline.
    expected_s : float
        Estimated seconds until another target sends its first event.
    gap_s : float
        Longest pause between two events that counts as on time, in seconds.
    caller_s : float
        Seconds until the caller leaves if no event comes.

    Returns
    -------
    float
        Seconds from the last event; ``left_s`` if no other target could be expected to go on in
        time.
    """
    patience_s = _bounded_patience_s(left_s, expected_s, _PAUSE_FACTOR * gap_s)
    if patience_s == left_s:
        return left_s
    # The silent target is left only for one that is granted, so that asking early costs little.
    latest_s = max(caller_s - _next_try_s(expected_s), caller_s / 2)
    return min(patience_s, latest_s)


def min_next_try_s(expected_s: float) -> float:
    """Return the seconds that must be left when another target is granted for a silent stream.

    Half of the time that is left when it is asked for; the rest is for the queue.
    """
    return _next_try_s(expected_s) / 2


def _next_try_s(expected_s: float) -> float:
    return max(_MIN_NEXT_TRY_S, _NEXT_TRY_FACTOR * expected_s)


def _bounded_patience_s(left_s: float, expected_s: float, usual_s: float) -> float:
    latest_s = left_s - _next_try_s(expected_s)
    if latest_s < max(_PROBABLE_DELAY_S, _PROBABLE_DELAY_FACTOR * expected_s):
        return left_s
    return min(latest_s, max(_MIN_PATIENCE_S, usual_s))
