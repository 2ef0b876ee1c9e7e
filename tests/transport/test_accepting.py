"""New connections while the server is busy."""

import socket
from contextlib import ExitStack

import pytest

from turmerictray.transport.admin import AdminServer
from turmerictray.transport.server import FrontServer

CALLERS = 40
CONNECT_TIMEOUT_S = 0.5


def front():
    return FrontServer("127.0.0.1", 0, lambda exchange: None, threads=2)._server


def pages():
    return AdminServer("127.0.0.1", 0, {})._server


@pytest.fixture
def make_server():
    return front


@pytest.fixture
def server(make_server):
    server = make_server()
    server.prepare()
    yield server
    server.stop()


@pytest.mark.parametrize("make_server", [front, pages])
def test_connections_wait_while_none_is_accepted(server):
    """Guards against callers whose connections the kernel drops while the router is busy."""
    with ExitStack() as callers:
        for _ in range(CALLERS):
            caller = socket.create_connection(server.bind_addr, CONNECT_TIMEOUT_S)
            callers.enter_context(caller)


def test_all_pending_connections_are_accepted_in_one_iteration(server):
    """Guards against new callers that each wait one loop iteration behind open connections."""
    callers = [socket.create_connection(server.bind_addr) for _ in range(CALLERS)]
    try:
        server.process_conn(server._connections._from_server_socket(server.socket))
        assert server._connections._num_connections == CALLERS
    finally:
        for caller in callers:
            caller.close()
