"""What the platform has published, as this router read it, for peers that don't read it now."""

import base64
import threading
from dataclasses import dataclass
from typing import NamedTuple

import msgspec
import urllib3

from turmerictray.core.errors import PeerError
from turmerictray.core.ids import TargetName

_TIMEOUT_S = 1.0


class StorePosition(NamedTuple):
    """A point in the store's history, ordered by era first.

    A store that has come back from a copy gives revisions out again, in a higher era.
    """

    era: int = 0
    revision: int = 0


class PublishedEntry(msgspec.Struct, frozen=True, array_like=True):
    """An entry of a target as published.

    Attributes
    ----------
    value : str
        Base64.
    revision : int
        Of its newest change in the store.
    lapses_in_s : float or None
        The entry is missing, and its target is given up after that long; None where it is there.
    era : int
        Of the revision.
    """

    value: str
    revision: int
    lapses_in_s: float | None = None
    era: int = 0

    @classmethod
    def encode(
        cls, data: bytes, position: StorePosition, lapses_in_s: float | None = None
    ) -> "PublishedEntry":
        """The entry whose bytes are ``data``."""
        value = base64.b64encode(data).decode()
        return cls(value, position.revision, lapses_in_s, position.era)

    @property
    def position(self) -> StorePosition:
        """Its newest change in the store."""
        return StorePosition(self.era, self.revision)

    def decode(self) -> bytes:
        """The entry's bytes; raises :class:`ValueError`."""
        return base64.b64decode(self.value, validate=True)


class PublishedDocs(msgspec.Struct, frozen=True):
    """The documents as published.

    Attributes
    ----------
    text : str or None
        The routing text, base64.
    text_version : int
    targets : dict of str to PublishedEntry
        By the target's name; a target that is not named is gone.
    targets_revision : int
        Revision of the newest change of an entry, a removal included; 0 for none.
    targets_era : int
        Of that revision.
    """

    text: str | None = None
    text_version: int = 0
    targets: dict[str, PublishedEntry] = {}
    targets_revision: int = 0
    targets_era: int = 0

    @property
    def targets_position(self) -> StorePosition:
        """The newest change of an entry."""
        return StorePosition(self.targets_era, self.targets_revision)

    def text_bytes(self) -> bytes | None:
        """The routing text; raises :class:`ValueError`."""
        return None if self.text is None else base64.b64decode(self.text, validate=True)


@dataclass(frozen=True)
class Position:
    """How far a router has read what the platform publishes.

    Attributes
    ----------
    text_version : int
        0 for no text. Operators never give a version twice, so it needs no era.
    targets : StorePosition
        Revision 0 for no list of targets.
    """

    text_version: int = 0
    targets: StorePosition = StorePosition()

    def is_behind(self, other: "Position") -> bool:
        """Whether ``other`` knows something newer."""
        return self.text_version < other.text_version or self.targets < other.targets

    def merge(self, other: "Position") -> "Position":
        """The newest of both."""
        return Position(
            max(self.text_version, other.text_version), max(self.targets, other.targets)
        )


class PublishedCopy:
    """Holds the newest documents; shared between the reading threads and the admin server."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._docs = PublishedDocs()

    def put_text(self, data: bytes, version: int) -> None:
        """Keep a routing text as published."""
        with self._lock:
            if version > self._docs.text_version:
                self._docs = msgspec.structs.replace(
                    self._docs, text=base64.b64encode(data).decode(), text_version=version
                )

    def put_targets(
        self, entries: dict[TargetName, PublishedEntry], position: StorePosition
    ) -> None:
        """Keep the entries of all targets as published."""
        with self._lock:
            self._docs = msgspec.structs.replace(
                self._docs,
                targets=entries,
                targets_revision=position.revision,
                targets_era=position.era,
            )

    def docs(self) -> PublishedDocs:
        """The documents held now."""
        with self._lock:
            return self._docs

    def position(self) -> Position:
        """How far the documents held now go."""
        docs = self.docs()
        return Position(docs.text_version, docs.targets_position)


class PeerDocs:
    """Fetches the published documents from peers."""

    def __init__(self) -> None:
        self._http = urllib3.PoolManager(num_pools=4, maxsize=1, retries=False)

    def fetch(self, admin: str) -> PublishedDocs:
        """Read a peer's documents from its admin address (``host:port``).

        Raises
        ------
        PeerError
            The peer can't be reached or its answer can't be read.
        """
        try:
            resp = self._http.request("GET", f"http://{admin}/published", timeout=_TIMEOUT_S)
            if resp.status != 200:
                raise PeerError(f"{admin} answered {resp.status}")
            return msgspec.json.decode(resp.data, type=PublishedDocs)
        except (urllib3.exceptions.HTTPError, msgspec.DecodeError) as exc:
            raise PeerError(f"{admin}: {exc}") from exc
