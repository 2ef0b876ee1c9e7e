"""What a request's log line costs a router."""

import os
import time
from dataclasses import dataclass

from loguru import logger

from turmerictray.core.log_sink import LineBudget, StdoutSink
from turmerictray.core.logs import format_event

_LINES = 4000
_FIELDS = {
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
    """Processor time of log lines.

    Attributes
    ----------
    line_s : float
        Processor seconds for one line, from the call to the write.
    left_out_s : float
        The same for a line that the budget leaves out.
    most_lines_per_s : int
        Lines of requests that a process writes in a second at most.
    """

    line_s: float
    left_out_s: float
    most_lines_per_s: int

    @property
    def most_core_share(self) -> float:
        """Part of a core that lines of requests take at most, while none is left out."""
        return self.line_s * self.most_lines_per_s


def measure_log_cost() -> LogCost:
    """Write lines as a router does, to a place that takes all, and count the processor time."""
    budget = LineBudget()
    most = sum(budget.limits.values())
    fd = os.open(os.devnull, os.O_WRONLY)
    sink = StdoutSink(fd)
    logger.remove()
    handler = logger.add(sink, format="{message}", level="INFO", catch=False)
    try:
        begun = time.process_time()
        for number in range(_LINES):
            logger.info(format_event("request", _FIELDS))
            if number % most == 0:
                time.sleep(0.01)  # Lets the writer catch up, as it does in a second of real load.
        sink.close()
        line_s = (time.process_time() - begun) / _LINES
    finally:
        logger.remove(handler)
        os.close(fd)
    return LogCost(line_s, _left_out_cost(budget), most)


def _left_out_cost(budget: LineBudget) -> float:
    while budget.try_spend(failed=False):
        pass
    begun = time.process_time()
    for _ in range(_LINES):
        budget.try_spend(failed=False)
    return (time.process_time() - begun) / _LINES
