"""Where log lines go: standard output, without ever making a request wait for it."""

import os
import queue
import threading
import time

_HELD_LINES = 2000
"""Lines that wait to be written; at 300 bytes each this is 600 KB. A reader that stalls longer
costs lines, not requests."""

_BATCH_LINES = 200
"""Lines written with one call; at 300 bytes each this is what a pipe commonly holds."""

_STDOUT = 1


class StdoutSink:
    """Writes lines on a thread of its own and drops them when the pipe is not read.

    Usable as a loguru sink.

    Parameters
    ----------
    fd : int
        Where lines are written.
    """

    def __init__(self, fd: int = _STDOUT) -> None:
        self._fd = fd
        self._lines: queue.Queue[str | None] = queue.Queue(_HELD_LINES)
        self.dropped = 0
        self._thread = threading.Thread(target=self._run, name="log-sink", daemon=True)
        self._thread.start()

    def __call__(self, message: str) -> None:
        try:
            self._lines.put_nowait(str(message))
        except queue.Full:
            self.dropped += 1

    def close(self) -> None:
        """Write what is held, for at most a second, and stop."""
        try:
            self._lines.put(None, timeout=1.0)
        except queue.Full:
            return
        self._thread.join(timeout=1.0)

    def _run(self) -> None:
        while (line := self._lines.get()) is not None:
            lines, ended = self._take_more(line)
            _write_all(self._fd, "".join(lines).encode())
            if ended:
                return

    def _take_more(self, first: str) -> tuple[list[str], bool]:
        """Lines that can be written together, and whether the sink was closed behind them.

        The number is bounded: while lines come as fast as they are taken, an unbounded batch would
        grow without end outside the bounded queue, and nothing would be written.
        """
        lines = [first]
        while len(lines) < _BATCH_LINES:
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
            # Nobody reads the log any more; there is no place left to say so.
            return


class LineBudget:
    """Bounds the lines a second that requests write.

    Failures and successes have budgets of their own, so that a flood of answered requests does
    not push out the lines by which a failure is explained.

    Parameters
    ----------
    successes_per_s, failures_per_s : int

    Attributes
    ----------
    limits : dict of bool to int
        Lines a second, of failures under True.
    """

    def __init__(self, successes_per_s: int = 60, failures_per_s: int = 120) -> None:
        self.limits = {False: successes_per_s, True: failures_per_s}
        self._used = {False: 0, True: 0}
        self._second = 0
        self._left_out = 0
        self._lock = threading.Lock()

    def take(self, failed: bool) -> bool:
        """Whether one more line may be written now."""
        with self._lock:
            self._turn(int(time.monotonic()))
            if self._used[failed] >= self.limits[failed]:
                self._left_out += 1
                return False
            self._used[failed] += 1
            return True

    def left_out(self) -> int:
        """Lines left out since this was asked last."""
        with self._lock:
            count, self._left_out = self._left_out, 0
            return count

    def _turn(self, second: int) -> None:
        if second != self._second:
            self._second = second
            self._used = {False: 0, True: 0}
