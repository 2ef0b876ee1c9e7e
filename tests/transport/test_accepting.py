"""New connections while the server is busy with open keep-alive connections."""

import socket

import pytest

from turmerictray.transport.server import FrontServer

CALLERS = 40


@pytest.fixture
def server():
    server = FrontServer("127.0.0.1", 0, lambda exchange: None, threads=2)._server
    server.prepare()
    yield server
    server.stop()


def test_all_pending_connections_are_accepted_in_one_iteration(server):
    """Guards against new callers that each wait one loop iteration behind open connections."""
    callers = [socket.create_connection(server.bind_addr) for _ in range(CALLERS)]
    try:
        server.process_conn(server._connections._from_server_socket(server.socket))
        assert server._connections._num_connections == CALLERS
    finally:
        for caller in callers:
            caller.close()
