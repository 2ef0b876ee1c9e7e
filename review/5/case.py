"""Requests that were given up during a cut reach a leaving worker seconds after the cut."""

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
WORKERS = 5
CLIENTS = 40
INTERVAL_S = 0.4
"""All clients send at the same moments, so that some requests go out as the cut begins."""

USUAL_TICKS = 8
BEFORE_TICK_S = 0.06
WORK_S = 0.06
TIMEOUT_MS = 3000
CUT_S = 3.25
LEAVES_AFTER_S = 1.0
WATCH_S = 9.0
DRAIN_S = 2.0
CONTACT_S = 3.0

_FIRST_RTO_S = 0.2
_SIZE = 65536


class Link:
    """The path from one router to one worker, which can be cut.

    Bytes sent during a cut are held up and sent again as TCP does, 0.2 s after the first time and
    then at doubled intervals; the first time after the end of the cut they arrive. They are lost if
    the sender resets the connection. Nothing arrives on connections that are opened during a cut.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = host, int(port)
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.cut_from = self.cut_until = 0.0
        self.resets = self.held_count = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self, for_s: float) -> None:
        """Cut the path for some seconds."""
        now = time.monotonic()
        self.cut_from, self.cut_until = now, now + for_s

    def is_cut(self) -> bool:
        """Return whether the path is cut."""
        return self.cut_from <= time.monotonic() < self.cut_until

    def _accept(self) -> None:
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn: socket.socket) -> None:
        if self.is_cut():
            _swallow(conn)
            return
        try:
            worker = socket.create_connection(self._target)
        except OSError:
            conn.close()
            return
        for sock in (conn, worker):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=self._pass_back, args=(worker, conn), daemon=True).start()
        self._pass_on(conn, worker)

    def _pass_on(self, conn: socket.socket, worker: socket.socket) -> None:
        held, held_since, ended = b"", 0.0, False
        try:
            while not (ended and not held):
                conn.settimeout(0.01 if held else None)
                if not ended:
                    try:
                        data = conn.recv(_SIZE)
                        ended = not data
                        if data and not held and self.is_cut():
                            held_since = time.monotonic()
                            self.held_count += 1
                        held += data
                    except TimeoutError:
                        pass
                else:
                    time.sleep(0.01)
                if held and time.monotonic() >= self._arrival(held_since):
                    worker.sendall(held)
                    held = b""
            worker.shutdown(socket.SHUT_WR)
        except ConnectionResetError:
            # What was held up is lost.
            self.resets += 1
            worker.close()
        except OSError:
            worker.close()

    def _arrival(self, held_since: float) -> float:
        """Return when bytes arrive that were first sent at ``held_since``."""
        if not self.cut_from <= held_since < self.cut_until:
            return 0.0
        sent_at, interval_s = held_since, _FIRST_RTO_S
        while sent_at < self.cut_until:
            sent_at += interval_s
            interval_s *= 2
        return sent_at

    def _pass_back(self, worker: socket.socket, conn: socket.socket) -> None:
        try:
            while data := worker.recv(_SIZE):
                while self.is_cut():
                    time.sleep(0.01)
                conn.sendall(data)
            conn.shutdown(socket.SHUT_WR)
        except OSError:
            conn.close()

    def stop(self) -> None:
        """Accept no more connections."""
        self._listener.close()


def _swallow(conn: socket.socket) -> None:
    try:
        while conn.recv(_SIZE):
            pass
    except OSError:
        pass
    conn.close()


def play(record: harness.Record) -> int:
    # An entry holds one address of a worker; the view of the store that the first router has names
    # the links instead.
    deployment = harness.Deployment(record, [f"z{n}" for n in range(1, ROUTERS + 1)])
    try:
        return _play(record, deployment)
    finally:
        deployment.stop()


def _play(record: harness.Record, deployment: harness.Deployment) -> int:
    config = default_config()
    for route in config["routes"]:
        if route["name"] == "ping":
            route.update(timeout_ms=TIMEOUT_MS, target_latency_ms=1000, max_attempts=2)
    deployment.store.put("op/config", config)
    workers = [Worker(f"app-{number}", "app") for number in range(WORKERS)]
    for worker in workers:
        worker.behaviour.service_time_s = WORK_S
        deployment.add_worker(worker.start())
    # All paths of the router lead through links, so that they are alike; one of them is cut.
    leaving = workers[0]
    links = [Link(worker.address) for worker in workers]
    for worker, path in zip(workers, links, strict=True):
        deployment.views[0].readdress(worker.address, path.address)
    link = links[0]
    deployment.start()
    time.sleep(4.0)

    router = deployment.routers[0]
    sent: dict[str, tuple[float, RawAnswer]] = {}
    closing = threading.Event()

    started_at = time.monotonic() + 0.5

    def call(client: int) -> None:
        deadline = str(TIMEOUT_MS)
        while not closing.is_set():
            try:
                caller = RawCaller(router.front)
            except OSError as exc:
                record.note(f"client {client}: {exc}")
                continue
            number = max(0, int((time.monotonic() - started_at) / INTERVAL_S) + 1)
            time.sleep(max(0.0, started_at + INTERVAL_S * number - time.monotonic()))
            request_id = f"{client + 1:04x}{number:012x}"
            answer = RawAnswer()
            sent[request_id] = time.monotonic(), answer
            try:
                caller.send(
                    make_request(
                        "GET", f"/ping/{number}", X_Request_Id=request_id, X_Deadline_Ms=deadline
                    )
                )
                caller.read(answer)
            except OSError as exc:
                record.note(f"{request_id}: {exc}")
            caller.close()

    clients = [threading.Thread(target=call, args=(number,)) for number in range(CLIENTS)]
    for client in clients:
        client.start()
    tick_at = started_at + INTERVAL_S * USUAL_TICKS
    time.sleep(tick_at - BEFORE_TICK_S - time.monotonic())
    cut_at = time.monotonic()
    if harness.TROUBLE:
        link.cut(CUT_S)
        record.note(f"the path from {router.name} to {leaving.id} is cut for {CUT_S} s")
    time.sleep(LEAVES_AFTER_S)
    deployment.write_entry(leaving, "draining")
    acked_at = time.monotonic()
    time.sleep(max(0.0, cut_at + WATCH_S - time.monotonic()))
    closing.set()
    for client in clients:
        client.join(TIMEOUT_MS / 1000 + 2)
    for path in links:
        path.stop()

    late = []
    for request in leaving.received_requests:
        request_id = request.headers.get("X-Request-Id", "-")
        if request_id not in sent:
            continue
        sent_at, answer = sent[request_id]
        since_s = request.received_at - acked_at
        if since_s > 0:
            text = (
                f"{request_id}, sent {sent_at - cut_at:.3f} s after the cut began, answered"
                f" {answer.status} by {answer.headers.get('X-Server-Seal')} after"
                f" {answer.elapsed_s:.2f} s, reached {leaving.id} {since_s:.3f} s after its leaving"
                f" was acknowledged, {request.received_at - cut_at:.3f} s after the cut began;"
                f" ran: {request.ran}"
            )
            record.note(text)
        held_up = harness.TROUBLE and request.received_at <= cut_at + CUT_S + CONTACT_S
        if since_s > DRAIN_S and not held_up:
            late.append(request_id)
    record.note(
        f"summary: {len(sent)} requests, {link.held_count} held up, {link.resets} connections reset"
        f" by the router; {len(late)} reached the leaving worker more than {DRAIN_S:g} s after"
    )
    return harness.BROKEN if late else harness.HELD


if __name__ == "__main__":
    sys.exit(harness.run_case(Path(__file__).resolve().parent, play))
