"""Sums over many records, in memory that does not grow with the logs."""

import math
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from turmerictray.analysis.records import Fate, LeftOut, PoolSecond, Record

WINDOW_S = 2.0

_STEPS_A_DECADE = 40
"""Buckets of a histogram for each power of ten: quantiles are exact to some 6 in 100."""


class Spread:
    """The distribution of positive numbers, in buckets that grow by a constant factor."""

    def __init__(self) -> None:
        self._counts: Counter[int] = Counter()
        self.total = 0

    def add(self, value: float) -> None:
        """Count a number; those below a thousandth count as one thousandth."""
        self._counts[round(math.log10(max(value, 0.001)) * _STEPS_A_DECADE)] += 1
        self.total += 1

    def quantile(self, part: float) -> float | None:
        """The number that this part of all is not above; None if there is none."""
        seen = 0
        for step in sorted(self._counts):
            seen += self._counts[step]
            if seen >= part * self.total:
                return 10 ** (step / _STEPS_A_DECADE)
        return None


@dataclass
class Tally:
    """What became of a group of requests.

    Attributes
    ----------
    fates : Counter of Fate
    reasons : Counter of (Fate, str)
        Why requests were refused, cut or left.
    wait_s, engine_s : Spread
        From the head to the grant, and from there to the first event.
    estimate : Spread
        First event seen over expected, from the grant.
    read_tokens, again_tokens : int
        To be read for prompts; of these, of shared parts.
    moved : int
        Requests whose kept parts were fetched from another engine.
    """

    fates: Counter[Fate] = field(default_factory=Counter)
    reasons: Counter[tuple[Fate, str]] = field(default_factory=Counter)
    wait_s: Spread = field(default_factory=Spread)
    engine_s: Spread = field(default_factory=Spread)
    estimate: Spread = field(default_factory=Spread)
    read_tokens: int = 0
    again_tokens: int = 0
    moved: int = 0

    def add(self, record: Record) -> None:
        """Count a record."""
        self.fates[record.fate] += record.count
        if record.fate not in (Fate.IN_TIME, Fate.LATE_START, Fate.LATE_PAUSE):
            self.reasons[record.fate, record.reason] += record.count
        if record.wait_s is not None:
            self.wait_s.add(record.wait_s)
        self._add_engine(record)
        self.read_tokens += record.miss_tokens or 0
        self.again_tokens += record.again_tokens or 0
        self.moved += record.moved

    def _add_engine(self, record: Record) -> None:
        engine_s = record.engine_s
        if engine_s is None:
            return
        self.engine_s.add(engine_s)
        if record.expected_s:
            self.estimate.add(engine_s / record.expected_s)

    @property
    def requests(self) -> int:
        """All requests of the group."""
        return sum(self.fates.values())

    @property
    def lost(self) -> int:
        """Requests that were not answered in time."""
        return self.requests - self.fates[Fate.IN_TIME]


@dataclass
class PoolTally:
    """What all pools of a service did in a second; see :class:`PoolSecond`."""

    waiting: int = 0
    pace_per_s: float = 0.0
    ready: int = 0
    idle: int = 0
    sent: int = 0
    refused: int = 0

    def add(self, second: PoolSecond) -> None:
        """Add one pool's."""
        self.waiting += second.waiting
        self.pace_per_s += second.pace_per_s
        self.ready += second.ready
        self.idle += second.idle
        self.sent += second.sent
        self.refused += second.refused


Dimension = Callable[[Record], str]

DIMENSIONS: dict[str, Dimension] = {
    "route": lambda record: record.route,
    "team": lambda record: record.team,
    "zone": lambda record: record.zone,
    "scheduler": lambda record: record.scheduler,
}


@dataclass(frozen=True)
class Loss:
    """Requests that were lost in one way."""

    count: int
    what: str


class Analysis:
    """Tallies by each dimension and by windows of two seconds."""

    def __init__(self) -> None:
        self.whole = Tally()
        self.groups: dict[str, defaultdict[str, Tally]] = {
            name: defaultdict(Tally) for name in DIMENSIONS
        }
        self.windows: defaultdict[int, Tally] = defaultdict(Tally)
        self.pools: defaultdict[tuple[str, int], PoolTally] = defaultdict(PoolTally)
        self.left_out: Counter[str] = Counter()

    def add(self, found: Record | PoolSecond | LeftOut | None) -> None:
        """Count what a line says."""
        if isinstance(found, LeftOut):
            self.left_out[found.node] += found.count
        elif isinstance(found, PoolSecond):
            self.pools[found.service, int(found.at)].add(found)
        elif found is not None:
            self._add(found)

    def _add(self, record: Record) -> None:
        self.whole.add(record)
        for name, of in DIMENSIONS.items():
            self.groups[name][of(record)].add(record)
        self.windows[int(record.at // WINDOW_S)].add(record)

    def timeline(self) -> list[tuple[float, Tally]]:
        """Windows in order, each with its seconds from the first."""
        first = min(self.windows, default=0)
        return [((at - first) * WINDOW_S, self.windows[at]) for at in sorted(self.windows)]

    def pool_seconds(self) -> list[tuple[str, int, PoolTally]]:
        """Service, second from the first of all, and tally, in order."""
        first = min((at for _, at in self.pools), default=0)
        return [(name, at - first, self.pools[name, at]) for name, at in sorted(self.pools)]

    def losses(self, most: int) -> list[Loss]:
        """The largest losses: late and failed ones by their cause, the others by their reason."""
        found = [
            Loss(self.whole.fates[fate], fate.value)
            for fate in (Fate.LATE_START, Fate.LATE_PAUSE)
            if self.whole.fates[fate]
        ]
        for (fate, reason), count in self.whole.reasons.items():
            found.append(Loss(count, f"{fate.value}: {reason}"))
        return sorted(found, key=lambda loss: loss.count, reverse=True)[:most]
