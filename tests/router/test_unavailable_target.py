"""Tests for targets that become unavailable between a grant and the send."""

import time
from types import SimpleNamespace

import pytest

from turmerictray.admission.pool_types import Outcome
from turmerictray.admission.time_bounds import TimeBounds
from turmerictray.core.errors import NoTarget
from turmerictray.core.ids import RequestId, ServiceName, TargetId
from turmerictray.router.active_config import ActiveConfig
from turmerictray.router.dialect import Envelope
from turmerictray.router.routed_request import RoutedRequest
from turmerictray.router.run import RequestDependencies, RequestRun
from turmerictray.scheduling.broker_messages import Ask, Settled
from turmerictray.transport.disconnect import CancellableCall

TARGET = TargetId("t")


class ClientOfOneTarget:
    """Placement client that grants one target to the first attempt and nothing to later ones."""

    def __init__(self) -> None:
        self.settled: list[Outcome] = []
        self._targets = [TARGET]

    def tell(self, msg) -> None:
        if isinstance(msg, Settled):
            self.settled.append(msg.outcome)
        elif isinstance(msg, Ask) and self._targets:
            target = SimpleNamespace(id=self._targets.pop(), address="127.0.0.1:1")
            msg.reply.try_set_result(SimpleNamespace(target=target))
        elif isinstance(msg, Ask):
            msg.reply.try_set_exception(NoTarget("no_target", 0.5))


class LeavingDuringConnect:
    """Connection pool whose connection opens just when its target is published as leaving."""

    def __init__(self, active_config: ActiveConfig) -> None:
        self._active_config = active_config
        self.closed: list[TargetId] = []

    def acquire(self, target: TargetId, _address: str, _timeout_s: float):
        self._active_config.unavailable_targets |= {target}
        return SimpleNamespace(close=lambda: self.closed.append(target))


def test_grant_is_given_back_if_its_target_leaves_before_the_send():
    """Guards against a request to a target that was published as leaving after the grant."""
    client, active_config = ClientOfOneTarget(), ActiveConfig()
    pool = LeavingDuringConnect(active_config)
    deps = RequestDependencies(client, None, pool, is_unavailable=active_config.is_unavailable)
    now = time.monotonic()
    routed = RoutedRequest(
        7,
        SimpleNamespace(method="POST", host="h", target="/plan/1"),
        b"",
        Envelope(RequestId("q"), None, 5.0, None, []),
        SimpleNamespace(max_attempts=2, repeatable=True),
        ServiceName("llm"),
        None,
        TimeBounds(now, now + 5, now + 5),
        1,
    )
    call = CancellableCall(SimpleNamespace(fileno=lambda: 3))
    exchange = SimpleNamespace(finish_reading=lambda: None)
    trace = SimpleNamespace(note_granted=lambda granted: None, granted=None, progress=None)
    with pytest.raises(NoTarget):
        RequestRun(deps, routed, exchange, call, trace).run()
    assert client.settled == [Outcome.NOT_RUN]
    assert pool.closed == [TARGET]
