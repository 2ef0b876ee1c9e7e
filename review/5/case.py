"""A fleet that lost power serves nobody while a stale seed address accepts connections."""

import signal
import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

import harness  # noqa: E402
from turmerictray.platform.standins.caller import RawAnswer, RawCaller, make_request  # noqa: E402
from turmerictray.platform.standins.local import default_config  # noqa: E402
from turmerictray.platform.standins.worker import Worker  # noqa: E402

ROUTERS = 4
STALE_SEED = 9
"""Last octet of the address of a machine that was replaced long ago."""

PEER_PORT = 7400
DOWN_S = 1.2
RECOVER_S = 12.0
WATCH_S = 12.0
INTERVAL_S = 0.1
MIN_SHARE = 0.25


class OtherMachine:
    """What has the stale address now: it accepts connections and knows nothing of routers."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._listener = socket.create_server(address)
        self._accepted: list[socket.socket] = []
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while True:
            try:
                self._accepted.append(self._listener.accept()[0])
            except OSError:
                return

    def stop(self) -> None:
        """Close all connections."""
        self._listener.close()
        for conn in self._accepted:
            conn.close()


def play(record: harness.Record) -> int:
    network = harness.free_network()
    stale = f"{network}.{STALE_SEED}"
    deployment = harness.Deployment(record, ["z1"] * ROUTERS, seeds=[stale, 1, 2])
    others = []
    try:
        return _play(record, deployment, stale, others)
    finally:
        deployment.stop()
        for other in others:
            other.stop()


def _play(record, deployment, stale: str, others: list[OtherMachine]) -> int:
    deployment.store.put("op/config", default_config())
    for number in range(2):
        deployment.add_worker(Worker(f"app-{number}", "app").start())
    deployment.start()
    served_before = _send(record, deployment, 3.0)
    record.note(f"served before: {served_before:.2f}")
    if harness.TROUBLE:
        others.append(OtherMachine((stale, PEER_PORT)))
        record.note(f"another machine now has the address of the stale seed, {stale}")
    for router in deployment.routers:
        router.signal(signal.SIGKILL)
    record.note("all routers lose power")
    time.sleep(DOWN_S)
    for router in deployment.routers:
        router.kill()
        router.start()
    record.note("all routers are back")
    back_at = time.monotonic()
    while time.monotonic() < back_at + RECOVER_S:
        ready = [router.name for router in deployment.routers if router.is_ready()]
        record.note(f"{time.monotonic() - back_at:.1f} s after: ready {ready}")
        time.sleep(1.0)
    served = _send(record, deployment, WATCH_S)
    record.note(f"summary: served from {RECOVER_S:g} to {RECOVER_S + WATCH_S:g} s: {served:.2f}")
    if served_before < MIN_SHARE:
        return harness.NOT_RUN
    return harness.BROKEN if served < MIN_SHARE else harness.HELD


def _send(record, deployment, for_s: float) -> float:
    """Send requests to the routers in turn; return the share that was served."""
    statuses: dict[int, int] = {}
    count = served = 0
    until = time.monotonic() + for_s
    while time.monotonic() < until:
        router = deployment.routers[count % ROUTERS]
        count += 1
        answer = RawAnswer()
        try:
            caller = RawCaller(router.front)
            caller.send(make_request("GET", f"/ping/{count}", X_Deadline_Ms="1000"))
            caller.read(answer)
            caller.close()
        except OSError as exc:
            record.note(f"{router.name}: {exc}")
        statuses[answer.status] = statuses.get(answer.status, 0) + 1
        served += answer.status == 200
        time.sleep(INTERVAL_S)
    record.note(f"answers by status: {statuses}")
    return served / max(1, count)


if __name__ == "__main__":
    sys.exit(harness.run_case(Path(__file__).resolve().parent, play))
