"""Network partitions between zones, and restarts without memory."""

import time

from pytest_bdd import given, scenarios, then, when

from tests.router.callers import Callers

scenarios("features/zone_cut.feature")

TEAMS = ["depot", "riders", "kiosks"]
ROUTERS = ["router-0", "router-1", "router-2"]


@given(
    "a cuttable fleet of 3 routers in 3 zones and 2 engines, one team calling each router",
    target_fixture="fleet",
)
def cuttable(start_fleet, ctx):
    fleet = start_fleet(
        engines=2,
        engine_slots=3,
        routers=3,
        services=0,
        teams=dict.fromkeys(TEAMS, 1.0),
        cuttable=True,
    )
    ctx["callers"] = Callers()
    for name, team in zip(ROUTERS, TEAMS, strict=True):
        ctx["callers"].add(fleet.procs[name].url, team, 4, 20)
    time.sleep(2.0)
    return fleet


def _versions(fleet) -> list[int]:
    return [fleet.get_json(name, "/status")["config_version"] for name in ROUTERS]


def _fleet_service(fleet, name: str) -> dict[str, float]:
    teams = fleet.get_json(name, "/status")["teams"]
    return {team: entry["fleet"] for team, entry in teams.items()}


@when("router-0's zone is cut off for 5 seconds and a new configuration is published meanwhile")
def cut(fleet, ctx):
    # Callers on both sides go on being served by their own routers. Each side counts only its
    # own service meanwhile; the far side's heartbeats sent during the cut arrive late, all at
    # once, when it heals, and must not be counted on top of the newer ones.
    fleet.cut({"router-0"}, {"router-1", "router-2", "config", "instances"})
    ctx["cut_at"] = time.time()
    newer = dict(fleet.config, limits={**fleet.config["limits"], "retry_after_s": 2.0})
    assert fleet.post_json("config", "/admin/publish", newer)["version"] == 2
    time.sleep(5.0)
    ctx["cut_end"] = time.time()


@then("each side served its own callers during the cut")
def both_served(ctx):
    for team in TEAMS:
        served = [
            out
            for out in ctx["callers"].outcomes
            if out.team == team and ctx["cut_at"] < out.started < ctx["cut_end"] and out.ok
        ]
        assert len(served) >= 5, (team, len(served))


@then("only the side that reaches the platform has the new configuration in force")
def one_side_new(fleet):
    assert _versions(fleet) == [1, 2, 2]


@when("the cut heals")
def heal(fleet):
    fleet.heal()


@then("within 6 seconds the new configuration is in force on every router")
def all_new(fleet):
    deadline = time.monotonic() + 6
    while _versions(fleet) != [2, 2, 2]:
        assert time.monotonic() < deadline, _versions(fleet)
        time.sleep(0.1)


@then("within 10 seconds each router counts each team's service as the sum of all routers' own")
def counters_meet(fleet, ctx):
    ctx["callers"].finish()
    deadline = time.monotonic() + 10
    while True:
        views = [fleet.get_json(name, "/status")["teams"] for name in ROUTERS]
        own = {team: sum(view.get(team, {}).get("local", 0) for view in views) for team in TEAMS}
        seen = [{team: view.get(team, {}).get("fleet", 0) for team in TEAMS} for view in views]
        if seen == [own] * 3:
            return
        assert time.monotonic() < deadline, (own, seen)
        time.sleep(0.2)


@then("every answer of the run is whole, in order and its own")
def whole(ctx):
    bad = [out for out in ctx["callers"].outcomes if not out.ok]
    assert not bad, bad[:3]


@when("the callers stop and router-0 is killed and started again")
def kill_restart(fleet, ctx):
    # The restarted router knows nothing of what it served before. Ordering its callers by half
    # the history, it would favour the teams it had itself served most.
    ctx["callers"].finish()
    time.sleep(1.5)
    fleet.kill("router-0")
    fleet.restart("router-0")
    fleet.wait_ready(fleet.procs["router-0"])


@then("within 10 seconds router-0 counts each team's service as router-1 does")
def same_view(fleet):
    deadline = time.monotonic() + 10
    while True:
        mine, theirs = (_fleet_service(fleet, name) for name in ("router-0", "router-1"))
        if mine == theirs and set(mine) == set(TEAMS):
            return
        assert time.monotonic() < deadline, (mine, theirs)
        time.sleep(0.2)
