"""Operators racing on the configuration text."""

import re
import time

from pytest_bdd import given, scenarios, then, when

scenarios("features/operator_race.feature")


@given("a fleet of 3 routers and 1 engine", target_fixture="fleet")
def fleet(start_fleet):
    return start_fleet(engines=1, routers=3, services=0, teams={"depot": 1.0})


@when("one operator publishes a valid text and another at once publishes an invalid one")
def race(fleet, ctx):
    # Callers never see the invalid text: every router rejects it. A router whose watch
    # returned only after both were published sees just the invalid revision and would
    # stay on the old text while its peers use the new one; heartbeats tell it a newer
    # valid version exists, and it fetches it from a peer.
    valid = dict(fleet.config, limits={**fleet.config["limits"], "retry_after_s": 3.0})
    invalid = dict(fleet.config, teams=[{"id": "depot", "weight": -1}])
    ctx["valid"] = fleet.post_json("config", "/admin/publish", valid)["version"]
    fleet.post_json("config", "/admin/publish", invalid)
    ctx["published"] = time.monotonic()


@when("the configuration service is down")
def service_down(fleet):
    fleet.post_json("config", "/admin/mode", {"mode": "down"})


@when("the configuration service comes back")
def service_back(fleet, ctx):
    # The routers never saw the valid revision: the first text they can read is the
    # invalid one. Taking the newest valid revision means reading back through the
    # service's history, which the platform keeps and serves read-only.
    fleet.post_json("config", "/admin/mode", {"mode": "ok"})
    ctx["published"] = time.monotonic()


@then("within 6 seconds every router has the valid text in force")
def everywhere(fleet, ctx):
    deadline = ctx["published"] + 6.0
    while time.monotonic() < deadline:
        versions = [fleet.get_json(p.name, "/status")["config_version"] for p in fleet.routers()]
        if all(v == ctx["valid"] for v in versions):
            return
        time.sleep(0.1)
    raise AssertionError(f"versions in force: {versions}, want {ctx['valid']}")


@then("no router ever logged a configuration in force below one it had before")
def no_revert(fleet):
    for proc in fleet.routers():
        text = (fleet.dir / f"{proc.name}.log").read_text()
        versions = [int(v) for v in re.findall(r"event=config_in_force version=(\d+)", text)]
        assert versions == sorted(versions) and len(set(versions)) == len(versions), versions
