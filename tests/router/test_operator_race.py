"""Operators who publish configurations at the same time."""

import re
import time

from pytest_bdd import given, scenarios, then, when

scenarios("features/operator_race.feature")


@given("a fleet of 3 routers and 1 engine", target_fixture="fleet")
def fleet(start_fleet):
    return start_fleet(engines=1, routers=3, services=0, teams={"depot": 1.0})


@when("one operator publishes a valid configuration and another immediately an invalid one")
def publish_both(fleet, ctx):
    # Every router rejects the invalid configuration. A router whose long poll returns only after
    # both were published reads just the invalid revision, and would keep the old configuration
    # while its peers use the new one. It learns of the newer version from their heartbeats and
    # fetches it from a peer.
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
    # No router has read the valid revision, and the newest one is invalid. To find the newest
    # valid revision, the routers must read earlier ones, which the service keeps.
    fleet.post_json("config", "/admin/mode", {"mode": "ok"})
    ctx["published"] = time.monotonic()


@then("within 6 seconds the valid configuration is active on every router")
def check_active_everywhere(fleet, ctx):
    deadline = ctx["published"] + 6.0
    while time.monotonic() < deadline:
        versions = [fleet.get_json(p.name, "/status")["config_version"] for p in fleet.routers()]
        if all(version == ctx["valid"] for version in versions):
            return
        time.sleep(0.1)
    raise AssertionError(f"active versions: {versions}, expected {ctx['valid']}")


@then("no router has logged an active version older than an earlier one")
def check_never_reverted(fleet):
    for proc in fleet.routers():
        text = (fleet.dir / f"{proc.name}.log").read_text()
        versions = [int(v) for v in re.findall(r"event=config_in_force version=(\d+)", text)]
        assert versions == sorted(versions) and len(set(versions)) == len(versions), versions
