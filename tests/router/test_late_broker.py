"""A broker that answers late must not cost a router its peers."""

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
from turmerictray.router.readers import StoreReaders


class LateBroker(pykka.ThreadingActor):
    """Answers its first question after the asker's patience."""

    def __init__(self) -> None:
        super().__init__()
        self.asked = 0

    def on_receive(self, message):
        self.asked += 1
        if self.asked == 1:
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


def test_router_whose_broker_is_late_tells_its_peers_afterwards(actors, monkeypatch):
    # A machine is slow or was frozen, and the broker's mailbox is longer than the link's patience.
    # The error ended the link: the router heard no peer any more, nobody heard it, and it went on
    # by what it last knew of them.
    gateway = Gateway.__new__(Gateway)
    gateway._broker = LateBroker.start()
    gateway._copy = PublishedCopy()
    gateway._readers = StoreReaders(NodeId("r1"), ZoneId("z1"))
    first, second = free_port(), free_port()
    ended = []
    monkeypatch.setattr("os._exit", ended.append)
    heard = []
    links = [
        PeerLink.start(
            NodeId(name),
            "z1",
            1,
            f"tcp://127.0.0.1:{port}",
            "127.0.0.1:1",
            [f"tcp://127.0.0.1:{seed}"],
            own_summary=summary,
            on_peer=on_peer,
            on_members=lambda members: None,
        )
        for name, port, seed, summary, on_peer in (
            ("r1", first, second, gateway._own_summary, lambda message: None),
            ("r2", second, first, lambda: None, heard.append),
        )
    ]
    until = time.monotonic() + 8
    while not heard and time.monotonic() < until:
        links[0].tell(Tick("peers", time.monotonic()))
        time.sleep(0.2)
    assert heard
    assert not ended
