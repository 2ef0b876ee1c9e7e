"""An exception in the clean-up of one connection, while others stream."""

import threading
import time

import pytest
from cheroot.server import HTTPServer

from turmerictray.platform.standins.caller import RawCaller, make_request
from turmerictray.transport.disconnect import CancellableCall, DisconnectMonitor
from turmerictray.transport.server import FrontServer
from turmerictray.transport.strict_server import StrictConnection

STREAMS = 4


@pytest.fixture
def address():
    """Serve paths with "slow" after a second, unless their callers seem to have left."""
    monitor = DisconnectMonitor()
    monitor.start()

    def handle(exchange):
        if "slow" in exchange.head.target:
            call = CancellableCall(exchange.sock)
            monitor.add(call)
            time.sleep(1.0)
            monitor.remove(call)
            if call.caller_gone:
                exchange.abort()
                return
        exchange.answer(200, [], b"whole")

    front = FrontServer("127.0.0.1", 0, handle, 16)
    front.start()
    yield front._server.bind_addr
    front.stop()
    monitor.stop()


@pytest.mark.parametrize("step", ["put_conn", "close"])
def test_exception_in_the_clean_up_of_a_connection_cuts_no_other(address, monkeypatch, step):
    """Guards against a worker's exception that stops the whole server, with all its streams."""
    failed = []

    def fail_once(original):
        def step(self, *args):
            if not failed:
                failed.append(1)
                raise ValueError("not expected")
            return original(self, *args)

        return step

    answers = []

    def stream() -> None:
        caller = RawCaller(address)
        answers.append(caller.request("GET", "/slow").body)
        caller.close()

    threads = [threading.Thread(target=stream) for _ in range(STREAMS)]
    for thread in threads:
        thread.start()
    time.sleep(0.3)
    if step == "put_conn":
        monkeypatch.setattr(HTTPServer, "put_conn", fail_once(HTTPServer.put_conn))
        headers = {}
    else:
        monkeypatch.setattr(StrictConnection, "_close", fail_once(StrictConnection._close))
        headers = {"Connection": "close"}
    caller = RawCaller(address)
    caller.send(make_request("GET", "/fast", **headers))
    assert caller.read().body == b"whole"
    for thread in threads:
        thread.join()
    assert failed
    assert answers == [b"whole"] * STREAMS
    assert RawCaller(address).request("GET", "/fast").status == 200
