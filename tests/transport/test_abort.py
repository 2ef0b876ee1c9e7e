"""Abort of an answer, before its head is sent and within a stream."""

import socket
import threading

import pytest

from turmerictray.transport import server as server_module
from turmerictray.transport.server import FrontServer


@pytest.fixture
def errors(monkeypatch):
    logged = []
    monkeypatch.setattr(server_module, "log_event", lambda event, **fields: logged.append(event))
    return logged


@pytest.fixture
def serve():
    started = []

    def start(handler):
        front = FrontServer("127.0.0.1", 0, handler, threads=2)
        front._server.prepare()
        threading.Thread(target=front._server.serve, daemon=True).start()
        started.append(front)
        return front._server.bind_addr

    yield start
    for front in started:
        front._server.stop()


@pytest.fixture
def address(errors, serve):
    return serve(lambda exchange: exchange.abort())


def test_abort_before_answer_closes_connection_silently(address, errors):
    # When a caller disconnected, or closed only its sending side, while its request was pending,
    # the server tried to send a head without a status. That raised an error, and a caller that was
    # still reading got a 500 for a request that may have run.
    with socket.create_connection(address) as caller:
        caller.settimeout(5)
        caller.sendall(b"GET /ping/1 HTTP/1.1\r\nHost: shop.example\r\n\r\n")
        assert caller.recv(1000) == b""
    assert "http_server_error" not in errors


def stream_one_event(exchange):
    exchange.start_stream(200, [("Content-Type", "text/event-stream")])
    exchange.send(b"id: 1\n\n")
    if "end" in exchange.head.path:
        exchange.end_stream()
    if "abort" in exchange.head.path:
        exchange.abort()
    if "raise" in exchange.head.path:
        raise RuntimeError("handler failed")


def read_until_close(address, path, version) -> tuple[bytes, bool]:
    """Return an answer, and whether its connection was closed without a reset."""
    data = b""
    with socket.create_connection(address) as caller:
        caller.settimeout(5)
        fields = "Host: shop.example\r\nConnection: close\r\n"
        caller.sendall(f"GET {path} HTTP/{version}\r\n{fields}\r\n".encode())
        try:
            while received := caller.recv(1000):
                data += received
        except ConnectionResetError:
            return data, False
    return data, True


@pytest.mark.parametrize("path", ["/abort", "/return", "/raise"])
@pytest.mark.parametrize("version", ["1.0", "1.1"])
def test_unfinished_stream_looks_unfinished(errors, serve, path, version):
    # An HTTP/1.0 caller got no chunks, and took the close after the last event for the end.
    data, closed = read_until_close(serve(stream_one_event), path, version)
    assert not data.endswith(b"0\r\n\r\n")
    assert version == "1.1" or not closed


@pytest.mark.parametrize("version", ["1.0", "1.1"])
def test_finished_stream_looks_finished(errors, serve, version):
    data, closed = read_until_close(serve(stream_one_event), "/end", version)
    assert closed
    assert data.endswith(b"id: 1\n\n" if version == "1.0" else b"0\r\n\r\n")
