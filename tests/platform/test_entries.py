"""Entries of targets: restarts, invalid entries, expiry and restored stores."""

import json
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from turmerictray.core.errors import ConfigError
from turmerictray.core.ids import TargetName
from turmerictray.platform.documents import decode_target
from turmerictray.platform.entries import EntryChanges, TargetEntries
from turmerictray.platform.store import Item
from turmerictray.router.published import PublishedDocs, PublishedEntry, StorePosition
from turmerictray.routing.load import TargetGone, TargetInfo, TargetPhase

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


def pos(revision: int, era: int = 0) -> StorePosition:
    """Return a position in the store."""
    return StorePosition(era, revision)


def make_item(revision: int, name: str = "i-1", **changes) -> Item:
    """Return the entry of a target, with some fields changed."""
    return Item(f"servers/{name}", json.dumps({**GOOD, **changes}).encode(), pos(revision))


def gone(changes: EntryChanges) -> list[str]:
    return [change.id for change in changes if isinstance(change, TargetGone)]


def written(changes: EntryChanges) -> list[TargetInfo]:
    return [change for change in changes if isinstance(change, TargetInfo)]


def removal(revision: int, name: str = "i-1") -> Item:
    """Return the removal of an entry."""
    return Item(f"servers/{name}", None, pos(revision))


def entry_without(field: str) -> bytes:
    return json.dumps({key: val for key, val in GOOD.items() if key != field}).encode()


NESTED_TOO_DEEPLY = json.dumps(GOOD)[:-1].encode() + b', "more": ' + b"[" * 100_000
"""An entry whose decoding raises an error of its own kind."""

BAD_VALUES = [
    *[entry_without(field) for field in GOOD if field != "born"],
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
            {"address": "0.0.0.0:80"},
            {"address": "0.1.2.3:80"},
            {"address": "224.0.0.1:80"},
            {"address": "255.255.255.255:80"},
            {"service": ""},
            {"service": None},
            {"zone": ["z1"]},
            {"state": "resting"},
            {"state": 1},
            {"born": 1.5},
            {"born": "1000"},
            {"born": None},
            {"sequence": "x"},
            {"sequence": 1 << 63},
            {"born": 1 << 63},
            {"cold_left_ms": 1e308},
            {"cold_left_ms": -1},
            {"version": "v" * 900_000},
            {"version": "v1\r\nX-Tenant: a"},
            {"service": "llm\x00"},
            {"service": "llm" * 1000},
            {"zone": "z1\u2028"},
        )
    ],
    b"",
    b"null",
    b"[]",
    b"\xff\xfe{}",
    b'{"service": "llm"',
]


@pytest.mark.parametrize("value", BAD_VALUES)
def test_invalid_entry_removes_target(value):
    """Guards against requests to an address that was not written by a target."""
    with pytest.raises(ConfigError):
        decode_target(NAME, value)
    entries = TargetEntries()
    entries.apply_snapshot([make_item(1), make_item(2, "i-2")], 0.0, 0.0, pos(2))
    changes = entries.apply_changes([Item("servers/i-1", value, pos(3))], 1.0, 0.0)
    assert gone(changes) == ["i-1@1000"]
    assert [info.id for info in entries.targets()] == ["i-2@1000"]
    back = entries.apply_changes([make_item(4)], 2.0, 0.0)
    assert [info.id for info in written(back)] == ["i-1@1000"]


@pytest.mark.parametrize("name", ["", "i-\r\nX-Tenant: a", "i 1", "i-\u00fc", "i" * 900_000])
def test_entry_whose_name_no_header_can_hold_names_no_target(name):
    """Guards against requests that fail, or gain headers, by the name of their target."""
    entries = TargetEntries()
    entries.apply_snapshot([make_item(1, name), make_item(2)], 0.0, 0.0, pos(2))
    assert [info.id for info in entries.targets()] == ["i-1@1000"]


def test_entry_whose_name_holds_a_start_time_names_no_target():
    """Guards against an entry that takes the id of another's target, and removes it."""
    with pytest.raises(ConfigError):
        decode_target(TargetName("i-1@1000"), entry_without("born"))


def test_entry_without_start_time_uses_name_as_id():
    assert decode_target(NAME, entry_without("born")).id == "i-1"


def test_states_are_mapped_to_phases():
    assert decode_target(NAME, make_item(1).value).phase is TargetPhase.READY
    assert decode_target(NAME, make_item(1, state="draining").value).phase is TargetPhase.LEAVING


def test_restart_under_same_name_is_a_new_target():
    """Guards against treating a new engine as the stopped one of the same name."""
    entries = TargetEntries()
    entries.apply_snapshot([make_item(1, state="draining")], 0.0, 0.0, pos(1))
    changes = entries.apply_changes([make_item(2, born=2000)], 1.0, 0.0)
    assert gone(changes) == ["i-1@1000"]
    (info,) = written(changes)
    assert (info.id, info.instance_name, info.phase) == ("i-1@2000", "i-1", TargetPhase.READY)


def test_restart_is_detected_although_clock_was_set_back():
    entries = TargetEntries()
    entries.apply_snapshot([make_item(1, born=5000)], 0.0, 0.0, pos(1))
    assert gone(entries.apply_changes([make_item(2, born=300)], 1.0, 0.0)) == ["i-1@5000"]


def test_delayed_items_do_not_restore_earlier_incarnation():
    entries = TargetEntries()
    entries.apply_snapshot([make_item(1)], 0.0, 0.0, pos(1))
    entries.apply_changes([make_item(5, born=2000)], 1.0, 0.0)
    assert not entries.apply_changes([make_item(3, state="draining")], 1.0, 0.0)
    assert not entries.apply_changes([removal(4)], 1.0, 0.0)
    assert [info.id for info in entries.targets()] == ["i-1@2000"]
    entries.apply_changes([removal(6)], 2.0, 0.0)
    assert not entries.apply_changes([make_item(5, born=2000)], 2.0, 0.0)
    assert entries.targets() == []


def test_target_with_missing_entry_is_kept_until_deadline():
    entries = TargetEntries()
    entries.apply_snapshot([make_item(1), make_item(2, "i-2")], 0.0, 0.0, pos(2))
    assert not entries.apply_snapshot([make_item(2, "i-2")], 10.0, 12.0, pos(9))
    assert entries.next_timeout_s(10.0) == 2.0
    assert not entries.apply_timeouts(11.9)
    assert gone(entries.apply_timeouts(12.0)) == ["i-1@1000"]
    assert entries.next_timeout_s(12.0) is None


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=2) | st.dictionaries(st.text(max_size=4), inner),
    max_leaves=4,
)
invalid_values = st.binary(max_size=60) | st.builds(
    lambda changes: json.dumps({**GOOD, **changes}).encode(),
    st.dictionaries(st.sampled_from(sorted(GOOD)), json_values, min_size=1, max_size=3),
)


@given(st.lists(st.tuples(st.sampled_from(["i-1", "i-2", ""]), invalid_values), max_size=8))
def test_invalid_entries_do_not_affect_other_targets(writes):
    entries = TargetEntries()
    entries.apply_snapshot([make_item(1, "i-good")], 0.0, 0.0, pos(1))
    for revision, (name, value) in enumerate(writes, start=2):
        entries.apply_changes([Item(f"servers/{name}", value, pos(revision))], 0.0, 0.0)
    entries.apply_snapshot(
        [make_item(1, "i-good"), *(Item(f"servers/{n}", v, pos(99)) for n, v in writes)],
        0.0,
        0.0,
        pos(99),
    )
    named = {info.instance_name: info for info in entries.targets()}
    assert named[TargetName("i-good")].id == "i-good@1000"
    for info in named.values():
        assert info.slots >= 1 and info.address.rpartition(":")[2].isdigit()


def published_docs(reader: TargetEntries, now: float) -> PublishedDocs:
    """Return the documents that a peer would fetch from a reader at that time."""
    position = reader.position
    return PublishedDocs(
        targets=reader.published(now),
        targets_revision=position.revision,
        targets_era=position.era,
    )


def test_target_also_expires_on_routers_that_do_not_read_store():
    """Guards against a target that never expires on a router that learned of it from a peer.

    The expiry changes nothing in the store, so no newer document reports it.
    """
    reader, peer = TargetEntries(), TargetEntries()
    reader.apply_snapshot([make_item(1), make_item(2, "i-2")], 0.0, 0.0, pos(2))
    peer.apply_peer_docs(published_docs(reader, 0.0), 0.0)
    reader.apply_snapshot([make_item(2, "i-2")], 10.0, 12.2, pos(9))
    assert reader.position > peer.position
    peer.apply_peer_docs(published_docs(reader, 10.5), 10.5)
    assert [info.instance_name for info in peer.targets()] == ["i-1", "i-2"]
    assert peer.next_timeout_s(10.5) == pytest.approx(1.7)
    assert gone(peer.apply_timeouts(12.3)) == ["i-1@1000"]


def test_expiring_target_of_a_peer_does_not_return():
    reader, peer = TargetEntries(), TargetEntries()
    for entries in (reader, peer):
        entries.apply_snapshot([make_item(1), make_item(2, "i-2")], 0.0, 0.0, pos(2))
    reader.apply_changes([removal(5)], 10.0, 12.2)
    peer.apply_changes([removal(5)], 10.0, 0.0)
    assert not peer.apply_peer_docs(published_docs(reader, 10.5), 10.5)
    assert [info.instance_name for info in peer.targets()] == ["i-2"]


def test_target_that_peers_know_to_be_gone_is_not_kept_after_the_own_return():
    """Guards against a reader that takes a removal during its own outage for a lapsed entry."""
    reader, peer = TargetEntries(), TargetEntries()
    for entries in (reader, peer):
        entries.apply_snapshot([make_item(1), make_item(2, "i-2")], 0.0, 0.0, pos(2))
    peer.apply_changes([removal(5)], 10.0, 0.0)
    assert gone(reader.apply_peer_docs(published_docs(peer, 10.2), 10.2)) == ["i-1@1000"]
    assert not reader.apply_changes([removal(5)], 10.4, 12.6)
    assert [info.instance_name for info in reader.targets()] == ["i-2"]


def test_unreadable_entry_of_a_peer_removes_target():
    entries = TargetEntries()
    entries.apply_snapshot([make_item(1)], 0.0, 0.0, pos(1))
    docs = PublishedDocs(targets={"i-1": PublishedEntry("%%%", 2)}, targets_revision=2)
    assert gone(entries.apply_peer_docs(docs, 1.0)) == ["i-1@1000"]


def item_in_era(era: int, revision: int, name: str = "i-1", **changes) -> Item:
    """Return the entry of a target as of an era."""
    return replace(make_item(revision, name, **changes), position=pos(revision, era))


def test_snapshot_of_new_era_takes_precedence_over_higher_revisions():
    """Guards against ignoring entries until the new revisions exceed those of the old era."""
    entries = TargetEntries()
    entries.apply_snapshot([item_in_era(1, 50)], 0.0, 0.0, pos(50, 1))
    changes = entries.apply_snapshot([item_in_era(2, 7, born=2000)], 1.0, 3.2, pos(9, 2))
    assert gone(changes) == ["i-1@1000"]
    assert [info.id for info in entries.targets()] == ["i-1@2000"]
    assert entries.apply_changes([item_in_era(2, 10, state="draining", born=2000)], 1.0, 0.0)


def test_documents_of_old_era_are_ignored():
    """Guards against taking a higher revision of an older era for the newest."""
    old, new = TargetEntries(), TargetEntries()
    old.apply_snapshot([item_in_era(1, 50), item_in_era(1, 51, "i-2")], 0.0, 0.0, pos(51, 1))
    new.apply_snapshot([item_in_era(2, 7, born=2000)], 1.0, 0.0, pos(7, 2))
    assert old.position < new.position
    assert not new.apply_peer_docs(published_docs(old, 1.0), 1.0)
    old.apply_peer_docs(published_docs(new, 1.0), 1.0)
    assert [info.id for info in old.targets()] == ["i-1@2000"]


def test_target_missing_from_backup_is_kept_until_deadline():
    entries = TargetEntries()
    entries.apply_snapshot([item_in_era(1, 50), item_in_era(1, 51, "i-2")], 0.0, 0.0, pos(51, 1))
    assert not entries.apply_snapshot([item_in_era(2, 50)], 1.0, 3.2, pos(50, 2))
    assert not entries.apply_changes([item_in_era(2, 51, "i-2")], 2.0, 3.2)
    assert not entries.apply_timeouts(9.0)
    entries.apply_snapshot([item_in_era(3, 50)], 10.0, 12.2, pos(50, 3))
    assert gone(entries.apply_timeouts(12.2)) == ["i-2@1000"]


def test_removed_target_listed_by_backup_is_not_trusted():
    """Guards against requests to targets that stopped after the backup was made."""
    entries = TargetEntries()
    entries.apply_snapshot([item_in_era(1, 50), item_in_era(1, 51, "i-2")], 0.0, 0.0, pos(51, 1))
    entries.apply_changes([replace(removal(52), position=pos(52, 1))], 1.0, 0.0)
    entries.apply_changes([item_in_era(1, 53, "i-2", born=2000)], 1.0, 0.0)
    listed = [item_in_era(2, 50), item_in_era(2, 51, "i-2")]
    assert not entries.apply_snapshot(listed, 2.0, 4.2, pos(51, 2))
    assert [info.id for info in entries.targets()] == ["i-2@2000"]
    assert [info.id for info in written(entries.apply_changes([item_in_era(2, 52)], 3.0, 0.0))] == [
        "i-1@1000"
    ]
    entries.apply_changes([replace(removal(53, "i-2"), position=pos(53, 2))], 3.0, 4.2)
    entries.apply_changes([item_in_era(2, 54, "i-2", born=2000)], 3.5, 4.2)
    assert [info.id for info in entries.targets()] == ["i-1@1000", "i-2@2000"]


def test_peer_that_read_all_the_while_ends_the_wait_for_a_missing_entry():
    """Guards against requests to a target that left while the router could not read the store."""
    reader, peer = TargetEntries(), TargetEntries()
    for entries in (reader, peer):
        entries.apply_snapshot([make_item(5), make_item(6, "i-2")], 0.0, 0.0, pos(6))
    peer.apply_changes([removal(7)], 1.0, 0.0)
    reader.apply_snapshot([make_item(6, "i-2")], 2.0, 4.2, pos(7))
    docs = published_docs(peer, 2.1)
    assert gone(reader.apply_peer_docs(docs, 2.1)) == []
    assert gone(reader.apply_peer_docs(docs, 2.2, covers_gap=True)) == ["i-1@1000"]
    assert [info.id for info in reader.targets()] == ["i-2@1000"]


def test_removed_target_that_stays_listed_is_accepted():
    entries = TargetEntries()
    entries.apply_snapshot([item_in_era(1, 50)], 0.0, 0.0, pos(50, 1))
    entries.apply_changes([replace(removal(51), position=pos(51, 1))], 1.0, 0.0)
    entries.apply_snapshot([item_in_era(2, 50)], 2.0, 4.2, pos(50, 2))
    assert entries.targets() == []
    assert entries.next_timeout_s(2.0) == pytest.approx(5.0)
    assert [info.id for info in written(entries.apply_timeouts(7.0))] == ["i-1@1000"]


def test_target_that_wrote_again_before_snapshot_is_trusted():
    """Guards against dropping a live target.

    A router that reads the store would drop it for seconds, and the peers that fetch the documents
    of that router for good.
    """
    reader, peer = TargetEntries(), TargetEntries()
    reader.apply_snapshot([item_in_era(1, 50)], 0.0, 0.0, pos(50, 1))
    reader.apply_snapshot([], 1.0, 3.2, pos(40, 2))
    assert gone(reader.apply_timeouts(3.2)) == ["i-1@1000"]
    reader.apply_snapshot([item_in_era(3, 44)], 5.0, 7.2, pos(45, 3))
    assert [info.id for info in reader.targets()] == ["i-1@1000"]
    peer.apply_peer_docs(published_docs(reader, 5.0), 5.0)
    assert [info.id for info in peer.targets()] == ["i-1@1000"]


def test_entry_that_fails_to_decode_loses_no_other():
    """Guards against one entry for which a router hears of no target any more."""
    entries = TargetEntries()
    bad = Item("servers/i-1", NESTED_TOO_DEEPLY, pos(5))
    changes = entries.apply_snapshot([bad, make_item(6, "i-2")], 0.0, 0.0, pos(6))
    assert [info.name for info in written(changes)] == ["i-2"]
    docs = PublishedDocs(targets=entries.published(0.0), targets_revision=6)
    others = TargetEntries()
    assert [info.name for info in written(others.apply_peer_docs(docs, 0.0))] == ["i-2"]


def test_confirmation_that_fails_is_due_again(monkeypatch):
    """Guards against a target that a restored store lists, and that stays out of use for good."""
    entries = TargetEntries()
    entries.apply_snapshot([make_item(5)], 0.0, 0.0, pos(5))
    assert gone(entries.apply_changes([removal(6)], 1.0, 1.0))
    restored = replace(make_item(5), position=pos(5, era=1))
    assert not written(entries.apply_snapshot([restored], 2.0, 2.0, pos(5, era=1)))
    with monkeypatch.context() as patch:

        def fail(*_args):
            raise ValueError("unexpected")

        patch.setattr(entries, "_decode", fail)
        assert not entries.apply_timeouts(60.0)
    assert [info.name for info in written(entries.apply_timeouts(120.0))] == [NAME]
