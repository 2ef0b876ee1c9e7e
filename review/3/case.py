"""A worker whose entry is written and removed in quick succession gets requests for good."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

import harness  # noqa: E402

from turmerictray.platform.standins.caller import RawAnswer, RawCaller, make_request  # noqa: E402
from turmerictray.platform.standins.local import default_config  # noqa: E402
from turmerictray.platform.standins.worker import Worker  # noqa: E402

ZONES = ["z1", "z1", "z2", "z2"]
"""Zones of the routers. Zone z3 is cut; its routers have no part in this."""

STAYING = 4
RETURNING = 4
"""Workers of the zone that was cut."""

LAPSED_S = 2.0
"""Time from the lapse of the entries, 3.6 s after the cut began, to its end."""
REGISTER_GAP_S = 0.08
REMOVED_AFTER_S = 0.1
SERVES_ON_S = 6.0
DRAIN_S = 2.0


def play(record: harness.Record) -> int:
    deployment = harness.Deployment(record, ZONES)
    try:
        return _play(record, deployment)
    finally:
        deployment.stop()


def _play(record: harness.Record, deployment: harness.Deployment) -> int:
    deployment.store.put("op/config", default_config())
    staying = [_worker(f"app-a{number}", "z1") for number in range(STAYING)]
    returning = [_worker(f"app-c{number}", "z3") for number in range(RETURNING)]
    for worker in staying + returning:
        deployment.add_worker(worker)
    deployment.start()
    time.sleep(4.0)

    sent: dict[str, tuple[str, float]] = {}
    closing = threading.Event()

    def call(router: harness.Router, client: int) -> None:
        number = 0
        while not closing.is_set():
            number += 1
            request_id = f"{client + 1:04x}{number:012x}"
            sent[request_id] = router.name, time.monotonic()
            try:
                caller = RawCaller(router.front)
                caller.send(
                    make_request(
                        "GET", f"/ping/{number}", X_Request_Id=request_id, X_Deadline_Ms="2000"
                    )
                )
                caller.read(RawAnswer())
                caller.close()
            except OSError as exc:
                record.note(f"{request_id}: {exc}")
            time.sleep(0.02)

    clients = [
        threading.Thread(target=call, args=(router, 2 * index + half))
        for index, router in enumerate(deployment.routers)
        for half in range(2)
    ]
    for client in clients:
        client.start()
    time.sleep(1.0)
    leaving = returning[1]
    if harness.TROUBLE:
        record.note("zone z3 is cut off; the entries of its workers lapse")
        for worker in returning:
            deployment.remove_entry(worker)
        time.sleep(LAPSED_S)
        record.note("the cut heals; the workers write their entries again")
        for worker in returning[:2]:
            deployment.write_entry(worker)
            time.sleep(REGISTER_GAP_S)
        time.sleep(REMOVED_AFTER_S - REGISTER_GAP_S)
    deployment.remove_entry(leaving)
    acked_at = time.monotonic()
    if harness.TROUBLE:
        for worker in returning[2:]:
            time.sleep(REGISTER_GAP_S)
            deployment.write_entry(worker)
    time.sleep(SERVES_ON_S)
    closing.set()
    for client in clients:
        client.join(5)

    late: dict[str, int] = {}
    for request in leaving.received_requests:
        request_id = request.headers.get("X-Request-Id", "-")
        since_s = request.received_at - acked_at
        if request_id in sent and since_s > DRAIN_S:
            router, sent_at = sent[request_id]
            late[router] = late.get(router, 0) + 1
            record.note(
                f"{request_id}, sent to {router} {sent_at - acked_at:.3f} s after the removal of"
                f" the entry was acknowledged, reached {leaving.id} {since_s:.3f} s after it;"
                f" ran: {request.ran}"
            )
    record.note(
        f"summary: {len(sent)} requests; {sum(late.values())} reached the removed worker more than"
        f" {DRAIN_S:g} s after the acknowledgement, by router: {late}"
    )
    return harness.BROKEN if late else harness.HELD


def _worker(name: str, zone: str) -> Worker:
    worker = Worker(name, "app")
    worker.zone = zone
    return worker.start()


if __name__ == "__main__":
    sys.exit(harness.run_case(Path(__file__).resolve().parent, play))
