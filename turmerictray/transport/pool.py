"""Pool of idle connections to targets."""

import threading
import time
from collections import deque

from turmerictray.transport.target_conn import AnswerHead, TargetConnection

_IDLE_LIMIT_MARGIN_S = 0.7
"""Connections this close to their target's idle limit are not used.

Covers a limit that was rounded up to whole seconds, and a round trip.
"""

_DEFAULT_IDLE_LIMIT_S = 4.0
"""Idle limit of targets that announce none; common servers close after five seconds."""

_MAX_IDLE_PER_TARGET = 64
"""As many connections as one engine's batch can need."""


class ConnectionPool:
    """Pool of idle connections by target; the most recently used one is reused first.

    The other connections then reach their idle limit. After a peak only as many connections stay
    open as the load needs, which leaves room in the targets' connection limits for other routers.
    """

    def __init__(self) -> None:
        self._idle: dict[str, deque[TargetConnection]] = {}
        self._lock = threading.Lock()

    def acquire(self, target: str, address: str, connect_s: float) -> TargetConnection:
        """Return an idle connection to ``target``, or open a new one.

        Raises
        ------
        NotSent
            A new connection could not be opened.
        """
        while (conn := self._pop(target)) is not None:
            if conn.address == address and conn.is_usable(
                _IDLE_LIMIT_MARGIN_S, _DEFAULT_IDLE_LIMIT_S
            ):
                return conn
            conn.close()
        return TargetConnection(address, connect_s)

    def release(self, target: str, conn: TargetConnection, head: AnswerHead) -> None:
        """Return a connection to the pool, or close it if it can't be reused.

        Parameters
        ----------
        target : str
        conn : TargetConnection
            A connection whose answer has been read.
        head : AnswerHead
            The head of that answer, which may announce the target's idle limit.
        """
        if not conn.is_reusable():
            conn.close()
            return
        conn.hold(0)
        conn.idle_since = time.monotonic()
        conn.idle_limit_s = _idle_limit(head)
        with self._lock:
            idle = self._idle.setdefault(target, deque())
            idle.append(conn)
            oldest = idle.popleft() if len(idle) > _MAX_IDLE_PER_TARGET else None
        if oldest is not None:
            oldest.close()

    def close_expired(self) -> None:
        """Close connections that have exceeded their target's idle limit.

        :meth:`acquire` is never called for a target that no longer exists, so nothing else would
        close its connections.
        """
        with self._lock:
            expired = [
                conn
                for conn in self._all()
                if conn.idle_s() > conn.effective_idle_limit_s(_DEFAULT_IDLE_LIMIT_S)
            ]
            self._remove(expired)
        for conn in expired:
            conn.close()

    def idle_count(self) -> int:
        """Return the number of idle connections."""
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

    def _remove(self, conns: list[TargetConnection]) -> None:
        removed = set(conns)
        remaining = {
            t: deque(c for c in idle if c not in removed) for t, idle in self._idle.items()
        }
        self._idle = {target: idle for target, idle in remaining.items() if idle}

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
