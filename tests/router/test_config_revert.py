"""The configuration in force never goes back, also across a restart."""

import json
import time

import urllib3
from pytest_bdd import given, scenarios, then, when

scenarios("features/config_never_reverts.feature")

HTTP = urllib3.PoolManager(retries=False)
_BODY = json.dumps({"max_tokens": 2, "messages": [{"role": "user", "content": "plan"}]})


@given("a fleet of 2 routers and 1 engine", target_fixture="fleet")
def fleet(start_fleet):
    return start_fleet(engines=1, routers=2, services=0, teams={"depot": 1.0})


@given("revision 2 of the configuration is in force on every router")
def revision_two(fleet):
    newer = dict(fleet.config, limits={**fleet.config["limits"], "retry_after_s": 2.0})
    assert fleet.post_json("config", "/admin/publish", newer)["version"] == 2
    deadline = time.monotonic() + 10
    while time.monotonic() < deadline:
        if all(fleet.get_json(p.name, "/status")["config_version"] == 2 for p in fleet.routers()):
            return
        time.sleep(0.1)
    raise AssertionError("revision 2 not in force everywhere within 10 s")


@when("the configuration service falls back to revision 1")
def stale(fleet):
    fleet.post_json("config", "/admin/mode", {"mode": "stale", "revision": 1})


@when("router-1 is killed and started again")
def restart(fleet, ctx):
    # The caller of router-1 must never be served under revision 1 again. The router comes
    # back with no memory and the only text the service gives it is revision 1; its peer
    # still has revision 2 in force. Taking revision 1 would undo an accepted change.
    fleet.kill("router-1")
    ctx["router"] = fleet.restart("router-1")


@then("every answer router-1 gives for 3 seconds carries configuration version 2 or newer")
def no_revert(ctx):
    url = ctx["router"].url + "/v1/chat/completions"
    versions = []
    first = None
    deadline = time.monotonic() + 20
    while time.monotonic() < deadline and (first is None or time.monotonic() < first + 3):
        try:
            resp = HTTP.request("POST", url, body=_BODY, headers={"X-Team": "depot"}, timeout=5.0)
        except urllib3.exceptions.HTTPError:
            time.sleep(0.02)
            continue
        if resp.status == 200:
            first = first or time.monotonic()
            versions.append(int(resp.headers["X-Config-Version"]))
        time.sleep(0.02)
    assert versions, "router-1 never answered"
    assert min(versions) >= 2, versions[:10]


@then("the routers read it no more than 10 times a second together")
def few_reads(fleet):
    # Callers notice nothing, but the service counts every read of every router against one
    # limit. A router whose watch names a revision newer than the service's own is answered at
    # once, with the old text, and asks again at once.
    time.sleep(1.0)
    before = fleet.get_json("config", "/admin/stats")["reads"]
    time.sleep(3.0)
    reads = fleet.get_json("config", "/admin/stats")["reads"] - before
    assert reads <= 30, f"{reads} reads in 3 s"


@then("revision 3, published when the service has caught up, is in force within 6 seconds")
def caught_up(fleet):
    fleet.post_json("config", "/admin/mode", {"mode": "ok"})
    assert fleet.post_json("config", "/admin/publish", dict(fleet.config))["version"] == 3
    deadline = time.monotonic() + 6
    while any(fleet.get_json(p.name, "/status")["config_version"] < 3 for p in fleet.routers()):
        assert time.monotonic() < deadline
        time.sleep(0.1)


@when("router-0 is killed, the instance list calls it gone, and router-1 is restarted")
def gone_and_restart(fleet):
    # Callers of router-1 are refused until it knows that no peer has a newer configuration. A
    # peer that is gone for good cannot tell; the instance list says not to wait for it.
    fleet.kill("router-0")
    fleet.post_json("instances", "/admin/set", {"id": "router-0", "state": "gone"})
    time.sleep(0.6)
    fleet.kill("router-1")
    fleet.wait_ready(fleet.restart("router-1"))


@then("router-1 is ready without having waited for router-0")
def not_waited(fleet):
    lines = (fleet.dir / "router-1.log").read_text().splitlines()
    ready = [line for line in lines if "event=ready" in line][-1]
    assert "timed_out=False" in ready, ready
