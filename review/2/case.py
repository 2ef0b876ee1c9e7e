"""Streams can't be taken up after a rolling restart while two software versions serve."""

import random
import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

import harness  # noqa: E402

from turmerictray.platform.standins.caller import (  # noqa: E402
    PROMPT_HEADERS,
    RawAnswer,
    RawCaller,
    make_request,
)
from turmerictray.platform.standins.local import default_config  # noqa: E402
from turmerictray.platform.standins.worker import Worker  # noqa: E402

SERVICE = "llm"
ROUTERS = 4
ENGINES = 8
REPLACED = 3
"""Workers that the release replaces; share 0.375 of the service."""

STREAMS = 64
TIMEOUT_MS = 15_000
EVENTS = 66
INTERVAL_S = 0.2
ROLL_GAP_S = 2.0
DOWN_S = 0.5
CONTACT_S = 3.0
TRIES = 8
RETRY_S = 1.0
MIN_STREAMS = 12


def engine(name: str, version: str) -> Worker:
    worker = Worker(name, SERVICE)
    worker.version = version
    worker.behaviour.event_count = EVENTS
    worker.behaviour.event_interval_s = INTERVAL_S
    worker.behaviour.slots = 64
    return worker.start()


class Entry:
    """The platform's address: asks each router once a second whether it is ready."""

    def __init__(self, routers: list[harness.Router]) -> None:
        self._routers = routers
        self._misses = {router.name: 0 for router in routers}
        self._rng = random.Random(1)
        self._lock = threading.Lock()
        self.closing = threading.Event()
        self._threads = [
            threading.Thread(target=self._ask, args=(router,), daemon=True) for router in routers
        ]
        for thread in self._threads:
            thread.start()

    def _ask(self, router: harness.Router) -> None:
        while not self.closing.is_set():
            self._misses[router.name] = 0 if router.is_ready() else self._misses[router.name] + 1
            self.closing.wait(1.0)

    def pick(self) -> harness.Router:
        """Return the router that a new connection is forwarded to."""
        with self._lock:
            usable = [router for router in self._routers if self._misses[router.name] < 2]
            if 2 * len(usable) < len(self._routers):
                usable = self._routers
            return self._rng.choice(usable)


class Contact:
    """When each router was last stopped or started."""

    def __init__(self) -> None:
        self._stopped_at: dict[str, float] = {}
        self._started_at: dict[str, float] = {}

    def note_stop(self, router: harness.Router) -> None:
        """Record a SIGTERM."""
        self._stopped_at[router.name] = time.monotonic()

    def note_start(self, router: harness.Router) -> None:
        """Record a start."""
        self._started_at[router.name] = time.monotonic()

    def is_in_touch(self, router: harness.Router, at: float) -> bool:
        """Return whether a router was in touch at a time."""
        stopped_at = self._stopped_at.get(router.name)
        if stopped_at is None or at < stopped_at:
            return True
        started_at = self._started_at.get(router.name)
        return started_at is not None and at >= started_at + CONTACT_S


class Stream(threading.Thread):
    """A client that reads a stream and takes it up after a broken connection."""

    def __init__(self, record, entry: Entry, contact: Contact, number: int, tries: int) -> None:
        super().__init__(daemon=True)
        self._record, self._entry, self._contact = record, entry, contact
        self._number, self._tries = number, tries
        self._deadline = time.monotonic() + TIMEOUT_MS / 1000
        self.took_up_in_touch = False
        self.went_on_in_touch = False
        self.began_in_touch: bool | None = None

    def run(self) -> None:
        """Send the request, and take the stream up until it is complete."""
        ids: list[int] = []
        first_id = None
        prompt = f"{0xA0000 + self._number:x}:800,{0xB0000 + self._number:x}:410"
        for attempt in range(self._tries):
            left_s = self._deadline - time.monotonic()
            if left_s <= 0.2:
                return
            request_id = f"{0xC0DE0000 + self._number:014x}{attempt:02x}"
            headers = {**PROMPT_HEADERS, "X_Prompt_Prefix": prompt, "X_Token_Count": "1210,80"}
            if first_id is not None:
                headers.update(Last_Event_Id=str(ids[-1]), Resumes=first_id)
            router = self._entry.pick()
            in_touch = self._contact.is_in_touch(router, time.monotonic())
            answer = RawAnswer()
            error = ""
            try:
                caller = RawCaller(router.front)
                caller.send(
                    make_request(
                        "POST",
                        f"/plan/{self._number}",
                        b"x",
                        X_Request_Id=request_id,
                        X_Deadline_Ms=str(round(1000 * left_s)),
                        **headers,
                    )
                )
                caller.read(answer)
                caller.close()
            except OSError as exc:
                error = repr(exc)
            found = answer.event_ids()
            if first_id is not None and in_touch:
                self.took_up_in_touch = True
                self.went_on_in_touch |= answer.status == 200
            if attempt == 0 and in_touch:
                self.began_in_touch = answer.status == 200 and bool(found)
            if found and first_id is None:
                first_id = request_id
            ids += found
            self._record.note(
                f"{request_id} at {router.name}{'' if in_touch else ' (not in touch)'}"
                f" Last-Event-Id={headers.get('Last_Event_Id')} Resumes={headers.get('Resumes')}:"
                f" {answer.status}, events {found[:1]}..{found[-1:]},"
                f" versions {sorted(answer.versions())}, complete {answer.complete} {error}"
                + (f" {answer.body[40:90]!r}" if answer.status > 200 else "")
            )
            if answer.status == 200 and answer.complete:
                return
            wait_s = max(RETRY_S, float(answer.headers.get("Retry-After", 0)))
            time.sleep(max(0.0, min(wait_s, (self._deadline - time.monotonic()) / 3)))


def play(record: harness.Record) -> int:
    deployment = harness.Deployment(record, ["z1"] * ROUTERS)
    try:
        return _play(record, deployment)
    finally:
        deployment.stop()


def _play(record: harness.Record, deployment: harness.Deployment) -> int:
    doc = default_config()
    for route in doc["routes"]:
        if route["name"] == "plan":
            route.update(timeout_ms=TIMEOUT_MS, gap_aim_ms=250)
    doc["services"][1]["engine"]["slots"] = 64
    deployment.store.put("op/config", doc)
    for number in range(ENGINES):
        deployment.add_worker(engine(f"old-{number}", "v1"))
    deployment.start()
    time.sleep(4.0)
    # A release that stays where it is: some workers are replaced, the others not yet.
    for number in range(REPLACED):
        deployment.add_worker(engine(f"new-{number}", "v2"))
        time.sleep(1.0)
        deployment.write_entry(deployment.workers[number], "draining")
    time.sleep(3.0)
    for worker in deployment.workers[:REPLACED]:
        deployment.remove_entry(worker)
        worker.crash()
    time.sleep(1.0)

    entry, contact = Entry(deployment.routers), Contact()
    streams = []
    for number in range(STREAMS):
        streams.append(Stream(record, entry, contact, number, TRIES))
        streams[-1].start()
        time.sleep(0.01)
    time.sleep(0.5)
    roll = [
        threading.Thread(target=_restart, args=(record, contact, router, ROLL_GAP_S * number))
        for number, router in enumerate(deployment.routers)
    ]
    if harness.TROUBLE:
        for thread in roll:
            thread.start()
    begun = []
    until = time.monotonic() + TIMEOUT_MS / 1000 - 0.5
    while time.monotonic() < until:
        begun.append(Stream(record, entry, contact, 1000 + len(begun), 1))
        begun[-1].start()
        time.sleep(0.25)
    for stream in streams:
        stream.join(TIMEOUT_MS / 1000 + 3)
    entry.closing.set()
    if harness.TROUBLE:
        for thread in roll:
            thread.join(15)
    time.sleep(2.0)
    return _judge(record, streams, begun)


def _restart(record, contact: Contact, router: harness.Router, after_s: float) -> None:
    time.sleep(after_s)
    record.note(f"SIGTERM to {router.name}")
    contact.note_stop(router)
    router.signal(signal.SIGTERM)
    while router.is_running():
        time.sleep(0.02)
    record.note(f"{router.name} ended")
    time.sleep(DOWN_S)
    router.start()
    contact.note_start(router)
    record.note(f"{router.name} started")


def _judge(record, streams: list[Stream], begun: list[Stream]) -> int:
    taken_up = [stream for stream in streams if stream.took_up_in_touch]
    went_on = sum(stream.went_on_in_touch for stream in taken_up)
    new = [stream.began_in_touch for stream in begun if stream.began_in_touch is not None]
    share = went_on / max(1, len(taken_up))
    new_share = sum(new) / max(1, len(new))
    record.note(
        f"summary: {len(taken_up)} streams taken up at routers in touch, {went_on} went on;"
        f" {len(new)} new streams there, {sum(new)} began"
    )
    if len(taken_up) < MIN_STREAMS:
        return harness.NOT_RUN if harness.TROUBLE else harness.HELD
    return harness.BROKEN if share < new_share / 2 else harness.HELD


if __name__ == "__main__":
    sys.exit(harness.run_case(Path(__file__).resolve().parent, play))
