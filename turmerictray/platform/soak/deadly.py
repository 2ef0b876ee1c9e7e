"""A caller whose request ends each worker that begins to run it, and comes again at any router."""

import itertools
import random
import time
from collections.abc import Callable

from turmerictray.platform.soak.record import Record, Sent
from turmerictray.platform.soak.schedule import Planned
from turmerictray.platform.standins.caller import PROMPT, RawCaller, make_request
from turmerictray.platform.standins.local import LocalDeployment
from turmerictray.platform.standins.worker import DEADLY

_KINDS = ("plan", "recon", "ping")
_BODIES = 2
"""Different requests of each kind in a run; the same ones come again later."""

_PAUSE_S = (0.05, 0.5)

_ids = itertools.count(1)


class DeadlySender:
    """Sends one request again and again for a time.

    Parameters
    ----------
    after_each : callable
        Called when a request has had its answer.
    """

    def __init__(
        self,
        deployment: LocalDeployment,
        record: Record,
        planned: Planned,
        after_each: Callable[[], None],
    ) -> None:
        self._deployment = deployment
        self._record = record
        self._until = time.monotonic() + planned.for_s
        self._after_each = after_each
        self._rng = random.Random(planned.pick)
        self._kind = _KINDS[planned.pick % len(_KINDS)]
        self._body = DEADLY + f" {self._kind} {planned.pick % _BODIES}".encode()

    def run(self) -> None:
        """Send until the time is over."""
        self._record.deadly.add(self._body)
        while time.monotonic() < self._until:
            router = self._rng.choice(self._deployment.routers)
            try:
                caller = RawCaller(self._deployment.front(router))
            except OSError:
                # The router is down at this moment; the next one may not be.
                time.sleep(_PAUSE_S[0])
                continue
            self._send(caller, router.name)
            caller.close()
            self._after_each()
            time.sleep(self._rng.uniform(*_PAUSE_S))

    def _send(self, caller: RawCaller, router: str) -> None:
        target = f"/{self._kind}/deadly"
        sent = Sent(
            f"dead{next(_ids):012x}",
            self._kind,
            router,
            "POST",
            target,
            self._body,
            time.monotonic(),
        )
        self._record.sent.append(sent)
        headers = {"X_Request_Id": sent.request_id} | (PROMPT if self._kind != "ping" else {})
        try:
            caller.send(make_request("POST", target, self._body, **headers))
        except OSError:
            # Reset before it was sent: its answer stays empty, as a caller's would.
            sent.ended = time.monotonic()
            return
        sent.answer = caller.read()
        sent.ended = time.monotonic()
