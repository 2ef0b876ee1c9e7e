"""Reports of the software versions that began streams to the routers that keep records."""

import random

import pytest

from turmerictray.core.ids import NodeId, ServiceName, SoftwareVersion, StreamKey
from turmerictray.membership.messages import MemberEntry
from turmerictray.routing.streams import StreamVersions, unpack_keys
from turmerictray.scheduling.messages import StreamsBegun
from turmerictray.scheduling.resumptions import Resumptions, TargetsView
from turmerictray.scheduling.stream_reports import StreamReports

LLM = ServiceName("llm")
V1, V2 = SoftwareVersion("v1"), SoftwareVersion("v2")
MIXED, ONLY = TargetsView({V1, V2}, 60.0, True), TargetsView({V1}, 60.0, True)


class Records:
    """Routers that keep records; those of this class receive what is sent to them."""

    def __init__(self, *nodes: str) -> None:
        self.incarnations = dict.fromkeys(nodes, 1)
        self.sent: list[tuple[str, StreamsBegun]] = []
        self.reconnected: list[str] = []
        self.unreachable: set[str] = set()

    def stream_record_holders(self, service: ServiceName) -> list[MemberEntry]:
        return [
            MemberEntry(node, "z", "", incarnation, 20)
            for node, incarnation in self.incarnations.items()
        ]

    def reconnect(self, receiver: MemberEntry) -> None:
        self.reconnected.append(receiver.node)

    def send_streams_begun(self, receiver: MemberEntry, report: StreamsBegun) -> bool:
        if receiver.node in self.unreachable:
            return False
        self.sent.append((receiver.node, report))
        return True

    def streams_of(self, node: str) -> dict[StreamKey, SoftwareVersion]:
        """Return what was sent to a router."""
        return {
            key: SoftwareVersion(version)
            for receiver, report in self.sent
            if receiver == node
            for version, packed in report.streams.items()
            for key in unpack_keys(packed)
        }


class Router:
    """Records of one router, and its reports."""

    def __init__(self, node: str) -> None:
        self.streams = StreamVersions()
        self._reports = StreamReports(NodeId(node))

    def report(self, records: Records, rounds: int = 1) -> None:
        for _ in range(rounds):
            self._reports.send(LLM, self.streams, records)


@pytest.fixture
def streams():
    return {StreamKey(number): random.Random(number).choice([V1, V2]) for number in range(200)}


@pytest.fixture
def router(streams):
    router = Router("a")
    for stream, version in streams.items():
        router.streams.record(stream, version, 0.0)
    return router


def test_routers_that_keep_records_get_the_table_and_then_what_is_new(router, streams):
    records = Records("a", "b")
    router.report(records)
    assert records.streams_of("b") == streams
    assert records.streams_of("a") == {}
    records.sent.clear()
    router.streams.record(StreamKey(999), V2, 1.0)
    router.report(records)
    assert records.streams_of("b") == {StreamKey(999): V2}


def test_a_router_that_starts_gets_the_whole_table(router, streams):
    """Guards against records that die with those to whom they were told."""
    records = Records("a", "b")
    router.report(records)
    records.sent.clear()
    records.incarnations["b"] += 1
    router.report(records)
    assert records.streams_of("b") == streams


def test_the_table_is_not_sent_on_a_connection_to_the_past(router):
    """Guards against a table that is lost, as a loss of power ends no connection."""
    records = Records("a", "b", "c")
    router.report(records, rounds=2)
    assert records.reconnected == []
    records.incarnations["b"] += 1
    router.report(records, rounds=2)
    assert records.reconnected == ["b"]


def test_connections_to_routers_that_have_not_restarted_are_kept():
    """Guards against grants that are lost with a connection as a second version appears."""
    resumptions, records = Resumptions(NodeId("a")), Records("a", "b")
    for now, view in enumerate([MIXED, ONLY, MIXED]):
        resumptions.record(LLM, StreamKey(now), V1, now)
        resumptions.report(lambda _service, view=view: view, records, now)
    assert records.reconnected == []
    assert records.streams_of("b") == {0: V1, 1: V1, 2: V1}


def test_what_others_have_told_is_handed_on(streams):
    """Guards against records that are lost once the router that made them has stopped."""
    keeper, records = Router("b"), Records("b")
    for stream, version in streams.items():
        keeper.streams.merge([stream], version, 0.0)
    keeper.report(records)
    records.incarnations = {"b": 1, "c": 1}
    keeper.report(records)
    assert records.streams_of("c") == streams


def test_a_router_that_stops_hands_its_table_to_those_that_follow(router, streams):
    records = Records("a", "b")
    router.report(records)
    records.incarnations = {"c": 1}
    router.report(records)
    assert records.streams_of("c") == streams


def test_two_routers_send_the_table_to_one_that_joins(streams):
    """Guards against a join that makes hundreds of routers send their tables."""
    routers = [Router(f"r{number}") for number in range(40)]
    records = Records(*(f"r{number}" for number in range(40)))
    for router in routers:
        router.report(records)
        for stream, version in streams.items():
            router.streams.merge([stream], version, 0.0)
    records.incarnations["new"] = 1
    for router in routers:
        router.report(records)
    assert len([node for node, _ in records.sent if node == "new"]) == 2


def test_what_could_not_be_sent_is_sent_later(router, streams):
    records = Records("a", "b", "c")
    router.report(records)
    records.unreachable = {"b", "d"}
    records.incarnations["d"] = 1
    router.streams.record(StreamKey(999), V2, 1.0)
    router.report(records, rounds=3)
    assert StreamKey(999) not in records.streams_of("b")
    records.unreachable = set()
    router.report(records)
    assert records.streams_of("b")[StreamKey(999)] == V2
    assert records.streams_of("d") == {**streams, StreamKey(999): V2}


def test_a_large_table_is_sent_in_parts():
    """Guards against a join that fills the buffers of a link, or the link itself."""
    router, records = Router("a"), Records("a", *(f"r{number}" for number in range(20)))
    keys = [StreamKey(number) for number in range(20_000)]
    router.streams.merge(keys, V1, 0.0)
    router.report(records)
    assert sum(len(report.streams[V1]) for _, report in records.sent) <= 140_000
    router.report(records, rounds=50)
    assert all(len(records.streams_of(f"r{number}")) == 20_000 for number in range(20))


def test_nothing_is_reported_while_there_is_one_version():
    resumptions, records = Resumptions(NodeId("a")), Records("a", "b")
    resumptions.record(LLM, StreamKey(1), V1, 0.0)
    resumptions.report(lambda _service: ONLY, records, 0.0)
    assert not records.sent
    resumptions.report(lambda _service: MIXED, records, 1.0)
    assert records.streams_of("b") == {1: V1}
    records.sent.clear()
    resumptions.report(lambda _service: MIXED, records, 2.0)
    assert not records.sent


def test_reports_are_rarer_with_many_receivers():
    # Hundreds of schedulers that tell each other ten times a second would do little else.
    records = Records("a", *(f"r{number}" for number in range(160)))
    resumptions, sent_at = Resumptions(NodeId("a")), set()
    for step in range(100):
        now = 100 + step * 0.05
        records.sent.clear()
        resumptions.record(LLM, StreamKey(step), V1, now)
        resumptions.report(lambda _service: MIXED, records, now)
        if len(records.sent) >= 160:
            sent_at.add(now)
    assert len(sent_at) == 5
