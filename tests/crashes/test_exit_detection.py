"""Distinction between an exited target and one that only broke a connection."""

import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress

import pytest

from turmerictray.core.ids import ServiceName, TargetId, ZoneId
from turmerictray.crashes.exit_detection import Liveness, TargetExitDetector, check_listening
from turmerictray.routing.load import TargetInfo
from turmerictray.transport.reset import set_reset_on_close


def target_at(address: str) -> TargetInfo:
    return TargetInfo(TargetId("e1"), ServiceName("llm"), address, ZoneId("z1"), 4)


TARGET = target_at("h:1")


def check_server(server: socket.socket) -> Liveness:
    """Check the target that listens, or listened, on ``server``."""
    return check_listening(target_at("{}:{}".format(*server.getsockname())))


def test_port_without_listener_refuses():
    with socket.socket() as closed:
        closed.bind(("127.0.0.1", 0))
        target = target_at("{}:{}".format(*closed.getsockname()))
    assert check_listening(target) is Liveness.EXITED


def test_target_that_accepts_connections_has_not_exited():
    with socket.create_server(("127.0.0.1", 0)) as server:
        assert check_server(server) is Liveness.RUNNING


def test_target_at_an_ipv6_address_has_not_exited():
    """Guards against whole answers that are dropped as brackets are taken for a part of a name."""
    with socket.create_server(("::1", 0), family=socket.AF_INET6) as server:
        port = server.getsockname()[1]
        assert check_listening(target_at(f"[::1]:{port}")) is Liveness.RUNNING


def test_breaks_during_a_check_that_finds_nothing_out_share_its_result():
    """Guards against requests that wait one after the other for a target that doesn't answer."""
    checked = []

    def check(target: TargetInfo, _timeout_s: float) -> Liveness:
        checked.append(target)
        time.sleep(0.1)
        return Liveness.UNKNOWN

    detector = TargetExitDetector(check)
    with ThreadPoolExecutor(8) as pool:
        calls = []
        for _ in range(8):
            calls.append(pool.submit(detector.find, TARGET, time.monotonic()))
            time.sleep(0.005)
    assert all(call.result() is Liveness.UNKNOWN for call in calls)
    assert len(checked) == 1


def test_process_that_is_exiting_has_exited():
    """Guards against missing an exit when connections break before the listener is closed."""
    server = socket.create_server(("127.0.0.1", 0))
    exiting = threading.Timer(0.01, server.close)
    exiting.start()
    assert check_server(server) is Liveness.EXITED
    exiting.join()


def test_exited_target_is_checked_once_for_many_requests():
    checked = []

    def check(target: TargetInfo, _timeout_s: float) -> Liveness:
        checked.append(target)
        return Liveness.EXITED

    detector = TargetExitDetector(check)
    assert all(detector.has_exited(TARGET, now) for now in range(20))
    assert len(checked) == 1


def test_running_target_is_checked_again_for_a_later_break(monkeypatch):
    """Guards against a crash that is missed as the target was found running just before it."""
    answers = [Liveness.RUNNING, Liveness.EXITED]
    monkeypatch.setattr("time.monotonic", lambda: 10.0)
    detector = TargetExitDetector(lambda _target, _timeout_s: answers.pop(0))
    assert not detector.has_exited(TARGET, 9.9)
    assert not detector.has_exited(TARGET, 10.0)
    assert detector.has_exited(TARGET, 10.01)


def test_exited_target_is_checked_again_later():
    """Guards against one mistaken check after which all answers of a target count as cut."""
    answers = [Liveness.EXITED, Liveness.RUNNING]
    detector = TargetExitDetector(lambda _target, _timeout_s: answers.pop(0))
    now = time.monotonic()
    assert detector.has_exited(TARGET, now)
    assert detector.has_exited(TARGET, now + 0.5)
    assert not detector.has_exited(TARGET, now + 2.0)


def test_answers_that_end_during_a_check_share_the_next_one():
    """Guards against a new connection for each of many answers that end at the same time."""
    checked = []

    def check(target: TargetInfo, _timeout_s: float) -> Liveness:
        checked.append(target)
        time.sleep(0.1)
        return Liveness.RUNNING

    detector = TargetExitDetector(check)
    with ThreadPoolExecutor(8) as pool:
        calls = [pool.submit(detector.has_exited, TARGET, time.monotonic()) for _ in range(8)]
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
        assert check_server(server) is Liveness.UNKNOWN
        server.shutdown(socket.SHUT_RDWR)
