"""Orders sent twice through different routers, under kills, restarts, partitions and pauses."""

import json
import time
from dataclasses import replace

import pytest
import urllib3
from pytest_bdd import given, parsers, scenarios, then, when

from tests.orders.fakes import CONFIG, GrantingDispatcher, GrantingReplica, UncalledUpstream
from turmerictray.config.schema import PartitionPolicy, ServiceKind
from turmerictray.core.errors import ClaimUnavailable
from turmerictray.core.ids import NodeId, RequestId, ServiceName, TargetId, TeamId
from turmerictray.core.member import Member
from turmerictray.loadtool.client import call_stream
from turmerictray.orders.guard import OrderGuard
from turmerictray.orders.keys import ClaimKey, claim_key
from turmerictray.orders.table import ClaimTable
from turmerictray.orders.vote import Vote
from turmerictray.router.messages import Grant
from turmerictray.router.proxy import Proxy
from turmerictray.router.request import CallerRequest

scenarios("features/orders_across_routers.feature")

VAN = ClaimKey(b"van-9")
HTTP = urllib3.PoolManager(retries=False)


def book(fleet, router: str, key: str) -> tuple[int, str, dict]:
    """Send an order; return ``(status, error type, headers)``."""
    resp = HTTP.request(
        "POST",
        fleet.procs[router].url + "/svc/orders/book",
        body=b"{}",
        headers={"X-Team": "depot", "Idempotency-Key": key},
        timeout=10.0,
    )
    doc = json.loads(resp.data)
    return resp.status, doc.get("error", {}).get("type", ""), dict(resp.headers)


def _fleet(start_fleet, fault: str, count: int, **overrides):
    fleet = start_fleet(engines=1, services=1, routers=3, teams={"depot": 1.0}, **overrides)
    fleet.post_json("orders-0", "/admin/fault", {"mode": fault, "count": count})
    for proc in fleet.routers():
        fleet.wait_vouching(proc)
    return fleet


@given("a fleet of 3 routers and 1 plain service that resets after running", target_fixture="fleet")
def fleet_resetting_after_run(start_fleet):
    return _fleet(start_fleet, "reset", 1)


@given(
    "a fleet of 3 routers and 1 plain service that refuses one order without running it",
    target_fixture="fleet",
)
def fleet_refusing_one_order(start_fleet):
    return _fleet(start_fleet, "not_run", 1, limits={"max_retries": 0})


@given(
    "a fleet of 3 routers that can be partitioned and 1 plain service that resets after running",
    target_fixture="fleet",
)
def fleet_that_can_be_partitioned(start_fleet):
    return _fleet(start_fleet, "reset", 1, partitionable=True)


@when(parsers.parse('a caller books "{key}" through router-0 and again through router-1'))
def book_twice(fleet, ctx, key):
    # The first order runs, but its answer is lost, so the caller receives outcome_unknown and
    # retries. The load balancer picks another router, which must not run the order again.
    ctx["first"] = book(fleet, "router-0", key)
    ctx["second"] = book(fleet, "router-1", key)


@when(
    parsers.parse(
        'a caller books "{key}" through router-0, which is killed, and again through router-1'
    )
)
def book_kill_book(fleet, ctx, key):
    # As above, but the only router that sent the order has lost its state. The key's two other
    # replicas still store the claim.
    ctx["first"] = book(fleet, "router-0", key)
    fleet.kill("router-0")
    ctx["second"] = book(fleet, "router-1", key)


@when(
    parsers.parse(
        'a caller books "{key}" through router-0, all routers restart in turn, '
        "and again through router-1"
    )
)
def book_restart_book(fleet, ctx, key):
    # A rolling restart clears the claims of every replica in turn. Each restarted router must copy
    # the others' claims before it grants any key.
    ctx["first"] = book(fleet, "router-0", key)
    for idx in range(3):
        fleet.kill(f"router-{idx}")
        fleet.wait_ready(fleet.restart(f"router-{idx}"))
        fleet.wait_vouching(fleet.procs[f"router-{idx}"])
    ctx["second"] = book(fleet, "router-1", key)


@when(
    parsers.parse(
        'a caller books "{key}" through router-0, which is then partitioned, '
        "and again through router-0 and router-1"
    )
)
def book_partition_book(fleet, ctx, key):
    # Both sides of the partition reach the service, and the caller may retry on either side. The
    # larger side stores the claim; the single router can't know what the others ran.
    ctx["first"] = book(fleet, "router-0", key)
    fleet.partition({"router-0"}, {"router-1", "router-2"})
    ctx["isolated"] = book(fleet, "router-0", key + "-never-seen")
    ctx["again"] = [book(fleet, "router-0", key), book(fleet, "router-1", key)]


@then("no second booking was run and the partitioned router answers not_run with Retry-After")
def partition_refusals(ctx):
    assert ctx["first"][1] == "outcome_unknown"
    assert ctx["isolated"][1] == "not_run" and "Retry-After" in ctx["isolated"][2]
    assert [again[1] for again in ctx["again"]] == ["duplicate", "duplicate"]


@then("the first order is answered outcome_unknown and the second duplicate")
def unknown_then_duplicate(ctx):
    assert ctx["first"][:2] == (502, "outcome_unknown")
    assert ctx["second"][:2] == (409, "duplicate")


@then("the first order is answered not_run and the second is served")
def not_run_then_served(ctx):
    assert ctx["first"][:2] == (503, "not_run")
    assert ctx["second"][0] == 200


@then(parsers.parse('the plain service ran "{key}" exactly once'))
def ran_once(fleet, key):
    assert fleet.get_json("orders-0", "/admin/stats")["executions"] == {key: 1}


@when("router-0 is partitioned from the other routers and the platform")
def partition_router(fleet):
    # Idempotent requests need no other router, so callers in a partitioned zone are still served.
    # Only orders are refused, and at once, since a copy could run on the other side.
    fleet.post_json("orders-0", "/admin/fault", {"mode": "none"})
    fleet.partition({"router-0"}, {"router-1", "router-2", "config", "instances"})
    time.sleep(1.0)


@then("5 streamed answers through router-0 are complete")
def streams_complete(fleet):
    url = fleet.procs["router-0"].url
    outcomes = [call_stream(HTTP, url, "depot", 10) for _ in range(5)]
    assert all(out.ok for out in outcomes), outcomes


@then("a new order through router-0 is answered not_run with Retry-After")
def order_refused(fleet):
    started = time.monotonic()
    status, kind, headers = book(fleet, "router-0", "van-6")
    assert (status, kind) == (503, "not_run") and "Retry-After" in headers
    assert time.monotonic() - started < 2.0, "the refusal was delayed"


@then("a new order through router-1 is accepted")
def order_accepted(fleet):
    assert book(fleet, "router-1", "van-7")[0] == 200


@given("a guard whose replicas store claims for 300 seconds", target_fixture="proxy")
def proxy_with_replica():
    node = NodeId("router-0")
    replica = GrantingReplica.start()
    guard = OrderGuard(node, [Member(node, "madina")], {node: replica})
    dispatcher = GrantingDispatcher.start(Grant(TargetId("s0"), "http://s0", 1))
    yield Proxy(dispatcher, UncalledUpstream(), guard, "router-0")
    replica.stop()
    dispatcher.stop()


@when("a router claims a key and is paused for 200 seconds")
def claim_and_pause(proxy, ctx, monkeypatch):
    # The router is paused after its claim was granted. Meanwhile the caller times out and, much
    # later, retries through another router. If the first router sent its order when it resumes,
    # both would run. Its claim is too old to use, although the replicas may still store it.
    claim = proxy.guard.acquire(
        claim_key(TeamId("depot"), ServiceName("orders"), RequestId("van-8")),
        PartitionPolicy.REFUSE,
        300.0,
        1.0,
    )
    resumed = replace(claim, requested_at=claim.requested_at - 200.0)
    monkeypatch.setattr(proxy.guard, "acquire", lambda *_: resumed)
    req = CallerRequest(
        RequestId("van-8"),
        TeamId("depot"),
        ServiceName("orders"),
        ServiceKind.PLAIN,
        b"{}",
        1.0,
        None,
        idempotent=False,
        upstream_path="/book",
        stream=False,
        caller_keyed=True,
    )
    with pytest.raises(ClaimUnavailable) as caught:
        proxy.serve(req, CONFIG)
    ctx["refusal"] = caught.value


@then("it does not send the order and the refusal has a Retry-After")
def not_sent(proxy, ctx):
    assert proxy.upstream.calls == 0
    assert ctx["refusal"].retry_after > 0


@given(
    "three claim replicas, one of which granted a claim that has not reached the others yet",
    target_fixture="tables",
)
def one_granted():
    # The first copy has one vote when that replica restarts, and its claim is still in transit to a
    # second replica. If the restarted replica considered the others' empty answers complete, a
    # second copy could get its vote and the third replica's, so both would have a majority.
    members = [Member(NodeId(f"r{i}"), f"z{i}") for i in range(3)]
    tables = [ClaimTable(member.node, members, now=-1000.0) for member in members]
    assert tables[0].acquire(VAN, "first", 300.0, now=0.0) is Vote.GRANTED
    return tables


@when("that replica restarts and immediately syncs with the others")
def restart_and_sync(tables):
    tables[0] = ClaimTable(tables[0].node, tables[0].members, now=0.1)
    _sync_with_others(tables, at=0.1)
    assert tables[1].acquire(VAN, "first", 300.0, now=0.2) is Vote.GRANTED


def _sync_with_others(tables: list[ClaimTable], at: float) -> None:
    for peer in tables[1:]:
        tables[0].merge_records(peer.node, peer.records_for(tables[0].node, at), at, at)


@then("it does not grant the key until it has synced again a second later")
def no_grant_before_sync(tables):
    assert tables[0].acquire(VAN, "second", 300.0, now=0.3) is Vote.UNSURE
    tables[0].release(VAN, "second")
    _sync_with_others(tables, at=1.2)
    assert tables[0].acquire(VAN, "second", 300.0, now=1.3) is Vote.HELD
