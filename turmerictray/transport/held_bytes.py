"""Limits of the memory in which answers and requests are held until they can be passed on."""

import math
import threading

MAX_ANSWER_BYTES = 8 << 20
"""Largest answer that is held, or event of a stream."""

_MAX_ANSWERS_BYTES = 32 << 20
_MAX_REQUESTS_BYTES = 48 << 20
"""Memory of all answers and of all requests together. A router has a few hundred megabytes, and
holds a body up to three times while it is put together or sent."""

_UNCOUNTED_BYTES = 64 << 10
"""Size up to which a body is held whatever others hold, so that large bodies don't keep others from
being served."""


class HeldBytes:
    """Bytes of bodies in memory; thread-safe.

    Parameters
    ----------
    max_total_bytes : int
        A larger body is held if it is the only one.
    max_body_bytes : float
    """

    def __init__(self, max_total_bytes: int, max_body_bytes: float = math.inf) -> None:
        self._max_total_bytes = max_total_bytes
        self._max_body_bytes = max_body_bytes
        self._lock = threading.Lock()
        self._total_bytes = 0

    def resize(self, before: int, size: int) -> bool:
        """Change what one body takes; return whether it may take so much.

        If not, it takes nothing any more.
        """
        if max(before, size) <= _UNCOUNTED_BYTES:
            return True
        counted = size if size > _UNCOUNTED_BYTES else 0
        with self._lock:
            self._total_bytes -= before if before > _UNCOUNTED_BYTES else 0
            if counted > self._max_body_bytes or not self._has_room(counted):
                return False
            self._total_bytes += counted
            return True

    def _has_room(self, counted: int) -> bool:
        return not self._total_bytes or self._total_bytes + counted <= self._max_total_bytes

    def total_bytes(self) -> int:
        """Return what is taken by bodies of more than a few kilobytes."""
        return self._total_bytes


HELD_ANSWERS = HeldBytes(_MAX_ANSWERS_BYTES, MAX_ANSWER_BYTES)
"""Answers that this process holds."""

HELD_REQUESTS = HeldBytes(_MAX_REQUESTS_BYTES)
"""Requests that this process holds; the operators' text limits the size of each."""
