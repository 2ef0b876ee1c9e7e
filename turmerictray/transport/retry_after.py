"""The header field Retry-After (RFC 9110, section 10.2.3)."""

import math
from email.utils import parsedate_to_datetime

MAX_RETRY_AFTER_S = 3600.0
"""Longest wait that is honoured, so that a value which nobody means loses no target for good."""


def parse_retry_after_s(value: str | None, now: float) -> float:
    """Return the seconds that a Retry-After field asks to wait.

    Parameters
    ----------
    value : str or None
        Seconds, also as a fraction, or a date; None if the field is missing.
    now : float
        Seconds since the epoch, for dates.

    Returns
    -------
    float
        0 if the field is missing or can't be read, or names a time in the past;
        :data:`MAX_RETRY_AFTER_S` at most.
    """
    if value is None:
        return 0.0
    try:
        seconds = float(value)
    except ValueError:
        seconds = _seconds_until(value, now)
    return min(seconds, MAX_RETRY_AFTER_S) if math.isfinite(seconds) and seconds > 0 else 0.0


def _seconds_until(date: str, now: float) -> float:
    try:
        return parsedate_to_datetime(date).timestamp() - now
    except (ValueError, OverflowError):
        return 0.0
