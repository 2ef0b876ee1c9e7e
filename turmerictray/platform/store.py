"""Client of the platform's metadata store: reads items and watches for changes."""

import base64
import contextlib
import re
import socket
from dataclasses import dataclass
from urllib.parse import urlencode

import msgspec
import urllib3

from turmerictray.core import metrics
from turmerictray.core.decoding import Counter, DecodingError, decode_json, parse_counter
from turmerictray.core.errors import HistoryGone, StoreUnavailable
from turmerictray.core.logs import log_event
from turmerictray.router.published import StorePosition
from turmerictray.transport.bounded_input import BoundedConnectionPool

_READ_TIMEOUT_S = 1.0
"""Time limit of a read.

The store normally answers within milliseconds, so even a fiftyfold slowdown stays within the limit.
"""


_HTTP_GONE = 410

_ERA_HEADER = "Store-Era"
"""Response header with the store's era, which rises each time it is restored from a backup."""

_HALF_SURROGATE_PAIR = re.compile(
    rb"(?<!\\)((?:\\\\)*)"
    rb"(?:\\ud[89ab][0-9a-f]{2}(?!\\ud[c-f][0-9a-f]{2})"
    rb"|(?<!\\ud[89ab][0-9a-f]{2})\\ud[c-f][0-9a-f]{2})",
    re.IGNORECASE,
)
"""An escape of half a pair; its backslash is not itself escaped."""

_KEEPALIVE_OPTIONS = [
    *urllib3.connection.HTTPConnection.default_socket_options,
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
]
"""Socket options that detect a dead connection within three seconds.

No data flows while a watch waits for changes, so without probes a watch on a dead connection would
wait until its time limit and miss the changes made meanwhile.
"""


@dataclass(frozen=True)
class Item:
    """An item of the store, or its removal if ``value`` is None.

    ``is_first`` tells whether the item was created by this write.
    """

    key: str
    value: bytes | None
    position: StorePosition
    is_first: bool = False


@dataclass(frozen=True)
class Snapshot:
    """Items or changes under a prefix, and the position from which to watch for later changes."""

    items: list[Item]
    position: StorePosition


class _Key(msgspec.Struct, frozen=True):
    key: str


class _Item(msgspec.Struct, frozen=True):
    key: str
    revision: Counter = 0
    created_rev: Counter | msgspec.UnsetType = msgspec.UNSET
    value: msgspec.Raw = msgspec.Raw(b'""')
    tombstone: bool = False

    def decode(self, era: int) -> Item:
        value = None if self.tombstone else _decode_value(self.value)
        is_first = not self.tombstone and self.created_rev == self.revision
        return Item(self.key, value, StorePosition(era, self.revision), is_first)


class _Range(msgspec.Struct, frozen=True):
    # Items are decoded one by one, so that one that can't be read hides no other.
    items: list[msgspec.Raw]
    store_revision: Counter
    has_more: bool = False


class _Events(msgspec.Struct, frozen=True):
    events: list[msgspec.Raw]
    store_revision: Counter


def _decode_page(data: bytes, kind: type) -> _Range | _Events:
    try:
        return decode_json(data, kind)
    except DecodingError:
        # A key may have been written in no encoding that JSON knows. The decoder refuses the whole
        # page for half a surrogate pair.
        repaired = _HALF_SURROGATE_PAIR.sub(rb"\1\\ufffd", data)
        if repaired == data:
            raise
        return decode_json(repaired, kind)


def _decode_items(items: list[msgspec.Raw], era: int) -> list[Item]:
    """Decode the items that can be read."""
    decoded = []
    for item in items:
        try:
            decoded.append(decode_json(item, _Item).decode(era))
        except DecodingError as exc:
            log_event("store_item_unreadable", level="WARNING", reason=str(exc)[:200])
    return decoded


def _decode_value(value: msgspec.Raw) -> bytes:
    # An item whose value can't be read replaces the one before all the same.
    try:
        return base64.b64decode(decode_json(value, str), validate=True)
    except (DecodingError, ValueError) as exc:
        log_event("store_value_unreadable", level="WARNING", reason=str(exc)[:200])
        return b""


def _last_key(items: list[msgspec.Raw]) -> str | None:
    """Return the last key that can be read, or None."""
    for item in reversed(items):
        with contextlib.suppress(DecodingError):
            return decode_json(item, _Key).key
    return None


def _parse_era(resp: urllib3.BaseHTTPResponse) -> int:
    """Return the era of an answer; raise :class:`DecodingError` if it is not a number."""
    text = resp.headers.get(_ERA_HEADER, "0")
    era = parse_counter(text)
    if era is None:
        raise DecodingError(f"{_ERA_HEADER} {text[:20]!r} is not a number")
    return era


class StoreClient:
    """Client for the store, for use by a single thread.

    Parameters
    ----------
    address : str
        ``host:port``.
    response_margin_s : float
        Time limit in seconds of the response to a watch, beyond the time for which the store waits
        for changes.
    """

    def __init__(self, address: str, response_margin_s: float = _READ_TIMEOUT_S) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._response_margin_s = response_margin_s
        self._http = self._open_pool()

    def _open_pool(self) -> BoundedConnectionPool:
        return BoundedConnectionPool(
            self._host,
            self._port,
            maxsize=1,
            retries=False,
            socket_options=_KEEPALIVE_OPTIONS,
        )

    def reconnect(self) -> None:
        """Close the connection; the next call opens a new one.

        One that was not used for a while may be dead, which the next call would notice only by its
        time limit.
        """
        self._http.close()
        self._http = self._open_pool()

    def read_all(self, prefix: str) -> Snapshot:
        """Read all items under ``prefix``.

        The pages are read at different revisions. The returned position is that of the first page,
        so a watch from there also reports the changes made while later pages were read.

        Raises
        ------
        HistoryGone
            The store was restored from a backup between two pages.
        StoreUnavailable
            The store can't be reached, or its answer is an error or invalid.
        """
        items: list[Item] = []
        start: StorePosition | None = None
        query = {"path_prefix": prefix}
        while True:
            page, era = self._get("/api/kv-range", query, _Range, _READ_TIMEOUT_S)
            start = start or StorePosition(era, page.store_revision)
            self._check_era(era, start)
            items += _decode_items(page.items, era)
            if not page.has_more or not page.items:
                return Snapshot(items, start)
            last_key = _last_key(page.items)
            if last_key in (None, query.get("after_revision")):
                raise StoreUnavailable("a page does not end after the one before")
            # Despite its name, this parameter takes the key after which the next page begins.
            query["after_revision"] = last_key

    def watch(self, prefix: str, since: StorePosition, wait_s: float) -> Snapshot:
        """Read the changes under ``prefix`` after ``since``; wait up to ``wait_s`` for the first.

        Parameters
        ----------
        prefix : str
        since : StorePosition
        wait_s : float
            Seconds.

        Raises
        ------
        HistoryGone
            The store has discarded changes since that position, or was restored from a backup; all
            items have to be read again.
        StoreUnavailable
            The store can't be reached, or its answer is an error or invalid.
        """
        query = {
            "path_prefix": prefix,
            "after_revision": since.revision,
            "wait_ms": int(wait_s * 1000),
        }
        page, era = self._get("/api/kv-watch", query, _Events, wait_s + self._response_margin_s)
        self._check_era(era, since)
        position = StorePosition(era, page.store_revision)
        return Snapshot(_decode_items(page.events, era), position)

    @staticmethod
    def _check_era(era: int, since: StorePosition) -> None:
        # A restored store assigns revisions again. Once it has passed the revision of ``since``, it
        # answers a watch as usual, and only the era shows that changes may have been missed.
        if era != since.era:
            raise HistoryGone(f"store era changed from {since.era} to {era}")

    def close(self) -> None:
        """Close the connection."""
        self._http.close()

    def _get(self, path: str, query: dict, kind: type, timeout_s: float) -> tuple:
        """Return the response, decoded as ``kind``, and the store's era."""
        try:
            resp = self._http.request(
                "GET",
                f"{path}?{urlencode(query)}",
                timeout=urllib3.Timeout(connect=_READ_TIMEOUT_S, read=timeout_s),
            )
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            raise StoreUnavailable(f"{path}: {exc}") from exc
        metrics.count_control_bytes("store", len(path), len(resp.data))
        if resp.status == _HTTP_GONE:
            raise HistoryGone(path)
        if resp.status != 200:
            raise StoreUnavailable(f"{path}: status {resp.status}")
        try:
            return _decode_page(resp.data, kind), _parse_era(resp)
        except DecodingError as exc:
            raise StoreUnavailable(f"{path}: {exc}") from exc
