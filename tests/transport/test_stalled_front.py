"""A server that takes no connections says so."""

import socket
import time

import pytest

from turmerictray.transport.accepting import AcceptWatch
from turmerictray.transport.read_delay import ReadDelay
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
    assert not front._is_stalled()
    with socket.create_connection(front._server.bind_addr):
        assert not front._is_stalled()
        now = 101.5
        assert front._is_stalled()


def test_a_router_that_reads_late_says_so_until_it_is_well():
    # Callers of one team get no answer within their time: they all come in at one router, five
    # times as many as its processor can read, and wait in its sockets while routers beside it idle.
    # Evidence: the router used all of its half core with 900 requests a second, of which a third
    # was never read in time; a request that is refused at once takes 0.6 to 0.9 ms.
    delay = ReadDelay()
    for step in range(100):
        delay.note(0.5, 1.0 + step / 1000)
    assert delay.is_late(1.1)
    for step in range(30):
        delay.note(0.1, 1.1 + step / 1000)
    assert delay.is_late(1.13)
    for step in range(60):
        delay.note(0.01, 1.2 + step / 1000)
    assert not delay.is_late(1.3)


def test_a_single_late_read_does_not_count():
    delay = ReadDelay()
    delay.note(0.9, 1.0)
    assert not delay.is_late(1.0)


def test_what_was_long_ago_does_not_count():
    delay = ReadDelay()
    for step in range(100):
        delay.note(0.5, 1.0 + step / 1000)
    assert delay.is_late(1.1)
    assert not delay.is_late(2.5)


def test_the_front_measures_how_long_requests_lie(front):
    pool = front._server.requests
    pool.put(conn := object())
    assert pool.get() is conn
    assert 0 < pool.read_delay.mean_s(time.monotonic()) < 0.1


def test_a_front_that_is_not_bound_or_is_closed_is_not_overloaded():
    # Callers who hang up are not noticed, and targets go on working for them: the thread that looks
    # for hang-ups asks the front ten times a second whether it is overloaded, also before its port
    # is bound and while it stops, and ended with the error that it got.
    front = FrontServer("127.0.0.1", 0, lambda exchange: None, 2)
    assert not front.is_overloaded()
    front._server.prepare()
    assert not front.is_overloaded()
    front._server.stop()
    assert not front.is_overloaded()
