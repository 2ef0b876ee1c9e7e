"""Capacity that the front keeps for other requests while many streams are in progress."""

import socket
import threading
import time
from types import SimpleNamespace

import pytest
import urllib3

from turmerictray.core.ids import RequestId
from turmerictray.router.dialect import Envelope
from turmerictray.router.flow import RequestFlow
from turmerictray.router.gateway_settings import MAX_FRONT_THREADS
from turmerictray.router.run import RequestDependencies
from turmerictray.routing.prompt import PartId, Prompt, PromptPart
from turmerictray.transport.disconnect import DisconnectMonitor
from turmerictray.transport.exchange import RequestHead
from turmerictray.transport.server import FrontServer

STREAMS = 300
PROMPT = Prompt((PromptPart(PartId("p"), 900),), 900, 50)


def test_plain_request_is_answered_during_three_hundred_streams():
    """Guards against streams that occupy every thread while plain requests wait unread."""
    release_streams, open_streams = threading.Event(), []

    def handle(exchange):
        if exchange.head.path == "/stream":
            open_streams.append(exchange)
            release_streams.wait(20)
        exchange.answer(200, [], b"done")

    front = FrontServer("127.0.0.1", 0, handle, MAX_FRONT_THREADS)
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
        _wait_for(lambda: len(open_streams) == STREAMS)
        started_at = time.monotonic()
        answer = http.request("GET", f"http://{host}:{port}/plain", timeout=5)
        took_s = time.monotonic() - started_at
    finally:
        release_streams.set()
        for caller in callers:
            caller.join(20)
        front.stop()
    assert answer.status == 200
    assert took_s < 0.5


def _wait_for(reached) -> None:
    end = time.monotonic() + 10
    while not reached() and time.monotonic() < end:
        time.sleep(0.05)


def test_idle_front_has_few_threads():
    """Guards against a pool of idle threads that uses up the machine's thread limit."""
    before = threading.active_count()
    front = FrontServer("127.0.0.1", 0, lambda exchange: None, MAX_FRONT_THREADS)
    front.start()
    try:
        assert threading.active_count() - before < 40
    finally:
        front.stop()


class FakeExchange:
    """Fake exchange that records the status of its answer."""

    def __init__(self, path: str) -> None:
        self.head = RequestHead("POST", path, {"Host": "h"})
        self.arrived_at = time.monotonic()
        self.answer_started = False
        self.status = 0
        self.sock, self._peer = socket.socketpair()

    def read_body(self) -> bytes:
        return b""

    def answer(self, status: int, headers: list, body: bytes) -> None:
        self.answer_started, self.status = True, status


class FakeRun:
    """Fake run that answers at once, except for streams, which wait for ``stream_may_end``."""

    stream_may_end = threading.Event()

    def __init__(self, deps, routed, exchange, call, trace) -> None:
        self.exchange = exchange

    def run(self) -> None:
        if self.exchange.head.path == "/stream":
            self.stream_may_end.wait(10)
        self.exchange.answer(200, [], b"")


@pytest.fixture
def flow(monkeypatch):
    def read(head):
        prompt = None if head.path == "/plain" else PROMPT
        return Envelope(RequestId("r"), None, None, prompt, [])

    route = SimpleNamespace(
        service_for=lambda draw: "s", public=True, timeout_s=1.0, objective_s=0.5, name="r"
    )
    config = SimpleNamespace(
        match=lambda host, path: route,
        keys_needed=False,
        version=1,
        home_zones=lambda route, team, regions: None,
        services={},
    )
    dialect = SimpleNamespace(read=read, retry_after=lambda wait_s: ("Retry-After", "1"))
    monkeypatch.setattr("turmerictray.router.flow.RequestRun", FakeRun)
    FakeRun.stream_may_end.clear()
    active_config = SimpleNamespace(current=config, caught_up=True, newest_heard=0, regions={})
    deps = RequestDependencies(placement_client=None, dialect=dialect, pool=None)
    return RequestFlow(deps, active_config, DisconnectMonitor(), threads=20)


def test_streams_leave_threads_for_plain_requests(flow):
    """Guards against streams that occupy the last thread."""
    stream_threads = [
        threading.Thread(target=flow.handle, args=[FakeExchange("/stream")]) for _ in range(18)
    ]
    for stream in stream_threads:
        stream.start()
    time.sleep(0.3)
    extra_stream, plain = FakeExchange("/late-stream"), FakeExchange("/plain")
    try:
        flow.handle(extra_stream)
        flow.handle(plain)
    finally:
        FakeRun.stream_may_end.set()
        for stream in stream_threads:
            stream.join(10)
    assert (extra_stream.status, plain.status) == (503, 200)
    later_stream = FakeExchange("/late-stream")
    flow.handle(later_stream)
    assert later_stream.status == 200


def test_request_of_disconnected_caller_is_not_served(flow):
    """Guards against running requests whose callers disconnected before the request was read."""
    request = FakeExchange("/plain")
    request.abort = lambda: None
    request._peer.close()
    flow.handle(request)
    assert not request.answer_started
