"""The client of the platform's metadata store: reads of items and watches of changes."""

import base64
import socket
from dataclasses import dataclass
from urllib.parse import urlencode

import msgspec
import urllib3

from turmerictray.core import metrics
from turmerictray.core.errors import HistoryGone, StoreUnavailable
from turmerictray.core.logs import log_event
from turmerictray.router.published import StorePosition

_READ_S = 1.0
"""Time limit of a read: the store answers in milliseconds, and one that is slow by a factor of
fifty still answers in time."""

_WATCH_SLACK_S = 1.0

_GONE = 410

_ERA = "Store-Era"
"""Header of each answer; rises each time the store comes back from a copy."""

_KEEPALIVE = [
    *urllib3.connection.HTTPConnection.default_socket_options,
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
]
"""A watch waits for seconds with nothing to say; on a connection that went silent it would wait as
long and miss what changes. Probes find that within three seconds."""


@dataclass(frozen=True)
class Item:
    """An item of the store, or its removal when ``value`` is None."""

    key: str
    value: bytes | None
    position: StorePosition


@dataclass(frozen=True)
class Snapshot:
    """Items under a prefix, and the position from which to watch for changes."""

    items: list[Item]
    position: StorePosition


class _Item(msgspec.Struct, frozen=True):
    key: str
    revision: int = 0
    value: str = ""
    tombstone: bool = False

    def decode(self, era: int) -> Item:
        value = None if self.tombstone else _bytes_of(self.value)
        return Item(self.key, value, StorePosition(era, self.revision))


def _bytes_of(value: str) -> bytes:
    # One value that can't be read must not cost the page, and with it all that follows.
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


def _era_of(resp: urllib3.BaseHTTPResponse) -> int:
    text = resp.headers.get(_ERA, "")
    return int(text) if text.isdecimal() else 0


class StoreClient:
    """Reads from the store at ``address`` (``host:port``); safe to use from one thread."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._http = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=1, retries=False, socket_options=_KEEPALIVE
        )

    def read_all(self, prefix: str) -> Snapshot:
        """All items under ``prefix``.

        The pages are not a snapshot; changes after the first page's revision come by the watch,
        which starts there.

        Raises
        ------
        HistoryGone
            The store has come back from a copy between two pages.
        StoreUnavailable
        """
        items: list[Item] = []
        start: StorePosition | None = None
        query = {"path_prefix": prefix}
        while True:
            page, era = self._get("/api/kv-range", query, _Range, _READ_S)
            start = start or StorePosition(era, page.store_revision)
            self._check_era(era, start)
            items += [item.decode(era) for item in page.items]
            if not page.has_more or not page.items:
                return Snapshot(items, start)
            # Although its name says revision, in this call it holds the key after which the next
            # page begins.
            query["after_revision"] = page.items[-1].key

    def watch(self, prefix: str, since: StorePosition, wait_s: float) -> Snapshot:
        """Changes under ``prefix`` after ``since``; waits up to ``wait_s`` seconds for one.

        Raises
        ------
        HistoryGone
            The store no longer has the changes since then, or has come back from a copy; read all
            items again.
        StoreUnavailable
        """
        query = {
            "path_prefix": prefix,
            "after_revision": since.revision,
            "wait_ms": int(wait_s * 1000),
        }
        page, era = self._get("/api/kv-watch", query, _Events, wait_s + _WATCH_SLACK_S)
        self._check_era(era, since)
        position = StorePosition(era, page.store_revision)
        return Snapshot([item.decode(era) for item in page.events], position)

    @staticmethod
    def _check_era(era: int, since: StorePosition) -> None:
        # Revisions are given out again in the new era. The store may have passed ``since`` by now,
        # and would answer as if nothing had happened.
        if era != since.era:
            raise HistoryGone(f"era {era} after {since.era}")

    def close(self) -> None:
        """Close the connection."""
        self._http.close()

    def _get(self, path: str, query: dict, kind: type, timeout_s: float) -> tuple:
        """The answer, decoded as ``kind``, and the store's era."""
        try:
            resp = self._http.request(
                "GET",
                f"{path}?{urlencode(query)}",
                timeout=urllib3.Timeout(connect=_READ_S, read=timeout_s),
            )
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            raise StoreUnavailable(f"{path}: {exc}") from exc
        metrics.count_control("store", len(path), len(resp.data))
        if resp.status == _GONE:
            raise HistoryGone(path)
        if resp.status != 200:
            raise StoreUnavailable(f"{path}: status {resp.status}")
        try:
            return msgspec.json.decode(resp.data, type=kind), _era_of(resp)
        except msgspec.DecodeError as exc:
            raise StoreUnavailable(f"{path}: {exc}") from exc
