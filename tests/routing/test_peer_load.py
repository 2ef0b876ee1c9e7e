"""Estimate of an engine's remaining work from peer load reports."""

import pytest

from turmerictray.core.ids import NodeId, ServiceName, TargetId, ZoneId
from turmerictray.routing.load import PeerLoad, PendingPrefill, TargetInfo, TargetLoad
from turmerictray.routing.prefix_cache import PrefixCacheModel

READ_PER_S = 40_000.0


@pytest.fixture
def load():
    info = TargetInfo(TargetId("e"), ServiceName("llm"), "h:1", ZoneId("z"), 64)
    load = TargetLoad(info, PrefixCacheModel(100_000))
    load.peers[NodeId("r1")] = PeerLoad(2, 6000, 10.0)
    return load


def test_engine_keeps_reading_between_peer_reports(load):
    # A peer reports that an engine has 6,000 tokens to read for it, and reports again a quarter of
    # a second later. The engine finishes after 150 ms. Taken at face value, the report would leave
    # it idle for 100 ms although requests wait here.
    assert load.unread_tokens(10.0, READ_PER_S) == pytest.approx(6000, abs=1)
    assert load.unread_tokens(10.1, READ_PER_S) == pytest.approx(2000, abs=1)
    assert load.unread_tokens(10.2, READ_PER_S) == 0


def test_slow_engine_reads_less_between_peer_reports(load):
    load.slowness = 2.0
    assert load.unread_tokens(10.1, READ_PER_S) == pytest.approx(4000, abs=1)


def test_engine_reads_the_requests_of_all_peers_in_sequence(load):
    load.peers[NodeId("r2")] = PeerLoad(1, 3000, 10.05)
    assert load.unread_tokens(10.1, READ_PER_S) == pytest.approx(5000, abs=1)


def test_local_requests_are_known_without_delay(load):
    load.record_sent(1, PendingPrefill(10.0, 1500, 0, 0.1))
    assert load.unread_tokens(10.2, READ_PER_S) == pytest.approx(1500, abs=1)
