"""An answer that is given up before it began."""

import socket
import threading

import pytest

from turmerictray.transport import server as server_module
from turmerictray.transport.server import FrontServer


@pytest.fixture
def errors(monkeypatch):
    found = []
    monkeypatch.setattr(server_module, "log_event", lambda event, **fields: found.append(event))
    return found


@pytest.fixture
def address(errors):
    front = FrontServer("127.0.0.1", 0, lambda exchange: exchange.abort(), threads=2)
    front._server.prepare()
    threading.Thread(target=front._server.serve, daemon=True).start()
    yield front._server.bind_addr
    front._server.stop()


def test_connection_closes_without_a_byte_and_without_an_error(address, errors):
    # The caller hung up, or closed only its sending side, while its request waited. The server then
    # sent a head with no status, which raised, and told a caller who still read that the router
    # had failed, with a 500 and for a request that may have run.
    with socket.create_connection(address) as caller:
        caller.settimeout(5)
        caller.sendall(b"GET /ping/1 HTTP/1.1\r\nHost: shop.example\r\n\r\n")
        assert caller.recv(1000) == b""
    assert "http_server_error" not in errors
