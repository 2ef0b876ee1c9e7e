"""The threads that follow the store."""

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
