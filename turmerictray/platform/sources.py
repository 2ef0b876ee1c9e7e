"""Reads texts and targets from the store and tells the broker."""

import threading
import time
from collections.abc import Callable
from typing import Protocol

import pykka

from turmerictray.core.errors import ConfigError, HistoryGone, StoreUnavailable
from turmerictray.core.logs import log_event
from turmerictray.platform.documents import decode_text
from turmerictray.platform.entries import (
    TARGETS_PREFIX,
    EntryChanges,
    TargetEntries,
    keep_missing_until,
)
from turmerictray.platform.store import Snapshot, StoreClient
from turmerictray.router.broker_messages import TargetsChanged, TargetsListed, TextArrived
from turmerictray.router.published import Position, PublishedCopy, PublishedDocs, StorePosition

_TEXT_KEY = "op/config"

_WATCH_S = 2.5
"""How long a watch waits. A store that went silent in the middle of a wait, and came back meanwhile
without answering it, is noticed a second after it; a change made then must be in force two seconds
after routers count as in touch again, three seconds after the store's return."""

_WATCH_LOST_S = 0.3
"""The same while the store is away: a long wait that is begun just before its return would be the
last to end."""

_BETWEEN_CHANGES_S = 0.3
"""Pause after changes before the next watch. Targets that start together register one by one, and
each would end the watches of all readers; a target that leaves goes on serving for longer."""

_REST_S = 0.25
"""How often a router that does not read looks whether it has to."""

_FIRST_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 0.8
"""Pauses between tries while the store is away: back in force within two seconds of its return."""


class ReadGate(Protocol):
    """Says whether this router reads the store now, and is told of its answers."""

    def should_read(self, position: Position) -> bool:
        """Whether to ask the store."""

    def note_read(self, prefix: str) -> None:
        """The store has answered."""


class PrefixWatch:
    """A thread that follows the items under a prefix.

    Parameters
    ----------
    client : StoreClient
    prefix : str
    gate : ReadGate
    copy : PublishedCopy
    on_all : callable
        Called with a :class:`Snapshot` of all items, first and after history was lost.
    on_changes : callable
        Called with a :class:`Snapshot` of changes.
    on_idle : callable
        Called after each wait, changes or not; returns seconds until it wants to be called again.
    pause_s : float
        Seconds between changes and the next wait, in which more of them gather.
    """

    def __init__(
        self,
        client: StoreClient,
        prefix: str,
        gate: ReadGate,
        copy: PublishedCopy,
        on_all: Callable[[Snapshot], None],
        on_changes: Callable[[Snapshot], None],
        on_idle: Callable[[], float | None] = lambda: None,
        pause_s: float = 0.0,
    ) -> None:
        self.back_at = 0.0
        self._pause_s = pause_s
        self._client = client
        self._prefix = prefix
        self._gate = gate
        self._copy = copy
        self._on_all = on_all
        self._on_changes = on_changes
        self._on_idle = on_idle
        self._since: StorePosition | None = None
        self._era: int | None = None
        self._lost = False
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name=f"watch-{prefix}", daemon=True)

    def start(self) -> None:
        """Start reading."""
        self._thread.start()

    def stop(self) -> None:
        """Stop after the wait in progress."""
        self._stop.set()

    def _run(self) -> None:
        pause = _FIRST_PAUSE_S
        while not self._stop.is_set():
            if not self._gate.should_read(self._copy.position()):
                self._rest()
                continue
            try:
                self._step()
                pause = _FIRST_PAUSE_S
            except HistoryGone:
                log_event("store_history_gone", prefix=self._prefix, since=self._since)
                self._since = None
            except pykka.ActorDeadError:
                # The router is stopping, and an answer of the store came after its broker's end.
                log_event("store_watch_ended", level="DEBUG", prefix=self._prefix)
                return
            except StoreUnavailable as exc:
                self._note_lost(exc)
                self._stop.wait(pause)
                pause = min(_LONGEST_PAUSE_S, 2 * pause)

    def _rest(self) -> None:
        # What changes meanwhile comes from peers; a later watch could not tell from where on.
        self._since = None
        wait = self._on_idle()
        self._stop.wait(_REST_S if wait is None else min(wait, _REST_S))

    def _step(self) -> None:
        if self._since is None:
            snapshot = self._client.read_all(self._prefix)
            if self._era is not None and snapshot.position.era < self._era:
                raise StoreUnavailable(f"an answer of era {snapshot.position.era}")
            self._since = snapshot.position
            self._note_answer()
            self._note_era(snapshot.position)
            self._on_all(snapshot)
            return
        wait = self._on_idle()
        longest = _WATCH_LOST_S if self._lost else _WATCH_S
        wait = longest if wait is None else min(wait, longest)
        snapshot = self._client.watch(self._prefix, self._since, wait)
        self._since = max(self._since, snapshot.position)
        self._note_answer()
        if snapshot.items:
            self._on_changes(snapshot)
            self._stop.wait(self._pause_s)

    def _note_lost(self, exc: StoreUnavailable) -> None:
        if not self._lost:
            self._lost = True
            log_event("store_lost", level="WARNING", prefix=self._prefix, reason=str(exc)[:200])

    def _note_answer(self) -> None:
        # Before the changes are handed on: what lapsed while the store was away comes with the
        # first answer after its return, and is only kept if the return is known by then.
        self._gate.note_read(self._prefix)
        if self._lost:
            self._lost = False
            self.back_at = time.monotonic()
            log_event("store_back", prefix=self._prefix, since=self._since)

    def _note_era(self, position: StorePosition) -> None:
        # What was written last is missing from the copy, and is written again as entries are that
        # have lapsed: the store counts as back now also where it was never seen away.
        if self._era is not None and position.era > self._era:
            self.back_at = time.monotonic()
            log_event(
                "store_era",
                level="WARNING",
                prefix=self._prefix,
                era=position.era,
                before=self._era,
                revision=position.revision,
            )
        self._era = position.era


class TextSource:
    """Follows the operators' text."""

    def __init__(
        self, address: str, gate: ReadGate, broker: pykka.ActorRef, copy: PublishedCopy
    ) -> None:
        self._broker = broker
        self._copy = copy
        self._watch = PrefixWatch(
            StoreClient(address), _TEXT_KEY, gate, copy, self._take, self._take
        )

    def start(self) -> None:
        """Start reading."""
        self._watch.start()

    def stop(self) -> None:
        """Stop reading."""
        self._watch.stop()

    def take_copy(self, docs: PublishedDocs, peer: str) -> None:
        """Take the text that a peer has read."""
        try:
            data = docs.text_bytes()
        except ValueError as exc:
            log_event("text_refused", level="ERROR", peer=peer, reason=str(exc)[:200])
            return
        if data is not None:
            self._take_text(data, f"peer:{peer}")

    def _take(self, snapshot: Snapshot) -> None:
        for item in snapshot.items:
            if item.key == _TEXT_KEY and item.value is not None:
                self._take_text(item.value, "store")

    def _take_text(self, data: bytes, source: str) -> None:
        try:
            text = decode_text(data)
        except ConfigError as exc:
            log_event("text_refused", level="ERROR", source=source, reason=exc.reason[:200])
            return
        self._broker.tell(TextArrived(text, source))
        # Afterwards: whoever sees the copy's version knows that the broker hears of the text before
        # all that is told to it from then on.
        self._copy.put_text(data, text.version)


class TargetSource:
    """Follows the entries of the targets."""

    def __init__(
        self, address: str, gate: ReadGate, broker: pykka.ActorRef, copy: PublishedCopy
    ) -> None:
        self._broker = broker
        self._copy = copy
        self._lock = threading.Lock()
        self._entries = TargetEntries()
        self._listed = False
        self._watch = PrefixWatch(
            StoreClient(address),
            TARGETS_PREFIX,
            gate,
            copy,
            self._take_all,
            self._take_changes,
            self._lapse,
            _BETWEEN_CHANGES_S,
        )

    def start(self) -> None:
        """Start reading."""
        self._watch.start()

    def stop(self) -> None:
        """Stop reading."""
        self._watch.stop()

    def take_copy(self, docs: PublishedDocs, peer: str) -> None:
        """Take the entries that a peer has read."""
        if not docs.targets_revision:
            return
        with self._lock:
            before = self._entries.position
            self._tell(self._entries.take_copy(docs, time.monotonic()))
        log_event(
            "targets_from_peer",
            peer=peer,
            era=docs.targets_era,
            revision=docs.targets_revision,
            before=before.revision,
        )

    def _take_all(self, snapshot: Snapshot) -> None:
        with self._lock:
            now = time.monotonic()
            changes = self._entries.take_all(
                snapshot.items, now, self._keep_until(), snapshot.position
            )
            self._tell(changes)

    def _take_changes(self, snapshot: Snapshot) -> None:
        with self._lock:
            now = time.monotonic()
            self._tell(self._entries.take(snapshot.items, now, self._keep_until()))

    def _keep_until(self) -> float:
        return keep_missing_until(self._watch.back_at)

    def _lapse(self) -> float | None:
        """Drop targets whose time is over; returns seconds until the next one, or None."""
        with self._lock:
            now = time.monotonic()
            changes = self._entries.lapse(now)
            if changes:
                self._tell(changes)
            return self._entries.next_lapse_s(now)

    def _tell(self, changes: EntryChanges) -> None:
        if not self._listed:
            self._listed = True
            self._broker.tell(TargetsListed(self._entries.targets()))
        elif changes:
            self._broker.tell(TargetsChanged(changes.changed, changes.gone))
        published = self._entries.published(time.monotonic())
        self._copy.put_targets(published, self._entries.position)
