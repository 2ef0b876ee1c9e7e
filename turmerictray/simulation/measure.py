"""Measurement of simulation runs and a table that compares them."""

from collections import defaultdict
from dataclasses import dataclass, field

import numpy as np

from turmerictray.core.ids import TeamId
from turmerictray.simulation.fleet import Fleet
from turmerictray.simulation.loads import KINDS, Load
from turmerictray.simulation.strategies import STRATEGIES, PlacementStrategy, run_strategy

_SAMPLE_INTERVAL_S = 0.5
_FAIRNESS_WINDOW_S = 3.0
_MIN_BACKLOG = 3
"""Minimum number of pending requests in the fleet for a team to count as backlogged."""


@dataclass(frozen=True)
class Sample:
    """State of the fleet at one time.

    Attributes
    ----------
    at_s : float
        Virtual time in seconds.
    fairness_gap : float
        Difference in service over the last ``_FAIRNESS_WINDOW_S`` between the most and the least
        served backlogged team, divided by the mean over the backlogged teams; 0 with fewer than two
        of them.
    busy_fraction : float
        Fraction of the engines' time since the previous sample during which they were busy.
    refused : int
        Number of refusals since the start.
    """

    at_s: float
    fairness_gap: float
    busy_fraction: float
    refused: int


@dataclass
class Result:
    """Measurements of one run.

    Attributes
    ----------
    strategy : str
        Name of the placement strategy.
    utility : float
        Utility of the requests answered in time, divided by the utility of all requests.
    in_time_fraction : float
        Fraction of all requests that were answered in time.
    unserved_fraction : float
        Fraction of all requests that never received a first event, for example because they were
        refused again after a retry.
    first_event_s : dict of str to ndarray
        Seconds from the first submission to the first event of served requests, by kind.
    reread_fraction : float
        Tokens of shared prompt parts that were prefilled more than once, divided by all prefilled
        tokens.
    samples : list of Sample
        Samples taken during the run.
    """

    strategy: str
    utility: float
    in_time_fraction: float
    unserved_fraction: float
    first_event_s: dict[str, np.ndarray]
    reread_fraction: float
    samples: list[Sample] = field(default_factory=list)

    @property
    def busy_fraction(self) -> float:
        """Mean fraction of time during which the engines were busy."""
        return float(np.mean([sample.busy_fraction for sample in self.samples]))

    @property
    def fairness_gap(self) -> float:
        """Mean fairness gap over the samples with a non-zero gap."""
        gaps = [sample.fairness_gap for sample in self.samples if sample.fairness_gap]
        return float(np.mean(gaps)) if gaps else 0.0


class FleetSampler:
    """Periodic sampler of a running fleet."""

    def __init__(self, until: float) -> None:
        self.samples: list[Sample] = []
        self._until = until
        self._served: list[tuple[float, dict[TeamId, float]]] = []
        self._busy_s = 0.0

    def start(self, fleet: Fleet) -> None:
        """Start sampling."""
        fleet.timeline.at(fleet.now + _SAMPLE_INTERVAL_S, self._sample, fleet)

    def _sample(self, fleet: Fleet) -> None:
        busy_s = sum(engine.busy_s for engine in fleet.engines.values())
        busy = (busy_s - self._busy_s) / (_SAMPLE_INTERVAL_S * len(fleet.engines))
        self._busy_s = busy_s
        refused = sum(caller.refusals for caller in fleet.callers)
        self.samples.append(Sample(fleet.now, self._fairness_gap(fleet), busy, refused))
        if fleet.now + _SAMPLE_INTERVAL_S <= self._until:
            fleet.timeline.at(fleet.now + _SAMPLE_INTERVAL_S, self._sample, fleet)

    def _fairness_gap(self, fleet: Fleet) -> float:
        served: dict[TeamId, float] = defaultdict(float)
        for caller in fleet.callers:
            if caller.run is not None:
                served[caller.team] += caller.prompt.cost
        self._served.append((fleet.now, served))
        earlier = next(s for at, s in self._served if at >= fleet.now - _FAIRNESS_WINDOW_S)
        teams = _backlogged(fleet)
        recent = [served[team] - earlier.get(team, 0.0) for team in teams]
        mean = np.mean(recent) if recent else 0.0
        return float((max(recent) - min(recent)) / mean) if len(recent) > 1 and mean else 0.0


def _backlogged(fleet: Fleet) -> set[TeamId]:
    waiting: dict[TeamId, int] = defaultdict(int)
    for pool in fleet.pools:
        for team in pool.queue.backlogged():
            waiting[team] += pool.queue.depth(team)
    return {team for team, count in waiting.items() if count >= _MIN_BACKLOG}


def measure(strategy: PlacementStrategy, load: Load, routers: int, engines: int) -> Result:
    """Run a load with one placement strategy and measure the results."""
    sampler = FleetSampler(load.seconds)
    fleet = run_strategy(strategy, load, routers, engines, sampler.start)
    callers = fleet.callers
    utility = {kind.name: kind.utility for kind in KINDS}
    offered = sum(utility[caller.kind] for caller in callers)
    achieved = sum(utility[caller.kind] for caller in callers if caller.in_time)
    unserved = sum(caller.first_at is None for caller in callers)
    return Result(
        strategy=strategy.name,
        utility=achieved / offered,
        in_time_fraction=sum(caller.in_time for caller in callers) / len(callers),
        unserved_fraction=unserved / len(callers),
        first_event_s=_first_event_times(fleet),
        reread_fraction=_reread_fraction(fleet),
        samples=sampler.samples,
    )


def _first_event_times(fleet: Fleet) -> dict[str, np.ndarray]:
    times: dict[str, list[float]] = {kind.name: [] for kind in KINDS}
    for caller in fleet.callers:
        if caller.first_at is not None:
            times[caller.kind].append(caller.first_at - caller.arrived_at)
    return {kind: np.array(values) for kind, values in times.items()}


def _reread_fraction(fleet: Fleet) -> float:
    served = [caller for caller in fleet.callers if caller.run is not None]
    unique_tokens = sum(caller.prompt.parts[-1].tokens for caller in served)
    shared_tokens = {
        part.part_id: part.tokens for caller in served for part in caller.prompt.shared
    }
    prefilled = sum(engine.read_tokens for engine in fleet.engines.values())
    return max(0.0, prefilled - unique_tokens - sum(shared_tokens.values())) / max(prefilled, 1)


def compare_strategies(
    load: Load, routers: int, engines: int, strategies: tuple[PlacementStrategy, ...] = STRATEGIES
) -> list[Result]:
    """Run the same load with several placement strategies."""
    return [measure(strategy, load, routers, engines) for strategy in strategies]


def format_results(load: Load, results: list[Result]) -> str:
    """Format a table with one row per placement strategy."""
    head = (
        f"{load.scenario.value}, {load.per_s:g} requests/s for {load.seconds:g} s, seed {load.seed}"
    )
    lines = [head, _TABLE_HEADER]
    for res in results:
        firsts = " ".join(_quantiles(res.first_event_s[kind.name]) for kind in KINDS)
        lines.append(
            f"{res.strategy:<24}{res.utility:>7.3f}{res.in_time_fraction:>9.3f}"
            f"{res.unserved_fraction:>10.3f}{res.reread_fraction:>8.3f}{res.busy_fraction:>7.2f}"
            f"{res.fairness_gap:>6.2f}  {firsts}"
        )
    return "\n".join(lines)


_TABLE_HEADER = (
    f"{'way':<24}{'worth':>7}{'in time':>9}{'unserved':>10}{'again':>8}{'busy':>7}{'gap':>6}  "
    + " ".join(f"{kind.name + ' p50/p95 ms':<19}" for kind in KINDS)
)


def _quantiles(times: np.ndarray) -> str:
    if not len(times):
        return f"{'-':<19}"
    median, p95 = np.quantile(times, [0.5, 0.95]) * 1000
    return f"{f'{median:.0f}/{p95:.0f}':<19}"
