"""Software versions that began streams, so that their callers can take them up elsewhere.

All times are passed in as arguments, so that the records can be tested without waiting.
"""

import math
from collections import Counter
from collections.abc import Iterable
from hashlib import blake2b

from turmerictray.core.ids import RequestId, ServiceName, SoftwareVersion, StreamKey, TeamId

_KEY_BYTES = 8
_CONTEXT = b"stream-key"
_FLOAT_BITS = 53
_UNUSED_BITS = 8 * _KEY_BYTES - _FLOAT_BITS

_GENERATION_S = 15.0
"""Records are dropped by generations: one is kept for 15 to 30 s after its last use, longer than
callers wait for an answer."""

_MAX_GENERATION_SIZE = 75_000
"""Records per generation, for 5,000 streams a second; beyond it, the older generation is dropped
early."""

VERSION_RETENTION_S = 2 * _GENERATION_S
"""How long a version counts after its last target is gone; a stream that it began may be taken up
until then."""

LEAVING_SERVES_S = 5.0
"""How long a target whose entry is gone may begin streams, at routers that don't know it yet."""

_REPORT_TOLERANCE_S = 5.0
"""Difference up to which two reports of when a version has gone mean the same event."""


def stream_key(team: TeamId, service: ServiceName, request_id: RequestId) -> StreamKey:
    """Return the key of the stream that a caller's request began.

    It includes the team, so that no caller learns of another team's streams.
    """
    digest = blake2b(digest_size=_KEY_BYTES, person=_CONTEXT)
    for part in (team, service, request_id):
        data = part.encode()
        digest.update(len(data).to_bytes(8, "big"))
        digest.update(data)
    return StreamKey(int.from_bytes(digest.digest(), "big"))


def uniform_draw(request_id: RequestId) -> float:
    """Return a number in [0, 1) that is uniform over ids and the same wherever it is computed."""
    digest = blake2b(request_id.encode(), digest_size=_KEY_BYTES, person=_CONTEXT).digest()
    return (int.from_bytes(digest, "big") >> _UNUSED_BITS) / (1 << _FLOAT_BITS)


def pack_keys(streams: Iterable[StreamKey]) -> bytes:
    """Encode keys for a message."""
    return b"".join(stream.to_bytes(_KEY_BYTES, "big") for stream in streams)


def unpack_keys(data: bytes) -> list[StreamKey]:
    """Decode keys from a message; an incomplete last one is left out."""
    ends = range(_KEY_BYTES, len(data) + 1, _KEY_BYTES)
    return [StreamKey(int.from_bytes(data[end - _KEY_BYTES : end], "big")) for end in ends]


class RecentVersions:
    """Software versions that a service's targets have, or have had until recently."""

    def __init__(self) -> None:
        self._target_counts: Counter[SoftwareVersion] = Counter()
        self._gone_at: dict[SoftwareVersion, float] = {}

    def add(self, version: SoftwareVersion) -> bool:
        """Record a target of a version; return whether it is the only one of this version."""
        self._target_counts[version] += 1
        return self._target_counts[version] == 1

    def remove(self, version: SoftwareVersion, now: float) -> None:
        """Record that a target of a version is gone."""
        self._target_counts[version] -= 1
        if not self._target_counts[version]:
            del self._target_counts[version]
            self._gone_at[version] = now

    def serving(self) -> set[SoftwareVersion]:
        """Return the versions of the targets that are there now."""
        return set(self._target_counts)

    def current(self, now: float) -> set[SoftwareVersion]:
        """Return the versions that may have begun a stream that is still awaited."""
        return set(self._target_counts) | set(self.gone(now))

    def gone(self, now: float) -> dict[SoftwareVersion, float]:
        """Return the versions whose last target has gone recently, and when."""
        kept = {v: at for v, at in self._gone_at.items() if now - at <= 2 * VERSION_RETENTION_S}
        self._gone_at = kept
        return {v: at for v, at in kept.items() if now - at <= VERSION_RETENTION_S}

    def note_gone(self, version: SoftwareVersion, gone_at: float) -> None:
        """Record when the last target of a version has gone, as another router knows it.

        Each report arrives a little late. A slightly later time is therefore no news; otherwise
        routers that repeat each other's reports would keep a version forever.
        """
        if gone_at > self._gone_at.get(version, -math.inf) + _REPORT_TOLERANCE_S:
            self._gone_at[version] = gone_at


class StreamVersions:
    """The software version that began each recent stream of one service."""

    def __init__(self) -> None:
        self._current: dict[StreamKey, SoftwareVersion] = {}
        self._previous: dict[StreamKey, SoftwareVersion] = {}
        self._generation_started_at: float | None = None
        self._new: list[StreamKey] = []

    def __len__(self) -> int:
        return len(self._current) + len(self._previous)

    def record(self, stream: StreamKey, version: SoftwareVersion, now: float) -> None:
        """Record the version that wrote the first event of a stream."""
        self.merge([stream], version, now)
        self._new.append(stream)

    def merge(self, streams: Iterable[StreamKey], version: SoftwareVersion, now: float) -> None:
        """Add the records of another router."""
        self._drop_old(now)
        for stream in streams:
            self._current[stream] = version

    def find(self, stream: StreamKey, now: float) -> SoftwareVersion | None:
        """Return the version that began a stream, or None if that is not known."""
        self._drop_old(now)
        found = self._current.get(stream)
        return self._previous.get(stream) if found is None else found

    def keys(self) -> list[StreamKey]:
        """Return all streams that are recorded."""
        return list(self._previous | self._current)

    def take_new(self, count: int) -> list[StreamKey]:
        """Return up to ``count`` streams that were recorded since the last call; 0 drops them.

        Those that other routers have recorded are not included.
        """
        taken, self._new = self._new[:count], self._new[count:] if count else []
        return taken

    def group_by_version(
        self, streams: Iterable[StreamKey]
    ) -> dict[SoftwareVersion, list[StreamKey]]:
        """Return the streams that are still recorded, by version."""
        by_version: dict[SoftwareVersion, list[StreamKey]] = {}
        for stream in streams:
            version = self._current.get(stream, self._previous.get(stream))
            if version is not None:
                by_version.setdefault(version, []).append(stream)
        return by_version

    def _drop_old(self, now: float) -> None:
        if self._generation_started_at is None:
            self._generation_started_at = now
        age_s = now - self._generation_started_at
        if age_s < _GENERATION_S and len(self._current) < _MAX_GENERATION_SIZE:
            return
        self._previous = self._current if age_s < 2 * _GENERATION_S else {}
        self._current = {}
        self._generation_started_at += age_s // _GENERATION_S * _GENERATION_S
