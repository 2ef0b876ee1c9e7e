"""Randomised fault-injection runs of a fleet, and the checks of their results."""

from dataclasses import replace

from pytest_bdd import given, scenarios, then, when

from turmerictray.loadtool.chaos import run_chaos
from turmerictray.loadtool.client import Outcome
from turmerictray.loadtool.history import check_config_logs, check_history, check_orders
from turmerictray.loadtool.orders import OrderAnswer, OrderTrial

scenarios("features/chaos.feature")

SEED = 7


@when("a seeded schedule of faults is injected for 15 seconds under load")
def inject_faults(ctx, tmp_path):
    # Callers send streamed calls and orders through routers that are killed, frozen and
    # partitioned, while the configuration service is down or stale and targets break answers. A
    # call may be refused or end with an unknown outcome, but must never get a wrong token, a
    # refusal as not run although it ran, or a second execution of an order.
    ctx["report"] = run_chaos(SEED, 15.0, str(tmp_path))


@then("routers were killed, frozen and partitioned")
def router_faults_injected(ctx):
    assert {"kill_router", "freeze_router", "cut_router"} <= set(ctx["report"].faults)


@then("no guarantee was violated")
def no_violations(ctx):
    assert not ctx["report"].violations, ctx["report"].violations[:5]


@then("most orders were booked and most streamed answers were complete")
def majority_served(ctx):
    report = ctx["report"]
    assert report.booked > report.orders / 2, report
    assert report.whole > report.streams / 2, report


@given("a history with one violation of each checked rule")
def history_with_violations(ctx, tmp_path):
    good = Outcome("s0", "depot", 200, 3, True, "", 0.0, 0.1, 0.2)
    ctx["outcomes"] = [
        good,
        replace(good, req_id="s1", ok=False, tokens=2),
        replace(good, req_id="s2", status=503, ok=False, error="not_run", retry_after="1"),
        replace(good, req_id="s3", status=503, ok=False, error="not_run"),
    ]
    ctx["executions"] = {"s0": 1, "s1": 1, "s2": 1}
    refused = OrderAnswer(503, "not_run")
    ctx["trials"] = [
        OrderTrial("o0", [OrderAnswer(200, "")]),
        OrderTrial("o1", [OrderAnswer(502, "outcome_unknown"), OrderAnswer(200, "")]),
        OrderTrial("o2", [OrderAnswer(200, "")]),
        OrderTrial("o3", [refused, refused]),
    ]
    ctx["order_executions"] = {"o0": 1, "o1": 2, "o3": 1}
    log = tmp_path / "router-9.log"
    log.write_text(
        "ts=a seq=0 event=x\nts=b seq=5 event=config_in_force version=3\n"
        "ts=c seq=6 event=config_in_force version=2\nts=d seq=7 event=invariant_broken reason=r\n"
        "ts=e seq=0 event=x\nts=f seq=4 event=config_in_force version=1\n"
    )
    ctx["log"] = log


@when("the history is checked")
def check(ctx):
    found = check_history(ctx["outcomes"], ctx["executions"])
    found += check_orders(ctx["trials"], ctx["order_executions"])
    found += check_config_logs([ctx["log"]])
    ctx["found"] = {(violation.req_id, violation.rule) for violation in found}


@then("each violation is reported with its rule")
def violations_reported(ctx):
    assert ctx["found"] == {
        ("s1", "own-whole"),
        ("s2", "not-run-true"),
        ("s3", "retry-after"),
        ("o1", "at-most-once"),
        ("o2", "booked-ran"),
        ("o3", "not-run-true"),
        ("router-9", "config-revert"),
        ("router-9", "invariant"),
    }
