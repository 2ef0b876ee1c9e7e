"""Estimated load, speed and health of one target, as seen by one router.

All times are passed in as arguments, so that the estimates can be tested without waiting.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass, field
from enum import Enum

from turmerictray.core.ids import (
    NodeId,
    RequestId,
    ServiceName,
    SoftwareVersion,
    TargetId,
    TargetName,
    TeamId,
    ZoneId,
)
from turmerictray.crashes.fingerprint import Fingerprint
from turmerictray.routing.prefix_cache import PrefixCacheModel

_FAILURE_SMOOTHING = 0.2
"""Weight of the newest answer in the moving average of failures, which is thus dominated by the
last five answers."""

_FAILURE_HALF_LIFE_S = 3.0
"""Half-life of a target's failure rate while it gives no answers, so that an avoided target
receives a request again and can show that it has recovered."""

_AVOIDANCE_S = (0.3, 0.6, 1.2, 2.0)
"""How long an unreachable target is avoided, by the number of consecutive failures. A restart takes
a second or more; the first period is short because a single lost packet also fails a connection."""

_PEER_LOAD_VALIDITY_S = 2.0
"""How long a peer's load report is valid: four consecutive reports may be lost."""

_SLOWNESS_RANGE = (0.7, 20.0)

_ANSWER_RATIO_RANGE = (0.3, 8.0)
"""Bounds of the ratio of measured to expected time for one answer."""

_SLOWNESS_SMOOTHING = 0.1
"""Weight of one answer in the moving average of the logarithmic slowness. Requests that peers sent
meanwhile delay single answers of a healthy target, but not ten in a row."""

_USUAL_SMOOTHING = 0.2
"""Weight of one answer in the moving average of a whole pool."""

_PRESUMED_LOST_AFTER_S = 2.0
"""How long a first event may be overdue before it is presumed lost. Otherwise an engine whose
newest answer was lost would count as busy and unresponsive until the caller of that request times
out, as no request sent there meanwhile could show otherwise."""

_END_REPORT_GRACE_S = 1.0
"""How long after a request's deadline the router that sent it may still report its end."""

CRASH_ATTRIBUTION_S = 1.0
"""Time after a request's first event in which a crash of its target is still attributed to the
request. A request that has run for longer did not crash the target when it started."""

_MIN_SIGNIFICANT_S = 0.06
"""Expected times below this are dominated by network latency and say little about the target."""


class TargetPhase(Enum):
    """Lifecycle phase of a target.

    ``EVACUATED``: it is ready, but operators have evacuated its availability zone.
    """

    READY = "ready"
    EVACUATED = "evacuated"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True)
class TargetGone:
    """Removal of a target, or of one incarnation of it, from the discovery source."""

    id: TargetId


@dataclass(frozen=True)
class TargetInfo:
    """Target as listed by the discovery source.

    Attributes
    ----------
    id : TargetId
        Identifies one incarnation. A target that restarts gets a new id, as it keeps neither its
        cache nor its running requests.
    address : str
        ``host:port``.
    slots : int
        Number of requests it runs concurrently.
    name : TargetName
        Name under which the target identifies itself, which may survive a restart; empty if it
        equals the id.
    cold_s : float
        Seconds for which the target stays cold, as of the time when it reported this.
    version : SoftwareVersion
        Version of its software; empty if it tells none.
    """

    id: TargetId
    service: ServiceName
    address: str
    zone: ZoneId
    slots: int
    phase: TargetPhase = TargetPhase.READY
    name: TargetName = TargetName("")
    cold_s: float = 0.0
    version: SoftwareVersion = SoftwareVersion("")

    @property
    def instance_name(self) -> TargetName:
        """Name under which the target identifies itself."""
        return self.name or TargetName(self.id)


@dataclass(frozen=True)
class PeerLoad:
    """Requests of one peer that run on a target, and the tokens still to be read for them."""

    running: int
    unread_tokens: int
    received_at: float


@dataclass
class PendingPrefill:
    """Request that this router has sent and whose first event has not arrived yet.

    Attributes
    ----------
    sent_at : float
    tokens : int
        Prompt tokens that the target has to read (prefill) for the request.
    ahead_tokens : int
        Tokens that the target had to read before it.
    expected_s : float
        Estimated seconds from sending the request to its first event.
    slowness : float
        Slowness of the target used in that estimate.
    presumed_read : bool
        Whether the target is presumed to have nothing left to read for the request: it has
        answered a request sent later, or the request's own answer is presumed lost.
    """

    sent_at: float
    tokens: int
    ahead_tokens: int
    expected_s: float
    slowness: float = 1.0
    presumed_read: bool = False


@dataclass(frozen=True)
class ActiveCall:
    """Request that was sent to the target and has not ended.

    Attributes
    ----------
    team : TeamId
    charged : float
        Tokens that its team was charged for it.
    origin : NodeId
        Router that sends it; empty for this router.
    expires_at : float
        Latest time at which its router abandons it, in monotonic seconds.
    fingerprint : Fingerprint
        Features by which crashes of targets are attributed to the request.
    req_id : RequestId
        Id of the request, for the log.
    """

    team: TeamId = TeamId("-")
    charged: float = 0.0
    origin: NodeId = NodeId("")
    expires_at: float = math.inf
    fingerprint: Fingerprint = Fingerprint()
    req_id: RequestId = RequestId("")


@dataclass(frozen=True)
class LoadSnapshot:
    """Load and health of a target at one moment.

    Attributes
    ----------
    unread_tokens, running : int
        Tokens still to be read and requests in progress, for this router and its peers.
    failure_rate : float
        See :meth:`TargetLoad.current_failure_rate`.
    overdue_s : float
        See :meth:`TargetLoad.overdue_s`.
    """

    unread_tokens: int
    running: int
    failure_rate: float
    overdue_s: float


@dataclass
class UsualRatio:
    """Ratio of measured to expected answer times that is usual in a pool.

    A target that has given few answers is compared with those that others give at the time.
    Compared with the expectation alone, it would count as slow wherever answers come sooner than
    expected, and would then be given no request that could show otherwise.

    Attributes
    ----------
    log : float or None
        Moving average of the ratio's logarithm; None before the first answer.
    """

    log: float | None = None

    def update(self, log_ratio: float) -> float:
        """Include an answer; return by how much the logarithm of its ratio is above the average."""
        if self.log is None:
            self.log = log_ratio
        self.log += _USUAL_SMOOTHING * (log_ratio - self.log)
        return log_ratio - self.log


@dataclass
class TargetLoad:
    """Estimated load and health of one target.

    Attributes
    ----------
    calls : dict of int to ActiveCall
        Requests in progress on the target that this router placed there.
    first_event_at : dict of int to float
        Arrival times of their first events, in monotonic seconds.
    reserved : dict of int to int
        Requests that wait in this router for the target, with the tokens that it would read for
        each.
    reserved_tokens_total : int
        Sum of these tokens.
    slowness : float
        Ratio of the target's answer times to those usual in its pool.
    log_lateness : float
        Moving average of the logarithm of the ratio of measured to expected time, relative to what
        was usual in the pool; 0 before the first answer.
    failure_rate : float
        Moving average of the fraction of failed answers, 0 to 1.
    last_first_event_at : float
        Arrival time of the latest first event, in monotonic seconds.
    zone_avoid_until : float
        Until when the target is avoided because its zone is unreachable, in monotonic seconds.
    start_delay_s : float
        Seconds from sending a request to an idle target until the target reads it.
    read_lead_s : float
        Seconds by which reading is counted ahead, so that the next request arrives when the target
        has read those before it; negative if there is time to wait.
    cold_until : float
        Monotonic time until which the target is cold.
    last_sent_at : float
        When a request was last sent to the target, in monotonic seconds.
    """

    info: TargetInfo
    prefix_cache: PrefixCacheModel
    calls: dict[int, ActiveCall] = field(default_factory=dict)
    reads: dict[int, PendingPrefill] = field(default_factory=dict)
    first_event_at: dict[int, float] = field(default_factory=dict)
    reserved: dict[int, int] = field(default_factory=dict)
    reserved_tokens_total: int = 0
    peers: dict[NodeId, PeerLoad] = field(default_factory=dict)
    slowness: float = 1.0
    log_lateness: float = 0.0
    failure_rate: float = 0.0
    failure_rate_updated_at: float = 0.0
    consecutive_connect_failures: int = 0
    last_first_event_at: float = -math.inf
    avoid_until: float = 0.0
    zone_avoid_until: float = 0.0
    start_delay_s: float = 0.0
    read_lead_s: float = 0.0
    cold_until: float = -math.inf
    last_sent_at: float = -math.inf
    _snapshot: LoadSnapshot | None = None
    _snapshot_at: float = 0.0

    @property
    def running(self) -> int:
        """Number of requests in progress on the target that this router placed there."""
        return len(self.calls)

    def record_sent(
        self, call_id: int, read: PendingPrefill, call: ActiveCall | None = None
    ) -> None:
        """Record that a request was sent to the target."""
        self.last_sent_at = max(self.last_sent_at, read.sent_at)
        self.calls[call_id] = call or ActiveCall()
        self.reads[call_id] = read
        self.note_changed()

    def record_first_event(
        self, call_id: int, took_s: float, usual: UsualRatio | None = None
    ) -> PendingPrefill | None:
        """Record the first event of an answer; return the entry made when it was sent.

        Parameters
        ----------
        usual : UsualRatio or None
            Of the target's pool; None if the expectation follows what is usual.
        """
        read = self.reads.pop(call_id, None)
        self.note_changed()
        if read is not None:
            self.first_event_at[call_id] = read.sent_at + took_s
            self.last_first_event_at = max(self.last_first_event_at, read.sent_at + took_s)
        if read is None or read.expected_s < _MIN_SIGNIFICANT_S:
            return read
        low, high = _ANSWER_RATIO_RANGE
        log_ratio = math.log(min(high, max(low, took_s * read.slowness / read.expected_s)))
        deviation = log_ratio if usual is None else usual.update(log_ratio)
        self.log_lateness += _SLOWNESS_SMOOTHING * (deviation - self.log_lateness)
        return read

    def mark_earlier_as_read(self, answered: PendingPrefill) -> None:
        """Mark requests sent before ``answered`` as read, since engines read in order of arrival.

        Otherwise a lost answer would make the engine look busy and unresponsive until its caller
        times out.
        """
        for read in self.reads.values():
            if read.sent_at < answered.sent_at:
                read.presumed_read = True
        self.note_changed()

    def expire_overdue_prefills(self, now: float) -> list[PendingPrefill]:
        """Presume long overdue first events lost, and count them as failed answers."""
        lost = [
            read
            for read in self._unread_requests()
            if now - read.sent_at - read.expected_s > _PRESUMED_LOST_AFTER_S
        ]
        for read in lost:
            read.presumed_read = True
            self.record_answer(False, now)
        return lost

    def update_slowness(self, usual_log_lateness: float) -> None:
        """Update the target's slowness from its lateness relative to its pool.

        When a pool is busy, all its targets are late; only the difference is specific to this
        target.
        """
        low, high = _SLOWNESS_RANGE
        self.slowness = min(high, max(low, math.exp(self.log_lateness - usual_log_lateness)))
        self.note_changed()

    def record_end(self, call_id: int) -> ActiveCall | None:
        """Remove a request that has ended, for any reason; return None if it is not known."""
        self.note_changed()
        self.reads.pop(call_id, None)
        self.first_event_at.pop(call_id, None)
        return self.calls.pop(call_id, None)

    def starting_requests(self, now: float) -> list[Fingerprint]:
        """Return the fingerprints of requests that have just started here, or are about to."""
        return [
            call.fingerprint
            for call_id, call in self.calls.items()
            if now < self.first_event_at.get(call_id, now) + CRASH_ATTRIBUTION_S
        ]

    def orphaned_calls(self, alive: Collection[str], now: float) -> list[int]:
        """Return the calls whose router is gone or has not reported their end in time."""
        return [
            call_id
            for call_id, call in self.calls.items()
            if now > call.expires_at + _END_REPORT_GRACE_S
            or (call.origin and call.origin not in alive)
        ]

    def record_answer(self, ok: bool, now: float) -> None:
        """Update the failure rate with a successful or failed answer."""
        self.note_changed()
        rate = self.current_failure_rate(now)
        self.failure_rate = rate + _FAILURE_SMOOTHING * ((0.0 if ok else 1.0) - rate)
        self.failure_rate_updated_at = now
        if ok:
            self.consecutive_connect_failures = 0
            self.avoid_until = 0.0

    def record_unreachable(self, now: float) -> None:
        """Record that a connection could not be opened, and avoid the target for some time."""
        step = min(self.consecutive_connect_failures, len(_AVOIDANCE_S) - 1)
        self.consecutive_connect_failures += 1
        self.avoid_until = now + _AVOIDANCE_S[step]

    def current_failure_rate(self, now: float) -> float:
        """Return the failure rate, decayed since the last answer was counted."""
        return self.failure_rate * 0.5 ** (
            (now - self.failure_rate_updated_at) / _FAILURE_HALF_LIFE_S
        )

    def is_avoided(self, now: float) -> bool:
        """Return whether the target is skipped while others are reachable."""
        return now < self.avoid_until or now < self.zone_avoid_until

    def is_cold(self, now: float) -> bool:
        """Return whether the target bears only few requests a second."""
        return now < self.cold_until

    def note_cold(self, cold_s: float, now: float) -> None:
        """Record that the target is cold for ``cold_s`` more seconds, or warm if that is 0."""
        self.cold_until = now + cold_s if cold_s > 0 else -math.inf

    def unread_tokens(self, now: float, read_per_s: float) -> int:
        """Return the tokens that the target still has to read, for this router and its peers.

        Peers report four times a second. Taken at face value, a report would keep an engine closed
        that has since read the reported tokens, and the router with the longest queue would leave
        it idle.

        Parameters
        ----------
        read_per_s : float
            Tokens that a target of the pool reads per second.
        """
        return self._unread_tokens(
            self._unread_requests(), self._current_peer_loads(now), now, read_per_s
        )

    def _unread_tokens(
        self, reads: list[PendingPrefill], peer_loads: list[PeerLoad], now: float, read_per_s: float
    ) -> int:
        unread = sum(read.tokens for read in reads)
        if peer_loads:
            # Requests of peers may be read before this router's.
            return unread + self._peers_unread_tokens(peer_loads, now, read_per_s)
        return unread - self._read_since_last_event(reads, now, read_per_s)

    def _read_since_last_event(
        self, reads: list[PendingPrefill], now: float, read_per_s: float
    ) -> int:
        """Return the tokens read since the last first event.

        If a prompt counted in full until its first event, one that is longer than the admission
        window would block the next one until its own first event is received here, and the engine
        would idle meanwhile. Only the oldest request is assumed to progress, so that an engine that
        has become unresponsive is not sent more and more requests.
        """
        if not reads:
            return 0
        started_at = max(reads[0].sent_at + self.start_delay_s, self.last_first_event_at)
        since_s = max(0.0, now + self.read_lead_s - started_at)
        return min(reads[0].tokens, int(read_per_s * since_s / self.slowness))

    def _peers_unread_tokens(
        self, peer_loads: list[PeerLoad], now: float, read_per_s: float
    ) -> int:
        busy = [load for load in peer_loads if load.unread_tokens]
        if not busy:
            return 0
        reported = sum(load.unread_tokens for load in busy)
        since_s = now - min(load.received_at for load in busy)
        return max(0, reported - int(read_per_s * since_s / self.slowness))

    def load_snapshot(self, now: float, read_per_s: float) -> LoadSnapshot:
        """Return the target's load and health at ``now``.

        The result is cached for the many evaluations at the same moment, as it sums over all open
        requests and all peer reports.
        """
        if self._snapshot is None or self._snapshot_at != now:
            self._snapshot_at = now
            peer_loads = self._current_peer_loads(now)
            reads = self._unread_requests()
            self._snapshot = LoadSnapshot(
                self._unread_tokens(reads, peer_loads, now, read_per_s),
                self.running + sum(load.running for load in peer_loads),
                self.current_failure_rate(now),
                max((now - read.sent_at - read.expected_s for read in reads), default=0.0),
            )
        return self._snapshot

    def update_peer_load(self, node: NodeId, load: PeerLoad | None) -> None:
        """Replace a peer's reported load on this target; None if it has none."""
        if load is not None:
            self.peers[node] = load
        else:
            self.peers.pop(node, None)
        self.note_changed()

    def note_changed(self) -> None:
        """Invalidate the cached load snapshot."""
        self._snapshot = None

    def reserved_tokens_except(self, call_id: int) -> int:
        """Return the tokens of the requests that wait for the target, except ``call_id`` itself."""
        return self.reserved_tokens_total - self.reserved.get(call_id, 0)

    def reserve(self, call_id: int, tokens: int) -> None:
        """Record that a request waits for the target, which would read ``tokens`` for it."""
        self.reserved_tokens_total += tokens - self.reserved.get(call_id, 0)
        self.reserved[call_id] = tokens

    def release(self, call_id: int) -> None:
        """Record that a request no longer waits for the target."""
        self.reserved_tokens_total -= self.reserved.pop(call_id, 0)

    def local_unread_tokens(self) -> int:
        """Return the tokens of this router's requests that the target has not finished reading.

        A request counts in full until it has been read.
        """
        return sum(read.tokens for read in self._unread_requests())

    def running_in_fleet(self, now: float) -> int:
        """Return the number of requests in progress, for this router and its peers."""
        return self.running + sum(load.running for load in self._current_peer_loads(now))

    def overdue_s(self, now: float) -> float:
        """Return how many seconds the most overdue first event is past its expected time.

        An unresponsive target gives no answers, so no average over answers ever reveals it.
        """
        return max(
            (now - read.sent_at - read.expected_s for read in self._unread_requests()), default=0.0
        )

    def silent_s(self, now: float) -> float:
        """Return how long a first event has been overdue without another one arriving."""
        return min(self.overdue_s(now), now - self.last_first_event_at)

    def _unread_requests(self) -> list[PendingPrefill]:
        return [read for read in self.reads.values() if not read.presumed_read]

    def _current_peer_loads(self, now: float) -> list[PeerLoad]:
        if not self.peers:
            return []
        horizon = now - _PEER_LOAD_VALIDITY_S
        return [load for load in self.peers.values() if load.received_at > horizon]
