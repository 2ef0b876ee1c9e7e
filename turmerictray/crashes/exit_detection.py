"""Detection of targets whose process has exited, as opposed to a single broken connection."""

import math
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from turmerictray.core.ids import TargetId
from turmerictray.routing.load import TargetInfo

CONNECT_TIMEOUT_S = 0.25
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


class Liveness(Enum):
    """What a check found out about a target's process."""

    RUNNING = "running"
    EXITED = "exited"
    UNKNOWN = "unknown"


TargetCheck = Callable[[TargetInfo], Liveness]
"""Checks whether a target's process runs."""


def check_listening(target: TargetInfo) -> Liveness:
    """Return whether something listens at a target's address.

    A target that accepts a connection and closes it at once may be exiting, or be at its limit of
    connections. Only the former refuses another one soon.
    """
    host, _, port = target.address.rpartition(":")
    for _ in range(_MAX_CONNECTIONS):
        try:
            address = host.strip("[]"), int(port)
            with socket.create_connection(address, CONNECT_TIMEOUT_S) as sock:
                return _check_open(sock)
        except ConnectionRefusedError:
            return Liveness.EXITED
        except ConnectionError:
            time.sleep(_RECONNECT_PAUSE_S)
        except OSError:
            # No response may mean a network partition as well as a machine without power.
            return Liveness.UNKNOWN
    return Liveness.UNKNOWN


def _check_open(sock: socket.socket) -> Liveness:
    """Return RUNNING if a new connection stays open; raise :class:`ConnectionError` otherwise."""
    sock.settimeout(_STAY_OPEN_S)
    try:
        if sock.recv(1):
            return Liveness.RUNNING
    except TimeoutError:
        return Liveness.RUNNING
    raise ConnectionResetError("closed at once")


@dataclass
class _Check:
    """The newest check of a target; ``lock`` is held while it is made."""

    lock: threading.Lock = field(default_factory=threading.Lock)
    found: Liveness = Liveness.RUNNING
    valid_until: float = -math.inf

    def make(self, check: "TargetCheck", target: TargetInfo) -> None:
        """Check the target, and note for which breaks the result holds."""
        began_at = time.monotonic()
        self.found = check(target)
        if self.found is Liveness.EXITED:
            self.valid_until = began_at + _EXIT_VALIDITY_S
        elif self.found is Liveness.UNKNOWN:
            # Nobody has answered for the target up to now.
            self.valid_until = time.monotonic()
        else:
            self.valid_until = began_at


class TargetExitDetector:
    """Thread-safe check, with cached results, whether a target's process has exited.

    When a target exits, all requests running on it fail at the same time; because of the cache, few
    of them need to open a connection. A check that found the target running is used for connections
    that broke before it, not for later ones. There is one check of a target at a time, whose result
    also serves those that wait for it.

    Parameters
    ----------
    check : callable
        Checks a target; see :func:`check_listening`.
    """

    def __init__(self, check: TargetCheck = check_listening) -> None:
        self._check = check
        self._lock = threading.Lock()
        self._checks: dict[TargetId, _Check] = {}

    def has_exited(self, target: TargetInfo, broken_at: float) -> bool:
        """Return whether a target is known to have exited; see :meth:`find`."""
        return self.find(target, broken_at) is Liveness.EXITED

    def find(self, target: TargetInfo, broken_at: float) -> Liveness:
        """Return what is known of a target's process.

        Parameters
        ----------
        target : TargetInfo
        broken_at : float
            Monotonic time at which a connection to it broke, or ended an answer.
        """
        check = self._check_of(target.id)
        with check.lock:
            if broken_at > check.valid_until:
                check.make(self._check, target)
            return check.found

    def _check_of(self, target: TargetId) -> _Check:
        with self._lock:
            check = self._checks.get(target)
            if check is None:
                if len(self._checks) >= _MAX_TARGETS:
                    del self._checks[next(iter(self._checks))]
                check = self._checks[target] = _Check()
            return check
