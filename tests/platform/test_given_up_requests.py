"""Requests that are given up while the link to their target is cut."""

import socket
import threading
import time

import pytest

from turmerictray.loadtool.relay import Network
from turmerictray.platform.standins.caller import PROMPT_HEADERS, RawAnswer, RawCaller, make_request

pytestmark = pytest.mark.process

REQUESTS = 12
CONNECTIONS_OPEN_S = 1.0
GIVEN_UP_WITHIN_S = 4.0
ARRIVAL_S = 0.5
"""Time in which bytes that a partition has held up arrive after its end."""

REQUEST_LINES = {"ping": ("GET", b"", {}), "plan": ("POST", b"prompt", PROMPT_HEADERS)}


class Requests:
    """Requests of one route, each by a caller of its own."""

    def __init__(self, router, route: str, prefix: str) -> None:
        method, body, headers = REQUEST_LINES[route]
        self.ids = [f"{prefix}{number:04x}" for number in range(REQUESTS)]
        self.callers = [RawCaller(router.front) for _ in self.ids]
        self._threads = []
        for number, (request_id, caller) in enumerate(zip(self.ids, self.callers, strict=True)):
            headers = {**headers, "X_Request_Id": request_id}
            caller.send(make_request(method, f"/{route}/{number}", body, **headers))
            self._threads.append(threading.Thread(target=_read, args=(caller,), daemon=True))
            self._threads[-1].start()

    def leave(self) -> None:
        """Close the callers' connections."""
        for caller in self.callers:
            caller.sock.shutdown(socket.SHUT_RDWR)

    def join(self, timeout_s: float) -> None:
        deadline = time.monotonic() + timeout_s
        for thread in self._threads:
            thread.join(max(0.0, deadline - time.monotonic()))


def _read(caller: RawCaller) -> None:
    try:
        caller.read(RawAnswer())
    except (OSError, IndexError):
        return  # The caller has left, or the router was killed.


@pytest.mark.parametrize("route", REQUEST_LINES)
@pytest.mark.parametrize("end", ["time-out", "caller leaves", "router killed"])
def test_requests_given_up_during_a_cut_never_reach_their_target(start_deployment, route, end):
    """Guards against requests that the kernel sends on, and that run at a target that leaves."""
    service = "app" if route == "ping" else "llm"
    deployment = start_deployment(routers=1, network=Network())
    (router,) = deployment.routers
    cut, _ = workers = deployment.of_service(service)
    for worker in workers:
        worker.behaviour.event_count, worker.behaviour.slots = 2, 64
    warm_up = Requests(router, route, "aa")
    warm_up.join(CONNECTIONS_OPEN_S)

    deployment.network.partition({"routers"}, {cut.id})
    requests = Requests(router, route, "bb")
    time.sleep(0.4)
    if end == "caller leaves":
        requests.leave()
        time.sleep(0.4)
    elif end == "router killed":
        router.stop()
    else:
        requests.join(GIVEN_UP_WITHIN_S)
    arrived = len(cut.received_requests)
    deployment.network.restore_all()
    time.sleep(ARRIVAL_S)

    late = [req.headers["X-Request-Id"] for req in cut.received_requests[arrived:]]
    assert late == []
