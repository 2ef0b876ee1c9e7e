"""Tests for requests that were routed with a configuration that turned out to be outdated."""

import time
from types import SimpleNamespace

import pytest

from tests.router.test_front_capacity import FakeExchange, FakeRun
from turmerictray.admission.pool_types import Outcome
from turmerictray.admission.time_bounds import TimeBounds
from turmerictray.core.errors import Starting
from turmerictray.core.ids import RequestId, ServiceName
from turmerictray.router.active_config import ActiveConfig
from turmerictray.router.dialect import Envelope
from turmerictray.router.flow import RequestFlow
from turmerictray.router.routed_request import RoutedRequest
from turmerictray.router.run import RequestDependencies, RequestRun
from turmerictray.scheduling.broker_messages import Ask, Settled
from turmerictray.transport.disconnect import CancellableCall, DisconnectMonitor

LLM = ServiceName("llm")


def config(version: int, route=None):
    return SimpleNamespace(match=lambda host, path: route, keys_needed=False, version=version)


class CatchingUp:
    """Active configuration that is replaced while a request checks whether it may be served."""

    newest_heard = 0

    def __init__(self, old, new) -> None:
        self.current = old
        self._new = new

    @property
    def caught_up(self) -> bool:
        self.current = self._new
        return True


def test_request_is_routed_with_the_configuration_after_the_start(monkeypatch):
    """Guards against routing by what a starting router read before it had caught up."""
    route = SimpleNamespace(
        service_for=lambda draw: "s", public=True, timeout_s=1.0, objective_s=0.5, name="r"
    )
    monkeypatch.setattr("turmerictray.router.flow.RequestRun", FakeRun)
    dialect = SimpleNamespace(read=lambda head: Envelope(RequestId("r"), None, None, None, []))
    deps = RequestDependencies(placement_client=None, dialect=dialect, pool=None)
    active_config = CatchingUp(config(1, route), config(2))
    exchange = FakeExchange("/plain")
    RequestFlow(deps, active_config, DisconnectMonitor(), threads=20).handle(exchange)
    assert exchange.status == 404


def test_older_version_than_at_the_end_of_the_start_is_outdated():
    """Guards against a request that waited while the router stopped serving and caught up."""
    active_config = ActiveConfig()
    assert active_config.is_outdated(1)
    active_config.current = config(1)
    active_config.set_startup(may_serve=True, confirmed=False)
    assert not active_config.is_outdated(1)
    active_config.set_startup(may_serve=False, confirmed=False)
    assert active_config.is_outdated(1)
    active_config.current = config(3)
    active_config.set_startup(may_serve=True, confirmed=True)
    assert active_config.is_outdated(2) and not active_config.is_outdated(3)


class GrantingClient:
    """Placement client that grants a target at once."""

    def __init__(self) -> None:
        self.settled = []

    def tell(self, msg) -> None:
        if isinstance(msg, Ask):
            msg.reply.try_set_result(SimpleNamespace(target=SimpleNamespace(id="t")))
        elif isinstance(msg, Settled):
            self.settled.append(msg.outcome)


def test_granted_request_with_outdated_routing_is_not_sent():
    """Guards against a queued request that is sent by a route that no longer exists."""
    client, now = GrantingClient(), time.monotonic()
    bounds = TimeBounds(now, now + 5, now + 5)
    head = SimpleNamespace(method="POST", host="h", target="/plan/1")
    envelope = Envelope(RequestId("q"), None, 5.0, None, [])
    routed = RoutedRequest(
        7, head, b"", envelope, SimpleNamespace(max_attempts=2), LLM, None, bounds, 1
    )
    call = CancellableCall(SimpleNamespace(fileno=lambda: 3))
    exchange = SimpleNamespace(finish_reading=lambda: None)
    deps = RequestDependencies(client, None, None, is_outdated=lambda version: version < 2)
    trace = SimpleNamespace(note_granted=lambda granted: None)
    with pytest.raises(Starting):
        RequestRun(deps, routed, exchange, call, trace).run()
    assert client.settled == [Outcome.NOT_RUN]
