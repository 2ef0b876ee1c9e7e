"""Odd input at each place where a router decodes what other processes wrote."""

import time
from types import SimpleNamespace

import msgspec
import pytest

from tests.odd_input import NESTED_JSON, NESTED_MESSAGE, ODD_JSON, answering
from turmerictray.config.load import decode_settings, parse_config
from turmerictray.config.schema import Config, ServiceKind
from turmerictray.core import errors
from turmerictray.core.timer import Tick
from turmerictray.membership.link import PeerLink as GossipLink
from turmerictray.membership.link import _Received
from turmerictray.membership.messages import MemberEntry, PeerMessage, RouterSummary
from turmerictray.orders.replica import ClaimHome
from turmerictray.orders.wire import Sync
from turmerictray.placement.engine import EngineClient
from turmerictray.platform.documents import decode_routing_config, decode_target
from turmerictray.platform.engines import list_cached_parts
from turmerictray.platform.store import StoreClient
from turmerictray.router import watch_load
from turmerictray.router.cache_warmup import fetch_cached_parts
from turmerictray.router.peers import PeerLink
from turmerictray.router.proxy import _cost_tokens
from turmerictray.router.published import PeerDocs, StorePosition
from turmerictray.router.request import read_model_request
from turmerictray.router.watch_config import ConfigWatcher
from turmerictray.router.watch_instances import InstancePoller
from turmerictray.routing.load import TargetInfo
from turmerictray.scheduling.link import SchedulingLink
from turmerictray.scheduling.messages import LeavingSeen

TEXT_READERS = {
    "op/config": (decode_routing_config, errors.ConfigError),
    "target entry": (lambda data: decode_target("i-1", data), errors.ConfigError),
    "configuration": (parse_config, errors.ConfigError),
    "settings": (lambda data: decode_settings(data, Config), errors.SettingsError),
    "caller's body": (lambda data: read_model_request(None, "/", {}, data), errors.CallerError),
}

VALID_CONFIG = b"""{"version": 2, "teams": [{"id": "depot"}], "services": [{"name": "llm",
"kind": "model", "targets": [{"id": "e0", "url": "http://e0", "zone": "madina"}]}]}"""

SINCE = StorePosition(0, 1)
PAGE_READERS = {
    "store list": (lambda url: StoreClient(url).read_all("op/"), errors.StoreUnavailable),
    "store watch": (lambda url: StoreClient(url).watch("op/", SINCE, 0), errors.StoreUnavailable),
    "peer's documents": (PeerDocs().fetch, errors.PeerError),
    "peer's cached parts": (fetch_cached_parts, errors.PeerError),
    "engine's cached parts": (
        lambda url: list_cached_parts(TargetInfo("e1", "llm", url, "z", 8)),
        errors.EngineError,
    ),
    "engine's models": (lambda url: EngineClient().read(f"http://{url}"), errors.EngineError),
}


@pytest.mark.parametrize("data", ODD_JSON)
@pytest.mark.parametrize("reader", TEXT_READERS)
def test_odd_text_is_refused_by_the_error_that_its_reader_expects(reader, data):
    """Guards against a text whose reader fails in place of keeping the last good one."""
    read, error = TEXT_READERS[reader]
    with pytest.raises(error):
        read(data)


@pytest.mark.parametrize("data", ODD_JSON)
@pytest.mark.parametrize("reader", PAGE_READERS)
def test_odd_answer_is_refused_by_the_error_that_its_reader_expects(reader, data):
    """Guards against an answer that stops its reader, or what follows it."""
    read, error = PAGE_READERS[reader]
    with answering(data) as server, pytest.raises(error):
        read(server.address)


def receive_heartbeats(data: bytes) -> None:
    link = SimpleNamespace(_closing=SimpleNamespace(is_set=iter((False, True)).__next__))
    link.sub = SimpleNamespace(recv=lambda: data)
    PeerLink._receive(link)


def with_nested_element(message: msgspec.Struct) -> bytes:
    """Return a message of a later version, with one more element, which is nested deeply."""
    data = msgspec.msgpack.encode(message)
    return bytes([data[0] + 1]) + data[1:] + b"\x91" * 100_000


SENDER = MemberEntry("r2", "z", "tcp://127.0.0.1:1", 1, 1)
GOSSIP = PeerMessage(SENDER, RouterSummary("r2", 1, 0, [], {}, []), [], "")

GOSSIP_LINK = GossipLink("r1", "z", 1, "-", "", [], lambda: None, lambda _: None, lambda *_: None)

MESSAGE_READERS = {
    "heartbeat": receive_heartbeats,
    "gossip": lambda data: GOSSIP_LINK.handle(_Received(data)),
    "scheduling": SchedulingLink("tcp://127.0.0.1:1", lambda message: None)._handle,
    "claims": lambda data: ClaimHome._answer(SimpleNamespace(), data),
}


@pytest.mark.parametrize(
    "data",
    [
        NESTED_MESSAGE,
        with_nested_element(GOSSIP),
        with_nested_element(Sync("r2")),
        with_nested_element(LeavingSeen("s", "e1")),
        b"",
        b"\xc1",
    ],
    ids=range(6),
)
@pytest.mark.parametrize("reader", MESSAGE_READERS)
def test_odd_message_leaves_its_receiver_running(reader, data):
    """Guards against messages of one peer that end all routers which receive them."""
    MESSAGE_READERS[reader](data)


def test_odd_load_report_hides_no_report_of_another_target(monkeypatch):
    """Guards against targets whose load is unknown because of one before them in the list."""
    told = []
    poller = watch_load.LoadPoller(SimpleNamespace(tell=told.append))
    with answering(NESTED_JSON) as odd, answering(b'{"running": 2, "waiting": 1}') as sound:
        targets = [("a", odd.url), ("b", sound.url)]
        monkeypatch.setattr(watch_load, "ask_with_timeout", lambda *_: targets)
        poller.handle(Tick("load", time.monotonic()))
    assert [(report.target, report.busy) for report in told] == [("b", 3)]


@pytest.mark.parametrize("data", ODD_JSON)
def test_odd_instance_list_counts_as_an_unreachable_one(data):
    """Guards against a discovery whose answer its reader neither uses nor reports."""
    listings = []
    with answering(data) as server:
        poller = InstancePoller(server.url, [SimpleNamespace(tell=listings.append)])
        poller.handle(Tick("instances", time.monotonic()))
        assert poller.down
        server.body = b'{"instances": []}'
        poller.handle(Tick("instances", time.monotonic()))
    assert listings and not poller.down


@pytest.mark.parametrize("etag", ['"3"', '"' + "9" * 5000 + '"'])
@pytest.mark.parametrize("data", ODD_JSON)
def test_valid_revision_before_an_odd_one_is_found(data, etag):
    """Guards against a valid configuration that no router uses, as an odd one came after it."""

    def answer(path: str) -> bytes:
        return VALID_CONFIG if "revision=2" in path else data

    applied = SimpleNamespace(tell=lambda message: versions.append(message.cfg.version))
    versions: list[int] = []
    with answering(answer, {"ETag": etag}) as server:
        watcher = ConfigWatcher(server.url, applied, SimpleNamespace(tell=lambda _: None), 0.1)
        watcher._poll()
        server.body, server.headers = VALID_CONFIG.replace(b"2", b"4"), {"ETag": '"4"'}
        watcher._poll()
    assert versions == ([2, 4] if etag == '"3"' else [4])


@pytest.mark.parametrize("usage", [b'{"usage": ' + NESTED_JSON + b"}", b'{"usage": 1e999}'])
def test_odd_usage_is_left_out_of_the_cost(usage):
    """Guards against an answer that its caller has got in full and that counts as failed."""
    request = SimpleNamespace(kind=ServiceKind.MODEL)
    assert _cost_tokens(b"data: " + usage + b"\n\n", request, 7) == 7.0
