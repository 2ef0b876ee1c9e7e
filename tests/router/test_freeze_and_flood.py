"""Frozen peers and flooding teams."""

import signal
import time

from pytest_bdd import given, parsers, scenarios, then, when

from tests.router.callers import Callers

scenarios("features/freeze_and_flood.feature")


@given(
    parsers.parse('a fleet of 2 routers and 2 engines with 2 slots each, teams "{a}" and ' '"{b}"'),
    target_fixture="fleet",
)
def two_routers(start_fleet, a, b):
    return start_fleet(engines=2, engine_slots=2, routers=2, services=0, teams={a: 1.0, b: 1.0})


@when("depot calls only router-0 and riders only router-1, and router-1 is frozen")
def freeze(fleet, ctx):
    # Callers of router-1 see their streams pause, then finish after it wakes. While it is
    # silent, router-0 must stop leaving router-1's part of each engine idle; once it wakes,
    # acting on its old view, heartbeats must bring both routers' counters together again
    # without counting any team's service twice.
    callers = Callers()
    callers.add(fleet.procs["router-0"].url, "depot", 6, 20)
    callers.add(fleet.procs["router-1"].url, "riders", 6, 20)
    ctx["callers"] = callers
    time.sleep(2.0)
    assert fleet.get_json("router-0", "/status")["share"] < 1.0
    fleet.signal("router-1", signal.SIGSTOP)
    ctx["frozen_at"] = time.monotonic()


@then(
    parsers.parse("within {seconds:d} seconds router-0 claims every slot while router-1 is silent")
)
def claims_all(fleet, ctx, seconds):
    deadline = ctx["frozen_at"] + seconds
    while time.monotonic() < deadline:
        if fleet.get_json("router-0", "/status")["share"] == 1.0:
            return
        time.sleep(0.1)
    raise AssertionError("router-0 still leaves the frozen router's share idle")


@when("router-1 wakes and the callers stop")
def wake(fleet, ctx):
    fleet.signal("router-1", signal.SIGCONT)
    time.sleep(2.0)
    ctx["callers"].finish()
    time.sleep(6.0)


@then("every answer of both teams is whole, in order and its own")
def whole(ctx):
    bad = [o for o in ctx["callers"].outcomes if not o.ok]
    assert not bad, bad[:3]


@then("each router counts each team's fleet-wide service as the sum of both routers' own")
def converged(fleet):
    views = [fleet.get_json(name, "/status")["teams"] for name in ("router-0", "router-1")]
    for team in ("depot", "riders"):
        own = sum(view.get(team, {}).get("local", 0.0) for view in views)
        for view in views:
            assert view[team]["fleet"] == own, (team, view[team], own)


@given(
    parsers.parse(
        'a fleet of 1 router and 1 engine with 2 slots, teams "{a}" and "{b}" of ' "weight 1"
    ),
    target_fixture="fleet",
)
def flood_fleet(start_fleet, a, b):
    return start_fleet(
        engines=1,
        engine_slots=2,
        routers=1,
        services=0,
        tokens_per_s=400.0,
        teams={a: 1.0, b: 1.0},
        limits={"queue_per_team": 64},
    )
