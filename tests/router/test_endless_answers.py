"""Answers without end: given up by the deadline, with bounded memory, and no proof of a crash."""

import time
import tracemalloc

import pytest

from tests.endless_target import FORMS, EndlessTarget
from tests.platform.conftest import wait_for
from tests.router.test_cut_answers import relay
from turmerictray.core.errors import (
    ConnectionBroken,
    EngineError,
    OutcomeUnknown,
    PeerError,
    StoreUnavailable,
)
from turmerictray.core.ids import ServiceName, TargetId, ZoneId
from turmerictray.platform.engines import list_cached_parts
from turmerictray.platform.store import StoreClient
from turmerictray.router.cache_warmup import fetch_cached_parts
from turmerictray.router.published import PeerDocs
from turmerictray.router.upstream import Upstream
from turmerictray.routing.load import TargetInfo
from turmerictray.transport.held_bytes import HELD_ANSWERS, MAX_ANSWER_BYTES, HeldBytes

DEADLINE_S = 0.4
SLACK_S = 0.3
MAX_MEMORY_BYTES = 40 << 20
"""Twice the largest answer that is held, and as much again for what is read."""


@pytest.fixture(params=[False, True], ids=["fast", "drips"])
def start(request):
    started = []

    def start_target(form: str) -> EndlessTarget:
        started.append(EndlessTarget(form, request.param))
        return started[-1]

    yield start_target
    for target in started:
        target.close()


@pytest.mark.parametrize("form", FORMS)
def test_endless_answer_is_given_up_by_the_deadline(start, form):
    """Guards against a caller without an answer, and a connection that stays open as long."""
    target = start(form)
    begun_at = time.monotonic()
    tracemalloc.start()
    with pytest.raises(OutcomeUnknown) as caught:
        relay(target, DEADLINE_S, raises=True)
    peak_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    # Sound requests would count as suspects for what a faulty target sends.
    assert not isinstance(caught.value, ConnectionBroken)
    assert time.monotonic() - begun_at < DEADLINE_S + SLACK_S
    assert peak_bytes < MAX_MEMORY_BYTES
    assert HELD_ANSWERS.total_bytes() == 0
    assert wait_for(lambda: target.open_count == 0)


def call_engine(address: str) -> None:
    list_cached_parts(TargetInfo(TargetId("e"), ServiceName("s"), address, ZoneId("z"), 1))


def call_upstream(address: str) -> None:
    upstream, url = Upstream(), f"http://{address}/"
    upstream.read(upstream.open(url, b"", {}, 0.5, 0.5), url)


CALLS = {
    "engine": (call_engine, EngineError),
    "peer's documents": (lambda address: PeerDocs().fetch(address), PeerError),
    "peer's cached parts": (fetch_cached_parts, PeerError),
    "store": (lambda address: StoreClient(address).read_all("x/"), StoreUnavailable),
    "own interface": (call_upstream, OutcomeUnknown),
}


CALL_FORMS = ["interim answers", "trailer lines", "body with a length"]


@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize(
    "form",
    ["status line", "interim answers", "header lines", "trailer lines", "body with a length"],
)
def test_endless_answer_of_any_peer_is_given_up(start, call, form):
    """Guards against threads that read a peer, an engine or the store without end."""
    function, error = CALLS[call]
    target = start(form)
    begun_at = time.monotonic()
    with pytest.raises(error):
        function(target.address)
    assert time.monotonic() - begun_at < 2.0 + 2 * SLACK_S
    assert wait_for(lambda: target.open_count == 0)


def test_answers_share_a_bound_that_small_ones_do_not_meet():
    """Guards against answers without end that keep all others from being served."""
    held = HeldBytes(max_total_bytes=10 << 20, max_body_bytes=MAX_ANSWER_BYTES)
    assert held.resize(0, 6 << 20)
    assert not held.resize(0, 5 << 20)
    assert held.resize(0, 60 << 10)
    assert not held.resize(6 << 20, 9 << 20)
    assert held.total_bytes() == 0
    assert held.resize(0, 7 << 20)
    assert held.resize(7 << 20, 0)
    assert held.total_bytes() == 0
