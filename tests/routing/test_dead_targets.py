"""Crashed targets that the instance list does not report yet."""

import time

import urllib3
from pytest_bdd import given, scenarios, then, when

from turmerictray.loadtool.client import call_stream

scenarios("features/dead_targets.feature")

HTTP = urllib3.PoolManager(retries=False)


@given("a fleet of 1 router and 3 engines", target_fixture="fleet")
def fleet(start_fleet):
    return start_fleet(
        engines=3, routers=1, services=0, teams={"depot": 1.0}, limits={"max_retries": 1}
    )


def _call(fleet, count: int) -> list:
    url = fleet.procs["router-0"].url
    return [call_stream(HTTP, url, "depot", 3, prompt=f"depot {i}") for i in range(count)]


def _dispatched(fleet) -> dict[str, int]:
    targets = fleet.get_json("router-0", "/status")["targets"]
    return {view["id"]: view["dispatched"] for view in targets}


@when("engine-0 and engine-1 are killed and 24 requests with different prompts are sent")
def kill_two(fleet, ctx):
    # Each engine is preferred by a third of the prompts. Requests that prefer a crashed engine fail
    # to connect, would be retried on the other crashed one, and would be refused as not run while
    # the third engine is idle. After a failed connection the router must prefer the other engines.
    fleet.kill("engine-0")
    fleet.kill("engine-1")
    ctx["outcomes"] = _call(fleet, 24)


@then("every answer is complete")
def all_complete(ctx):
    bad = [out for out in ctx["outcomes"] if not out.ok]
    assert not bad, (len(bad), bad[:3])


@then("the crashed engines received no more than 6 requests together")
def few_requests_to_crashed(fleet):
    dispatched = _dispatched(fleet)
    assert dispatched["engine-0"] + dispatched["engine-1"] <= 6, dispatched


@when("engine-0 is killed, found unreachable, and restarted")
def kill_and_restart(fleet, ctx):
    fleet.kill("engine-0")
    _call(fleet, 12)
    ctx["before"] = _dispatched(fleet)["engine-0"]
    fleet.restart("engine-0")
    fleet.wait_ready(fleet.procs["engine-0"])


@then("within 10 seconds engine-0 receives requests again")
def receives_requests(fleet, ctx):
    deadline = time.monotonic() + 10
    while fleet.get_json("engine-0", "/admin/stats")["executions"] == {}:
        assert time.monotonic() < deadline, "engine-0 received no requests after its restart"
        assert all(out.ok for out in _call(fleet, 12))
        time.sleep(0.2)
