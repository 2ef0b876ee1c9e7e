"""Tests for when a router that missed a routing configuration asks a peer for it."""

import threading
import time

import pykka
import pytest

from tests.platform.conftest import wait_for
from turmerictray.core.ids import NodeId, TargetName, ZoneId
from turmerictray.membership.messages import MemberEntry, PeerMessage, RouterSummary
from turmerictray.router.catch_up import CatchUp, LagTracker, MessageArrived
from turmerictray.router.messages import SilentPeersQuery
from turmerictray.router.peer_texts import PeerTexts
from turmerictray.router.published import (
    PeerDocs,
    Position,
    PublishedCopy,
    PublishedDocs,
    PublishedEntry,
    StorePosition,
)
from turmerictray.router.startup_check import StartupCheck
from turmerictray.router.store_readers import StoreReaderSelection
from turmerictray.scheduling.broker_messages import RoutersAlive


def should_ask(
    lag: LagTracker, peer: int, local: int, listed: bool, now: float, reads_store=True
) -> bool:
    """Call ``should_ask`` with configuration versions.

    A peer with a configuration has also read the targets; this router has if ``listed``.
    """
    local_position = Position(local, StorePosition(0, 1 if listed else 0))
    return lag.should_ask(
        Position(peer, StorePosition(0, 1 if peer else 0)), local_position, reads_store, now
    )


def test_messages_from_outdated_peers_do_not_reset_wait():
    # After a store outage only one peer has the newest configuration. Between its messages arrive
    # those of peers with the old version. If each of these restarted the wait, revoked keys and
    # routes would stay in effect until this router's own watch ends.
    lag = LagTracker()
    asked = []
    for tick in range(8):
        now = tick * 0.25
        asked.append(should_ask(lag, 9, 3, True, now))
        assert not should_ask(lag, 3, 3, True, now + 0.01)
    assert asked.index(True) <= 2


def test_reader_waits_for_its_own_read():
    lag = LagTracker()
    assert not should_ask(lag, 9, 3, True, 0.0)
    assert not should_ask(lag, 9, 9, True, 0.5)
    assert not should_ask(lag, 10, 9, True, 0.6)
    assert not should_ask(lag, 10, 9, True, 0.9)
    assert should_ask(lag, 10, 9, True, 1.1)


def test_router_without_targets_asks_peer_with_same_version():
    lag = LagTracker()
    assert not should_ask(lag, 3, 3, False, 0.0)
    assert should_ask(lag, 3, 3, False, 0.5)
    assert not should_ask(lag, 0, 0, False, 2.0)


def test_fetches_from_peers_are_rate_limited():
    lag = LagTracker()
    asked = [should_ask(lag, 9, 3, True, tick * 0.05) for tick in range(41)]
    assert sum(asked) <= 7


def test_router_that_does_not_read_store_asks_at_once():
    assert should_ask(LagTracker(), 9, 3, True, 0.0, reads_store=False)
    assert should_ask(LagTracker(), 9, 9, False, 0.0, reads_store=False)


def test_peer_of_the_own_zone_is_asked_before_one_of_another():
    """Guards against documents that cross between zones although a near peer has them."""
    lag, newer, local = LagTracker(), Position(9), Position(3)
    assert not lag.should_ask(newer, local, False, 0.0, is_remote=True)
    assert lag.should_ask(newer, local, False, 0.1)
    lag = LagTracker()
    assert not lag.should_ask(newer, local, False, 0.0, is_remote=True)
    assert lag.should_ask(newer, local, False, 0.5, is_remote=True)


def test_documents_without_text_keep_the_rest():
    """Guards against the whole configuration being sent again for each change of a target."""
    copy = PublishedCopy()
    copy.put_config(b"{}", 4)
    copy.put_targets({}, StorePosition(0, 7))
    docs = copy.docs_without_text()
    assert not docs.texts_bytes()
    assert docs.targets_position == StorePosition(0, 7)


def test_router_behind_on_targets_only_asks_peer():
    lag = LagTracker()
    assert lag.should_ask(
        Position(3, StorePosition(0, 8)), Position(3, StorePosition(0, 7)), False, 0.0
    )
    assert not lag.should_ask(
        Position(3, StorePosition(0, 8)), Position(3, StorePosition(0, 8)), False, 1.0
    )


def message_from_reader(uninterrupted_s: float) -> MessageArrived:
    """Return the message of a peer that knows the same documents."""
    summary = RouterSummary(
        "r2", 1, 3, [], {}, [], targets_revision=7, uninterrupted_s=uninterrupted_s
    )
    message = PeerMessage(MemberEntry("r2", "z", "tcp://r2", 1, 9), summary, [], "r2:80")
    return MessageArrived(message, time.monotonic())


@pytest.mark.parametrize(("peer_s", "fetches"), [(3.0, 0), (9.0, 1)])
def test_reader_asks_a_peer_that_read_through_its_gap(monkeypatch, peer_s, fetches):
    """Guards against a returned reader that keeps a removed target although a peer knows better."""
    now = [0.0]
    readers = StoreReaderSelection(NodeId("r1"), ZoneId("z"), lambda: now[0], is_seed=True)
    readers.record_store_read("servers/")
    readers.record_store_failure("servers/")
    now[0] = 5.0
    readers.record_store_read("servers/")
    copy = PublishedCopy()
    copy.put_config(b"{}", 3)
    kept = PublishedEntry.encode(b"{}", StorePosition(0, 6), expires_in_s=2.0)
    copy.put_targets({TargetName("i-1"): kept}, StorePosition(0, 7))
    asked = []
    monkeypatch.setattr(PeerDocs, "fetch", lambda *args: asked.append(args) or PublishedDocs())
    startup_check = StartupCheck(NodeId("r1"), 0.0)
    catch_up = CatchUp(
        copy, readers, lambda docs, peer: None, startup_check, lambda state: None, ZoneId("z")
    )
    for _ in range(2):
        catch_up.on_receive(message_from_reader(peer_s))
    assert len(asked) == fetches


def hear_text(catch_up: CatchUp, peer: str, version: int) -> None:
    summary = RouterSummary(peer, 1, version, [], {}, [])
    entry = MemberEntry(peer, "z", f"tcp://{peer}", 1, 9)
    message = PeerMessage(entry, summary, [], f"{peer}:80")
    catch_up.on_receive(MessageArrived(message, time.monotonic()))


@pytest.mark.parametrize(
    ("in_force", "peers", "asked"),
    [
        pytest.param(0, {"r2": 3, "r3": 3}, "r3", id="last good one at all peers"),
        pytest.param(0, {"r3": 4, "r2": 3}, "r3", id="a peer serves by a newer one"),
        pytest.param(0, {"r2": 3}, None, id="a peer was not heard"),
        pytest.param(0, {"r2": 0, "r3": 0}, None, id="no peer has one"),
        pytest.param(2, {"r2": 3, "r3": 3}, "r2", id="an older one is in force here"),
        pytest.param(2, {"r2": 2, "r3": 3}, "r3", id="an older one here and at a peer"),
        pytest.param(3, {"r2": 3, "r3": 2}, None, id="none is newer than the one in force here"),
        pytest.param(2, {"r2": 5}, None, id="the newest is in force at a peer"),
    ],
)
def test_router_asks_for_the_last_good_one(monkeypatch, in_force, peers, asked):
    """Guards against a router that never serves, or by an older text, beside one that fails."""
    copy = PublishedCopy()
    copy.put_config(b"{}", 5)
    docs = PublishedDocs(text="", text_version=5, text_in_force="e30=")
    monkeypatch.setattr(PeerDocs, "fetch", lambda *_args: docs)
    received = []
    catch_up = CatchUp(
        copy,
        StoreReaderSelection(NodeId("r1"), ZoneId("z"), lambda: 0.0, is_seed=True),
        lambda docs, peer: received.append((peer, docs.text_in_force)),
        StartupCheck(NodeId("r1"), 0.0),
        lambda state: None,
        ZoneId("z"),
        peer_texts=PeerTexts(NodeId("r1"), lambda: in_force),
    )
    catch_up.on_receive(RoutersAlive(frozenset({"r1", "r2", "r3"})))
    for _ in range(3):
        for peer, version in peers.items():
            hear_text(catch_up, peer, version)
    assert received == ([] if asked is None else [(asked, "e30=")])


def test_peer_in_force_is_not_asked_by_a_router_that_is_behind(monkeypatch):
    """Guards against an older text that a newer one elsewhere has withdrawn."""
    docs = PublishedDocs(text="e30=", text_version=5, text_in_force="e30=")
    monkeypatch.setattr(PeerDocs, "fetch", lambda *_args: docs)
    received = []
    catch_up = CatchUp(
        PublishedCopy(),
        StoreReaderSelection(NodeId("r1"), ZoneId("z"), lambda: 0.0),
        lambda docs, _peer: received.append(docs),
        StartupCheck(NodeId("r1"), 0.0),
        lambda state: None,
        ZoneId("z"),
        peer_texts=PeerTexts(NodeId("r1"), lambda: 0),
    )
    hear_text(catch_up, "r2", 3)
    assert [docs.texts_bytes() for docs in received] == [[b"{}"]]


def test_ordinary_fetch_of_a_router_with_text_has_the_one_in_force_at_the_peer(monkeypatch):
    """Guards against a router that misses a text as the next one, which fails, follows at once."""
    docs = PublishedDocs(text="e30=", text_version=5, text_in_force="W10=")
    monkeypatch.setattr(PeerDocs, "fetch", lambda *_args: docs)
    received, copy = [], PublishedCopy()
    copy.put_config(b"{}", 2)
    catch_up = CatchUp(
        copy,
        StoreReaderSelection(NodeId("r1"), ZoneId("z"), lambda: 0.0),
        lambda docs, _peer: received.append(docs),
        StartupCheck(NodeId("r1"), 0.0),
        lambda state: None,
        ZoneId("z"),
        peer_texts=PeerTexts(NodeId("r1"), lambda: 2),
    )
    hear_text(catch_up, "r2", 3)
    assert [docs.texts_bytes() for docs in received] == [[b"[]", b"{}"]]


def test_copy_for_peers_has_the_text_in_force_if_it_is_not_the_newest():
    """Guards against a last good text that only the routers that run already have."""
    in_force = [0]
    copy = PublishedCopy(lambda: in_force[0])
    for version in (1, 2):
        copy.put_config(str(version).encode(), version)
        in_force[0] = version
    assert copy.docs_for_peers().texts_bytes() == [b"2"]
    for version in range(3, 30):
        copy.put_config(str(version).encode(), version)
    assert copy.docs_for_peers().texts_bytes() == [b"2", b"29"]
    copy.put_config(b"1", 1)
    in_force[0] = 28
    assert copy.docs_for_peers().texts_bytes() == [b"28", b"29"]
    in_force[0] = 29
    assert copy.docs_for_peers().texts_bytes() == [b"29"]


def test_copy_of_a_router_without_text_keeps_an_older_one_that_arrives_later():
    """Guards against a last good text that is not passed on by the router that got it so."""
    in_force = [0]
    copy = PublishedCopy(lambda: in_force[0])
    copy.put_config(b"5", 5)
    copy.put_config(b"3", 3)
    assert copy.docs_for_peers().texts_bytes() == [b"5"]
    in_force[0] = 3
    assert copy.docs_for_peers().texts_bytes() == [b"3", b"5"]


def test_copy_keeps_a_last_good_text_that_arrives_after_many_newer_ones():
    """Guards against a last good text that starting routers can't get from this one."""
    in_force = [0]
    copy = PublishedCopy(lambda: in_force[0])
    for version in range(4, 10):
        copy.put_config(str(version).encode(), version)
    # The newest one follows before the older one is in force, as both come with one answer.
    copy.put_config(b"3", 3)
    copy.put_config(b"9", 9)
    in_force[0] = 3
    assert copy.docs_for_peers().texts_bytes() == [b"3", b"9"]
    for version in range(10, 30):
        copy.put_config(str(version).encode(), version)
    assert copy.docs_for_peers().texts_bytes() == [b"3", b"29"]


def test_message_that_waited_confirms_nothing_later_than_its_arrival():
    """Guards against old messages, handled late, that make old data look current."""
    readers = StoreReaderSelection(NodeId("r1"), ZoneId("z"))
    copy = PublishedCopy()
    copy.put_config(b"{}", 3)
    copy.put_targets({}, StorePosition(0, 7))
    check = StartupCheck(NodeId("r1"), 0.0)
    catch_up = CatchUp(copy, readers, lambda *_: None, check, lambda state: None, ZoneId("z"))
    summary = RouterSummary(
        "r2", 1, 3, [], {}, [], targets_revision=7, store_age_s=0.2, confirmed_by="r3"
    )
    message = PeerMessage(MemberEntry("r2", "z", "tcp://r2", 1, 9), summary, [], "r2:80")
    catch_up.on_receive(MessageArrived(message, time.monotonic() - 10.0))
    assert readers.age_s() >= 10.2
    catch_up.on_receive(MessageArrived(message, time.monotonic()))
    assert readers.age_s() < 5.0


def test_messages_are_handled_while_a_peer_does_not_answer_a_fetch(monkeypatch):
    """Guards against a mailbox that fills, and ages that are wrong, while fetches time out."""
    released, asked = threading.Event(), []

    def fetch(*args) -> PublishedDocs:
        asked.append(args)
        released.wait(5.0)
        return PublishedDocs()

    monkeypatch.setattr(PeerDocs, "fetch", fetch)
    readers = StoreReaderSelection(NodeId("r1"), ZoneId("z"))
    check = StartupCheck(NodeId("r1"), 0.0)
    catch_up = CatchUp.start(
        PublishedCopy(), readers, lambda *_: None, check, lambda state: None, ZoneId("z")
    )
    try:
        for _ in range(20):
            catch_up.tell(message_from_reader(1.0))
        assert catch_up.ask(SilentPeersQuery(), timeout=2.0) is not None
        assert wait_for(lambda: asked)
        assert len(asked) == 1
    finally:
        released.set()
        pykka.ActorRegistry.stop_all()
