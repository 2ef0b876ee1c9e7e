"""Floods larger than the front, and callers that hang up."""

import json
import time

import urllib3
from pytest_bdd import given, parsers, scenarios, then, when

from turmerictray.loadtool.client import call_stream

scenarios("features/front_limits.feature")

HTTP = urllib3.PoolManager(retries=False)


@given(
    parsers.parse(
        "a fleet of 1 router with {threads:d} front threads and 1 engine with 2 slots, "
        'teams "{a}" and "{b}"'
    ),
    target_fixture="fleet",
)
def small_front(start_fleet, threads, a, b):
    # Each caller's connection holds one thread of the front while its request waits. If the
    # flooding team's requests hold them all, the small team's wait outside, unseen by the fair
    # queue, in order of arrival behind sixty others.
    return start_fleet(
        engines=1,
        engine_slots=2,
        routers=1,
        services=0,
        tokens_per_s=400.0,
        teams={a: 1.0, b: 1.0},
        router_threads=threads,
    )


@then("every refusal came within 1 second and said not run with Retry-After")
def refusals(ctx):
    refused = [out for out in ctx["callers"].outcomes if not out.ok]
    assert refused, "the flood was never refused"
    for out in refused:
        assert out.error == "not_run" and out.retry_after and out.total_s < 1.0, out


@when("2 callers ask for 2000 tokens and hang up after the first")
def hang_up(fleet):
    # The callers are gone, but their answers would go on for five seconds. A connection given
    # back to the pool with an answer half read keeps the engine's slot busy, and the next
    # request sent over it runs without anyone reading its answer.
    body = json.dumps(
        {"max_tokens": 2000, "stream": True, "messages": [{"role": "user", "content": "plan"}]}
    )
    for _ in range(2):
        resp = HTTP.request(
            "POST",
            fleet.routers()[0].url + "/v1/chat/completions",
            body=body,
            headers={"X-Team": "small"},
            preload_content=False,
        )
        next(resp.stream(64))
        resp.close()


@then("within 2 seconds the engine runs nothing")
def engine_idle(fleet):
    deadline = time.monotonic() + 2
    while fleet.get_json("engine-0", "/admin/stats")["running"]:
        assert time.monotonic() < deadline, "the engine still runs answers nobody reads"
        time.sleep(0.05)


@then("the next 10 answers are whole and each ran once")
def whole_once(fleet):
    url = fleet.routers()[0].url
    outcomes = [call_stream(HTTP, url, "small", 5) for _ in range(10)]
    ran = fleet.get_json("engine-0", "/admin/stats")["executions"]
    assert all(out.ok and ran[out.req_id] == 1 for out in outcomes), (outcomes, ran)
