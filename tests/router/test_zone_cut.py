"""Network partitions between zones, and restarts of a router without its counters."""

import time

from pytest_bdd import given, scenarios, then, when

from tests.router.callers import Callers

scenarios("features/zone_cut.feature")

TEAMS = ["depot", "riders", "kiosks"]
ROUTERS = ["router-0", "router-1", "router-2"]


@given(
    "a fleet of 3 routers in 3 zones and 2 engines, one team calling each router",
    target_fixture="fleet",
)
def three_zone_fleet(start_fleet, ctx):
    fleet = start_fleet(
        engines=2,
        engine_slots=3,
        routers=3,
        services=0,
        teams=dict.fromkeys(TEAMS, 1.0),
        partitionable=True,
    )
    ctx["callers"] = Callers()
    for name, team in zip(ROUTERS, TEAMS, strict=True):
        ctx["callers"].add(fleet.procs[name].url, team, 4, 20)
    time.sleep(2.0)
    return fleet


def _versions(fleet) -> list[int]:
    return [fleet.get_json(name, "/status")["config_version"] for name in ROUTERS]


def _fleet_usage(fleet, name: str) -> dict[str, float]:
    teams = fleet.get_json(name, "/status")["teams"]
    return {team: entry["fleet"] for team, entry in teams.items()}


@when("router-0's zone is partitioned for 5 seconds and a new configuration is published meanwhile")
def partition(fleet, ctx):
    # Each side goes on serving its callers and counts only its local usage. The heartbeats sent
    # during the partition arrive late and all at once when it heals, and must not be counted in
    # addition to newer ones.
    fleet.partition({"router-0"}, {"router-1", "router-2", "config", "instances"})
    ctx["cut_at"] = time.time()
    newer = dict(fleet.config, limits={**fleet.config["limits"], "retry_after_s": 2.0})
    assert fleet.post_json("config", "/admin/publish", newer)["version"] == 2
    time.sleep(5.0)
    ctx["cut_end"] = time.time()


@then("each side served its callers during the partition")
def check_both_sides_served(ctx):
    for team in TEAMS:
        served = [
            out
            for out in ctx["callers"].outcomes
            if out.team == team and ctx["cut_at"] < out.started < ctx["cut_end"] and out.ok
        ]
        assert len(served) >= 5, (team, len(served))


@then("the new configuration is active only on the side that reaches the platform")
def check_active_on_one_side(fleet):
    assert _versions(fleet) == [1, 2, 2]


@when("the partition heals")
def heal(fleet):
    fleet.restore_network()


@then("within 6 seconds the new configuration is active on every router")
def check_active_everywhere(fleet):
    deadline = time.monotonic() + 6
    while _versions(fleet) != [2, 2, 2]:
        assert time.monotonic() < deadline, _versions(fleet)
        time.sleep(0.1)


@then("within 10 seconds each router's fleet-wide usage of each team is the sum of all local usage")
def check_counters_agree(fleet, ctx):
    ctx["callers"].finish()
    deadline = time.monotonic() + 10
    while True:
        views = [fleet.get_json(name, "/status")["teams"] for name in ROUTERS]
        sums = {team: sum(view.get(team, {}).get("local", 0) for view in views) for team in TEAMS}
        fleet_usage = [
            {team: view.get(team, {}).get("fleet", 0) for team in TEAMS} for view in views
        ]
        if fleet_usage == [sums] * 3:
            return
        assert time.monotonic() < deadline, (sums, fleet_usage)
        time.sleep(0.2)


@then("every answer of the run is complete, in order and belongs to its request")
def check_answers(ctx):
    failed = [out for out in ctx["callers"].outcomes if not out.ok]
    assert not failed, failed[:3]


@when("the callers stop and router-0 is killed and started again")
def kill_and_restart(fleet, ctx):
    # The restarted router has lost the counters of its earlier incarnation. With only its peers'
    # counters, it would favour the teams to which it had itself given the most service.
    ctx["callers"].finish()
    time.sleep(1.5)
    fleet.kill("router-0")
    fleet.restart("router-0")
    fleet.wait_ready(fleet.procs["router-0"])


@then("within 10 seconds router-0 and router-1 report the same fleet-wide usage of each team")
def check_usage_restored(fleet):
    deadline = time.monotonic() + 10
    while True:
        restarted, peer = (_fleet_usage(fleet, name) for name in ("router-0", "router-1"))
        if restarted == peer and set(restarted) == set(TEAMS):
            return
        assert time.monotonic() < deadline, (restarted, peer)
        time.sleep(0.2)
