"""Detection of targets whose process has exited, as opposed to a single broken connection."""

import math
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from turmerictray.core.ids import TargetId

_CONNECT_TIMEOUT_S = 0.25
"""A reachable machine accepts or refuses a connection within a round trip. No response at all, as
behind a network partition, does not show whether the target is running."""

_STAY_OPEN_S = 0.03
"""How long a new connection must stay open for the target to count as running. When a process
exits, its connections may break before its listening socket is closed."""

_MAX_CONNECTIONS = 3
_RECONNECT_PAUSE_S = 0.01
"""Connections that a check opens at most to a target that closes them at once, and the pause
between them."""

_EXIT_VALIDITY_S = 1.0
"""How long an exited target counts as exited without another check. An answer that was taken for an
exit by mistake must not condemn all later answers of the target."""

_MAX_TARGETS = 1024


def refuses_connections(address: str) -> bool:
    """Return whether nothing listens at ``address`` (``host:port``) of a reachable machine.

    A target that accepts a connection and closes it at once may be exiting, or be at its limit of
    connections. Only the former refuses another one soon.
    """
    host, _, port = address.rpartition(":")
    for _ in range(_MAX_CONNECTIONS):
        try:
            with socket.create_connection((host, int(port)), _CONNECT_TIMEOUT_S) as sock:
                sock.settimeout(_STAY_OPEN_S)
                if sock.recv(1):
                    return False
        except ConnectionRefusedError:
            return True
        except ConnectionError:
            pass
        except OSError:
            # Either the connection stayed open, or there was no response, which may be a network
            # partition as well as a machine without power.
            return False
        time.sleep(_RECONNECT_PAUSE_S)
    return False


@dataclass
class _Check:
    """The newest check of a target; ``lock`` is held while it is made."""

    lock: threading.Lock = field(default_factory=threading.Lock)
    exited: bool = False
    began_at: float = -math.inf


class TargetExitDetector:
    """Thread-safe check, with cached results, whether a target's process has exited.

    When a target exits, all requests running on it fail at the same time; because of the cache, few
    of them need to open a connection. A check that found the target running is used for connections
    that broke before it, not for later ones. There is one check of a target at a time, whose result
    also serves those that wait for it.

    Parameters
    ----------
    refuses : callable
        Returns whether nothing listens at an address; see :func:`refuses_connections`.
    """

    def __init__(self, refuses: Callable[[str], bool] = refuses_connections) -> None:
        self._refuses = refuses
        self._lock = threading.Lock()
        self._checks: dict[TargetId, _Check] = {}

    def has_exited(self, target: TargetId, address: str, broken_at: float) -> bool:
        """Return whether a target has exited.

        Parameters
        ----------
        broken_at : float
            Monotonic time at which a connection to it broke, or ended an answer.
        """
        check = self._check_of(target)
        with check.lock:
            valid_until = check.began_at + (_EXIT_VALIDITY_S if check.exited else 0.0)
            if broken_at > valid_until:
                began_at = time.monotonic()
                check.exited = self._refuses(address)
                check.began_at = began_at
            return check.exited

    def _check_of(self, target: TargetId) -> _Check:
        with self._lock:
            check = self._checks.get(target)
            if check is None:
                if len(self._checks) >= _MAX_TARGETS:
                    del self._checks[next(iter(self._checks))]
                check = self._checks[target] = _Check()
            return check
