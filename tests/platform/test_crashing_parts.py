"""Prompts with one part that crashes every worker that begins to answer, sent to any router."""

import threading
import time

import pytest

from turmerictray.platform.soak.checks import late_sends, part_arrivals
from turmerictray.platform.soak.crashing_requests import CrashingPartSender
from turmerictray.platform.soak.record import SoakRecord
from turmerictray.platform.standins.caller import PROMPT_HEADERS, RawCaller
from turmerictray.platform.standins.worker import CrashPoint, Worker

ENGINES = 12
PARTS = ("c0ffee", "bad")
SHARED = [f"5ab{number}:1200" for number in range(3)]
PAUSE_RANGE_S = (0.2, 0.6)
SECONDS = 14.0
RESTART_S = 1.5
ENTRY_EXPIRY_S = 1.0

MAX_LATE_SENDS = 3
"""Sends of a crashing part later than three seconds after its fifth crash."""

MIN_SHARE = 0.5
"""Share of sound requests that begin at the first attempt, relative to the share before."""


class Supervisor:
    """Restarts crashed engines, each as a new incarnation."""

    def __init__(self, deployment) -> None:
        self._deployment = deployment
        self._replaced: set[str] = set()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> "Supervisor":
        self._thread.start()
        return self

    def __exit__(self, *_exc) -> None:
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        due: list[tuple[float, Worker]] = []
        while not self._stop.wait(0.05):
            for worker in self._deployment.of_service("llm"):
                if worker.crashed.is_set() and worker.id not in self._replaced:
                    self._replaced.add(worker.id)
                    due.append((time.monotonic() + RESTART_S, worker))
            for at, worker in [item for item in due if item[0] <= time.monotonic()]:
                due.remove((at, worker))
                self._deployment.withdraw(worker)
                replacement = Worker(f"{worker.id}n", "llm").start()
                replacement.behaviour = worker.behaviour
                self._deployment.add_worker(replacement)


class SoundCallers:
    """Callers that send sound requests and record which of them begin at the first attempt."""

    def __init__(self, deployment, count: int = 6) -> None:
        self._deployment = deployment
        self._stop = threading.Event()
        self.begun: list[tuple[float, bool]] = []
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(count)
        ]

    def __enter__(self) -> "SoundCallers":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_exc) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self, number: int) -> None:
        sent = 0
        while not self._stop.wait(0.15):
            sent += 1
            routers = self._deployment.routers
            own = f"{0xE0000000 + 10_000 * number + sent:x}:260"
            headers = PROMPT_HEADERS | {"X_Prompt_Prefix": f"{SHARED[sent % 3]},{own}"}
            sent_at = time.monotonic()
            try:
                caller = RawCaller(routers[(number + sent) % len(routers)].front)
                answer = caller.request("POST", f"/plan/{number}-{sent}", b"crates", **headers)
                caller.close()
                self.begun.append((sent_at, answer.status == 200 and bool(answer.event_ids())))
            except OSError:
                self.begun.append((sent_at, False))

    def share(self, since: float, until: float) -> float:
        """Return the share of the requests of a span of time that began."""
        begun = [ok for at, ok in self.begun if since <= at <= until]
        return sum(begun) / max(1, len(begun))


def start(start_deployment, parts=PARTS[:1], crash_point=CrashPoint.AFTER_HEAD, **options):
    deployment = start_deployment(
        **{"routers": 3, "engines": ENGINES, "min_retries": 200} | options
    )
    for worker in deployment.of_service("llm"):
        worker.behaviour.crashing_parts = frozenset(parts)
        worker.behaviour.crash_point = crash_point
    return deployment


def send_crashing_parts(deployment, parts=PARTS[:1], position=1, seconds=SECONDS, senders=2):
    """Send prompts with the parts beside sound ones; return the sound callers' shares."""
    record = SoakRecord()
    with Supervisor(deployment), SoundCallers(deployment) as sound:
        started_at = time.monotonic()
        time.sleep(3.0)
        begun_at = time.monotonic()
        threads = [
            threading.Thread(
                target=CrashingPartSender(deployment, record, part, SHARED, position, number).run,
                args=(begun_at + seconds, PAUSE_RANGE_S),
            )
            for part in parts
            for number in range(senders)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        ended_at = time.monotonic()
    return sound.share(started_at, begun_at), sound.share(begun_at + 6.0, ended_at)


def check_kept_back(deployment, shares, parts=PARTS[:1]) -> None:
    arrivals = {part: part_arrivals(part, deployment.workers) for part in parts}
    seen = {part: (len(found), len(late_sends(found))) for part, found in arrivals.items()}
    for part in parts:
        assert arrivals[part], "no prompt with the part was sent"
        assert len(late_sends(arrivals[part])) <= MAX_LATE_SENDS, (seen, shares)
    before, after = shares
    assert after >= MIN_SHARE * before, (seen, shares)


@pytest.mark.process
@pytest.mark.parametrize("position", [0, 1], ids=["first", "last-shared"])
def test_prompts_with_a_crashing_part_are_kept_from_workers(start_deployment, position):
    """Guards against ever new requests that crash one worker after the other by a shared part."""
    deployment = start(start_deployment)
    shares = send_crashing_parts(deployment, position=position)
    check_kept_back(deployment, shares)
