"""Tests that logging never blocks a request and uses bounded memory."""

import os
import subprocess
import sys
import time

from turmerictray.core import log_sink
from turmerictray.core.log_sink import LineBudget, StdoutSink


class ContinuousLines:
    """A queue that always has another line until it returns the end marker."""

    def __init__(self, count: int) -> None:
        self._remaining = count

    def get(self) -> str | None:
        self._remaining -= 1
        return "line\n" if self._remaining > 0 else None

    get_nowait = get


def test_lines_are_dropped_if_reader_stalls():
    # Nobody reads the pipe. Once it is full, a direct write would block the thread that serves a
    # caller.
    reader, writer = os.pipe()
    sink = StdoutSink(writer)
    start = time.monotonic()
    for _ in range(20_000):
        sink("x" * 200 + "\n")
    elapsed = time.monotonic() - start
    os.close(reader)
    assert sink.dropped > 10_000
    assert elapsed < 2.0


def test_batch_is_bounded_under_continuous_load(monkeypatch):
    # Lines arrive as fast as they are collected. A batch that ends only when the queue is empty
    # would collect all of them, outside the bounded queue, and write none.
    written = []
    monkeypatch.setattr(log_sink, "_write_all", lambda fd, data: written.append(data))
    sink = StdoutSink.__new__(StdoutSink)
    sink._fd = -1
    sink._lines = ContinuousLines(5000)
    sink._run()
    assert len(written) > 10
    assert max(len(data) for data in written) < 3000


def test_lines_are_written_in_order():
    reader, writer = os.pipe()
    sink = StdoutSink(writer)
    for number in range(50):
        sink(f"{number}\n")
    sink.close()
    assert os.read(reader, 65536).decode().split() == [str(number) for number in range(50)]
    os.close(reader)
    os.close(writer)


def test_successes_do_not_use_up_budget_of_failures():
    budget = LineBudget(successes_per_s=5, failures_per_s=5)
    budget._reset_if_new_second = lambda second: None
    assert sum(budget.try_spend(failed=False) for _ in range(100)) == 5
    assert all(budget.try_spend(failed=True) for _ in range(5))
    assert budget.pop_dropped_count() == 95
    assert budget.pop_dropped_count() == 0


LAST_LINE_PROGRAM = """
from turmerictray.core.logs import log_event, setup_logging

setup_logging("router", "r1", stderr=False, stdout=True)
for number in range(1500):
    log_event("line", number=number)
log_event("last_line")
"""


def test_last_line_is_written_before_the_process_ends():
    """Guards against a log without the lines that tell why a process ended."""
    for _ in range(5):
        proc = subprocess.run(
            [sys.executable, "-c", LAST_LINE_PROGRAM], capture_output=True, text=True, timeout=15
        )
        assert "event=last_line" in proc.stdout
