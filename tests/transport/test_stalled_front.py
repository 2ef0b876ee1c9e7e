"""A server that takes no connections says so."""

import socket

import pytest

from turmerictray.transport.accepting import AcceptWatch
from turmerictray.transport.server import FrontServer

STEP_S = 0.1


def play(watch: AcceptWatch, seconds: float, accepts: bool, waits: bool = True) -> bool:
    now = 0.0
    while now < seconds:
        now += STEP_S
        if accepts:
            watch.note_accepted()
        watch.look(waits, now)
    return watch.is_stalled(now)


def test_connections_that_nobody_takes_are_noticed():
    # Callers of one router connect and wait, for as long as seven seconds; the balancer sends them
    # there because the router says that it is ready. Its processor is used up by decisions: the
    # thread that accepts does not run, the one that answers the balancer has little to do.
    # Evidence: 5,116 connections came in 7.7 s at a router that was ready, and none was accepted.
    assert play(AcceptWatch(), 1.5, accepts=False)


def test_a_server_that_is_busy_but_accepts_is_not_stalled():
    assert not play(AcceptWatch(), 5.0, accepts=True)


def test_a_server_without_callers_is_not_stalled():
    assert not play(AcceptWatch(), 5.0, accepts=False, waits=False)


def test_it_is_over_with_the_first_connection_that_is_accepted():
    watch = AcceptWatch()
    assert play(watch, 1.5, accepts=False)
    watch.note_accepted()
    watch.look(True, 1.6)
    assert not watch.is_stalled(1.6)


@pytest.fixture
def front():
    front = FrontServer("127.0.0.1", 0, lambda exchange: None, 2)
    front._server.prepare()
    yield front
    front._server.stop()


def test_a_front_whose_loop_stands_still_is_stalled(front, monkeypatch):
    now = 100.0
    monkeypatch.setattr("turmerictray.transport.server.time.monotonic", lambda: now)
    assert not front.is_stalled()
    with socket.create_connection(front._server.bind_addr):
        assert not front.is_stalled()
        now = 101.5
        assert front.is_stalled()
