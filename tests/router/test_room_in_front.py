"""What a router with many streams in progress still does for other callers."""

import socket
import threading
import time
from types import SimpleNamespace

import pytest
import urllib3

from turmerictray.core.ids import RequestId
from turmerictray.router.dialect import Envelope
from turmerictray.router.flow import RequestFlow
from turmerictray.router.gateway_settings import THREADS
from turmerictray.router.run import Parts
from turmerictray.routing.prompt import PartId, Prompt, PromptPart
from turmerictray.transport.exchange import RequestHead
from turmerictray.transport.hangup import HangUpWatch
from turmerictray.transport.server import FrontServer

STREAMS = 300
PROMPT = Prompt((PromptPart(PartId("p"), 900),), 900, 50)


def test_a_plain_call_is_answered_beside_three_hundred_streams():
    """Guards against streams that hold every thread while short calls wait to be read."""
    enough, begun_streams = threading.Event(), []

    def handle(exchange):
        if exchange.head.path == "/stream":
            begun_streams.append(exchange)
            enough.wait(20)
        exchange.answer(200, [], b"done")

    front = FrontServer("127.0.0.1", 0, handle, THREADS)
    front.start()
    host, port = front._server.bind_addr
    http = urllib3.PoolManager(maxsize=STREAMS + 1, retries=False)
    callers = [
        threading.Thread(target=http.request, args=("GET", f"http://{host}:{port}/stream"))
        for _ in range(STREAMS)
    ]
    try:
        for caller in callers:
            caller.start()
        _wait_for(lambda: len(begun_streams) == STREAMS)
        begun = time.monotonic()
        answer = http.request("GET", f"http://{host}:{port}/plain", timeout=5)
        took_s = time.monotonic() - begun
    finally:
        enough.set()
        for caller in callers:
            caller.join(20)
        front.stop()
    assert answer.status == 200
    assert took_s < 0.5


def _wait_for(reached) -> None:
    end = time.monotonic() + 10
    while not reached() and time.monotonic() < end:
        time.sleep(0.05)


def test_a_router_without_callers_has_few_threads():
    """Guards against threads in store that use up what the machine allows."""
    before = threading.active_count()
    front = FrontServer("127.0.0.1", 0, lambda exchange: None, THREADS)
    front.start()
    try:
        assert threading.active_count() - before < 40
    finally:
        front.stop()


class FakeExchange:
    """A request, and the status it was answered with."""

    def __init__(self, path: str) -> None:
        self.head = RequestHead("POST", path, {"Host": "h"})
        self.arrived = time.monotonic()
        self.started = False
        self.status = 0
        self.sock, self._other = socket.socketpair()

    def read_body(self) -> bytes:
        return b""

    def answer(self, status: int, headers: list, body: bytes) -> None:
        self.started, self.status = True, status


class FakeRun:
    """Answers at once, but for streams that are to last."""

    ended = threading.Event()

    def __init__(self, parts, routed, exchange, call, trace) -> None:
        self.exchange = exchange

    def run(self) -> None:
        if self.exchange.head.path == "/stream":
            self.ended.wait(10)
        self.exchange.answer(200, [], b"")


@pytest.fixture
def flow(monkeypatch):
    def read(head):
        prompt = None if head.path == "/plain" else PROMPT
        return Envelope(RequestId("r"), None, None, prompt, [])

    route = SimpleNamespace(
        service_for=lambda draw: "s", public=True, timeout_s=1.0, objective_s=0.5, name="r"
    )
    text = SimpleNamespace(match=lambda host, path: route, keys_needed=False, version=1)
    dialect = SimpleNamespace(read=read, retry_after=lambda wait_s: ("Retry-After", "1"))
    monkeypatch.setattr("turmerictray.router.flow.RequestRun", FakeRun)
    FakeRun.ended.clear()
    in_force = SimpleNamespace(current=text, caught_up=True)
    parts = Parts(desk=None, dialect=dialect, pool=None)
    return RequestFlow(parts, in_force, HangUpWatch(), threads=20)


def test_streams_leave_threads_to_calls_that_end_soon(flow):
    """Guards against streams that take the last thread."""
    streams = [
        threading.Thread(target=flow.handle, args=[FakeExchange("/stream")]) for _ in range(18)
    ]
    for stream in streams:
        stream.start()
    time.sleep(0.3)
    one_more, plain = FakeExchange("/late-stream"), FakeExchange("/plain")
    try:
        flow.handle(one_more)
        flow.handle(plain)
    finally:
        FakeRun.ended.set()
        for stream in streams:
            stream.join(10)
    assert (one_more.status, plain.status) == (503, 200)
    again = FakeExchange("/late-stream")
    flow.handle(again)
    assert again.status == 200


def test_a_request_that_is_read_after_its_caller_left_goes_no_further(flow):
    """Guards against targets that work for callers who left before they were read."""
    late = FakeExchange("/plain")
    late.abort = lambda: None
    late._other.close()
    flow.handle(late)
    assert not late.started
