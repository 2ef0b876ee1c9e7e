"""Tells a target that has ended from one that only broke a connection."""

import math
import socket
import threading
import time
from collections.abc import Callable

from turmerictray.core.ids import TargetId

_CONNECT_S = 0.25
"""A target that is there answers within a round trip; one behind a cut link does not at all, which
says nothing of the target."""

_STAYS_S = 0.03
"""How long a new connection must stay open. Of a process that is just ending, connections may break
before its listening socket is closed."""

_FRESH_S = 0.2
"""How long it counts that a target was there."""

_MOST = 1024


def refuses_connections(address: str) -> bool:
    """Whether nothing listens at ``address`` (``host:port``), though its machine answers."""
    host, _, port = address.rpartition(":")
    try:
        with socket.create_connection((host, int(port)), _CONNECT_S) as sock:
            sock.settimeout(_STAYS_S)
            return sock.recv(1) == b""
    except ConnectionError:
        return True
    except OSError:
        # It stays open; or silence, which may be a cut link as well as a machine without power.
        return False


class EndedTargets:
    """Remembers which targets have ended; used by many threads.

    All requests that run at a target break off together when it ends; few of them need to ask.

    Parameters
    ----------
    refuses : callable
        See :func:`refuses_connections`.
    """

    def __init__(self, refuses: Callable[[str], bool] = refuses_connections) -> None:
        self._refuses = refuses
        self._lock = threading.Lock()
        self._found: dict[TargetId, tuple[bool, float]] = {}

    def has_ended(self, target: TargetId, address: str) -> bool:
        """Whether a target whose connection has just broken has ended."""
        with self._lock:
            ended, looked_at = self._found.get(target, (False, -math.inf))
        if ended or time.monotonic() - looked_at < _FRESH_S:
            return ended
        ended = self._refuses(address)
        with self._lock:
            if len(self._found) >= _MOST:
                del self._found[next(iter(self._found))]
            self._found[target] = (ended, time.monotonic())
        return ended
