"""Seeded random schedules of faults."""

import random
from dataclasses import dataclass
from enum import Enum

_INTERVAL_RANGE_S = (0.4, 1.6)
_DURATION_RANGE_S = (0.5, 4.0)


class FaultKind(Enum):
    """Kinds of faults that can be injected into a local fleet.

    ``PUBLISH`` is no fault but a valid configuration change. The order of the members is part of
    the schedule of a seed (see :func:`draw_faults`).
    """

    KILL_ROUTER = "kill_router"
    FREEZE_ROUTER = "freeze_router"
    PARTITION_ROUTER = "cut_router"
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
    """A scheduled fault.

    Attributes
    ----------
    at_s : float
        Start, in seconds from the start of the run.
    kind : FaultKind
    victim : int
        Random number that selects the process among those of the same role.
    for_s : float
        Duration in seconds, for kinds that have one.
    """

    at_s: float
    kind: FaultKind
    victim: int
    for_s: float


def draw_faults(seed: int, seconds: float) -> list[Fault]:
    """Draw the fault schedule of ``seed``: about one fault per second, which may overlap.

    Parameters
    ----------
    seed : int
    seconds : float
        Length of the run; no fault lasts beyond it.

    Returns
    -------
    list of Fault
        Sorted by start time; equal arguments give equal schedules.
    """
    rng = random.Random(seed)
    kinds = list(FaultKind)
    faults: list[Fault] = []
    at = rng.uniform(*_INTERVAL_RANGE_S)
    while at < seconds:
        duration = min(rng.uniform(*_DURATION_RANGE_S), seconds - at)
        faults.append(Fault(at, rng.choice(kinds), rng.randrange(1000), duration))
        at += rng.uniform(*_INTERVAL_RANGE_S)
    return faults
