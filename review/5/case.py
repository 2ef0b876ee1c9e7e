"""Routers serve by an old configuration after the two that read the store have lost power."""

import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

import harness  # noqa: E402
from turmerictray.platform.standins.caller import RawCaller, make_request  # noqa: E402
from turmerictray.platform.standins.local import default_config  # noqa: E402
from turmerictray.platform.standins.worker import Worker  # noqa: E402

ROUTERS = 4
DARK_S = 3.5
CHANGE_AFTER_S = 0.3
APPLY_S = 2.0
WATCH_S = 6.0
INTERVAL_S = 0.05


def config(version: int, service: str, keys: list[str]) -> dict:
    doc = default_config(version)
    doc["services"].append({"name": "app2", "health_path": "/health"})
    doc["tenants"][0]["api_keys"] = keys
    for route in doc["routes"]:
        if route["name"] == "ping":
            route["service"] = service
    return doc


def play(record: harness.Record) -> int:
    deployment = harness.Deployment(record, ["z1"] * ROUTERS)
    try:
        return _play(record, deployment)
    finally:
        deployment.stop()


def _play(record: harness.Record, deployment: harness.Deployment) -> int:
    old_key, new_key = "key-old", harness.KEY
    deployment.store.put("op/config", config(1, "app", [harness.KEY, old_key]))
    for service in ("app", "app2"):
        for number in range(2):
            deployment.add_worker(Worker(f"{service}-{number}", service).start())
    deployment.start()
    time.sleep(4.0)
    readers = deployment.readers(7.0)
    survivors = [router for router in deployment.routers if router not in readers]
    record.note(f"routers that read the store: {[r.name for r in readers]}")
    if len(readers) > ROUTERS // 2 or not survivors:
        return harness.NOT_RUN

    killed_at = time.monotonic()
    if harness.TROUBLE:
        for router in readers:
            router.signal(signal.SIGKILL)
        record.note(f"{[r.name for r in readers]} lose power")
    time.sleep(CHANGE_AFTER_S)
    deployment.store.put("op/config", config(2, "app2", [new_key]))
    acked_at = time.monotonic()
    record.note("version 2 acknowledged: route ping moves from app to app2, key-old is gone")

    late: list[str] = []
    lock = threading.Lock()

    def probe(router: harness.Router, key: str) -> None:
        number = 0
        while time.monotonic() < acked_at + WATCH_S:
            number += 1
            request_id = f"{hash((router.name, key)) & 0xFFFFFFFF:08x}{number:08x}"
            sent_at = time.monotonic()
            try:
                caller = RawCaller(router.front)
                caller.send(
                    make_request(
                        "GET",
                        f"/ping/{router.name}",
                        Host=harness.HOST,
                        X_Request_Id=request_id,
                        X_Deadline_Ms="2000",
                        Authorization=f"Bearer {key}",
                    )
                )
                answer = caller.read()
                caller.close()
            except OSError as exc:
                record.note(f"{request_id} at {router.name}: {exc}")
                continue
            seal = answer.headers.get("X-Server-Seal", "-")
            since_s = sent_at - acked_at
            if key == new_key:
                is_old = answer.status == 200 and seal.startswith("seal.app-")
            else:
                is_old = answer.status == 200
            record.note(
                f"{request_id} at {router.name} with {key}, sent {since_s:.3f} s after the"
                f" acknowledgement: {answer.status} {seal}{' OLD' if is_old else ''}"
            )
            if is_old and since_s > APPLY_S:
                with lock:
                    late.append(request_id)
            time.sleep(INTERVAL_S)

    threads = [
        threading.Thread(target=probe, args=(router, key))
        for router in survivors
        for key in (old_key, new_key)
    ]
    for thread in threads:
        thread.start()
    if harness.TROUBLE:
        time.sleep(max(0.0, killed_at + DARK_S - time.monotonic()))
        for router in readers:
            router.start()
        record.note(f"{[r.name for r in readers]} start again")
    for thread in threads:
        thread.join()
    record.note(f"summary: {len(late)} requests sent over {APPLY_S} s after version 2 by version 1")
    return harness.BROKEN if late else harness.HELD


if __name__ == "__main__":
    sys.exit(harness.run_case(Path(__file__).resolve().parent, play))
