"""Rate at which requests may be sent to a cold target.

A target that has just started bears only a few requests a second for some time, and crashes under
many more. The limit holds for the sum over all routers, also those that can't reach each other.
"""

import math
from dataclasses import dataclass

_ASSUMED_HOLDERS = 2
"""Number of routers that may send at the full rate at the same time. While the scheduler of an
engine changes, the former and the new one both send."""

_MAX_SENDS_PER_OWNER = 2
"""Largest number of requests of one owner that can be sent in the same second."""

_OWNER_INTERVAL_S = 1.0


@dataclass(frozen=True)
class ColdLimits:
    """Tolerance of the platform above the rate that a cold target is configured for.

    Attributes
    ----------
    factor : float
        Factor of the configured rate that is tolerated.
    slack : float
        Further requests that are tolerated in a second.
    """

    factor: float = 1.0
    slack: float = 0.0


@dataclass(frozen=True)
class ColdSpec:
    """How the targets of a service behave after a start.

    Attributes
    ----------
    duration_s : float
        Seconds for which a target is cold; 0 if it never is.
    requests_per_s : float
        Requests a second that a cold target bears; 0 if there is no limit.
    """

    duration_s: float = 0.0
    requests_per_s: float = 0.0


@dataclass(frozen=True)
class ColdRate:
    """Shares of the rate of a cold target.

    Attributes
    ----------
    interval_s : float
        Seconds between two requests of the router that schedules for all others.
    owners : int
        Number of routers that may send without a common scheduler.
    owner_interval_s : float
        Seconds between two requests of each of these.
    """

    interval_s: float = 0.0
    owners: int = 0
    owner_interval_s: float = 0.0


def cold_rate(spec: ColdSpec, limits: ColdLimits) -> ColdRate | None:
    """Return the shares of the rate of cold targets, or None without a limit.

    The shares add up to less than the limit while two routers consider themselves the scheduler, or
    while the routers disagree about the owners because they can't reach each other.
    """
    if not spec.requests_per_s:
        return None
    limit = spec.requests_per_s * limits.factor + limits.slack
    rate = min(spec.requests_per_s, limit / _ASSUMED_HOLDERS - 1)
    owners = int(limit / (_ASSUMED_HOLDERS * _MAX_SENDS_PER_OWNER))
    interval_s = 1 / rate if rate > 0 else math.inf
    return ColdRate(interval_s, owners, max(_OWNER_INTERVAL_S, owners / spec.requests_per_s))
