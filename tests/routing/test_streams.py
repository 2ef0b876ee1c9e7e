"""Records of the software versions that began streams."""

import tracemalloc

from hypothesis import given
from hypothesis import strategies as st

from turmerictray.core.ids import RequestId, ServiceName, SoftwareVersion, StreamKey, TeamId
from turmerictray.routing.streams import (
    RecentVersions,
    StreamVersions,
    pack_keys,
    stream_key,
    uniform_draw,
    unpack_keys,
)

V1, V2 = SoftwareVersion("v1"), SoftwareVersion("v2")
KEYS = st.integers(0, 2**64 - 1).map(StreamKey)

_STEPS = st.lists(
    st.tuples(st.floats(0, 20), st.integers(0, 5), st.sampled_from([V1, V2, None])), max_size=60
)
"""Seconds since the step before, a stream, and the version that began it; None to look it up."""


@given(_STEPS)
def test_a_stream_is_found_at_its_version_or_not_at_all(steps):
    streams, last, now = StreamVersions(), {}, 0.0
    for gap_s, key, version in steps:
        now += gap_s
        if version is not None:
            streams.record(StreamKey(key), version, now)
            last[key] = (version, now)
            continue
        expected, recorded_at = last.get(key, (None, now))
        found = streams.find(StreamKey(key), now)
        assert found in (expected, None)
        if now - recorded_at < 15:
            assert found == expected
        if now - recorded_at > 30:
            assert found is None


def test_new_streams_are_taken_once():
    streams = StreamVersions()
    for number in range(5):
        streams.record(StreamKey(number), V1, 0.0)
    streams.merge([StreamKey(9)], V2, 0.0)
    assert streams.take_new(3) == [0, 1, 2]
    assert streams.take_new(3) == [3, 4]
    streams.record(StreamKey(5), V1, 0.0)
    assert streams.take_new(0) == []
    assert streams.take_new(3) == []


@given(st.lists(KEYS, max_size=20))
def test_keys_survive_a_message(keys):
    assert unpack_keys(pack_keys(keys)) == keys
    assert unpack_keys(pack_keys(keys) + b"\0\0\0") == keys


def test_routers_that_repeat_each_others_reports_do_not_keep_a_version_forever():
    # Each report arrived later than it was made, so that the version never ran out.
    routers = [RecentVersions(), RecentVersions()]
    routers[0].note_gone(V1, 0.0)
    now = 0.0
    while now < 40.0:
        now += 0.25
        for sender, receiver in (routers, reversed(routers)):
            for version, gone_at in sender.gone(now).items():
                receiver.note_gone(version, gone_at + 0.3)
    assert not any(router.current(now) for router in routers)


def test_key_depends_on_team_service_and_request():
    teams = [TeamId("a"), TeamId("ab")]
    services = [ServiceName("c"), ServiceName("bc")]
    requests = [RequestId("d"), RequestId("")]
    keys = {stream_key(t, s, r) for t in teams for s in services for r in requests}
    assert len(keys) == 8


def test_requests_are_drawn_uniformly_and_alike_everywhere():
    # A stream of a route with two services was taken up at the other one, by a new random draw.
    draws = sorted(uniform_draw(RequestId(f"{number:016x}")) for number in range(2000))
    assert all(abs(draw - rank / 2000) < 0.05 for rank, draw in enumerate(draws))
    assert uniform_draw(RequestId("a")) == uniform_draw(RequestId("a"))
    assert 0 <= draws[0] and draws[-1] < 1


def test_records_are_bounded_at_5000_streams_a_second():
    # Each record takes under 200 bytes, so that they fit beside a router's other state.
    streams = StreamVersions()
    tracemalloc.start()
    for number in range(300_000):
        streams.record(StreamKey(number * 2**40), V1, number / 5000)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert 75_000 <= len(streams) <= 150_000
    assert used < 200 * len(streams)


def test_a_version_counts_until_its_streams_are_over():
    versions = RecentVersions()
    for version in (V1, V1, V2):
        versions.add(version)
    versions.remove(V1, 10.0)
    assert versions.current(100.0) == {V1, V2}
    versions.remove(V1, 100.0)
    assert versions.current(129.0) == {V1, V2}
    assert versions.current(131.0) == {V2}
    versions.add(V1)
    assert versions.current(131.0) == {V1, V2}
