"""Asks a server, over its own address, how long its callers wait to be read."""

import socket
import threading
import time

from turmerictray.core.logs import log_event

_EVERY_S = 0.5

_LIMIT_S = 2.0
"""Callers allow a new connection a second, and as long until their request is read."""

_LATE_S = 0.5
_WELL_S = 0.2
"""Two limits, so that a router does not change its mind with each answer."""

_REQUEST = b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n"
"""Without a host it is refused as soon as it is read, whatever routes there are."""


class FrontProbe:
    """Tells whether callers' connections are accepted and read in time.

    All callers of one team may come in at one router, more than its processor can read. They wait
    in its sockets, where nobody can refuse them in time, while routers beside it idle; and as the
    balancer's question has a server of its own, which has little to do, more are sent there. What
    callers see is measured as they see it: the time from a new connection to an answer.

    Parameters
    ----------
    host : str
    port : int
    """

    def __init__(self, host: str, port: int) -> None:
        self._address = (host, port)
        self._stop = threading.Event()
        self._begun_at: float | None = None
        self._took_s = 0.0
        self._is_late = False
        self._thread = threading.Thread(target=self._run, name="front-probe", daemon=True)

    def start(self) -> None:
        """Ask twice a second from now on."""
        self._thread.start()

    def stop(self) -> None:
        """Ask no more."""
        self._stop.set()
        self._thread.join(timeout=_LIMIT_S)

    def delay_s(self) -> float:
        """What the last answer took, or the next one has taken so far."""
        begun_at = self._begun_at
        waited = 0.0 if begun_at is None else time.monotonic() - begun_at
        return max(self._took_s, waited)

    def is_late(self) -> bool:
        """Whether callers had better go to another router."""
        delay_s = self.delay_s()
        if self._is_late:
            self._is_late = delay_s > _WELL_S
        else:
            self._is_late = delay_s > _LATE_S
        return self._is_late

    def _run(self) -> None:
        while not self._stop.wait(_EVERY_S):
            self._begun_at = time.monotonic()
            self._ask()
            self._took_s = time.monotonic() - self._begun_at
            self._begun_at = None

    def _ask(self) -> None:
        try:
            with socket.create_connection(self._address, timeout=_LIMIT_S) as sock:
                sock.sendall(_REQUEST)
                sock.recv(1)
        except OSError as exc:
            # An answer that does not come in time has taken that time; a server that is being
            # stopped refuses at once, and nobody is to be sent elsewhere for it.
            log_event("front_probe_failed", level="DEBUG", exc=exc)
