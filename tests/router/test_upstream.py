"""Streams of the product's own path that an engine breaks off."""

from collections.abc import Iterator
from contextlib import suppress
from types import SimpleNamespace

import pytest
import urllib3

from tests.router.cutting_target import (
    AMBIGUOUS_LENGTHS,
    BODY,
    INTERIM_ANSWERS,
    INVALID_CHUNKS,
    INVALID_STATUSES,
    LINES_WITHOUT_FIELD,
    STREAM,
    STREAM_BOUNDARIES,
    CuttingTarget,
    add_line,
    frame,
    make_answer,
)
from tests.socket_target import SocketTarget
from turmerictray.config.schema import ServiceKind
from turmerictray.core.errors import OutcomeUnknown
from turmerictray.crashes import exit_detection
from turmerictray.platform.standins.caller import RawAnswer, RawCaller, make_request
from turmerictray.router.proxy import Proxy
from turmerictray.router.server import HttpServer
from turmerictray.router.upstream import Upstream


@pytest.fixture
def target():
    started = CuttingTarget()
    yield started
    started.close()


def _read(target: CuttingTarget, is_stream: bool) -> tuple[bool, bytes]:
    """Read an answer; return whether it ended as complete, and its body."""
    upstream, data, url = Upstream(), b"", f"http://{target.address}/"
    try:
        resp = upstream.open(url, b"{}", {}, 1.0, 2.0, idempotent=False, is_stream=is_stream)
        read = upstream.stream_events if is_stream else upstream.stream
        for piece in read(resp, url):
            data += piece
    except OutcomeUnknown:
        return False, data
    return True, data


@pytest.mark.parametrize("is_stream", [True, False], ids=["stream", "whole"])
@pytest.mark.parametrize("framing", ["length", "chunks", "none"])
def test_no_answer_that_is_cut_looks_complete(target, framing, is_stream):
    # A stream without length or chunks that ended within an event looked complete, and so did an
    # answer that was cut in its head, or after the first zero of a chunk's size.
    head, wire = make_answer(framing, is_stream, 200)
    for cut in range(-len(head) + 1, len(wire) + 1):
        target.data = (head + wire)[: len(head) + cut]
        complete, body = _read(target, is_stream)
        may_end = cut in STREAM_BOUNDARIES if is_stream else cut >= 0
        assert complete == (may_end if framing == "none" else cut == len(wire)), cut
        assert (STREAM if is_stream else BODY).startswith(body)
        assert not is_stream or len(body) in (0, *STREAM_BOUNDARIES)


@pytest.mark.parametrize("status", [204, 304])
def test_no_answer_without_body_that_is_cut_looks_complete(target, status):
    head, _ = make_answer("length", False, status)
    for size in range(len(head) + 1):
        target.data = head[:size]
        assert _read(target, False) == (size == len(head), b""), size


@pytest.mark.parametrize("status", [204, 304])
def test_answer_that_has_no_body_needs_no_check_of_its_target(target, status, monkeypatch):
    """Guards against a whole answer that is dropped as nobody answers for its target."""
    monkeypatch.setattr(exit_detection, "socket", None)
    target.data, _ = make_answer("none", False, status)
    assert _read(target, False) == (True, b"")


@pytest.mark.parametrize("is_stream", [True, False], ids=["stream", "whole"])
@pytest.mark.parametrize("interim", INTERIM_ANSWERS.values(), ids=INTERIM_ANSWERS)
def test_no_interim_answer_passes_for_the_answer(target, interim, is_stream):
    """Guards against a 103 that was an empty answer, complete whatever followed it."""
    head, wire = make_answer("length", is_stream, 200)
    data = interim + head + wire
    for size in [*range(1, len(interim + head) + 1), len(data) - 1, len(data)]:
        target.data = data[:size]
        complete, body = _read(target, is_stream)
        assert complete == (size == len(data)), (size, target.data[-20:])
        assert (STREAM if is_stream else BODY).startswith(body)
        assert not complete or body


def test_no_change_of_protocol_passes_for_the_answer(target):
    """Guards against a 101 that nobody asked for, which was an empty answer."""
    head, wire = make_answer("none", False, 101)
    target.data = head + wire
    assert _read(target, False) == (False, b"")


@pytest.mark.parametrize("is_stream", [True, False], ids=["stream", "whole"])
@pytest.mark.parametrize("framing", ["length", "chunks"])
@pytest.mark.parametrize("line", LINES_WITHOUT_FIELD.values(), ids=LINES_WITHOUT_FIELD)
def test_no_line_hides_the_length_of_an_answer(target, line, framing, is_stream):
    """Guards against a part of an answer, whose length was lost, that looks like the whole."""
    head, wire = make_answer(framing, is_stream, 200)
    for cut in [0, 5, *STREAM_BOUNDARIES, len(wire)] if is_stream else [0, 5, len(wire)]:
        target.data = add_line(head, line) + wire[:cut]
        assert _read(target, is_stream) == (False, b""), cut


@pytest.mark.parametrize("fields", AMBIGUOUS_LENGTHS)
def test_answer_with_ambiguous_length_is_refused(target, fields):
    """Guards against a body read up to the close, any beginning of which looked complete."""
    target.data = f"HTTP/1.1 200 OK\r\n{fields}\r\n".encode() + BODY
    assert _read(target, False) == (False, b"")


@pytest.mark.parametrize("chunks", INVALID_CHUNKS.values(), ids=INVALID_CHUNKS)
def test_answer_with_invalid_chunks_is_refused(target, chunks):
    """Guards against a negative size, which was no error of the call, and sizes read as others."""
    target.data = make_answer("chunks", False, 200)[0] + chunks
    assert not _read(target, False)[0]


@pytest.mark.parametrize("is_stream", [True, False], ids=["stream", "whole"])
def test_answer_that_only_the_exit_of_its_target_ends_is_not_complete(is_stream):
    """Guards against a part of an answer, cut between two writes, that looks like the whole."""
    _, wire = make_answer("none", is_stream, 200)
    for cut in [*STREAM_BOUNDARIES[:-1], len(wire)] if is_stream else [0, 5, len(wire)]:
        target = CuttingTarget()
        head, _ = make_answer("none", is_stream, 200)
        target.data, target.how = head + wire[:cut], "exit"
        complete, body = _read(target, is_stream)
        target.close()
        assert not complete
        assert body == wire[:cut]


def test_answer_of_a_target_that_nobody_can_ask_is_not_complete(target, monkeypatch):
    """Guards against a target that can't be reached and counts as running."""

    def connect(*_args: object) -> None:
        raise TimeoutError

    monkeypatch.setattr(exit_detection, "socket", SimpleNamespace(create_connection=connect))
    head, wire = make_answer("none", False, 200)
    target.data = head + wire
    assert _read(target, False) == (False, BODY)


_REQUEST_END = b"\r\n\r\n{}"
"""End of a head, and the body of all requests."""


class _KeepingTarget(SocketTarget):
    """Sends the same bytes for each request, and keeps the connection."""

    def __init__(self, answer: bytes) -> None:
        self._answer = answer
        self.requests: list[int] = []
        super().__init__()

    def serve(self, conn) -> None:
        number = len(self.requests)
        self.requests.append(0)
        received = b""
        with conn, suppress(OSError):
            while data := conn.recv(65536):
                # A body may come alone, or with the head of the next request.
                received += data
                while _REQUEST_END in received:
                    received = received.partition(_REQUEST_END)[2]
                    self.requests[number] += 1
                    conn.sendall(self._answer)


def _stream(upstream: Upstream, url: str) -> tuple[urllib3.BaseHTTPResponse, Iterator[bytes]]:
    """Return an answer and its body as the proxy passes it on to the caller of a stream."""
    proxy = Proxy(SimpleNamespace(tell=lambda _message: None), upstream, None, "r")
    req = SimpleNamespace(
        req_id="a1", team="a", stream=True, estimated_cost=1.0, kind=ServiceKind.PLAIN
    )
    resp = upstream.open(url, b"{}", {}, 1.0, 2.0, is_stream=True)
    return resp, proxy._stream_body(req, SimpleNamespace(target="t", url=url), resp)


@pytest.fixture
def call_router(target):
    """Call a router's server that passes the target's answer on; return the caller's answer."""

    def serve(_environ, start_response):
        resp, pieces = _stream(Upstream(), f"http://{target.address}/")
        start_response("200 OK", [("Content-Type", resp.headers["Content-Type"])])
        return pieces

    def call(version: bytes = b"1.1") -> RawAnswer:
        caller = RawCaller(server.server.bind_addr)
        caller.send(make_request("GET", "/").replace(b"HTTP/1.1", b"HTTP/" + version))
        answer = caller.read()
        caller.close()
        return answer

    server = HttpServer("127.0.0.1", 0, serve, 2, "r")
    server.start()
    yield call
    server.stop()


@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_no_cut_answer_without_events_is_framed_as_whole(target, call_router, framing, version):
    """Guards against a part of a document, with an event after it, that ended as a whole one."""
    head, wire = make_answer(framing, False, 200)
    for cut in (0, 9, len(wire) - 1, len(wire)):
        target.data = head + wire[:cut]
        answer = call_router(version)
        is_whole = cut == len(wire)
        assert (answer.status == 200 and answer.complete) == is_whole, cut
        assert b"data: " not in answer.body
        assert not is_whole or answer.body == BODY


@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_cut_stream_ends_with_an_event_of_its_failure(target, call_router, framing):
    head, wire = make_answer(framing, True, 200)
    target.data = head + wire[:-9]
    answer = call_router()
    assert answer.complete
    assert b'"outcome_unknown"' in answer.body


@pytest.mark.parametrize("framing", ["length", "chunks", "none"])
def test_connection_of_a_stream_that_its_caller_left_takes_no_other_request(framing):
    """Guards against a request that is sent within another's answer, and lost."""
    event = b"data: " + 5000 * b"x" + b"\n\n"
    field, wire = frame(3 * event, framing)
    head = f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{field}\r\n"
    target = _KeepingTarget(head.encode() + wire[: 2 * len(event)])
    upstream, url = Upstream(), f"http://{target.address}"
    for _ in range(3):
        _, pieces = _stream(upstream, url)
        assert next(pieces)
        pieces.close()
    target.close()
    assert target.requests == [1, 1, 1]


@pytest.mark.parametrize("is_stream", [True, False], ids=["stream", "whole"])
@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_connection_with_bytes_after_an_answer_takes_no_other_request(framing, is_stream):
    """Guards against an answer that goes to the next caller, and a head without its beginning."""
    head, wire = make_answer(framing, False, 200)
    for size in [*range(1, len(head) + 1), len(head + wire)]:
        target = _KeepingTarget(head + wire + (head + wire)[:size])
        upstream, url = Upstream(), f"http://{target.address}"
        for _ in range(2):
            resp = upstream.open(url, b"{}", {}, 1.0, 2.0, is_stream=is_stream)
            assert upstream.read(resp, url) == BODY
        upstream.close()
        target.close()
        assert target.requests == [1, 1], size


def test_connection_without_further_bytes_takes_the_next_request():
    target = _KeepingTarget(b"".join(make_answer("chunks", False, 200)))
    upstream, url = Upstream(), f"http://{target.address}"
    for _ in range(3):
        assert upstream.read(upstream.open(url, b"{}", {}, 1.0, 2.0), url) == BODY
    target.close()
    assert target.requests == [3]


@pytest.mark.parametrize("status", INVALID_STATUSES)
@pytest.mark.parametrize("is_stream", [True, False], ids=["stream", "whole"])
def test_no_answer_with_an_invalid_status_is_passed_on(target, is_stream, status):
    """Guards against bytes of a target in trouble that a caller gets as an answer."""
    head, wire = make_answer("length", is_stream, status)
    target.data = head + wire
    assert _read(target, is_stream) == (False, b"")
