"""Seeded schedules of faults for randomised runs."""

import random
from dataclasses import dataclass
from enum import Enum

_GAP_S = (0.4, 1.6)
_LENGTH_S = (0.5, 4.0)


class FaultKind(Enum):
    """What can be done to a local fleet."""

    KILL_ROUTER = "kill_router"
    FREEZE_ROUTER = "freeze_router"
    CUT_ROUTER = "cut_router"
    CONFIG_DOWN = "config_down"
    CONFIG_STALE = "config_stale"
    PUBLISH = "publish"
    PUBLISH_INVALID = "publish_invalid"
    ENGINE_RESET = "engine_reset"
    ENGINE_SLOW = "engine_slow"
    ORDER_RESET = "order_reset"
    ORDER_NOT_RUN = "order_not_run"


@dataclass(frozen=True)
class Fault:
    """One fault of a schedule.

    Attributes
    ----------
    at_s : float
        Start, in seconds from the start of the run.
    kind : FaultKind
    victim : int
        Number that picks the process among those of its role.
    for_s : float
        How long it lasts, in seconds, for kinds that last.
    """

    at_s: float
    kind: FaultKind
    victim: int
    for_s: float


def draw_faults(seed: int, seconds: float) -> list[Fault]:
    """The schedule of ``seed``: about one fault a second, overlapping at random.

    Parameters
    ----------
    seed : int
    seconds : float
        Length of the run; faults end with it at the latest.

    Returns
    -------
    list of Fault
        In order of time, the same for the same arguments.
    """
    rng = random.Random(seed)
    kinds = list(FaultKind)
    faults: list[Fault] = []
    at = rng.uniform(*_GAP_S)
    while at < seconds:
        length = min(rng.uniform(*_LENGTH_S), seconds - at)
        faults.append(Fault(at, rng.choice(kinds), rng.randrange(1000), length))
        at += rng.uniform(*_GAP_S)
    return faults
