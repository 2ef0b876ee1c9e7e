"""How long a request may wait in a router, and when its caller should come back."""

import random
from dataclasses import dataclass

from turmerictray.config.routes import Route

_WAIT_OBJECTIVES = 1.0
"""Waiting in the queue, as a multiple of the route's objective. A request that has waited longer is
late wherever it goes; its place is better given to one that can still be in time."""

_LEAST_RETRY_S = 0.2
_RETRY_SPREAD = 0.5
"""Callers that were refused together are told times that differ by up to this part, so that they
don't come back together."""

_HONOURED_PART = 1 / 3
"""Callers wait at most this part of the time they have left; a longer wait is cut short and brings
them back before there is room."""


@dataclass(frozen=True)
class TimeBounds:
    """The times of a request, in monotonic seconds.

    Attributes
    ----------
    arrived : float
    give_up : float
        Its final answer is due: the route's timeout or the caller's own deadline.
    wait_until : float
        It may wait for a target until then.
    """

    arrived: float
    give_up: float
    wait_until: float


def time_bounds(route: Route, arrived: float, caller_left_s: float | None) -> TimeBounds:
    """The times of a request on ``route`` whose caller waits ``caller_left_s`` more seconds."""
    allowed = route.timeout_s if caller_left_s is None else min(route.timeout_s, caller_left_s)
    wait = min(allowed, _WAIT_OBJECTIVES * route.objective_s)
    return TimeBounds(arrived, arrived + allowed, arrived + wait)


def retry_after_s(room_in_s: float, caller_left_s: float, rng: random.Random) -> float:
    """Seconds after which a refused caller should come back.

    Parameters
    ----------
    room_in_s : float
        When there will be room, as far as is known.
    caller_left_s : float
        How long the caller will wait in all.
    """
    base = max(_LEAST_RETRY_S, room_in_s)
    spread = base * (1 + _RETRY_SPREAD * rng.random())
    return round(min(spread, max(_LEAST_RETRY_S, caller_left_s * _HONOURED_PART)), 3)
