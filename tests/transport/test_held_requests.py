"""The memory that requests in progress take together."""

import socket
import threading

import pytest

from tests.platform.conftest import wait_for
from turmerictray.config.routes import FrontLimits
from turmerictray.core.errors import CallerError, RouterFull
from turmerictray.transport import exchange as exchange_module
from turmerictray.transport.held_bytes import HeldBytes
from turmerictray.transport.server import FrontServer

LARGE_BYTES = 120 << 10
MAX_TOTAL_BYTES = 300 << 10
MAX_BODY_BYTES = FrontLimits().body_bytes


class HoldingServer:
    """Holds large requests until it is told to answer; refuses those that take too much."""

    def __init__(self) -> None:
        self.may_answer = threading.Event()
        self.holding = threading.Semaphore(0)
        self._server = FrontServer("127.0.0.1", 0, self._handle, threads=8)
        self._server.start()
        self.address = self._server._server.bind_addr

    def _handle(self, exchange) -> None:
        try:
            body = exchange.read_body()
        except RouterFull:
            exchange.answer(503, [], b"")
            return
        except CallerError as exc:
            exchange.answer(exc.status, [], b"")
            return
        if body:
            self.holding.release()
            self.may_answer.wait(5)
        exchange.answer(200, [], b"")

    def stop(self) -> None:
        self.may_answer.set()
        self._server.stop()


@pytest.fixture
def held(monkeypatch):
    held = HeldBytes(MAX_TOTAL_BYTES)
    monkeypatch.setattr(exchange_module, "HELD_REQUESTS", held)
    return held


@pytest.fixture
def server(held):
    server = HoldingServer()
    yield server
    server.stop()


def send(server: HoldingServer, body: bytes, is_chunked: bool = False) -> socket.socket:
    sock = socket.create_connection(server.address, timeout=5)
    framing = f"Content-Length: {len(body)}"
    if is_chunked:
        framing, body = "Transfer-Encoding: chunked", b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    sock.sendall(f"POST / HTTP/1.1\r\nHost: h\r\n{framing}\r\n\r\n".encode() + body)
    return sock


def status(sock: socket.socket) -> int:
    data = b""
    while b"\r\n\r\n" not in data:
        data += sock.recv(4096)
    return int(data.split()[1])


@pytest.mark.parametrize("is_chunked", [False, True])
def test_bodies_beyond_the_memory_for_them_are_refused(server, held, is_chunked):
    """Guards against a router that is killed for its memory with all requests in progress."""
    served = [send(server, bytes(LARGE_BYTES), is_chunked) for _ in range(2)]
    for _ in served:
        assert server.holding.acquire(timeout=5)
    refused = send(server, bytes(LARGE_BYTES), is_chunked)
    assert status(refused) == 503
    refused.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    assert status(refused) == 200
    assert held.total_bytes() == 2 * LARGE_BYTES
    server.may_answer.set()
    assert [status(sock) for sock in served] == [200, 200]
    after = send(server, bytes(LARGE_BYTES), is_chunked)
    assert status(after) == 200


@pytest.mark.parametrize("chunk_bytes", [8 << 10, LARGE_BYTES])
def test_chunked_bodies_count_while_they_are_read(server, held, chunk_bytes):
    """Guards against a router that is killed for its memory by bodies that aren't complete yet."""
    half = b"%x\r\n%b\r\n" % (chunk_bytes, bytes(chunk_bytes))
    head = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    callers = [socket.create_connection(server.address, timeout=5) for _ in range(6)]
    count = LARGE_BYTES // chunk_bytes
    for caller in callers:
        caller.sendall(head + half * count)
    assert wait_for(lambda: held.total_bytes() >= 2 * LARGE_BYTES)
    assert held.total_bytes() <= MAX_TOTAL_BYTES
    for caller in callers:
        caller.sendall(b"0\r\n\r\n")
    server.may_answer.set()
    statuses = sorted(status(caller) for caller in callers)
    assert statuses.count(200) >= 2 and set(statuses) == {200, 503}
    callers[0].sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    assert status(callers[0]) == 200
    assert wait_for(lambda: not held.total_bytes())


@pytest.mark.parametrize("length", [MAX_BODY_BYTES + 1, 1 << 31])
def test_chunk_over_the_limit_is_told_at_once(server, length):
    """Guards against callers that get no answer, as all of a chunk is waited for."""
    with socket.create_connection(server.address, timeout=5) as caller:
        head = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        caller.sendall(head + b"%x\r\n" % length)
        assert status(caller) == 413


def test_body_larger_than_the_memory_for_all_is_held_alone():
    """Guards against a body within the operators' limit that is refused for good."""
    held = HeldBytes(MAX_TOTAL_BYTES)
    assert held.resize(0, 2 * MAX_TOTAL_BYTES)
    assert not held.resize(0, LARGE_BYTES)
    assert held.resize(2 * MAX_TOTAL_BYTES, 0)
    assert held.total_bytes() == 0
