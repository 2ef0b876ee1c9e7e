"""A stand-in for the platform's metadata store: items, pages, watches and faults."""

import base64
import threading
import time
from dataclasses import dataclass
from enum import Enum
from urllib.parse import parse_qs, urlsplit

import msgspec

from turmerictray.platform.standins.http import BackgroundServer, QuietHandler

_PAGE_ITEMS = 50
_SILENT_CALL_S = 30.0


class StoreTrouble(Enum):
    """How the store treats calls.

    ``BUSY`` answers 503, ``TOO_MANY`` 429; ``SILENT`` does not answer, ``RESET`` closes the
    connection.
    """

    NONE = "none"
    BUSY = "busy"
    TOO_MANY = "too_many"
    SILENT = "silent"
    RESET = "reset"


@dataclass(frozen=True)
class _Change:
    """A write; a value of None removes the item."""

    key: str
    revision: int
    value: bytes | None


class Store:
    """State of the store; safe to use from many threads.

    Attributes
    ----------
    call_count : int
        Calls that were received, of all kinds.
    era : int
        Increases with each restored backup, after which revisions may repeat.
    revision : int
        Revision of the newest change.
    """

    def __init__(self) -> None:
        self._trouble = StoreTrouble.NONE
        self.call_count = 0
        self.era = 1
        self.revision = 1
        self._log: list[tuple[float, _Change]] = []
        self._items: dict[str, _Change] = {}
        self._history: list[_Change] = []
        self._compacted_revision = 0
        self._changed = threading.Condition()

    @property
    def trouble(self) -> StoreTrouble:
        """How the store treats calls; setting it ends the watches that are waiting."""
        return self._trouble

    @trouble.setter
    def trouble(self, trouble: StoreTrouble) -> None:
        with self._changed:
            self._trouble = trouble
            self._changed.notify_all()

    def put(self, key: str, doc: object) -> int:
        """Write an item as JSON; return its revision."""
        return self._write(key, msgspec.json.encode(doc))

    def put_bytes(self, key: str, value: bytes) -> int:
        """Write an item unchanged; return its revision."""
        return self._write(key, value)

    def delete(self, key: str) -> int:
        """Remove an item; return the revision of the removal."""
        return self._write(key, None)

    def compact(self) -> None:
        """Discard the history so far; watches that start before it get no changes."""
        with self._changed:
            self._history.clear()
            self._compacted_revision = self.revision

    def restore_backup(self, age_s: float) -> None:
        """Restore a backup that is ``age_s`` seconds old; later changes are lost."""
        backup_at = time.monotonic() - age_s
        self.restore_without_last(sum(at > backup_at for at, _ in self._log))

    def restore_without_last(self, count: int) -> None:
        """Restore a backup that lacks the last ``count`` changes, and start a new era."""
        with self._changed:
            self._log = self._log[: len(self._log) - count]
            self._items.clear()
            for _, change in self._log:
                self._apply(change)
            self.revision = self._log[-1][1].revision if self._log else 1
            self._history.clear()
            self._compacted_revision = self.revision
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
        """Return the keys that start with a prefix, without the prefix."""
        with self._changed:
            return [key.removeprefix(prefix) for key in self._items if key.startswith(prefix)]

    def page(self, prefix: str, after: str) -> dict:
        """Return the first page of items whose keys start with ``prefix`` and follow ``after``."""
        with self._changed:
            keys = sorted(key for key in self._items if key.startswith(prefix) and key > after)
            items = [_encode(self._items[key]) for key in keys[:_PAGE_ITEMS]]
            has_more = len(keys) > _PAGE_ITEMS
            return {"items": items, "has_more": has_more, "store_revision": self.revision}

    def changes(self, prefix: str, after: int, wait_s: float) -> dict | None:
        """Return changes after a revision, waiting for one; None if they were discarded."""
        deadline = time.monotonic() + wait_s
        with self._changed:
            while True:
                if after < self._compacted_revision or after > self.revision:
                    return None
                found = [
                    change
                    for change in self._history
                    if change.revision > after and change.key.startswith(prefix)
                ]
                remaining_s = deadline - time.monotonic()
                if found or remaining_s <= 0 or self._trouble is not StoreTrouble.NONE:
                    events = [_encode(change) for change in found]
                    return {"events": events, "store_revision": self.revision}
                self._changed.wait(remaining_s)


def _encode(change: _Change) -> dict:
    if change.value is None:
        return {"key": change.key, "revision": change.revision, "tombstone": True}
    value = base64.b64encode(change.value).decode()
    return {"key": change.key, "revision": change.revision, "value": value, "lease": 0}


class _Handler(QuietHandler):
    disable_nagle_algorithm = True

    def do_GET(self) -> None:  # noqa: N802 - name required by http.server
        store: Store = self.server.owner.store
        store.call_count += 1
        if self._apply_trouble(store.trouble):
            return
        url = urlsplit(self.path)
        query = {key: vals[0] for key, vals in parse_qs(url.query).items()}
        prefix = query.get("path_prefix", "")
        if url.path == "/api/kv-range":
            self._answer(200, store.page(prefix, query.get("after_revision", "")))
        elif url.path == "/api/kv-watch":
            wait_s = int(query["wait_ms"]) / 1000
            found = store.changes(prefix, int(query["after_revision"]), wait_s)
            if not self._apply_trouble(store.trouble):
                self._answer(410 if found is None else 200, found or {})
        else:
            self._answer(404, {})

    def _apply_trouble(self, trouble: StoreTrouble) -> bool:
        """Treat the call as ``trouble`` says; return False if it is to be answered normally."""
        if trouble is StoreTrouble.NONE:
            return False
        if trouble is StoreTrouble.BUSY:
            self._answer(503, {})
        elif trouble is StoreTrouble.TOO_MANY:
            self._answer(429, {})
        else:
            if trouble is StoreTrouble.SILENT:
                self.server.owner.closing.wait(_SILENT_CALL_S)
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
        0 selects a free port.
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
