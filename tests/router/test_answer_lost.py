"""What a router says when it takes an answer for lost."""

import time

import pytest

from turmerictray.config.routes import EngineSpec, ServiceSpec
from turmerictray.core.ids import NodeId, ServiceName, TargetId, ZoneId
from turmerictray.core.timer import Tick
from turmerictray.router.broker import Broker
from turmerictray.router.text_in_force import RepeatLimits, TextInForce
from turmerictray.routing.load import OpenRead, TargetInfo

LLM, ENGINE = ServiceName("llm"), TargetId("e")


@pytest.fixture
def broker():
    broker = Broker(NodeId("r1"), ZoneId("z"), 1, TextInForce(), RepeatLimits())
    targets = broker.pools.whole(LLM).targets
    targets.set_spec(ServiceSpec(LLM, EngineSpec(64, 100_000)))
    targets.take(TargetInfo(ENGINE, LLM, "h:1", ZoneId("z"), 64))
    return broker


def test_a_lost_answer_is_logged_once_and_frees_its_engine(broker, monkeypatch):
    # The engine's only answer is lost, and its caller waits on. The router believes less of the
    # engine from then on, and whoever asks why finds the line.
    lines = []
    monkeypatch.setattr(
        "turmerictray.router.broker.log_event",
        lambda event, **fields: lines.append((event, fields)),
    )
    load = broker.pools.whole(LLM).targets.loads[ENGINE]
    now = time.monotonic()
    load.sent(7, OpenRead(now - 3.0, 4000, 1500, 0.2))
    broker.on_receive(Tick("queues", now))
    broker.on_receive(Tick("queues", now + 0.1))
    [(event, fields)] = lines
    assert event == "answer_lost"
    assert (fields["target"], fields["sent_ms_ago"], fields["ahead_tokens"]) == (ENGINE, 3000, 1500)
    assert load.own_unread_tokens() == 0
