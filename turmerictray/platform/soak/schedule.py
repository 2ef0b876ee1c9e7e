"""Seeded schedules of faults that overlap and come in series."""

import random
from dataclasses import dataclass
from enum import Enum

_GAP_S = (0.15, 1.3)
_LENGTH_S = (0.3, 3.0)
_SERIES = 0.25
"""Part of the faults that come in a series of the same kind, as restarts and changes do."""

_SERIES_MOST = 4
_QUIET_S = 1.0
"""Time without faults at the start."""


class Fault(Enum):
    """What can be done to a deployment from outside its routers."""

    KILL = "kill"
    KILL_ALL = "kill_all"
    STOP = "stop"
    PAUSE = "pause"
    HANG_UP = "hang_up"
    STORE_BUSY = "store_busy"
    STORE_TOO_MANY = "store_too_many"
    STORE_SILENT = "store_silent"
    STORE_RESET = "store_reset"
    STORE_FORGETS = "store_forgets"
    STORE_CUT = "store_cut"
    STORE_DELAYED = "store_delayed"
    WORKER_CUT = "worker_cut"
    WORKER_CUT_BACK = "worker_cut_back"
    WORKER_DELAYED = "worker_delayed"
    WORKER_SILENCED = "worker_silenced"
    WORKER_RESET = "worker_reset"
    WORKER_ANSWERS = "worker_answers"
    WORKER_LEAVES = "worker_leaves"
    WORKER_CRASHES = "worker_crashes"
    CALLERS_RESET = "callers_reset"
    CALLERS_DELAYED = "callers_delayed"
    PUBLISH = "publish"
    PUBLISH_BROKEN = "publish_broken"
    FLOOD = "flood"
    WORKERS_JOIN = "workers_join"
    DEADLY = "deadly"
    STORE_RETURNS = "store_returns"


_OVERLAID = (Fault.FLOOD, Fault.WORKERS_JOIN)
"""Faults with a schedule of their own, beside that of the others, so that the seeds of runs without
them keep their meaning."""

_LATER = (Fault.DEADLY, Fault.STORE_RETURNS)
"""The same, in a schedule of their own beside both."""

_BASE = tuple(fault for fault in Fault if fault not in (*_OVERLAID, *_LATER))
_OVERLAY_GAP_S = (2.0, 6.0)
_LATER_GAP_S = (0.5, 4.0)


@dataclass(frozen=True)
class Planned:
    """One fault of a schedule.

    Attributes
    ----------
    at_s, for_s : float
        Start from the begin of the run, and length for kinds that last, in seconds.
    pick : int
        Picks the victim among those there are.
    """

    at_s: float
    for_s: float
    fault: Fault
    pick: int


def draw_overlay(seed: int, seconds: float) -> list[Planned]:
    """Floods of one team at one router and workers that join in masses, for a seed."""
    rng = random.Random(f"overlay {seed}")
    return _draw_beside(rng, seconds, rng.uniform(*_GAP_S), _OVERLAID, _OVERLAY_GAP_S)


def draw_later(seed: int, seconds: float) -> list[Planned]:
    """Requests that end each worker that runs them, and a store that returns, for a seed."""
    rng = random.Random(f"later {seed}")
    return _draw_beside(rng, seconds, rng.uniform(*_LATER_GAP_S), _LATER, _LATER_GAP_S)


def _draw_beside(
    rng: random.Random,
    seconds: float,
    first_at: float,
    faults: tuple[Fault, ...],
    gap_s: tuple[float, float],
) -> list[Planned]:
    planned: list[Planned] = []
    at = first_at
    while at < seconds:
        length = min(rng.uniform(*_LENGTH_S), seconds - at)
        planned.append(Planned(at, length, rng.choice(faults), rng.randrange(1000)))
        at += rng.uniform(*gap_s)
    return planned


def draw_schedule(seed: int, seconds: float) -> list[Planned]:
    """The schedule of a seed, in order of time; the same for the same arguments."""
    rng = random.Random(seed)
    planned: list[Planned] = []
    at = _QUIET_S
    while at < seconds:
        fault = rng.choice(_BASE)
        many = rng.randint(2, _SERIES_MOST) if rng.random() < _SERIES else 1
        for _ in range(many):
            if at < seconds:
                length = min(rng.uniform(*_LENGTH_S), seconds - at)
                planned.append(Planned(at, length, fault, rng.randrange(1000)))
            at += rng.uniform(*_GAP_S)
    return planned
