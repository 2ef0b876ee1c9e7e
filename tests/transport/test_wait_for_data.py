"""Waiting for more of an answer without reading it."""

import socket
import threading
import time
from collections.abc import Iterator

import pytest

from turmerictray.core.errors import ConnectionBroken, OutcomeUnknown
from turmerictray.transport.reset import set_reset_on_close
from turmerictray.transport.target_conn import TargetConnection, TargetRequest

CHUNKS_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LENGTH_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n"
SHORT_S = 0.05
LONG_S = 2.0


@pytest.fixture
def link() -> Iterator[tuple[TargetConnection, socket.socket]]:
    """Connect to a target; both ends are given."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        conn = TargetConnection(f"127.0.0.1:{server.getsockname()[1]}", 1.0)
        target, _ = server.accept()
    with target:
        yield conn, target
    conn.close()


def _begin(link, answer: bytes) -> TargetConnection:
    conn, target = link
    conn.send(TargetRequest("GET", "/", [("Host", "h")], b""), 1.0)
    target.sendall(answer)
    conn.read_head("GET", 1.0)
    return conn


def _wait(conn: TargetConnection, within_s: float) -> bool:
    return conn.wait_for_data(time.monotonic() + within_s)


def _read(conn: TargetConnection) -> bytes:
    return conn.read_available(time.monotonic() + LONG_S)


@pytest.mark.parametrize(
    ("first", "second", "rest"),
    [
        (CHUNKS_HEAD + b"3\r\nabc\r\n", b"3\r\ndef\r\n", b"0\r\n\r\n"),
        (CHUNKS_HEAD + b"3\r\nabc", b"\r\n3\r\ndef\r\n0\r\n", b"\r\n"),
        (CHUNKS_HEAD + b"3\r\nabc\r\n0", b"3\r\ndef", b"\r\n0\r\n\r\n"),
        (CHUNKS_HEAD + b"6\r\nabc", b"def", b"\r\n0\r\n\r\n"),
        (LENGTH_HEAD + b"abc", b"def", b""),
    ],
)
def test_body_is_read_to_its_end_after_silences(link, first, second, rest):
    """Guards against a stream that breaks as its target goes on after a silence."""
    conn, target = _begin(link, first), link[1]
    assert _wait(conn, SHORT_S)
    assert _read(conn) == b"abc"
    for _ in range(2):
        assert not _wait(conn, SHORT_S)
    target.sendall(second)
    assert _wait(conn, LONG_S)
    assert _read(conn) == b"def"
    target.sendall(rest)
    assert _wait(conn, LONG_S)
    assert _read(conn) == b""
    assert conn.is_reusable()


@pytest.mark.parametrize("end", [b"\r\n", b"\n"])
def test_end_of_a_chunk_that_arrives_alone_is_no_data(link, end):
    """Guards against a read that waits for the next chunk, as the end of the last came late."""
    conn, target = _begin(link, CHUNKS_HEAD + b"3\r\nabc"), link[1]
    assert _read(conn) == b"abc"
    sender = threading.Timer(SHORT_S, target.sendall, [end])
    sender.start()
    assert not _wait(conn, 4 * SHORT_S)
    sender.join()
    assert not _wait(conn, SHORT_S)
    target.sendall(b"3\r\ndef\r\n0\r\n\r\n")
    for data in (b"def", b""):
        assert _wait(conn, LONG_S)
        assert _read(conn) == data


def test_chunks_that_arrived_together_are_not_waited_for(link):
    """Guards against an event that is kept back in a buffer until the next one."""
    conn = _begin(link, CHUNKS_HEAD + b"3\r\nabc\r\n3\r\ndef\r\n0\r\n\r\n")
    for data in (b"abc", b"def", b""):
        assert _wait(conn, 0.0)
        assert _read(conn) == data


@pytest.mark.parametrize("head", [CHUNKS_HEAD + b"6\r\nabc", LENGTH_HEAD + b"abc"])
def test_broken_connection_ends_the_wait(link, head):
    """Guards against a stream that is held at a target that has ended."""
    conn, target = _begin(link, head), link[1]
    assert _read(conn) == b"abc"
    set_reset_on_close(target, True)
    closer = threading.Timer(SHORT_S, target.close)
    closer.start()
    started_at = time.monotonic()
    with pytest.raises(ConnectionBroken):
        if _wait(conn, LONG_S):
            _read(conn)
    closer.join()
    assert time.monotonic() - started_at < LONG_S / 2


def test_abort_ends_the_wait(link):
    """Guards against a caller that leaves while its silent target is waited for."""
    conn = _begin(link, CHUNKS_HEAD)
    aborter = threading.Timer(SHORT_S, conn.abort)
    aborter.start()
    started_at = time.monotonic()
    with pytest.raises(OutcomeUnknown, match="given up"):
        _wait(conn, LONG_S)
    aborter.join()
    assert time.monotonic() - started_at < LONG_S / 2
