"""Checks whether a target's process still runs."""

import socket
import time
from contextlib import suppress

import pytest

from tests.socket_target import SocketTarget
from turmerictray.core.ids import ServiceName, TargetId, TargetName, ZoneId
from turmerictray.crashes.exit_detection import Liveness
from turmerictray.platform.identity import IdentityCheck
from turmerictray.routing.load import TargetInfo
from turmerictray.transport.pool import ConnectionPool

BORN = 1_700_000_000_000


def make_answer(status: str, body: bytes = b"", field: str = "") -> bytes:
    head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{field}\r\n"
    return head.encode() + body


class AnsweringTarget(SocketTarget):
    """Gives one answer to each request; closes without one, or stays silent if it has none."""

    def __init__(self, answer: bytes | None) -> None:
        self.answer = answer
        self.max_connections = 100
        self.delay_s = 0.0
        super().__init__()

    def info(self, target_id: str = f"e1@{BORN}") -> TargetInfo:
        ids = TargetId(target_id), ServiceName("llm"), self.address, ZoneId("z1")
        return TargetInfo(*ids, slots=4, name=TargetName("e1"))

    def serve(self, conn: socket.socket) -> None:
        self.max_connections -= 1
        with conn, suppress(ConnectionResetError):
            while self.max_connections >= 0 and conn.recv(65536):
                if self.answer is None:
                    time.sleep(2)
                if not self.answer:
                    return
                time.sleep(self.delay_s)
                conn.sendall(self.answer)


@pytest.fixture
def check():
    pool = ConnectionPool()
    yield IdentityCheck(pool)
    pool.close()


@pytest.mark.parametrize(
    ("answer", "found"),
    [
        (make_answer("200 OK", b'{"born":%d}' % BORN), Liveness.RUNNING),
        (make_answer("400 No Id", field="X-Not-Executed: 1\r\n"), Liveness.RUNNING),
        (make_answer("503 Full", field="X-Not-Executed: 1\r\n"), Liveness.RUNNING),
        (make_answer("200 OK", b'{"busy":false}'), Liveness.UNKNOWN),
        (make_answer("200 OK", b"[" * 100_000), Liveness.UNKNOWN),
        (make_answer("200 OK", b"<html>"), Liveness.UNKNOWN),
        (make_answer("302 Found"), Liveness.UNKNOWN),
        (make_answer("404 Not Found"), Liveness.UNKNOWN),
        (make_answer("503 Unavailable"), Liveness.UNKNOWN),
        (make_answer("200 OK", b'{"born":%d}' % (BORN + 5)), Liveness.EXITED),
        (make_answer("421 Misdirected"), Liveness.EXITED),
        (make_answer("502 Bad Gateway"), Liveness.UNKNOWN),
        (make_answer("200 OK", b'{"born":%d}' % BORN)[:-4], Liveness.UNKNOWN),
        (b"HTTP/1.1 200", Liveness.UNKNOWN),
        (b"", Liveness.UNKNOWN),
        (None, Liveness.UNKNOWN),
    ],
)
def test_address_that_accepts_connections_does_not_count_as_its_target(check, answer, found):
    """Guards against a relay, or another process, that is taken for a target which has gone."""
    target = AnsweringTarget(answer)
    assert check(target.info()) is found
    target.close()


@pytest.mark.parametrize("body", [b'{"born":%d}' % BORN, b'{"busy":false}'])
def test_target_whose_entry_has_no_start_time_runs_if_it_reports(check, body):
    """Guards against answers of a sound target that count as cut, and requests that are blamed."""
    target = AnsweringTarget(make_answer("200 OK", body))
    assert check(target.info("e1")) is Liveness.RUNNING
    target.close()


def test_target_that_stands_still_for_a_moment_runs(check):
    """Guards against whole answers that are dropped as their target answers late."""
    target = AnsweringTarget(make_answer("200 OK", b'{"born":%d}' % BORN))
    target.delay_s = 0.5
    assert check(target.info()) is Liveness.RUNNING
    target.close()


def test_address_without_listener_has_exited(check):
    target = AnsweringTarget(b"")
    info = target.info()
    target.close()
    assert check(info) is Liveness.EXITED


def test_target_at_its_connection_limit_is_asked_on_an_idle_connection(check):
    """Guards against whole answers that are dropped as their target turns new connections away."""
    target = AnsweringTarget(make_answer("200 OK", b'{"born":%d}' % BORN))
    assert check(target.info()) is Liveness.RUNNING
    target.max_connections = 0
    assert check(target.info()) is Liveness.RUNNING
    target.close()
