"""Documents published by the platform, stored for peers that don't read the store themselves."""

import base64
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

import msgspec
import urllib3

from turmerictray.core import metrics
from turmerictray.core.decoding import Counter, DecodingError, decode_json, parse_counter
from turmerictray.core.errors import PeerError
from turmerictray.core.ids import TargetName, ZoneId
from turmerictray.transport.bounded_input import bounded_pool_manager

PUBLISHED_PAGE = "/published"
PUBLISHED_PAGE_WITHOUT_TEXT = "/published/targets"
"""Pages on a router's admin address with its documents; the second lacks the configuration. With a
:class:`StorePosition` as its query, it has only the targets that have changed since."""

_MAX_TEXTS = 4
"""Routing configurations kept besides the one in force, as the broker may not have handled them: as
many of the newest, and of the last ones to arrive."""

_NOT_FOUND = 404
_TIMEOUT_S = 1.0


class StorePosition(NamedTuple):
    """A point in the store's history, ordered by era first.

    A store that was restored from a backup issues the same revisions again, in a higher era.
    """

    era: int = 0
    revision: int = 0

    def to_query(self) -> str:
        """Return the position as the query of a page's address."""
        return f"{self.era}.{self.revision}"

    @classmethod
    def from_query(cls, query: str) -> "StorePosition | None":
        """Return the position in a query; None if it is not valid."""
        era, revision = map(parse_counter, query.partition(".")[::2])
        return None if era is None or revision is None else cls(era, revision)


class PublishedEntry(msgspec.Struct, frozen=True, array_like=True):
    """A target's entry as published.

    Attributes
    ----------
    value : str
        The entry's bytes in Base64.
    revision : int
        Revision of its last change in the store.
    expires_in_s : float or None
        If the entry is missing from the store, seconds until its target is removed; None if the
        entry is present.
    era : int
        Era of ``revision``.
    """

    value: str
    revision: Counter
    expires_in_s: float | None = None
    era: Counter = 0

    @classmethod
    def encode(
        cls, data: bytes, position: StorePosition, expires_in_s: float | None = None
    ) -> "PublishedEntry":
        """Create the entry whose bytes are ``data``."""
        value = base64.b64encode(data).decode()
        return cls(value, position.revision, expires_in_s, position.era)

    @property
    def position(self) -> StorePosition:
        """Position of its last change in the store."""
        return StorePosition(self.era, self.revision)

    def decode(self) -> bytes:
        """Return the entry's bytes; raise :class:`ValueError` if they are not valid Base64."""
        return base64.b64decode(self.value, validate=True)


class ZoneState(msgspec.Struct, frozen=True, array_like=True):
    """Newest published state of an availability zone.

    Attributes
    ----------
    evacuated : bool
    revision, era : int
        Position of the change in the store.
    """

    evacuated: bool
    revision: Counter
    era: Counter = 0

    @property
    def position(self) -> StorePosition:
        """Position of the change."""
        return StorePosition(self.era, self.revision)


class PublishedDocs(msgspec.Struct, frozen=True):
    """The published documents: routing configuration, targets and evacuated zones.

    Attributes
    ----------
    text : str or None
        The routing configuration in Base64.
    text_version : int
    targets : dict of str to PublishedEntry
        Entries by target name.
    removed : list of str or None
        None if all entries are listed, and a target without an entry has been removed. Otherwise
        ``targets`` and this list have the targets that have changed, and those that have been
        removed, since the position that the reader asked for.
    targets_revision : int
        Revision of the last change of any entry, including removals; 0 for none.
    targets_era : int
        Era of ``targets_revision``.
    zones : dict of str to ZoneState
        Zones that were ever evacuated, by name.
    uninterrupted_s, gap_s : float
        How continuously the sender has read the store; see
        :class:`turmerictray.router.store_readers.ReadContinuity`.
    text_in_force : str or None
        The older configuration that the sender has in force, in Base64, if it could not put
        ``text`` in force.
    """

    text: str | None = None
    text_version: Counter = 0
    targets: dict[str, PublishedEntry] = {}
    removed: list[str] | None = None
    targets_revision: Counter = 0
    targets_era: Counter = 0
    zones: dict[str, ZoneState] = {}
    uninterrupted_s: float = 0.0
    gap_s: float | None = None
    text_in_force: str | None = None

    @property
    def zones_position(self) -> StorePosition:
        """Position of the newest change of a zone; revision 0 for none."""
        return max((state.position for state in self.zones.values()), default=StorePosition())

    @property
    def targets_position(self) -> StorePosition:
        """Position of the last change of any entry."""
        return StorePosition(self.targets_era, self.targets_revision)

    def has_missing_entries(self) -> bool:
        """Return whether any target is kept although its entry is missing from the store."""
        return any(entry.expires_in_s is not None for entry in self.targets.values())

    def texts_bytes(self) -> list[bytes]:
        """Return the routing configurations, the newest one last.

        Raises
        ------
        ValueError
            One of them is not valid Base64.
        """
        texts = (self.text_in_force, self.text)
        return [base64.b64decode(text, validate=True) for text in texts if text is not None]


@dataclass(frozen=True)
class Position:
    """The versions of the published documents that a router has read.

    Attributes
    ----------
    text_version : int
        0 for no routing configuration. Operators never reuse a version, so it needs no era.
    targets : StorePosition
        Revision 0 for no list of targets.
    zones : StorePosition
        Newest evacuation of an availability zone, or its end; revision 0 for none.
    """

    text_version: int = 0
    targets: StorePosition = StorePosition()
    zones: StorePosition = StorePosition()

    def is_behind(self, other: "Position") -> bool:
        """Return whether any document of ``other`` is newer."""
        return (
            self.text_version < other.text_version
            or self.targets < other.targets
            or self.zones < other.zones
        )

    def merge(self, other: "Position") -> "Position":
        """Return the newer version of each document."""
        return Position(
            max(self.text_version, other.text_version),
            max(self.targets, other.targets),
            max(self.zones, other.zones),
        )


@dataclass(frozen=True)
class TargetHistory:
    """What is needed to list the changes of targets since an earlier position.

    Attributes
    ----------
    removed : dict of TargetName to StorePosition
        Removed targets, and the positions of their removals.
    complete_from : StorePosition
        Changes since an earlier position can't be listed.
    """

    removed: dict[TargetName, StorePosition]
    complete_from: StorePosition

    def covers(self, since: StorePosition) -> bool:
        """Return whether all changes since a position of the same era are known."""
        return since.era == self.complete_from.era and since >= self.complete_from


class PublishedCopy:
    """Store of the newest documents, shared by the reading threads and the admin server.

    Parameters
    ----------
    version_in_force : callable
        Returns the version of the routing configuration in force; 0 for none.
    """

    def __init__(self, version_in_force: Callable[[], int] = lambda: 0) -> None:
        self._lock = threading.Lock()
        self._version_in_force = version_in_force
        self._docs = PublishedDocs()
        self._texts: dict[int, str] = {}
        self._history: TargetHistory | None = None

    def put_config(self, data: bytes, version: int) -> None:
        """Store a published routing configuration if it is newer.

        Others are kept if they are, or may become, the one in force.
        """
        text = base64.b64encode(data).decode()
        with self._lock:
            self._texts.pop(version, None)
            self._texts[version] = text
            in_force = self._version_in_force()
            kept = {in_force, *sorted(self._texts)[-_MAX_TEXTS:], *list(self._texts)[-_MAX_TEXTS:]}
            self._texts = {v: t for v, t in self._texts.items() if v in kept and v >= in_force}
            if version > self._docs.text_version:
                self._docs = msgspec.structs.replace(self._docs, text=text, text_version=version)

    def put_targets(
        self,
        entries: dict[TargetName, PublishedEntry],
        position: StorePosition,
        history: TargetHistory | None = None,
    ) -> None:
        """Store the published entries of all targets.

        Without a history, peers are always sent all entries.
        """
        with self._lock:
            self._history = history
            self._docs = msgspec.structs.replace(
                self._docs,
                targets=entries,
                targets_revision=position.revision,
                targets_era=position.era,
            )

    def put_zones(self, zones: dict[ZoneId, ZoneState]) -> None:
        """Store the states of the availability zones."""
        with self._lock:
            self._docs = msgspec.structs.replace(self._docs, zones=zones)

    def docs(self) -> PublishedDocs:
        """Return the stored documents."""
        with self._lock:
            return self._docs

    def docs_for_peers(self) -> PublishedDocs:
        """Return the stored documents, and the configuration in force if it is an older one."""
        with self._lock:
            in_force = self._version_in_force()
            if in_force >= self._docs.text_version:
                return self._docs
            return msgspec.structs.replace(self._docs, text_in_force=self._texts.get(in_force))

    def docs_without_text(self, since: StorePosition | None = None) -> PublishedDocs:
        """Return the stored documents except the routing configuration.

        If ``since`` is given and the changes since then are known, only these are listed.
        """
        with self._lock:
            docs = msgspec.structs.replace(self._docs, text=None, text_version=0)
            history = self._history
        if since is None or history is None or not history.covers(since):
            return docs
        # Compared without making positions, as a router with many targets is asked often.
        era, revision = since
        changed = {
            name: entry
            for name, entry in docs.targets.items()
            if entry.era == era and entry.revision > revision
        }
        removed = [name for name, position in history.removed.items() if position > since]
        return msgspec.structs.replace(docs, targets=changed, removed=removed)

    def position(self) -> Position:
        """Return the versions of the stored documents."""
        docs = self.docs()
        return Position(docs.text_version, docs.targets_position, docs.zones_position)


class PeerDocs:
    """Client that fetches the published documents from peers."""

    def __init__(self) -> None:
        self._http = bounded_pool_manager(num_pools=4, maxsize=1, retries=False)

    def fetch(
        self, admin: str, with_text: bool = True, since: StorePosition | None = None
    ) -> PublishedDocs:
        """Fetch a peer's documents from its admin address (``host:port``).

        Parameters
        ----------
        admin : str
        with_text : bool
            Whether to fetch all documents, with the routing configuration, which is the largest.
        since : StorePosition or None
            Without the configuration, ask only for the targets that have changed since.

        Raises
        ------
        PeerError
            The peer is unreachable or its answer is invalid.
        """
        page = PUBLISHED_PAGE if with_text else PUBLISHED_PAGE_WITHOUT_TEXT
        if since is not None and not with_text:
            page += f"?{since.to_query()}"
        try:
            resp = self._get(admin, page)
            if resp.status == _NOT_FOUND and not with_text:
                # A router of an earlier version has only the page with all documents.
                resp = self._get(admin, PUBLISHED_PAGE)
            if resp.status != 200:
                raise PeerError(f"{admin} answered {resp.status}")
            return decode_json(resp.data, PublishedDocs)
        except (urllib3.exceptions.HTTPError, DecodingError) as exc:
            raise PeerError(f"{admin}: {exc}") from exc

    def _get(self, admin: str, page: str) -> urllib3.BaseHTTPResponse:
        resp = self._http.request("GET", f"http://{admin}{page}", timeout=_TIMEOUT_S)
        metrics.count_control_bytes("published", 0, len(resp.data))
        return resp
