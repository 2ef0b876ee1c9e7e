"""Logging never makes a request wait, and never grows without bound."""

import os
import time

from turmerictray.core import log_sink
from turmerictray.core.log_sink import LineBudget, StdoutSink


class EndlessLines:
    """A queue that is never empty until it ends."""

    def __init__(self, count: int) -> None:
        self._left = count

    def get(self) -> str | None:
        self._left -= 1
        return "line\n" if self._left > 0 else None

    get_nowait = get


def test_reader_that_stalls_costs_lines_not_time():
    # Nobody reads the pipe. A write would block as soon as it is full, and with it the thread that
    # serves a caller.
    reader, writer = os.pipe()
    sink = StdoutSink(writer)
    begun = time.monotonic()
    for _ in range(20_000):
        sink("x" * 200 + "\n")
    took = time.monotonic() - begun
    os.close(reader)
    assert sink.dropped > 10_000
    assert took < 2.0


def test_batch_is_bounded_while_lines_keep_coming(monkeypatch):
    # Lines come as fast as they are taken. A batch that ends only when the queue is empty holds
    # all of them, outside the bound of the queue, and writes none.
    written = []
    monkeypatch.setattr(log_sink, "_write_all", lambda fd, data: written.append(data))
    sink = StdoutSink.__new__(StdoutSink)
    sink._fd = -1
    sink._lines = EndlessLines(5000)
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


def test_answered_requests_do_not_push_out_failures():
    budget = LineBudget(successes_per_s=5, failures_per_s=5)
    budget._turn = lambda second: None
    assert sum(budget.take(failed=False) for _ in range(100)) == 5
    assert all(budget.take(failed=True) for _ in range(5))
    assert budget.left_out() == 95
    assert budget.left_out() == 0
