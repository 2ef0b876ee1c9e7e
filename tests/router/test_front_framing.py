"""Ambiguous, oversized and slow requests at the product's own front."""

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
    opened = []

    def open_connection() -> socket.socket:
        opened.append(socket.create_connection((host, int(port)), timeout=6))
        return opened[-1]

    yield open_connection
    for sock in opened:
        sock.close()


def head(*lines: str) -> bytes:
    return "\r\n".join(
        [f"POST {PATH} HTTP/1.1", "Host: r", "X-Team: small", *lines, "", ""]
    ).encode()


def answers(sock: socket.socket, for_s: float = 1.5) -> list[int]:
    """Statuses of all answers that come within ``for_s`` seconds."""
    data, until = b"", time.monotonic() + for_s
    while (left := until - time.monotonic()) > 0:
        sock.settimeout(left)
        try:
            piece = sock.recv(65536)
        except (TimeoutError, ConnectionError):
            break
        if not piece:
            break
        data += piece
    marks = data.split(b"HTTP/1.1 ")[1:]
    return [int(mark[:3]) for mark in marks]


def test_body_in_chunks_gets_one_whole_answer(connect):
    # Read as a truncated body, the chunks stay on the connection and are taken for the next
    # request: the caller gets two answers, and the second belongs to nobody.
    sock = connect()
    half = len(BODY) // 2
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in (BODY[:half], BODY[half:]))
    sock.sendall(head("Transfer-Encoding: chunked") + chunks + b"0\r\n\r\n")
    assert answers(sock) == [200]


@pytest.mark.parametrize(
    "lines",
    [
        ("Content-Length: 5", "Transfer-Encoding: chunked"),
        ("Content-Length: 5", "Content-Length: 6"),
        ("Content-Length: five",),
    ],
)
def test_ambiguous_framing_is_refused_once_and_closed(connect, lines):
    sock = connect()
    sock.sendall(head(*lines) + b"0\r\n\r\nPOST /v1/completions HTTP/1.1\r\nHost: r\r\n\r\n")
    assert answers(sock) == [400]
    assert sock.recv(1) == b""


def test_header_over_the_limit_is_refused(connect):
    sock = connect()
    sock.sendall(head("X-Long: " + "x" * 40_000))
    assert answers(sock)[0] in (413, 431)


def test_half_a_request_line_does_not_hold_a_thread(connect):
    sock = connect()
    sock.sendall(b"POST /v1/chat")
    begun = time.monotonic()
    answers(sock, 5.5)
    assert time.monotonic() - begun < 5.0


def test_an_expectation_that_is_not_known_is_refused(connect):
    """Guards against a caller that is left to wait for what the router does not do."""
    sock = connect()
    sock.sendall(head("Expect: teapot", f"Content-Length: {len(BODY)}") + BODY)
    assert answers(sock) == [417]
