"""Tests for telling silent peers from peers that are down."""

import socket

from turmerictray.membership.reachability import HeardPeers, Reachability, probe, probe_all


def test_process_that_never_accepts_is_told_from_one_that_is_down():
    """Guards against a frozen peer that looks like one that is down."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        address = f"tcp://127.0.0.1:{sock.getsockname()[1]}"
        assert probe(address) is Reachability.REFUSES
        sock.listen()
        assert probe(address) is Reachability.ACCEPTS


def test_address_without_an_answer_is_unreachable():
    """Guards against a wait for peers behind a network partition."""
    with socket.socket() as sock:
        # Once the queue of connections is full, further attempts get no answer.
        sock.bind(("127.0.0.1", 0))
        sock.listen(0)
        queued = []
        for _ in range(3):
            conn = socket.socket()
            conn.setblocking(False)
            conn.connect_ex(sock.getsockname())
            queued.append(conn)
        address = f"tcp://127.0.0.1:{sock.getsockname()[1]}"
        assert probe_all({"r2": address}) == {"r2": Reachability.UNREACHABLE}
        for conn in queued:
            conn.close()


def test_peer_is_silent_until_heard_and_again_after_the_limit():
    """Guards against a peer that counts as heard forever after one message."""
    peers = HeardPeers({"r2": "tcp://a:1", "r3": "tcp://b:1"}, silence_s=3.0)
    peers.record("r2", 10.0)
    assert peers.silent(12.0) == {"r3": "tcp://b:1"}
    assert peers.silent(13.1) == {"r2": "tcp://a:1", "r3": "tcp://b:1"}
