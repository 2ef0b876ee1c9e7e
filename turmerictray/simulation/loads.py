"""Synthetic request loads, generated from a seed."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum

import numpy as np

from turmerictray.core.ids import TeamId
from turmerictray.routing.prompt import PartId, Prompt, PromptPart
from turmerictray.simulation.fleet import Caller, Fleet

_TEAM_COUNT = 16
_TEAM_SKEW = 1.2
_SUBJECT_SKEW = 0.3
_MAX_RESUBMISSIONS = 1


@dataclass(frozen=True)
class RequestKind:
    """A kind of request, with its sizes, objective and share of the load.

    Attributes
    ----------
    shared_tokens, unique_tokens, output_tokens : float
        Mean number of tokens of the shared prompt part, of the unique prompt part, and of the
        answer.
    subjects : int
        Number of different shared prompt parts.
    objective_s : float
        Maximum time to the first event.
    fraction : float
        Fraction of all requests.
    utility : float
        Value of an answer in time to its caller, relative to the other kinds.
    """

    name: str
    shared_tokens: float
    unique_tokens: float
    output_tokens: float
    subjects: int
    objective_s: float
    fraction: float
    utility: float


KINDS = (
    RequestKind("long", 13_300, 3_720, 120, 206, 0.8, 0.31, 4.3),
    RequestKind("middle", 6_300, 2_890, 51, 68, 1.2, 0.23, 1.6),
    RequestKind("short", 350, 1_110, 171, 136, 1.5, 0.46, 0.31),
)
"""Models the traffic of a dispatch office: route plans, stock reconciliations and chats."""

_PAUSE_LIMIT_S = 0.25


class Scenario(Enum):
    """Disturbance of the load or of the fleet in the middle third of a run."""

    CALM = "calm"
    BURST = "burst"
    HOT_SUBJECT = "hot-subject"
    HOT_TEAM = "hot-team"
    SHIFT = "shift"
    SLOW_ENGINE = "slow-engine"
    RESTART = "restart"


@dataclass(frozen=True)
class Load:
    """Parameters of a generated load.

    Attributes
    ----------
    per_s : float
        Mean number of requests per second.
    seconds : float
        Duration of the load.
    seed : int
        Seed of the random draws.
    """

    scenario: Scenario
    per_s: float
    seconds: float = 30.0
    seed: int = 1

    @property
    def disturbance_start(self) -> float:
        """Start of the disturbance, in seconds."""
        return self.seconds / 3

    @property
    def disturbance_end(self) -> float:
        """End of the disturbance, in seconds."""
        return 2 * self.seconds / 3

    def is_disturbed(self, when: float) -> bool:
        """Whether the disturbance is active at a given time."""
        return self.disturbance_start <= when < self.disturbance_end


class Arrivals:
    """Random generator of the requests of a load."""

    def __init__(self, load: Load, routers: int) -> None:
        self._load = load
        self._routers = routers
        self._rng = np.random.default_rng(load.seed)
        self._team_weights = _zipf_weights(_TEAM_COUNT, _TEAM_SKEW)
        self._shared_sizes = {kind.name: self._draw_shared_sizes(kind) for kind in KINDS}

    def _draw_shared_sizes(self, kind: RequestKind) -> np.ndarray:
        return self._lognormal(kind.shared_tokens, 0.6, kind.subjects)

    def _lognormal(self, mean: float, sigma: float, count: int) -> np.ndarray:
        """Draw integers from a log-normal distribution, truncated at eight times its mean."""
        draws = self._rng.lognormal(np.log(mean) - sigma**2 / 2, sigma, count)
        return np.minimum(draws, 8 * mean).astype(int) + 1

    def draw(self) -> Iterator[tuple[float, int, Caller]]:
        """Yield time, router index and caller of each request, in order of time."""
        when = 0.0
        while True:
            when += self._rng.exponential(1 / self._rate(when))
            if when >= self._load.seconds:
                return
            yield when, self._router(when), self._caller(when)

    def _rate(self, when: float) -> float:
        scenario, is_disturbed = self._load.scenario, self._load.is_disturbed(when)
        return self._load.per_s * (2.5 if is_disturbed and scenario is Scenario.BURST else 1.0)

    def _router(self, when: float) -> int:
        if self._load.scenario is Scenario.SHIFT and self._load.is_disturbed(when):
            return int(self._rng.integers(max(1, self._routers // 3)))
        return int(self._rng.integers(self._routers))

    def _caller(self, when: float) -> Caller:
        kind = KINDS[self._rng.choice(len(KINDS), p=[kind.fraction for kind in KINDS])]
        return Caller(
            team=self._team(when),
            arrived_at=when,
            prompt=self._prompt(kind, when),
            objective_s=kind.objective_s,
            kind=kind.name,
            pause_limit_s=_PAUSE_LIMIT_S,
            max_resubmissions=_MAX_RESUBMISSIONS,
        )

    def _team(self, when: float) -> TeamId:
        if self._load.scenario is Scenario.HOT_TEAM and self._load.is_disturbed(when):
            if self._rng.random() < 0.6:
                return TeamId("t3")
        return TeamId(f"t{self._rng.choice(_TEAM_COUNT, p=self._team_weights)}")

    def _prompt(self, kind: RequestKind, when: float) -> Prompt:
        subject = self._subject(kind, when)
        shared = PromptPart(
            PartId(f"{kind.name}{subject}"), int(self._shared_sizes[kind.name][subject])
        )
        unique_tokens = int(self._lognormal(kind.unique_tokens, 0.9, 1)[0])
        unique = PromptPart(PartId(f"own{when}"), unique_tokens)
        output_tokens = int(self._lognormal(kind.output_tokens, 0.9, 1)[0])
        return Prompt((shared, unique), shared.tokens + unique_tokens, output_tokens)

    def _subject(self, kind: RequestKind, when: float) -> int:
        if self._load.scenario is Scenario.HOT_SUBJECT and self._load.is_disturbed(when):
            if self._rng.random() < 0.6:
                return 0
        return int(self._rng.choice(kind.subjects, p=_zipf_weights(kind.subjects, _SUBJECT_SKEW)))


def _zipf_weights(count: int, skew: float) -> np.ndarray:
    weights = 1.0 / np.arange(1, count + 1) ** skew
    return weights / weights.sum()


def run_load(fleet: Fleet, load: Load, on_disturbance: Callable[[], None] = lambda: None) -> None:
    """Run a load to its end; ``on_disturbance`` is called when the disturbance starts."""
    for when, router, caller in Arrivals(load, len(fleet.pools)).draw():
        fleet.timeline.at(when, fleet.submit, router, caller)
    fleet.timeline.at(load.disturbance_start, on_disturbance)
    fleet.run(load.seconds + 10.0)
