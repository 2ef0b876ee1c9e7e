"""Relayed links emulate partitions, delays, stalled connections and resets."""

import os
import socket
import threading
import time

import pytest

from tests.socket_target import SocketTarget
from turmerictray.loadtool.relay import Direction, Network
from turmerictray.transport.reset import set_reset_on_close

ENDPOINTS = ({"near"}, {"far"})


class Echo(SocketTarget):
    """TCP server that sends received bytes back."""

    def __init__(self) -> None:
        self.received: list[bytes] = []
        super().__init__()

    @property
    def port(self) -> int:
        return int(self.address.rpartition(":")[2])

    def serve(self, conn: socket.socket) -> None:
        try:
            while data := conn.recv(100):
                self.received.append(data)
                conn.sendall(data)
        except ConnectionError:
            pass


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
    port = network.add_link("near", "far", echo.port)
    opened = []

    def open_connection() -> socket.socket:
        opened.append(socket.create_connection(("127.0.0.1", port)))
        opened[-1].settimeout(2)
        return opened[-1]

    yield open_connection
    for sock in opened:
        sock.close()


def exchange(sock: socket.socket, data: bytes) -> bytes:
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


def test_partition_holds_bytes_until_restored(network, connect):
    sock = connect()
    assert exchange(sock, b"a") == b"a"
    network.partition(*ENDPOINTS)
    assert is_silent(sock, b"b")
    network.restore_all()
    assert sock.recv(100) == b"b"


def test_bytes_held_up_are_lost_if_their_sender_resets_the_connection(network, connect, echo):
    sock = connect()
    assert exchange(sock, b"a") == b"a"
    network.partition(*ENDPOINTS)
    sock.sendall(b"b")
    set_reset_on_close(sock, True)
    sock.close()
    time.sleep(0.1)
    network.restore_all()
    time.sleep(0.1)
    assert echo.received == [b"a"]


@pytest.mark.parametrize("passes", range(3))
def test_reset_in_the_moment_of_the_restoration_drops_held_bytes(network, connect, echo, passes):
    """Guards against bytes that are sent on before the relay has noticed the reset."""
    sock = connect()
    assert exchange(sock, b"a") == b"a"
    network.partition(*ENDPOINTS)
    sock.sendall(b"b")
    set_reset_on_close(sock, True)
    loop = network.links[0].server.get_loop()
    restoring = threading.Thread(target=network.restore_all)

    def restore_and_reset() -> None:
        restoring.start()
        time.sleep(0.1)
        call_after(passes, sock.close)

    def call_after(count: int, function) -> None:
        if count:
            loop.call_soon(call_after, count - 1, function)
        else:
            function()

    loop.call_soon_threadsafe(restore_and_reset)
    time.sleep(0.3)
    restoring.join()
    assert echo.received == [b"a"]


def test_one_way_partition_passes_the_opposite_direction(network, connect, echo):
    sock = connect()
    network.partition(*ENDPOINTS, (Direction.BACKWARD,))
    assert is_silent(sock, b"a")
    assert echo.received == [b"a"]
    network.restore_links(*ENDPOINTS)
    assert sock.recv(100) == b"a"


def test_stalled_connection_stays_stalled_and_new_ones_work(network, connect):
    old = connect()
    assert exchange(old, b"a") == b"a"
    network.stall_connections(*ENDPOINTS)
    assert is_silent(old, b"b")
    network.restore_all()
    assert is_silent(old, b"c")
    assert exchange(connect(), b"d") == b"d"


def test_reset_breaks_open_connections(network, connect):
    sock = connect()
    assert exchange(sock, b"a") == b"a"
    network.reset_connections(*ENDPOINTS)
    with pytest.raises(ConnectionError):
        sock.recv(100)


def test_delay_makes_bytes_late(network, connect):
    sock = connect()
    assert exchange(sock, b"a") == b"a"
    network.delay(*ENDPOINTS, 0.2)
    started = time.monotonic()
    assert exchange(sock, b"b") == b"b"
    assert time.monotonic() - started >= 0.4


def test_exited_target_refuses_new_connections_at_once(network, connect):
    """Guards against a relay that accepts connections to a process that has exited."""
    sock = connect()
    sock.sendall(b"a")
    assert sock.recv(1) == b"a"
    network.refuse_connections("far")
    with pytest.raises(ConnectionRefusedError):
        connect()
    sock.sendall(b"b")
    assert sock.recv(1) == b"b"


def test_exited_target_refuses_connections_while_a_new_process_has_its_descriptors(
    network, connect
):
    """Guards against a socket that listens on in a process that is forked at that moment."""
    (link,) = network.links
    copy = os.dup(link.server.sockets[0].fileno())
    try:
        network.refuse_connections("far")
        with pytest.raises(ConnectionRefusedError):
            connect()
    finally:
        os.close(copy)


def test_port_of_an_exited_target_is_taken_by_no_other_process(network):
    """Guards against a connection to an exited target that another process accepts."""
    port = network.add_link("near", "far", 1)
    network.refuse_connections("far")
    with socket.socket() as other, pytest.raises(OSError, match="in use"):
        other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        other.bind(("127.0.0.1", port))
