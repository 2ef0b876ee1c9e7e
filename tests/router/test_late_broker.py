"""Tests for the peer link of a router whose broker answers late."""

import socket
import time

import pykka
import pytest

from turmerictray.core.ids import NodeId, ZoneId
from turmerictray.core.timer import Tick
from turmerictray.membership.link import PeerLink
from turmerictray.membership.messages import RouterSummary
from turmerictray.router.gateway import Gateway
from turmerictray.router.published import PublishedCopy
from turmerictray.router.store_readers import StoreReaderSelection


class LateBroker(pykka.ThreadingActor):
    """Answers its first query only after the query has timed out."""

    def __init__(self) -> None:
        super().__init__()
        self.query_count = 0

    def on_receive(self, message):
        self.query_count += 1
        if self.query_count == 1:
            time.sleep(2.5)
        return RouterSummary("r1", 1, 3, [], {}, [])


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


@pytest.fixture
def actors():
    yield
    pykka.ActorRegistry.stop_all()


def test_peer_link_survives_late_broker(actors, monkeypatch):
    # On a slow or frozen machine the broker's inbox takes longer than the peer link's query
    # timeout. The error stopped the link: the router neither sent nor received gossip any more and
    # kept using the last known state of its peers.
    gateway = Gateway.__new__(Gateway)
    gateway._broker = LateBroker.start()
    gateway._copy = PublishedCopy()
    gateway._readers = StoreReaderSelection(NodeId("r1"), ZoneId("z1"))
    first, second = free_port(), free_port()
    exit_statuses = []
    monkeypatch.setattr("os._exit", exit_statuses.append)
    received = []
    links = [
        PeerLink.start(
            NodeId(name),
            "z1",
            1,
            f"tcp://127.0.0.1:{port}",
            "127.0.0.1:1",
            [f"tcp://127.0.0.1:{seed}"],
            build_summary=summary,
            on_peer=on_peer,
            on_members=lambda members, silent, heard_at: None,
        )
        for name, port, seed, summary, on_peer in (
            ("r1", first, second, gateway._build_summary, lambda message, at: None),
            ("r2", second, first, lambda: None, lambda message, at: received.append(message)),
        )
    ]
    deadline = time.monotonic() + 8
    while not received and time.monotonic() < deadline:
        links[0].tell(Tick("peers", time.monotonic()))
        time.sleep(0.2)
    assert received
    assert not exit_statuses
