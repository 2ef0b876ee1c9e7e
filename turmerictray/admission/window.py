"""How much work a target is given ahead of what it is doing."""

from turmerictray.routing.load import TargetLoad
from turmerictray.routing.model import PoolModel

READ_AHEAD_S = 0.25
"""Prompt reading that an engine may have before it, in seconds. Engines take requests in order of
arrival and drop none, so work that waits there can't be reordered between teams or given up in
time; it must only be long enough that an engine isn't idle while peers' reports (half a second old)
still show it busy."""

_PLAIN_AHEAD = 1.5
"""Requests given to a plain target, as a multiple of its slots: one in work and half a one queued
bridges the way there and back."""


AHEAD_PART = 0.3
"""Part of the engines' windows that is open to a team which has had more than one that waits, here
or at a peer. The rest is left to the other team's router: routers send without asking each other,
and one without a queue of its own would otherwise fill the engines before one with a queue can."""


def engine_open(load: TargetLoad, model: PoolModel, now: float, part: float = 1.0) -> bool:
    """Whether an engine may be given one more request.

    Parameters
    ----------
    part : float
        Part of the window that the request's team may use.
    """
    if load.running_in_fleet(now) >= load.info.slots:
        return False
    unread = load.unread_tokens(now)
    return unread * load.slowness <= part * READ_AHEAD_S * model.read_per_s


def plain_open(load: TargetLoad, routers: int, now: float) -> bool:
    """Whether a plain target may be given one more request."""
    if load.running_in_fleet(now) < _PLAIN_AHEAD * load.info.slots:
        return True
    # Each router's even part is its own even when peers' last word was that the target is full:
    # without it a router that starts while others are busy would wait for their next message.
    return load.running < load.info.slots // max(routers, 1)
