"""Requests that wait for a service which a new configuration removes."""

import json
import time

import pytest

from turmerictray.config.load import parse_config
from turmerictray.config.snapshot import ConfigSnapshot
from turmerictray.core.errors import NoTarget
from turmerictray.core.ids import NodeId, RequestId, ServiceName, TeamId
from turmerictray.router.dispatcher import Dispatcher
from turmerictray.router.messages import Admit, ConfigApplied, Placement

DEPOT = TeamId("depot")
ANSWER_WITHIN_S = 1.0


def config(version: int, *services: str):
    listed = [
        {
            "name": name,
            "kind": "model",
            "models": [name],
            "targets": [{"id": f"{name}-0", "url": "http://t", "zone": "madina", "slots": 1}],
        }
        for name in services
    ]
    limits = {"queue_timeout_s": 30.0}
    doc = {"version": version, "services": listed, "teams": [{"id": DEPOT}], "limits": limits}
    return parse_config(json.dumps(doc))


def admit(dispatcher, service: str) -> Admit:
    placement = Placement(ServiceName(service), None)
    msg = Admit(RequestId(f"{time.monotonic()}"), DEPOT, 1.0, placement, config_version=1)
    dispatcher.tell(msg)
    return msg


def test_request_that_waits_for_a_removed_service_is_refused_at_once():
    """Guards against a wait until the queue timeout for a service that no longer exists."""
    dispatcher = Dispatcher.start(NodeId("r0"), 1, ConfigSnapshot())
    try:
        dispatcher.tell(ConfigApplied(config(1, "llm", "draw")))
        for service in ("llm", "draw"):
            assert admit(dispatcher, service).reply.result(ANSWER_WITHIN_S)
        removed, kept = admit(dispatcher, "llm"), admit(dispatcher, "draw")
        dispatcher.tell(ConfigApplied(config(2, "draw")))
        with pytest.raises(NoTarget):
            removed.reply.result(ANSWER_WITHIN_S)
        assert not kept.reply.done()
    finally:
        dispatcher.stop()
