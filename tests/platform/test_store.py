"""Reading of the store's pages and watch answers."""

import json

import pytest

from tests.odd_input import NESTED_JSON, answering
from turmerictray.core.errors import HistoryGone, StoreUnavailable
from turmerictray.platform.store import Item, StoreClient
from turmerictray.router.published import StorePosition

SINCE = StorePosition(0, 1)


def item(key: str, revision: object = 5, value: object = "eA==", **fields: object) -> bytes:
    return json.dumps({"key": key, "revision": revision, "value": value, **fields}).encode()


def page(
    *items: bytes, field: bytes = b"items", revision: bytes = b"9", more: bool = False
) -> bytes:
    """Return a page of items, or with the field ``events`` the answer to a watch."""
    head = b'{"store_revision": %s, "has_more": %s, ' % (revision, str(more).lower().encode())
    return head + b'"%s": [%s]}' % (field, b", ".join(items))


ODD_ITEMS = [
    b"7",
    b"[1]",
    b"null",
    b"{}",
    b'{"key": 7, "revision": 5, "value": "eA=="}',
    b'{"key": "servers/\xff", "revision": 5, "value": "eA=="}',
    item("servers/odd", "5"),
    item("servers/odd", -1),
    item("servers/odd", 1 << 63),
    item("servers/odd", 1.5),
    item("servers/odd", None),
    b'{"key": "servers/odd", "revision": ' + b"9" * 5000 + b"}",
    b'{"key": "servers/odd", "revision": 1e999}',
    item("servers/odd", tombstone="yes"),
]


@pytest.mark.parametrize("odd", ODD_ITEMS)
def test_odd_item_hides_no_other(odd):
    """Guards against a store that can't be read any more for one of its items."""
    sound = [item("servers/a"), odd, item("servers/b")]
    with answering(page(*sound)) as server:
        client = StoreClient(server.address)
        assert [read.key for read in client.read_all("servers/").items] == [
            "servers/a",
            "servers/b",
        ]
        server.body = page(*sound, field=b"events")
        changes = client.watch("servers/", SINCE, 0)
    assert [change.key for change in changes.items] == ["servers/a", "servers/b"]
    assert changes.position == (0, 9)


def test_half_surrogate_pairs_leave_whole_ones():
    """Guards against keys that are changed beside one that can't be read."""
    keys = [b'"\\ud83d\\ude00"', b'"\\ude00\\ud83d"', b'"\\ud83d\\ud83d\\ude00"']
    keys.append(rb'"a\\ud800b"')
    items = [b'{"key": %s, "revision": 5}' % key for key in keys]
    with answering(page(*items)) as server:
        read = StoreClient(server.address).read_all("")
    assert [item.key for item in read.items] == [
        "\U0001f600",
        "\ufffd\ufffd",
        "\ufffd\U0001f600",
    ] + [r"a\ud800b"]


@pytest.mark.parametrize("value", [b"5", b"null", b"[1]", b'"\\ud800"', b'"x"', b"1e999"])
def test_value_of_another_type_is_one_that_can_t_be_read(value):
    """Guards against a target that stays in use by the entry before."""
    odd = b'{"key": "servers/odd", "revision": 5, "value": ' + value + b"}"
    with answering(page(odd, field=b"events")) as server:
        changes = StoreClient(server.address).watch("servers/", SINCE, 0)
    assert changes.items == [Item("servers/odd", b"", StorePosition(0, 5))]


@pytest.mark.parametrize(
    "last", [b"7", item("servers/b", "5"), b'{"key": "servers/b", "revision": 1e999}']
)
def test_pages_after_an_odd_item_are_read(last):
    """Guards against items that are never read, as an odd one ends the page before them."""

    def answer(path: str) -> bytes:
        if "after_revision=" in path:
            return page(item("servers/c"))
        return page(item("servers/a"), last, more=True)

    with answering(answer) as server:
        items = StoreClient(server.address).read_all("servers/").items
    assert [read.key for read in items] == ["servers/a", "servers/c"]


@pytest.mark.parametrize("items", [[item("servers/a")], [b"7"]])
def test_pages_that_never_end_are_refused(items):
    """Guards against a router that reads the same page for ever, and runs out of memory."""
    with answering(page(*items, more=True)) as server, pytest.raises(StoreUnavailable):
        StoreClient(server.address).read_all("servers/")


@pytest.mark.parametrize(
    "revision", [b"-1", b"9223372036854775808", b"9" * 30, b"9" * 5000, b'"9"']
)
def test_answer_whose_revision_is_none_is_refused(revision):
    """Guards against a position that no message between routers can hold."""
    with answering(page(revision=revision)) as server, pytest.raises(StoreUnavailable):
        StoreClient(server.address).read_all("servers/")


@pytest.mark.parametrize("era", ["9" * 5000, "9" * 30, "-1", "x", "1.5"])
def test_answer_whose_era_is_none_is_refused(era):
    """Guards against a position that no message between routers can hold."""
    with answering(page(), {"Store-Era": era}) as server, pytest.raises(StoreUnavailable):
        StoreClient(server.address).read_all("servers/")


def test_watch_goes_on_after_an_odd_answer():
    """Guards against a router that stops following the store."""
    with answering(NESTED_JSON) as server:
        client = StoreClient(server.address)
        with pytest.raises(StoreUnavailable):
            client.watch("op/", SINCE, 0)
        server.body = page(item("op/config"), field=b"events")
        assert [read.key for read in client.watch("op/", SINCE, 0).items] == ["op/config"]
        server.headers = {"Store-Era": "1"}
        with pytest.raises(HistoryGone):
            client.watch("op/", SINCE, 0)


@pytest.mark.parametrize("query", ["9" * 5000 + ".1", "1." + "9" * 30, "-1.1", "\u0664.1", "1"])
def test_query_without_a_position_is_none(query):
    """Guards against a page that fails for a peer's odd query."""
    assert StorePosition.from_query(query) is None
