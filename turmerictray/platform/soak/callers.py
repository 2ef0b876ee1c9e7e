"""Callers that reuse connections, retry after refusals and occasionally disconnect."""

import itertools
import random
import socket
import threading
import time
from contextlib import suppress

from turmerictray.platform.soak.record import RESUMABLE, STREAMS, SoakRecord, SoakRequest
from turmerictray.platform.standins.caller import PROMPT_HEADERS, RawCaller, make_request
from turmerictray.platform.standins.local import LocalDeployment

ROUTES = {
    "order": ("POST", "/order/"),
    "ping": ("GET", "/ping/"),
    "plan": ("POST", "/plan/"),
    "recon": ("POST", "/recon/"),
}
"""Method and path prefix of each route that is called."""

_DISCONNECT_FRACTION = 0.06
"""Fraction of requests whose caller disconnects before it reads the answer."""

_HALF_CLOSE_FRACTION = 0.04
"""Fraction of requests whose caller closes its sending side and reads on. The router gives them up
as for a disconnect, and the caller sees how the answer ends."""

_MAX_DISCONNECT_DELAY_S = 0.15
_PAUSE_S = 0.02
_MAX_REFUSAL_PAUSE_S = 0.3
SHARED_PARTS = tuple(f"5ab{number}:1200" for number in range(6))
"""Prompt parts that the callers share, as ``id:tokens``."""

_ids = itertools.count(1)


class SoakCaller:
    """A caller in a closed loop, which connects to a random router each time."""

    def __init__(self, deployment: LocalDeployment, record: SoakRecord, seed: int) -> None:
        self._deployment = deployment
        self._record = record
        self._rng = random.Random(seed)
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start sending requests."""
        self._thread.start()

    def finish(self) -> None:
        """Stop after the request in progress."""
        self._stop.set()
        self._thread.join(20)

    def _run(self) -> None:
        while not self._stop.is_set():
            router = self._rng.choice(self._deployment.routers)
            try:
                caller = RawCaller(self._deployment.front(router))
            except OSError:
                self._stop.wait(_MAX_REFUSAL_PAUSE_S)
                continue
            broken = self._send_requests(caller, router.name)
            caller.close()
            if broken is not None:
                self._take_up(broken)

    def _send_requests(self, caller: RawCaller, router: str) -> SoakRequest | None:
        """Send requests over one connection until it ends or an answer closes it.

        Returns
        -------
        SoakRequest or None
            The last request, if its stream broke and can be taken up.
        """
        while not self._stop.wait(_PAUSE_S):
            request = self._draw_request(router)
            self._record.requests.append(request)
            if not self._send(caller, request):
                return request if _is_broken_stream(request) else None
        return None

    def _take_up(self, request: SoakRequest) -> None:
        """Take up a stream that broke, at random routers, until it ends or makes no progress."""
        while request is not None:
            router = self._rng.choice(self._deployment.routers)
            request = SoakRequest(
                f"soak{next(_ids):012x}",
                request.route,
                router.name,
                request.method,
                request.target,
                request.body,
                time.monotonic(),
                resumes=request.stream_id,
                first_event=request.answer.event_ids()[-1] + 1,
            )
            try:
                caller = RawCaller(self._deployment.front(router))
            except OSError:
                return
            self._record.requests.append(request)
            self._send(caller, request)
            caller.close()
            request = request if _is_broken_stream(request) else None

    def _draw_request(self, router: str) -> SoakRequest:
        route = self._rng.choice(list(ROUTES))
        method, prefix = ROUTES[route]
        number = next(_ids)
        body = b"" if method == "GET" else f"crates {number} ".encode() * self._rng.randint(1, 40)
        target = f"{prefix}{number}?zone=%2f{number}"
        return SoakRequest(
            f"soak{number:012x}", route, router, method, target, body, time.monotonic()
        )

    def _send(self, caller: RawCaller, request: SoakRequest) -> bool:
        """Send a request and read its answer; return whether the connection can be reused."""
        headers = {"X_Request_Id": request.request_id}
        if request.route in STREAMS:
            shared_part = self._rng.choice(SHARED_PARTS)
            headers |= PROMPT_HEADERS | {
                "X_Prompt_Prefix": f"{shared_part},{request.request_id[4:]}:260"
            }
        if request.resumes:
            headers["Resumes"] = request.resumes
            headers["Last_Event_Id"] = str(request.first_event - 1)
        try:
            caller.send(make_request(request.method, request.target, request.body, **headers))
        except OSError:
            request.ended_at = time.monotonic()
            return False
        if self._rng.random() < _DISCONNECT_FRACTION:
            time.sleep(self._rng.uniform(0, _MAX_DISCONNECT_DELAY_S))
            caller.close()
            request.ended_at = request.disconnected_at = time.monotonic()
            return False
        if self._rng.random() < _HALF_CLOSE_FRACTION:
            time.sleep(self._rng.uniform(0, _MAX_DISCONNECT_DELAY_S))
            request.disconnected_at = time.monotonic()
            with suppress(OSError):  # The router may have closed the connection.
                caller.sock.shutdown(socket.SHUT_WR)
        request.answer = caller.read()
        request.ended_at = time.monotonic()
        if request.disconnected_at is not None:
            return False
        closes = request.answer.headers.get("Connection", "").lower() == "close"
        if request.answer.status in (0, 503):
            time.sleep(self._rng.uniform(0, _MAX_REFUSAL_PAUSE_S))
        return request.answer.complete and not closes


def _is_broken_stream(request: SoakRequest) -> bool:
    answer = request.answer
    return (
        request.route == RESUMABLE
        and request.disconnected_at is None
        and answer.status == 200
        and not answer.complete
        and bool(answer.event_ids())
    )
