"""Relayed links do what networks do: hold bytes back, be late, go silent, reset."""

import socket
import threading
import time

import pytest

from turmerictray.loadtool.relay import Network, Way

ENDS = ({"near"}, {"far"})


class Echo:
    """Sends back what it gets."""

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        self.heard: list[bytes] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn: socket.socket) -> None:
        try:
            while data := conn.recv(100):
                self.heard.append(data)
                conn.sendall(data)
        except ConnectionError:
            pass

    def close(self) -> None:
        self._listener.close()


@pytest.fixture
def echo():
    echo = Echo()
    yield echo
    echo.close()


@pytest.fixture
def network():
    network = Network()
    yield network
    network.close()


@pytest.fixture
def connect(network, echo):
    port = network.add("near", "far", echo.port)
    opened = []

    def open_connection() -> socket.socket:
        opened.append(socket.create_connection(("127.0.0.1", port)))
        opened[-1].settimeout(2)
        return opened[-1]

    yield open_connection
    for sock in opened:
        sock.close()


def ask(sock: socket.socket, data: bytes) -> bytes:
    sock.sendall(data)
    return sock.recv(100)


def is_silent(sock: socket.socket, data: bytes) -> bool:
    sock.sendall(data)
    sock.settimeout(0.3)
    try:
        sock.recv(100)
        return False
    except TimeoutError:
        return True
    finally:
        sock.settimeout(2)


def test_cut_holds_bytes_until_it_heals(network, connect):
    sock = connect()
    assert ask(sock, b"a") == b"a"
    network.cut(*ENDS)
    assert is_silent(sock, b"b")
    network.heal()
    assert sock.recv(100) == b"b"


def test_cut_one_way_lets_the_other_way_through(network, connect, echo):
    sock = connect()
    network.cut(*ENDS, (Way.BACK,))
    assert is_silent(sock, b"a")
    assert echo.heard == [b"a"]
    network.mend(*ENDS)
    assert sock.recv(100) == b"a"


def test_silenced_connection_stays_so_and_new_ones_work(network, connect):
    old = connect()
    assert ask(old, b"a") == b"a"
    network.silence(*ENDS)
    assert is_silent(old, b"b")
    network.heal()
    assert is_silent(old, b"c")
    assert ask(connect(), b"d") == b"d"


def test_reset_breaks_open_connections(network, connect):
    sock = connect()
    assert ask(sock, b"a") == b"a"
    network.reset(*ENDS)
    with pytest.raises(ConnectionError):
        sock.recv(100)


def test_delay_makes_bytes_late(network, connect):
    sock = connect()
    assert ask(sock, b"a") == b"a"
    network.delay(*ENDS, 0.2)
    begun = time.monotonic()
    assert ask(sock, b"b") == b"b"
    assert time.monotonic() - begun >= 0.4
