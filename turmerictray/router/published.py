"""What the platform has published, as this router read it, for peers that don't read it now."""

import base64
import threading
from dataclasses import dataclass

import msgspec
import urllib3

from turmerictray.core.errors import PeerError
from turmerictray.core.ids import TargetName

_TIMEOUT_S = 1.0


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
    """

    value: str
    revision: int
    lapses_in_s: float | None = None

    @classmethod
    def encode(
        cls, data: bytes, revision: int, lapses_in_s: float | None = None
    ) -> "PublishedEntry":
        """The entry whose bytes are ``data``."""
        return cls(base64.b64encode(data).decode(), revision, lapses_in_s)

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
    """

    text: str | None = None
    text_version: int = 0
    targets: dict[str, PublishedEntry] = {}
    targets_revision: int = 0

    def text_bytes(self) -> bytes | None:
        """The routing text; raises :class:`ValueError`."""
        return None if self.text is None else base64.b64decode(self.text, validate=True)


@dataclass(frozen=True)
class Position:
    """How far a router has read what the platform publishes.

    Attributes
    ----------
    text_version : int
        0 for no text.
    targets_revision : int
        0 for no list of targets.
    """

    text_version: int = 0
    targets_revision: int = 0

    def is_behind(self, other: "Position") -> bool:
        """Whether ``other`` knows something newer."""
        return (
            self.text_version < other.text_version or self.targets_revision < other.targets_revision
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

    def put_targets(self, entries: dict[TargetName, PublishedEntry], revision: int) -> None:
        """Keep the entries of all targets as published."""
        with self._lock:
            self._docs = msgspec.structs.replace(
                self._docs, targets=entries, targets_revision=revision
            )

    def docs(self) -> PublishedDocs:
        """The documents held now."""
        with self._lock:
            return self._docs

    def position(self) -> Position:
        """How far the documents held now go."""
        docs = self.docs()
        return Position(docs.text_version, docs.targets_revision)


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
