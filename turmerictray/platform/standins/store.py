"""A stand-in of the platform's metadata store: items, pages, watches and its troubles."""

import base64
import threading
import time
from dataclasses import dataclass
from enum import Enum
from urllib.parse import parse_qs, urlsplit

import msgspec

from turmerictray.platform.standins.http import BackgroundServer, QuietHandler

_PAGE_ITEMS = 50
_SILENT_S = 30.0


class StoreTrouble(Enum):
    """What the store does with the calls that come."""

    NONE = "none"
    BUSY = "busy"
    TOO_MANY = "too_many"
    SILENT = "silent"
    RESET = "reset"


@dataclass(frozen=True)
class _Change:
    key: str
    revision: int
    value: bytes | None


class Store:
    """The store's state; safe to use from many threads."""

    def __init__(self) -> None:
        self._trouble = StoreTrouble.NONE
        self.calls = 0
        self.era = 1
        self.revision = 1
        self._log: list[tuple[float, _Change]] = []
        self._items: dict[str, _Change] = {}
        self._history: list[_Change] = []
        self._oldest = 0
        self._changed = threading.Condition()

    @property
    def trouble(self) -> StoreTrouble:
        """What the store does with the calls that come; a change cuts the watches that wait."""
        return self._trouble

    @trouble.setter
    def trouble(self, trouble: StoreTrouble) -> None:
        with self._changed:
            self._trouble = trouble
            self._changed.notify_all()

    def put(self, key: str, doc: object) -> int:
        """Write an item as JSON; returns its revision."""
        return self._write(key, msgspec.json.encode(doc))

    def put_bytes(self, key: str, value: bytes) -> int:
        """Write an item as it is; returns its revision."""
        return self._write(key, value)

    def delete(self, key: str) -> int:
        """Remove an item; returns the revision of the removal."""
        return self._write(key, None)

    def compact(self) -> None:
        """Forget the history so far."""
        with self._changed:
            self._history.clear()
            self._oldest = self.revision

    def restore(self, age_s: float) -> None:
        """Come back from a copy that is ``age_s`` seconds old; what was written since is lost."""
        copied_at = time.monotonic() - age_s
        self.lose_last(sum(at > copied_at for at, _ in self._log))

    def lose_last(self, count: int) -> None:
        """Come back from a copy without the last ``count`` changes, in a new era."""
        with self._changed:
            self._log = self._log[: len(self._log) - count]
            self._items.clear()
            for _, change in self._log:
                self._apply(change)
            self.revision = self._log[-1][1].revision if self._log else 1
            self._history.clear()
            self._oldest = self.revision
            self.era += 1
            self._changed.notify_all()

    def _apply(self, change: _Change) -> None:
        self._items.pop(change.key, None)
        if change.value is not None:
            self._items[change.key] = change

    def _write(self, key: str, value: bytes | None) -> int:
        with self._changed:
            self.revision += 1
            change = _Change(key, self.revision, value)
            self._apply(change)
            self._log.append((time.monotonic(), change))
            self._history.append(change)
            self._changed.notify_all()
            return self.revision

    def keys(self, prefix: str) -> list[str]:
        """Names of the items under a prefix, without it."""
        with self._changed:
            return [key.removeprefix(prefix) for key in self._items if key.startswith(prefix)]

    def page(self, prefix: str, after: str) -> dict:
        """One page of items."""
        with self._changed:
            keys = sorted(key for key in self._items if key.startswith(prefix) and key > after)
            items = [_wire(self._items[key]) for key in keys[:_PAGE_ITEMS]]
            more = len(keys) > _PAGE_ITEMS
            return {"items": items, "has_more": more, "store_revision": self.revision}

    def changes(self, prefix: str, after: int, wait_s: float) -> dict | None:
        """Changes after a revision, or None when they are forgotten."""
        until = time.monotonic() + wait_s
        with self._changed:
            while True:
                if after < self._oldest or after > self.revision:
                    return None
                found = [
                    change
                    for change in self._history
                    if change.revision > after and change.key.startswith(prefix)
                ]
                left = until - time.monotonic()
                if found or left <= 0 or self._trouble is not StoreTrouble.NONE:
                    events = [_wire(change) for change in found]
                    return {"events": events, "store_revision": self.revision}
                self._changed.wait(left)


def _wire(change: _Change) -> dict:
    if change.value is None:
        return {"key": change.key, "revision": change.revision, "tombstone": True}
    value = base64.b64encode(change.value).decode()
    return {"key": change.key, "revision": change.revision, "value": value, "lease": 0}


class _Handler(QuietHandler):
    disable_nagle_algorithm = True

    def do_GET(self) -> None:  # noqa: N802 - the standard library's name
        store: Store = self.server.owner.store
        store.calls += 1
        if self._in_trouble(store.trouble):
            return
        url = urlsplit(self.path)
        query = {key: vals[0] for key, vals in parse_qs(url.query).items()}
        prefix = query.get("path_prefix", "")
        if url.path == "/api/kv-range":
            self._answer(200, store.page(prefix, query.get("after_revision", "")))
        elif url.path == "/api/kv-watch":
            wait_s = int(query["wait_ms"]) / 1000
            found = store.changes(prefix, int(query["after_revision"]), wait_s)
            if not self._in_trouble(store.trouble):
                self._answer(410 if found is None else 200, found or {})
        else:
            self._answer(404, {})

    def _in_trouble(self, trouble: StoreTrouble) -> bool:
        if trouble is StoreTrouble.NONE:
            return False
        if trouble is StoreTrouble.BUSY:
            self._answer(503, {})
        elif trouble is StoreTrouble.TOO_MANY:
            self._answer(429, {})
        else:
            if trouble is StoreTrouble.SILENT:
                self.server.owner.closing.wait(_SILENT_S)
            self.close_connection = True
        return True

    def _answer(self, status: int, doc: object) -> None:
        body = msgspec.json.encode(doc)
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Store-Era", str(self.server.owner.store.era))
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class StoreServer:
    """Serves a :class:`Store` on loopback.

    Parameters
    ----------
    host : str
    port : int
        0 picks a free one.
    """

    def __init__(self, host: str = "127.0.0.1", port: int = 0) -> None:
        self.store = Store()
        self.closing = threading.Event()
        self._server = BackgroundServer(_Handler, self, host, port)

    @property
    def address(self) -> str:
        """``host:port``."""
        return self._server.address

    def start(self) -> "StoreServer":
        """Serve on a background thread."""
        self._server.start()
        return self

    def stop(self) -> None:
        """Stop serving."""
        self.closing.set()
        self._server.stop()
