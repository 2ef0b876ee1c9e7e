"""Tests that the stand-in of a worker crashes as a process does."""

import base64
import contextlib
import json
import socket
import threading

import pytest

from turmerictray.loadtool.relay import Network
from turmerictray.platform.standins.local import LocalDeployment
from turmerictray.platform.standins.worker import CRASH_MARKER, Worker

ANSWER_WITHIN_S = 1.0


def test_connection_accepted_during_a_crash_is_closed(monkeypatch):
    """Guards against a crashed worker that keeps a connection open and lets its caller wait."""
    worker = Worker("llm-0", "llm").start()
    server = worker._server._server
    accepted, may_go_on = threading.Event(), threading.Event()
    process_request = server.process_request

    def wait_before_tracking(request, client_address):
        accepted.set()
        may_go_on.wait(5)
        process_request(request, client_address)

    monkeypatch.setattr(server, "process_request", wait_before_tracking)
    host, _, port = worker.address.rpartition(":")
    with socket.create_connection((host, int(port)), ANSWER_WITHIN_S) as caller:
        assert accepted.wait(5)
        worker.crash()
        may_go_on.set()
        try:
            caller.sendall(b"POST /plan/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\n")
            caller.sendall(CRASH_MARKER)
            assert caller.recv(1) == b""
        except ConnectionError:
            # The connection may be reset before the request is written.
            pass
    worker.stop()


def test_relayed_address_refuses_connections_once_one_of_its_worker_breaks(tmp_path):
    """Guards against a relay that hides the exit of a worker from the check that follows a break.

    The relay accepts connections on its own address, and closes them only when its turn comes.
    """
    network = Network()
    deployment = LocalDeployment(tmp_path, apps=0, engines=1, network=network)
    (worker,) = deployment.workers
    deployment.publish(worker)
    (item,) = deployment.store.store.page("servers/", "")["items"]
    address = json.loads(base64.b64decode(item["value"]))["address"]
    host, _, port = address.rpartition(":")
    try:
        with socket.create_connection((host, int(port)), ANSWER_WITHIN_S) as caller:
            caller.sendall(b"POST /plan/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\n")
            caller.sendall(CRASH_MARKER)
            with contextlib.suppress(ConnectionError):
                assert caller.recv(1) == b""
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection((host, int(port)), ANSWER_WITHIN_S)
    finally:
        deployment.stop()
