"""Which routers read the store for the others, and when the others read for themselves."""

from itertools import pairwise

import pytest

from turmerictray.core.ids import NodeId, ZoneId
from turmerictray.membership.messages import MemberEntry
from turmerictray.router.published import Position, StorePosition
from turmerictray.router.readers import READERS_PER_ZONE, StoreReaders

KNOWS = Position(3, StorePosition(0, 7))


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
    fleet = {e.node: StoreReaders(NodeId(e.node), ZoneId(e.zone), clock) for e in entries}
    for readers in fleet.values():
        readers.take_members(entries)
    return fleet


def reading(fleet) -> list[str]:
    return [node for node, readers in fleet.items() if readers.should_read(KNOWS)]


def test_two_routers_a_zone_read(fleet):
    assert len(reading(fleet)) <= 79
    for readers in fleet.values():
        readers.note_peer(1.0)
    found = reading(fleet)
    assert len(found) == 4 * READERS_PER_ZONE
    assert {fleet[node].zone for node in found} == {"z0", "z1", "z2", "z3"}


def test_readers_that_are_gone_are_replaced(fleet):
    """Guards against a zone whose readers are killed and that hears of no change any more."""
    for readers in fleet.values():
        readers.note_peer(1.0)
    gone = reading(fleet)
    rest = [entry for entry in members(79) if entry.node not in gone]
    for entry in rest:
        fleet[entry.node].take_members(rest)
    left = {node: readers for node, readers in fleet.items() if node not in gone}
    assert len(reading(left)) == 4 * READERS_PER_ZONE


def test_routers_that_hear_of_nothing_fresh_read_one_after_the_other(fleet, clock):
    """Guards against a whole fleet that asks a store that is away."""
    # The readers are turned away by the store, or their words don't come through.
    others = [readers for readers in fleet.values() if not readers.is_chosen()]
    for readers in others:
        readers.note_peer(1.0)
    counts = [0]
    for _ in range(16):
        clock.now += 1.0
        counts.append(sum(readers.should_read(KNOWS) for readers in others))
    assert counts[5] == 0
    assert 0 < counts[6] <= 4
    # Four zones, one more of each in a second; after ten steps all that are left.
    assert all(later - earlier <= 4 for earlier, later in pairwise(counts[:16]))
    assert counts[-1] == len(others)


def test_one_that_hears_of_something_fresh_reads_no_more(fleet, clock):
    other = next(r for r in fleet.values() if not r.is_chosen())
    other.note_peer(1.0)
    clock.now += 15.5
    assert other.should_read(KNOWS)
    other.note_peer(0.5)
    assert not other.should_read(KNOWS)


def test_a_router_that_starts_waits_for_its_peers_first(clock):
    entries = members(79)
    ordinary = next(
        r
        for r in (StoreReaders(NodeId(e.node), ZoneId(e.zone), clock) for e in entries)
        if not (r.take_members(entries) or r.is_chosen())
    )
    assert not ordinary.should_read(Position())
    assert not ordinary.should_read(Position(3, StorePosition(0, 0)))
    clock.now += 2.9
    assert not ordinary.should_read(Position(3, StorePosition(0, 0)))
    clock.now += 10.2
    assert ordinary.should_read(Position(3, StorePosition(0, 0)))


def test_routers_wait_together_for_what_is_not_published_yet(clock):
    """Guards against a fleet that reads as one until the first text and targets are written."""
    entries = members(195, zones=5)
    fleet = [StoreReaders(NodeId(e.node), ZoneId(e.zone), clock) for e in entries]
    for readers in fleet:
        readers.take_members(entries)
    for _ in range(10):
        clock.now += 1.0
        for readers in fleet:
            readers.note_peer(1.0)
        assert sum(readers.should_read(Position()) for readers in fleet) == 5 * READERS_PER_ZONE


def test_a_router_that_knows_nothing_confirms_nothing(clock):
    readers = StoreReaders(NodeId("r1"), ZoneId("z1"), clock)
    clock.now += 0.5
    assert readers.age_s() > 1000


def test_a_router_that_hears_of_no_other_soon_reads(clock):
    readers = StoreReaders(NodeId("r1"), ZoneId("z1"), clock)
    alone = [MemberEntry("r1", "z1", "tcp://r1", 1, 1)]
    readers.take_members(alone)
    assert not readers.should_read(Position())
    clock.now += 1.1
    readers.take_members(alone)
    assert readers.should_read(Position())


def test_routers_that_start_together_do_not_all_read(clock):
    """Guards against routers that take themselves for readers while they know few others."""
    few = [MemberEntry(f"r{n}", "z1", f"tcp://r{n}", 1, 2) for n in range(2)]
    young = StoreReaders(NodeId("r0"), ZoneId("z1"), clock)
    seed = StoreReaders(NodeId("r1"), ZoneId("z1"), clock, is_seed=True)
    for readers in (young, seed):
        readers.note_peer(0.5)
        readers.take_members(few)
    assert not young.should_read(KNOWS)
    assert seed.should_read(KNOWS)
    young.take_members([MemberEntry(e.node, e.zone, e.address, 1, 6) for e in few])
    assert young.should_read(KNOWS)
