"""Distinction between an exited target and one that only broke a connection."""

import socket
import threading

from turmerictray.core.ids import TargetId
from turmerictray.crashes.exit_detection import TargetExitDetector, refuses_connections

TARGET = TargetId("e1")


def test_port_without_listener_refuses():
    with socket.socket() as closed:
        closed.bind(("127.0.0.1", 0))
        address = "{}:{}".format(*closed.getsockname())
    assert refuses_connections(address)


def test_target_that_accepts_connections_has_not_exited():
    with socket.create_server(("127.0.0.1", 0)) as server:
        assert not refuses_connections("{}:{}".format(*server.getsockname()))


def test_process_that_is_exiting_has_exited():
    """Guards against missing an exit when connections break before the listener is closed."""
    server = socket.create_server(("127.0.0.1", 0))
    exiting = threading.Timer(0.01, server.close)
    exiting.start()
    assert refuses_connections("{}:{}".format(*server.getsockname()))
    exiting.join()


def test_exited_target_is_checked_once_for_many_requests():
    checked = []

    def refuses(address: str) -> bool:
        checked.append(address)
        return True

    detector = TargetExitDetector(refuses)
    assert all(detector.has_exited(TARGET, "h:1", now) for now in range(20))
    assert len(checked) == 1


def test_running_target_is_checked_again_for_a_later_break(monkeypatch):
    """Guards against a crash that is missed as the target was found running just before it."""
    answers = [False, True]
    monkeypatch.setattr("time.monotonic", lambda: 10.0)
    detector = TargetExitDetector(lambda _address: answers.pop(0))
    assert not detector.has_exited(TARGET, "h:1", 9.9)
    assert not detector.has_exited(TARGET, "h:1", 10.0)
    assert detector.has_exited(TARGET, "h:1", 10.01)
