"""Seeded random schedules of faults, which may overlap and occur in series."""

import random
from dataclasses import dataclass
from enum import Enum

_GAP_RANGE_S = (0.15, 1.3)
_DURATION_RANGE_S = (0.3, 3.0)
_SERIES_FRACTION = 0.25
"""Fraction of draws that give a series of the same fault, as restarts and changes do."""

_MAX_SERIES_LENGTH = 4
_INITIAL_QUIET_S = 1.0
"""Time without faults at the start."""


class FaultKind(Enum):
    """Kinds of faults that are injected into a deployment from outside its routers.

    ``HANG_UP`` sends the signal SIGHUP, ``STORE_FORGETS`` compacts the store's history and
    ``STORE_RETURNS`` restores the store from a backup. ``DEADLY`` sends a request that crashes each
    worker that starts to run it. ``EVACUATE`` evacuates an availability zone and takes it back.
    ``WORKERS_COLD`` makes the engines of a zone cold. ``CRASHING_PART`` sends ever new prompts with
    one part that crashes each worker that begins to answer. ``INTERNAL_FAULT`` raises an exception
    in an actor or a thread of a router. With ``TELLS_LEAVING`` a worker leaves that says so only in
    its answers, with ``FULL`` a worker refuses requests and asks for rest, and with ``SILENT`` a
    worker sends nothing for a moment. With ``PAGES_CUT`` and ``PAGES_SLOW`` routers hear each other
    and can't fetch documents, with ``PEERS_CUT`` one router reaches no other while they reach it.
    ``STORE_LINKS_SILENT`` silences the store for all routers but one, and ``STORE_STALLED`` stalls
    the connections to it that are open.
    """

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
    EVACUATE = "evacuate"
    WORKERS_COLD = "workers_cold"
    CRASHING_PART = "crashing_part"
    INTERNAL_FAULT = "internal_fault"
    TELLS_LEAVING = "tells_leaving"
    FULL = "full"
    SILENT = "silent"
    PAGES_CUT = "pages_cut"
    PAGES_SLOW = "pages_slow"
    PEERS_CUT = "peers_cut"
    PEERS_RESET = "peers_reset"
    STORE_LINKS_SILENT = "store_links_silent"
    STORE_STALLED = "store_stalled"


_FLOODS_AND_JOINS = (FaultKind.FLOOD, FaultKind.WORKERS_JOIN)
"""Faults with a separate schedule, so that a seed gives the same base schedule with and without
them."""

_CRASHES_AND_RESTORES = (FaultKind.DEADLY, FaultKind.STORE_RETURNS)
"""Faults with a third schedule, separate from both others for the same reason."""

_ZONE_FAULTS = (FaultKind.EVACUATE, FaultKind.WORKERS_COLD)
"""Faults of whole zones, with a fourth schedule for the same reason."""

_PROMPT_FAULTS = (FaultKind.CRASHING_PART,)
"""Faults of prompts, with a fifth schedule for the same reason."""

_INTERNAL_FAULTS = (FaultKind.INTERNAL_FAULT,)
"""Exceptions in routers, with a sixth schedule for the same reason."""

_NOTICE_FAULTS = (FaultKind.TELLS_LEAVING, FaultKind.FULL, FaultKind.SILENT)
"""What workers tell routers in their answers, with a seventh schedule for the same reason."""

_PEER_FAULTS = (
    FaultKind.PAGES_CUT,
    FaultKind.PAGES_SLOW,
    FaultKind.PEERS_CUT,
    FaultKind.PEERS_RESET,
    FaultKind.STORE_LINKS_SILENT,
    FaultKind.STORE_STALLED,
)
"""Faults of connections between routers, and of some routers' to the store, with an eighth schedule
for the same reason."""

_OVERLAID_KINDS = frozenset(
    _FLOODS_AND_JOINS
    + _CRASHES_AND_RESTORES
    + _ZONE_FAULTS
    + _PROMPT_FAULTS
    + _INTERNAL_FAULTS
    + _NOTICE_FAULTS
    + _PEER_FAULTS
)
_BASE_KINDS = tuple(kind for kind in FaultKind if kind not in _OVERLAID_KINDS)
_FLOODS_AND_JOINS_GAP_S = (2.0, 6.0)
_CRASHES_AND_RESTORES_GAP_S = (0.5, 4.0)
_ZONE_FAULTS_GAP_S = (1.0, 5.0)
_PROMPT_FAULTS_GAP_S = (1.0, 4.0)
_INTERNAL_FAULTS_GAP_S = (0.2, 1.5)
_NOTICE_FAULTS_GAP_S = (0.3, 2.0)
_PEER_FAULTS_GAP_S = (0.3, 2.0)
_CHANGES = (FaultKind.PUBLISH, FaultKind.WORKER_LEAVES)
"""Changes that are published beside the faults of peers."""


@dataclass(frozen=True)
class ScheduledFault:
    """A fault of a schedule.

    Attributes
    ----------
    start_s, duration_s : float
        Start relative to the start of the run, and duration for kinds of faults that last.
    kind : FaultKind
    random_number : int
        Selects the affected component and other details.
    """

    start_s: float
    duration_s: float
    kind: FaultKind
    random_number: int


def draw_floods_and_joins(seed: int, seconds: float) -> list[ScheduledFault]:
    """Draw floods of one router and simultaneous joins of many workers, in order of time."""
    rng = random.Random(f"overlay {seed}")
    return _draw(
        rng, seconds, rng.uniform(*_GAP_RANGE_S), _FLOODS_AND_JOINS, _FLOODS_AND_JOINS_GAP_S
    )


def draw_crashes_and_restores(seed: int, seconds: float) -> list[ScheduledFault]:
    """Draw requests that crash workers and restores of the store, in order of time."""
    rng = random.Random(f"later {seed}")
    return _draw(
        rng,
        seconds,
        rng.uniform(*_CRASHES_AND_RESTORES_GAP_S),
        _CRASHES_AND_RESTORES,
        _CRASHES_AND_RESTORES_GAP_S,
    )


def draw_zone_faults(seed: int, seconds: float) -> list[ScheduledFault]:
    """Draw evacuations and cold engines of whole zones, in order of time."""
    rng = random.Random(f"zones {seed}")
    first_at_s = rng.uniform(*_ZONE_FAULTS_GAP_S)
    return _draw(rng, seconds, first_at_s, _ZONE_FAULTS, _ZONE_FAULTS_GAP_S)


def draw_prompt_faults(seed: int, seconds: float) -> list[ScheduledFault]:
    """Draw senders of prompts with a crashing part, in order of time."""
    rng = random.Random(f"prompts {seed}")
    first_at_s = rng.uniform(*_PROMPT_FAULTS_GAP_S)
    return _draw(rng, seconds, first_at_s, _PROMPT_FAULTS, _PROMPT_FAULTS_GAP_S)


def draw_internal_faults(seed: int, seconds: float) -> list[ScheduledFault]:
    """Draw exceptions in routers, in order of time."""
    rng = random.Random(f"internal {seed}")
    first_at_s = rng.uniform(*_INTERNAL_FAULTS_GAP_S)
    return _draw(rng, seconds, first_at_s, _INTERNAL_FAULTS, _INTERNAL_FAULTS_GAP_S)


def draw_notice_faults(seed: int, seconds: float) -> list[ScheduledFault]:
    """Draw workers that tell in answers that they leave or are full, or fall silent, in order."""
    rng = random.Random(f"notices {seed}")
    first_at_s = rng.uniform(*_NOTICE_FAULTS_GAP_S)
    return _draw(rng, seconds, first_at_s, _NOTICE_FAULTS, _NOTICE_FAULTS_GAP_S)


def draw_peer_faults(seed: int, seconds: float) -> list[ScheduledFault]:
    """Draw faults between routers, and beside them changes that have to reach all, in order."""
    rng = random.Random(f"peers {seed}")
    faults = _draw(rng, seconds, _INITIAL_QUIET_S, _PEER_FAULTS, _PEER_FAULTS_GAP_S)
    changes = _draw(rng, seconds, _INITIAL_QUIET_S, _CHANGES, _PEER_FAULTS_GAP_S)
    return sorted(faults + changes, key=lambda fault: fault.start_s)


def _draw(
    rng: random.Random,
    seconds: float,
    first_at_s: float,
    kinds: tuple[FaultKind, ...],
    gap_range_s: tuple[float, float],
) -> list[ScheduledFault]:
    schedule: list[ScheduledFault] = []
    at_s = first_at_s
    while at_s < seconds:
        duration_s = min(rng.uniform(*_DURATION_RANGE_S), seconds - at_s)
        schedule.append(ScheduledFault(at_s, duration_s, rng.choice(kinds), rng.randrange(1000)))
        at_s += rng.uniform(*gap_range_s)
    return schedule


def draw_schedule(seed: int, seconds: float) -> list[ScheduledFault]:
    """Draw all other faults, in order of time; equal arguments give equal schedules."""
    rng = random.Random(seed)
    schedule: list[ScheduledFault] = []
    at_s = _INITIAL_QUIET_S
    while at_s < seconds:
        kind = rng.choice(_BASE_KINDS)
        count = rng.randint(2, _MAX_SERIES_LENGTH) if rng.random() < _SERIES_FRACTION else 1
        for _ in range(count):
            if at_s < seconds:
                duration_s = min(rng.uniform(*_DURATION_RANGE_S), seconds - at_s)
                schedule.append(ScheduledFault(at_s, duration_s, kind, rng.randrange(1000)))
            at_s += rng.uniform(*_GAP_RANGE_S)
    return schedule
