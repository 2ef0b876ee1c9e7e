"""Streams without a length that a crash ends between two events are passed on as complete."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

import harness  # noqa: E402
from turmerictray.platform.standins.caller import PROMPT_HEADERS  # noqa: E402
from turmerictray.platform.standins.local import default_config  # noqa: E402
from turmerictray.platform.standins.worker import Worker  # noqa: E402

SERVICE = "llm"
ENGINES = 4
STREAMS = 12
EVENTS = 30
INTERVAL_S = 0.1
TIMEOUT_MS = 8000
CRASH_AFTER_S = 1.5


def play(record: harness.Record) -> int:
    deployment = harness.Deployment(record, ["z1", "z1"])
    try:
        return _play(record, deployment)
    finally:
        deployment.stop()


def _play(record: harness.Record, deployment: harness.Deployment) -> int:
    config = default_config()
    for route in config["routes"]:
        if route["name"] == "plan":
            route.update(timeout_ms=TIMEOUT_MS, gap_aim_ms=300)
    deployment.store.put("op/config", config)
    engines = []
    for number in range(ENGINES):
        worker = Worker(f"llm-{number}", SERVICE)
        worker.behaviour.event_count = EVENTS
        worker.behaviour.event_interval_s = INTERVAL_S
        worker.behaviour.is_chunked = False
        engines.append(worker.start())
        deployment.add_worker(worker)
    deployment.start()
    time.sleep(4.0)

    clients = []
    for number in range(STREAMS):
        front = deployment.routers[number % 2].front
        prompt = f"{0xA0000 + number:x}:800,{0xB0000 + number:x}:410"
        client = harness.StreamClient(
            record,
            f"{0xC0DE0000 + number:014x}",
            lambda front=front: front,
            f"/plan/{number}",
            {**PROMPT_HEADERS, "X_Prompt_Prefix": prompt, "X_Token_Count": "1210,80"},
            TIMEOUT_MS / 1000,
            EVENTS,
        )
        clients.append(client)
        client.start()
    time.sleep(CRASH_AFTER_S)
    if harness.TROUBLE:
        crashed = max(engines, key=lambda worker: len(worker.runs()))
        record.note(f"{crashed.id} crashes; it had {len(crashed.runs())} streams")
        threading.Thread(target=crashed.crash).start()
    for client in clients:
        client.join(TIMEOUT_MS / 1000 + 2)
    framing = {c.answers[-1].headers.get("Transfer-Encoding", "none") for c in clients}
    record.note(f"framing of the answers: {sorted(framing)}")
    cut = [c for c in clients if c.is_complete() and c.events()[-1:] != [EVENTS]]
    for client in cut:
        record.note(f"complete before its last event: {client.request_id}: {client.events()}")
    whole = sum(c.is_complete() and c.events() == list(range(1, EVENTS + 1)) for c in clients)
    record.note(f"summary: {len(clients)} streams, {whole} whole, {len(cut)} cut but complete")
    return harness.BROKEN if cut else harness.HELD


if __name__ == "__main__":
    sys.exit(harness.run_case(Path(__file__).resolve().parent, play))
