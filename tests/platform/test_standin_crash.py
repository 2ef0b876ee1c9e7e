"""Tests that the stand-in of a worker crashes as a process does."""

import socket
import threading

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
