"""Bodies in chunks whose end two parsers could see in different places are refused."""

import os
import random
import socket
import time

import pytest

from turmerictray.core.errors import CallerError, CallerGone
from turmerictray.transport.admin import AdminServer, Page
from turmerictray.transport.server import FrontServer

NEXT = b"GET /next HTTP/1.1\r\nHost: a\r\n\r\n"
HEAD = b"POST /first HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
BAD_SIZES = [b"-1", b"+2", b"0x2", b"1_0", b" 2", b"2 ", b"", b"g", b"\xb2", b"1" * 9, b"2;a\nb"]

_SEEDED_CASES = int(os.environ.get("FRAMING_CASES", "60"))
"""A run by hand takes more, such as 100,000."""


class Served:
    """A server under test and the paths of the requests that it took."""

    def __init__(self) -> None:
        self.paths: list[str] = []

    def answer(self, exchange) -> None:
        try:
            exchange.read_body()
        except CallerError as exc:
            exchange.answer(exc.status, [], b"")
            return
        except CallerGone:
            exchange.abort()
            return
        self.paths.append(exchange.head.path)
        exchange.answer(200, [], b"ok")

    def page(self) -> Page:
        self.paths.append("page")
        return Page(200, b"{}")


def front(served: Served):
    return FrontServer("127.0.0.1", 0, served.answer, threads=4)


def admin(served: Served):
    pages = {path: served.page for path in ("/first", "/next")}
    return AdminServer("127.0.0.1", 0, pages)


@pytest.fixture(params=[front, admin])
def served(request):
    served = Served()
    server = request.param(served)
    server.start()
    served.address = server._server.bind_addr
    yield served
    server.stop()


def talk(served: Served, data: bytes, for_s: float = 1.0) -> list[bytes]:
    """The statuses of all answers to ``data``, sent on one connection that then ends."""
    got = b""
    with socket.create_connection(served.address, timeout=for_s) as sock:
        sock.sendall(data)
        sock.shutdown(socket.SHUT_WR)
        until = time.monotonic() + for_s
        try:
            while time.monotonic() < until and (piece := sock.recv(65536)):
                got += piece
        except OSError:
            pass
    return [part[:3] for part in got.split(b"HTTP/1.1 ")[1:]]


@pytest.mark.parametrize("size", BAD_SIZES)
def test_a_chunk_size_that_is_not_plain_hex_ends_the_connection(served, size):
    # The caller behind the same connection gets an answer to a request it never sent. A size such
    # as -1 ends the body for one parser and not for the next; what follows is then the rest of the
    # body for one of them and a request for the other.
    data = HEAD + size + b"\r\nab\r\n0\r\n\r\n" + NEXT
    assert talk(served, data) in ([b"400"], [])
    assert "/next" not in served.paths


def test_a_request_without_host_is_malformed(served):
    assert talk(served, b"GET /next HTTP/1.1\r\n\r\n") == [b"400"]
    assert served.paths == []


def test_a_body_is_read_before_the_next_request(served):
    chunks = b"3;x=1\r\nGET\r\n0\r\nX-Trailer: 1\r\n\r\n"
    assert len(talk(served, HEAD + chunks + NEXT)) == 2
    body = b"GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n"
    length = b"POST /first HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % len(body)
    assert len(talk(served, length + body + NEXT)) == 2
    assert "/smuggled" not in served.paths


@pytest.mark.parametrize(
    "lines",
    [
        b"Content-Length: 3\r\nTransfer-Encoding: chunked",
        b"Content-Length: 3\r\nContent-Length: 4",
        b"Host: b",
    ],
)
def test_ambiguous_heads_get_one_refusal(served, lines):
    data = b"POST /first HTTP/1.1\r\nHost: a\r\n" + lines + b"\r\n\r\n0\r\n\r\n" + NEXT
    assert talk(served, data) == [b"400"]
    assert served.paths == []


def _mutated(rng: random.Random) -> bytes:
    """A chunked request with a few bytes changed, whose body holds a whole request."""
    body = b"GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n"
    chunks = bytearray(b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body))
    for _ in range(rng.randint(1, 3)):
        chunks[rng.randrange(4)] = rng.choice(b"0123456789abcdefxX+-_ \t;\r\n")
    return HEAD + bytes(chunks)


def test_no_answer_to_bytes_of_a_body(served):
    # Seeded; the same cases each time.
    rng = random.Random(20261203)
    for _ in range(_SEEDED_CASES):
        data = _mutated(rng)
        served.paths.clear()
        talk(served, data, 0.1)
        size = data.removeprefix(HEAD).partition(b"\r\n")[0].partition(b";")[0]
        if "/smuggled" in served.paths:
            # Only where the body really ended before it, by the one size that is plain hex.
            assert size and not size.strip(b"0"), data
