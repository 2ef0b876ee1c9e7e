"""After all routers were killed, no stream is taken up again for half a minute.

All router processes are killed at the same moment and started again. The workers, all of one
software version, go on. Clients take their streams up at routers that have been back for
``contact_ms``. New streams begin there; those that are taken up are all refused with 503.
"""

import itertools
import signal
import sys
import tempfile
import threading
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from deployment import (
    CONTACT_S,
    EXIT_BROKEN,
    EXIT_HELD,
    EXIT_NOT_RUN,
    KEYS,
    TROUBLE,
    Deployment,
    Record,
    configuration,
    route,
)
from streams import StreamAttempt

from turmerictray.platform.standins.worker import Worker

PATH, KEY = "/lohu930/2f", KEYS["hule930"]
ENGINES, STREAMS, NEW_CLIENTS = 3, 30, 4
EVENTS, GAP_S, DEADLINE_S = 45, 0.25, 15.0
KILL_AT_S, DOWN_S, END_S = 8.0, 0.5, 26.0
STREAMS_FROM_S = 2.0
MIN_TAKEN_UP = 12


@dataclass
class Ending:
    """What became of one attempt."""

    at: float
    status: int
    taken_up: bool
    went_on: bool


class Traffic:
    """Clients with streams."""

    def __init__(self, deployment: Deployment, record: Record) -> None:
        self.endings: list[Ending] = []
        self.open: set[StreamAttempt] = set()
        self._deployment = deployment
        self._record = record
        self._ids = itertools.count(1)
        self._stop = threading.Event()
        self._threads: list[threading.Thread] = []

    def start(self, target, count: int) -> None:
        """Start clients."""
        for number in range(count):
            thread = threading.Thread(target=target, args=(number,), daemon=True)
            self._threads.append(thread)
            thread.start()

    def stop(self) -> None:
        """Wait for the clients."""
        self._stop.set()
        for thread in self._threads:
            thread.join(DEADLINE_S + 1)

    def follow_one(self, number: int) -> None:
        """Follow one stream to its end, over as many attempts as its deadline allows."""
        began_at = time.monotonic()
        first_id, after = "", 0
        while (left_s := began_at + DEADLINE_S - time.monotonic()) > 0.5:
            attempt, request_id = self._attempt(number, left_s, first_id, after)
            if attempt is not None and attempt.is_complete and attempt.status == 200:
                return
            if attempt is not None and attempt.last_event > after:
                first_id, after = first_id or request_id, attempt.last_event
            # A client waits as told, up to a third of the time that it has left.
            told_s = 0.0 if attempt is None else attempt.retry_after_s
            time.sleep(min(max(told_s, 1.0), left_s / 3))

    def begin_short_ones(self, number: int) -> None:
        """Begin one new stream after the other, of which only the beginning matters."""
        while not self._stop.wait(0.5):
            self._attempt(number, 3.0, "", 0, events=3)

    def drop_all(self) -> None:
        """Drop the clients' connections."""
        for attempt in list(self.open):
            attempt.drop()

    def _attempt(
        self, number: int, left_s: float, first_id: str, after: int, events: int = EVENTS
    ) -> tuple[StreamAttempt | None, str]:
        request_id = f"{next(self._ids):016x}"
        routers = self._deployment.routers
        front = routers[number % len(routers)].front
        at, attempt = time.monotonic(), None
        prompt = f"5c1e07a2:800,{number + 1:x}f:410,{request_id}:{250 if events == EVENTS else 10}"
        try:
            attempt = StreamAttempt(
                front, PATH, request_id, KEY, int(left_s * 1000), prompt, first_id, after
            )
            self.open.add(attempt)
            if events != EVENTS:
                threading.Timer(events * GAP_S + 0.1, attempt.drop).start()
            attempt.read(left_s)
        except OSError:
            pass
        finally:
            self.open.discard(attempt)
        status = 0 if attempt is None else attempt.status
        went_on = attempt is not None and attempt.first_event == after + 1
        last = 0 if attempt is None else attempt.last_event
        kind = f"takes {first_id} up after event {after}" if first_id else "new stream"
        self._record.write(f"{request_id} at {front[0]}, {kind}: {status}, last event {last}")
        self.endings.append(Ending(at, status, bool(first_id), went_on))
        return attempt, request_id


def play(folder: Path, record: Record) -> int:
    """Play the case and return the exit code."""
    options = {"sticky": True, "resumable": True, "timeout_ms": 15000, "max_attempts": 2}
    routes = [route("plan", "/lohu930/", "streaming", "llm", **options)]
    engine = {"slots": 64, "kv_tokens": 646266, "kv_bytes": 163840, "link_mbps": 1100000.0}
    services = [{"name": "llm", "health_path": "/health", "engine": engine}]
    deployment = Deployment(folder, configuration(1, routes, services))
    try:
        for number in range(ENGINES):
            worker = Worker(f"i-{number}", "llm")
            worker.behaviour.slots, worker.behaviour.event_count = 64, EVENTS
            worker.behaviour.event_interval_s = GAP_S
            deployment.add_worker(worker)
        deployment.start()
        traffic = Traffic(deployment, record)
        began_at = time.monotonic()
        traffic.start(traffic.begin_short_ones, NEW_CLIENTS)
        time.sleep(STREAMS_FROM_S)
        traffic.start(traffic.follow_one, STREAMS)
        time.sleep(KILL_AT_S - (time.monotonic() - began_at))
        back_at = time.monotonic()
        if TROUBLE:
            record.write("all routers are killed")
            for router in deployment.routers:
                router.signal(signal.SIGKILL)
            time.sleep(DOWN_S)
            for router in deployment.routers:
                router.process.wait()
                router.start()
            back_at = time.monotonic()
            record.write("all routers are started")
        else:
            record.write("the clients' connections are dropped")
            traffic.drop_all()
        time.sleep(END_S - (time.monotonic() - began_at))
        traffic.stop()
    finally:
        deployment.stop()
    for worker in deployment.workers:
        ids = [request.headers["X-Request-Id"] for request in worker.runs()]
        record.write(f"{worker.id} ({worker.version}) ran {' '.join(ids)}")
    # In touch: since ``contact_ms`` after the start of the processes.
    judged = [e for e in traffic.endings if e.at >= back_at + (CONTACT_S if TROUBLE else 0)]
    taken_up = [e for e in judged if e.taken_up]
    new = [e for e in judged if not e.taken_up]
    share_on = sum(e.went_on for e in taken_up) / max(1, len(taken_up))
    share_new = sum(e.went_on for e in new) / max(1, len(new))
    summary = (
        f"taken up at machines in touch: {len(taken_up)}, of which {share_on:.2f} went on, by "
        f"status {dict(Counter(e.status for e in taken_up))}; new: {len(new)}, of which "
        f"{share_new:.2f} began"
    )
    record.write(summary)
    print(summary)
    if not new or len(taken_up) < MIN_TAKEN_UP or share_new < 0.5:
        return EXIT_NOT_RUN
    return EXIT_BROKEN if share_on < share_new / 2 else EXIT_HELD


def main() -> int:
    """Run the case."""
    record = Record(Path(__file__).with_name("record.txt"))
    with tempfile.TemporaryDirectory() as folder:
        try:
            return play(Path(folder), record)
        except Exception as exc:  # noqa: BLE001 - only a broken rule may end with 1
            record.write(f"not run: {exc!r}")
            return EXIT_NOT_RUN


if __name__ == "__main__":
    sys.exit(main())
