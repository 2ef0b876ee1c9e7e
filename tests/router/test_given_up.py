"""Refusals of requests that a router can't serve: final, prompt, truthful and with Retry-After."""

import threading

import urllib3
from pytest_bdd import given, parsers, scenarios, then, when

from turmerictray.loadtool.client import call_stream
from turmerictray.loadtool.history import check_history

scenarios("features/given_up.feature")


@given(
    parsers.parse(
        "a fleet of 1 router and 1 engine with 1 slot, a queue timeout of "
        "{timeout:d} second and at most {depth:d} waiting requests per team"
    ),
    target_fixture="fleet",
)
def fleet(start_fleet, timeout, depth):
    return start_fleet(
        engines=1,
        engine_slots=1,
        routers=1,
        services=0,
        tokens_per_s=100.0,
        teams={"depot": 1.0},
        limits={"queue_timeout_s": float(timeout), "queue_per_team": depth},
    )


@when(
    parsers.parse(
        "{callers:d} callers of one team each request an answer of {tokens:d} tokens at once"
    )
)
def flood(fleet, ctx, callers, tokens):
    # Requests beyond the queue's depth are refused immediately (429), and queued requests when
    # the queue timeout expires (503). Both refusals say "not_run" with Retry-After, so the engine
    # must never have run these requests.
    url = fleet.routers()[0].url
    outcomes = []
    lock = threading.Lock()

    def send_request() -> None:
        outcome = call_stream(urllib3.PoolManager(retries=False), url, "depot", tokens)
        with lock:
            outcomes.append(outcome)

    threads = [threading.Thread(target=send_request) for _ in range(callers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(60)
    ctx["outcomes"] = outcomes
    ctx["executions"] = fleet.get_json("engine-0", "/admin/stats")["executions"]


@then(
    parsers.parse(
        "the history is consistent, with refusals within {limit:f} seconds "
        "and no wait beyond the queue timeout"
    )
)
def check_request_history(ctx, limit):
    violations = check_history(
        ctx["outcomes"], ctx["executions"], answer_within_s=limit, queue_timeout_s=1.0
    )
    assert not violations, violations


@then("some answers are complete and some requests are refused as not run")
def check_mixed_outcomes(ctx):
    assert any(outcome.ok for outcome in ctx["outcomes"])
    assert any(outcome.error == "not_run" for outcome in ctx["outcomes"])
