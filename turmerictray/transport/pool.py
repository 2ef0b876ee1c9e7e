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

    def close_expired(self) -> None:
        """Close connections that are past their target's idle limit and won't be taken again.

        A target that is gone is never asked for, so nothing else would close its connections.
        """
        with self._lock:
            expired = [
                conn for conn in self._all() if conn.idle_s() > conn.limit_s(_DEFAULT_IDLE_S)
            ]
            self._drop(expired)
        for conn in expired:
            conn.close()

    def idle_count(self) -> int:
        """Idle connections kept now."""
        with self._lock:
            return len(self._all())

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            idle = self._all()
            self._idle.clear()
        for conn in idle:
            conn.close()

    def _all(self) -> list[TargetConnection]:
        return [conn for idle in self._idle.values() for conn in idle]

    def _drop(self, conns: list[TargetConnection]) -> None:
        dropped = set(conns)
        kept = {t: deque(c for c in idle if c not in dropped) for t, idle in self._idle.items()}
        self._idle = {target: idle for target, idle in kept.items() if idle}

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
