"""Measurement of the processor time of a router's request log lines."""

import os
import time
from dataclasses import dataclass

from loguru import logger

from turmerictray.core.log_sink import LineBudget, StdoutSink
from turmerictray.core.logs import format_event

_LINE_COUNT = 4000
_SAMPLE_FIELDS = {
    "req": "9c41d07be2a35f68",
    "team": "depot",
    "route": "route-plan",
    "service": "llm",
    "text": 1700,
    "due_ms": 12000,
    "part": "5c1e07a2",
    "input": 17020,
    "own": 3720,
    "target": "i-7f3a91c2",
    "wait_ms": 120,
    "expected_ms": 250,
    "miss_tokens": 3720,
    "ahead_tokens": 9000,
    "first_ms": 410,
    "tries": 1,
    "events": 40,
    "outcome": "answered",
    "status": 200,
    "ms": 2210,
}


@dataclass(frozen=True)
class LogCost:
    """Processor time of request log lines.

    Attributes
    ----------
    line_s : float
        Processor seconds of one line, from the log call to the write.
    left_out_s : float
        The same for a line that is dropped because the line budget is used up.
    most_lines_per_s : int
        Largest number of request lines that a process writes per second.
    """

    line_s: float
    left_out_s: float
    most_lines_per_s: int

    @property
    def max_core_fraction(self) -> float:
        """Largest fraction of a core used for request lines, not counting dropped ones."""
        return self.line_s * self.most_lines_per_s


def measure_log_cost() -> LogCost:
    """Write request lines to the null device as a router does and measure processor time."""
    budget = LineBudget()
    max_lines = sum(budget.limits.values())
    fd = os.open(os.devnull, os.O_WRONLY)
    sink = StdoutSink(fd)
    logger.remove()
    handler = logger.add(sink, format="{message}", level="INFO", catch=False)
    try:
        started = time.process_time()
        for number in range(_LINE_COUNT):
            logger.info(format_event("request", _SAMPLE_FIELDS))
            if number % max_lines == 0:
                time.sleep(0.01)  # Let the writer thread catch up, as it can under real load.
        sink.close()
        line_s = (time.process_time() - started) / _LINE_COUNT
    finally:
        logger.remove(handler)
        os.close(fd)
    return LogCost(line_s, _measure_left_out_cost(budget), max_lines)


def _measure_left_out_cost(budget: LineBudget) -> float:
    while budget.try_spend(failed=False):
        pass
    started = time.process_time()
    for _ in range(_LINE_COUNT):
        budget.try_spend(failed=False)
    return (time.process_time() - started) / _LINE_COUNT
