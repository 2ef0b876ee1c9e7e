"""Limit of the memory in which answers of targets are held until they can be passed on."""

import threading

MAX_ANSWER_BYTES = 8 << 20
"""Largest answer that is held, or event of a stream."""

_MAX_TOTAL_BYTES = 32 << 20
"""Memory of all answers together. A router has a few hundred megabytes, and holds an answer twice
while it is put together."""

_UNCOUNTED_BYTES = 64 << 10
"""Size up to which an answer is held whatever others hold, so that answers without end of one
target don't keep others from being served."""


class HeldAnswers:
    """Bytes of answers in memory; thread-safe.

    Parameters
    ----------
    max_total_bytes : int
    """

    def __init__(self, max_total_bytes: int = _MAX_TOTAL_BYTES) -> None:
        self._max_total_bytes = max_total_bytes
        self._lock = threading.Lock()
        self._total_bytes = 0

    def resize(self, before: int, size: int) -> bool:
        """Change what one answer holds; return whether it may hold so much.

        If not, it holds nothing any more.
        """
        if max(before, size) <= _UNCOUNTED_BYTES:
            return True
        counted = size if size > _UNCOUNTED_BYTES else 0
        with self._lock:
            self._total_bytes -= before if before > _UNCOUNTED_BYTES else 0
            if counted > MAX_ANSWER_BYTES or self._total_bytes + counted > self._max_total_bytes:
                return False
            self._total_bytes += counted
            return True

    def total_bytes(self) -> int:
        """Return what is held by answers of more than a few kilobytes."""
        return self._total_bytes


HELD_ANSWERS = HeldAnswers()
"""Those of this process."""
