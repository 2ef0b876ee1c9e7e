"""Another target for a stream whose own target is silent."""

import time
from collections.abc import Callable
from dataclasses import replace

import pytest

from turmerictray.admission.pool_types import Outcome
from turmerictray.core.errors import ConnectionBroken, NoTarget
from turmerictray.core.ids import NodeId, RequestId, ServiceName, TargetId, TeamId, ZoneId
from turmerictray.core.reply import Reply
from turmerictray.router import take_up
from turmerictray.router.active_config import ActiveConfig, RetryLimits
from turmerictray.router.take_up import TakeUp
from turmerictray.routing.load import TargetInfo
from turmerictray.scheduling.broker import Broker
from turmerictray.scheduling.broker_messages import (
    Ask,
    Granted,
    Settled,
    TargetsListed,
    Withdraw,
)

LLM = ServiceName("llm")
CALL_ID = 7
OTHER = Granted(TargetInfo(TargetId("other"), LLM, "10.0.0.2:80", ZoneId("z"), 8), 0.1, 0, 0)

Answer = Callable[[Reply], object]


def _ignore(_reply: Reply) -> None:
    """Leave a request in the queue."""


def _refuse(reply: Reply) -> None:
    reply.try_set_exception(NoTarget("no_target_of_version", 0.5))


def _grant(reply: Reply) -> None:
    reply.try_set_result(OTHER)


class _Client:
    """A placement client with one answer for each request."""

    def __init__(self, *answers: Answer) -> None:
        self.asks: list[Ask] = []
        self.others: list[object] = []
        self._answers = list(answers)

    def tell(self, msg: object) -> None:
        if isinstance(msg, Ask):
            self.asks.append(msg)
            self._answers.pop(0)(msg.reply)
        else:
            self.others.append(msg)


class _SilentConnection:
    """A connection that waits a given number of times in vain before it has data or breaks."""

    def __init__(self, silent_waits: float, on_data: Callable[[], None] = lambda: None) -> None:
        self._left = silent_waits
        self._on_data = on_data

    def wait_for_data(self, deadline: float) -> bool:
        assert deadline <= time.monotonic() + 1.0
        self._left -= 1
        if self._left >= 0:
            return False
        self._on_data()
        return True


def _find(client: _Client, conn: _SilentConnection, left_s: float = 5.0) -> Granted | None:
    deadline = time.monotonic() + left_s

    def make_ask(reply: Reply) -> Ask:
        return Ask(CALL_ID, RequestId("q"), TeamId("t"), LLM, 1.0, None, deadline, reply)

    return TakeUp(client, make_ask, deadline).find(conn)


def test_silent_target_is_left_for_one_that_is_granted():
    client = _Client(_grant)
    assert _find(client, _SilentConnection(9)) is OTHER
    assert not client.others


def test_stream_stays_at_a_target_that_goes_on_while_all_others_refuse():
    """Guards against a stream that is cut as no other target may take it up."""
    client = _Client(_refuse, _refuse, _refuse)
    assert _find(client, _SilentConnection(5)) is None
    assert len(client.asks) == 3
    assert not client.others


def test_silent_stream_that_no_target_takes_up_leaves_the_retry_budget_as_it_is():
    """Guards against silent streams that use up the budget although nothing of them is sent."""
    broker = Broker(NodeId("r1"), ZoneId("z"), 1, ActiveConfig(), RetryLimits())
    broker.on_receive(TargetsListed([OTHER.target]))
    asks = []

    def refuse(reply: Reply) -> None:
        ask = replace(client.asks[-1], exclude=frozenset({OTHER.target.id}), repeat=True)
        asks.append(broker.on_receive(replace(ask, retry=True, reply=reply)))

    client = _Client(refuse, refuse, refuse)
    assert _find(client, _SilentConnection(5)) is None
    assert len(asks) == 3
    assert not broker.pools.unsharded(LLM).budget._retries


def test_target_is_found_that_may_take_the_stream_up_later():
    """Guards against a silent stream that stays at a dead target after one refusal."""
    assert _find(_Client(_refuse, _refuse, _grant), _SilentConnection(9)) is OTHER


def test_request_is_withdrawn_if_the_silent_target_goes_on():
    """Guards against a target that is granted to a stream that needs none."""
    client = _Client(_ignore)
    assert _find(client, _SilentConnection(3)) is None
    assert client.others == [Withdraw(CALL_ID, LLM)]
    assert not client.asks[0].reply.try_set_result(OTHER)


def test_target_that_is_granted_as_the_silent_one_goes_on_is_given_back():
    """Guards against a slot that is lost for good."""
    client = _Client(_ignore)
    conn = _SilentConnection(3, on_data=lambda: _grant(client.asks[0].reply))
    assert _find(client, conn) is None
    assert client.others == [Settled(CALL_ID, LLM, OTHER.target.id, Outcome.NOT_RUN, 0.0)]


def test_request_is_withdrawn_if_the_silent_connection_breaks():
    """Guards against a request that stays in the queue after its stream was given up."""

    def break_off() -> None:
        raise ConnectionBroken("reset")

    client = _Client(_ignore)
    with pytest.raises(ConnectionBroken):
        _find(client, _SilentConnection(3, break_off))
    assert client.others == [Withdraw(CALL_ID, LLM)]


def test_search_ends_at_the_deadline(monkeypatch):
    """Guards against a request for a target after its answer's deadline."""
    monkeypatch.setattr(take_up, "_POLL_S", 0.001)
    client = _Client(_ignore)
    assert _find(client, _SilentConnection(float("inf")), left_s=0.1) is None
    assert client.others == [Withdraw(CALL_ID, LLM)]
