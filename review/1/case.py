"""Streams of two software versions are joined after planned work: a release and a restart."""

import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

import harness  # noqa: E402

from turmerictray.platform.standins.caller import PROMPT_HEADERS  # noqa: E402
from turmerictray.platform.standins.local import default_config  # noqa: E402
from turmerictray.platform.standins.worker import Worker  # noqa: E402
from turmerictray.routing.rendezvous import weighted_rank  # noqa: E402

SERVICE = "llm"
ENGINES = 4
STREAMS = 48
TIMEOUT_MS = 12_000
EVENTS = 54
INTERVAL_S = 0.2
RELEASE_GAP_S = 1.0
DOWN_S = 0.5
SERVES_ON_S = 9.0
MAX_JOINED = 2


def engine(name: str, version: str) -> Worker:
    worker = Worker(name, SERVICE)
    worker.version = version
    worker.behaviour.event_count = EVENTS
    worker.behaviour.event_interval_s = INTERVAL_S
    worker.behaviour.slots = 64
    return worker.start()


def config() -> dict:
    doc = default_config()
    for route in doc["routes"]:
        if route["name"] == "plan":
            route.update(timeout_ms=TIMEOUT_MS, gap_aim_ms=250)
    doc["services"][1]["engine"]["slots"] = 64
    return doc


def play(record: harness.Record) -> int:
    deployment = harness.Deployment(record, ["z1", "z1", "z1"])
    try:
        return _play(record, deployment)
    finally:
        deployment.stop()


def _play(record: harness.Record, deployment: harness.Deployment) -> int:
    deployment.store.put("op/config", config())
    old = [engine(f"old-{n}", "v1") for n in range(ENGINES)]
    for worker in old:
        deployment.add_worker(worker)
    deployment.start()
    time.sleep(5.0)

    # The router that schedules is the one that the others ask; see choice.py.
    restarted = _scheduler(deployment.routers)
    others = [router for router in deployment.routers if router is not restarted]
    record.note(f"router to be stopped and started: {restarted.name}")

    turn = iter(range(10_000))

    def pick_front():
        return others[next(turn) % len(others)].front

    clients = []

    def start_streams(count: int) -> None:
        for _ in range(count):
            number = len(clients)
            prompt = f"{0xA0000 + number:x}:800,{0xB0000 + number:x}:410"
            client = harness.StreamClient(
                record,
                f"{0xC0DE0000 + number:014x}",
                pick_front,
                f"/plan/{number}",
                {**PROMPT_HEADERS, "X_Prompt_Prefix": prompt, "X_Token_Count": "1210,80"},
                TIMEOUT_MS / 1000,
                EVENTS,
            )
            clients.append(client)
            client.start()
            time.sleep(0.01)

    # Release, one worker after the other: the new one starts first, then the old one's entry goes
    # without a report of draining, and it serves on.
    for number, worker in enumerate(old):
        deployment.add_worker(engine(f"new-{number}", "v2"))
        if number == ENGINES - 1:
            start_streams(STREAMS)
        time.sleep(RELEASE_GAP_S)
        deployment.remove_entry(worker)
    removed_at = time.monotonic()

    time.sleep(0.3)
    if harness.TROUBLE:
        record.note(f"SIGTERM to {restarted.name}")
        restarted.signal(signal.SIGTERM)
        while restarted.is_running():
            time.sleep(0.05)
        record.note(f"{restarted.name} ended")
        time.sleep(DOWN_S)
        restarted.start()
        record.note(f"{restarted.name} started again")
    time.sleep(max(0.0, removed_at + SERVES_ON_S - time.monotonic()))
    record.note("the old workers exit")
    for worker in old:
        worker.crash()
    for client in clients:
        client.join(TIMEOUT_MS / 1000 + 2)
    return _judge(record, clients, old)


def _scheduler(routers: list) -> object:
    return max(routers, key=lambda router: weighted_rank(SERVICE, router.name, 1.0))


def _judge(record, clients, old) -> int:
    begun_old = [c for c in clients if c.answers and "v1" in c.answers[0].versions()]
    joined = [c for c in clients if len(c.versions()) > 1]
    record.note(f"streams: {len(clients)}, begun at v1: {len(begun_old)}, joined: {len(joined)}")
    for client in joined:
        record.note(f"joined: {client.request_id}, events {client.events()}")
    if len(begun_old) <= MAX_JOINED:
        record.note("too few streams were begun at v1")
        return harness.NOT_RUN
    return harness.BROKEN if len(joined) > MAX_JOINED else harness.HELD


if __name__ == "__main__":
    sys.exit(harness.run_case(Path(__file__).resolve().parent, play))
