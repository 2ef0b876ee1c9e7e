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

CHECK_TIMEOUT_S = 1.0
"""Time limit of one check. A target that stands still for longer is asked again."""

_FIRST_PAUSE_S = 0.02
_MAX_PAUSE_S = 0.25
"""Pause between two checks of a target that nothing is known of, in seconds; doubled each time."""

_MAX_TARGETS = 1024


class Liveness(Enum):
    """What a check found out about a target's process."""

    RUNNING = "running"
    EXITED = "exited"
    UNKNOWN = "unknown"


TargetCheck = Callable[[TargetInfo, float], Liveness]
"""Checks whether a target's process runs, within a number of seconds."""


def check_listening(target: TargetInfo, timeout_s: float = CHECK_TIMEOUT_S) -> Liveness:
    """Return whether something listens at a target's address.

    A target that accepts a connection and closes it at once may be exiting, or be at its limit of
    connections. Only the former refuses another one soon.
    """
    host, _, port = target.address.rpartition(":")
    connect_s = min(CONNECT_TIMEOUT_S, timeout_s)
    for _ in range(_MAX_CONNECTIONS):
        try:
            address = host.strip("[]"), int(port)
            with socket.create_connection(address, connect_s) as sock:
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

    def make(self, check: "TargetCheck", target: TargetInfo, deadline: float) -> None:
        """Check the target, and note for which breaks the result holds."""
        began_at = time.monotonic()
        self.found = check(target, max(0.0, min(CHECK_TIMEOUT_S, deadline - began_at)))
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

    def find(self, target: TargetInfo, broken_at: float, deadline: float = math.inf) -> Liveness:
        """Return what one check finds out about a target's process.

        Parameters
        ----------
        target : TargetInfo
        broken_at : float
            Monotonic time at which a connection to it broke, or ended an answer.
        deadline : float
            Monotonic time until which the result is waited for.
        """
        check = self._check_of(target.id)
        wait_s = -1 if math.isinf(deadline) else max(0.0, deadline - time.monotonic())
        if not check.lock.acquire(timeout=wait_s):
            return Liveness.UNKNOWN
        try:
            if broken_at > check.valid_until:
                check.make(self._check, target, deadline)
            return check.found
        finally:
            check.lock.release()

    def find_until(
        self,
        target: TargetInfo,
        broken_at: float,
        deadline: float,
        is_given_up: Callable[[], bool] = lambda: False,
    ) -> Liveness:
        """Check a target until it is known whether its process runs.

        No response is no sign of an exit: the process may stand still for a moment.

        Parameters
        ----------
        target : TargetInfo
        broken_at : float
            Monotonic time at which a connection to it ended an answer.
        deadline : float
            Monotonic time of the last check.
        is_given_up : callable
            Returns whether the result is of no more use.
        """
        pause_s = _FIRST_PAUSE_S
        while True:
            found = self.find(target, broken_at, deadline)
            is_last = time.monotonic() + pause_s >= deadline or is_given_up()
            if found is not Liveness.UNKNOWN or is_last:
                return found
            time.sleep(pause_s)
            pause_s = min(2 * pause_s, _MAX_PAUSE_S)
            # A check that found nothing out would otherwise count as the next one, too.
            broken_at = time.monotonic()

    def _check_of(self, target: TargetId) -> _Check:
        with self._lock:
            check = self._checks.get(target)
            if check is None:
                if len(self._checks) >= _MAX_TARGETS:
                    del self._checks[next(iter(self._checks))]
                check = self._checks[target] = _Check()
            return check
