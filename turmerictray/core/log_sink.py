"""A non-blocking log sink for standard output, and a rate limit for log lines of requests."""

import os
import queue
import threading
import time

_MAX_QUEUED_LINES = 2000
"""Lines that wait to be written, 600 KB at 300 bytes each. If the reader stalls for longer, lines
are dropped instead of delaying requests."""

_MAX_BATCH_LINES = 200
"""Lines written with one system call; at 300 bytes each they fill the usual buffer of a pipe."""

_STDOUT = 1


class StdoutSink:
    """Writes lines on its own thread and drops them while the pipe is not read.

    An instance is a loguru sink.

    Parameters
    ----------
    fd : int
        File descriptor that lines are written to.

    Attributes
    ----------
    dropped : int
        Lines that did not fit into the queue.
    """

    def __init__(self, fd: int = _STDOUT) -> None:
        self._fd = fd
        self._lines: queue.Queue[str | None] = queue.Queue(_MAX_QUEUED_LINES)
        self.dropped = 0
        self._thread = threading.Thread(target=self._run, name="log-sink", daemon=True)
        self._thread.start()

    def __call__(self, message: str) -> None:
        try:
            self._lines.put_nowait(str(message))
        except queue.Full:
            self.dropped += 1

    def close(self) -> None:
        """Write the queued lines and stop the thread; waits at most a second for each."""
        if not self._thread.is_alive():
            return
        try:
            self._lines.put(None, timeout=1.0)
        except queue.Full:
            return
        self._thread.join(timeout=1.0)

    def _run(self) -> None:
        while (line := self._lines.get()) is not None:
            lines, closed = self._collect_batch(line)
            # A caller's header may hold what can't be encoded; the thread must outlive such a line.
            _write_all(self._fd, "".join(lines).encode(errors="backslashreplace"))
            if closed:
                return

    def _collect_batch(self, first: str) -> tuple[list[str], bool]:
        """Collect the lines to write with ``first``; also return whether the sink was closed.

        The batch is bounded: if lines arrive as fast as they are collected, an unbounded batch
        would grow forever, outside the bounded queue, and never be written.
        """
        lines = [first]
        while len(lines) < _MAX_BATCH_LINES:
            try:
                line = self._lines.get_nowait()
            except queue.Empty:
                break
            if line is None:
                return lines, True
            lines.append(line)
        return lines, False


def _write_all(fd: int, data: bytes) -> None:
    while data:
        try:
            data = data[os.write(fd, data) :]
        except OSError:
            # Nobody reads the log any more, so the error can't be reported anywhere.
            return


class LineBudget:
    """Limits the log lines per second that are written about requests.

    Failures and successes have separate budgets, so that many answered requests do not displace the
    lines that explain a failure.

    Parameters
    ----------
    successes_per_s, failures_per_s : int
        Lines per second for either kind.

    Attributes
    ----------
    limits : dict of bool to int
        Lines per second; the key tells whether the request failed.
    """

    def __init__(self, successes_per_s: int = 60, failures_per_s: int = 120) -> None:
        self.limits = {False: successes_per_s, True: failures_per_s}
        self._used = {False: 0, True: 0}
        self._second = 0
        self._dropped_count = 0
        self._lock = threading.Lock()

    def try_spend(self, failed: bool) -> bool:
        """Consume one line of this second's budget; false if the budget is exhausted."""
        with self._lock:
            self._reset_if_new_second(int(time.monotonic()))
            if self._used[failed] >= self.limits[failed]:
                self._dropped_count += 1
                return False
            self._used[failed] += 1
            return True

    def pop_dropped_count(self) -> int:
        """Return the number of lines dropped since the last call, and reset it."""
        with self._lock:
            count, self._dropped_count = self._dropped_count, 0
            return count

    def _reset_if_new_second(self, second: int) -> None:
        if second != self._second:
            self._second = second
            self._used = {False: 0, True: 0}
