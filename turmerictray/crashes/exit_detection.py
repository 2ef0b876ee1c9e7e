"""Detection of targets whose process has exited, as opposed to a single broken connection."""

import math
import socket
import threading
import time
from collections.abc import Callable

from turmerictray.core.ids import TargetId

_CONNECT_TIMEOUT_S = 0.25
"""A reachable machine accepts or refuses a connection within a round trip. No response at all, as
behind a network partition, does not show whether the target is running."""

_STAY_OPEN_S = 0.03
"""How long a new connection must stay open for the target to count as running. When a process
exits, its connections may break before its listening socket is closed."""

_MAX_TARGETS = 1024


def refuses_connections(address: str) -> bool:
    """Return whether nothing listens at ``address`` (``host:port``) of a reachable machine."""
    host, _, port = address.rpartition(":")
    try:
        with socket.create_connection((host, int(port)), _CONNECT_TIMEOUT_S) as sock:
            sock.settimeout(_STAY_OPEN_S)
            return sock.recv(1) == b""
    except ConnectionError:
        return True
    except OSError:
        # Either the connection stayed open, or there was no response, which may be a network
        # partition as well as a machine without power.
        return False


class TargetExitDetector:
    """Thread-safe check, with cached results, whether a target's process has exited.

    When a target exits, all requests running on it fail at the same time; because of the cache, few
    of them need to open a connection. A check that found the target running is used for connections
    that broke before it, not for later ones.

    Parameters
    ----------
    refuses : callable
        Returns whether nothing listens at an address; see :func:`refuses_connections`.
    """

    def __init__(self, refuses: Callable[[str], bool] = refuses_connections) -> None:
        self._refuses = refuses
        self._lock = threading.Lock()
        self._results: dict[TargetId, tuple[bool, float]] = {}

    def has_exited(self, target: TargetId, address: str, broken_at: float) -> bool:
        """Return whether a target has exited.

        Parameters
        ----------
        broken_at : float
            Monotonic time at which a connection to it broke, or ended an answer.
        """
        with self._lock:
            exited, checked_at = self._results.get(target, (False, -math.inf))
        if exited or checked_at >= broken_at:
            return exited
        checked_at = time.monotonic()
        exited = self._refuses(address)
        with self._lock:
            if len(self._results) >= _MAX_TARGETS:
                del self._results[next(iter(self._results))]
            self._results[target] = (exited, checked_at)
        return exited
