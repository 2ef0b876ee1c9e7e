"""Entries of targets: restarts under the same name, and entries by other writers."""

import json
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from turmerictray.core.errors import ConfigError
from turmerictray.core.ids import TargetName
from turmerictray.platform.documents import decode_target
from turmerictray.platform.entries import TargetEntries
from turmerictray.platform.store import Item
from turmerictray.router.published import PublishedDocs, PublishedEntry, StorePosition
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


def at(revision: int, era: int = 0) -> StorePosition:
    return StorePosition(era, revision)


def item(revision: int, name: str = "i-1", **changes) -> Item:
    return Item(f"servers/{name}", json.dumps({**GOOD, **changes}).encode(), at(revision))


def removed(revision: int, name: str = "i-1") -> Item:
    return Item(f"servers/{name}", None, at(revision))


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
    """Guards against requests to an address that no target has written."""
    with pytest.raises(ConfigError):
        decode_target(NAME, value)
    entries = TargetEntries()
    entries.take_all([item(1), item(2, "i-2")], 0.0, 0.0, at(2))
    changes = entries.take([Item("servers/i-1", value, at(3))], 1.0, 0.0)
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
    """Guards against a new engine that is taken for the one that has ended."""
    entries = TargetEntries()
    entries.take_all([item(1, state="draining")], 0.0, 0.0, at(1))
    changes = entries.take([item(2, born=2000)], 1.0, 0.0)
    assert changes.gone == ["i-1@1000"]
    (info,) = changes.changed
    assert (info.id, info.instance_name, info.phase) == ("i-1@2000", "i-1", TargetPhase.READY)


def test_a_clock_that_stepped_back_hides_no_restart():
    entries = TargetEntries()
    entries.take_all([item(1, born=5000)], 0.0, 0.0, at(1))
    assert entries.take([item(2, born=300)], 1.0, 0.0).gone == ["i-1@5000"]


def test_late_words_bring_no_incarnation_back():
    entries = TargetEntries()
    entries.take_all([item(1)], 0.0, 0.0, at(1))
    entries.take([item(5, born=2000)], 1.0, 0.0)
    assert not entries.take([item(3, state="draining")], 1.0, 0.0)
    assert not entries.take([removed(4)], 1.0, 0.0)
    assert [info.id for info in entries.targets()] == ["i-1@2000"]
    entries.take([removed(6)], 2.0, 0.0)
    assert not entries.take([item(5, born=2000)], 2.0, 0.0)
    assert entries.targets() == []


def test_a_missing_entry_is_kept_until_it_may_not_come_back():
    entries = TargetEntries()
    entries.take_all([item(1), item(2, "i-2")], 0.0, 0.0, at(2))
    assert not entries.take_all([item(2, "i-2")], 10.0, 12.0, at(9))
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
    entries.take_all([item(1, "i-good")], 0.0, 0.0, at(1))
    for revision, (name, value) in enumerate(writes, start=2):
        entries.take([Item(f"servers/{name}", value, at(revision))], 0.0, 0.0)
    entries.take_all(
        [item(1, "i-good"), *(Item(f"servers/{n}", v, at(99)) for n, v in writes)], 0.0, 0.0, at(99)
    )
    named = {info.instance_name: info for info in entries.targets()}
    assert named[TargetName("i-good")].id == "i-good@1000"
    for info in named.values():
        assert info.slots >= 1 and info.address.rpartition(":")[2].isdigit()


def copied(reader: TargetEntries, now: float) -> PublishedDocs:
    """What a peer would take from a reader at that time."""
    position = reader.position
    return PublishedDocs(
        targets=reader.published(now),
        targets_revision=position.revision,
        targets_era=position.era,
    )


def test_a_lapsed_target_goes_from_routers_that_do_not_read_as_well():
    """Guards against a copied target whose time is over where nothing tells so."""
    reader, other = TargetEntries(), TargetEntries()
    reader.take_all([item(1), item(2, "i-2")], 0.0, 0.0, at(2))
    other.take_copy(copied(reader, 0.0), 0.0)
    reader.take_all([item(2, "i-2")], 10.0, 12.2, at(9))
    assert reader.position > other.position
    other.take_copy(copied(reader, 10.5), 10.5)
    assert [info.instance_name for info in other.targets()] == ["i-1", "i-2"]
    assert other.next_lapse_s(10.5) == pytest.approx(1.7)
    assert other.lapse(12.3).gone == ["i-1@1000"]


def test_a_copy_of_a_lapsing_target_does_not_bring_it_back():
    reader, other = TargetEntries(), TargetEntries()
    for entries in (reader, other):
        entries.take_all([item(1), item(2, "i-2")], 0.0, 0.0, at(2))
    reader.take([removed(5)], 10.0, 12.2)
    other.take([removed(5)], 10.0, 0.0)
    assert not other.take_copy(copied(reader, 10.5), 10.5)
    assert [info.instance_name for info in other.targets()] == ["i-2"]


def test_a_copied_entry_that_can_not_be_read_names_no_target():
    entries = TargetEntries()
    entries.take_all([item(1)], 0.0, 0.0, at(1))
    docs = PublishedDocs(targets={"i-1": PublishedEntry("%%%", 2)}, targets_revision=2)
    assert entries.take_copy(docs, 1.0).gone == ["i-1@1000"]


def item_of(era: int, revision: int, name: str = "i-1", **changes) -> Item:
    """An item as of an era."""
    return replace(item(revision, name, **changes), position=at(revision, era))


def test_the_list_of_a_new_era_goes_before_higher_revisions():
    """Guards against entries that are dropped until the new numbers have caught up."""
    entries = TargetEntries()
    entries.take_all([item_of(1, 50)], 0.0, 0.0, at(50, 1))
    changes = entries.take_all([item_of(2, 7, born=2000)], 1.0, 3.2, at(9, 2))
    assert changes.gone == ["i-1@1000"]
    assert [info.id for info in entries.targets()] == ["i-1@2000"]
    assert entries.take([item_of(2, 10, state="draining", born=2000)], 1.0, 0.0)


def test_a_copy_of_the_old_era_changes_nothing():
    """Guards against a peer whose higher revision is taken for the newest."""
    old, new = TargetEntries(), TargetEntries()
    old.take_all([item_of(1, 50), item_of(1, 51, "i-2")], 0.0, 0.0, at(51, 1))
    new.take_all([item_of(2, 7, born=2000)], 1.0, 0.0, at(7, 2))
    assert old.position < new.position
    assert not new.take_copy(copied(old, 1.0), 1.0)
    old.take_copy(copied(new, 1.0), 1.0)
    assert [info.id for info in old.targets()] == ["i-1@2000"]


def test_what_a_copy_misses_is_kept_until_it_may_be_written_again():
    entries = TargetEntries()
    entries.take_all([item_of(1, 50), item_of(1, 51, "i-2")], 0.0, 0.0, at(51, 1))
    assert not entries.take_all([item_of(2, 50)], 1.0, 3.2, at(50, 2))
    assert not entries.take([item_of(2, 51, "i-2")], 2.0, 3.2)
    assert not entries.lapse(9.0)
    entries.take_all([item_of(3, 50)], 10.0, 12.2, at(50, 3))
    assert entries.lapse(12.2).gone == ["i-2@1000"]


def test_a_target_that_was_gone_is_not_believed_because_a_copy_lists_it():
    """Guards against requests to what has ended since the copy was made."""
    entries = TargetEntries()
    entries.take_all([item_of(1, 50), item_of(1, 51, "i-2")], 0.0, 0.0, at(51, 1))
    entries.take([replace(removed(52), position=at(52, 1))], 1.0, 0.0)
    entries.take([item_of(1, 53, "i-2", born=2000)], 1.0, 0.0)
    listed = [item_of(2, 50), item_of(2, 51, "i-2")]
    assert not entries.take_all(listed, 2.0, 4.2, at(51, 2))
    assert [info.id for info in entries.targets()] == ["i-2@2000"]
    assert [info.id for info in entries.take([item_of(2, 52)], 3.0, 0.0).changed] == ["i-1@1000"]
    entries.take([replace(removed(53, "i-2"), position=at(53, 2))], 3.0, 4.2)
    entries.take([item_of(2, 54, "i-2", born=2000)], 3.5, 4.2)
    assert [info.id for info in entries.targets()] == ["i-1@1000", "i-2@2000"]


def test_a_target_that_stays_listed_is_believed_in_the_end():
    entries = TargetEntries()
    entries.take_all([item_of(1, 50)], 0.0, 0.0, at(50, 1))
    entries.take([replace(removed(51), position=at(51, 1))], 1.0, 0.0)
    entries.take_all([item_of(2, 50)], 2.0, 4.2, at(50, 2))
    assert entries.targets() == []
    assert entries.next_lapse_s(2.0) == pytest.approx(5.0)
    assert [info.id for info in entries.lapse(7.0).changed] == ["i-1@1000"]


def test_a_target_that_wrote_again_before_the_list_was_read_is_believed():
    """Guards against a living target that a router drops for seconds, and its copiers for good."""
    reader, other = TargetEntries(), TargetEntries()
    reader.take_all([item_of(1, 50)], 0.0, 0.0, at(50, 1))
    reader.take_all([], 1.0, 3.2, at(40, 2))
    assert reader.lapse(3.2).gone == ["i-1@1000"]
    reader.take_all([item_of(3, 44)], 5.0, 7.2, at(45, 3))
    assert [info.id for info in reader.targets()] == ["i-1@1000"]
    other.take_copy(copied(reader, 5.0), 5.0)
    assert [info.id for info in other.targets()] == ["i-1@1000"]
