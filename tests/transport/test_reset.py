"""How connections to targets end."""

import socket
import threading
import time

import pytest

from turmerictray.core.errors import EngineError, OutcomeUnknown
from turmerictray.core.ids import ServiceName, TargetId, ZoneId
from turmerictray.platform.engines import list_cached_parts
from turmerictray.router.upstream import Upstream
from turmerictray.routing.load import TargetInfo
from turmerictray.transport import target_conn
from turmerictray.transport.target_conn import TargetConnection, TargetRequest

REQUEST = TargetRequest("GET", "/", [], b"")
LARGE_REQUEST = TargetRequest("POST", "/", [], bytes(1 << 20))
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
PART = OK[:-1]
STREAM = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"


class SilentTarget:
    """Accepts one connection and reads nothing until it is told to."""

    def __init__(self) -> None:
        self._server = socket.socket()
        self._server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self._server.bind(("127.0.0.1", 0))
        self._server.listen()
        self.address = "{}:{}".format(*self._server.getsockname())

    def read_all(self) -> int:
        """Return the bytes that arrive before the connection is reset."""
        count = 0
        with self._server, self._server.accept()[0] as conn:
            try:
                while data := conn.recv(65536):
                    count += len(data)
            except ConnectionResetError:
                return count
        raise AssertionError("closed without a reset")


class Target:
    """Accepts one connection, sends bytes on it, and records how it ends."""

    def __init__(self, answer: bytes, delay_s: float = 0.0) -> None:
        self._delay_s = delay_s
        self._server = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self._server.getsockname())
        self.end = ""
        self._thread = threading.Thread(target=self._serve, args=(answer,), daemon=True)
        self._thread.start()

    def _serve(self, answer: bytes) -> None:
        with self._server, self._server.accept()[0] as conn:
            try:
                conn.recv(65536)
                time.sleep(self._delay_s)
                conn.sendall(answer)
                while conn.recv(65536):
                    pass
                # The shutdown of an abort arrives ahead of the reset.
                time.sleep(0.3)
                is_reset = conn.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0
                self.end = "reset" if is_reset else "closed"
            except ConnectionError:
                self.end = "reset"

    def wait_end(self) -> str:
        self._thread.join(3)
        return self.end


def request(target: Target) -> TargetConnection:
    conn = TargetConnection(target.address, 1.0)
    conn.send(REQUEST, 1.0)
    return conn


@pytest.mark.parametrize("answer", [b"", OK[:10], PART, STREAM])
@pytest.mark.parametrize("is_aborted", [False, True])
def test_connection_with_an_unfinished_answer_is_reset(answer, is_aborted):
    """Guards against requests that are given up here and delivered later by the kernel."""
    target = Target(answer)
    conn = request(target)
    if is_aborted:
        conn.abort()
    with pytest.raises(OutcomeUnknown):
        conn.read_head("GET", 0.2)
        conn.read_body(time.monotonic() + 0.2)
    conn.close()
    assert target.wait_end() == "reset"


def test_connection_with_a_complete_answer_is_closed_in_order():
    target = Target(OK)
    conn = request(target)
    conn.read_head("GET", 1.0)
    assert conn.read_body(time.monotonic() + 1.0) == b"ok"
    conn.close()
    conn.close()
    assert target.wait_end() == "closed"


def test_request_that_does_not_get_through_is_dropped(monkeypatch):
    """Guards against requests that the kernel delivers long after their target began to leave."""
    monkeypatch.setattr(target_conn, "_ACKNOWLEDGEMENT_TIMEOUT_S", 0.2)
    target = SilentTarget()
    conn = TargetConnection(target.address, 1.0)
    conn.send(LARGE_REQUEST, 1.0)
    begun_at = time.monotonic()
    with pytest.raises(OutcomeUnknown, match="not acknowledged"):
        conn.read_head("POST", 3.0)
    assert time.monotonic() - begun_at < 1.0
    conn.close()
    assert target.read_all() < len(LARGE_REQUEST.body)


def test_slow_target_that_has_the_request_is_waited_for(monkeypatch):
    """Guards against requests that are given up though their target is at work on them."""
    monkeypatch.setattr(target_conn, "_ACKNOWLEDGEMENT_TIMEOUT_S", 0.1)
    target = Target(OK, delay_s=0.4)
    conn = request(target)
    assert conn.read_head("GET", 3.0).status == 200
    conn.close()


def test_call_of_the_own_interface_that_is_given_up_is_reset():
    target = Target(b"")
    with pytest.raises(OutcomeUnknown):
        Upstream().open(f"http://{target.address}/", b"x", {}, 1.0, 0.2, idempotent=False)
    assert target.wait_end() == "reset"


def test_list_of_cached_parts_that_is_given_up_is_reset():
    target = Target(b"")
    engine = TargetInfo(TargetId("e"), ServiceName("s"), target.address, ZoneId("z"), 1)
    with pytest.raises(EngineError):
        list_cached_parts(engine)
    assert target.wait_end() == "reset"
