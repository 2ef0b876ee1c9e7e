"""Threads that follow what operators and targets write to the store and update the broker."""

import math
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial
from typing import Protocol

import pykka

from turmerictray.core.errors import ConfigError, HistoryGone, StoreUnavailable
from turmerictray.core.ids import ZoneId
from turmerictray.core.logs import log_event
from turmerictray.core.supervision import SupervisedThread, log_failure, report_item_failure
from turmerictray.platform.documents import decode_routing_config
from turmerictray.platform.entries import (
    TARGETS_PREFIX,
    EntryChanges,
    TargetEntries,
    missing_entry_deadline,
)
from turmerictray.platform.history import HistoryReader, PastTargets
from turmerictray.platform.store import Snapshot, StoreClient
from turmerictray.router.evacuations import Evacuations, ZoneChange
from turmerictray.router.published import Position, PublishedCopy, PublishedDocs, StorePosition
from turmerictray.router.read_limits import ReadLimits
from turmerictray.scheduling.broker_messages import (
    TargetsChanged,
    TargetsListed,
    TargetsSeenBefore,
    TextArrived,
    ZonesEvacuated,
)

_OPERATOR_PREFIX = "op/"
_CONFIG_KEY = "op/config"
_EVACUATION_PREFIX = "op/evacuate/"

_LOST_WATCH_TIMEOUT_S = 0.3
"""How long a watch waits while the store is unavailable.

A full wait that starts just before the store's return would delay the detection of that return.
"""

_CHANGE_BATCH_PAUSE_S = 0.3
"""Pause between a change and the next watch, in which further changes accumulate.

Targets that start together register one by one, and without the pause each registration would end
the watches of all routers that read the store. A target that leaves keeps serving for longer than
this pause.
"""

_GATE_POLL_S = 0.1
"""Interval at which a router that does not read the store checks whether it should."""

_INITIAL_RETRY_PAUSE_S = 0.1
_MAX_RETRY_PAUSE_S = 0.8
"""Maximum pause between attempts of a designated reader while the store is unavailable.

Changes have to be active within two seconds of the store's return.
"""


class ReadGate(Protocol):
    """Decides whether this router reads the store, and records the store's answers."""

    def should_read(self, position: Position) -> bool:
        """Return whether this router should read the store now.

        Parameters
        ----------
        position : Position
            Position up to which this router knows the published documents.
        """

    def is_designated(self) -> bool:
        """Return whether this router reads the store for others."""

    def record_store_read(self, prefix: str) -> None:
        """Record that the store has answered a read of ``prefix``."""

    def record_store_failure(self, prefix: str) -> None:
        """Record that the store has not answered a read of ``prefix``."""

    def outage_ended_at(self) -> float:
        """Return when the last outage of the store ended, now if this answer ends one.

        In monotonic seconds; the store was away for long enough that items may have expired.
        """

    def covers_gap(self, uninterrupted_s: float) -> bool:
        """Return whether a peer has read the store since before this router's last gap."""

    def adopt_gap(self, gap_s: float) -> None:
        """Record that a peer kept entries, now copied from it, because of its own gap."""


class PrefixWatch:
    """A thread that follows the items under a prefix.

    Parameters
    ----------
    client : StoreClient
    prefix : str
    gate : ReadGate
    published_copy : PublishedCopy
        The documents known so far, by this router's own reads or from peers.
    on_snapshot : callable
        Called with a :class:`Snapshot` of all items, at the first read and after history was lost.
    on_changes : callable
        Called with a :class:`Snapshot` of changes.
    on_idle : callable
        Called before each wait; returns the seconds after which to call it again, or None.
    pause_s : float
        Seconds between a change and the next watch, in which further changes accumulate.
    limits : ReadLimits

    Attributes
    ----------
    store_returned_at : float
        When the store last became available again or was restored from a backup; 0 for never.
    """

    def __init__(
        self,
        client: StoreClient,
        prefix: str,
        gate: ReadGate,
        published_copy: PublishedCopy,
        on_snapshot: Callable[[Snapshot], None],
        on_changes: Callable[[Snapshot], None],
        on_idle: Callable[[], float | None] = lambda: None,
        pause_s: float = 0.0,
        limits: ReadLimits | None = None,
    ) -> None:
        self.store_returned_at = 0.0
        self._answered_at = -math.inf
        self._limits = limits or ReadLimits.from_apply_limit()
        self._is_connected = False
        self._pause_s = pause_s
        self._client = client
        self._prefix = prefix
        self._gate = gate
        self._published_copy = published_copy
        self._on_snapshot = on_snapshot
        self._on_changes = on_changes
        self._on_idle = on_idle
        self._since: StorePosition | None = None
        self._era: int | None = None
        self._lost = False
        self._paused_s = 0.0
        self._next_idle_at = -math.inf
        self._stop = threading.Event()
        self._thread = SupervisedThread(self._run, f"watch-{prefix}")

    def start(self) -> None:
        """Start reading."""
        self._thread.start()

    def stop(self) -> None:
        """Stop after the wait in progress."""
        self._stop.set()

    def _run(self) -> None:
        pause = _INITIAL_RETRY_PAUSE_S
        while not self._stop.is_set():
            should_read = self._gate.should_read(self._published_copy.position())
            try:
                if should_read:
                    self._read_store()
                    pause = _INITIAL_RETRY_PAUSE_S
                else:
                    self._wait_without_reading()
            except HistoryGone:
                log_event("store_history_gone", prefix=self._prefix, since=self._since)
                self._since = None
            except pykka.ActorDeadError:
                # The router is stopping; the store answered after the broker had stopped.
                log_event("store_watch_ended", level="DEBUG", prefix=self._prefix)
                return
            except StoreUnavailable as exc:
                self._record_failure(exc)
                self._stop.wait(pause)
                pause = self._next_retry_pause_s(pause)
            except Exception as exc:  # noqa: BLE001 - what could not be applied is read again
                # It does not count towards unfit: all routers read the same documents.
                report_item_failure(f"watch-{self._prefix}", exc)
                self._since = None
                self._stop.wait(pause)
                pause = min(_MAX_RETRY_PAUSE_S, 2 * pause)

    def _next_retry_pause_s(self, pause_s: float) -> float:
        if self._gate.is_designated():
            return min(_MAX_RETRY_PAUSE_S, 2 * pause_s)
        # There may be hundreds of these; designated ones notice the store's return for them.
        return self._limits.retry_pause_s

    def _wait_without_reading(self) -> None:
        if self._is_connected:
            self._is_connected = False
            self._client.reconnect()
        # Peers provide the changes made meanwhile. The next read lists all items again, because the
        # position of the last watch is outdated by then.
        self._since = None
        wait = self._run_idle()
        self._stop.wait(_GATE_POLL_S if wait is None else min(wait, _GATE_POLL_S))

    def _run_idle(self) -> float | None:
        """Do what is due between reads, by itself, so that its failure delays no change."""
        now = time.monotonic()
        if now < self._next_idle_at:
            return self._next_idle_at - now
        try:
            return self._on_idle()
        except pykka.ActorDeadError:
            raise
        except Exception as exc:  # noqa: BLE001 - what could not be done is due again
            # It does not count towards unfit, as the same is due at all routers.
            report_item_failure(f"watch-{self._prefix}", exc)
            self._next_idle_at = now + _MAX_RETRY_PAUSE_S
            return _MAX_RETRY_PAUSE_S

    def _read_store(self) -> None:
        self._is_connected = True
        if self._since is None:
            snapshot = self._client.read_all(self._prefix)
            if self._era is not None and snapshot.position.era < self._era:
                raise StoreUnavailable(
                    f"answer of era {snapshot.position.era} after one of era {self._era}"
                )
            self._since = snapshot.position
            self._record_return()
            self._record_era(snapshot.position)
            self._apply(self._on_snapshot, snapshot)
            return
        wait = self._run_idle()
        # The pause after a change is part of the time in which a dead connection is noticed.
        max_wait_s = _LOST_WATCH_TIMEOUT_S if self._lost else self._limits.watch_s - self._paused_s
        wait = max_wait_s if wait is None else min(wait, max_wait_s)
        self._paused_s = 0.0
        snapshot = self._client.watch(self._prefix, self._since, wait)
        self._since = max(self._since, snapshot.position)
        self._record_return()
        self._apply(self._on_changes if snapshot.items else None, snapshot)
        if snapshot.items:
            self._stop.wait(self._pause_s)
            self._paused_s = self._pause_s

    def _apply(self, apply: Callable[[Snapshot], None] | None, snapshot: Snapshot) -> None:
        try:
            if apply is not None:
                apply(snapshot)
        finally:
            # Only now, as peers take what this router tells from then on for complete.
            self._gate.record_store_read(self._prefix)

    def _record_failure(self, exc: StoreUnavailable) -> None:
        self._gate.record_store_failure(self._prefix)
        if not self._lost:
            self._lost = True
            log_event("store_lost", level="WARNING", prefix=self._prefix, reason=str(exc)[:200])

    def _record_return(self) -> None:
        # Must run before the changes are passed on: the first answer after the store's return
        # reports entries that expired during the outage, and their targets are kept only if the
        # return is already recorded.
        now = time.monotonic()
        gap_s, self._answered_at = now - self._answered_at, now
        if not self._lost:
            return
        self._lost = False
        # A lost answer, or a broken connection, is no outage in which items could expire.
        is_long = gap_s >= self._limits.min_outage_s
        if is_long:
            self.store_returned_at = max(self.store_returned_at, self._gate.outage_ended_at())
        log_event(
            "store_back",
            prefix=self._prefix,
            since=self._since,
            gap_s=round(gap_s, 2),
            outage_ended_s=round(now - self.store_returned_at, 2),
        )

    def _record_era(self, position: StorePosition) -> None:
        # The newest entries are missing from the backup, and their targets write them again as they
        # do after an outage. A new era therefore counts as a return of the store, even if this
        # router noticed no outage.
        if self._era is not None and position.era > self._era:
            self.store_returned_at = time.monotonic()
            log_event(
                "store_era",
                level="WARNING",
                prefix=self._prefix,
                era=position.era,
                before=self._era,
                revision=position.revision,
            )
        self._era = position.era


class OperatorSource:
    """Follows what operators publish: the routing configuration and the evacuated zones."""

    def __init__(
        self,
        address: str,
        gate: ReadGate,
        broker: pykka.ActorRef,
        published_copy: PublishedCopy,
        limits: ReadLimits | None = None,
    ) -> None:
        limits = limits or ReadLimits.from_apply_limit()
        self._broker = broker
        self._published_copy = published_copy
        self._lock = threading.Lock()
        self._evacuations = Evacuations()
        self._watch = PrefixWatch(
            StoreClient(address, limits.response_margin_s),
            _OPERATOR_PREFIX,
            gate,
            published_copy,
            self._apply_snapshot,
            self._apply_changes,
            limits=limits,
        )

    def start(self) -> None:
        """Start reading."""
        self._watch.start()

    def stop(self) -> None:
        """Stop reading."""
        self._watch.stop()

    def apply_peer_docs(self, docs: PublishedDocs, peer: str) -> None:
        """Apply the configuration and the evacuations that a peer knows.

        The configuration that the peer has in force comes before a newer one that it could not put
        in force. The broker ignores those that are older than its own.
        """
        # The zones come first: a router that fetches both after its start must not serve by the
        # configuration and send to an evacuated zone.
        with self._lock, self._reporting_zones(f"peer:{peer}"):
            self._evacuations.merge(docs.zones)
        try:
            texts = docs.texts_bytes()
        except ValueError as exc:
            log_event("text_refused", level="ERROR", peer=peer, reason=str(exc)[:200])
            return
        for data in texts:
            self._apply_config(data, f"peer:{peer}")

    def _apply_snapshot(self, snapshot: Snapshot) -> None:
        with self._lock, self._reporting_zones("store"):
            self._evacuations.apply_listing(_zone_changes(snapshot), snapshot.position)
        self._apply_configs(snapshot)

    def _apply_changes(self, snapshot: Snapshot) -> None:
        with self._lock, self._reporting_zones("store"):
            self._evacuations.apply_changes(_zone_changes(snapshot))
        self._apply_configs(snapshot)

    @contextmanager
    def _reporting_zones(self, source: str) -> Iterator[None]:
        """Send the broker the evacuated zones if they have changed in the context."""
        before, position = self._evacuations.evacuated_zones(), self._evacuations.position
        yield
        zones = self._evacuations.evacuated_zones()
        if zones != before:
            self._broker.tell(ZonesEvacuated(zones, self._evacuations.position, source))
        if self._evacuations.position != position:
            # Only after the message is sent, as for the configuration.
            self._published_copy.put_zones(self._evacuations.published())

    def _apply_configs(self, snapshot: Snapshot) -> None:
        for item in snapshot.items:
            if item.key == _CONFIG_KEY and item.value is not None:
                self._apply_config(item.value, "store")

    def _apply_config(self, data: bytes, source: str) -> None:
        try:
            config = decode_routing_config(data)
        except ConfigError as exc:
            log_event("text_refused", level="ERROR", source=source, reason=exc.reason[:200])
            return
        except Exception as exc:  # noqa: BLE001 - the last good configuration stays in force
            log_failure("text_refused", "configuration", exc, source=source)
            return
        self._broker.tell(TextArrived(config, source))
        # Only after the message is sent: whoever sees the new version can rely on the broker to
        # process the configuration before any message sent from then on.
        self._published_copy.put_config(data, config.version)


def _zone_changes(snapshot: Snapshot) -> list[ZoneChange]:
    """Return the evacuations among the items; the presence of an item is what matters."""
    return [
        ZoneChange(
            ZoneId(item.key.removeprefix(_EVACUATION_PREFIX)), item.value is not None, item.position
        )
        for item in snapshot.items
        if item.key.startswith(_EVACUATION_PREFIX)
    ]


class TargetSource:
    """Follows the entries of the targets."""

    def __init__(
        self,
        address: str,
        gate: ReadGate,
        broker: pykka.ActorRef,
        published_copy: PublishedCopy,
        limits: ReadLimits | None = None,
        history_s: float = 0.0,
    ) -> None:
        limits = limits or ReadLimits.from_apply_limit()
        client = StoreClient(address, limits.response_margin_s)
        self._history = HistoryReader(client, history_s, self._send_past_targets)
        self._gate = gate
        self._broker = broker
        self._published_copy = published_copy
        self._lock = threading.Lock()
        self._entries = TargetEntries()
        self._initial_list_sent = False
        self._watch = PrefixWatch(
            client,
            TARGETS_PREFIX,
            gate,
            published_copy,
            self._apply_snapshot,
            self._apply_changes,
            self._run_idle,
            _CHANGE_BATCH_PAUSE_S,
            limits,
        )

    def start(self) -> None:
        """Start reading."""
        self._watch.start()

    def stop(self) -> None:
        """Stop reading."""
        self._watch.stop()

    def apply_peer_docs(self, docs: PublishedDocs, peer: str) -> None:
        """Apply the entries that a peer has read."""
        if not docs.targets_revision:
            return
        covers_gap = self._gate.covers_gap(docs.uninterrupted_s)
        with self._lock:
            before = self._entries.position
            now = time.monotonic()
            work = partial(self._entries.apply_peer_docs, docs, now, covers_gap)
            self._send_changes(self._apply(work))
        if docs.gap_s is not None and docs.has_missing_entries():
            self._gate.adopt_gap(docs.gap_s)
        log_event(
            "targets_from_peer",
            peer=peer,
            era=docs.targets_era,
            revision=docs.targets_revision,
            before=before.revision,
        )

    def _apply_snapshot(self, snapshot: Snapshot) -> None:
        with self._lock:
            now, keep_until = time.monotonic(), self._missing_entry_deadline()
            work = partial(
                self._entries.apply_snapshot, snapshot.items, now, keep_until, snapshot.position
            )
            self._send_changes(self._apply(work))

        if self._gate.is_designated():
            self._history.note_list(snapshot.position, time.monotonic())

    def _apply_changes(self, snapshot: Snapshot) -> None:
        with self._lock:
            now, keep_until = time.monotonic(), self._missing_entry_deadline()
            work = partial(self._entries.apply_changes, snapshot.items, now, keep_until)
            self._send_changes(self._apply(work))

    def _missing_entry_deadline(self) -> float:
        return missing_entry_deadline(self._watch.store_returned_at)

    def _run_idle(self) -> float | None:
        """Do what is due between two reads; return the seconds until more is due, or None."""
        waits = self._apply_timeouts(), self._history.run_if_due(time.monotonic())
        return min((wait for wait in waits if wait is not None), default=None)

    def _send_past_targets(self, found: PastTargets) -> None:
        self._broker.tell(TargetsSeenBefore(found.known_s, found.versions))

    def _apply_timeouts(self) -> float | None:
        """Apply due timeouts; return the seconds until the next one, or None if none is pending."""
        with self._lock:
            now = time.monotonic()
            changes = self._apply(partial(self._entries.apply_timeouts, now))
            if changes:
                self._send_changes(changes)
            return self._entries.next_timeout_s(now)

    def _apply(self, work: Callable[[], EntryChanges]) -> EntryChanges:
        """Apply entries or timeouts; if that fails halfway, send the broker all that is known.

        What was applied until then counts as known, and is no change when it is read again.
        """
        try:
            return work()
        except Exception:
            if self._initial_list_sent:
                self._broker.tell(TargetsListed(self._entries.targets()))
            raise

    def _send_changes(self, changes: EntryChanges) -> None:
        if not self._initial_list_sent:
            self._initial_list_sent = True
            self._broker.tell(TargetsListed(self._entries.targets()))
        elif changes:
            self._broker.tell(TargetsChanged(changes))
        published = self._entries.published(time.monotonic())
        self._published_copy.put_targets(published, self._entries.position, self._entries.history())
