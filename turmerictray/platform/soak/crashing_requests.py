"""Callers whose requests, or one part of whose prompts, crash each worker that runs them."""

import contextlib
import itertools
import random
import time
from collections.abc import Callable, Sequence

from turmerictray.platform.soak.record import SoakRecord, SoakRequest
from turmerictray.platform.soak.schedule import ScheduledFault
from turmerictray.platform.standins.caller import PROMPT_HEADERS, RawCaller, make_request
from turmerictray.platform.standins.local import LocalDeployment, LocalRouter
from turmerictray.platform.standins.worker import CRASH_MARKER

CRASHING_PARTS = ("c0ffee0", "c0ffee1")
"""Ids of the prompt parts that crash workers in a run."""

_ROUTES = ("plan", "recon", "ping")
_BODIES_PER_ROUTE = 2
"""Different requests of each route in a run; later senders send the same ones again."""

_PAUSE_RANGE_S = (0.05, 0.5)

_PART_ROUTE = "plan"
_FIRST_OWN_PART = 0xD0000000
"""Ids of the parts that only one prompt with a crashing part has count up from here."""

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
        _exchange(caller, request, PROMPT_HEADERS if self._route != "ping" else {})


def _exchange(caller: RawCaller, request: SoakRequest, headers: dict[str, str]) -> None:
    """Send a request and read its answer, which stays empty if the connection breaks."""
    data = make_request(
        request.method, request.target, request.body, X_Request_Id=request.request_id, **headers
    )
    with contextlib.suppress(OSError):
        caller.send(data)
        request.answer = caller.read()
    request.ended_at = time.monotonic()


class CrashingPartSender:
    """Sends ever new prompts with one part that crashes each worker that begins to answer.

    They share route, team and all other shared parts with sound requests.

    Parameters
    ----------
    deployment : LocalDeployment
    record : SoakRecord
    part : str
        Id of the crashing part.
    shared_parts : sequence of str
        Other parts as ``id:tokens``; each prompt has one of them.
    position : int
        Index of the crashing part in the prompt; never the last one.
    seed : int
    on_answer : callable
        Called after each answer.
    """

    def __init__(
        self,
        deployment: LocalDeployment,
        record: SoakRecord,
        part: str,
        shared_parts: Sequence[str],
        position: int,
        seed: int,
        on_answer: Callable[[], None] = lambda: None,
    ) -> None:
        self._deployment = deployment
        self._record = record
        self._part = part
        self._shared_parts = shared_parts
        self._position = position
        self._on_answer = on_answer
        self._rng = random.Random(seed)

    def run(self, ends_at: float, pause_range_s: tuple[float, float] = _PAUSE_RANGE_S) -> None:
        """Send to random routers until ``ends_at``, in monotonic seconds."""
        self._record.crashing_parts.add(self._part)
        while time.monotonic() < ends_at:
            self.send(self._rng.choice(self._deployment.routers))
            self._on_answer()
            time.sleep(self._rng.uniform(*pause_range_s))

    def send(self, router: LocalRouter) -> None:
        """Send one prompt."""
        number = next(_ids)
        request = SoakRequest(
            f"part{number:012x}",
            _PART_ROUTE,
            router.name,
            "POST",
            f"/{_PART_ROUTE}/{number}",
            b"crates",
            time.monotonic(),
        )
        parts = [self._rng.choice(self._shared_parts), f"{number + _FIRST_OWN_PART:x}:260"]
        parts.insert(self._position, f"{self._part}:150")
        headers = PROMPT_HEADERS | {"X_Prompt_Prefix": ",".join(parts)}
        self._record.requests.append(request)
        try:
            caller = RawCaller(self._deployment.front(router))
        except OSError:
            request.ended_at = time.monotonic()
            return
        _exchange(caller, request, headers)
        caller.close()
