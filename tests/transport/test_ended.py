"""A target that has ended is told from one that broke a connection."""

import socket
import threading

from turmerictray.core.ids import TargetId
from turmerictray.transport.ended import EndedTargets, refuses_connections

TARGET = TargetId("e1")


def test_a_port_where_nothing_listens_refuses():
    with socket.socket() as closed:
        closed.bind(("127.0.0.1", 0))
        address = "{}:{}".format(*closed.getsockname())
    assert refuses_connections(address)


def test_a_target_that_takes_connections_has_not_ended():
    with socket.create_server(("127.0.0.1", 0)) as server:
        assert not refuses_connections("{}:{}".format(*server.getsockname()))


def test_a_process_that_is_just_ending_has_ended():
    """Guards against a target whose connections break before its listening socket is closed."""
    server = socket.create_server(("127.0.0.1", 0))
    ending = threading.Timer(0.01, server.close)
    ending.start()
    assert refuses_connections("{}:{}".format(*server.getsockname()))
    ending.join()


def test_few_of_many_requests_that_break_off_together_ask():
    asked = []

    def refuses(address: str) -> bool:
        asked.append(address)
        return True

    targets = EndedTargets(refuses)
    assert all(targets.has_ended(TARGET, "h:1") for _ in range(20))
    assert len(asked) == 1


def test_a_target_that_was_there_is_asked_again_later(monkeypatch):
    answers = [False, True]
    now = [10.0]
    monkeypatch.setattr("time.monotonic", lambda: now[0])
    targets = EndedTargets(lambda _address: answers.pop(0))
    assert not targets.has_ended(TARGET, "h:1")
    assert not targets.has_ended(TARGET, "h:1")
    now[0] += 1.0
    assert targets.has_ended(TARGET, "h:1")
