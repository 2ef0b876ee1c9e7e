"""Idle connections to targets, kept for the next request."""

import threading
import time
from collections import deque

from turmerictray.transport.target_conn import AnswerHead, TargetConnection

_MARGIN_S = 0.7
"""Before a target's idle limit; covers a limit rounded up to whole seconds and a round trip."""

_DEFAULT_IDLE_S = 4.0
"""Idle limit of targets that name none; common servers close after five seconds."""

_MOST_IDLE = 64
"""Idle connections kept for one target; the most that one engine's batch can need."""


class ConnectionPool:
    """Keeps idle connections by target; the one used last is taken first.

    Taking the youngest lets the rest run into their idle limit, so that after a peak only as many
    connections stay open as the load needs, and the targets' connection limits are shared.
    """

    def __init__(self) -> None:
        self._idle: dict[str, deque[TargetConnection]] = {}
        self._lock = threading.Lock()

    def take(self, target: str, address: str, connect_s: float) -> TargetConnection:
        """An idle connection to ``target``, or a new one.

        Raises
        ------
        NotSent
            A new connection could not be opened.
        """
        while (conn := self._pop(target)) is not None:
            if conn.address == address and conn.is_fresh(_MARGIN_S, _DEFAULT_IDLE_S):
                return conn
            conn.close()
        return TargetConnection(address, connect_s)

    def give_back(self, target: str, conn: TargetConnection, head: AnswerHead) -> None:
        """Keep a connection whose answer has been read, or close it if it can't be used again."""
        if not conn.is_reusable():
            conn.close()
            return
        conn.idle_since = time.monotonic()
        conn.idle_limit_s = _idle_limit(head)
        with self._lock:
            idle = self._idle.setdefault(target, deque())
            idle.append(conn)
            oldest = idle.popleft() if len(idle) > _MOST_IDLE else None
        if oldest is not None:
            oldest.close()

    def forget(self, target: str) -> None:
        """Close the idle connections to a target that is leaving."""
        with self._lock:
            idle = self._idle.pop(target, ())
        for conn in idle:
            conn.close()

    def close(self) -> None:
        """Close all idle connections."""
        for target in list(self._idle):
            self.forget(target)

    def _pop(self, target: str) -> TargetConnection | None:
        with self._lock:
            idle = self._idle.get(target)
            return idle.pop() if idle else None


def _idle_limit(head: AnswerHead) -> float | None:
    for part in (head.get("Keep-Alive") or "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return float(value)
    return None
