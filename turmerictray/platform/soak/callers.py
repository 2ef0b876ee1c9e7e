"""Callers who keep their connections, come back after refusals, and now and then hang up."""

import itertools
import random
import threading
import time

from turmerictray.platform.soak.record import STREAMS, Record, Sent
from turmerictray.platform.standins.caller import PROMPT, RawCaller, make_request
from turmerictray.platform.standins.local import LocalDeployment

KINDS = {
    "order": ("POST", "/order/"),
    "ping": ("GET", "/ping/"),
    "plan": ("POST", "/plan/"),
    "recon": ("POST", "/recon/"),
}
"""Method and path prefix of the routes that are called."""

_HANG_UP = 0.06
_HANG_UP_S = 0.15
_PAUSE_S = 0.02
_REFUSED_S = 0.3
_SUBJECTS = 6

_ids = itertools.count(1)


class SoakCaller:
    """One caller in a closed loop, each connection at a router drawn at random."""

    def __init__(self, deployment: LocalDeployment, record: Record, seed: int) -> None:
        self._deployment = deployment
        self._record = record
        self._rng = random.Random(seed)
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Begin to call."""
        self._thread.start()

    def finish(self) -> None:
        """Stop after the call in progress."""
        self._stop.set()
        self._thread.join(20)

    def _run(self) -> None:
        while not self._stop.is_set():
            router = self._rng.choice(self._deployment.routers)
            try:
                caller = RawCaller(self._deployment.front(router))
            except OSError:
                self._stop.wait(_REFUSED_S)
                continue
            self._use(caller, router.name)
            caller.close()

    def _use(self, caller: RawCaller, router: str) -> None:
        """Call over one connection until it ends or an answer says to come back elsewhere."""
        while not self._stop.wait(_PAUSE_S):
            sent = self._next(router)
            self._record.sent.append(sent)
            if not self._call(caller, sent):
                return

    def _next(self, router: str) -> Sent:
        kind = self._rng.choice(list(KINDS))
        method, prefix = KINDS[kind]
        number = next(_ids)
        body = b"" if method == "GET" else f"crates {number} ".encode() * self._rng.randint(1, 40)
        target = f"{prefix}{number}?zone=%2f{number}"
        return Sent(f"soak{number:012x}", kind, router, method, target, body, time.monotonic())

    def _call(self, caller: RawCaller, sent: Sent) -> bool:
        """Send and read the answer; whether the connection can be used again."""
        headers = {"X_Request_Id": sent.request_id}
        if sent.kind in STREAMS:
            subject = f"5ab{self._rng.randrange(_SUBJECTS)}:1200"
            headers |= PROMPT | {"X_Prompt_Prefix": f"{subject},{sent.request_id[4:]}:260"}
        try:
            caller.send(make_request(sent.method, sent.target, sent.body, **headers))
        except OSError:
            sent.ended = time.monotonic()
            return False
        if self._rng.random() < _HANG_UP:
            time.sleep(self._rng.uniform(0, _HANG_UP_S))
            caller.close()
            sent.ended = sent.left_at = time.monotonic()
            return False
        sent.answer = caller.read()
        sent.ended = time.monotonic()
        closes = sent.answer.headers.get("Connection", "").lower() == "close"
        if sent.answer.status in (0, 503):
            time.sleep(self._rng.uniform(0, _REFUSED_S))
        return sent.answer.whole and not closes
