"""The peer link when its sockets fail."""

import pynng
import pytest

from turmerictray.membership.link import _PeerSocket


@pytest.mark.parametrize("error", [pynng.NoMemory, pynng.Closed, pynng.ConnectionReset])
def test_socket_error_is_a_message_that_was_not_sent(monkeypatch, error):
    """Guards against a socket error other than a full buffer that ends the peer link."""
    peer_socket = _PeerSocket("tcp://127.0.0.1:9")

    def send(_data, block):
        raise error("not expected", 1)

    monkeypatch.setattr(peer_socket._sock, "send", send)
    assert not peer_socket.send(b"x")
    peer_socket.close()


def test_address_that_cannot_be_dialled_is_a_peer_that_is_not_reached():
    """Guards against one bad address in gossip that ends the peer links of all routers."""
    peer_socket = _PeerSocket("tcp://not an address")
    assert not peer_socket.send(b"x")
    peer_socket.close()
