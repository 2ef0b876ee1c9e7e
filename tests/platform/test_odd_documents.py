"""Odd documents among those that operators, targets and peers hand on."""

import json

import msgspec
import pytest
from loguru import logger

from tests.odd_input import ODD_JSON, answering
from tests.platform.test_entries import BAD_VALUES, NESTED_TOO_DEEPLY, make_item
from turmerictray.core.errors import PeerError
from turmerictray.platform.sources import OperatorSource, TargetSource
from turmerictray.platform.standins.local import default_config
from turmerictray.platform.store import Item, Snapshot
from turmerictray.router.published import (
    PeerDocs,
    PublishedCopy,
    PublishedEntry,
    StorePosition,
)
from turmerictray.router.store_readers import StoreReaderSelection
from turmerictray.scheduling.broker_messages import TargetsListed, TextArrived, ZonesEvacuated


class Broker:
    """Keeps the messages that it is told."""

    def __init__(self) -> None:
        self.told: list = []

    def tell(self, message: object) -> None:
        self.told.append(message)

    def versions(self) -> list[int]:
        return [message.config.version for message in self.told if isinstance(message, TextArrived)]


def pos(revision: int) -> StorePosition:
    return StorePosition(0, revision)


@pytest.fixture
def broker():
    return Broker()


@pytest.fixture
def lines():
    """Return the list of log lines, to which later ones are added."""
    found: list[str] = []
    sink = logger.add(found.append, format="{message}")
    yield found
    logger.remove(sink)


def make_source(kind, broker):
    copy = PublishedCopy()
    return kind("127.0.0.1:1", StoreReaderSelection("r1", "z1"), broker, copy), copy


def changed(key: str, value: bytes, revision: int) -> Snapshot:
    return Snapshot([Item(key, value, pos(revision))], pos(revision))


def text(version: int, **changes: object) -> bytes:
    return json.dumps(default_config(version, **changes)).encode()


ODD_TEXTS = [
    *ODD_JSON,
    b"",
    text(2)[:-1],
    text(2)[:-1] + b', "more": ' + b"[" * 100_000,
    text(2).replace(b'"version": 2', b'"version": 1e999'),
    text(2).replace(b'"version": 2', b'"version": ' + b"9" * 5000),
    text(-1),
    text(0),
    text(2, routes={}),
    text(2, tenants=[[]]),
]


@pytest.mark.parametrize("odd", ODD_TEXTS, ids=range(len(ODD_TEXTS)))
def test_odd_text_is_refused_and_the_next_one_is_in_force(broker, lines, odd):
    """Guards against a router that loses its last good configuration, or follows no other."""
    source, copy = make_source(OperatorSource, broker)
    source._apply_snapshot(changed("op/config", text(1), 1))
    source._apply_changes(changed("op/config", odd, 2))
    assert broker.versions() == [1] and copy.docs().text_version == 1
    assert any("event=text_refused" in line and "place=" not in line for line in lines)
    source._apply_changes(changed("op/config", text(3), 3))
    assert broker.versions() == [1, 3] and copy.docs().text_version == 3


@pytest.mark.parametrize("odd", [*ODD_JSON, b""], ids=range(len(ODD_JSON) + 1))
def test_zone_is_evacuated_whatever_the_value(broker, odd):
    """Guards against an evacuation that no router follows for its value."""
    source, _ = make_source(OperatorSource, broker)
    source._apply_snapshot(Snapshot([], pos(1)))
    source._apply_changes(changed("op/evacuate/z1", odd, 2))
    source._apply_changes(Snapshot([Item("op/evacuate/z1", None, pos(3))], pos(3)))
    zones = [message.zones for message in broker.told if isinstance(message, ZonesEvacuated)]
    assert zones == [{"z1"}, set()]


@pytest.mark.parametrize("odd", [*BAD_VALUES, NESTED_TOO_DEEPLY, *ODD_JSON])
def test_odd_entry_in_the_copy_of_a_peer_hides_no_other(broker, odd):
    """Guards against routers that follow a peer and lose the targets beside an odd entry."""
    reader, copy = make_source(TargetSource, broker)
    items = [make_item(1, "i-0"), Item("servers/i-1", odd, pos(2)), make_item(3, "i-2")]
    reader._apply_snapshot(Snapshot(items, pos(3)))
    follower_broker = Broker()
    follower, _ = make_source(TargetSource, follower_broker)
    with answering(msgspec.json.encode(copy.docs_for_peers())) as server:
        follower.apply_peer_docs(PeerDocs().fetch(server.address), "r1")
    for told in (broker.told, follower_broker.told):
        (listed,) = [message for message in told if isinstance(message, TargetsListed)]
        assert [info.id for info in listed.targets] == ["i-0@1000", "i-2@1000"]


@pytest.mark.parametrize(
    "change",
    [
        {"targets": {"i-1": ["e30=", 1 << 63]}},
        {"targets": {"i-1": ["e30=", 1, None, -1]}},
        {"targets": {"i-1": [5, 1]}},
        {"targets": [[]]},
        {"targets_revision": 1 << 64},
        {"targets_era": -1},
        {"text_version": 1 << 64},
        {"zones": {"z1": [True, 1 << 64]}},
    ],
)
def test_odd_documents_of_a_peer_are_refused_before_any_is_applied(change):
    """Guards against a position that no message between routers can hold."""
    with answering(json.dumps(change).encode()) as server, pytest.raises(PeerError):
        PeerDocs().fetch(server.address)


@pytest.mark.parametrize("expires_in_s", [1e308, -1e308])
@pytest.mark.parametrize("value", ["e30=", "?", "\u00fc"])
def test_odd_expiry_or_value_of_a_peer_hides_no_other(broker, value, expires_in_s):
    """Guards against a timer that fails, and targets beside it that never expire."""
    source, copy = make_source(TargetSource, broker)
    sound = PublishedEntry.encode(make_item(1, "i-0").value, pos(1))
    docs = copy.docs()
    odd = PublishedEntry(value, 2, expires_in_s)
    docs = msgspec.structs.replace(docs, targets={"i-1": odd, "i-0": sound}, targets_revision=2)
    source.apply_peer_docs(docs, "r2")
    assert [info.id for info in broker.told[0].targets] == ["i-0@1000"]
    source._apply_timeouts()
