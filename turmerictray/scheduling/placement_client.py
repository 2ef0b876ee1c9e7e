"""Placement of requests through the local broker or a remote scheduler."""

import math
import threading
import time
from dataclasses import dataclass, replace
from functools import singledispatchmethod

import msgspec
import pykka

from turmerictray.admission.pool_types import Outcome
from turmerictray.core import errors
from turmerictray.core.errors import (
    AdmissionError,
    CallerGone,
    CannotResume,
    Draining,
    InternalFailure,
    NoTarget,
    QueueFull,
    TargetsResting,
    WontBeServed,
)
from turmerictray.core.ids import (
    NodeId,
    ServiceName,
    SoftwareVersion,
    TargetId,
    TargetName,
    ZoneId,
)
from turmerictray.core.logs import log_event
from turmerictray.membership.messages import MemberEntry
from turmerictray.router.active_config import ActiveConfig
from turmerictray.routing.load import TargetInfo
from turmerictray.routing.target_notices import TargetNotices
from turmerictray.scheduling.backlogs import Backlogs
from turmerictray.scheduling.broker_messages import (
    Ask,
    FirstEvent,
    Granted,
    RefuseWaiting,
    Settled,
    TargetLeaving,
    TargetResting,
    Withdraw,
)
from turmerictray.scheduling.choice import SchedulerChoice
from turmerictray.scheduling.link import SchedulingLink
from turmerictray.scheduling.messages import (
    Ended,
    FirstSeen,
    LeavingSeen,
    LookNow,
    PartsRead,
    PlaceGranted,
    PlaceRefused,
    PlaceRequest,
    PlaceWithdrawn,
    RestSeen,
    SchedulingMessage,
    ServiceGiven,
    StillWaiting,
    StreamsBegun,
)
from turmerictray.scheduling.rest_reports import RestReports
from turmerictray.scheduling.shards import UNSHARDED, ShardId, ShardMap

SCHEDULER_TIMEOUT_S = 0.15
"""A scheduler that sends nothing for this long while a request waits there is skipped. Schedulers
send a keep-alive every 0.05 s, on the broker's ticks; a round trip between zones takes 3 ms."""

_SHARD_FULL_ERRORS = frozenset({QueueFull.__name__, WontBeServed.__name__})

_OTHER_SHARD_ERRORS = _SHARD_FULL_ERRORS | {TargetsResting.__name__}
"""Refusals of a shard's scheduler after which another shard is asked."""

_UNKNOWN_ERRORS = frozenset(
    error.__name__ for error in (NoTarget, CannotResume, Draining, InternalFailure)
)
"""Refusals of a scheduler that say nothing of what this router can do itself."""

_DRAINING_RETRY_AFTER_S = 0.05
"""Retry-After in seconds when this router stops; another router can serve the caller at once."""

_SINGLE_SHARD = ShardMap()

_LOOPBACK_TIMEOUT_S = 1.0
"""The loopback message of the silence check is resent if it has not arrived after this long."""

_CALL_RETENTION_S = 1.0
"""How long after the request's deadline a call record is kept."""


@dataclass
class _RemoteCall:
    """A request sent to a scheduler.

    Attributes
    ----------
    fallback_shards : tuple of ShardId
        Shards to try if it is refused.
    asks_again : bool
        Whether a grant was given back before, as its target rests.
    """

    ask: Ask
    scheduler: MemberEntry
    sent_at: float
    fallback_shards: tuple[ShardId, ...] = ()
    asks_again: bool = False
    granted: bool = False


class PlacementClient:
    """Asks the scheduler to place each engine request; falls back to the local broker.

    A single scheduler that sees every request sent to the engines gives them only as much as they
    need to stay busy. Routers that place requests independently, by their last gossip, fill the
    same free capacity at once; requests then queue in the engine, where they can't be reordered or
    refused in time. If the scheduler does not answer, this router places the request itself.

    Parameters
    ----------
    node : NodeId
    zone : ZoneId
    broker : pykka.ActorRef
    active_config : ActiveConfig
    choice : SchedulerChoice
    link : SchedulingLink
    notices : TargetNotices or None
        What targets have said of themselves; None for an empty record.
    """

    def __init__(
        self,
        node: NodeId,
        zone: ZoneId,
        broker: pykka.ActorRef,
        active_config: ActiveConfig,
        choice: SchedulerChoice,
        link: SchedulingLink,
        notices: TargetNotices | None = None,
    ) -> None:
        self._node = node
        self._zone = zone
        self._broker = broker
        self._active_config = active_config
        self._choice = choice
        self._link = link
        self._notices = notices or TargetNotices()
        self._lock = threading.Lock()
        self._remote_calls: dict[int, _RemoteCall] = {}
        self._rest_reports = RestReports(self._notices)
        self._backlogs = Backlogs()
        self._check_requested_at = -math.inf
        self._last_message_at: dict[str, float] = {}

    def _send_to_broker(self, msg: object) -> None:
        """Send a message to the local broker; refuse a request if the broker has stopped."""
        try:
            self._broker.tell(msg)
        except pykka.ActorDeadError:
            # The process is about to exit, but its HTTP server still accepts requests. Without this
            # refusal callers would get a 500 for requests that have not run and are safe to send to
            # another router.
            if isinstance(msg, Ask):
                msg.reply.try_set_exception(Draining("broker_gone", _DRAINING_RETRY_AFTER_S))

    # -- from this router's requests -----------------------------------------------------------

    @singledispatchmethod
    def tell(self, msg: object) -> None:
        """Handle a message from an attempt of a local request, like ``ActorRef.tell``."""
        self._send_to_broker(msg)

    @tell.register
    def _(self, msg: Ask) -> None:
        if msg.prompt is None:
            self._send_to_broker(msg)
            return
        shards = self._shards(msg.service).preferred_shards(
            msg.prompt.affinity_key or str(msg.call_id)
        )
        self._request_placement(
            msg, self._backlogs.rank_shards(msg.service, shards, time.monotonic())
        )

    def _request_placement(
        self, ask: Ask, shards: tuple[ShardId, ...], asks_again: bool = False
    ) -> None:
        """Send a request to the first shard's scheduler; the others are tried after a refusal."""
        shard, fallback_shards = shards[0], shards[1:]
        ask = replace(ask, shard=shard)
        if self._choice.is_scheduler(ask.service, shard):
            self._send_to_broker(ask)
            return
        scheduler = self._choice.scheduler(ask.service, shard)
        if scheduler is None or not self._send_request(ask, scheduler, fallback_shards, asks_again):
            self._place_locally(ask)

    def _place_locally(self, ask: Ask) -> None:
        """Place a request with the local broker, among all engines of the service."""
        self._send_to_broker(replace(ask, shard=UNSHARDED, own_path=True))

    def _shards(self, service: ServiceName) -> ShardMap:
        return self._active_config.shards.get(service, _SINGLE_SHARD)

    @tell.register
    def _(self, msg: Withdraw) -> None:
        call = self._remote_calls.get(msg.call_id)
        if call is None or not self._claim(call):
            self._send_to_broker(msg)
            return
        self._link.send(call.scheduler.scheduling_address, PlaceWithdrawn(msg.call_id, msg.service))
        call.ask.reply.try_set_exception(CallerGone("caller gone while waiting"))

    @tell.register
    def _(self, msg: FirstEvent) -> None:
        call = self._remote_calls.get(msg.call_id)
        if call is None:
            self._send_to_broker(msg)
            return
        first_seen = FirstSeen(
            msg.call_id, msg.service, msg.target, msg.took_s, msg.stream, msg.version
        )
        if not self._link.send(call.scheduler.scheduling_address, first_seen):
            # The local broker keeps the stream's version instead.
            self._send_to_broker(msg)

    @tell.register
    def _(self, msg: Settled) -> None:
        with self._lock:
            call = self._remote_calls.pop(msg.call_id, None)
        if call is None:
            self._send_to_broker(msg)
            return
        self._send_ended(call, msg)

    @tell.register
    def _(self, msg: TargetLeaving) -> None:
        self._send_to_broker(msg)
        self._inform_schedulers(msg.service, LeavingSeen(msg.service, msg.target))

    @tell.register
    def _(self, msg: TargetResting) -> None:
        self._send_to_broker(msg)
        if msg.service not in self._active_config.shards:
            return
        now = time.monotonic()
        self._rest_reports.note_rest(msg.service, msg.target, now)
        rest = RestSeen(msg.service, msg.target, self._node, msg.rest_s)
        for entry in self._inform_schedulers(msg.service, rest):
            self._rest_reports.note_told(msg.service, msg.target, entry, now)

    def _inform_schedulers(self, service: ServiceName, msg: SchedulingMessage) -> list[MemberEntry]:
        """Send a message to all routers that schedule a service's engines, or may do so soon.

        Returns
        -------
        list of MemberEntry
            Those to which it was sent.
        """
        if service not in self._active_config.shards:
            return []
        members = self._choice.informed_members(service, self._shards(service).count)
        return [entry for entry in members if self._link.send(entry.scheduling_address, msg)]

    def refuse_waiting(self) -> None:
        """Refuse all requests that wait for a target, here or at a scheduler."""
        with self._lock:
            calls = list(self._remote_calls.values())
        for call in calls:
            if self._claim(call):
                withdrawn = PlaceWithdrawn(call.ask.call_id, call.ask.service)
                self._link.send(call.scheduler.scheduling_address, withdrawn)
                refusal = Draining("unfit", _DRAINING_RETRY_AFTER_S)
                call.ask.reply.try_set_exception(refusal)
        self._send_to_broker(RefuseWaiting())

    def send_usage_report(
        self, service: ServiceName, shard_count: int, report: ServiceGiven
    ) -> None:
        """Send this router's per-team usage to the schedulers of a service's other shards."""
        shards = (ShardId(index, shard_count) for index in range(shard_count))
        schedulers = (self._choice.scheduler(service, shard) for shard in shards)
        for address in {entry.scheduling_address for entry in schedulers if entry is not None}:
            self._link.send(address, report)

    def send_parts_read(self, report: PartsRead) -> None:
        """Send what engines have just read to the routers that schedule or may soon schedule."""
        service = ServiceName(report.service)
        for entry in self._choice.informed_members(service, self._shards(service).count):
            self._link.send(entry.scheduling_address, report)

    def stream_record_holders(self, service: ServiceName) -> list[MemberEntry]:
        """Return the routers that keep records of which software versions began streams."""
        return self._choice.stream_record_holders(service, self._shards(service).count)

    def reconnect(self, receiver: MemberEntry) -> None:
        """Close the connection to a router that has returned; the next message opens a new one."""
        self._link.reconnect(receiver.scheduling_address)

    def send_streams_begun(self, receiver: MemberEntry, report: StreamsBegun) -> bool:
        """Send such records to a router; return whether they were sent."""
        return self._link.send(receiver.scheduling_address, report)

    def _send_request(
        self,
        ask: Ask,
        scheduler: MemberEntry,
        fallback_shards: tuple[ShardId, ...],
        asks_again: bool,
    ) -> bool:
        now = time.monotonic()
        call = _RemoteCall(ask, scheduler, now, fallback_shards, asks_again)
        with self._lock:
            self._remote_calls[ask.call_id] = call
        reconnected = not self._link.is_connected(scheduler.scheduling_address)
        if reconnected:
            self._rest_reports.forget_scheduler(scheduler)
        prompt = ask.prompt
        request = PlaceRequest(
            ask.call_id,
            self._node,
            self._link.address,
            reconnected,
            self._zone,
            ask.req_id,
            ask.team,
            ask.service,
            ask.cost,
            [(part.part_id, part.tokens) for part in prompt.parts],
            prompt.input_tokens,
            prompt.output_tokens,
            ask.queue_deadline - now,
            ask.answer_deadline - now,
            sorted(ask.exclude),
            ask.retry,
            ask.repeat,
            ask.shard.index,
            ask.shard.count,
            ask.digest,
            None if ask.home_zones is None else sorted(ask.home_zones),
            ask.version,
            ask.resumes,
            ask.is_test,
            ask.is_counted,
        )
        sent = False
        try:
            self._repeat_rests(ask.service, scheduler, now)
            sent = self._link.send(scheduler.scheduling_address, request)
        finally:
            # Also after an exception: the caller is refused, and must not be placed afterwards.
            if not sent:
                self._drop_call(ask.call_id)
        if not sent:
            self._choice.mark_unresponsive(scheduler.node)
        return sent

    def _repeat_rests(self, service: ServiceName, scheduler: MemberEntry, now: float) -> None:
        """Tell a scheduler of the running rests that it may not have heard of."""
        for target, left_s in self._rest_reports.take_untold(service, scheduler, now):
            rest = RestSeen(service, target, self._node, left_s, repeated=True)
            self._link.send(scheduler.scheduling_address, rest)

    def _send_ended(self, call: _RemoteCall, msg: Settled) -> None:
        ended = Ended(msg.call_id, msg.service, msg.target, msg.outcome.value, msg.cost)
        if (verdict := msg.verdict) is not None:
            ended = msgspec.structs.replace(
                ended,
                digest=verdict.fingerprint.digest,
                parts=[part.part for part in verdict.fingerprint.parts],
                team=verdict.fingerprint.team,
                isolated=verdict.isolated,
            )
        self._link.send(call.scheduler.scheduling_address, ended)

    def _claim(self, call: _RemoteCall) -> bool:
        """Claim a waiting call for this thread to answer; return False if already claimed.

        Grants, refusals, disconnects and silent schedulers are handled on different threads. If two
        threads acted on the same call, one could send the broker a request that has its answer.
        """
        with self._lock:
            if call.granted or self._remote_calls.get(call.ask.call_id) is not call:
                return False
            del self._remote_calls[call.ask.call_id]
            return True

    # -- from schedulers -----------------------------------------------------------------------

    @singledispatchmethod
    def handle_message(self, msg: object) -> bool:
        """Handle a scheduler's message; return False for any other message."""
        return False

    @handle_message.register
    def _(self, msg: StillWaiting) -> bool:
        self._record_message(msg.scheduler)
        return True

    @handle_message.register
    def _(self, msg: PlaceGranted) -> bool:
        self._record_message(msg.scheduler)
        with self._lock:
            call = self._remote_calls.get(msg.call_id)
            if call is None or call.granted or call.scheduler.node != msg.scheduler:
                call = None
            else:
                call.granted = True
        if call is not None:
            self._backlogs.record(call.ask, msg.backlog_s, time.monotonic())
        if call is None:
            # The request was placed elsewhere or ended; the engine must not count as busy with it.
            self._return_grant(msg)
        elif msg.target in self._active_config.unavailable_targets:
            # This router has read from the store that the target is leaving; the scheduler has not.
            self._return_grant(msg)
            self._drop_call(msg.call_id)
            self._place_locally(replace(call.ask, is_counted=True))
        elif not self._notices.may_send(TargetId(msg.target), time.monotonic()):
            self._return_grant(msg)
            self._drop_call(msg.call_id)
            self._ask_again(call, TargetId(msg.target))
        elif not call.ask.reply.try_set_result(_to_granted(msg)):
            self._return_grant(msg)
            self._drop_call(msg.call_id)
        return True

    @handle_message.register
    def _(self, msg: PlaceRefused) -> bool:
        self._record_message(msg.scheduler)
        call = self._remote_calls.get(msg.call_id)
        if call is None or not self._claim(call):
            return True
        if msg.error in _UNKNOWN_ERRORS:
            # The scheduler may know fewer targets or streams than this router: it may be
            # partitioned from the store or have just started.
            self._place_locally(_as_counted(call.ask, msg))
            return True
        if msg.error in _SHARD_FULL_ERRORS:
            self._backlogs.record(call.ask, msg.retry_after_s, time.monotonic())
        if call.fallback_shards and msg.error in _OTHER_SHARD_ERRORS:
            # Another shard may have capacity while this one is full or rests.
            self._request_placement(_as_counted(call.ask, msg), call.fallback_shards)
        else:
            call.ask.reply.try_set_exception(_to_error(msg))
        return True

    def _return_grant(self, msg: PlaceGranted) -> None:
        outcome = Outcome.CALLER_GONE.value
        ended = Ended(msg.call_id, msg.service, msg.target, outcome, 0.0)
        self._link.send(msg.reply_to, ended)

    def _record_message(self, node: str) -> None:
        self._last_message_at[node] = time.monotonic()
        self._choice.mark_responsive(node)

    # -- unresponsive schedulers ---------------------------------------------------------------

    def request_silence_check(self, now: float) -> None:
        """Send this router a loopback message that triggers the check for silent schedulers.

        A router that is short of CPU handles messages late although schedulers sent them in time.
        It would consider them silent and place all their waiting requests itself, which slows it
        further. The loopback message goes through the same receive queue, so all messages that
        arrived before it have been handled when the check runs.
        """
        if self._remote_calls and now - self._check_requested_at > _LOOPBACK_TIMEOUT_S:
            self._check_requested_at = now
            self._link.send(self._link.address, LookNow(now))

    @handle_message.register
    def _(self, msg: LookNow) -> bool:
        self._check_requested_at = -math.inf
        self._skip_unresponsive(msg.sent_at)
        return True

    def _skip_unresponsive(self, now: float) -> None:
        """Skip the schedulers that had been silent for too long at ``now``."""
        unresponsive: dict[str, MemberEntry] = {}
        with self._lock:
            waiting = [call for call in self._remote_calls.values() if not call.granted]
        for call in waiting:
            node = call.scheduler.node
            if now - max(call.sent_at, self._last_message_at.get(node, 0.0)) > SCHEDULER_TIMEOUT_S:
                unresponsive[node] = call.scheduler
        for node, entry in unresponsive.items():
            log_event("scheduler_silent", level="WARNING", peer=node, waiting=len(waiting))
            self._choice.mark_unresponsive(node)
            self._link.reconnect(entry.scheduling_address)
        for call in waiting:
            if call.scheduler.node in unresponsive and self._claim(call):
                self._place_without(call)
        self._drop_expired_calls(now)

    def _place_without(self, call: _RemoteCall) -> None:
        """Place a request whose scheduler is unresponsive."""
        if call.ask.resumes is None:
            self._place_locally(call.ask)
        else:
            # The next scheduler keeps the records of streams that this router lacks.
            self._request_placement(call.ask, (call.ask.shard, *call.fallback_shards))

    def _ask_again(self, call: _RemoteCall, target: TargetId) -> None:
        """Place a request whose granted target leaves or rests, which its scheduler didn't know.

        A resting target isn't excluded: the request may wait for the end of the rest. This router's
        own broker surely knows of it if the scheduler doesn't take it in.
        """
        ask, shards = replace(call.ask, is_counted=True), (call.ask.shard, *call.fallback_shards)
        if self._notices.is_leaving(target):
            self._request_placement(replace(ask, exclude=ask.exclude | {target}), shards)
        elif call.asks_again:
            self._place_locally(ask)
        else:
            self._rest_reports.forget_told(ask.service, target, time.monotonic())
            self._request_placement(ask, shards, asks_again=True)

    def _drop_call(self, call_id: int) -> None:
        with self._lock:
            self._remote_calls.pop(call_id, None)

    def _drop_expired_calls(self, now: float) -> None:
        with self._lock:
            expired = [
                c
                for c in self._remote_calls.values()
                if now > c.ask.answer_deadline + _CALL_RETENTION_S
            ]
            for call in expired:
                del self._remote_calls[call.ask.call_id]


def _to_granted(msg: PlaceGranted) -> Granted:
    info = TargetInfo(
        TargetId(msg.target),
        ServiceName(msg.service),
        msg.address,
        ZoneId(msg.zone),
        msg.slots,
        name=TargetName(msg.name),
        version=SoftwareVersion(msg.version),
    )
    return Granted(
        info,
        msg.expected_s,
        msg.miss_tokens,
        msg.ahead_tokens,
        msg.scheduler,
        msg.fetch_from,
        isolated=msg.isolated,
    )


def _as_counted(ask: Ask, msg: PlaceRefused) -> Ask:
    """Return a refused request for another broker, which counts it if it still has to be.

    Schedulers count a request before they refuse it, unless they stop. They charge a repeat only
    once it is granted, or give the charge back.
    """
    is_counted = not ask.repeat and msg.error != Draining.__name__
    return replace(ask, is_counted=ask.is_counted or is_counted)


def _to_error(msg: PlaceRefused) -> AdmissionError:
    error_class = getattr(errors, msg.error, None)
    if not (isinstance(error_class, type) and issubclass(error_class, AdmissionError)):
        error_class = errors.TargetBusy
    return error_class(msg.reason, msg.retry_after_s)
