"""Limits on the work that is queued at a target."""

from turmerictray.routing.load import TargetLoad
from turmerictray.routing.model import PoolModel

ENGINE_WINDOW_S = 0.03
"""Window of an engine: the prompt tokens that it may have queued for reading (prefill), in seconds
of reading. Engines take requests in order of arrival and drop none, so work queued there can be
neither reordered between teams nor cancelled in time. The window has to cover the time for a
message to the scheduler and the transfer of the next request to the engine."""

_PLAIN_REQUESTS_PER_SLOT = 1.5
"""Maximum requests at a plain target, as a multiple of its slots. One running and half a queued
request per slot cover the network round trip."""

_TOLERATED_EXCESS_TOKENS = 60_000.0
"""Difference in recent usage between two teams that is tolerated, in tokens per weight. It equals
a few large prompts, or what ten engines read in 0.2 s, and peers' reports lag by more than that."""

_SMALL_EXCESS_FRACTION = 0.3
"""Window fraction of a team that is ahead by more than ``_TOLERATED_EXCESS_TOKENS``."""

_LARGE_EXCESS_FRACTION = 0.05
"""Window fraction of a team that is far ahead; see ``_LARGE_EXCESS_FACTOR``."""

_LARGE_EXCESS_FACTOR = 4.0
"""Multiple of ``_TOLERATED_EXCESS_TOKENS`` from which a team counts as far ahead."""

_DEFICIT_FRACTION = 4.0
"""Window fraction of a team that is far behind; above 1, it exceeds the usual window. While every
router schedules for itself, a team whose callers all connect to one router has only that router's
windows. A much larger value would fill the engines with work that can't be reordered."""

MAX_WINDOW_FRACTION = _DEFICIT_FRACTION
"""Largest window fraction that any team may use."""


def window_fraction(excess_tokens: float) -> float:
    """Return the fraction of the engines' windows that a team may use.

    The rest is left to the routers at which less served teams wait. Routers dispatch without
    coordination, and one without a queue would otherwise fill the engines before one with a queue.
    A team far ahead may only use engines that are almost idle, so that no engine idles while
    requests are pending.

    Parameters
    ----------
    excess_tokens : float
        Recent usage per weight of the team beyond that of the least served backlogged team; see
        :class:`~turmerictray.fairness.recent_usage.RecentUsage`. A negative value is the deficit of
        a backlogged team relative to the best served team.
    """
    if excess_tokens < -_TOLERATED_EXCESS_TOKENS:
        return _DEFICIT_FRACTION
    if excess_tokens <= _TOLERATED_EXCESS_TOKENS:
        return 1.0
    return (
        _SMALL_EXCESS_FRACTION
        if excess_tokens <= _LARGE_EXCESS_FACTOR * _TOLERATED_EXCESS_TOKENS
        else _LARGE_EXCESS_FRACTION
    )


def engine_has_capacity(
    load: TargetLoad, model: PoolModel, now: float, fraction: float = 1.0
) -> bool:
    """Return whether an engine has capacity for one more request.

    Parameters
    ----------
    load : TargetLoad
        Load of the engine.
    model : PoolModel
        Speed of the service's engines.
    now : float
        Monotonic seconds.
    fraction : float
        Fraction of the window that the request's team may use.
    """
    snapshot = load.load_snapshot(now, model.read_per_s)
    if snapshot.running >= load.info.slots:
        return False
    return snapshot.unread_tokens * load.slowness <= fraction * ENGINE_WINDOW_S * model.read_per_s


def plain_target_has_capacity(load: TargetLoad, router_count: int, now: float) -> bool:
    """Return whether a plain target has capacity for one more request.

    Parameters
    ----------
    load : TargetLoad
        Load of the target.
    router_count : int
        Number of routers that share the target.
    now : float
        Monotonic seconds.
    """
    if load.running_in_fleet(now) < _PLAIN_REQUESTS_PER_SLOT * load.info.slots:
        return True
    # Every router may use its even share of the slots, even if the peers' last reports say that the
    # target is full. Otherwise a router that starts while the others are busy would have to wait
    # for their next reports.
    return load.running < load.info.slots // max(router_count, 1)
