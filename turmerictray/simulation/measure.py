"""What callers got in a run, and a report that sets several runs side by side."""

from collections import defaultdict
from dataclasses import dataclass, field

import numpy as np

from turmerictray.core.ids import TeamId
from turmerictray.simulation.fleet import Fleet
from turmerictray.simulation.loads import KINDS, Load
from turmerictray.simulation.ways import WAYS, Way, play_way

_SAMPLE_S = 0.5
_GAP_WINDOW_S = 3.0
_LEAST_WAITING = 3
"""Waiting requests in the fleet from which a team counts as backlogged."""


@dataclass(frozen=True)
class Sample:
    """The fleet at one moment.

    Attributes
    ----------
    at_s : float
    gap : float
        Difference between the most and the least served backlogged team of the last seconds, as a
        part of what all had on average; 0 with fewer than two backlogged.
    busy : float
        Part of the engines' time since the sample before in which they worked.
    refused : int
        Refusals since the start.
    """

    at_s: float
    gap: float
    busy: float
    refused: int


@dataclass
class Result:
    """Figures of one run.

    Attributes
    ----------
    worth : float
        Worth of the answers in time, as a part of the worth of all that was asked.
    in_time, refused : float
        Parts of all requests; refused ones came back and were refused again.
    first_s : dict of str to ndarray
        Seconds from the first attempt to the first event, by kind, of the served ones.
    read_again : float
        Tokens of shared parts that were read again, as a part of all tokens read.
    samples : list of Sample
    """

    way: str
    worth: float
    in_time: float
    refused: float
    first_s: dict[str, np.ndarray]
    read_again: float
    samples: list[Sample] = field(default_factory=list)

    @property
    def busy(self) -> float:
        """Part of the engines' time in which they worked."""
        return float(np.mean([sample.busy for sample in self.samples]))

    @property
    def gap(self) -> float:
        """The mean gap between backlogged teams, over the samples with two or more of them."""
        gaps = [sample.gap for sample in self.samples if sample.gap]
        return float(np.mean(gaps)) if gaps else 0.0


class Watch:
    """Samples a fleet while it runs."""

    def __init__(self, until: float) -> None:
        self.samples: list[Sample] = []
        self._until = until
        self._served: list[tuple[float, dict[TeamId, float]]] = []
        self._busy_s = 0.0

    def begin(self, fleet: Fleet) -> None:
        """Sample from now on."""
        fleet.timeline.at(fleet.now + _SAMPLE_S, self._sample, fleet)

    def _sample(self, fleet: Fleet) -> None:
        busy_s = sum(engine.busy_s for engine in fleet.engines.values())
        busy = (busy_s - self._busy_s) / (_SAMPLE_S * len(fleet.engines))
        self._busy_s = busy_s
        refused = sum(caller.refusals for caller in fleet.callers)
        self.samples.append(Sample(fleet.now, self._gap(fleet), busy, refused))
        if fleet.now + _SAMPLE_S <= self._until:
            fleet.timeline.at(fleet.now + _SAMPLE_S, self._sample, fleet)

    def _gap(self, fleet: Fleet) -> float:
        served: dict[TeamId, float] = defaultdict(float)
        for caller in fleet.callers:
            if caller.run is not None:
                served[caller.team] += caller.prompt.cost
        self._served.append((fleet.now, served))
        before = next(s for at, s in self._served if at >= fleet.now - _GAP_WINDOW_S)
        teams = _backlogged(fleet)
        lately = [served[team] - before.get(team, 0.0) for team in teams]
        mean = np.mean(lately) if lately else 0.0
        return float((max(lately) - min(lately)) / mean) if len(lately) > 1 and mean else 0.0


def _backlogged(fleet: Fleet) -> set[TeamId]:
    waiting: dict[TeamId, int] = defaultdict(int)
    for pool in fleet.pools:
        for team in pool.queue.backlogged():
            waiting[team] += pool.queue.depth(team)
    return {team for team, count in waiting.items() if count >= _LEAST_WAITING}


def measure(way: Way, load: Load, routers: int, engines: int) -> Result:
    """Play a load in one way and measure what callers got."""
    watch = Watch(load.seconds)
    fleet = play_way(way, load, routers, engines, watch.begin)
    callers = fleet.callers
    worth = {kind.name: kind.worth for kind in KINDS}
    asked = sum(worth[caller.kind] for caller in callers)
    got = sum(worth[caller.kind] for caller in callers if caller.in_time)
    unserved = sum(caller.first_at is None for caller in callers)
    return Result(
        way=way.name,
        worth=got / asked,
        in_time=sum(caller.in_time for caller in callers) / len(callers),
        refused=unserved / len(callers),
        first_s=_first_by_kind(fleet),
        read_again=_read_again(fleet),
        samples=watch.samples,
    )


def _first_by_kind(fleet: Fleet) -> dict[str, np.ndarray]:
    times: dict[str, list[float]] = {kind.name: [] for kind in KINDS}
    for caller in fleet.callers:
        if caller.first_at is not None:
            times[caller.kind].append(caller.first_at - caller.arrived)
    return {kind: np.array(values) for kind, values in times.items()}


def _read_again(fleet: Fleet) -> float:
    served = [caller for caller in fleet.callers if caller.run is not None]
    own = sum(caller.prompt.parts[-1].tokens for caller in served)
    once = {part.part_id: part.tokens for caller in served for part in caller.prompt.shared}
    read = sum(engine.read_tokens for engine in fleet.engines.values())
    return max(0.0, read - own - sum(once.values())) / max(read, 1)


def compare(load: Load, routers: int, engines: int, ways: tuple[Way, ...] = WAYS) -> list[Result]:
    """Play the same load in several ways."""
    return [measure(way, load, routers, engines) for way in ways]


def format_results(load: Load, results: list[Result]) -> str:
    """A table with a line for each way."""
    head = f"{load.shape.value}, {load.per_s:g} requests/s for {load.seconds:g} s, seed {load.seed}"
    lines = [head, _HEADINGS]
    for res in results:
        firsts = " ".join(_quantiles(res.first_s[kind.name]) for kind in KINDS)
        lines.append(
            f"{res.way:<24}{res.worth:>7.3f}{res.in_time:>9.3f}{res.refused:>10.3f}"
            f"{res.read_again:>8.3f}{res.busy:>7.2f}{res.gap:>6.2f}  {firsts}"
        )
    return "\n".join(lines)


_HEADINGS = (
    f"{'way':<24}{'worth':>7}{'in time':>9}{'unserved':>10}{'again':>8}{'busy':>7}{'gap':>6}  "
    + " ".join(f"{kind.name + ' p50/p95 ms':<19}" for kind in KINDS)
)


def _quantiles(times: np.ndarray) -> str:
    if not len(times):
        return f"{'-':<19}"
    middle, late = np.quantile(times, [0.5, 0.95]) * 1000
    return f"{f'{middle:.0f}/{late:.0f}':<19}"
