"""Limits on the time a request may wait in a router, and retry delays for refused callers."""

import random
from dataclasses import dataclass

from turmerictray.config.routes import Route

_MAX_WAIT_FACTOR = 1.0
"""Maximum queueing time, as a multiple of the route's latency objective. A request that has waited
longer is late on any target, so its place is given to one that can still be in time."""

_MIN_RETRY_S = 0.2

_RETRY_JITTER = 0.5
"""Maximum random increase of a retry delay, as a fraction of it. The jitter keeps callers that were
refused together from returning together."""

_MAX_RETRY_FRACTION = 1 / 3
"""Maximum retry delay, as a fraction of the caller's remaining time. Callers cut a longer delay
short and then return before there is capacity."""


@dataclass(frozen=True)
class TimeBounds:
    """Arrival time and deadlines of a request, in monotonic seconds.

    Attributes
    ----------
    arrived : float
        When the request arrived.
    answer_deadline : float
        Deadline of the final answer, from the route's timeout or the caller's own deadline.
    queue_deadline : float
        Until when the request may wait for a target.
    """

    arrived: float
    answer_deadline: float
    queue_deadline: float


def time_bounds(route: Route, arrived: float, caller_left_s: float | None) -> TimeBounds:
    """Compute the deadlines of a request.

    Parameters
    ----------
    route : Route
        Route that the request matches.
    arrived : float
        Arrival time, in monotonic seconds.
    caller_left_s : float or None
        Time that the caller still waits for the answer, in seconds; None if not known.
    """
    allowed = route.timeout_s if caller_left_s is None else min(route.timeout_s, caller_left_s)
    wait = min(allowed, _MAX_WAIT_FACTOR * route.objective_s)
    return TimeBounds(arrived, arrived + allowed, arrived + wait)


def retry_after_s(capacity_in_s: float, caller_left_s: float, rng: random.Random) -> float:
    """Compute the delay after which a refused caller should retry, in seconds.

    Parameters
    ----------
    capacity_in_s : float
        Estimated time until capacity is available, in seconds.
    caller_left_s : float
        Time that the caller still waits in total, in seconds.
    rng : random.Random
        Source of the jitter.
    """
    base = max(_MIN_RETRY_S, capacity_in_s)
    delay = base * (1 + _RETRY_JITTER * rng.random())
    return round(min(delay, max(_MIN_RETRY_S, caller_left_s * _MAX_RETRY_FRACTION)), 3)
