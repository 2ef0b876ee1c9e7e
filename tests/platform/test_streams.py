"""Streams of engines that break, go silent or last too long, and callers that leave."""

import time

import urllib3
from pytest_bdd import parsers, scenarios, then, when

from tests.platform.conftest import wait_for
from turmerictray.platform.standins.caller import PROMPT, make_request

scenarios("features/streams.feature")

_TOLD_S = 0.5


@when(parsers.parse("a caller hangs up after the first event of {target}"))
def hang_up_streaming(deployment, caller_to, ctx, target):
    caller = caller_to(deployment.routers[0])
    caller.send(make_request("POST", target, b"prompt", **PROMPT))
    assert caller.sock.recv(4096)
    caller.close()
    ctx["hung_up_at"] = time.monotonic()


@when(parsers.parse("a caller hangs up while it waits for {target}"))
def hang_up_waiting(deployment, caller_to, ctx, target):
    caller = caller_to(deployment.routers[0])
    caller.send(make_request("POST", target, b"prompt", **PROMPT))
    assert wait_for(lambda: any(w.seen for w in deployment.of_service("llm")))
    caller.close()
    ctx["hung_up_at"] = time.monotonic()


@then("the engine is told within half a second")
def engine_told(deployment):
    # An engine that works on for a caller who is gone takes the time of those who wait.
    seen = [seen for worker in deployment.of_service("llm") for seen in worker.seen]
    assert len(seen) == 1
    assert wait_for(lambda: seen[0].left_early, _TOLD_S)


@then("no engine counts as failing")
def not_failing(deployment):
    # The route's time-out is shorter than the answer; the engine did nothing wrong. Counted as its
    # failure, each long answer would send prompts away from the engine that keeps them.
    status = urllib3.request("GET", f"{deployment.routers[0].admin}/status").json()
    engines = status["services"]["llm"]["targets"].values()
    assert all(engine["failure_rate"] == 0 for engine in engines)


@then("the answer ends early")
def ends_early(ctx):
    assert ctx["answer"].status == 200
    assert not ctx["answer"].whole


@then(parsers.parse("the caller has the events {first:d} to {last:d}"))
def has_events(ctx, first, last):
    assert ctx["answer"].event_ids() == list(range(first, last + 1))


@then(parsers.parse("the stream lasted between {least:g} and {most:g} seconds"))
def lasted(ctx, least, most):
    assert least <= ctx["answer"].took_s <= most, ctx["answer"].took_s
