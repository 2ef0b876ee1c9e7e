"""What the store's history shows of targets that were there before this router started.

The history has revisions and no times. A change that the store has discarded is at least as old as
the history is long; so the oldest position from which changes can still be read tells for how long
all changes are known.
"""

import math
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec

from turmerictray.core.decoding import DecodingError, decode_json
from turmerictray.core.errors import ConfigError, HistoryGone, StoreUnavailable
from turmerictray.core.ids import ServiceName, SoftwareVersion, TargetName
from turmerictray.core.logs import log_event
from turmerictray.platform.documents import decode_target
from turmerictray.platform.entries import (
    TARGETS_PREFIX,
    missing_entry_deadline,
    name_of_target,
)
from turmerictray.platform.store import Item, Snapshot, StoreClient
from turmerictray.router.published import StorePosition

_MAX_CLOCK_STEP_S = 10.0
"""Error up to which the times of day of machines are trusted, in seconds."""

_RETRY_PAUSE_S = 0.5
"""Pause after a read that the store did not answer, in seconds."""

_MAX_ATTEMPTS = 10
"""Reads that the store may leave unanswered; after that, peers and time tell as much."""


@dataclass(frozen=True)
class PastTargets:
    """Targets that a service had in the time before a read of the store.

    Attributes
    ----------
    known_s : float
        Seconds before the read in which no other targets can have left; infinite if none ever has.
    versions : frozenset of (ServiceName, SoftwareVersion)
        Versions of the targets whose entries were written in this time.
    """

    known_s: float
    versions: frozenset[tuple[ServiceName, SoftwareVersion]]


class _Start(msgspec.Struct, frozen=True):
    # Start time of the process in Unix milliseconds.
    born: int | None = None


def read_past_targets(
    client: StoreClient, position: StorePosition, history_s: float
) -> PastTargets | None:
    """Read the changes to targets' entries that the store still has.

    Parameters
    ----------
    client : StoreClient
    position : StorePosition
        Position of a list of all entries.
    history_s : float
        Seconds for which the store keeps changes.

    Returns
    -------
    PastTargets or None
        None if a target may have left whose version is not known.

    Raises
    ------
    HistoryGone
        The store has lost its changes since ``position``, which is recent.
    StoreUnavailable
        The store can't be reached.
    """
    oldest, is_complete = _read_oldest(client, position)
    known_s = math.inf if is_complete else history_s
    versions = _versions(oldest.items, is_complete, time.time() - known_s - _MAX_CLOCK_STEP_S)
    return None if versions is None else PastTargets(known_s, frozenset(versions))


def _read_oldest(client: StoreClient, position: StorePosition) -> tuple[Snapshot, bool]:
    """Return the changes since the oldest possible position, and whether these are all changes."""

    def read(revision: int) -> Snapshot:
        return client.watch(TARGETS_PREFIX, StorePosition(position.era, revision), 0.0)

    found, kept, discarded = read(position.revision), position.revision, -1
    step = 1
    while kept - discarded > 1:
        revision = max(discarded + 1, kept - step)
        if discarded >= 0:
            revision = (kept + discarded) // 2
        try:
            found, kept = read(revision), revision
            step *= 2
        except HistoryGone:
            discarded = revision
    return found, kept == 0


def _versions(
    items: Iterable[Item], is_complete: bool, oldest_start: float
) -> set[tuple[ServiceName, SoftwareVersion]] | None:
    """Return the versions that entries name; None if an entry may have hidden another one."""
    versions: set[tuple[ServiceName, SoftwareVersion]] = set()
    seen: set[TargetName] = set()
    for item in items:
        name = name_of_target(item)
        is_hidden = not is_complete and name not in seen and not item.is_first
        seen.add(name)
        if is_hidden and (item.value is None or _has_started(item.value, oldest_start)):
            return None
        if item.value is None:
            continue
        try:
            info = decode_target(name, item.value)
        except ConfigError:
            # It names no target.
            continue
        versions.add((info.service, info.version))
    return versions


def _has_started(value: bytes, after: float) -> bool:
    """Return whether an entry is that of a process started after a Unix time in seconds.

    The entry that it replaced may be of another process then. Without a start time, each start of a
    target has an entry of its own.
    """
    try:
        born = decode_json(value, _Start).born
    except DecodingError:
        return True
    return born is not None and born / 1000 > after


class HistoryReader:
    """Reads the history once after the start of a router.

    Parameters
    ----------
    client : StoreClient
        Used on the thread that calls :meth:`run_if_due`.
    history_s : float
        Seconds for which the store keeps changes.
    on_found : callable
        Called with :class:`PastTargets`.
    """

    def __init__(
        self,
        client: StoreClient,
        history_s: float,
        on_found: Callable[[PastTargets], None],
    ) -> None:
        self._client = client
        self._history_s = history_s
        self._on_found = on_found
        self._position: StorePosition | None = None
        self._due_at = -math.inf
        self._attempts_left = _MAX_ATTEMPTS

    def note_list(self, position: StorePosition, now: float) -> None:
        """Record the position of the first list of all entries.

        The store may have been away until just now, and then the list lacks targets that are there.
        """
        if self._position is None:
            self._due_at = missing_entry_deadline(now)
            self._position = position

    def run_if_due(self, now: float) -> float | None:
        """Read the history if it is due; return the seconds until the next attempt, or None."""
        if self._position is None or not self._attempts_left:
            return None
        if now < self._due_at:
            return self._due_at - now
        self._attempts_left -= 1
        try:
            found = read_past_targets(self._client, self._position, self._history_s)
        except StoreUnavailable as exc:
            log_event("history_unread", level="WARNING", reason=str(exc)[:200])
            self._due_at = now + _RETRY_PAUSE_S
            return _RETRY_PAUSE_S
        except HistoryGone as exc:
            # The store has discarded changes early, and perhaps others before.
            log_event("history_gone", level="WARNING", reason=str(exc)[:200])
            self._attempts_left = 0
            return None
        self._attempts_left = 0
        log_event(
            "history_read",
            known_s=round(found.known_s, 1) if found else 0.0,
            versions=len(found.versions) if found else 0,
        )
        if found is not None:
            self._on_found(found)
        return None
