"""The threads that follow the store."""

import base64
import json
import time

import pykka
import pytest

from tests.platform.conftest import wait_for
from turmerictray.core.errors import StoreUnavailable
from turmerictray.core.supervision import Supervisor, install_supervisor
from turmerictray.platform import entries
from turmerictray.platform.sources import PrefixWatch, TargetSource
from turmerictray.platform.store import Item, Snapshot
from turmerictray.router.published import (
    PublishedCopy,
    PublishedDocs,
    PublishedEntry,
    StorePosition,
)
from turmerictray.routing.load import TargetGone
from turmerictray.scheduling.broker_messages import TargetsChanged, TargetsListed


class SingleAnswerStore:
    """A store that answers a single read."""

    def read_all(self, prefix: str) -> Snapshot:
        return Snapshot([], StorePosition(1, 7))


class AlwaysOpenGate:
    """A gate that always lets the router read the store."""

    def should_read(self, position) -> bool:
        return True

    def is_designated(self) -> bool:
        return True

    def record_store_read(self, prefix: str) -> None:
        """Ignore the answer."""

    def record_store_failure(self, prefix: str) -> None:
        """Ignore the failure."""

    def outage_ended_at(self) -> float:
        return time.monotonic()


def test_answer_after_broker_has_stopped_ends_watch():
    """Guards against a logged traceback if the targets change while the router stops."""

    def refuse(snapshot: Snapshot) -> None:
        raise pykka.ActorDeadError("Broker not found")

    watch = PrefixWatch(
        SingleAnswerStore(), "servers/", AlwaysOpenGate(), PublishedCopy(), refuse, refuse
    )
    watch._run()


STORE_READS_PER_S = {9: 2000, 79: 6000, 195: 16000}
"""Read calls that the store of a fleet answers a second, by the number of routers."""


class UnavailableStore:
    """A store that refuses all reads."""

    def __init__(self) -> None:
        self.calls = 0

    def read_all(self, prefix: str) -> Snapshot:
        self.calls += 1
        raise StoreUnavailable("503")


def test_fleet_that_reads_for_itself_spares_a_store_that_refuses_it():
    """Guards against an outage in which the reads of all routers keep the store busy."""
    store, gate = UnavailableStore(), AlwaysOpenGate()
    gate.is_designated = lambda: False
    watch = PrefixWatch(store, "op/", gate, PublishedCopy(), lambda _: None, lambda _: None)
    calls = []
    watch.start()
    for _ in range(3):
        time.sleep(1.0)
        calls.append(store.calls)
    watch.stop()
    for routers, reads_per_s in STORE_READS_PER_S.items():
        assert 2 * routers * calls[0] <= reads_per_s / 4
    assert calls[2] - calls[0] <= 1


class RecordingStore(SingleAnswerStore):
    """A store that answers reads and records reconnects."""

    def __init__(self) -> None:
        self.reads = self.reconnects = 0

    def read_all(self, prefix: str) -> Snapshot:
        self.reads += 1
        return super().read_all(prefix)

    def reconnect(self) -> None:
        self.reconnects += 1


def test_connection_that_is_not_used_is_closed():
    """Guards against a read that waits for a connection that died while nothing was read."""
    store, gate = RecordingStore(), AlwaysOpenGate()
    gate.should_read = lambda _position: not store.reads
    watch = PrefixWatch(store, "op/", gate, PublishedCopy(), lambda _: None, lambda _: None)
    watch.start()
    assert wait_for(lambda: store.reconnects)
    time.sleep(0.3)
    watch.stop()
    assert (store.reads, store.reconnects) == (1, 1)


class ChangingStore:
    """A store with one item, whose changes a watch returns once."""

    def __init__(self) -> None:
        self.item = Item("op/config", b"1", StorePosition(1, 1))

    def read_all(self, prefix: str) -> Snapshot:
        return Snapshot([self.item], self.item.position)

    def watch(self, prefix: str, since: StorePosition, wait_s: float) -> Snapshot:
        revision = self.item.position.revision + 1
        self.item = Item("op/config", str(revision).encode(), StorePosition(1, revision))
        return self.read_all(prefix)


@pytest.mark.parametrize("failures", [1, 5])
def test_change_whose_handling_failed_is_read_again(failures):
    """Guards against a change that is lost, or a document that ends all its readers."""
    received, seen = [], []
    supervisor = Supervisor(lambda: None)

    def receive(snapshot: Snapshot) -> None:
        seen.append(snapshot)
        if 1 < len(seen) <= failures + 1:
            raise ValueError("unexpected")
        received.append(snapshot.items[0].value)
        if len(received) == 2:
            watch.stop()

    watch = PrefixWatch(ChangingStore(), "op/", AlwaysOpenGate(), PublishedCopy(), receive, receive)
    install_supervisor(supervisor)
    try:
        watch._thread.start()
        watch._thread.join(5.0)
    finally:
        watch.stop()
        install_supervisor(None)
    assert received == [b"1", b"2"]
    assert not supervisor.is_unfit


class ClosableGate(AlwaysOpenGate):
    """A gate that lets the router read the store from the time when it is opened."""

    def __init__(self) -> None:
        self.is_open = False

    def should_read(self, position) -> bool:
        return self.is_open


class ListedOnceStore(ChangingStore):
    """A changing store that counts how often all of its items were listed."""

    lists = 0

    def read_all(self, prefix: str) -> Snapshot:
        self.lists += 1
        return super().read_all(prefix)

    def watch(self, prefix: str, since: StorePosition, wait_s: float) -> Snapshot:
        time.sleep(min(wait_s, 0.01))
        snapshot = super().watch(prefix, since, wait_s)
        self.lists -= 1
        return snapshot


def fail_idle() -> float:
    raise ValueError("unexpected")


@pytest.mark.parametrize("is_open", [False, True])
def test_timeouts_that_always_fail_end_no_reader(is_open):
    """Guards against a fleet of which each router ends, as a due timeout fails at all of them."""
    supervisor, store, received = Supervisor(lambda: None), ListedOnceStore(), []
    gate = ClosableGate()
    gate.is_open = is_open

    def receive(snapshot: Snapshot) -> None:
        received.append(snapshot.items[0].value)
        if len(received) == 9:
            watch.stop()

    watch = PrefixWatch(store, "servers/", gate, PublishedCopy(), receive, receive, fail_idle)
    install_supervisor(supervisor)
    try:
        watch.start()
        time.sleep(1.2)
        assert not supervisor.is_unfit
        gate.is_open = True
        watch._thread.join(5.0)
    finally:
        watch.stop()
        install_supervisor(None)
    assert received == [str(number).encode() for number in range(1, 10)]
    assert store.lists == 1
    assert not supervisor.is_unfit


def test_timeout_that_meets_a_stopped_broker_ends_the_watch():
    """Guards against a thread that is reported as failed while the router stops."""
    supervisor = Supervisor(lambda: pytest.fail("unfit"))

    def refuse() -> float:
        raise pykka.ActorDeadError("Broker not found")

    def receive(snapshot: Snapshot) -> None:
        pytest.fail("read the store")

    watch = PrefixWatch(
        SingleAnswerStore(), "servers/", ClosableGate(), PublishedCopy(), receive, receive, refuse
    )
    install_supervisor(supervisor)
    try:
        watch._run()
    finally:
        install_supervisor(None)


class TargetsTold:
    """A broker that keeps the names of the targets that it was told of."""

    def __init__(self) -> None:
        self.names: set[str] = set()
        self.lists = 0

    def tell(self, msg: object) -> None:
        if isinstance(msg, TargetsListed):
            self.lists += 1
            self.names = {info.name for info in msg.targets}
        elif isinstance(msg, TargetsChanged):
            for change in msg.changes:
                if isinstance(change, TargetGone):
                    self.names.discard(change.id.partition("@")[0])
                else:
                    self.names.add(change.name)


def target_item(name: str, revision: int) -> Item:
    value = {
        "service": "llm",
        "address": f"10.0.0.{revision}:80",
        "zone": "z",
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "cold_left_ms": 0,
        "sequence": 1,
        "born": 1000,
    }
    return Item(f"servers/{name}", json.dumps(value).encode(), StorePosition(0, revision))


@pytest.fixture
def told():
    """A broker, and a source that has read two targets."""
    broker, gate = TargetsTold(), AlwaysOpenGate()
    source = TargetSource("127.0.0.1:1", gate, broker, PublishedCopy())
    items = [target_item(name, revision) for revision, name in enumerate(("a", "b"), 1)]
    source._apply_snapshot(Snapshot(items, StorePosition(0, 2)))
    assert broker.names == {"a", "b"}
    return broker, source


def fail_from(monkeypatch, owner, name: str, call: int, times: int = 99) -> None:
    """Make a method fail a number of times, from one of its calls on."""
    method, calls = getattr(owner, name), []

    def fail(*args):
        calls.append(args)
        if call <= len(calls) < call + times:
            raise ValueError("unexpected")
        return method(*args)

    monkeypatch.setattr(owner, name, fail)


@pytest.mark.parametrize("part", ["_apply_value", "apply_timeouts"])
def test_changes_before_one_that_fails_are_told(told, monkeypatch, part):
    """Guards against a change that counts as known here, and of which the broker never hears."""
    broker, source = told
    fail_from(monkeypatch, source._entries, part, 1 if part == "apply_timeouts" else 2)
    items = [target_item(name, revision) for revision, name in enumerate(("c", "d"), 3)]
    with pytest.raises(ValueError, match="unexpected"):
        source._apply_changes(Snapshot(items, StorePosition(0, 4)))
    assert broker.names >= {"a", "b", "c"}


@pytest.mark.parametrize("name", ["published", "history"])
def test_changes_whose_copy_for_peers_fails_are_told(told, monkeypatch, name):
    """Guards against a broker that waits for what only peers are to be sent."""
    broker, source = told
    fail_from(monkeypatch, source._entries, name, 1)
    with pytest.raises(ValueError, match="unexpected"):
        source._apply_changes(Snapshot([target_item("c", 3)], StorePosition(0, 3)))
    assert broker.names == {"a", "b", "c"}


@pytest.mark.parametrize("failing", [1, 2])
def test_timeout_that_fails_keeps_no_other_from_removing_its_target(told, monkeypatch, failing):
    """Guards against a target that is gone, and is sent requests until the process ends."""
    broker, source = told
    gone = [Item(f"servers/{name}", None, StorePosition(0, 3)) for name in ("a", "b")]
    monkeypatch.setattr(source, "_missing_entry_deadline", lambda: time.monotonic() + 0.05)
    source._apply_changes(Snapshot(gone, StorePosition(0, 3)))
    assert broker.names == {"a", "b"}
    time.sleep(0.1)
    with monkeypatch.context() as patch:
        patch.setattr(entries, "_FAILED_TIMEOUT_PAUSE_S", 0.05)
        fail_from(patch, source._entries, "_remove_target", failing, times=1)
        source._apply_timeouts()
    assert broker.names == {"a" if failing == 1 else "b"}
    time.sleep(0.06)
    source._apply_timeouts()
    assert not broker.names


def test_timeout_that_always_fails_keeps_no_change_from_broker_and_peers(told, monkeypatch):
    """Guards against a reader that lists the store again and again, and whose copy stays as it is,
    because of one target that can't be removed."""
    broker, source = told
    monkeypatch.setattr(source, "_missing_entry_deadline", time.monotonic)
    fail_from(monkeypatch, source._entries, "_remove_target", 1)
    gone = Item("servers/a", None, StorePosition(0, 3))
    source._apply_changes(Snapshot([gone, target_item("c", 4)], StorePosition(0, 4)))
    assert broker.names == {"a", "b", "c"}
    assert broker.lists == 1
    assert "c" in source._published_copy.docs_for_peers().targets
    assert source._apply_timeouts() > 0.5


def test_peers_entry_whose_application_fails_is_applied_when_it_is_read_again(told, monkeypatch):
    """Guards against an old incarnation that stays, as the new one counts as known."""
    _, source = told
    value = json.dumps(json.loads(target_item("a", 3).value) | {"born": 2000}).encode()
    entry = PublishedEntry(base64.b64encode(value).decode(), 3)
    docs = PublishedDocs(targets={"a": entry}, targets_revision=3, removed=[])
    with monkeypatch.context() as patch:
        fail_from(patch, source._entries, "_remove_target", 1)
        with pytest.raises(ValueError, match="unexpected"):
            source._entries.apply_peer_docs(docs, time.monotonic())
    changes = source._entries.apply_peer_docs(docs, time.monotonic())
    assert changes[-1].id == "a@2000"


def test_first_list_that_fails_halfway_is_not_told():
    """Guards against a router that begins to serve with a part of the targets."""
    broker = TargetsTold()
    source = TargetSource("127.0.0.1:1", AlwaysOpenGate(), broker, PublishedCopy())
    items = [target_item(name, revision) for revision, name in enumerate(("a", "b"), 1)]
    with pytest.MonkeyPatch.context() as patch:
        fail_from(patch, source._entries, "_apply_value", 2)
        with pytest.raises(ValueError, match="unexpected"):
            source._apply_snapshot(Snapshot(items, StorePosition(0, 2)))
    assert not broker.lists
    source._apply_snapshot(Snapshot(items, StorePosition(0, 2)))
    assert broker.names == {"a", "b"}
    assert broker.lists == 1
