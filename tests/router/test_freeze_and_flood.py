"""Frozen peers, and teams that flood a router."""

import signal
import time

from pytest_bdd import given, parsers, scenarios, then, when

from tests.router.callers import Callers

scenarios("features/freeze_and_flood.feature")


@given(
    parsers.parse('a fleet of 2 routers and 2 engines with 2 slots each, teams "{a}" and ' '"{b}"'),
    target_fixture="fleet",
)
def two_router_fleet(start_fleet, a, b):
    return start_fleet(engines=2, engine_slots=2, routers=2, services=0, teams={a: 1.0, b: 1.0})


@when("depot calls only router-0 and riders only router-1, and router-1 is frozen")
def freeze(fleet, ctx):
    # The streams of router-1's callers pause and finish after it resumes. While it is frozen,
    # router-0 must use router-1's share of each engine instead of leaving it idle. After it
    # resumes with an outdated state, heartbeats must make both routers' counters agree again
    # without counting any team's usage twice.
    callers = Callers()
    callers.add(fleet.procs["router-0"].url, "depot", 6, 20)
    callers.add(fleet.procs["router-1"].url, "riders", 6, 20)
    ctx["callers"] = callers
    time.sleep(2.0)
    assert fleet.get_json("router-0", "/status")["share"] < 1.0
    fleet.signal("router-1", signal.SIGSTOP)
    ctx["frozen_at"] = time.monotonic()


@then(
    parsers.parse("within {seconds:d} seconds router-0 claims every slot while router-1 is frozen")
)
def check_all_slots_claimed(fleet, ctx, seconds):
    deadline = ctx["frozen_at"] + seconds
    while time.monotonic() < deadline:
        if fleet.get_json("router-0", "/status")["share"] == 1.0:
            return
        time.sleep(0.1)
    raise AssertionError("router-0 still leaves the frozen router's share idle")


@when("router-1 is resumed and the callers stop")
def resume(fleet, ctx):
    fleet.signal("router-1", signal.SIGCONT)
    time.sleep(2.0)
    ctx["callers"].finish()
    time.sleep(6.0)


@then("every answer of both teams is complete, in order and belongs to its request")
def check_answers(ctx):
    failed = [outcome for outcome in ctx["callers"].outcomes if not outcome.ok]
    assert not failed, failed[:3]


@then("each router's fleet-wide usage of each team is the sum of both routers' local usage")
def check_counters_agree(fleet):
    statuses = [fleet.get_json(name, "/status")["teams"] for name in ("router-0", "router-1")]
    for team in ("depot", "riders"):
        local_sum = sum(teams.get(team, {}).get("local", 0.0) for teams in statuses)
        for teams in statuses:
            assert teams[team]["fleet"] == local_sum, (team, teams[team], local_sum)


@given(
    parsers.parse(
        'a fleet of 1 router and 1 engine with 2 slots, teams "{a}" and "{b}" of ' "weight 1"
    ),
    target_fixture="fleet",
)
def one_router_fleet(start_fleet, a, b):
    return start_fleet(
        engines=1,
        engine_slots=2,
        routers=1,
        services=0,
        tokens_per_s=400.0,
        teams={a: 1.0, b: 1.0},
        limits={"queue_per_team": 64},
    )
