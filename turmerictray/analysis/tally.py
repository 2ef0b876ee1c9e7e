"""Aggregation of many records in memory that does not grow with the number of lines."""

import math
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from turmerictray.analysis.records import OmittedLines, PoolSample, Record, RequestOutcome

WINDOW_S = 2.0

_BUCKETS_PER_DECADE = 40
"""Histogram buckets per power of ten; quantiles are accurate to about 6 %."""


class Histogram:
    """Histogram of positive numbers with logarithmic buckets."""

    def __init__(self) -> None:
        self._counts: Counter[int] = Counter()
        self.total = 0

    def add(self, value: float) -> None:
        """Add a value; values below 0.001 are counted as 0.001."""
        self._counts[round(math.log10(max(value, 0.001)) * _BUCKETS_PER_DECADE)] += 1
        self.total += 1

    def quantile(self, fraction: float) -> float | None:
        """Return the value that a fraction of all values does not exceed; None if empty."""
        seen = 0
        for bucket in sorted(self._counts):
            seen += self._counts[bucket]
            if seen >= fraction * self.total:
                return 10 ** (bucket / _BUCKETS_PER_DECADE)
        return None


@dataclass
class Tally:
    """Outcomes, times and tokens of a group of requests.

    Attributes
    ----------
    fates : Counter of RequestOutcome
        Number of requests per outcome.
    reasons : Counter of (RequestOutcome, str)
        Number of requests per outcome and reason, for those that were refused, failed or left by
        the caller.
    wait_s, engine_s : Histogram
        Time from the request head to the grant, and from the grant to the first event.
    estimate : Histogram
        Ratio of the observed to the expected time from the grant to the first event.
    read_tokens, again_tokens : int
        Prompt tokens that engines had to process, and those among them in shared prompt parts.
    moved : int
        Requests whose cached parts were fetched from another engine.
    """

    fates: Counter[RequestOutcome] = field(default_factory=Counter)
    reasons: Counter[tuple[RequestOutcome, str]] = field(default_factory=Counter)
    wait_s: Histogram = field(default_factory=Histogram)
    engine_s: Histogram = field(default_factory=Histogram)
    estimate: Histogram = field(default_factory=Histogram)
    read_tokens: int = 0
    again_tokens: int = 0
    moved: int = 0

    def add(self, record: Record) -> None:
        """Add a record."""
        self.fates[record.outcome] += record.count
        if record.outcome not in (
            RequestOutcome.IN_TIME,
            RequestOutcome.LATE_FIRST_EVENT,
            RequestOutcome.LATE_PAUSE,
        ):
            self.reasons[record.outcome, record.reason] += record.count
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
        """Number of all requests in the group."""
        return sum(self.fates.values())

    @property
    def not_in_time(self) -> int:
        """Number of requests that were not answered in time."""
        return self.requests - self.fates[RequestOutcome.IN_TIME]


@dataclass
class PoolTally:
    """Sum over the pools of a service for one second; see :class:`PoolSample`."""

    waiting: int = 0
    pace_per_s: float = 0.0
    ready: int = 0
    idle: int = 0
    sent: int = 0
    refused: int = 0

    def add(self, sample: PoolSample) -> None:
        """Add the sample of one pool."""
        self.waiting += sample.waiting
        self.pace_per_s += sample.pace_per_s
        self.ready += sample.ready
        self.idle += sample.idle
        self.sent += sample.sent
        self.refused += sample.refused


Dimension = Callable[[Record], str]

DIMENSIONS: dict[str, Dimension] = {
    "route": lambda record: record.route,
    "team": lambda record: record.team,
    "zone": lambda record: record.zone,
    "scheduler": lambda record: record.scheduler,
}


@dataclass(frozen=True)
class Loss:
    """Number of requests not answered in time for the same cause."""

    count: int
    what: str


class Analysis:
    """Tallies per dimension, per window of ``WINDOW_S`` seconds and per pool and second."""

    def __init__(self) -> None:
        self.overall = Tally()
        self.groups: dict[str, defaultdict[str, Tally]] = {
            name: defaultdict(Tally) for name in DIMENSIONS
        }
        self.windows: defaultdict[int, Tally] = defaultdict(Tally)
        self.pools: defaultdict[tuple[str, int], PoolTally] = defaultdict(PoolTally)
        self.omitted_lines: Counter[str] = Counter()

    def add(self, entry: Record | PoolSample | OmittedLines | None) -> None:
        """Add the parsed content of a log line."""
        if isinstance(entry, OmittedLines):
            self.omitted_lines[entry.node] += entry.count
        elif isinstance(entry, PoolSample):
            self.pools[entry.service, int(entry.at)].add(entry)
        elif entry is not None:
            self._add_record(entry)

    def _add_record(self, record: Record) -> None:
        self.overall.add(record)
        for name, key_of in DIMENSIONS.items():
            self.groups[name][key_of(record)].add(record)
        self.windows[int(record.at // WINDOW_S)].add(record)

    def timeline(self) -> list[tuple[float, Tally]]:
        """Return all windows in order, each with its offset in seconds from the first."""
        first = min(self.windows, default=0)
        return [((at - first) * WINDOW_S, self.windows[at]) for at in sorted(self.windows)]

    def pool_timeline(self) -> list[tuple[str, int, PoolTally]]:
        """Return service, offset in seconds from the first sample, and tally, in order."""
        first = min((at for _, at in self.pools), default=0)
        return [(name, at - first, self.pools[name, at]) for name, at in sorted(self.pools)]

    def losses(self, max_losses: int) -> list[Loss]:
        """Return the largest losses: late requests by outcome, all others by reason."""
        losses = [
            Loss(self.overall.fates[outcome], outcome.value)
            for outcome in (RequestOutcome.LATE_FIRST_EVENT, RequestOutcome.LATE_PAUSE)
            if self.overall.fates[outcome]
        ]
        for (outcome, reason), count in self.overall.reasons.items():
            losses.append(Loss(count, f"{outcome.value}: {reason}"))
        return sorted(losses, key=lambda loss: loss.count, reverse=True)[:max_losses]
