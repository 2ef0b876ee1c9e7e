"""Handling of ambiguous, oversized and slow requests by the router's HTTP front."""

import json
import socket
import time

import pytest

from turmerictray.loadtool.local import LocalFleet

BODY = json.dumps({"max_tokens": 3, "messages": [{"role": "user", "content": "plan"}]}).encode()
PATH = "/v1/chat/completions"


@pytest.fixture
def connect(start_fleet):
    fleet: LocalFleet = start_fleet(engines=1, routers=1, services=0, teams={"small": 1.0})
    host, _, port = fleet.routers()[0].url.removeprefix("http://").rpartition(":")
    sockets = []

    def open_connection() -> socket.socket:
        sockets.append(socket.create_connection((host, int(port)), timeout=6))
        return sockets[-1]

    yield open_connection
    for sock in sockets:
        sock.close()


def request_head(*lines: str) -> bytes:
    return "\r\n".join(
        [f"POST {PATH} HTTP/1.1", "Host: r", "X-Team: small", *lines, "", ""]
    ).encode()


def answer_statuses(sock: socket.socket, duration_s: float = 1.5) -> list[int]:
    """Return the statuses of all answers that arrive within ``duration_s`` seconds."""
    data, deadline = b"", time.monotonic() + duration_s
    while (left_s := deadline - time.monotonic()) > 0:
        sock.settimeout(left_s)
        try:
            received = sock.recv(65536)
        except (TimeoutError, ConnectionError):
            break
        if not received:
            break
        data += received
    answers = data.split(b"HTTP/1.1 ")[1:]
    return [int(answer[:3]) for answer in answers]


def test_chunked_body_gets_one_answer(connect):
    # If the front does not read all chunks of a body, it parses the rest as the next request on
    # the connection, and the caller gets a second answer that belongs to no request.
    sock = connect()
    half = len(BODY) // 2
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in (BODY[:half], BODY[half:]))
    sock.sendall(request_head("Transfer-Encoding: chunked") + chunks + b"0\r\n\r\n")
    assert answer_statuses(sock) == [200]


@pytest.mark.parametrize(
    "lines",
    [
        ("Content-Length: 5", "Transfer-Encoding: chunked"),
        ("Content-Length: 5", "Content-Length: 6"),
        ("Content-Length: five",),
    ],
)
def test_ambiguous_framing_is_refused_and_the_connection_closed(connect, lines):
    sock = connect()
    sock.sendall(
        request_head(*lines) + b"0\r\n\r\nPOST /v1/completions HTTP/1.1\r\nHost: r\r\n\r\n"
    )
    assert answer_statuses(sock) == [400]
    assert sock.recv(1) == b""


def test_header_over_the_limit_is_refused(connect):
    sock = connect()
    sock.sendall(request_head("X-Long: " + "x" * 40_000))
    assert answer_statuses(sock)[0] in (413, 431)


def test_incomplete_request_line_times_out(connect):
    """Guards against a front thread that is blocked by a caller that stopped sending."""
    sock = connect()
    sock.sendall(b"POST /v1/chat")
    started = time.monotonic()
    answer_statuses(sock, 5.5)
    assert time.monotonic() - started < 5.0


def test_unknown_expectation_is_refused(connect):
    """Guards against a caller that waits for an expectation that the router does not support."""
    sock = connect()
    sock.sendall(request_head("Expect: teapot", f"Content-Length: {len(BODY)}") + BODY)
    assert answer_statuses(sock) == [417]
