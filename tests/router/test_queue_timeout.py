"""The queue timeout holds even when the router's threads are delayed."""

import json
import time
from types import SimpleNamespace

import pytest

from turmerictray.config.load import parse_config
from turmerictray.config.schema import ServiceKind
from turmerictray.config.snapshot import ConfigSnapshot
from turmerictray.core import metrics
from turmerictray.core.errors import QueueTimeout
from turmerictray.core.ids import NodeId, RequestId, ServiceName, TargetId, TeamId
from turmerictray.fairness.ledger import PeerCounters
from turmerictray.router.dispatcher import Dispatcher
from turmerictray.router.messages import (
    Admit,
    ConfigApplied,
    Finished,
    Grant,
    PeerSummary,
    Placement,
)
from turmerictray.router.proxy import Proxy
from turmerictray.router.request import CallerRequest

LLM, DEPOT, TARGET = ServiceName("llm"), TeamId("depot"), TargetId("e0")
TIMEOUT_S = 0.2


def config():
    target = {"id": TARGET, "url": "http://e0", "zone": "madina", "slots": 1}
    service = {"name": LLM, "kind": "model", "targets": [target]}
    limits = {"queue_timeout_s": TIMEOUT_S}
    doc = {"version": 1, "services": [service], "teams": [{"id": DEPOT}], "limits": limits}
    return parse_config(json.dumps(doc))


def finished(req: str) -> Finished:
    return Finished(RequestId(req), DEPOT, TARGET, 1.0, 1.0)


@pytest.fixture
def dispatcher():
    """A ready dispatcher that receives no timer ticks."""
    ref = Dispatcher.start(
        NodeId("r0"), 1, ConfigSnapshot(), peer_timeout_s=60.0, expected_peers={"r1"}
    )
    ref.tell(ConfigApplied(config()))
    ref.tell(PeerSummary(PeerCounters("r1", 1, {}), {}, 1))
    yield ref
    ref.stop()


def admit(dispatcher, req: str, arrived: float | None = None) -> Admit:
    arrived = time.monotonic() if arrived is None else arrived
    msg = Admit(RequestId(req), DEPOT, 1.0, Placement(LLM, None), config_version=1, arrived=arrived)
    dispatcher.tell(msg)
    return msg


def test_free_slot_is_not_granted_to_a_timed_out_request(dispatcher):
    """Guards against a grant between a request's timeout and the tick that expires requests."""
    assert admit(dispatcher, "first").reply.result(5).target == TARGET
    timed_out = admit(dispatcher, "late")
    time.sleep(TIMEOUT_S + 0.1)
    in_time = admit(dispatcher, "in_time")
    dispatcher.tell(finished("first"))
    with pytest.raises(QueueTimeout):
        timed_out.reply.result(5)
    assert in_time.reply.result(5).target == TARGET


def test_timeout_starts_when_the_request_arrives(dispatcher):
    """Guards against a timeout that excludes the wait in the dispatcher's mailbox."""
    msg = admit(dispatcher, "old", arrived=time.monotonic() - TIMEOUT_S - 0.01)
    with pytest.raises(QueueTimeout):
        msg.reply.result(5)


class DelayedThreadDispatcher:
    """Dispatcher that grants in time but delays the requesting thread beyond the timeout."""

    def __init__(self) -> None:
        self.received = []

    def tell(self, msg: object) -> None:
        self.received.append(msg)
        if isinstance(msg, Admit):
            msg.reply.try_set_result(Grant(TARGET, "http://e0", 1))
            time.sleep(TIMEOUT_S + 0.05)


def test_grant_seen_after_the_timeout_is_released():
    """Guards against a request that is sent after its timeout by a delayed thread."""
    dispatcher = DelayedThreadDispatcher()
    proxy = Proxy(dispatcher, upstream=None, guard=None, node="r0")
    req = CallerRequest(
        RequestId("q"), DEPOT, LLM, ServiceKind.MODEL, b"{}", 1.0, None, True, "/", False
    )
    with pytest.raises(QueueTimeout):
        proxy.serve(req, config())
    assert dispatcher.received[-1] == Finished(RequestId("q"), DEPOT, TARGET, 1.0, 0.0, True)


def test_refusal_because_the_dispatcher_stalls_is_counted(monkeypatch):
    """Guards against refusals that are missing from the metrics while the dispatcher stalls."""
    monkeypatch.setattr("turmerictray.router.proxy._GRANT_MARGIN_S", 0.0)
    refused = metrics.REQUESTS.labels(DEPOT, "refused")
    before = refused._value.get()
    proxy = Proxy(SimpleNamespace(tell=lambda msg: None), upstream=None, guard=None, node="r0")
    req = CallerRequest(
        RequestId("q"), DEPOT, LLM, ServiceKind.MODEL, b"{}", 1.0, None, True, "/", False
    )
    with pytest.raises(QueueTimeout):
        proxy.serve(req, config())
    assert refused._value.get() == before + 1
