"""Requests parsed before a starting router has the configuration of its peers."""

import json

import pytest

from turmerictray.config.load import parse_config
from turmerictray.config.snapshot import ConfigSnapshot
from turmerictray.core.errors import Starting
from turmerictray.core.ids import NodeId, RequestId, ServiceName, TeamId
from turmerictray.fairness.ledger import PeerCounters
from turmerictray.router.dispatcher import Dispatcher
from turmerictray.router.messages import Admit, ConfigApplied, PeerSummary, Placement

LLM = ServiceName("llm")
DEPOT = TeamId("depot")
PEER_TIMEOUT_S = 60.0


def config(version: int):
    target = {"id": "e0", "url": "http://e0", "zone": "madina"}
    service = {"name": LLM, "kind": "model", "targets": [target]}
    doc = {"version": version, "services": [service], "teams": [{"id": DEPOT}]}
    return parse_config(json.dumps(doc))


def admit(dispatcher, version: int):
    msg = Admit(RequestId(f"v{version}"), DEPOT, 1.0, Placement(LLM, None), config_version=version)
    dispatcher.tell(msg)
    return msg.reply.result(timeout=5)


def test_request_parsed_with_an_outdated_configuration_is_not_admitted():
    """Guards against requests served by the outdated configuration of a restarted router."""
    dispatcher = Dispatcher.start(
        NodeId("r0"), 1, ConfigSnapshot(), peer_timeout_s=PEER_TIMEOUT_S, expected_peers={"r1"}
    )
    try:
        dispatcher.tell(ConfigApplied(config(1)))
        dispatcher.tell(PeerSummary(PeerCounters("r1", 1, {}), {}, 2))
        with pytest.raises(Starting):
            admit(dispatcher, 1)
        dispatcher.tell(ConfigApplied(config(2)))
        with pytest.raises(Starting):
            admit(dispatcher, 1)
        assert admit(dispatcher, 2).target == "e0"
    finally:
        dispatcher.stop()
