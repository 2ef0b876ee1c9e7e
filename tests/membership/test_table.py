"""Routers believed alive when entries arrive late or through other routers."""

import math
import random

from turmerictray.core.ids import NodeId
from turmerictray.membership.messages import MemberEntry
from turmerictray.membership.table import ALIVE_S, MemberTable


def entry(
    node: str, incarnation: int = 1, heartbeat: int = 1, leaving: bool = False
) -> MemberEntry:
    return MemberEntry(node, "z1", f"tcp://{node}", incarnation, heartbeat, leaving)


def nodes(table: MemberTable, now: float) -> list[str]:
    return sorted(member.node for member in table.alive(now))


def test_router_without_heartbeats_counts_as_down():
    table = MemberTable(NodeId("r1"))
    table.update(entry("r2"), 0.0, direct=True)
    assert nodes(table, 1.0) == ["r2"]
    assert nodes(table, ALIVE_S + 0.3) == []


def test_killed_router_is_silent_before_it_counts_as_down():
    """Guards against a killed reader of the store that is relied on until it counts as down."""
    table = MemberTable(NodeId("r1"))
    for node in ("r2", "r3"):
        table.update(entry(node), 0.0, direct=True)
    for beat in range(1, 6):
        table.update(entry("r3", heartbeat=1 + beat), 0.25 * beat, direct=True)
    assert table.silent(1.25) == {"r2"}
    assert nodes(table, 1.25) == ["r2", "r3"]


def test_router_is_not_silent_while_three_of_four_of_its_heartbeats_are_lost():
    """Guards against more reads of the store than two routers of a zone need."""
    table = MemberTable(NodeId("r1"))
    for beat in range(40):
        table.update(entry("r2", heartbeat=1 + beat // 4), 0.25 * beat, direct=True)
        assert not table.silent(0.25 * beat)


def test_killed_router_is_told_from_a_cut_off_from_most():
    """Guards against a router that is cut off and takes what it knows for current."""
    table = MemberTable(NodeId("r1"))
    assert table.heard_at(0.0) == math.inf
    for node in ("r2", "r3", "r4"):
        table.update(entry(node), 0.0, direct=True)
    for node in ("r3", "r4"):
        table.update(entry(node, heartbeat=2), 1.0, direct=True)
    assert table.heard_at(2.0) == 1.0
    table.update(entry("r4", heartbeat=3), 2.0, direct=True)
    assert table.heard_at(2.0) == 1.0
    table.update(entry("r3", heartbeat=3), 2.0, direct=False)
    assert table.heard_at(2.0) == 2.0


def test_forwarded_old_entries_do_not_keep_a_stopped_router_alive():
    """Guards against a stopped router that counts as alive because old entries are forwarded."""
    table = MemberTable(NodeId("r1"))
    table.update(entry("r2", heartbeat=5), 0.0, direct=True)
    for second in range(1, 10):
        table.update(entry("r2", heartbeat=5), float(second), direct=False)
    assert nodes(table, 9.0) == []


def test_restart_is_distinguished_from_late_entries_of_the_previous_incarnation():
    table = MemberTable(NodeId("r1"))
    table.update(entry("r2", incarnation=1, heartbeat=900), 0.0, direct=True)
    assert table.update(entry("r2", incarnation=2, heartbeat=1), 1.0, direct=True)
    assert not table.update(entry("r2", incarnation=1, heartbeat=901), 1.1, direct=False)
    assert table.alive(1.2)[0].incarnation == 2


def test_leaving_router_is_not_counted():
    table = MemberTable(NodeId("r1"))
    table.update(entry("r2"), 0.0, direct=True)
    table.update(entry("r2", heartbeat=2, leaving=True), 0.1, direct=True)
    assert table.size(0.2) == 1


def test_recipients_are_bounded_and_include_one_that_is_down():
    table = MemberTable(NodeId("r0"))
    table.update(entry("old"), 0.0, direct=True)
    for number in range(50):
        table.update(entry(f"r{number}"), 10.0, direct=False)
    recipients = table.select_recipients(10.1, 8, random.Random(1))
    assert len(recipients) == 8
    assert "old" in [recipient.node for recipient in recipients]


def test_every_router_learns_of_every_other_from_a_few_entries_per_message():
    rng = random.Random(2)
    names = [f"r{number}" for number in range(60)]
    tables = {name: MemberTable(NodeId(name)) for name in names}
    for name in names[1:]:
        tables[name].update(entry(names[0]), 0.0, direct=True)
    for step in range(1, 25):
        now = step * 0.25
        for name in names:
            local = entry(name, heartbeat=step)
            known = tables[name].sample(now, 6, rng)
            for recipient in tables[name].select_recipients(now, 8, rng):
                peer = tables[recipient.node]
                peer.update(local, now, direct=True)
                for member in known:
                    peer.update(member, now, direct=False)
    sizes = [table.size(6.0) for table in tables.values()]
    assert min(sizes) >= 55
