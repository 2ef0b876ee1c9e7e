"""Documents of the store, peers, targets and services that are cut: never read as complete."""

import time

import msgspec
import pytest

from tests.router.cutting_target import CuttingTarget, frame
from turmerictray.core.errors import EngineError, PeerError, StoreUnavailable
from turmerictray.core.ids import ServiceName, TargetId, ZoneId
from turmerictray.core.timer import Tick
from turmerictray.placement.engine import EngineClient
from turmerictray.platform.engines import list_cached_parts
from turmerictray.platform.store import StoreClient
from turmerictray.router import watch_config, watch_load
from turmerictray.router.cache_warmup import fetch_cached_parts
from turmerictray.router.published import PeerDocs, StorePosition
from turmerictray.router.watch_config import ConfigWatcher
from turmerictray.router.watch_instances import InstancePoller
from turmerictray.router.watch_load import LoadPoller
from turmerictray.routing.load import TargetInfo

_FRAMINGS = ["length", "chunks", "none"]
_ERRORS = (EngineError, PeerError, StoreUnavailable)


class _Listener:
    """Stands in for the actor that a poller tells."""

    def __init__(self) -> None:
        self.messages = []

    def tell(self, message: object) -> None:
        self.messages.append(message)


def _read_range(address: str) -> object:
    return StoreClient(address).read_all("x/").items


def _watch(address: str) -> object:
    return StoreClient(address).watch("x/", StorePosition(3, 7), 0.0).items


def _list_parts(address: str) -> object:
    return list_cached_parts(TargetInfo(TargetId("e"), ServiceName("s"), address, ZoneId("z"), 1))


def _poll_instances(address: str) -> object:
    listener = _Listener()
    InstancePoller(f"http://{address}", [listener]).handle(Tick("t", time.monotonic()))
    return listener.messages


def _poll_load(address: str) -> object:
    listener = _Listener()
    poller = LoadPoller(listener)
    poller.handle(Tick("t", time.monotonic()))
    return listener.messages


@pytest.fixture(autouse=True)
def one_target(monkeypatch, target):
    url = f"http://{target.address}"
    monkeypatch.setattr(watch_load, "ask_with_timeout", lambda *_args: [("t", url)])


@pytest.fixture
def target():
    started = CuttingTarget()
    yield started
    started.close()


_ITEMS = [{"key": f"x/{n}", "revision": n, "value": "eA=="} for n in (1, 2)]
READS = {
    "store": (_read_range, {"items": _ITEMS, "store_revision": 9}),
    "watch": (_watch, {"events": _ITEMS, "store_revision": 9}),
    "peer": (
        lambda address: PeerDocs().fetch(address).text_version,
        {"text": "e30=", "text_version": 5, "targets_revision": 4, "targets_era": 3},
    ),
    "cached-parts": (fetch_cached_parts, {"t": [{"part_id": "p", "tokens": 5}]}),
    "engine": (_list_parts, {"held": [["", "p", 5, "m"]]}),
    "models": (
        lambda address: EngineClient().read(f"http://{address}").models,
        {"models": ["m"], "fence": 2},
    ),
    "instances": (_poll_instances, {"instances": [{"id": "t", "state": "live"}]}),
    "load": (_poll_load, {"running": 1, "waiting": 2, "age_s": 0.5}),
}
"""Functions that read a document, and the document."""


def _read(read, target: CuttingTarget) -> object:
    """Return what was read, or nothing."""
    try:
        return read(target.address)
    except _ERRORS:
        return []


@pytest.mark.parametrize("framing", _FRAMINGS)
@pytest.mark.parametrize("name", READS)
def test_no_document_that_is_cut_is_read(target, name, framing):
    """Guards against an entry that is taken for removed as its page was cut before it."""
    read, document = READS[name]
    field, wire = frame(msgspec.json.encode(document), framing)
    head = f"HTTP/1.1 200 OK\r\nStore-Era: 3\r\n{field}\r\n".encode()
    data = head + wire
    for size in range(len(data) + 1):
        target.data = data[:size]
        assert bool(_read(read, target)) == (size == len(data)), (size, target.data[-20:])


class _PagedTarget(CuttingTarget):
    """Sends one page after another, each on a connection of its own."""

    def __init__(self) -> None:
        super().__init__()
        self.pages: list[bytes] = []

    def serve(self, conn) -> None:
        self.data = self.pages.pop(0)
        super().serve(conn)


@pytest.mark.parametrize("framing", _FRAMINGS)
def test_no_later_page_that_is_cut_ends_the_list(framing):
    """Guards against entries that are taken for removed as the page that lists them was cut."""
    pages = []
    for number, has_more in enumerate((True, False), 1):
        page = {"items": _ITEMS[:number], "store_revision": 9, "has_more": has_more}
        field, wire = frame(msgspec.json.encode(page), framing)
        head = f"HTTP/1.1 200 OK\r\nStore-Era: 3\r\nConnection: close\r\n{field}\r\n"
        pages.append(head.encode() + wire)
    store = _PagedTarget()
    for size in range(len(pages[1]) + 1):
        store.pages = [pages[0], pages[1][:size]]
        expected = 3 if size == len(pages[1]) else 0
        assert len(_read(_read_range, store)) == expected, (size, pages[1][:size][-20:])
    store.close()


@pytest.mark.parametrize("framing", _FRAMINGS)
def test_no_configuration_that_is_cut_counts_as_an_invalid_revision(target, framing, monkeypatch):
    """Guards against a router that is told "not modified" of a revision it has never read."""
    monkeypatch.setattr(watch_config, "_BACKOFF_S", (0.0,))
    monkeypatch.setattr(watch_config, "_UNCHANGED_PAUSE_S", 0.0)
    service = {"name": "s", "kind": "plain", "targets": []}
    config = {"version": 1, "services": [service], "teams": [{"id": "a"}]}
    field, wire = frame(msgspec.json.encode(config), framing)
    data = f'HTTP/1.1 200 OK\r\nETag: "1"\r\n{field}\r\n'.encode() + wire
    for size in range(len(data) + 1):
        target.data = data[:size]
        listener = _Listener()
        watcher = ConfigWatcher(f"http://{target.address}", listener, listener, 1.0)
        watcher._poll()
        watcher.http.clear()
        is_whole = size == len(data)
        assert (bool(listener.messages), watcher.last_revision) == (is_whole, is_whole), size
