"""The peer link when its sockets fail."""

import time
from types import SimpleNamespace

import msgspec
import pynng
import pytest

from turmerictray.core.ids import NodeId, ZoneId
from turmerictray.core.supervision import Supervisor, install_supervisor
from turmerictray.core.timer import Tick
from turmerictray.membership.link import PeerLink, _PeerSocket
from turmerictray.membership.messages import CrashReport, MemberEntry, PeerMessage, RouterSummary


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


class Unexpected(Exception):
    """An exception that the peer link does not know."""


def fail(*_args: object, **_kwargs: object) -> None:
    raise Unexpected


@pytest.fixture
def link(monkeypatch):
    """A peer link with two seeds that lists what it sends, by address."""
    supervisor = Supervisor(lambda: None)
    install_supervisor(supervisor)
    summary = RouterSummary("r1", 1, 1, [], {}, [], [])
    members = []
    seeds = ["tcp://127.0.0.1:8", "tcp://127.0.0.1:9"]
    link = PeerLink(
        NodeId("r1"), ZoneId("z"), 1, "tcp://127.0.0.1:7", "127.0.0.1:6", seeds,
        lambda: summary, fail, lambda entries, *_: members.append(entries),
        crashes=FakeCrashes(),
    )  # fmt: skip
    link.supervisor, link.published, link.sent = supervisor, members, []

    def socket_to(address: str, _node: str, _now: float) -> object:
        return SimpleNamespace(send=lambda data: link.sent.append((address, data)))

    monkeypatch.setattr(link, "_socket_to", socket_to)
    yield link
    install_supervisor(None)


class FakeCrashes:
    """Crash reports that never end."""

    report = CrashReport("d", [], [], 0.0)

    def has_pending_updates(self) -> bool:
        return True

    def take_reports(self, _now: float) -> list[CrashReport]:
        return [self.report]

    def take_part_reports(self, _now: float) -> list:
        return []


def tick(link: PeerLink) -> None:
    for _ in range(5):
        link.on_receive(Tick("peers", time.monotonic()))


def senders(link: PeerLink) -> set[str]:
    return {msgspec.msgpack.decode(data, type=PeerMessage).sender.node for _, data in link.sent}


def test_report_that_fails_each_message_keeps_no_router_from_its_peers(link, monkeypatch):
    """Guards against one report of a peer that ends the peer links of all routers."""
    monkeypatch.setattr(FakeCrashes, "report", CrashReport("d", [], [], 10**30 * (1 << 64)))
    tick(link)
    assert senders(link) == {"r1"}
    assert len(link.published) == 5
    assert not link.supervisor.is_unfit


@pytest.mark.parametrize("owner", ["take_reports", "take_part_reports", "_gossip.batches"])
def test_step_that_always_fails_leaves_the_router_fit(link, monkeypatch, owner):
    """Guards against shared state that ends the peer links of all routers."""
    if owner.startswith("take"):
        monkeypatch.setattr(FakeCrashes, owner, fail)
    else:
        monkeypatch.setattr(link._gossip, "batches", fail)
    tick(link)
    assert len(link.published) == 5
    assert not link.supervisor.is_unfit
    if owner.startswith("take"):
        assert senders(link) == {"r1"}


def test_peer_that_cannot_be_sent_to_keeps_no_other_from_hearing(link, monkeypatch):
    """Guards against one peer that ends the peer links of all routers."""
    socket_to = link._socket_to
    monkeypatch.setattr(
        link,
        "_socket_to",
        lambda address, *rest: fail() if address.endswith("8") else socket_to(address, *rest),
    )
    tick(link)
    assert {address for address, _ in link.sent} == {"tcp://127.0.0.1:9"}
    assert not link.supervisor.is_unfit


def test_members_that_cannot_be_published_leave_the_router_fit(link, monkeypatch):
    """Guards against a list of routers that ends all of them."""
    monkeypatch.setattr(link, "_on_members", fail)
    tick(link)
    assert senders(link) == {"r1"}
    assert not link.supervisor.is_unfit


@pytest.mark.parametrize("cause", ["summary", "entry"])
def test_router_that_cannot_tell_its_own_state_is_unfit(link, monkeypatch, cause):
    """Guards against a router that is ready, and that all peers think to be gone."""
    if cause == "summary":
        monkeypatch.setattr(link, "_build_summary", fail)
    else:
        link.entry = MemberEntry("r1", "z", "tcp://127.0.0.1:7", 1 << 70, 0)
    tick(link)
    assert link.supervisor.is_unfit
