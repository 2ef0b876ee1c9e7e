"""A caller that repeatedly sends a request that crashes each worker that starts to run it."""

import itertools
import random
import time
from collections.abc import Callable

from turmerictray.platform.soak.record import SoakRecord, SoakRequest
from turmerictray.platform.soak.schedule import ScheduledFault
from turmerictray.platform.standins.caller import PROMPT_HEADERS, RawCaller, make_request
from turmerictray.platform.standins.local import LocalDeployment
from turmerictray.platform.standins.worker import CRASH_MARKER

_ROUTES = ("plan", "recon", "ping")
_BODIES_PER_ROUTE = 2
"""Different requests of each route in a run; later senders send the same ones again."""

_PAUSE_RANGE_S = (0.05, 0.5)

_ids = itertools.count(1)


class CrashingRequestSender:
    """Sends one crashing request repeatedly, to random routers, for the fault's duration.

    Parameters
    ----------
    deployment : LocalDeployment
    record : SoakRecord
    fault : ScheduledFault
    on_answer : callable
        Called after each answer.
    """

    def __init__(
        self,
        deployment: LocalDeployment,
        record: SoakRecord,
        fault: ScheduledFault,
        on_answer: Callable[[], None],
    ) -> None:
        self._deployment = deployment
        self._record = record
        self._ends_at = time.monotonic() + fault.duration_s
        self._on_answer = on_answer
        self._rng = random.Random(fault.random_number)
        self._route = _ROUTES[fault.random_number % len(_ROUTES)]
        self._body = (
            CRASH_MARKER + f" {self._route} {fault.random_number % _BODIES_PER_ROUTE}".encode()
        )

    def run(self) -> None:
        """Send until the fault ends."""
        self._record.crashing_bodies.add(self._body)
        while time.monotonic() < self._ends_at:
            router = self._rng.choice(self._deployment.routers)
            try:
                caller = RawCaller(self._deployment.front(router))
            except OSError:
                # The router is down; the next one that is drawn may be up.
                time.sleep(_PAUSE_RANGE_S[0])
                continue
            self._send(caller, router.name)
            caller.close()
            self._on_answer()
            time.sleep(self._rng.uniform(*_PAUSE_RANGE_S))

    def _send(self, caller: RawCaller, router: str) -> None:
        target = f"/{self._route}/deadly"
        request = SoakRequest(
            f"dead{next(_ids):012x}",
            self._route,
            router,
            "POST",
            target,
            self._body,
            time.monotonic(),
        )
        self._record.requests.append(request)
        headers = {"X_Request_Id": request.request_id} | (
            PROMPT_HEADERS if self._route != "ping" else {}
        )
        try:
            caller.send(make_request("POST", target, self._body, **headers))
        except OSError:
            # The connection was reset before the request was sent; the answer stays empty.
            request.ended_at = time.monotonic()
            return
        request.answer = caller.read()
        request.ended_at = time.monotonic()
