"""Retries of accepted requests while a router drains."""

import json

import pytest
from pytest_bdd import given, scenarios, then, when

from turmerictray.config.load import parse_config
from turmerictray.config.snapshot import ConfigSnapshot
from turmerictray.core.errors import Draining
from turmerictray.core.ids import NodeId, RequestId, ServiceName, TeamId
from turmerictray.router.dispatcher import Dispatcher
from turmerictray.router.messages import Admit, ConfigApplied, Drain, Finished, Placement

scenarios("features/drain_retry.feature")

LLM = ServiceName("llm")
DEPOT = TeamId("depot")
CONFIG = parse_config(
    json.dumps(
        {
            "version": 1,
            "services": [
                {
                    "name": LLM,
                    "kind": "model",
                    "targets": [
                        {"id": name, "url": f"http://{name}", "zone": "madina"}
                        for name in ("e0", "e1")
                    ],
                }
            ],
            "teams": [{"id": DEPOT}],
        }
    )
)


def _admit(dispatcher, req_id: str, exclude: frozenset[str] = frozenset(), retry: bool = False):
    msg = Admit(RequestId(req_id), DEPOT, 1.0, Placement(LLM, None, exclude), retry=retry)
    dispatcher.tell(msg)
    return msg.reply.result(timeout=5)


@given("a dispatcher that granted a request its first try", target_fixture="dispatcher")
def granted(ctx):
    dispatcher = Dispatcher.start(NodeId("r0"), 1, ConfigSnapshot())
    dispatcher.tell(ConfigApplied(CONFIG))
    ctx["first"] = _admit(dispatcher, "r1")
    yield dispatcher
    dispatcher.stop()


@when("the drain begins and the try ends without reaching its target")
def drain(dispatcher, ctx):
    # The caller's request was accepted; its target has just crashed. Between its two tries it
    # is neither waiting nor in flight: refused now, a planned stop would have cut it.
    dispatcher.tell(Drain())
    dispatcher.tell(Finished(RequestId("r1"), DEPOT, ctx["first"].target, 1.0, 0.0, reached=False))


@then("the retry is granted the other target")
def retried(dispatcher, ctx):
    grant = _admit(dispatcher, "r1", frozenset({ctx["first"].target}), retry=True)
    assert grant.target != ctx["first"].target


@then("a new request is refused as draining")
def refused(dispatcher):
    with pytest.raises(Draining):
        _admit(dispatcher, "r2")
