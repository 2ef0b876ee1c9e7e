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
    placement = Placement(LLM, None, exclude)
    msg = Admit(RequestId(req_id), DEPOT, 1.0, placement, retry=retry, config_version=1)
    dispatcher.tell(msg)
    return msg.reply.result(timeout=5)


@given("a dispatcher that granted a slot to a request's first attempt", target_fixture="dispatcher")
def dispatcher_with_grant(ctx):
    dispatcher = Dispatcher.start(NodeId("r0"), 1, ConfigSnapshot())
    dispatcher.tell(ConfigApplied(CONFIG))
    ctx["first_grant"] = _admit(dispatcher, "r1")
    yield dispatcher
    dispatcher.stop()


@when("the drain begins and the attempt ends without reaching its target")
def drain(dispatcher, ctx):
    # The target of an accepted request has just crashed. Between its two attempts the request is
    # neither queued nor in flight. Refusing its retry would lose it because of a planned stop.
    dispatcher.tell(Drain())
    dispatcher.tell(
        Finished(RequestId("r1"), DEPOT, ctx["first_grant"].target, 1.0, 0.0, target_reached=False)
    )


@then("the retry is granted a slot on the other target")
def check_retry_granted(dispatcher, ctx):
    grant = _admit(dispatcher, "r1", frozenset({ctx["first_grant"].target}), retry=True)
    assert grant.target != ctx["first_grant"].target


@then("a new request is refused as draining")
def check_new_request_refused(dispatcher):
    with pytest.raises(Draining):
        _admit(dispatcher, "r2")
