"""Requests that are answered from their head alone."""

import socket

import pytest

from turmerictray.platform.standins.caller import RawCaller, make_request
from turmerictray.transport.fast_path import (
    encode_closing_answer,
    is_complete_request,
    parse_complete_request,
)
from turmerictray.transport.server import FrontServer

HEAD = b"POST /plan/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nX-Request-Id: r\r\n\r\n"


def test_complete_request_is_parsed():
    head = parse_complete_request(HEAD + b"hello")
    assert (head.method, head.target) == ("POST", "/plan/1")
    assert head.headers["X-Request-Id"] == "r"


@pytest.mark.parametrize(
    "data",
    [
        b"",
        HEAD[:-2],
        HEAD + b"hell",
        HEAD + b"hello" + HEAD,
        HEAD.replace(b"Host: a\r\n", b""),
        HEAD.replace(b"Content-Length: 5", b"Transfer-Encoding: chunked") + b"hello",
        HEAD.replace(b"Content-Length: 5", b"Content-Length: 5\r\nContent-Length: 5") + b"hello",
        HEAD.replace(b"Content-Length: 5", b"Content-Length: +5") + b"hello",
        HEAD.replace(b"X-Request-Id:", b"X-Request-Id :") + b"hello",
        HEAD.replace(b"HTTP/1.1", b"HTTP/1.0") + b"hello",
        HEAD.replace(b"Content-Length: 5", b"Content-Length: 5\r\nExpect: 100-continue") + b"hello",
    ],
)
def test_anything_but_one_simple_request_is_not_parsed(data):
    """Guards against bytes of a body being answered as a request."""
    assert parse_complete_request(data) is None


def test_request_is_complete_with_its_last_byte():
    assert is_complete_request(HEAD + b"hello")
    assert not is_complete_request(HEAD + b"hell")
    assert not is_complete_request(HEAD[:-1])
    assert not is_complete_request(None)
    assert is_complete_request(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    assert not is_complete_request(
        HEAD.replace(b"Content-Length: 5", b"transfer-encoding: chunked")
    )


class RefuseMarkedRequests:
    """Refuses each request that has an X-Refuse header."""

    def is_active(self, read_delay_s):
        return True

    def answer(self, head, read_delay_s):
        if "X-Refuse" not in head.headers:
            return None
        return encode_closing_answer(503, [("Retry-After", "1.00")], b"no")


@pytest.fixture
def address():
    def handle(exchange):
        exchange.answer(200, [], exchange.read_body())

    front = FrontServer("127.0.0.1", 0, handle, 8, RefuseMarkedRequests())
    front.start()
    yield front._server.bind_addr
    front.stop()


def test_refusal_closes_only_its_own_connection(address):
    refused = RawCaller(address)
    answer = refused.request("POST", "/a", b"12345", X_Refuse="1")
    assert (answer.status, answer.body, answer.complete) == (503, b"no", True)
    assert answer.headers["Retry-After"] == "1.00"
    assert refused.is_closed()
    served = RawCaller(address)
    assert served.request("POST", "/a", b"12345").body == b"12345"
    again = served.request("POST", "/a", b"1", X_Refuse="1")
    assert again.status == 503


def test_request_received_in_parts_is_answered(address):
    caller = RawCaller(address)
    data = make_request("POST", "/a", b"12345", X_Refuse="1")
    for part in (data[:40], data[40:-3], data[-3:]):
        caller.send(part)
    assert caller.read().status in (200, 503)


def test_pipelined_requests_are_answered_in_order(address):
    caller = RawCaller(address)
    first = make_request("POST", "/a", b"one")
    caller.send(first + make_request("POST", "/b", b"two", X_Refuse="1"))
    assert caller.read().body == b"one"
    assert caller.read().status in (200, 503)


def test_slow_senders_do_not_block_other_callers(address):
    """Guards against read slots that are occupied by requests whose bytes don't arrive."""
    slow = [socket.create_connection(address) for _ in range(4)]
    for sock in slow:
        sock.sendall(make_request("POST", "/slow", b"12345")[:-2])
    answer = RawCaller(address).request("POST", "/a", b"12345")
    assert answer.status == 200
    assert answer.elapsed_s < 1.0
    for sock in slow:
        sock.close()


class FailingFastPath:
    """Raises what the server does not expect."""

    def is_active(self, read_delay_s):
        return True

    def answer(self, head, read_delay_s):
        raise ValueError("not expected")


def test_request_is_served_when_the_fast_path_raises():
    """Guards against a connection that is accepted and never answered."""
    front = FrontServer(
        "127.0.0.1", 0, lambda exchange: exchange.answer(200, [], b"ok"), 8, FailingFastPath()
    )
    front.start()
    try:
        caller = RawCaller(front._server.bind_addr)
        assert caller.request("POST", "/a", b"12345").body == b"ok"
        caller.close()
    finally:
        front.stop()
