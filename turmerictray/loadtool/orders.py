"""Callers that send orders (non-idempotent requests) and retry failed ones through any router."""

import random
import threading
import time
from dataclasses import dataclass, field

import msgspec
import urllib3

_MAX_ATTEMPTS = 4
_MAX_PAUSE_S = 0.3


class OrderAnswer(msgspec.Struct, frozen=True):
    """Answer to one attempt: HTTP status (0 for a connection error) and error type."""

    status: int
    error: str


@dataclass
class OrderTrial:
    """The answers to all attempts of one order."""

    key: str
    answers: list[OrderAnswer] = field(default_factory=list)


class _Error(msgspec.Struct):
    type: str = ""


class _Body(msgspec.Struct):
    error: _Error | None = None


def send_order(http: urllib3.PoolManager, url: str, team: str, key: str) -> OrderAnswer:
    """Send one order through the router at ``url``."""
    try:
        resp = http.request(
            "POST",
            url + "/svc/orders/book",
            body=b"{}",
            headers={"X-Team": team, "Idempotency-Key": key},
            timeout=urllib3.Timeout(connect=1.0, read=15.0),
        )
        error = msgspec.json.decode(resp.data, type=_Body).error
    except (urllib3.exceptions.HTTPError, msgspec.DecodeError) as exc:
        return OrderAnswer(0, type(exc).__name__)
    return OrderAnswer(resp.status, error.type if error else "")


class OrderCaller:
    """Sends one order after another, each through random routers, until stopped.

    Parameters
    ----------
    urls : list of str
        Base URLs of the routers.
    team : str
    name : str
        Prefix of the idempotency keys.
    seed : int
    """

    def __init__(self, urls: list[str], team: str, name: str, seed: int) -> None:
        self.urls, self.team, self.name = urls, team, name
        self.trials: list[OrderTrial] = []
        self._rng = random.Random(seed)
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Start sending orders."""
        self._thread.start()

    def stop(self) -> None:
        """Stop after the current order."""
        self._stop.set()
        self._thread.join(60)

    def _run(self) -> None:
        http = urllib3.PoolManager(retries=False)
        while not self._stop.is_set():
            trial = OrderTrial(f"{self.name}-{len(self.trials)}")
            self.trials.append(trial)
            self._send_with_retries(http, trial)
            time.sleep(self._rng.uniform(0, _MAX_PAUSE_S))

    def _send_with_retries(self, http: urllib3.PoolManager, trial: OrderTrial) -> None:
        # Retry also when the outcome is unknown: in this case an order could run twice.
        for _ in range(_MAX_ATTEMPTS):
            url = self._rng.choice(self.urls)
            answer = send_order(http, url, self.team, trial.key)
            trial.answers.append(answer)
            if answer.status == 200:
                return
            time.sleep(self._rng.uniform(0, _MAX_PAUSE_S))
