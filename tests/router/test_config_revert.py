"""The active configuration never reverts to an older revision, even across a restart."""

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


@given("revision 2 of the configuration is active on every router")
def revision_two(fleet):
    newer = dict(fleet.config, limits={**fleet.config["limits"], "retry_after_s": 2.0})
    assert fleet.post_json("config", "/admin/publish", newer)["version"] == 2
    deadline = time.monotonic() + 10
    while time.monotonic() < deadline:
        if all(fleet.get_json(p.name, "/status")["config_version"] == 2 for p in fleet.routers()):
            return
        time.sleep(0.1)
    raise AssertionError("revision 2 not active on every router within 10 s")


@when("the configuration service falls back to revision 1")
def serve_old_revision(fleet):
    fleet.post_json("config", "/admin/mode", {"mode": "stale", "revision": 1})


@when("router-1 is killed and started again")
def restart(fleet, ctx):
    # Guards against a restart that undoes an accepted change: the router restarts without state
    # and the service returns only revision 1, while revision 2 is still active on the peer.
    fleet.kill("router-1")
    ctx["router"] = fleet.restart("router-1")


@then("every answer of router-1 for 3 seconds carries configuration version 2 or newer")
def check_no_revert(ctx):
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


@then("all routers together read it no more than 10 times per second")
def check_read_rate(fleet):
    # Guards against polling without a pause: a watch that names a revision newer than the service's
    # is answered immediately, with the old configuration, and the router would repeat it
    # immediately. All routers share one read limit at the service.
    time.sleep(1.0)
    before = fleet.get_json("config", "/admin/stats")["reads"]
    time.sleep(3.0)
    reads = fleet.get_json("config", "/admin/stats")["reads"] - before
    assert reads <= 30, f"{reads} reads in 3 s"


@then("revision 3, published after the service has recovered, is active within 6 seconds")
def publish_revision_three(fleet):
    fleet.post_json("config", "/admin/mode", {"mode": "ok"})
    assert fleet.post_json("config", "/admin/publish", dict(fleet.config))["version"] == 3
    deadline = time.monotonic() + 6
    while any(fleet.get_json(p.name, "/status")["config_version"] < 3 for p in fleet.routers()):
        assert time.monotonic() < deadline
        time.sleep(0.1)


@when("router-0 is killed, the instance list marks it as gone, and router-1 is restarted")
def remove_and_restart(fleet):
    # Guards against a long start: router-1 refuses callers until it knows that no peer has a newer
    # configuration. It must not wait for a peer that the instance list marks as gone.
    fleet.kill("router-0")
    fleet.post_json("instances", "/admin/set", {"id": "router-0", "state": "gone"})
    time.sleep(0.6)
    fleet.kill("router-1")
    fleet.wait_ready(fleet.restart("router-1"))


@then("router-1 becomes ready without waiting for router-0")
def check_no_wait(fleet):
    lines = (fleet.dir / "router-1.log").read_text().splitlines()
    ready = [line for line in lines if "event=ready" in line][-1]
    assert "timed_out=False" in ready, ready
