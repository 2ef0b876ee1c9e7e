"""What the platform has published, as this router read it, for peers that can't read it now."""

import base64
import threading
from collections.abc import Callable

import msgspec
import urllib3

from turmerictray.config.routes import RoutingText
from turmerictray.core.errors import ConfigError, PeerError
from turmerictray.core.ids import TargetName
from turmerictray.core.logs import log_event
from turmerictray.routing.load import TargetInfo

_TIMEOUT_S = 1.0


class PublishedDocs(msgspec.Struct, frozen=True):
    """The documents as published, base64.

    Attributes
    ----------
    text : str or None
        The routing text.
    text_version : int
    targets : dict of str to str
        Target name to its entry.
    targets_revision : int
        The store's revision of the entries; 0 for none.
    """

    text: str | None = None
    text_version: int = 0
    targets: dict[str, str] = {}
    targets_revision: int = 0


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

    def put_targets(self, entries: dict[TargetName, bytes], revision: int) -> None:
        """Keep the entries of all targets as published."""
        encoded = {target: base64.b64encode(data).decode() for target, data in entries.items()}
        with self._lock:
            self._docs = msgspec.structs.replace(
                self._docs, targets=encoded, targets_revision=revision
            )

    def docs(self) -> PublishedDocs:
        """The documents held now."""
        with self._lock:
            return self._docs


class PeerCopy:
    """Fetches the published documents from a peer.

    Parameters
    ----------
    decode_text : callable
        Turns the published bytes into a :class:`RoutingText`; raises :class:`ConfigError`.
    decode_target : callable
        Turns a target's name and published bytes into a :class:`TargetInfo`.
    """

    def __init__(
        self,
        decode_text: Callable[[bytes], RoutingText],
        decode_target: Callable[[TargetName, bytes], TargetInfo],
    ) -> None:
        self._decode_text = decode_text
        self._decode_target = decode_target
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

    def text(self, docs: PublishedDocs) -> RoutingText | None:
        """The routing text of a peer's documents; raises :class:`ConfigError`."""
        return None if docs.text is None else self._decode_text(base64.b64decode(docs.text))

    def targets(self, docs: PublishedDocs) -> list[TargetInfo]:
        """The targets of a peer's documents; entries that can't be read name none."""
        found = []
        for name, data in docs.targets.items():
            try:
                found.append(self._decode_target(TargetName(name), base64.b64decode(data)))
            except (ConfigError, ValueError) as exc:
                log_event("target_refused", level="ERROR", target=name, reason=str(exc)[:200])
        return found
