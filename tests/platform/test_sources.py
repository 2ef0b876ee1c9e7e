"""The threads that follow the store."""

import time

import pykka
import pytest

from turmerictray.core.supervision import Supervisor, install_supervisor
from turmerictray.platform.sources import PrefixWatch
from turmerictray.platform.store import Item, Snapshot
from turmerictray.router.published import PublishedCopy, StorePosition


class SingleAnswerStore:
    """A store that answers a single read."""

    def read_all(self, prefix: str) -> Snapshot:
        return Snapshot([], StorePosition(1, 7))


class AlwaysOpenGate:
    """A gate that always lets the router read the store."""

    def should_read(self, position) -> bool:
        return True

    def record_store_read(self, prefix: str) -> None:
        """Ignore the answer."""

    def record_store_failure(self, prefix: str) -> None:
        """Ignore the failure."""


def test_answer_after_broker_has_stopped_ends_watch():
    """Guards against a logged traceback if the targets change while the router stops."""

    def refuse(snapshot: Snapshot) -> None:
        raise pykka.ActorDeadError("Broker not found")

    watch = PrefixWatch(
        SingleAnswerStore(), "servers/", AlwaysOpenGate(), PublishedCopy(), refuse, refuse
    )
    watch._run()


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
