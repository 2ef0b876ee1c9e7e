"""What the store's history tells of targets that were there before a router started."""

import json
import math
import time

import pytest

from turmerictray.core.errors import HistoryGone, StoreUnavailable
from turmerictray.core.ids import ServiceName, SoftwareVersion
from turmerictray.platform.entries import missing_entry_deadline
from turmerictray.platform.history import HistoryReader, PastTargets, read_past_targets
from turmerictray.platform.store import Item, Snapshot
from turmerictray.router.published import StorePosition

HISTORY_S = 20.0
BACK_S = missing_entry_deadline(0.0)
"""Time until which entries that lapsed come back after the store's return, in seconds."""

LLM, APP = ServiceName("llm"), ServiceName("app")
V1, V2 = SoftwareVersion("v1"), SoftwareVersion("v2")


def write(
    revision: int, name: str, version: str = "v1", service: str = "llm", first=True, **fields
) -> Item:
    entry = {
        "service": service,
        "address": "10.0.0.1:80",
        "zone": "z1",
        "version": version,
        "slots": 4,
        "state": "ready",
        "sequence": 1,
        "cold_left_ms": 0,
        **fields,
    }
    position = StorePosition(1, revision)
    return Item(f"servers/{name}", json.dumps(entry).encode(), position, first)


def removal(revision: int, name: str) -> Item:
    return Item(f"servers/{name}", None, StorePosition(1, revision))


class History:
    """The store's changes since a revision up to which they are discarded."""

    def __init__(self, items: list[Item], discarded: int, revision: int) -> None:
        self.items = items
        self.discarded = discarded
        self.position = StorePosition(1, revision)
        self.calls = 0
        self.is_away = False

    def watch(self, prefix: str, since: StorePosition, wait_s: float) -> Snapshot:
        self.calls += 1
        if self.is_away:
            raise StoreUnavailable("away")
        if since.revision < self.discarded:
            raise HistoryGone("discarded")
        items = [item for item in self.items if item.position.revision > since.revision]
        return Snapshot(items, self.position)


def read(*items: Item, discarded: int = 0, revision: int = 200) -> PastTargets | None:
    history = History(list(items), discarded, revision)
    found = read_past_targets(history, history.position, HISTORY_S)
    assert history.calls <= 2 * math.log2(revision) + 3
    return found


def test_complete_history_tells_of_all_targets_that_ever_were():
    """Guards against streams that are refused for as long as an unknown target could have been."""
    found = read(write(2, "i-1"), write(3, "i-2", "v2"), removal(4, "i-2"), revision=5)
    assert found == PastTargets(math.inf, frozenset({(LLM, V1), (LLM, V2)}))


@pytest.mark.parametrize("discarded", [1, 90, 198, 200])
def test_history_without_its_beginning_tells_of_as_long_as_it_is_kept(discarded):
    found = read(write(199, "i-2", "v2", "app"), discarded=discarded)
    versions = {(APP, V2)} if discarded < 199 else set()
    assert found == PastTargets(HISTORY_S, frozenset(versions))


def test_removed_target_whose_entry_was_seen_is_known():
    found = read(write(150, "i-2", "v2"), removal(160, "i-2"), discarded=100)
    assert found == PastTargets(HISTORY_S, frozenset({(LLM, V2)}))


@pytest.mark.parametrize("is_removed", [True, False], ids=["removed", "other incarnation"])
def test_target_whose_version_is_discarded_leaves_the_past_unknown(is_removed):
    """Guards against streams of two versions that are joined, as one left without a trace."""
    now_ms = round(1000 * time.time())
    item = removal(150, "i-2") if is_removed else write(150, "i-2", first=False, born=now_ms)
    assert read(item, discarded=100) is None
    assert read(item) is not None


@pytest.mark.parametrize("fields", [{}, {"born": 1_700_000_000_000}])
def test_changed_entry_of_a_process_that_was_there_before_hides_nothing(fields):
    found = read(write(150, "i-2", first=False, state="draining", **fields), discarded=100)
    assert found == PastTargets(HISTORY_S, frozenset({(LLM, V1)}))


def test_history_is_read_once_the_store_answers():
    """Guards against a router that a store which is away at its start keeps ignorant."""
    found: list[PastTargets] = []
    history = History([write(2, "i-1")], 0, 5)
    reader = HistoryReader(history, HISTORY_S, found.append)
    assert reader.run_if_due(0.0) is None and not history.calls
    reader.note_list(history.position, 0.0)
    history.is_away = True
    assert reader.run_if_due(BACK_S) > 0
    history.is_away = False
    assert reader.run_if_due(BACK_S + 0.1) > 0 and not found
    assert reader.run_if_due(BACK_S + 1.0) is None and len(found) == 1
    calls = history.calls
    assert reader.run_if_due(BACK_S + 2.0) is None and history.calls == calls


def test_targets_whose_entries_may_come_back_are_waited_for():
    """Guards against joined streams as a restored store doesn't list all targets yet."""
    found: list[PastTargets] = []
    history = History([write(2, "i-1")], 0, 5)
    reader = HistoryReader(history, HISTORY_S, found.append)
    reader.note_list(history.position, 0.0)
    assert reader.run_if_due(1.0) == pytest.approx(BACK_S - 1.0) and not history.calls
    reader.note_list(history.position, 1.5)
    assert reader.run_if_due(BACK_S) is None and len(found) == 1


def test_history_that_was_discarded_early_tells_nothing():
    """Guards against joined streams as the store has forgotten a target of another version."""
    found: list[PastTargets] = []
    history = History([write(2, "i-1")], 0, 5)
    reader = HistoryReader(history, HISTORY_S, found.append)
    reader.note_list(history.position, 0.0)
    history.discarded, history.position = 7, StorePosition(1, 7)
    reader.note_list(history.position, 1.0)
    for now in (BACK_S, BACK_S + 1.0):
        assert reader.run_if_due(now) is None
    assert not found
