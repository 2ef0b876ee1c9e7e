"""Seeded requests with unusual framing against a real server; FRAMINGS sets their number."""

import os
import random
import socket

import pytest

from turmerictray.core.errors import CallerError, CallerGone
from turmerictray.transport.server import FrontServer

CASE_COUNT = int(os.environ.get("FRAMINGS", "1000"))
SEED = 7
SMUGGLED = b"GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n"
"""Contained in each body; a parser that ends the body too early takes it for a request."""

PROBE = b"GET /probe HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
_ANSWER_TIMEOUT_S = 3.0


class RecordingServer:
    """A server that answers each request with its target and records the requests."""

    def __init__(self) -> None:
        self.received: list[tuple[str, bytes]] = []
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            self.address = free.getsockname()
        self.server = FrontServer(*self.address, self._handle, 8)
        self.server.start()

    def _handle(self, exchange) -> None:
        try:
            body = exchange.read_body()
        except CallerError as exc:
            exchange.answer(exc.status, [], b"")
            return
        except CallerGone:
            exchange.abort()
            return
        self.received.append((exchange.head.target, body))
        exchange.answer(200, [("X-Target", exchange.head.target)], b"")

    def send_raw(self, data: bytes) -> bytes:
        """Send ``data`` and return everything received until the connection is closed."""
        with socket.create_connection(self.address, timeout=_ANSWER_TIMEOUT_S) as sock:
            got = b""
            try:
                sock.sendall(data)
                sock.shutdown(socket.SHUT_WR)
                while piece := sock.recv(65536):
                    got += piece
            except ConnectionError:
                # The server closes the connection with bytes unread after an ambiguous body.
                return got
            return got


@pytest.fixture(scope="module")
def front():
    recording = RecordingServer()
    yield recording
    recording.server.stop()


def encode_chunked(body: bytes, rng: random.Random) -> bytes:
    """Return ``body`` in chunks, some of them with an unusual header line."""
    data, at = b"", 0
    while at < len(body):
        piece = body[at : at + rng.randint(1, 40)]
        at += len(piece)
        size = rng.choice(
            [b"%x", b"%X", b"0%x", b"%x;a=b", b"%x ;a", b"+%x", b"0x%x", b" %x", b"-%x"]
        )
        end = rng.choice([b"\r\n"] * 8 + [b"\n"])
        data += size % len(piece) + end + piece + b"\r\n"
    return data + rng.choice([b"0\r\n\r\n", b"0\r\nX-T: 1\r\n\r\n", b"00\r\n\r\n", b"-0\r\n\r\n"])


def make_framing_headers(rng: random.Random, length: int) -> list[bytes]:
    """Return header lines, some of them ambiguous, that frame a body of ``length`` bytes."""
    size = b"%d" % length
    lengths = [
        size,
        b"+" + size,
        b"0" + size,
        size + b", " + size,
        size + b";",
        hex(length).encode(),
    ]
    names = [b"Content-Length", b"content-length", b"Content-Length ", b"Content_Length"]
    codings = [
        b"chunked",
        b"Chunked",
        b"chunked, identity",
        b"xchunked",
        b"chunked;q=1",
        b"identity",
    ]
    lines = []
    if rng.random() < 0.7:
        lines.append(
            rng.choice(names) + b":" + rng.choice([b" ", b"", b"\t"]) + rng.choice(lengths)
        )
    if rng.random() < 0.2:
        lines.append(b"Content-Length: " + rng.choice([size, b"0", b"5"]))
    if rng.random() < 0.4:
        lines.append(
            rng.choice([b"Transfer-Encoding: ", b"Transfer-Encoding:"]) + rng.choice(codings)
        )
    if rng.random() < 0.1:
        lines.append(b" folded: 1")
    rng.shuffle(lines)
    return lines


def ends_body_early(lines: list[bytes], length: int) -> bool:
    """Return whether a head unambiguously ends its body before ``length`` bytes."""
    named = [line.partition(b":") for line in lines]
    framed = [
        (name.lower(), value.strip(b" \t"))
        for name, _, value in named
        if name.lower() in (b"content-length", b"transfer-encoding")
    ]
    if not framed:
        return True
    (name, value), more = framed[0], framed[1:]
    return not more and name == b"content-length" and value.isdigit() and int(value) < length


def make_request(rng: random.Random) -> tuple[bytes, bool]:
    """Return a request and whether its framing is entirely regular."""
    body = b"x" * rng.randint(0, 60) + SMUGGLED + b"y" * rng.randint(0, 60)
    lines = make_framing_headers(rng, len(body))
    while ends_body_early(lines, len(body)):
        lines = make_framing_headers(rng, len(body))
    is_chunked = any(line.lower().startswith(b"transfer-encoding") for line in lines)
    sent = encode_chunked(body, rng) if is_chunked else body
    head = [b"POST /odd HTTP/1.1", b"Host: a", *lines, b"", b""]
    end = rng.choice([b"\r\n"] * 9 + [b"\n"])
    is_plain = lines == [b"Content-Length: %d" % len(body)] and end == b"\r\n"
    return end.join(head) + sent, is_plain


def test_bytes_of_body_are_never_answered(front):
    """Guards against the rest of a body being parsed as the next caller's request."""
    rng = random.Random(SEED)
    for _ in range(CASE_COUNT):
        data, is_plain = make_request(rng)
        got = front.send_raw(data + PROBE)
        statuses = [mark[:3] for mark in got.split(b"HTTP/1.1 ")[1:]]
        assert len(statuses) <= 2, (data, got)
        assert not any(target == "/hidden" for target, _ in front.received), data
        if is_plain:
            assert statuses == [b"200", b"200"], (data, got)
        if statuses and statuses[0] != b"200":
            assert statuses[0][:1] in b"45" and len(statuses) == 1, (data, got)
        front.received.clear()
