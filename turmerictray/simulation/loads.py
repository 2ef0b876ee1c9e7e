"""Loads that callers put on a fleet, drawn from a seed."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum

import numpy as np

from turmerictray.core.ids import TeamId
from turmerictray.routing.prompt import PartId, Prompt, PromptPart
from turmerictray.simulation.fleet import Caller, Fleet

_TEAMS = 16
_TEAM_SKEW = 1.2
_SUBJECT_SKEW = 0.3
_RETURNS = 1


@dataclass(frozen=True)
class Kind:
    """A kind of request.

    Attributes
    ----------
    shared, own, generated : float
        Mean tokens of the part that others share, of its own part, and of the answer.
    subjects : int
        Different shared parts.
    part : float
        PromptPart of all requests.
    worth : float
        What an answer in time is worth to its caller, relative to the other kinds.
    """

    name: str
    shared: float
    own: float
    generated: float
    subjects: int
    objective_s: float
    part: float
    worth: float


KINDS = (
    Kind("long", 13_300, 3_720, 120, 206, 0.8, 0.31, 4.3),
    Kind("middle", 6_300, 2_890, 51, 68, 1.2, 0.23, 1.6),
    Kind("short", 350, 1_110, 171, 136, 1.5, 0.46, 0.31),
)
"""Route plans, stock reconciliations and chats of a dispatch office."""

_PAUSE_LIMIT_S = 0.25


class Shape(Enum):
    """What happens to the load, or to the fleet, in the middle of a run."""

    CALM = "calm"
    BURST = "burst"
    HOT_SUBJECT = "hot-subject"
    HOT_TEAM = "hot-team"
    SHIFT = "shift"
    SLOW_ENGINE = "slow-engine"
    RESTART = "restart"


@dataclass(frozen=True)
class Load:
    """A load to be played.

    Attributes
    ----------
    per_s : float
        Requests a second.
    seconds : float
    seed : int
    """

    shape: Shape
    per_s: float
    seconds: float = 30.0
    seed: int = 1

    @property
    def begin(self) -> float:
        """When the trouble begins."""
        return self.seconds / 3

    @property
    def end(self) -> float:
        """When it ends."""
        return 2 * self.seconds / 3

    def hot(self, when: float) -> bool:
        """Whether the trouble lasts at a time."""
        return self.begin <= when < self.end


class Arrivals:
    """Draws a load's requests."""

    def __init__(self, load: Load, routers: int) -> None:
        self._load = load
        self._routers = routers
        self._rng = np.random.default_rng(load.seed)
        self._team_weights = _skewed(_TEAMS, _TEAM_SKEW)
        self._sizes = {kind.name: self._draw_sizes(kind) for kind in KINDS}

    def _draw_sizes(self, kind: Kind) -> np.ndarray:
        return self._around(kind.shared, 0.6, kind.subjects)

    def _around(self, mean: float, spread: float, count: int) -> np.ndarray:
        """Log-normal draws with a mean, at most eight times it."""
        draws = self._rng.lognormal(np.log(mean) - spread**2 / 2, spread, count)
        return np.minimum(draws, 8 * mean).astype(int) + 1

    def draw(self) -> Iterator[tuple[float, int, Caller]]:
        """Time, router and caller of each request, in order of time."""
        when = 0.0
        while True:
            when += self._rng.exponential(1 / self._rate(when))
            if when >= self._load.seconds:
                return
            yield when, self._router(when), self._caller(when)

    def _rate(self, when: float) -> float:
        shape, hot = self._load.shape, self._load.hot(when)
        return self._load.per_s * (2.5 if hot and shape is Shape.BURST else 1.0)

    def _router(self, when: float) -> int:
        if self._load.shape is Shape.SHIFT and self._load.hot(when):
            return int(self._rng.integers(max(1, self._routers // 3)))
        return int(self._rng.integers(self._routers))

    def _caller(self, when: float) -> Caller:
        kind = KINDS[self._rng.choice(len(KINDS), p=[each.part for each in KINDS])]
        return Caller(
            team=self._team(when),
            arrived=when,
            prompt=self._prompt(kind, when),
            objective_s=kind.objective_s,
            kind=kind.name,
            pause_limit_s=_PAUSE_LIMIT_S,
            returns=_RETURNS,
        )

    def _team(self, when: float) -> TeamId:
        if self._load.shape is Shape.HOT_TEAM and self._load.hot(when):
            if self._rng.random() < 0.6:
                return TeamId("t3")
        return TeamId(f"t{self._rng.choice(_TEAMS, p=self._team_weights)}")

    def _prompt(self, kind: Kind, when: float) -> Prompt:
        subject = self._subject(kind, when)
        shared = PromptPart(PartId(f"{kind.name}{subject}"), int(self._sizes[kind.name][subject]))
        own_tokens = int(self._around(kind.own, 0.9, 1)[0])
        own = PromptPart(PartId(f"own{when}"), own_tokens)
        generated = int(self._around(kind.generated, 0.9, 1)[0])
        return Prompt((shared, own), shared.tokens + own_tokens, generated)

    def _subject(self, kind: Kind, when: float) -> int:
        if self._load.shape is Shape.HOT_SUBJECT and self._load.hot(when):
            if self._rng.random() < 0.6:
                return 0
        return int(self._rng.choice(kind.subjects, p=_skewed(kind.subjects, _SUBJECT_SKEW)))


def _skewed(count: int, skew: float) -> np.ndarray:
    weights = 1.0 / np.arange(1, count + 1) ** skew
    return weights / weights.sum()


def play(fleet: Fleet, load: Load, trouble: Callable[[], None] = lambda: None) -> None:
    """Play a load to its end; ``trouble`` happens when the shape's trouble begins."""
    for when, router, caller in Arrivals(load, len(fleet.pools)).draw():
        fleet.timeline.at(when, fleet.ask, router, caller)
    fleet.timeline.at(load.begin, trouble)
    fleet.run(load.seconds + 10.0)
