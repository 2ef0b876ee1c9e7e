"""Idle connections to targets: reused only when that is safe."""

import socket
import threading
import time
from contextlib import suppress

import pytest

from tests.socket_target import SocketTarget
from turmerictray.core.errors import NotSent, OutcomeUnknown
from turmerictray.transport.pool import ConnectionPool
from turmerictray.transport.target_conn import TargetRequest

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n%s\r\nok"
REQUEST = TargetRequest("GET", "/a", [("Host", "h")], b"")


class OneShotTarget(SocketTarget):
    """Answers each request on a connection with the next of some byte strings."""

    def __init__(self, *answers: bytes) -> None:
        self.answers = list(answers)
        self.accepted = 0
        super().__init__()

    def serve(self, conn: socket.socket) -> None:
        self.accepted += 1
        with conn, suppress(ConnectionResetError):
            while conn.recv(65536) and self.answers:
                conn.sendall(self.answers.pop(0))


@pytest.fixture
def start_target():
    started = []

    def start(*answers: bytes) -> OneShotTarget:
        started.append(OneShotTarget(*answers))
        return started[-1]

    yield start
    for target in started:
        target.close()


def request_once(pool: ConnectionPool, target: OneShotTarget) -> bytes:
    conn = pool.acquire("t", target.address, 1.0)
    conn.send(REQUEST, 1.0)
    head = conn.read_head("GET", 1.0)
    body = conn.read_body(time.monotonic() + 1.0)
    pool.release("t", conn, head)
    return body


def test_idle_connection_is_reused(start_target):
    target, pool = start_target(*[OK % b""] * 3), ConnectionPool()
    assert [request_once(pool, target) for _ in range(3)] == [b"ok"] * 3
    assert target.accepted == 1


def test_unrequested_answer_is_not_given_to_next_caller(start_target):
    # The target sends a second answer after a complete one. If the connection were reused, it
    # would be taken for the answer to the next request.
    extra = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
    target, pool = start_target((OK % b"") + extra, OK % b""), ConnectionPool()
    assert request_once(pool, target) == b"ok"
    assert request_once(pool, target) == b"ok"
    assert target.accepted == 2


def test_connection_near_its_idle_limit_is_not_reused(start_target):
    # If the target closes it just then, the request is reset and may or may not have run.
    target = start_target(*[OK % b"Keep-Alive: timeout=1\r\n"] * 2)
    pool = ConnectionPool()
    request_once(pool, target)
    time.sleep(0.4)
    request_once(pool, target)
    assert target.accepted == 2


def test_connection_closed_by_target_is_not_reused(start_target):
    target, pool = start_target(OK % b""), ConnectionPool()
    request_once(pool, target)
    target.answers.append(OK % b"")
    time.sleep(0.05)
    closed = start_target(OK % b"Connection: close\r\n", OK % b"")
    request_once(pool, closed)
    request_once(pool, closed)
    assert closed.accepted == 2


def test_truncated_body_is_an_error(start_target):
    target = start_target(b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf")
    with pytest.raises(OutcomeUnknown):
        request_once(ConnectionPool(), target)


def test_truncated_chunked_body_is_an_error(start_target):
    target = start_target(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel")
    with pytest.raises(OutcomeUnknown):
        request_once(ConnectionPool(), target)


def test_invalid_answer_is_an_error(start_target):
    with pytest.raises(OutcomeUnknown):
        request_once(ConnectionPool(), start_target(b"\x00\x01 nothing\r\n\r\n"))


def test_refused_connection_raises_not_sent():
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        host, port = unused.getsockname()
        with pytest.raises(NotSent):
            ConnectionPool().acquire("t", f"{host}:{port}", 0.5)


def test_abort_ends_blocked_read_at_once(start_target):
    target = start_target(b"")
    conn = ConnectionPool().acquire("t", target.address, 1.0)
    conn.send(REQUEST, 1.0)
    threading.Timer(0.1, conn.abort).start()
    started_at = time.monotonic()
    with pytest.raises(OutcomeUnknown):
        conn.read_head("GET", 5.0)
    assert time.monotonic() - started_at < 1.0


def test_expired_idle_connections_are_closed(start_target):
    # A target is replaced under another id, so its idle connections are never acquired again. If
    # they stayed open, each replacement would use up file descriptors, until none are left for
    # callers.
    target, pool = start_target(OK % b"Keep-Alive: timeout=1\r\n"), ConnectionPool()
    request_once(pool, target)
    assert pool.idle_count() == 1
    pool.close_expired()
    assert pool.idle_count() == 1
    time.sleep(1.1)
    pool.close_expired()
    assert pool.idle_count() == 0
