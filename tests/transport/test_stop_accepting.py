"""Callers that connect to a server while it stops."""

import threading
import time
from contextlib import ExitStack, closing

import pytest

from turmerictray.platform.standins.caller import RawCaller, make_request
from turmerictray.router import server as router_server
from turmerictray.router.server import HttpServer
from turmerictray.transport import server
from turmerictray.transport.server import FrontServer

CALLERS = 30
REQUEST = make_request("GET", "/")


def _answer(exchange):
    if "slow" in exchange.head.target:
        time.sleep(0.5)
    exchange.answer(200, [], b"whole")


def _application(environ, start_response):
    if "slow" in environ["PATH_INFO"]:
        time.sleep(0.5)
    start_response("200 OK", [("Content-Length", "5")])
    return [b"whole"]


def _front():
    front = FrontServer("127.0.0.1", 0, _answer, 40)
    return front, front._server


def _http():
    http = HttpServer("127.0.0.1", 0, _application, 40, "test")
    return http, http.server


@pytest.fixture(params=[_front, _http])
def servers(request, monkeypatch):
    """Return a running server, and cheroot's in it; it may wait for long for the last requests."""
    for module in (server, router_server):
        monkeypatch.setattr(module, "LAST_REQUESTS_S", 5.0, raising=False)
    component, cheroot_server = request.param()
    component.start()
    yield component, cheroot_server
    component.stop()


@pytest.fixture
def caller(servers):
    """Connect callers that are closed after the test."""
    with ExitStack() as callers:
        yield lambda: callers.enter_context(closing(RawCaller(servers[1].bind_addr)))


def _begin_stop(component, after_s: float) -> threading.Thread:
    stopping = threading.Thread(target=component.stop)
    stopping.start()
    time.sleep(after_s)
    return stopping


def _hold_accepts(cheroot_server, monkeypatch) -> tuple[threading.Event, threading.Event]:
    """Let the server's loop wait at the next connection that it accepts."""
    is_held, may_go_on = threading.Event(), threading.Event()
    add_new_connection = cheroot_server.add_new_connection

    def wait_and_add(conn):
        is_held.set()
        may_go_on.wait(5)
        add_new_connection(conn)

    monkeypatch.setattr(cheroot_server, "add_new_connection", wait_and_add)
    return is_held, may_go_on


def test_requests_that_wait_to_be_accepted_are_answered_before_the_server_stops(
    servers, caller, monkeypatch
):
    """Guards against callers whose requests have arrived and are reset without an answer."""
    component, cheroot_server = servers
    is_held, may_go_on = _hold_accepts(cheroot_server, monkeypatch)
    callers = [caller() for _ in range(CALLERS)]
    assert is_held.wait(5)
    for each in callers:
        each.send(REQUEST)
    stopping = _begin_stop(component, 0.1)
    may_go_on.set()
    assert [each.read().body for each in callers] == [b"whole"] * CALLERS
    stopping.join(10)


def test_wake_up_that_the_loop_accepts_with_others_ends_the_wait(servers, caller, monkeypatch):
    """Guards against a stop that waits for the next caller, and a port that stays open."""
    component, cheroot_server = servers
    accept_pending = cheroot_server._accept_pending
    is_held, may_go_on = threading.Event(), threading.Event()

    def wait_and_accept(max_accepts):
        is_held.set()
        may_go_on.wait(5)
        accept_pending(max_accepts)

    monkeypatch.setattr(cheroot_server, "_accept_pending", wait_and_accept)
    first = caller()
    assert is_held.wait(5)
    stopping = threading.Thread(target=cheroot_server.stop_accepting, args=(4.0,))
    stopping.start()
    time.sleep(0.2)
    may_go_on.set()
    first.send(REQUEST)
    assert first.read().body == b"whole"
    stopping.join(2)
    assert not stopping.is_alive()
    assert cheroot_server._is_listening_closed.is_set()


def test_request_on_its_way_as_the_server_stops_is_answered(servers, caller):
    """Guards against a caller that has connected and is reset as its request arrives."""
    component, cheroot_server = servers
    late = caller()
    time.sleep(0.2)
    # The server's loop may go on for half a second if nothing arrives.
    stopping = _begin_stop(component, 0.8)
    late.send(REQUEST)
    assert late.read().body == b"whole"
    stopping.join(10)


def test_new_callers_are_refused_once_the_server_accepts_no_more(servers, caller):
    """Guards against a connection that is accepted by a process that is about to end."""
    component, cheroot_server = servers
    slow = caller()
    slow.send(make_request("GET", "/slow"))
    time.sleep(0.1)
    cheroot_server.stop_accepting(5.0)
    with pytest.raises(ConnectionRefusedError):
        caller()
    assert slow.read().body == b"whole"


def test_connection_on_which_nothing_is_asked_delays_the_stop_only_briefly(servers, caller):
    """Guards against a stop that is delayed for as long as callers hold idle connections."""
    component, cheroot_server = servers
    caller()
    begun_at = time.monotonic()
    cheroot_server.stop_accepting(5.0)
    assert time.monotonic() - begun_at < 3.0


def test_idle_connection_of_an_answered_caller_does_not_delay_the_stop(servers, caller):
    component, cheroot_server = servers
    answered = caller()
    answered.send(REQUEST)
    assert answered.read().body == b"whole"
    begun_at = time.monotonic()
    cheroot_server.stop_accepting(5.0)
    assert time.monotonic() - begun_at < 0.9
