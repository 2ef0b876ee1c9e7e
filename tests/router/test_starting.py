"""Requests parsed before a starting router has the configuration of its peers."""

import json
import time

import pytest

from turmerictray.config.load import parse_config
from turmerictray.config.snapshot import ConfigSnapshot
from turmerictray.core.errors import Starting
from turmerictray.core.ids import NodeId, RequestId, ServiceName, TargetId, TeamId
from turmerictray.core.timer import Tick
from turmerictray.fairness.ledger import PeerCounters
from turmerictray.membership.reachability import Reachability
from turmerictray.router.dispatcher import Dispatcher
from turmerictray.router.messages import (
    Admit,
    ConfigApplied,
    Finished,
    PeersProbed,
    PeerSummary,
    Placement,
)

LLM = ServiceName("llm")
DEPOT = TeamId("depot")
PEER_TIMEOUT_S = 60.0


def config(version: int):
    target = {"id": "e0", "url": "http://e0", "zone": "madina", "slots": 1}
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


def test_router_that_started_alone_refuses_as_soon_as_a_newer_peer_is_heard():
    """Guards against serving a known old configuration until the newer one has been fetched."""
    dispatcher = Dispatcher.start(
        NodeId("r0"), 1, ConfigSnapshot(), peer_timeout_s=0.0, expected_peers={"r1"}
    )
    try:
        dispatcher.tell(ConfigApplied(config(1)))
        dispatcher.tell(Tick("expire", time.monotonic() + 1.0))
        assert admit(dispatcher, 1).target == "e0"
        queued = Admit(RequestId("q"), DEPOT, 1.0, Placement(LLM, None), config_version=1)
        dispatcher.tell(queued)
        dispatcher.tell(PeerSummary(PeerCounters("r1", 1, {}), {}, 2))
        with pytest.raises(Starting):
            queued.reply.result(timeout=5)
        with pytest.raises(Starting):
            admit(dispatcher, 1)
        dispatcher.tell(ConfigApplied(config(2)))
        dispatcher.tell(Finished(RequestId("v1"), DEPOT, TargetId("e0"), 1.0, 1.0))
        assert admit(dispatcher, 2).target == "e0"
    finally:
        dispatcher.stop()


def test_router_waits_for_a_silent_peer_that_accepts_connections():
    """Guards against serving an old configuration because a frozen peer sent no heartbeat."""
    dispatcher = Dispatcher.start(
        NodeId("r0"),
        1,
        ConfigSnapshot(),
        peer_timeout_s=1.0,
        expected_peers={"r1"},
        peer_addresses={"r1": "tcp://r1:1"},
        unresponsive_peer_timeout_s=30.0,
    )
    try:
        dispatcher.tell(ConfigApplied(config(1)))
        dispatcher.tell(PeersProbed({"r1": Reachability.ACCEPTS}))
        now = time.monotonic()
        dispatcher.tell(Tick("expire", now + 29.0))
        with pytest.raises(Starting):
            admit(dispatcher, 1)
        dispatcher.tell(Tick("expire", now + 31.0))
        assert admit(dispatcher, 1).target == "e0"
    finally:
        dispatcher.stop()


def test_request_parsed_without_a_version_is_not_admitted():
    """Guards against a request that passes the check because its version is not known."""
    dispatcher = Dispatcher.start(NodeId("r0"), 1, ConfigSnapshot())
    try:
        dispatcher.tell(ConfigApplied(config(1)))
        with pytest.raises(Starting):
            admit(dispatcher, 0)
    finally:
        dispatcher.stop()
