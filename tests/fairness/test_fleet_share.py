"""Slot shares of routers, and merging of peers' counters."""

from hypothesis import given as hgiven
from hypothesis import strategies as st
from pytest_bdd import given, parsers, scenarios, then, when

from turmerictray.core.ids import NodeId, TeamId
from turmerictray.fairness.ledger import PeerCounters, UsageLedger
from turmerictray.fairness.shares import ShareTable
from turmerictray.fairness.slot_allocation import SlotCount, allocate_slots

scenarios("features/fleet_share.feature")

WEIGHTS = {TeamId("depot"): 2.0, TeamId("riders"): 1.0, TeamId("kiosks"): 1.0}


@given(
    parsers.parse('team "{team}" of weight {w:d} waits only on this router'), target_fixture="table"
)
def waits_only_here(ctx, team, w):
    ctx["local"] = {TeamId(team): 8}
    return ShareTable(NodeId("r0"), 3.0)


@given(
    parsers.parse('teams "{a}" and "{b}" of weight 1 wait equally on this router and one ' "peer")
)
def waits_on_both(ctx, table, a, b):
    ctx["local"].update({TeamId(a): 4, TeamId(b): 4})
    table.update("r1", {a: 4, b: 4}, now=100.0)
    ctx["now"] = 100.0


@given(
    "a peer reported backlog 10 seconds ago and none of the same teams wait on this router",
    target_fixture="table",
)
def peer_without_recent_report(ctx):
    table = ShareTable(NodeId("r0"), 3.0)
    table.update("r1", {"riders": 4}, now=90.0)
    ctx["local"] = {TeamId("depot"): 1}
    ctx["now"] = 100.0
    return table


@when("this router computes its share")
@when("this router computes its share with a 3 second peer timeout")
def compute_share(ctx, table):
    ctx["share"] = table.share(ctx["local"], WEIGHTS, now=ctx["now"])


@then(parsers.parse("its share is {value:f}"))
def share_is(ctx, value):
    assert abs(ctx["share"] - value) < 1e-9


@hgiven(
    st.lists(st.tuples(st.sampled_from(["a", "b", "c"]), st.integers(0, 20)), max_size=6),
    st.lists(st.tuples(st.sampled_from(["a", "b", "c"]), st.integers(0, 20)), max_size=6),
)
def test_shares_of_two_routers_sum_to_one(local, remote):
    """Two routers that report to each other are together allocated all of a target and no more."""
    local_a = {TeamId(t): n for t, n in local}
    local_b = {TeamId(t): n for t, n in remote}
    table_a, table_b = ShareTable(NodeId("a"), 3.0), ShareTable(NodeId("b"), 3.0)
    table_a.update("b", {t: n for t, n in local_b.items()}, now=0.0)
    table_b.update("a", {t: n for t, n in local_a.items()}, now=0.0)
    share_a = table_a.share(local_a, WEIGHTS, now=0.0)
    share_b = table_b.share(local_b, WEIGHTS, now=0.0)
    if any(local_a.values()) or any(local_b.values()):
        if any(local_a.values()) and any(local_b.values()):
            assert abs(share_a + share_b - 1.0) < 1e-9
        assert 0.0 <= share_a <= 1.0 and 0.0 <= share_b <= 1.0
    shares = table_a.shares(local_a, WEIGHTS, now=0.0)
    assert shares == table_b.shares(local_b, WEIGHTS, now=0.0), "the routers disagree"
    targets = [SlotCount("e0", 1), SlotCount("e1", 4), SlotCount("e2", 8)]
    allocations = [sum(allocate_slots(router, shares, targets).values()) for router in shares]
    assert all(slots >= 1 for slots in allocations)
    if shares:
        assert 13 <= sum(allocations) <= 13 + allocations.count(1)


@hgiven(
    st.lists(st.floats(1e-4, 1.0), min_size=1, max_size=10),
    st.lists(st.integers(1, 12), min_size=1, max_size=6),
)
def test_slots_are_allocated_whole_and_once(weights, slots):
    """No target is allocated beyond its slots, whatever the number and shares of routers."""
    total = sum(weights)
    shares = {f"r{i}": weight / total for i, weight in enumerate(weights)}
    targets = [SlotCount(f"e{i}", count) for i, count in enumerate(slots)]
    allocations = {router: allocate_slots(router, shares, targets) for router in shares}
    sums = {router: sum(allocation.values()) for router, allocation in allocations.items()}
    assert sum(slots) <= sum(sums.values()) <= sum(slots) + list(sums.values()).count(1)
    for router, share in shares.items():
        assert sums[router] >= 1
        assert abs(sums[router] - sum(slots) * share) <= 1 + 1e-6


@hgiven(
    st.lists(
        st.tuples(
            st.sampled_from(["r1", "r2"]),
            st.sampled_from([1, 2]),
            st.sampled_from(["a", "b"]),
            st.integers(0, 1000),
        ),
        max_size=30,
    )
)
def test_merging_reports_in_any_order_counts_nothing_twice(reports):
    """Lost, repeated or reordered heartbeats, as after a partition, leave the largest count."""
    forward, backward = UsageLedger(NodeId("r0")), UsageLedger(NodeId("r0"))
    expect: dict[tuple[str, int, str], float] = {}
    for node, inc, team, value in reports:
        report = PeerCounters(node, inc, {team: float(value)})
        forward.merge(report)
        forward.merge(report)
        key = (node, inc, team)
        expect[key] = max(expect.get(key, 0.0), float(value))
    for node, inc, team, value in reversed(reports):
        backward.merge(PeerCounters(node, inc, {team: float(value)}))
    for team in ("a", "b"):
        want = sum(v for (_, _, t), v in expect.items() if t == team)
        assert forward.remote_total(TeamId(team)) == want
        assert backward.remote_total(TeamId(team)) == want
