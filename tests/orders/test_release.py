"""Tests for the release of a claim whose request was not run."""

import threading
import time

import pykka
import pynng
import pytest

from turmerictray.config.schema import PartitionPolicy
from turmerictray.core.ids import NodeId, RequestId, ServiceName, TeamId
from turmerictray.core.member import Member
from turmerictray.core.timer import Tick
from turmerictray.loadtool.ports import free_port
from turmerictray.orders.guard import OrderGuard
from turmerictray.orders.keys import claim_key
from turmerictray.orders.link import HomeLink
from turmerictray.orders.messages import AskHome
from turmerictray.orders.table import ClaimTable
from turmerictray.orders.vote import Vote
from turmerictray.orders.wire import ENCODER, REQUEST_DECODER, Records, Release, Sync, Voted

RETENTION_S = 300.0
RELEASE_DELAY_S = 0.2
KEY = claim_key(TeamId("depot"), ServiceName("orders"), RequestId("van-4"))
MEMBERS = [Member(NodeId(f"r{i}"), f"z{i}") for i in range(3)]


class Sink(pykka.ThreadingActor):
    """Actor that ignores its messages."""

    use_daemon_thread = True

    def on_receive(self, message: object) -> None:
        pass


class Link(pykka.ThreadingActor):
    """One router's link to a replica, which delivers releases with a delay."""

    use_daemon_thread = True

    def __init__(self, table: ClaimTable, release_delay_s: float) -> None:
        super().__init__()
        self.table = table
        self.release_delay_s = release_delay_s

    def on_receive(self, msg: AskHome) -> None:
        request = msg.request
        if isinstance(request, Release):
            time.sleep(self.release_delay_s)
            self.table.release(request.key, request.holder)
            msg.reply.try_set_result(Vote.GRANTED)
            return
        msg.reply.try_set_result(self.table.acquire(request.key, request.holder, RETENTION_S, 0.0))


@pytest.fixture
def guards():
    """Two routers' guards that share three replicas; one link delivers releases slowly."""
    tables = {member.node: ClaimTable(member.node, MEMBERS, now=-1000.0) for member in MEMBERS}
    links = [
        {
            node: Link.start(table, 0.0 if node == "r0" else delay_s)
            for node, table in tables.items()
        }
        for delay_s in (RELEASE_DELAY_S, 0.0)
    ]
    yield [
        OrderGuard(member.node, MEMBERS, links)
        for member, links in zip(MEMBERS[:2], links, strict=True)
    ]
    for link in (link for by_node in links for link in by_node.values()):
        link.stop()


def test_copy_of_a_request_that_was_not_run_is_not_a_duplicate(guards):
    """Guards against 409 for a copy that the caller was told it may send."""
    first, second = guards
    claim = first.acquire(KEY, PartitionPolicy.REFUSE, RETENTION_S, 1.0)
    first.release(claim)
    copy = second.acquire(KEY, PartitionPolicy.REFUSE, RETENTION_S, 1.0)
    assert copy.holder != claim.holder


def serve_from_second_release(rep: pynng.Rep0, releases: list[Release]) -> None:
    """Answer syncs, and releases except the first, until two releases have arrived."""
    while len(releases) < 2:
        request = REQUEST_DECODER.decode(rep.recv())
        if isinstance(request, Sync):
            rep.send(ENCODER.encode(Records(NodeId("r1"), [])))
            continue
        releases.append(request)
        if len(releases) == 2:
            rep.send(ENCODER.encode(Voted(Vote.GRANTED)))


def test_unanswered_release_is_repeated():
    """Guards against a claim that stays at a replica that was unreachable during its release."""
    address = f"tcp://127.0.0.1:{free_port()}"
    releases = []
    local_replica = Sink.start()
    with pynng.Rep0(listen=address, recv_timeout=5000) as rep:
        server = threading.Thread(
            target=serve_from_second_release, args=(rep, releases), daemon=True
        )
        server.start()
        link = HomeLink.start(
            NodeId("r0"), NodeId("r1"), address, local_replica, lambda: RETENTION_S
        )
        try:
            ask = AskHome(Release(KEY, "holder"))
            link.tell(ask)
            assert ask.reply.result(5) is Vote.UNREACHABLE
            deadline = time.monotonic() + 5
            while server.is_alive() and time.monotonic() < deadline:
                link.tell(Tick("claims", time.monotonic()))
                time.sleep(0.1)
        finally:
            link.stop()
            local_replica.stop()
    assert releases == [Release(KEY, "holder")] * 2
