"""Refusals are final, prompt, true and say when to come back."""

import threading

import urllib3
from pytest_bdd import given, parsers, scenarios, then, when

from turmerictray.loadtool.client import call_stream
from turmerictray.loadtool.history import check_history

scenarios("features/given_up.feature")


@given(
    parsers.parse(
        "a fleet of 1 router and 1 engine with 1 slot, a queue timeout of "
        "{timeout:d} second and {depth:d} waiting per team"
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
        "{callers:d} callers of one team each ask for an answer of {tokens:d} tokens at once"
    )
)
def flood(fleet, ctx, callers, tokens):
    # Callers past the queue's depth are refused at once (429); those queued past the
    # timeout are given up when it passes (503). Both say not_run and Retry-After and are
    # sent at once; the engine must never have run them.
    url = fleet.routers()[0].url
    outcomes = []
    lock = threading.Lock()

    def one() -> None:
        out = call_stream(urllib3.PoolManager(retries=False), url, "depot", tokens)
        with lock:
            outcomes.append(out)

    threads = [threading.Thread(target=one) for _ in range(callers)]
    for thr in threads:
        thr.start()
    for thr in threads:
        thr.join(60)
    ctx["outcomes"] = outcomes
    ctx["executions"] = fleet.get_json("engine-0", "/admin/stats")["executions"]


@then(
    parsers.parse(
        "the history keeps every promise, with refusals within {limit:f} seconds "
        "and no wait past the timeout"
    )
)
def history_ok(ctx, limit):
    bad = check_history(
        ctx["outcomes"], ctx["executions"], answer_within_s=limit, queue_timeout_s=1.0
    )
    assert not bad, bad


@then("some answers are whole and some are refused as not run")
def mixed(ctx):
    assert any(o.ok for o in ctx["outcomes"])
    assert any(o.error == "not_run" for o in ctx["outcomes"])
