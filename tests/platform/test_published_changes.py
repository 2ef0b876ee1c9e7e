"""Lists of the targets that have changed since an earlier position, passed on among routers."""

import json
import random

import msgspec
import pytest
import urllib3
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.platform.test_entries import GOOD, pos
from turmerictray.loadtool.ports import free_port
from turmerictray.platform.entries import TargetEntries
from turmerictray.platform.store import Item
from turmerictray.router.published import PublishedCopy, PublishedDocs, StorePosition
from turmerictray.transport.admin import AdminServer, Page, QueryPage

ROUTERS = 4
NAMES = [f"i-{number}" for number in range(6)]


class Router:
    """Entries of one router, and its copy for peers."""

    def __init__(self) -> None:
        self.entries = TargetEntries()
        self.copy = PublishedCopy()
        self.received_entries = 0

    def publish(self) -> None:
        self.copy.put_targets(
            self.entries.published(0.0), self.entries.position, self.entries.history()
        )

    def fetch(self, peer: "Router") -> None:
        if not self.entries.position < peer.entries.position:
            return
        since = self.entries.position if self.entries.position.revision else None
        docs = msgspec.json.decode(
            msgspec.json.encode(peer.copy.docs_without_text(since)), type=PublishedDocs
        )
        self.received_entries += len(docs.targets)
        self.entries.apply_peer_docs(docs, 0.0)
        self.publish()

    def targets(self) -> set[str]:
        return {info.instance_name for info in self.entries.targets()}


class Fleet:
    """A store, a router that reads it, and others that fetch from any router."""

    def __init__(self) -> None:
        self.revision = 0
        self.listed: dict[str, Item] = {}
        self.routers = [Router() for _ in range(ROUTERS)]

    def write(self, name: str, is_removal: bool) -> None:
        self.revision += 1
        value = None if is_removal else json.dumps({**GOOD, "born": self.revision}).encode()
        item = Item(f"servers/{name}", value, pos(self.revision))
        self.listed.pop(name, None)
        if not is_removal:
            self.listed[name] = item
        self.routers[0].entries.apply_changes([item], 0.0, 0.0)
        self.routers[0].publish()

    def read_list(self, number: int) -> None:
        router = self.routers[number]
        router.entries.apply_snapshot(self.listed.values(), 0.0, 0.0, pos(self.revision))
        router.publish()

    def restart(self, number: int) -> None:
        self.routers[number] = Router()
        if number == 0:
            self.read_list(0)


STEPS = st.one_of(
    st.tuples(st.just("write"), st.sampled_from(NAMES), st.booleans()),
    st.tuples(st.just("fetch"), st.integers(1, ROUTERS - 1), st.integers(0, ROUTERS - 1)),
    st.tuples(st.just("restart"), st.integers(0, ROUTERS - 1)),
    st.tuples(st.just("read_list"), st.integers(0, ROUTERS - 1)),
)


@settings(max_examples=150, deadline=None)
@given(st.lists(STEPS, max_size=40))
def test_changes_that_routers_pass_on_leave_no_removed_target(steps):
    """Guards against a target that stays in use because a list of changes lacks its removal."""
    fleet = Fleet()
    for step, *arguments in steps:
        if step == "fetch":
            number, peer = arguments
            fleet.routers[number].fetch(fleet.routers[peer])
        else:
            getattr(fleet, step)(*arguments)
    fleet.write("last", False)
    for router in fleet.routers[1:]:
        router.fetch(fleet.routers[0])
    assert [router.targets() for router in fleet.routers] == [set(fleet.listed)] * ROUTERS


def test_a_change_of_one_target_is_sent_alone():
    """Guards against documents that grow with the number of targets at each change of one."""
    fleet, rng = Fleet(), random.Random(1)
    for number in range(200):
        fleet.write(f"t{number}", False)
    reader, follower = fleet.routers[:2]
    follower.fetch(reader)
    follower.received_entries = 0
    for _ in range(10):
        fleet.write(f"t{rng.randrange(200)}", False)
        follower.fetch(reader)
    assert follower.received_entries == 10


def test_accepted_entry_of_a_restored_store_is_sent():
    """Guards against a target that peers never learn of, as its entry has an old position."""
    reader, follower = Router(), Router()
    item = Item("servers/i-1", json.dumps(GOOD).encode(), pos(50, 1))
    reader.entries.apply_snapshot([item], 0.0, 0.0, pos(50, 1))
    reader.entries.apply_changes([Item("servers/i-1", None, pos(51, 1))], 1.0, 0.0)
    restored = Item("servers/i-1", json.dumps(GOOD).encode(), pos(50, 2))
    reader.entries.apply_snapshot([restored], 2.0, 4.2, pos(50, 2))
    reader.publish()
    follower.fetch(reader)
    assert follower.targets() == set()
    assert [info.name for info in reader.entries.apply_timeouts(7.0)] == ["i-1"]
    other = Item("servers/i-2", json.dumps(GOOD).encode(), pos(52, 2))
    reader.entries.apply_changes([other], 8.0, 0.0)
    reader.publish()
    follower.fetch(reader)
    assert follower.targets() == {"i-1", "i-2"}


@pytest.mark.parametrize("query", ["", "7", "1.x", "1.-2", "a.b"])
def test_invalid_position_in_a_query_is_none(query):
    assert StorePosition.from_query(query) is None


def test_position_survives_a_query():
    assert StorePosition.from_query(pos(7, 2).to_query()) == pos(7, 2)


def test_only_query_pages_accept_a_query():
    pages = {
        "/plain": lambda: Page(200, b"plain"),
        "/query": QueryPage(lambda query: Page(200, query.encode())),
    }
    port = free_port()
    server = AdminServer("127.0.0.1", port, pages)
    server.start()
    try:
        base = f"http://127.0.0.1:{port}"
        assert urllib3.request("GET", f"{base}/query?1.7").data == b"1.7"
        assert urllib3.request("GET", f"{base}/query").data == b""
        assert urllib3.request("GET", f"{base}/plain").data == b"plain"
        assert urllib3.request("GET", f"{base}/plain?x").status == 404
    finally:
        server.stop()
