"""Stateful test: routers agree with a store that is repeatedly restored from a backup."""

import json

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from turmerictray.core.errors import HistoryGone
from turmerictray.core.ids import TargetId
from turmerictray.platform.entries import TARGETS_PREFIX, TargetEntries, missing_entry_deadline
from turmerictray.platform.standins.store import StoreServer
from turmerictray.platform.store import StoreClient
from turmerictray.router.published import Position, PublishedDocs, StorePosition

NAMES = [f"i-{number}" for number in range(4)]
MAX_TIMEOUT_S = 8.0
"""Longer than any missing entry is kept or any listed one stays unconfirmed."""


def make_entry(born: int, state: str) -> dict:
    return {
        "service": "llm",
        "address": "10.0.0.1:80",
        "zone": "z1",
        "version": "v1",
        "slots": 6,
        "state": state,
        "cold_left_ms": 0,
        "sequence": 1,
        "born": born,
    }


class ReaderModel:
    """The targets that a router knows from its own reads of the store or from peers."""

    def __init__(self, address: str) -> None:
        self.entries = TargetEntries()
        self.client = StoreClient(address)
        self.since: StorePosition | None = None
        self.store_returned_at = -100.0
        self.highest = StorePosition()

    def read(self, now: float) -> None:
        try:
            if self.since is None:
                self._read_all(now)
                return
            snapshot = self.client.watch(TARGETS_PREFIX, self.since, 0.0)
        except HistoryGone:
            self.since = None
            return
        self.since = max(self.since, snapshot.position)
        self.entries.apply_changes(
            snapshot.items, now, missing_entry_deadline(self.store_returned_at)
        )

    def _read_all(self, now: float) -> None:
        snapshot = self.client.read_all(TARGETS_PREFIX)
        if snapshot.position.era > self.highest.era:
            self.store_returned_at = now
        self.since = snapshot.position
        keep_until = missing_entry_deadline(self.store_returned_at)
        self.entries.apply_snapshot(snapshot.items, now, keep_until, snapshot.position)

    def docs(self, now: float) -> PublishedDocs:
        position = self.entries.position
        return PublishedDocs(
            targets=self.entries.published(now),
            targets_revision=position.revision,
            targets_era=position.era,
        )

    def copy_from(self, peer: "ReaderModel", now: float) -> None:
        if Position(1, self.entries.position).is_behind(Position(1, peer.entries.position)):
            self.entries.apply_peer_docs(peer.docs(now), now)

    def listed_targets(self) -> set[TargetId]:
        return {info.id for info in self.entries.targets()}


class RestoredStoreMachine(RuleBasedStateMachine):
    """Workers start, drain and stop; the store loses changes; routers read it or ask peers.

    The names of rules and their arguments determine the order of random draws.
    """

    def __init__(self) -> None:
        super().__init__()
        self.server = StoreServer().start()
        self.store = self.server.store
        self.routers = [ReaderModel(self.server.address) for _ in range(3)]
        self.alive: dict[str, tuple[int, str]] = {}
        self.born = 0
        self.now = 0.0

    @rule(name=st.sampled_from(NAMES))
    def start(self, name):
        self.born += 1
        self.alive[name] = (self.born, "ready")
        self.write(name)

    @rule(name=st.sampled_from(NAMES))
    def drain(self, name):
        if name in self.alive:
            self.alive[name] = (self.alive[name][0], "draining")
            self.write(name)

    @rule(name=st.sampled_from(NAMES))
    def end(self, name):
        self.alive.pop(name, None)
        self.write(name)

    @rule(count=st.integers(0, 6))
    def restore_backup(self, count):
        self.store.restore_without_last(min(count, len(self.store._log)))

    @rule()
    def forget_history(self):
        self.store.compact()

    @rule(name=st.sampled_from(NAMES))
    def write(self, name):
        key = TARGETS_PREFIX + name
        if name in self.alive:
            self.store.put(key, make_entry(*self.alive[name]))
        elif key in self.store._items:
            self.store.delete(key)

    @rule(reader=st.integers(0, 1))
    def read(self, reader):
        self.routers[reader].read(self.now)

    @rule(reader=st.integers(0, 1))
    def copy(self, reader):
        self.routers[2].copy_from(self.routers[reader], self.now)

    @rule(seconds=st.floats(0.1, 3.0))
    def pass_time(self, seconds):
        self.now += seconds
        for router in self.routers:
            router.entries.apply_timeouts(self.now)

    @invariant()
    def no_position_goes_back(self):
        for router in self.routers:
            assert router.entries.position >= router.highest
            router.highest = router.entries.position

    def teardown(self):
        try:
            self.settle()
        finally:
            for router in self.routers:
                router.client.close()
            self.server.stop()

    def settle(self):
        for name in NAMES:
            self.write(name)
        for _ in range(2):
            for router in self.routers[:2]:
                for _ in range(3):
                    router.read(self.now)
            self.routers[2].copy_from(self.routers[0], self.now)
            self.routers[2].copy_from(self.routers[1], self.now)
            self.pass_time(MAX_TIMEOUT_S)
        expected = {
            f"{key.removeprefix(TARGETS_PREFIX)}@{json.loads(change.value)['born']}"
            for key, change in self.store._items.items()
        }
        for router in self.routers:
            assert router.listed_targets() == expected


@pytest.mark.filterwarnings("ignore")
class TestRestoredStore(RestoredStoreMachine.TestCase):
    settings = settings(max_examples=60, stateful_step_count=25, deadline=None, derandomize=True)
