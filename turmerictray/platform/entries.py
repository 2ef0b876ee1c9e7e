"""The targets that are listed in the store, and the current incarnation of each.

The state here has no thread and no clock: its owner, which reads the store, passes in the items and
the current time.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from typing import NamedTuple

from turmerictray.core.errors import ConfigError
from turmerictray.core.ids import TargetId, TargetName
from turmerictray.core.logs import log_event
from turmerictray.core.supervision import log_failure
from turmerictray.platform.documents import decode_target
from turmerictray.platform.store import Item
from turmerictray.router.published import (
    PublishedDocs,
    PublishedEntry,
    StorePosition,
    TargetHistory,
)
from turmerictray.routing.load import TargetGone, TargetInfo

TARGETS_PREFIX = "servers/"

_FAILED_TIMEOUT_PAUSE_S = 1.0
"""Time after which a due timeout that failed is due again."""

_MISSING_ENTRY_GRACE_S = 2.2
"""How long after the store's return a target with a missing entry is kept.

While the store is unavailable, entries of live targets expire, because targets can't renew them.
Targets write them again within about two seconds of the store's return.
"""

_CONFIRMATION_TIMEOUT_S = 5.0
"""How long an entry must stay listed before a target that was removed earlier is trusted again.

A store that was restored from a backup may list targets that have stopped since the backup. A live
target writes its entry again within about two seconds, and the store drops the entry of a stopped
one after three missed heartbeats. An entry that is still listed after this time is valid.
"""

_MAX_REMOVED_INCARNATIONS = 4096
"""How many removed incarnations are remembered; the oldest are forgotten first."""

_MAX_LOGGED_CHARS = 300
"""How much of the name of an entry that is refused is logged; it may be of any length."""

_BEFORE_FIRST_POSITION = StorePosition(-1, -1)

_MIN_TIMEOUT_S = 0.05
"""Minimum time until the next check for timeouts; prevents a busy loop caused by rounding."""


EntryChanges = list[TargetInfo | TargetGone]
"""New or changed targets and removed incarnations, in the order in which they follow from entries.

One answer of the store can bring several changes of a target, of which the last one counts.
"""


@dataclass
class _Entry:
    """A target's entry in the store.

    Attributes
    ----------
    position : StorePosition
        Position of the newest change.
    value : bytes or None
        The entry as written, or None if it was removed.
    info : TargetInfo or None
        The decoded entry, or None if it is not valid.
    last_error : str
        Reason why the entry was last refused; empty if it is valid.
    expires_at : float or None
        When the target is removed, if the entry is missing from the store.
    unconfirmed_value : bytes or None
        Value that a restored store lists although this incarnation was removed before.
    confirm_at : float
        When the unconfirmed value is accepted, if it is still listed.
    revisions : frozenset of int
        Revisions at which the current incarnation wrote its entry.
    """

    position: StorePosition = _BEFORE_FIRST_POSITION
    value: bytes | None = None
    info: TargetInfo | None = None
    last_error: str = ""
    expires_at: float | None = None
    unconfirmed_value: bytes | None = None
    confirm_at: float = 0.0
    revisions: frozenset[int] = frozenset()

    def expires_in_s(self, now: float) -> float | None:
        return None if self.expires_at is None else max(0.0, self.expires_at - now)

    def postpone(self, until: float) -> None:
        """Postpone what is due earlier."""
        if self.expires_at is not None:
            self.expires_at = max(self.expires_at, until)
        if self.unconfirmed_value is not None:
            self.confirm_at = max(self.confirm_at, until)


class _RemovedIncarnation(NamedTuple):
    """The era in which an incarnation was removed, and the revisions at which it was written."""

    era: int
    revisions: frozenset[int]


class TargetEntries:
    """The newest known entry of each target.

    Attributes
    ----------
    position : StorePosition
        Position of the newest change, removals included; revision 0 if there is none.

    Notes
    -----
    A restarted target may keep its name. Its entry then describes a new incarnation, and the
    previous one is removed.

    Items are ordered by their revision in the store, not by the start times that targets write,
    because a target's clock may be set back. A delayed page or event therefore never restores an
    earlier incarnation.

    A store that was restored from a backup starts a higher era and assigns revisions again from
    those of the backup; items that are part of the backup keep their revisions. The restored list
    may contain incarnations that were removed after the backup was made. They are not trusted until
    they write their entry again or have stayed listed for a while.

    An invalid entry describes no target, and the target that it replaces is removed at once: its
    address may already belong to another process.
    """

    def __init__(self) -> None:
        self.position = StorePosition()
        self._entries: dict[TargetName, _Entry] = {}
        self._removed_incarnations: dict[TargetId, _RemovedIncarnation] = {}
        self._complete_from = StorePosition()

    def targets(self) -> list[TargetInfo]:
        """Return the current targets."""
        return [entry.info for entry in self._entries.values() if entry.info is not None]

    def published(self, now: float) -> dict[TargetName, PublishedEntry]:
        """Return the entries as they were written, for peers."""
        return {
            name: PublishedEntry.encode(entry.value, entry.position, entry.expires_in_s(now))
            for name, entry in self._entries.items()
            if entry.value is not None
        }

    def history(self) -> TargetHistory:
        """Return what peers need to be told only the changes since an earlier position."""
        removed = {
            name: entry.position for name, entry in self._entries.items() if entry.value is None
        }
        return TargetHistory(removed, self._complete_from)

    def apply_snapshot(
        self, items: Iterable[Item], now: float, keep_until: float, position: StorePosition
    ) -> EntryChanges:
        """Apply a list of all items in the store; entries that it lacks have expired there.

        Parameters
        ----------
        items : iterable of Item
        now : float
        keep_until : float
            Time until which targets with a missing entry are kept.
        position : StorePosition
            Position of the list.
        """
        items = list(items)
        changes = self._apply_items(items, now, keep_until, is_snapshot=True)
        listed = {name_of_target(item) for item in items}
        self._expire_unlisted(listed, position, now, keep_until)
        if position.era > self.position.era:
            self.position = position
        self._complete_from = max(self._complete_from, position)
        return changes + self.apply_timeouts(now)

    def apply_peer_docs(
        self, docs: PublishedDocs, now: float, covers_gap: bool = False
    ) -> EntryChanges:
        """Apply all entries that a peer has read, as of their common position.

        A target that the peer keeps although its entry is missing expires here at the same time as
        at the peer. Its expiry changes nothing in the store, so no newer document would report it.

        ``covers_gap`` is True if the peer read the store while this router could not: targets that
        are kept here because of that and that the peer lacks have been removed.
        """
        changes: EntryChanges = []
        if docs.targets_era < self.position.era:
            return changes
        for name, published in docs.targets.items():
            entry = self._entries.setdefault(TargetName(name), _Entry())
            position = published.position
            if position < entry.position or self._is_known(entry, published):
                continue
            value = _decode_published(published, name)
            before, entry.position = entry.position, position
            try:
                self._apply_value(TargetName(name), entry, value, changes)
            except Exception:
                # Otherwise it would count as known when it is read again.
                entry.position = before
                raise
            if published.expires_in_s is not None:
                self._start_expiry(entry, now, now + published.expires_in_s)
        if docs.removed is None:
            self._expire_unlisted(docs.targets.keys(), docs.targets_position, now, now)
            # Targets that came and left unnoticed can't be told to others.
            self._complete_from = max(self._complete_from, docs.targets_position)
        else:
            self._expire_missing(docs.removed, docs.targets_position, now, now)
        if covers_gap and docs.removed is None:
            self._end_expiries(docs, now)
        self.position = max(self.position, docs.targets_position)
        return changes + self.apply_timeouts(now)

    @staticmethod
    def _is_known(entry: _Entry, published: PublishedEntry) -> bool:
        if entry.position != published.position:
            return False
        is_current = entry.value is not None and entry.expires_at is None
        return published.expires_in_s is not None or is_current

    def apply_changes(self, items: Iterable[Item], now: float, keep_until: float) -> EntryChanges:
        """Apply written and removed items; items older than the known ones are ignored."""
        return self._apply_items(items, now, keep_until, is_snapshot=False)

    def _apply_items(
        self, items: Iterable[Item], now: float, keep_until: float, is_snapshot: bool
    ) -> EntryChanges:
        changes: EntryChanges = []
        for item in items:
            name = name_of_target(item)
            entry = self._entries.setdefault(name, _Entry())
            if item.position < entry.position:
                continue
            is_unconfirmed = is_snapshot and self._is_unconfirmed(name, entry, item)
            entry.position = item.position
            self.position = max(self.position, item.position)
            if is_unconfirmed:
                self._set_unconfirmed(entry, item, now)
            else:
                entry.unconfirmed_value = None
            if item.value is None or is_unconfirmed:
                self._start_expiry(entry, now, keep_until)
                # The same answer may bring the next entry under this name.
                self._apply_due_timeout(name, entry, now, changes)
            else:
                self._apply_value(name, entry, item.value, changes)
        return changes + self.apply_timeouts(now)

    def _is_unconfirmed(self, name: TargetName, entry: _Entry, item: Item) -> bool:
        """Whether a list contains an incarnation that was removed in an earlier era."""
        if entry.unconfirmed_value is not None:
            return item.position == entry.position
        if (
            item.value is None
            or item.position.era <= entry.position.era
            or not self._removed_incarnations
        ):
            return False
        info = self._decode(name, _Entry(last_error=entry.last_error), item.value)
        removed = None if info is None else self._removed_incarnations.get(info.id)
        if removed is None or removed.era >= item.position.era:
            return False
        return item.position.revision in removed.revisions

    def _set_unconfirmed(self, entry: _Entry, item: Item, now: float) -> None:
        if entry.unconfirmed_value is None:
            entry.confirm_at = now + _CONFIRMATION_TIMEOUT_S
        entry.unconfirmed_value = item.value

    def apply_timeouts(self, now: float) -> EntryChanges:
        """Remove targets whose missing entries have expired; accept unconfirmed ones when due.

        One that fails keeps no other from being done, and is due again after a pause.
        """
        changes: EntryChanges = []
        for name, entry in self._entries.items():
            self._apply_due_timeout(name, entry, now, changes)
        return changes

    def _apply_due_timeout(
        self, name: TargetName, entry: _Entry, now: float, changes: EntryChanges
    ) -> None:
        try:
            self._apply_timeout(name, entry, now, changes)
        except Exception as exc:  # noqa: BLE001 - the other targets are independent of it
            log_failure("timeout_failed", "targets", exc, target=name)
            entry.postpone(now + _FAILED_TIMEOUT_PAUSE_S)

    def _apply_timeout(
        self, name: TargetName, entry: _Entry, now: float, changes: EntryChanges
    ) -> None:
        if entry.expires_at is not None and entry.expires_at <= now:
            self._remove_target(entry, changes)
            entry.expires_at = entry.value = None
        if entry.unconfirmed_value is not None and entry.confirm_at <= now:
            self._confirm(name, entry, entry.unconfirmed_value, changes)
            # The entry's position is an old one, so that a list of changes would lack it.
            self._complete_from = self.position._replace(revision=self.position.revision + 1)

    def _confirm(
        self, name: TargetName, entry: _Entry, value: bytes, changes: EntryChanges
    ) -> None:
        try:
            self._apply_value(name, entry, value, changes)
        except Exception:
            # Otherwise it would not be due again.
            entry.unconfirmed_value = value
            raise

    def next_timeout_s(self, now: float) -> float | None:
        """Return the seconds until the next expiry or confirmation, or None if none is pending."""
        entries = self._entries.values()
        times = [entry.expires_at for entry in entries if entry.expires_at is not None]
        times += [entry.confirm_at for entry in entries if entry.unconfirmed_value is not None]
        return max(_MIN_TIMEOUT_S, min(times) - now) if times else None

    def _remove_target(self, entry: _Entry, changes: EntryChanges) -> None:
        """Remove the target of an entry and remember its incarnation."""
        if entry.info is None:
            return
        changes.append(TargetGone(entry.info.id))
        if len(self._removed_incarnations) >= _MAX_REMOVED_INCARNATIONS:
            del self._removed_incarnations[next(iter(self._removed_incarnations))]
        self._removed_incarnations[entry.info.id] = _RemovedIncarnation(
            entry.position.era, entry.revisions
        )
        entry.info, entry.revisions = None, frozenset()

    def _expire_unlisted(
        self, listed: Collection[str], position: StorePosition, now: float, keep_until: float
    ) -> None:
        missing = [name for name in self._entries if name not in listed]
        self._expire_missing(missing, position, now, keep_until)

    def _expire_missing(
        self, names: Iterable[str], position: StorePosition, now: float, keep_until: float
    ) -> None:
        for name in names:
            entry = self._entries.setdefault(TargetName(name), _Entry())
            if entry.position > position:
                continue
            if entry.position == _BEFORE_FIRST_POSITION:
                entry.position = position
            if entry.value is not None and entry.expires_at is None:
                # The newer position shows peers that there is a change to fetch.
                entry.position = position
                self.position = max(self.position, position)
            entry.unconfirmed_value = None
            self._start_expiry(entry, now, keep_until)

    def _end_expiries(self, docs: PublishedDocs, now: float) -> None:
        for name, entry in self._entries.items():
            is_missing = entry.expires_at is not None and name not in docs.targets
            if is_missing and entry.position <= docs.targets_position:
                entry.expires_at = now

    def _start_expiry(self, entry: _Entry, now: float, keep_until: float) -> None:
        if entry.value is not None and entry.expires_at is None:
            entry.expires_at = max(now, keep_until)

    def _apply_value(
        self, name: TargetName, entry: _Entry, value: bytes, changes: EntryChanges
    ) -> None:
        entry.expires_at = entry.unconfirmed_value = None
        entry.value = value
        before, info = entry.info, self._decode(name, entry, value)
        if before is not None and (info is None or info.id != before.id):
            self._remove_target(entry, changes)
        entry.info = info
        entry.revisions |= {entry.position.revision}
        if info is not None and info != before:
            self._removed_incarnations.pop(info.id, None)
            changes.append(info)

    @staticmethod
    def _decode(name: TargetName, entry: _Entry, value: bytes) -> TargetInfo | None:
        try:
            info = decode_target(name, value)
        except ConfigError as exc:
            # The same invalid entry may be written repeatedly; log it once.
            if exc.reason != entry.last_error:
                entry.last_error = exc.reason
                fields = {"target": name[:_MAX_LOGGED_CHARS], "reason": exc.reason[:200]}
                log_event("target_refused", level="ERROR", **fields)
            return None
        except Exception as exc:  # noqa: BLE001 - the other targets must not be lost for this one
            if repr(exc) != entry.last_error:
                entry.last_error = repr(exc)
                log_failure("target_refused", "targets", exc, target=name)
            return None
        entry.last_error = ""
        return info


def missing_entry_deadline(store_returned_at: float) -> float:
    """Return the time until which targets with a missing entry are kept.

    Parameters
    ----------
    store_returned_at : float
        When the store last became available again.
    """
    return store_returned_at + _MISSING_ENTRY_GRACE_S


def name_of_target(item: Item) -> TargetName:
    """Return the name of the target that an item belongs to."""
    return TargetName(item.key.removeprefix(TARGETS_PREFIX))


def _decode_published(published: PublishedEntry, name: str) -> bytes:
    try:
        return published.decode()
    except ValueError as exc:
        log_event("copied_entry_unreadable", level="WARNING", target=name, reason=str(exc))
        return b""
