"""Decides at which software version a stream goes on that its caller takes up."""

import math
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from turmerictray.core import metrics
from turmerictray.core.errors import CannotResume
from turmerictray.core.ids import ServiceName, SoftwareVersion, StreamKey
from turmerictray.core.logs import log_request
from turmerictray.routing.streams import StreamVersions, pack_keys, unpack_keys
from turmerictray.scheduling.messages import StreamsBegun

_REPORT_INTERVAL_S = 0.1
"""Interval between two reports of the versions that began streams, in seconds. A caller whose
stream breaks before the report is refused; it is sent before most streams break."""

_MAX_REPORTS_PER_INTERVAL = 16
"""Reports sent in this interval; with more receivers, the interval is longer. A service with many
schedulers has hundreds of receivers."""

_MAX_TARGETS_AGE_S = 4.0
"""Age of the list of targets up to which it is taken as complete; a watch of the store that waits
for changes is repeated sooner."""

_UNKNOWN_STREAM_RETRY_AFTER_S = 0.3
"""Retry-After in seconds for a stream whose version is not known; another router may know it."""

SendReport = Callable[[StreamsBegun], int]
"""Sends a report to the routers that keep records of streams; returns their number."""


@dataclass(frozen=True)
class TargetsView:
    """What a router knows of the targets of a service.

    Attributes
    ----------
    versions : set of SoftwareVersion
        Versions of the targets, and of those that have gone recently.
    age_s : float
        Seconds since the list of targets was current.
    router_lost_at : float
        When another router was last lost sight of, in monotonic seconds.
    """

    versions: set[SoftwareVersion]
    age_s: float
    router_lost_at: float = -math.inf

    def only_version(self, now: float) -> SoftwareVersion | None:
        """Return the software version of all recent targets; None if not certain.

        A router whose list of targets is old may have missed another version, unless it still
        hears all routers: then none of them has a newer list.
        """
        is_current = self.age_s <= _MAX_TARGETS_AGE_S or self.router_lost_at < now - self.age_s
        return next(iter(self.versions)) if len(self.versions) == 1 and is_current else None


class Resumptions:
    """Records of the software versions that began streams, by service."""

    def __init__(self) -> None:
        self._streams: defaultdict[ServiceName, StreamVersions] = defaultdict(StreamVersions)
        self._report_due_at = -math.inf

    def record(
        self, service: ServiceName, stream: StreamKey, version: SoftwareVersion, now: float
    ) -> None:
        """Record the version that wrote the first event of a stream."""
        self._streams[service].record(stream, version, now)

    def merge(self, report: StreamsBegun, now: float) -> None:
        """Add the records of another router."""
        streams = self._streams[ServiceName(report.service)]
        for version, packed in report.streams.items():
            streams.merge(unpack_keys(packed), SoftwareVersion(version), now)

    def find_version(
        self,
        service: ServiceName,
        stream: StreamKey,
        targets: TargetsView | None,
        now: float,
    ) -> SoftwareVersion:
        """Return the version at which a stream goes on.

        Parameters
        ----------
        targets : TargetsView or None
            Used if there is no record; None if only a record counts.

        Raises
        ------
        CannotResume
            It is not known which version began the stream.
        """
        streams = self._streams[service]
        version, known_by = streams.find(stream, now), "record"
        if version is None and targets is not None:
            version, known_by = targets.only_version(now), "only_version"
        known_by = "nothing" if version is None else known_by
        metrics.STREAMS_TAKEN_UP.labels(known_by).inc()
        log_request(
            "stream_taken_up",
            failed=version is None,
            service=service,
            stream=f"{stream:016x}",
            software=version or "-",
            known_by=known_by,
            versions=",".join(sorted(targets.versions)) if targets else "-",
        )
        if version is None:
            raise CannotResume("stream_unknown", _UNKNOWN_STREAM_RETRY_AFTER_S)
        streams.record(stream, version, now)
        return version

    def report(
        self, versions: Callable[[ServiceName], set[SoftwareVersion]], send: SendReport, now: float
    ) -> None:
        """Tell other routers which versions have begun streams, of services that have several.

        A router that took up a stream without knowing would join what two versions generate.

        Parameters
        ----------
        versions : callable
            Returns the recent versions of a service's targets.
        """
        if now < self._report_due_at:
            return
        interval_s = _REPORT_INTERVAL_S
        for service, streams in self._streams.items():
            begun = streams.take_unreported(is_mixed=len(versions(service)) > 1)
            if begun:
                packed = {version: pack_keys(keys) for version, keys in begun.items()}
                receivers = send(StreamsBegun(service, packed))
                interval_s *= max(1.0, receivers / _MAX_REPORTS_PER_INTERVAL)
        self._report_due_at = now + interval_s
