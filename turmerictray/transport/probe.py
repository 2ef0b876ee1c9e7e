"""Probe that measures how long callers of the local server wait until they are read."""

import socket
import threading
import time

from turmerictray.core.logs import log_event
from turmerictray.core.supervision import SupervisedThread

_PROBE_INTERVAL_S = 0.5

_PROBE_TIMEOUT_S = 2.0
"""Callers allow one second to connect and one second until their request is read."""

_OVERLOADED_DELAY_S = 0.5
_RECOVERED_DELAY_S = 0.2
"""The server counts as overloaded above the first delay, and as recovered at or below the second.

Two thresholds (hysteresis) keep the state from changing with each probe.
"""

_REQUEST = b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n"
"""Has no Host header, so that it is refused as soon as it is read, independent of the routes."""


class FrontProbe:
    """Periodic check whether callers' connections are accepted and read in time.

    A router may receive more callers, for example all callers of one team, than its processor can
    read. Their requests wait in its sockets, where they can't be refused in time, while other
    routers are idle. The load balancer's health check is answered by the separate admin server,
    which has little to do, so the balancer would send even more callers here. The probe therefore
    measures what a caller experiences: the time from a new connection to an answer.

    Parameters
    ----------
    host : str
    port : int
    """

    def __init__(self, host: str, port: int) -> None:
        self._address = (host, port)
        self._stop = threading.Event()
        self._started_at: float | None = None
        self._last_delay_s = 0.0
        self._is_overloaded = False
        self._thread = SupervisedThread(self._run, "front-probe")

    def start(self) -> None:
        """Start probing, twice a second."""
        self._thread.start()

    def stop(self) -> None:
        """Stop probing."""
        self._stop.set()
        self._thread.join(timeout=_PROBE_TIMEOUT_S)

    def delay_s(self) -> float:
        """Return the duration of the last probe or of the one in progress, whichever is longer."""
        started_at = self._started_at
        waited = 0.0 if started_at is None else time.monotonic() - started_at
        return max(self._last_delay_s, waited)

    def is_overloaded(self) -> bool:
        """Update and return whether callers should be sent to another router."""
        delay_s = self.delay_s()
        if self._is_overloaded:
            self._is_overloaded = delay_s > _RECOVERED_DELAY_S
        else:
            self._is_overloaded = delay_s > _OVERLOADED_DELAY_S
        return self._is_overloaded

    def _run(self) -> None:
        while not self._stop.wait(_PROBE_INTERVAL_S):
            self._started_at = time.monotonic()
            self._probe()
            self._last_delay_s = time.monotonic() - self._started_at
            self._started_at = None

    def _probe(self) -> None:
        try:
            with socket.create_connection(self._address, timeout=_PROBE_TIMEOUT_S) as sock:
                sock.sendall(_REQUEST)
                sock.recv(1)
        except OSError as exc:
            # A timeout counts as a probe of that duration. A server that is being stopped refuses
            # at once, which counts as no delay and so not as overload.
            log_event("front_probe_failed", level="DEBUG", exc=exc)
