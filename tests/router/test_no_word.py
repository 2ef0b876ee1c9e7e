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
    # Callers of a flooded router wait 0.3 s past their time and are refused. The scheduler's word
    # was lost or is late; the request stayed in its queue and in the router's list of open calls
    # for ten seconds, where each tick looked at it, and a grant for it had to be given back.
    # Evidence: a router counted 1,876 waiting calls, three times what its threads can hold.
    desk, now = SilentDesk(), time.monotonic()
    bounds = TimeBounds(now, now + 5, now - 0.2)
    envelope = Envelope(RequestId("q"), None, 5.0, None, [])
    llm = ServiceName("llm")
    routed = Routed(7, None, b"", envelope, SimpleNamespace(), llm, None, bounds, 1)
    call = Call(SimpleNamespace(fileno=lambda: 3))
    run = RequestRun(Parts(desk, None, None), routed, None, call, SimpleNamespace())
    with pytest.raises(QueueTimeout):
        run._ask()
    assert [type(msg) for msg in desk.told] == [Ask, Withdraw]
    assert desk.told[1] == Withdraw(7, llm)
