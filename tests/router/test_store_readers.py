"""Selection of the routers that read the store, and when the other routers read it themselves."""

import pytest

from turmerictray.core.ids import NodeId, ZoneId
from turmerictray.membership.messages import MemberEntry
from turmerictray.router.published import Position, StorePosition
from turmerictray.router.read_limits import DEFAULT_APPLY_LIMIT_S as APPLY_LIMIT_S
from turmerictray.router.store_readers import READERS_PER_ZONE, ReadReason, StoreReaderSelection
from turmerictray.routing.rendezvous import rank

HAS_DOCUMENTS = Position(3, StorePosition(0, 7))


class Clock:
    now = 100.0

    def __call__(self) -> float:
        return self.now


def members(count: int, zones: int = 4) -> list[MemberEntry]:
    return [MemberEntry(f"r{n}", f"z{n % zones}", f"tcp://r{n}", 1, 20) for n in range(count)]


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def fleet(clock):
    entries = members(79)
    fleet = {e.node: StoreReaderSelection(NodeId(e.node), ZoneId(e.zone), clock) for e in entries}
    for readers in fleet.values():
        readers.update_members(entries)
    return fleet


def confirm(readers: StoreReaderSelection, age_s: float, origin: str = "elsewhere") -> None:
    """Have another router confirm that the data was current ``age_s`` seconds ago."""
    readers.record_confirmation(readers._clock() - age_s, origin)


def current_readers(fleet) -> list[str]:
    return [node for node, readers in fleet.items() if readers.should_read(HAS_DOCUMENTS)]


def test_two_routers_per_zone_read(fleet):
    assert len(current_readers(fleet)) <= 79
    for readers in fleet.values():
        confirm(readers, 1.0)
    readers_found = current_readers(fleet)
    assert len(readers_found) == 4 * READERS_PER_ZONE
    assert {fleet[node].zone for node in readers_found} == {"z0", "z1", "z2", "z3"}


def test_removed_readers_are_replaced(fleet):
    """Guards against a zone that receives no more changes after its readers were killed."""
    for readers in fleet.values():
        confirm(readers, 1.0)
    removed = current_readers(fleet)
    remaining = [entry for entry in members(79) if entry.node not in removed]
    for entry in remaining:
        fleet[entry.node].update_members(remaining)
    remaining_readers = {node: readers for node, readers in fleet.items() if node not in removed}
    assert len(current_readers(remaining_readers)) == 4 * READERS_PER_ZONE


def test_each_router_whose_data_nobody_confirms_reads_in_time(fleet, clock):
    """Guards against a router that waits for others although it alone reaches the store."""
    others = [readers for readers in fleet.values() if not readers.is_designated()]
    for readers in others:
        confirm(readers, 0.0)
    confirmed_at = clock.now
    clock.now = confirmed_at + 0.65 * APPLY_LIMIT_S
    assert not any(readers.should_read(HAS_DOCUMENTS) for readers in others)
    clock.now = confirmed_at + 0.75 * APPLY_LIMIT_S
    assert sum(readers.should_read(HAS_DOCUMENTS) for readers in others) < len(others) / 2
    clock.now = confirmed_at + 0.85 * APPLY_LIMIT_S
    assert all(readers.should_read(HAS_DOCUMENTS) for readers in others)


def test_router_stops_reading_for_one_ranked_before_it(fleet, clock):
    """Guards against several routers that stop reading for each other, or for themselves."""
    other, later = sorted(
        (r for r in fleet.values() if not r.is_designated()),
        key=lambda readers: rank("store-reader", readers.node),
        reverse=True,
    )[:2]
    designated = next(r for r in fleet.values() if r.is_designated() and r.zone == other.zone)
    confirm(other, 1.0, designated.node)
    clock.now += 15.5
    assert other.should_read(HAS_DOCUMENTS)
    for origin in (other.node, later.node, ""):
        confirm(other, 0.1, origin)
        assert other.should_read(HAS_DOCUMENTS)
    confirm(other, 0.5, designated.node)
    assert not other.should_read(HAS_DOCUMENTS)


def test_router_reads_what_it_could_not_fetch(fleet, clock):
    """Guards against a router that knows of a newer version, and neither fetches nor reads it."""
    other = next(r for r in fleet.values() if not r.is_designated())
    newer = Position(4, HAS_DOCUMENTS.targets)
    for _ in range(4):
        confirm(other, 0.1)
        other.record_heard(newer, HAS_DOCUMENTS, clock.now)
        assert not other.should_read(HAS_DOCUMENTS)
        clock.now += 0.25
    assert other.should_read(HAS_DOCUMENTS)
    assert other.reason is ReadReason.BEHIND
    other.record_store_read("op/")
    confirm(other, 0.1)
    clock.now += APPLY_LIMIT_S + 0.1
    confirm(other, 0.1)
    assert not other.should_read(HAS_DOCUMENTS)


def test_router_that_fetches_in_time_does_not_read(fleet, clock):
    """Guards against reads by the whole fleet while versions follow each other."""
    other = next(r for r in fleet.values() if not r.is_designated())
    for version in range(5, 80):
        local, newer = (Position(v, HAS_DOCUMENTS.targets) for v in (version - 3, version))
        other.record_heard(newer, local, clock.now)
        confirm(other, 0.1)
        assert not other.should_read(local)
        clock.now += 0.1


def test_router_that_reads_tells_of_its_own_read(fleet, clock):
    """Guards against a peer that takes its own read, told back to it, for that of another."""
    reader = next(r for r in fleet.values() if r.is_designated())
    reader.should_read(HAS_DOCUMENTS)
    confirm(reader, 0.0)
    assert reader.confirmation() == (clock.now, "elsewhere")
    reader.record_store_read("op/")
    clock.now += 0.5
    confirm(reader, 0.0)
    assert reader.confirmation() == (clock.now - 0.5, reader.node)
    reader.record_store_failure("servers/")
    assert reader.confirmation() == (clock.now, "elsewhere")
    assert reader.age_s() == 0.0


def test_starting_router_waits_for_peers_first(clock):
    entries = members(79)
    non_reader = next(
        r
        for r in (StoreReaderSelection(NodeId(e.node), ZoneId(e.zone), clock) for e in entries)
        if not (r.update_members(entries) or r.is_designated())
    )
    assert not non_reader.should_read(Position())
    assert not non_reader.should_read(Position(3, StorePosition(0, 0)))
    clock.now += 2.9
    assert not non_reader.should_read(Position(3, StorePosition(0, 0)))
    clock.now += 10.2
    assert non_reader.should_read(Position(3, StorePosition(0, 0)))


def test_only_designated_readers_poll_while_nothing_is_published(clock):
    """Guards against reads by the whole fleet until the first documents are published."""
    entries = members(195, zones=5)
    fleet = [StoreReaderSelection(NodeId(e.node), ZoneId(e.zone), clock) for e in entries]
    for readers in fleet:
        readers.update_members(entries)
    for _ in range(10):
        clock.now += 1.0
        for readers in fleet:
            confirm(readers, 1.0)
        assert sum(readers.should_read(Position()) for readers in fleet) == 5 * READERS_PER_ZONE


def test_age_is_infinite_before_first_read(clock):
    readers = StoreReaderSelection(NodeId("r1"), ZoneId("z1"), clock)
    clock.now += 0.5
    assert readers.age_s() > 1000


def test_router_without_peers_reads_after_timeout(clock):
    readers = StoreReaderSelection(NodeId("r1"), ZoneId("z1"), clock)
    only_itself = [MemberEntry("r1", "z1", "tcp://r1", 1, 1)]
    readers.update_members(only_itself)
    assert not readers.should_read(Position())
    clock.now += 1.1
    readers.update_members(only_itself)
    assert readers.should_read(Position())


def test_routers_that_start_together_do_not_all_read(clock):
    """Guards against routers that designate themselves readers while they know few members."""
    few = [MemberEntry(f"r{n}", "z1", f"tcp://r{n}", 1, 2) for n in range(2)]
    starting = StoreReaderSelection(NodeId("r0"), ZoneId("z1"), clock)
    seed = StoreReaderSelection(NodeId("r1"), ZoneId("z1"), clock, is_seed=True)
    for readers in (starting, seed):
        confirm(readers, 0.5)
        readers.update_members(few)
    assert not starting.should_read(HAS_DOCUMENTS)
    assert seed.should_read(HAS_DOCUMENTS)
    starting.update_members([MemberEntry(e.node, e.zone, e.address, 1, 6) for e in few])
    assert starting.should_read(HAS_DOCUMENTS)


def test_reader_that_the_store_does_not_answer_does_not_wait_for_its_own_read():
    """Guards against targets that are kept after a reader's return although its peers know better.

    Such a reader takes the entries that were removed meanwhile for ones that lapsed in an outage.
    """
    readers = StoreReaderSelection(NodeId("r1"), ZoneId("z"), lambda: 0.0, is_seed=True)
    assert readers.reads_store()
    readers.record_store_failure("servers/")
    assert readers.is_designated()
    assert not readers.reads_store()
    readers.record_store_read("op/")
    assert not readers.reads_store()
    readers.record_store_read("servers/")
    assert readers.reads_store()


def test_only_a_peer_that_read_through_a_gap_covers_it(clock):
    """Guards against the removal of live targets whose entries lapsed while no router could read.

    Peers that share the outage, or began to read after it, know no more than this router.
    """
    readers = StoreReaderSelection(NodeId("r1"), ZoneId("z"), clock, is_seed=True)
    readers.record_store_read("servers/")
    assert not readers.covers_gap(1000.0)
    clock.now += 1.0
    readers.record_store_failure("servers/")
    clock.now += 3.0
    assert readers.continuity().uninterrupted_s == 0.0
    readers.record_store_read("servers/")
    assert not readers.covers_gap(3.9)
    assert readers.covers_gap(4.1)
    clock.now += 2.0
    assert readers.continuity() == (2.0, 6.0)
    assert not readers.covers_gap(4.1)


def test_router_that_ceases_to_read_has_read_without_interruption_for_no_time(clock):
    """Guards against a former reader that counts as one that knows which targets have left."""
    readers = StoreReaderSelection(NodeId("r1"), ZoneId("z"), clock, is_seed=True)
    readers.record_store_read("servers/")
    clock.now += 9.0
    assert readers.continuity().uninterrupted_s == 0.0
    readers.record_store_read("servers/")
    clock.now += 1.0
    assert readers.continuity().uninterrupted_s == 1.0


def test_router_that_copied_missing_entries_looks_for_a_peer_too(clock):
    """Guards against routers that keep a target that left because a reader was cut off."""
    readers = StoreReaderSelection(NodeId("r1"), ZoneId("z"), clock)
    readers.adopt_gap(4.0)
    assert not readers.covers_gap(3.0)
    assert readers.covers_gap(5.0)


def test_silent_reader_is_replaced_before_it_counts_as_down(clock):
    """Guards against a zone that misses a change while its killed readers count as alive."""
    entries = members(5, zones=1)
    fleet = {e.node: StoreReaderSelection(NodeId(e.node), ZoneId(e.zone), clock) for e in entries}
    for readers in fleet.values():
        readers.update_members(entries)
        confirm(readers, 1.0)
    killed = current_readers(fleet)
    remaining = {node: readers for node, readers in fleet.items() if node not in killed}
    for readers in remaining.values():
        readers.update_members(entries, killed)
    assert len(current_readers(remaining)) == READERS_PER_ZONE


def test_store_that_answers_others_is_not_away(clock):
    """Guards against a removed target that is kept, as if its entry had lapsed in an outage."""
    readers = StoreReaderSelection(NodeId("r1"), ZoneId("z"), clock)
    readers.record_store_read("servers/")
    started_at = clock.now
    assert readers.outage_ended_at() == started_at
    for _ in range(5):
        clock.now += 1.0
        confirm(readers, 0.2)
        assert readers.outage_ended_at() == started_at
    clock.now += 4.0
    assert readers.outage_ended_at() == clock.now
    readers.record_store_read("servers/")
    assert readers.outage_ended_at() == clock.now
    clock.now += 1.0
    assert readers.outage_ended_at() == clock.now - 1.0


def test_return_that_a_peer_tells_ends_an_outage(clock):
    """Guards against live targets that are removed, as their entries are not written again yet."""
    readers = StoreReaderSelection(NodeId("r1"), ZoneId("z"), clock)
    confirm(readers, 0.0)
    clock.now += 4.0
    confirm(readers, 0.1)
    assert readers.outage_ended_at() == clock.now
    clock.now += 0.5
    confirm(readers, 0.1)
    assert readers.outage_ended_at() == clock.now - 0.5
