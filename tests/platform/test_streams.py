"""Streams that break, stall or last too long, and callers that disconnect."""

import socket
import time

import urllib3
from pytest_bdd import given, parsers, scenarios, then, when

from tests.platform.conftest import wait_for
from turmerictray.loadtool.relay import Network
from turmerictray.platform.standins.caller import PROMPT_HEADERS, make_request

scenarios("features/streams.feature")

_DISCONNECT_NOTICE_S = 0.5
_FIRST_EVENT_S = 0.5
"""Time by which a stream's first event has arrived."""


@when(parsers.parse("a caller disconnects after the first event of {target}"))
def disconnect_during_stream(deployment, caller_to, ctx, target):
    caller = caller_to(deployment.routers[0])
    caller.send(make_request("POST", target, b"prompt", **PROMPT_HEADERS))
    assert caller.sock.recv(4096)
    caller.close()
    ctx["disconnected_at"] = time.monotonic()


@given("a deployment with engines behind a relay that stays", target_fixture="deployment")
def deployment_behind_relays(start_deployment):
    deployment = start_deployment(routers=1, network=Network())
    for worker in deployment.of_service("llm"):
        worker.before_exit = lambda: None
    return deployment


@given("streams without length or chunks")
def unframed_streams(deployment):
    for worker in deployment.of_service("llm"):
        worker.behaviour.is_chunked = False


@when(parsers.parse("a caller of {target} closes its sending side after the first event"))
def half_close_during_stream(deployment, caller_to, ctx, target):
    caller = caller_to(deployment.routers[0])
    caller.send(make_request("POST", target, b"prompt", **PROMPT_HEADERS))
    time.sleep(_FIRST_EVENT_S)
    caller.sock.shutdown(socket.SHUT_WR)
    ctx["answer"] = caller.read()


@when(parsers.parse("a caller disconnects while it waits for {target}"))
def disconnect_while_waiting(deployment, caller_to, ctx, target):
    caller = caller_to(deployment.routers[0])
    caller.send(make_request("POST", target, b"prompt", **PROMPT_HEADERS))
    assert wait_for(lambda: any(w.received_requests for w in deployment.of_service("llm")))
    caller.close()
    ctx["disconnected_at"] = time.monotonic()


@then("the request to the engine is cancelled within half a second")
def engine_request_cancelled(deployment):
    # An engine that keeps working for a disconnected caller delays the requests that wait for it.
    seen = [seen for worker in deployment.of_service("llm") for seen in worker.received_requests]
    assert len(seen) == 1
    assert wait_for(lambda: seen[0].client_disconnected, _DISCONNECT_NOTICE_S)


@then("no engine failure is recorded")
def no_failure_recorded(deployment):
    # The answer takes longer than the route's timeout, which is not a failure of the engine.
    # Otherwise each long answer would divert prompts from the engine that has them cached.
    status = urllib3.request("GET", f"{deployment.routers[0].admin_url}/status").json()
    engines = status["services"]["llm"]["targets"].values()
    assert all(engine["failure_rate"] == 0 for engine in engines)


@then("the answer is truncated")
def answer_is_truncated(ctx):
    assert ctx["answer"].status == 200
    assert not ctx["answer"].complete


@then(parsers.parse("the log says {fields}"))
def log_says(deployment, fields):
    log = deployment.routers[0].log_path
    assert wait_for(lambda: f" {fields} " in log.read_text())


@then(parsers.parse("the caller received the events {first:d} to {last:d}"))
def received_events(ctx, first, last):
    assert ctx["answer"].event_ids() == list(range(first, last + 1))


@then(parsers.parse("the stream lasted between {min_s:g} and {max_s:g} seconds"))
def stream_lasted(ctx, min_s, max_s):
    assert min_s <= ctx["answer"].elapsed_s <= max_s, ctx["answer"].elapsed_s
