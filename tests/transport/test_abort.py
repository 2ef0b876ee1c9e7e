"""Abort of an answer before its head is sent."""

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
def address(errors):
    front = FrontServer("127.0.0.1", 0, lambda exchange: exchange.abort(), threads=2)
    front._server.prepare()
    threading.Thread(target=front._server.serve, daemon=True).start()
    yield front._server.bind_addr
    front._server.stop()


def test_abort_before_answer_closes_connection_silently(address, errors):
    # When a caller disconnected, or closed only its sending side, while its request was pending,
    # the server tried to send a head without a status. That raised an error, and a caller that was
    # still reading got a 500 for a request that may have run.
    with socket.create_connection(address) as caller:
        caller.settimeout(5)
        caller.sendall(b"GET /ping/1 HTTP/1.1\r\nHost: shop.example\r\n\r\n")
        assert caller.recv(1000) == b""
    assert "http_server_error" not in errors
