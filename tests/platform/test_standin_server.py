"""Tests that stand-ins take connections as a server of the platform does."""

import socket
from contextlib import ExitStack

from turmerictray.platform.standins.worker import Worker

CONNECT_TIMEOUT_S = 0.5
CONNECTIONS = 64


def test_connections_opened_at_once_wait_to_be_accepted():
    """Guards against stand-ins whose kernel drops connections while their interpreter is busy."""
    worker = Worker("llm-0", "llm")
    host, _, port = worker.address.rpartition(":")
    with ExitStack() as stack:
        # The worker accepts none of them until it is started.
        for _ in range(CONNECTIONS):
            stack.enter_context(socket.create_connection((host, int(port)), CONNECT_TIMEOUT_S))
        worker.start()
        stack.callback(worker.stop)
