"""Tells the routers that keep records which software versions began streams.

A router that becomes one of them, as it has started or as another one has stopped, knows no earlier
streams. It gets the whole table: a push anti-entropy transfer, as gossip protocols make at a join
(Demers et al., 1987). Two routers that were there before send it, so that one may be stopping too.
"""

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

from turmerictray.core.ids import NodeId, ServiceName, StreamKey
from turmerictray.membership.messages import MemberEntry
from turmerictray.routing.rendezvous import rank
from turmerictray.routing.streams import StreamVersions, pack_keys
from turmerictray.scheduling.messages import StreamsBegun

_REPORT_INTERVAL_S = 0.1
"""Interval between two reports, in seconds. A caller whose stream breaks before the report is
refused; it is sent before most streams break."""

_MAX_REPORTS_PER_INTERVAL = 16
"""Reports sent in this interval; with more receivers, the interval is longer. A service with many
schedulers has hundreds of receivers."""

_MAX_REPORT_SIZE = 4096
"""Records in one message, 33 KB."""

_MAX_TABLE_RECORDS = 4 * _MAX_REPORT_SIZE
"""Records of tables that are sent in an interval, to all receivers together."""

_TABLE_SENDERS = 2

_KEY = "stream-table"

_Incarnation = tuple[str, int]
"""Node and incarnation of a router; a new incarnation knows nothing."""


class RecordLink(Protocol):
    """Link to the routers that keep records of streams."""

    def stream_record_holders(self, service: ServiceName) -> list[MemberEntry]:
        """Return the routers that keep records of a service's streams.

        They include the local router if it is one of them.
        """

    def reconnect(self, receiver: MemberEntry) -> None:
        """Open a new connection to a router for what is sent from now on."""

    def send_streams_begun(self, receiver: MemberEntry, report: StreamsBegun) -> bool:
        """Send a report without blocking; return whether it was sent."""


@dataclass
class _Receiver:
    """A router that keeps records, and the parts of the table that it has not been sent yet."""

    entry: MemberEntry
    unsent: deque[list[StreamKey]] = field(default_factory=deque)


class StreamReports:
    """Reports of the streams of all services.

    Parameters
    ----------
    node : NodeId
        The local router.
    """

    def __init__(self, node: NodeId) -> None:
        self._node = node
        self._receivers: dict[ServiceName, dict[_Incarnation, _Receiver]] = {}
        self._incarnations: dict[str, int] = {}
        self._due_at = -math.inf

    def is_due(self, now: float) -> bool:
        """Return whether the next reports are due."""
        return now >= self._due_at

    def postpone(self, receiver_count: int, now: float) -> None:
        """Set the time of the next reports, after some were sent to a number of receivers."""
        factor = max(1.0, receiver_count / _MAX_REPORTS_PER_INTERVAL)
        self._due_at = now + _REPORT_INTERVAL_S * factor

    def stop(self, service: ServiceName, streams: StreamVersions) -> None:
        """Report a service's streams to nobody until further notice."""
        self._receivers.pop(service, None)
        streams.take_new(0)

    def send(self, service: ServiceName, streams: StreamVersions, link: RecordLink) -> int:
        """Send what is new to all receivers, and parts of the table to new ones.

        Returns
        -------
        int
            Number of receivers.
        """
        joined = self._join(service, streams, link)
        new = streams.take_new(_MAX_REPORT_SIZE)
        if new:
            self._send_new(_pack(service, streams, new), new, service, joined, link)
        self._send_tables(service, streams, link)
        return len(self._receivers[service])

    def _join(
        self, service: ServiceName, streams: StreamVersions, link: RecordLink
    ) -> set[_Incarnation]:
        """Update the receivers; return those that are now to be sent the table."""
        known = self._receivers.get(service, {})
        holders = {
            (entry.node, entry.incarnation): entry
            for entry in link.stream_record_holders(service)
            if entry.node != self._node
        }
        joined = holders.keys() - known.keys()
        self._renew_connections([holders[key] for key in joined], link)
        if not self._sends_table(holders.keys() - joined):
            joined = set()
        table = streams.keys() if joined else []
        parts = [table[n : n + _MAX_REPORT_SIZE] for n in range(0, len(table), _MAX_REPORT_SIZE)]
        self._receivers[service] = {
            key: known.get(key) or _Receiver(entry, deque(parts if key in joined else ()))
            for key, entry in holders.items()
        }
        return joined

    def _renew_connections(self, joined: Iterable[MemberEntry], link: RecordLink) -> None:
        """Reconnect to routers that have restarted: an old connection may lose what is sent."""
        for entry in joined:
            if self._incarnations.get(entry.node, entry.incarnation) != entry.incarnation:
                link.reconnect(entry)
            self._incarnations[entry.node] = entry.incarnation

    def _send_new(
        self,
        report: StreamsBegun,
        new: list[StreamKey],
        service: ServiceName,
        joined: set[_Incarnation],
        link: RecordLink,
    ) -> None:
        for key, receiver in self._receivers[service].items():
            # The table that a new receiver gets has them already.
            if key in joined:
                continue
            if receiver.unsent or not link.send_streams_begun(receiver.entry, report):
                receiver.unsent.append(new)

    def _send_tables(self, service: ServiceName, streams: StreamVersions, link: RecordLink) -> None:
        left = _MAX_TABLE_RECORDS
        for receiver in self._receivers[service].values():
            while receiver.unsent and left > 0:
                left -= len(receiver.unsent[0])
                report = _pack(service, streams, receiver.unsent[0])
                if report.streams and not link.send_streams_begun(receiver.entry, report):
                    break
                receiver.unsent.popleft()

    def _sends_table(self, earlier: Iterable[_Incarnation]) -> bool:
        """Return whether this router, beside those that keep records already, sends the table."""
        nodes = {self._node, *(node for node, _ in earlier)}
        preferred = sorted(nodes, key=lambda node: rank(_KEY, node), reverse=True)
        return self._node in preferred[:_TABLE_SENDERS]


def _pack(service: ServiceName, streams: StreamVersions, keys: list[StreamKey]) -> StreamsBegun:
    by_version = streams.group_by_version(keys)
    return StreamsBegun(service, {version: pack_keys(k) for version, k in by_version.items()})
