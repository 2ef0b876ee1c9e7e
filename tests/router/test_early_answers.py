"""Answers that come before their request has been sent whole, on both paths."""

import socket
import time
from contextlib import suppress

import pytest

from tests.router.cutting_target import BODY, STREAM, STREAM_BOUNDARIES, make_answer
from tests.router.test_cut_answers import relay
from tests.socket_target import SocketTarget
from turmerictray.core.errors import OutcomeUnknown
from turmerictray.router.upstream import Upstream
from turmerictray.transport.reset import set_reset_on_close
from turmerictray.transport.target_conn import TargetConnection, TargetRequest

_UPLOAD = b"x" * 3_500_000
_UNTIL_CLOSE_S = 0.3


class EarlyTarget(SocketTarget):
    """Answers an upload at once, sends a part of its body, and ends the connection.

    Attributes
    ----------
    read_bytes : int
        Bytes of the upload that it reads before it answers.
    end : callable
        Ends the connection.
    """

    def __init__(self, answer: bytes, read_bytes: int, end, until_end_s: float) -> None:
        self.answer = answer
        self.read_bytes = read_bytes
        self.end = end
        self.until_end_s = until_end_s
        super().__init__()

    def serve(self, conn: socket.socket) -> None:
        with conn, suppress(OSError):
            left = max(1, self.read_bytes)
            while left > 0:
                left -= len(conn.recv(min(left, 65536)))
            conn.sendall(self.answer)
            time.sleep(self.until_end_s)
            self.end(conn)


def _reset(conn: socket.socket) -> None:
    set_reset_on_close(conn, True)


def _close(_conn: socket.socket) -> None:
    """Leave the close to the caller; unread bytes let the system reset the connection."""


def _half_close(conn: socket.socket) -> None:
    conn.shutdown(socket.SHUT_WR)
    time.sleep(_UNTIL_CLOSE_S)


def _is_whole_routed(target: EarlyTarget) -> bool:
    complete, _, conn = relay(target, body=_UPLOAD)
    conn.close()
    return complete


def _is_whole_on_own_path(target: EarlyTarget, is_stream: bool) -> bool:
    upstream, url = Upstream(), f"http://{target.address}/"
    try:
        resp = upstream.open(url, _UPLOAD, {}, 1.0, 2.0, idempotent=False, is_stream=is_stream)
        read = upstream.stream_events if is_stream else upstream.stream
        list(read(resp, url))
    except OutcomeUnknown:
        return False
    return True


@pytest.mark.parametrize("end", [_reset, _close, _half_close])
@pytest.mark.parametrize("until_end_s", [0.0, _UNTIL_CLOSE_S])
@pytest.mark.parametrize("read_bytes", [0, 65536])
@pytest.mark.parametrize("is_stream", [True, False], ids=["stream", "whole"])
@pytest.mark.parametrize("path", ["routed", "own"])
def test_answer_that_ends_before_its_request_was_sent_is_not_complete(
    path, is_stream, read_bytes, until_end_s, end
):
    """Guards against a part of an answer that looks whole, as nothing but a close ends it."""
    head, _ = make_answer("none", is_stream, 200)
    part = STREAM[: STREAM_BOUNDARIES[1]] if is_stream else BODY[:8]
    target = EarlyTarget(head + part, read_bytes, end, until_end_s)
    try:
        if path == "routed":
            assert not _is_whole_routed(target)
        else:
            assert not _is_whole_on_own_path(target, is_stream)
    finally:
        target.close()


def test_reset_that_follows_a_close_makes_an_answer_incomplete():
    """Guards against a part that looks whole, as all of its request was in transit at the close."""
    head, _ = make_answer("none", False, 200)
    target = EarlyTarget(head + BODY[:8], 1, _half_close, 0.0)
    conn = TargetConnection(target.address, 1.0)
    try:
        conn.send(TargetRequest("POST", "/", [("Host", "h")], b"short"), 1.0)
        conn.read_head("POST", 1.0)
        assert conn.read_body(time.monotonic() + 2.0) == BODY[:8]
        conn.check_close()
        time.sleep(2 * _UNTIL_CLOSE_S)
        with pytest.raises(OutcomeUnknown):
            conn.check_close()
    finally:
        conn.close()
        target.close()


@pytest.mark.parametrize("framing", ["length", "chunks"])
@pytest.mark.parametrize("path", ["routed", "own"])
def test_early_answer_that_proves_whole_is_complete(path, framing):
    """Guards against a refusal of a long upload that its caller never gets."""
    head, wire = make_answer(framing, False, 413)
    target = EarlyTarget(head + wire, 65536, _half_close, 0.0)
    try:
        if path == "routed":
            assert _is_whole_routed(target)
        else:
            assert _is_whole_on_own_path(target, False)
    finally:
        target.close()
