"""Entries of targets: restarts under the same name, and entries by other writers."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from turmerictray.core.errors import ConfigError
from turmerictray.core.ids import TargetName
from turmerictray.platform.documents import decode_target
from turmerictray.platform.entries import TargetEntries
from turmerictray.platform.store import Item
from turmerictray.router.published import PublishedDocs, PublishedEntry
from turmerictray.routing.load import TargetPhase

GOOD = {
    "service": "llm",
    "address": "10.0.0.1:80",
    "zone": "z1",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "cold_left_ms": 0,
    "sequence": 4,
    "born": 1000,
}
NAME = TargetName("i-1")


def item(revision: int, name: str = "i-1", **changes) -> Item:
    return Item(f"servers/{name}", json.dumps({**GOOD, **changes}).encode(), revision)


def removed(revision: int, name: str = "i-1") -> Item:
    return Item(f"servers/{name}", None, revision)


def without(field: str) -> bytes:
    return json.dumps({key: val for key, val in GOOD.items() if key != field}).encode()


BAD_VALUES = [
    *[without(field) for field in GOOD if field != "born"],
    *[
        json.dumps({**GOOD, **change}).encode()
        for change in (
            {"slots": "6"},
            {"slots": -3},
            {"slots": 0},
            {"slots": 6.5},
            {"slots": True},
            {"slots": 10**9},
            {"address": "junk"},
            {"address": ""},
            {"address": "10.0.0.1"},
            {"address": "10.0.0.1:0"},
            {"address": "10.0.0.1:99999"},
            {"address": "somewhere.example:80"},
            {"address": 80},
            {"service": ""},
            {"service": None},
            {"zone": ["z1"]},
            {"state": "resting"},
            {"state": 1},
            {"born": 1.5},
            {"born": "1000"},
            {"born": None},
            {"sequence": "x"},
        )
    ],
    b"",
    b"null",
    b"[]",
    b"\xff\xfe{}",
    b'{"service": "llm"',
]


@pytest.mark.parametrize("value", BAD_VALUES)
def test_an_entry_by_another_writer_names_no_target(value):
    # The caller of a request sees it sent to an address where something else listens, or where
    # nothing does. First an entry that no target wrote appears in the store; the router that
    # fills in what is missing, or keeps the entry before it, goes on using a target by it.
    with pytest.raises(ConfigError):
        decode_target(NAME, value)
    entries = TargetEntries()
    entries.take_all([item(1), item(2, "i-2")], 0.0, 0.0, 2)
    changes = entries.take([Item("servers/i-1", value, 3)], 1.0, 0.0)
    assert changes.gone == ["i-1@1000"]
    assert [info.id for info in entries.targets()] == ["i-2@1000"]
    back = entries.take([item(4)], 2.0, 0.0)
    assert [info.id for info in back.changed] == ["i-1@1000"]


def test_an_entry_without_born_goes_by_its_name():
    assert decode_target(NAME, without("born")).id == "i-1"


def test_states_have_phases():
    assert decode_target(NAME, item(1).value).phase is TargetPhase.READY
    assert decode_target(NAME, item(1, state="draining").value).phase is TargetPhase.LEAVING


def test_a_restart_under_the_same_name_is_another_target():
    # The caller waits for an engine that is believed to keep its prompt, or gets none while one is
    # idle. An engine that was draining ends and starts again under its name; taken for the one
    # before, it counts as leaving, as keeping prompts and as running what was cut.
    entries = TargetEntries()
    entries.take_all([item(1, state="draining")], 0.0, 0.0, 1)
    changes = entries.take([item(2, born=2000)], 1.0, 0.0)
    assert changes.gone == ["i-1@1000"]
    (info,) = changes.changed
    assert (info.id, info.own_name, info.phase) == ("i-1@2000", "i-1", TargetPhase.READY)


def test_a_clock_that_stepped_back_hides_no_restart():
    entries = TargetEntries()
    entries.take_all([item(1, born=5000)], 0.0, 0.0, 1)
    assert entries.take([item(2, born=300)], 1.0, 0.0).gone == ["i-1@5000"]


def test_late_words_bring_no_incarnation_back():
    entries = TargetEntries()
    entries.take_all([item(1)], 0.0, 0.0, 1)
    entries.take([item(5, born=2000)], 1.0, 0.0)
    assert not entries.take([item(3, state="draining")], 1.0, 0.0)
    assert not entries.take([removed(4)], 1.0, 0.0)
    assert [info.id for info in entries.targets()] == ["i-1@2000"]
    entries.take([removed(6)], 2.0, 0.0)
    assert not entries.take([item(5, born=2000)], 2.0, 0.0)
    assert entries.targets() == []


def test_a_missing_entry_is_kept_until_it_may_not_come_back():
    entries = TargetEntries()
    entries.take_all([item(1), item(2, "i-2")], 0.0, 0.0, 2)
    assert not entries.take_all([item(2, "i-2")], 10.0, 12.0, 9)
    assert entries.next_lapse_s(10.0) == 2.0
    assert not entries.lapse(11.9)
    assert entries.lapse(12.0).gone == ["i-1@1000"]
    assert entries.next_lapse_s(12.0) is None


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=2) | st.dictionaries(st.text(max_size=4), inner),
    max_leaves=4,
)
foreign = st.binary(max_size=60) | st.builds(
    lambda changes: json.dumps({**GOOD, **changes}).encode(),
    st.dictionaries(st.sampled_from(sorted(GOOD)), json_values, min_size=1, max_size=3),
)


@given(st.lists(st.tuples(st.sampled_from(["i-1", "i-2", ""]), foreign), max_size=8))
def test_foreign_entries_never_touch_the_others(writes):
    entries = TargetEntries()
    entries.take_all([item(1, "i-good")], 0.0, 0.0, 1)
    for revision, (name, value) in enumerate(writes, start=2):
        entries.take([Item(f"servers/{name}", value, revision)], 0.0, 0.0)
    entries.take_all(
        [item(1, "i-good"), *(Item(f"servers/{n}", v, 99) for n, v in writes)], 0.0, 0.0, 99
    )
    named = {info.own_name: info for info in entries.targets()}
    assert named[TargetName("i-good")].id == "i-good@1000"
    for info in named.values():
        assert info.slots >= 1 and info.address.rpartition(":")[2].isdigit()


def copied(reader: TargetEntries, now: float) -> PublishedDocs:
    """What a peer would take from a reader at that time."""
    return PublishedDocs(targets=reader.published(now), targets_revision=reader.revision)


def test_a_lapsed_target_goes_from_routers_that_do_not_read_as_well():
    # A caller's request is sent to a target that is gone for good. The store comes back without its
    # entry; the router that reads keeps the target for two seconds, in which another router copies
    # the list. When the time is over nothing in the store changes, so the copy is never renewed.
    reader, other = TargetEntries(), TargetEntries()
    reader.take_all([item(1), item(2, "i-2")], 0.0, 0.0, 2)
    other.take_copy(copied(reader, 0.0), 0.0)
    reader.take_all([item(2, "i-2")], 10.0, 12.2, 9)
    assert reader.revision > other.revision
    other.take_copy(copied(reader, 10.5), 10.5)
    assert [info.own_name for info in other.targets()] == ["i-1", "i-2"]
    assert other.next_lapse_s(10.5) == pytest.approx(1.7)
    assert other.lapse(12.3).gone == ["i-1@1000"]


def test_a_copy_of_a_lapsing_target_does_not_bring_it_back():
    reader, other = TargetEntries(), TargetEntries()
    for entries in (reader, other):
        entries.take_all([item(1), item(2, "i-2")], 0.0, 0.0, 2)
    reader.take([removed(5)], 10.0, 12.2)
    other.take([removed(5)], 10.0, 0.0)
    assert not other.take_copy(copied(reader, 10.5), 10.5)
    assert [info.own_name for info in other.targets()] == ["i-2"]


def test_a_copied_entry_that_can_not_be_read_names_no_target():
    entries = TargetEntries()
    entries.take_all([item(1)], 0.0, 0.0, 1)
    docs = PublishedDocs(targets={"i-1": PublishedEntry("%%%", 2)}, targets_revision=2)
    assert entries.take_copy(docs, 1.0).gone == ["i-1@1000"]
