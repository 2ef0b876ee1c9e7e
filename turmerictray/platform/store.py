"""Client of the platform's metadata store: reads items and watches for changes."""

import base64
import socket
from dataclasses import dataclass
from urllib.parse import urlencode

import msgspec
import urllib3

from turmerictray.core import metrics
from turmerictray.core.decoding import DecodingError, decode_json
from turmerictray.core.errors import HistoryGone, StoreUnavailable
from turmerictray.core.logs import log_event
from turmerictray.router.published import StorePosition
from turmerictray.transport.bounded_input import BoundedConnectionPool

_READ_TIMEOUT_S = 1.0
"""Time limit of a read.

The store normally answers within milliseconds, so even a fiftyfold slowdown stays within the limit.
"""

_WATCH_RESPONSE_MARGIN_S = 1.0
"""Time limit of the response to a watch, beyond the time for which the store waits for changes."""

_HTTP_GONE = 410

_ERA_HEADER = "Store-Era"
"""Response header with the store's era, which rises each time it is restored from a backup."""

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
    """An item of the store, or its removal if ``value`` is None."""

    key: str
    value: bytes | None
    position: StorePosition


@dataclass(frozen=True)
class Snapshot:
    """Items or changes under a prefix, and the position from which to watch for later changes."""

    items: list[Item]
    position: StorePosition


class _Item(msgspec.Struct, frozen=True):
    key: str
    revision: int = 0
    value: str = ""
    tombstone: bool = False

    def decode(self, era: int) -> Item:
        value = None if self.tombstone else _decode_value(self.value)
        return Item(self.key, value, StorePosition(era, self.revision))


def _decode_value(value: str) -> bytes:
    # A single invalid value must not make the whole page and all later pages unreadable.
    try:
        return base64.b64decode(value, validate=True)
    except ValueError as exc:
        log_event("store_value_unreadable", level="WARNING", reason=str(exc))
        return b""


class _Range(msgspec.Struct, frozen=True):
    items: list[_Item]
    store_revision: int
    has_more: bool = False


class _Events(msgspec.Struct, frozen=True):
    events: list[_Item]
    store_revision: int


def _parse_era(resp: urllib3.BaseHTTPResponse) -> int:
    text = resp.headers.get(_ERA_HEADER, "")
    return int(text) if text.isdecimal() else 0


class StoreClient:
    """Client for the store at ``address`` (``host:port``); for use by a single thread."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._http = BoundedConnectionPool(
            host, int(port), maxsize=1, retries=False, socket_options=_KEEPALIVE_OPTIONS
        )

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
            items += [item.decode(era) for item in page.items]
            if not page.has_more or not page.items:
                return Snapshot(items, start)
            # Despite its name, this parameter takes the key after which the next page begins.
            query["after_revision"] = page.items[-1].key

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
        page, era = self._get("/api/kv-watch", query, _Events, wait_s + _WATCH_RESPONSE_MARGIN_S)
        self._check_era(era, since)
        position = StorePosition(era, page.store_revision)
        return Snapshot([item.decode(era) for item in page.events], position)

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
            return decode_json(resp.data, kind), _parse_era(resp)
        except DecodingError as exc:
            raise StoreUnavailable(f"{path}: {exc}") from exc
