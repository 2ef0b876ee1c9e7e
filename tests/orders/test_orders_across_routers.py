"""Orders sent twice through different routers, under kills, restarts, cuts and freezes."""

import json
import time
from dataclasses import replace

import pytest
import urllib3
from pytest_bdd import given, parsers, scenarios, then, when

from tests.orders.fakes import CONFIG, AlwaysGrants, NeverCalled, VouchingHome
from turmerictray.config.schema import CutPolicy, ServiceKind
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
    """One order; returns ``(status, error type, headers)``."""
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
def resetting(start_fleet):
    return _fleet(start_fleet, "reset", 1)


@given(
    "a fleet of 3 routers and 1 plain service that refuses one order without running it",
    target_fixture="fleet",
)
def refusing(start_fleet):
    return _fleet(start_fleet, "not_run", 1, limits={"max_retries": 0})


@given(
    "a cuttable fleet of 3 routers and 1 plain service that resets after running",
    target_fixture="fleet",
)
def cuttable(start_fleet):
    return _fleet(start_fleet, "reset", 1, cuttable=True)


@when(parsers.parse('a caller books "{key}" through router-0 and again through router-1'))
def book_twice(fleet, ctx, key):
    # The first order runs, and its answer is lost. The caller, told the outcome is unknown,
    # asks again and the balancer picks another router, which has never heard of the order.
    # Sending it would put two vans at one chop bar.
    ctx["first"] = book(fleet, "router-0", key)
    ctx["second"] = book(fleet, "router-1", key)


@when(
    parsers.parse(
        'a caller books "{key}" through router-0, which is killed, and again through router-1'
    )
)
def book_kill_book(fleet, ctx, key):
    # As before, but the only router that sent the order is gone with all it knew. Two other
    # homes of the key remember it.
    ctx["first"] = book(fleet, "router-0", key)
    fleet.kill("router-0")
    ctx["second"] = book(fleet, "router-1", key)


@when(
    parsers.parse(
        'a caller books "{key}" through router-0, all routers restart in turn, '
        "and again through router-1"
    )
)
def book_roll_book(fleet, ctx, key):
    # A rolling restart replaces every memory of the order. Each router that comes back must
    # take over what the others remember before it vouches for any key.
    ctx["first"] = book(fleet, "router-0", key)
    for idx in range(3):
        fleet.kill(f"router-{idx}")
        fleet.wait_ready(fleet.restart(f"router-{idx}"))
        fleet.wait_vouching(fleet.procs[f"router-{idx}"])
    ctx["second"] = book(fleet, "router-1", key)


@when(
    parsers.parse(
        'a caller books "{key}" through router-0, which is then cut off, '
        "and again through router-0 and router-1"
    )
)
def book_cut_book(fleet, ctx, key):
    # Both sides of the cut reach the service. The caller may ask again on either side: the
    # larger side remembers the order; the lone router cannot know what the others ran.
    ctx["first"] = book(fleet, "router-0", key)
    fleet.cut({"router-0"}, {"router-1", "router-2"})
    ctx["lone"] = book(fleet, "router-0", key + "-never-seen")
    ctx["again"] = [book(fleet, "router-0", key), book(fleet, "router-1", key)]


@then("no second booking was run and the cut-off router's refusal says not run with Retry-After")
def cut_refusals(ctx):
    assert ctx["first"][1] == "outcome_unknown"
    assert ctx["lone"][1] == "not_run" and "Retry-After" in ctx["lone"][2]
    assert [again[1] for again in ctx["again"]] == ["duplicate", "duplicate"]


@then("the first is told the outcome is unknown and the second that it is a duplicate")
def unknown_then_duplicate(ctx):
    assert ctx["first"][:2] == (502, "outcome_unknown")
    assert ctx["second"][:2] == (409, "duplicate")


@then("the first is told it was not run and the second is served")
def not_run_then_served(ctx):
    assert ctx["first"][:2] == (503, "not_run")
    assert ctx["second"][0] == 200


@then(parsers.parse('the plain service ran "{key}" exactly once'))
def ran_once(fleet, key):
    assert fleet.get_json("orders-0", "/admin/stats")["executions"] == {key: 1}


@when("router-0 is cut off from the other routers and the platform")
def cut_off(fleet):
    # Callers in the cut-off zone keep getting answers: everything that may be repeated needs
    # no other router. Only orders are refused, and at once, since a copy could run elsewhere.
    fleet.post_json("orders-0", "/admin/fault", {"mode": "none"})
    fleet.cut({"router-0"}, {"router-1", "router-2", "config", "instances"})
    time.sleep(1.0)


@then("5 streamed answers through router-0 are whole")
def streams_whole(fleet):
    url = fleet.procs["router-0"].url
    outcomes = [call_stream(HTTP, url, "depot", 10) for _ in range(5)]
    assert all(out.ok for out in outcomes), outcomes


@then("a new order through router-0 is refused as not run with Retry-After")
def order_refused(fleet):
    started = time.monotonic()
    status, kind, headers = book(fleet, "router-0", "van-6")
    assert (status, kind) == (503, "not_run") and "Retry-After" in headers
    assert time.monotonic() - started < 2.0, "the refusal was held back"


@then("a new order through router-1 is accepted")
def order_accepted(fleet):
    assert book(fleet, "router-1", "van-7")[0] == 200


@given("a guard whose homes remember for 300 seconds", target_fixture="proxy")
def vouched_proxy():
    node = NodeId("router-0")
    home = VouchingHome.start()
    guard = OrderGuard(node, [Member(node, "madina")], {node: home})
    dispatcher = AlwaysGrants.start(Grant(TargetId("s0"), "http://s0", 1))
    yield Proxy(dispatcher, NeverCalled(), guard, "router-0")
    home.stop()
    dispatcher.stop()


@when("a router claims a key and sleeps for 200 seconds")
def claim_and_sleep(proxy, ctx, monkeypatch):
    # The router is frozen after its homes granted the key. Meanwhile the caller gives up and,
    # much later, asks through another router. If the woken router sent its order then, both
    # would run: its claim is too old to act on, although the homes may still hold it.
    claim = proxy.guard.take(
        claim_key(TeamId("depot"), ServiceName("orders"), RequestId("van-8")),
        CutPolicy.REFUSE,
        300.0,
        1.0,
    )
    woken = replace(claim, asked_at=claim.asked_at - 200.0)
    monkeypatch.setattr(proxy.guard, "take", lambda *_: woken)
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


@then("it does not send the order and the caller is told it was not run")
def not_sent(proxy, ctx):
    assert proxy.upstream.calls == 0
    assert ctx["refusal"].retry_after > 0


@given(
    "three homes, of which one granted a claim that has not yet reached the others",
    target_fixture="tables",
)
def one_granted():
    # The first copy has one vote in hand when that home restarts, and its question to a second
    # home is still on its way. If the restarted home took the others' "nothing known" for the
    # truth, a second copy could collect its vote and a third home's: two majorities.
    members = [Member(NodeId(f"r{i}"), f"z{i}") for i in range(3)]
    tables = [ClaimTable(member.node, members, now=-1000.0) for member in members]
    assert tables[0].take(VAN, "first", 300.0, now=0.0) is Vote.GRANTED
    return tables


@when("that home restarts and at once asks the others what they remember")
def restart_and_ask(tables):
    tables[0] = ClaimTable(tables[0].node, tables[0].members, now=0.1)
    _ask_others(tables, at=0.1)
    assert tables[1].take(VAN, "first", 300.0, now=0.2) is Vote.GRANTED


def _ask_others(tables: list[ClaimTable], at: float) -> None:
    for other in tables[1:]:
        tables[0].absorb(other.node, other.records_for(tables[0].node, at), at, at)


@then("it does not vouch for the key until it has asked again a second later")
def no_vote(tables):
    assert tables[0].take(VAN, "second", 300.0, now=0.3) is Vote.UNSURE
    tables[0].release(VAN, "second")
    _ask_others(tables, at=1.2)
    assert tables[0].take(VAN, "second", 300.0, now=1.3) is Vote.HELD
