"""Distinction between an exited target and one that only broke a connection."""

import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress

import pytest

from turmerictray.core.ids import TargetId
from turmerictray.crashes.exit_detection import TargetExitDetector, refuses_connections
from turmerictray.transport.reset import set_reset_on_close

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


def test_exited_target_is_checked_again_later():
    """Guards against one mistaken check after which all answers of a target count as cut."""
    answers = [True, False]
    detector = TargetExitDetector(lambda _address: answers.pop(0))
    now = time.monotonic()
    assert detector.has_exited(TARGET, "h:1", now)
    assert detector.has_exited(TARGET, "h:1", now + 0.5)
    assert not detector.has_exited(TARGET, "h:1", now + 2.0)


def test_answers_that_end_during_a_check_share_the_next_one():
    """Guards against a new connection for each of many answers that end at the same time."""
    checked = []

    def refuses(address: str) -> bool:
        checked.append(address)
        time.sleep(0.1)
        return False

    detector = TargetExitDetector(refuses)
    with ThreadPoolExecutor(8) as pool:
        calls = [
            pool.submit(detector.has_exited, TARGET, "h:1", time.monotonic()) for _ in range(8)
        ]
    assert not any(call.result() for call in calls)
    assert len(checked) <= 2


@pytest.mark.parametrize("resets", [True, False], ids=["reset", "close"])
def test_target_at_its_connection_limit_has_not_exited(resets):
    """Guards against requests that are blamed for a target which turns connections away."""
    with socket.create_server(("127.0.0.1", 0)) as server:

        def turn_away() -> None:
            with suppress(OSError):
                while True:
                    conn, _ = server.accept()
                    if resets:
                        set_reset_on_close(conn, True)
                    conn.close()

        threading.Thread(target=turn_away, daemon=True).start()
        assert not refuses_connections("{}:{}".format(*server.getsockname()))
        server.shutdown(socket.SHUT_RDWR)
