"""Floods larger than the front's thread pool, and callers that disconnect."""

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
    # A waiting request occupies one thread of the front. If the flooding team occupies all of
    # them, the small team's requests wait before the fair queue, in order of arrival behind sixty
    # others.
    return start_fleet(
        engines=1,
        engine_slots=2,
        routers=1,
        services=0,
        tokens_per_s=400.0,
        teams={a: 1.0, b: 1.0},
        router_threads=threads,
    )


@then('every refusal was "not_run" with Retry-After and arrived within 1 second')
def check_refusals(ctx):
    refused = [out for out in ctx["callers"].outcomes if not out.ok]
    assert refused, "no request of the flood was refused"
    for out in refused:
        assert out.error == "not_run" and out.retry_after and out.total_s < 1.0, out


@when("2 callers request 2000 tokens and disconnect after the first")
def disconnect(fleet):
    # Without the callers, their answers would still be generated for five seconds. If the router
    # returns a connection with a partly read answer to its pool, the engine's slot stays busy, and
    # nobody reads the answer to the next request sent on that connection.
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


@then("within 2 seconds the engine is idle")
def check_engine_idle(fleet):
    deadline = time.monotonic() + 2
    while fleet.get_json("engine-0", "/admin/stats")["running"]:
        assert time.monotonic() < deadline, "the engine still generates answers that nobody reads"
        time.sleep(0.05)


@then("the next 10 answers are complete and each request ran once")
def check_next_answers(fleet):
    url = fleet.routers()[0].url
    outcomes = [call_stream(HTTP, url, "small", 5) for _ in range(10)]
    executions = fleet.get_json("engine-0", "/admin/stats")["executions"]
    assert all(out.ok and executions[out.req_id] == 1 for out in outcomes), (outcomes, executions)
