"""Kept connections to targets: used again only when that is safe."""

import socket
import threading
import time

import pytest

from turmerictray.core.errors import NotSent, OutcomeUnknown
from turmerictray.transport.pool import ConnectionPool
from turmerictray.transport.target_conn import TargetRequest

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n%s\r\nok"
REQUEST = TargetRequest("GET", "/a", [("Host", "h")], b"")


class OneShotTarget:
    """Answers each request on a connection with the next of some byte strings."""

    def __init__(self, *answers: bytes) -> None:
        self.answers = list(answers)
        self.accepted = 0
        self._server = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        host, port = self._server.getsockname()
        return f"{host}:{port}"

    def _accept(self) -> None:
        while True:
            try:
                conn, _ = self._server.accept()
            except OSError:
                return
            self.accepted += 1
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn: socket.socket) -> None:
        while conn.recv(65536) and self.answers:
            conn.sendall(self.answers.pop(0))
        conn.close()

    def close(self) -> None:
        self._server.close()


@pytest.fixture
def start_target():
    started = []

    def start(*answers: bytes) -> OneShotTarget:
        started.append(OneShotTarget(*answers))
        return started[-1]

    yield start
    for target in started:
        target.close()


def call(pool: ConnectionPool, target: OneShotTarget) -> bytes:
    conn = pool.take("t", target.address, 1.0)
    conn.send(REQUEST, 1.0)
    head = conn.read_head("GET", 1.0)
    body = conn.read_whole(time.monotonic() + 1.0)
    pool.give_back("t", conn, head)
    return body


def test_connection_is_used_again(start_target):
    target, pool = start_target(*[OK % b""] * 3), ConnectionPool()
    assert [call(pool, target) for _ in range(3)] == [b"ok"] * 3
    assert target.accepted == 1


def test_answer_that_nobody_asked_for_is_not_the_next_callers(start_target):
    # The target sends a second answer after a whole one. It lies on the kept connection when the
    # next request goes out there, and would be taken for its answer.
    extra = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
    target, pool = start_target((OK % b"") + extra, OK % b""), ConnectionPool()
    assert call(pool, target) == b"ok"
    assert call(pool, target) == b"ok"
    assert target.accepted == 2


def test_connection_near_its_idle_limit_is_not_used(start_target):
    # A target that closes just then resets the request, and nobody knows whether it ran.
    target = start_target(*[OK % b"Keep-Alive: timeout=1\r\n"] * 2)
    pool = ConnectionPool()
    call(pool, target)
    time.sleep(0.4)
    call(pool, target)
    assert target.accepted == 2


def test_connection_that_the_target_closed_is_not_used(start_target):
    target, pool = start_target(OK % b""), ConnectionPool()
    call(pool, target)
    target.answers.append(OK % b"")
    time.sleep(0.05)
    closed = start_target(OK % b"Connection: close\r\n", OK % b"")
    call(pool, closed)
    call(pool, closed)
    assert closed.accepted == 2


def test_body_that_is_cut_short_is_an_error(start_target):
    target = start_target(b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf")
    with pytest.raises(OutcomeUnknown):
        call(ConnectionPool(), target)


def test_chunks_that_end_early_are_an_error(start_target):
    target = start_target(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel")
    with pytest.raises(OutcomeUnknown):
        call(ConnectionPool(), target)


def test_bytes_that_are_no_answer_are_an_error(start_target):
    with pytest.raises(OutcomeUnknown):
        call(ConnectionPool(), start_target(b"\x00\x01 nothing\r\n\r\n"))


def test_refused_connection_was_not_sent():
    with socket.socket() as nobody_listens:
        nobody_listens.bind(("127.0.0.1", 0))
        host, port = nobody_listens.getsockname()
        with pytest.raises(NotSent):
            ConnectionPool().take("t", f"{host}:{port}", 0.5)


def test_abort_ends_a_wait_at_once(start_target):
    target = start_target(b"")
    conn = ConnectionPool().take("t", target.address, 1.0)
    conn.send(REQUEST, 1.0)
    threading.Timer(0.1, conn.abort).start()
    begun = time.monotonic()
    with pytest.raises(OutcomeUnknown):
        conn.read_head("GET", 5.0)
    assert time.monotonic() - begun < 1.0


def test_idle_connections_are_closed_when_nobody_takes_them_again(start_target):
    # A target is replaced under another id, so its kept connections are never taken again. Left
    # open, each replacement costs descriptors until the process has none for its callers.
    target, pool = start_target(OK % b"Keep-Alive: timeout=1\r\n"), ConnectionPool()
    call(pool, target)
    assert pool.idle_count() == 1
    pool.close_expired()
    assert pool.idle_count() == 1
    time.sleep(1.1)
    pool.close_expired()
    assert pool.idle_count() == 0
