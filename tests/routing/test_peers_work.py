"""What a router takes its peers' word on an engine's work for."""

import pytest

from turmerictray.core.ids import NodeId, ServiceName, TargetId, ZoneId
from turmerictray.routing.kept import KeptParts
from turmerictray.routing.load import OpenRead, PeerLoad, TargetInfo, TargetLoad

READ_PER_S = 40_000.0


@pytest.fixture
def load():
    info = TargetInfo(TargetId("e"), ServiceName("llm"), "h:1", ZoneId("z"), 64)
    load = TargetLoad(info, KeptParts(100_000))
    load.peers[NodeId("r1")] = PeerLoad(2, 6000, 10.0)
    return load


def test_an_engine_reads_on_after_its_peers_have_spoken(load):
    # A peer says that an engine has 6,000 tokens to read for it, and speaks again a quarter of a
    # second later. The engine is done after 150 ms. Taken by the peer's word, it stands idle for
    # 100 ms although requests wait here.
    assert load.unread_tokens(10.0, READ_PER_S) == pytest.approx(6000, abs=1)
    assert load.unread_tokens(10.1, READ_PER_S) == pytest.approx(2000, abs=1)
    assert load.unread_tokens(10.2, READ_PER_S) == 0


def test_a_slow_engine_reads_less_meanwhile(load):
    load.slowness = 2.0
    assert load.unread_tokens(10.1, READ_PER_S) == pytest.approx(4000, abs=1)


def test_an_engine_reads_the_work_of_all_peers_in_turn(load):
    load.peers[NodeId("r2")] = PeerLoad(1, 3000, 10.05)
    assert load.unread_tokens(10.1, READ_PER_S) == pytest.approx(5000, abs=1)


def test_own_work_is_known_without_delay(load):
    load.sent(1, OpenRead(10.0, 1500, 0, 0.1))
    assert load.unread_tokens(10.2, READ_PER_S) == pytest.approx(1500, abs=1)
