"""Refusals as "not run", which must not follow an attempt that may have run."""

import json
import time

import pykka
import pytest
import urllib3
from pytest_bdd import given, scenarios, then, when

from turmerictray.config.load import parse_config
from turmerictray.config.schema import ServiceKind
from turmerictray.config.snapshot import ConfigSnapshot
from turmerictray.core.errors import NotSent, OutcomeUnknown, QueueTimeout, TurmerictrayError
from turmerictray.core.ids import RequestId, ServiceName, TargetId, TeamId
from turmerictray.router.answers import error_answer
from turmerictray.router.front import Front
from turmerictray.router.messages import Admit, Grant
from turmerictray.router.proxy import Proxy
from turmerictray.router.request import CallerRequest

scenarios("features/truthful_refusals.feature")

HTTP = urllib3.PoolManager(retries=False)
_BODY = json.dumps({"max_tokens": 5, "messages": [{"role": "user", "content": "plan"}]}).encode()
_CONFIG = parse_config(
    json.dumps(
        {
            "version": 1,
            "services": [
                {
                    "name": "llm",
                    "kind": "model",
                    "targets": [{"id": "e0", "url": "http://e0", "zone": "madina"}],
                }
            ],
            "teams": [{"id": "depot"}],
            "default_team": "depot",
        }
    )
)


class FakeDispatcher(pykka.ThreadingActor):
    """Dispatcher that answers each :class:`Admit` with the next scripted grant or error."""

    def __init__(self, script: list) -> None:
        super().__init__()
        self.script = script

    def on_receive(self, message: object) -> None:
        if not isinstance(message, Admit):
            return
        step = self.script.pop(0)
        if isinstance(step, Exception):
            message.reply.set_exception(step)
        else:
            message.reply.set_result(step)


class FakeUpstream:
    """Connection pool that raises the next scripted error on each call."""

    def __init__(self, errors: list) -> None:
        self.errors = errors

    def open(self, *_args):
        raise self.errors.pop(0)


class FakeGuard:
    """Guard that fails on any use, since idempotent requests must not be claimed."""


@pytest.fixture
def build_proxy():
    def build(grants: list, errors: list) -> Proxy:
        dispatcher = FakeDispatcher.start(grants)
        return Proxy(dispatcher, FakeUpstream(errors), FakeGuard(), "router-0")

    yield build
    pykka.ActorRegistry.stop_all()


def _grant(name: str) -> Grant:
    return Grant(TargetId(name), f"http://{name}", 1)


@given(
    "a proxy whose first attempt fails after sending and whose second times out in the queue",
    target_fixture="proxy",
)
def unknown_then_timeout(build_proxy):
    # The request reaches e0, which may run it, and the connection is lost. The retry waits for
    # another slot until the queue timeout. The queue's refusal says "not run", which is true of
    # the retry only and must not be the answer to the request.
    return build_proxy([_grant("e0"), QueueTimeout("queue_timeout", 2.0)], [OutcomeUnknown("cut")])


@given(
    "a proxy whose first attempt fails after sending and whose second cannot connect",
    target_fixture="proxy",
)
def unknown_then_refused(build_proxy):
    # As above, but the retry's target refuses the connection. The last error is "not sent", while
    # the first attempt may have run.
    return build_proxy(
        [_grant("e0"), _grant("e1")], [OutcomeUnknown("cut"), NotSent("connection refused")]
    )


@given("a proxy that never connects", target_fixture="proxy")
def never_connects(build_proxy):
    return build_proxy([_grant("e0"), _grant("e1")], [NotSent("refused"), NotSent("refused")])


@when("an idempotent request is served")
def serve(proxy, ctx):
    req = CallerRequest(
        req_id=RequestId("r1"),
        team=TeamId("depot"),
        service=ServiceName("llm"),
        kind=ServiceKind.MODEL,
        body=b"{}",
        estimated_cost=10.0,
        prefix_key=None,
        idempotent=True,
        upstream_path="/v1/completions",
        stream=False,
    )
    with pytest.raises(TurmerictrayError) as exc_info:
        proxy.serve(req, _CONFIG)
    answer = error_answer(exc_info.value)
    ctx.update(kind=json.loads(answer.body)["error"]["type"], headers=dict(answer.headers))


@then('the caller receives "outcome unknown" with Retry-After')
def check_unknown_outcome(ctx):
    assert ctx["kind"] == "outcome_unknown"
    assert int(ctx["headers"]["Retry-After"]) >= 1


@then('the caller receives "not run" with Retry-After')
def check_not_run(ctx):
    assert ctx["kind"] == "not_run"
    assert int(ctx["headers"]["Retry-After"]) >= 1


@given("a fleet of 1 router and 1 engine that resets one answer", target_fixture="fleet")
def resetting_engine(start_fleet):
    fleet = start_fleet(
        engines=1, routers=1, services=0, teams={"depot": 1.0}, limits={"queue_timeout_s": 4.0}
    )
    fleet.post_json("engine-0", "/admin/fault", {"mode": "reset", "count": 1})
    return fleet


@when("a caller requests an answer that is not streamed")
def request_answer(fleet, ctx):
    # The connection of the first attempt is reset within the answer, of which the caller has
    # received nothing, so the request may be repeated. There is only one engine: excluding it
    # from the retry would let the caller wait until the queue timeout while the engine is idle.
    started = time.monotonic()
    resp = HTTP.request(
        "POST",
        fleet.routers()[0].url + "/v1/chat/completions",
        body=_BODY,
        headers={"X-Team": "depot", "X-Request-Id": "one"},
        timeout=20.0,
    )
    ctx.update(status=resp.status, doc=json.loads(resp.data), took_s=time.monotonic() - started)


@then("the complete answer arrives within 3 seconds")
def check_complete_in_time(ctx):
    assert ctx["status"] == 200, ctx["doc"]
    content = ctx["doc"]["choices"][0]["message"]["content"]
    assert content == "".join(f"one:{i} " for i in range(5))
    assert ctx["took_s"] < 3.0


@given("a router whose configuration service never answered", target_fixture="front")
def front_without_config(build_proxy):
    proxy = build_proxy([], [])
    return Front(proxy.dispatcher, proxy, ConfigSnapshot(), lambda: None)


@when("a caller sends it a request")
def request_without_config(front, ctx):
    def start_response(status, headers):
        ctx.update(status=int(status.split()[0]), headers=dict(headers))

    environ = {"REQUEST_METHOD": "POST", "PATH_INFO": "/v1/completions", "HTTP_X_TEAM": "depot"}
    ctx["doc"] = json.loads(b"".join(front(environ, start_response)))


@then("the request is refused as not run with Retry-After")
def check_refused_not_run(ctx):
    assert ctx["status"] == 503
    assert ctx["doc"]["error"]["type"] == "not_run"
    assert int(ctx["headers"]["Retry-After"]) >= 1
