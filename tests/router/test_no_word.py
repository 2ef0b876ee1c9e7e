"""A request that nobody answers in time is taken back where it waits."""

import time
from types import SimpleNamespace

import pytest

from turmerictray.admission.patience import TimeBounds
from turmerictray.core.errors import QueueTimeout
from turmerictray.core.ids import RequestId, ServiceName
from turmerictray.router.broker_messages import Ask, Withdraw
from turmerictray.router.dialect import Envelope
from turmerictray.router.routed import Routed
from turmerictray.router.run import Parts, RequestRun
from turmerictray.transport.hangup import Call


class SilentDesk:
    def __init__(self) -> None:
        self.told = []

    def tell(self, msg) -> None:
        self.told.append(msg)


def test_a_request_that_is_given_up_without_a_word_waits_no_longer_anywhere():
    """Guards against requests that stay in queues after their scheduler's word was lost."""
    desk, now = SilentDesk(), time.monotonic()
    bounds = TimeBounds(now, now + 5, now - 0.2)
    envelope = Envelope(RequestId("q"), None, 5.0, None, [])
    llm = ServiceName("llm")
    head = SimpleNamespace(method="POST", host="h", target="/plan/1")
    routed = Routed(7, head, b"", envelope, SimpleNamespace(), llm, None, bounds, 1)
    exchange = SimpleNamespace(finish_reading=lambda: None)
    call = Call(SimpleNamespace(fileno=lambda: 3))
    run = RequestRun(Parts(desk, None, None), routed, exchange, call, SimpleNamespace())
    with pytest.raises(QueueTimeout):
        run._ask()
    assert [type(msg) for msg in desk.told] == [Ask, Withdraw]
    assert desk.told[1] == Withdraw(7, llm)
