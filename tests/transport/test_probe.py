"""Detection of overload: callers that wait too long to be accepted or read."""

import socket
import threading
import time

import pytest

from turmerictray.transport.probe import FrontProbe
from turmerictray.transport.server import FrontServer


@pytest.fixture
def listener():
    with socket.create_server(("127.0.0.1", 0), backlog=64) as sock:
        yield sock


@pytest.fixture
def start_probe():
    probes = []

    def make(address) -> FrontProbe:
        probe = FrontProbe(*address)
        probes.append(probe)
        probe.start()
        return probe

    yield make
    for probe in probes:
        probe.stop()


def wait_for(condition, timeout_s: float = 5.0) -> bool:
    end = time.monotonic() + timeout_s
    while not condition() and time.monotonic() < end:
        time.sleep(0.02)
    return condition()


def answer_all_connections(listener) -> None:
    while True:
        try:
            sock, _ = listener.accept()
        except OSError:
            return
        with sock:
            sock.sendall(b"HTTP/1.1 400 Bad Request\r\n\r\n")


def test_unaccepted_connections_are_detected_until_accepted(listener, start_probe):
    """Guards against a router that reports ready while it accepts no connections."""
    probe = start_probe(listener.getsockname())
    assert not probe.is_overloaded()
    assert wait_for(probe.is_overloaded)
    threading.Thread(target=answer_all_connections, args=(listener,), daemon=True).start()
    assert wait_for(lambda: not probe.is_overloaded())


def test_accepted_but_unread_requests_are_detected(start_probe):
    started, finish = threading.Semaphore(0), threading.Event()

    def handle(exchange):
        started.release()
        finish.wait(10)

    front = FrontServer("127.0.0.1", 0, handle, threads=2)
    front.start()
    callers = [socket.create_connection(front._server.bind_addr) for _ in range(2)]
    try:
        for caller in callers:
            caller.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            started.acquire(timeout=5)
        probe = start_probe(front._server.bind_addr)
        assert wait_for(probe.is_overloaded)
        finish.set()
        assert wait_for(lambda: not probe.is_overloaded())
    finally:
        finish.set()
        for caller in callers:
            caller.close()
        front.stop()


def test_responsive_or_stopped_server_is_not_overloaded(start_probe):
    front = FrontServer("127.0.0.1", 0, lambda exchange: None, threads=2)
    front.start()
    address = front._server.bind_addr
    probe = start_probe(address)
    try:
        assert not wait_for(probe.is_overloaded, 1.2)
    finally:
        front.stop()
    assert not wait_for(probe.is_overloaded, 1.2)
