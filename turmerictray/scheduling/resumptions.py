"""Decides at which software version a stream goes on that its caller takes up."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from turmerictray.core import metrics
from turmerictray.core.errors import CannotResume
from turmerictray.core.ids import NodeId, ServiceName, SoftwareVersion, StreamKey
from turmerictray.core.logs import log_request
from turmerictray.routing.streams import VERSION_RETENTION_S, StreamVersions, unpack_keys
from turmerictray.scheduling.messages import StreamsBegun
from turmerictray.scheduling.stream_reports import RecordLink, StreamReports

_UNKNOWN_STREAM_RETRY_AFTER_S = 0.3
"""Retry-After in seconds for a stream whose version is not known; another router may know it."""


@dataclass(frozen=True)
class TargetsView:
    """What a router knows of the targets of a service.

    Attributes
    ----------
    versions : set of SoftwareVersion
        Versions of the targets, and of those that have gone recently.
    known_s : float
        Seconds for which all targets were known; see
        :class:`turmerictray.scheduling.observation.TargetObservation`.
    is_confirmed : bool
        Whether no others can have joined since.
    streams_last_s : float
        Seconds for which a stream may be awaited whose target has left.
    """

    versions: set[SoftwareVersion]
    known_s: float
    is_confirmed: bool
    streams_last_s: float = VERSION_RETENTION_S

    def only_version(self) -> SoftwareVersion | None:
        """Return the software version of all recent targets; None if not certain."""
        is_certain = len(self.versions) == 1 and self.known_s >= self.streams_last_s
        return next(iter(self.versions)) if is_certain else None


class Resumptions:
    """Records of the software versions that began streams, by service.

    Parameters
    ----------
    node : NodeId
        The local router.
    """

    def __init__(self, node: NodeId) -> None:
        self._streams: defaultdict[ServiceName, StreamVersions] = defaultdict(StreamVersions)
        self._reports = StreamReports(node)

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
        if version is None and targets is not None and targets.is_confirmed:
            version, known_by = targets.only_version(), "only_version"
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
            known_s=round(targets.known_s, 1) if targets else "-",
            confirmed=targets.is_confirmed if targets else "-",
        )
        if version is None:
            raise CannotResume("stream_unknown", _UNKNOWN_STREAM_RETRY_AFTER_S)
        streams.record(stream, version, now)
        return version

    def report(
        self, targets: Callable[[ServiceName], TargetsView], link: RecordLink, now: float
    ) -> None:
        """Tell other routers which versions have begun streams, unless only one may have.

        A router that took up a stream without knowing would join what two versions generate.

        Parameters
        ----------
        targets : callable
            Returns what this router knows of a service's targets.
        """
        if not self._reports.is_due(now):
            return
        receiver_count = 0
        for service, streams in self._streams.items():
            if targets(service).only_version() is None:
                receiver_count += self._reports.send(service, streams, link)
            else:
                self._reports.stop(service, streams)
        self._reports.postpone(receiver_count, now)
