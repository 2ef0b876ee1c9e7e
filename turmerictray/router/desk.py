"""Where requests ask for a target: at this router's own broker, or at the scheduler."""

import math
import threading
import time
from dataclasses import dataclass, replace
from functools import singledispatchmethod

import pykka

from turmerictray.admission.pool import Outcome
from turmerictray.core import errors
from turmerictray.core.errors import (
    AdmissionError,
    CallerGone,
    Draining,
    NoTarget,
    QueueFull,
    WontBeServed,
)
from turmerictray.core.ids import NodeId, ServiceName, TargetId, TargetName, ZoneId
from turmerictray.core.logs import log_event
from turmerictray.membership.messages import MemberEntry
from turmerictray.router.broker_messages import (
    Ask,
    FirstEvent,
    Granted,
    Settled,
    TargetLeaving,
    Withdraw,
)
from turmerictray.router.text_in_force import TextInForce
from turmerictray.routing.load import TargetInfo
from turmerictray.scheduling.backlogs import Backlogs
from turmerictray.scheduling.choice import SchedulerChoice
from turmerictray.scheduling.link import SchedulingLink
from turmerictray.scheduling.messages import (
    Ended,
    FirstSeen,
    LeavingSeen,
    LookNow,
    PlaceGranted,
    PlaceRefused,
    PlaceRequest,
    PlaceWithdrawn,
    ServiceGiven,
    StillWaiting,
)
from turmerictray.scheduling.shards import WHOLE, ShardId, ShardMap

SILENCE_S = 0.15
"""A scheduler that has not said anything for this long while a request waits there is passed over.
It says something every 0.05 s, with the broker's ticks; the way there and back takes 3 ms between
zones."""

_FULL_THERE = frozenset({QueueFull.__name__, WontBeServed.__name__})

_ELSEWHERE_S = 0.05
"""Another router serves the caller at once."""

_UNDIVIDED = ShardMap()

_LOOK_LOST_S = 1.0
"""The router's own word is sent again when it has not come back for this long."""

_FORGOTTEN_S = 1.0
"""How long after the request's last moment a call is still known."""


@dataclass
class _Call:
    """A request that was put to the scheduler; ``others`` are shards it may still be put to."""

    ask: Ask
    scheduler: MemberEntry
    asked_at: float
    others: tuple[ShardId, ...] = ()
    granted: bool = False


class Desk:
    """Puts each request for an engine to the scheduler, and to this router's broker without one.

    One router that knows all that is sent to the engines leaves no more with them than they need to
    stay busy. Routers that each send by what they last heard of the others fill the same gap at
    once, and callers wait in the engine, where nobody can order or refuse them in time. Whenever
    the scheduler does not answer, this router decides by itself.

    Parameters
    ----------
    node : NodeId
    zone : ZoneId
    broker : pykka.ActorRef
    in_force : TextInForce
    choice : SchedulerChoice
    link : SchedulingLink
    """

    def __init__(
        self,
        node: NodeId,
        zone: ZoneId,
        broker: pykka.ActorRef,
        in_force: TextInForce,
        choice: SchedulerChoice,
        link: SchedulingLink,
    ) -> None:
        self._node = node
        self._zone = zone
        self._broker = broker
        self._in_force = in_force
        self._choice = choice
        self._link = link
        self._lock = threading.Lock()
        self._calls: dict[int, _Call] = {}
        self._backlogs = Backlogs()
        self._asked_to_look_at = -math.inf
        self._heard_at: dict[str, float] = {}

    def _to_broker(self, msg: object) -> None:
        """Tell this router's broker; a request that it can't take any more is refused."""
        try:
            self._broker.tell(msg)
        except pykka.ActorDeadError:
            # The process is about to end. Until then its front takes requests, and callers would
            # get a 500 for what has not run and may be sent to another router.
            if isinstance(msg, Ask):
                msg.reply.refuse(Draining("broker_gone", _ELSEWHERE_S))

    # -- from this router's requests -----------------------------------------------------------

    @singledispatchmethod
    def tell(self, msg: object) -> None:
        """Take a message of a request's try."""
        self._to_broker(msg)

    @tell.register
    def _(self, msg: Ask) -> None:
        if msg.prompt is None:
            self._to_broker(msg)
            return
        shards = self._shards(msg.service).for_key(msg.prompt.home_key or str(msg.call_id))
        self._offer(msg, self._backlogs.order(msg.service, shards, time.monotonic()))

    def _offer(self, ask: Ask, shards: tuple[ShardId, ...]) -> None:
        """Put a request to the scheduler of the first shard; the others are for a refusal."""
        shard, others = shards[0], shards[1:]
        ask = replace(ask, shard=shard)
        if self._choice.is_scheduler(ask.service, shard):
            self._to_broker(ask)
            return
        scheduler = self._choice.scheduler(ask.service, shard)
        if scheduler is None or not self._put(ask, scheduler, others):
            self._decide_alone(ask)

    def _decide_alone(self, ask: Ask) -> None:
        """Let this router's own broker choose, among all engines."""
        self._to_broker(replace(ask, shard=WHOLE))

    def _shards(self, service: ServiceName) -> ShardMap:
        return self._in_force.shards.get(service, _UNDIVIDED)

    @tell.register
    def _(self, msg: Withdraw) -> None:
        call = self._calls.get(msg.call_id)
        if call is None or not self._claim(call):
            self._to_broker(msg)
            return
        self._link.send(call.scheduler.calls, PlaceWithdrawn(msg.call_id, msg.service))
        call.ask.reply.refuse(CallerGone("caller gone while waiting"))

    @tell.register
    def _(self, msg: FirstEvent) -> None:
        call = self._calls.get(msg.call_id)
        if call is None:
            self._to_broker(msg)
            return
        first = FirstSeen(msg.call_id, msg.service, msg.target, msg.took_s)
        self._link.send(call.scheduler.calls, first)

    @tell.register
    def _(self, msg: Settled) -> None:
        with self._lock:
            call = self._calls.pop(msg.call_id, None)
        if call is None:
            self._to_broker(msg)
            return
        self._end(call, msg)

    @tell.register
    def _(self, msg: TargetLeaving) -> None:
        self._to_broker(msg)
        shard = self._shards(msg.service).of_target(msg.target)
        scheduler = self._choice.scheduler(msg.service, shard)
        if scheduler is not None:
            self._link.send(scheduler.calls, LeavingSeen(msg.service, msg.target))

    def tell_schedulers(self, service: ServiceName, count: int, given: ServiceGiven) -> None:
        """Tell the schedulers of a service's other shards what this one gave to teams."""
        shards = (ShardId(index, count) for index in range(count))
        found = (self._choice.scheduler(service, shard) for shard in shards)
        for address in {entry.calls for entry in found if entry is not None}:
            self._link.send(address, given)

    def _put(self, ask: Ask, scheduler: MemberEntry, others: tuple[ShardId, ...]) -> bool:
        now = time.monotonic()
        with self._lock:
            self._calls[ask.call_id] = _Call(ask, scheduler, now, others)
        redialled = not self._link.is_dialled(scheduler.calls)
        prompt = ask.prompt
        request = PlaceRequest(
            ask.call_id,
            self._node,
            self._link.address,
            redialled,
            self._zone,
            ask.req_id,
            ask.team,
            ask.service,
            ask.cost,
            [(part.part_id, part.tokens) for part in prompt.parts],
            prompt.input_tokens,
            prompt.output_tokens,
            ask.wait_until - now,
            ask.give_up - now,
            sorted(ask.exclude),
            ask.retry,
            ask.repeat,
            ask.shard.index,
            ask.shard.count,
            ask.digest,
        )
        if self._link.send(scheduler.calls, request):
            return True
        with self._lock:
            self._calls.pop(ask.call_id, None)
        self._choice.note_silent(scheduler.node)
        return False

    def _end(self, call: _Call, msg: Settled) -> None:
        digest = msg.digest if msg.outcome is Outcome.TARGET_ENDED else ""
        ended = Ended(msg.call_id, msg.service, msg.target, msg.outcome.value, msg.cost, digest)
        self._link.send(call.scheduler.calls, ended)

    def _claim(self, call: _Call) -> bool:
        """Take a waiting call for this thread to answer; false when another one has it.

        A grant, a refusal, the caller's hang-up and the scheduler's silence come on different
        threads. Of two that act on the same call, one would put a request to the broker that has
        its answer.
        """
        with self._lock:
            if call.granted or self._calls.get(call.ask.call_id) is not call:
                return False
            del self._calls[call.ask.call_id]
            return True

    # -- from schedulers -----------------------------------------------------------------------

    @singledispatchmethod
    def hear(self, msg: object) -> bool:
        """Take a scheduler's message; false when it is none."""
        return False

    @hear.register
    def _(self, msg: StillWaiting) -> bool:
        self._note_heard(msg.scheduler)
        return True

    @hear.register
    def _(self, msg: PlaceGranted) -> bool:
        self._note_heard(msg.scheduler)
        with self._lock:
            call = self._calls.get(msg.call_id)
            if call is None or call.granted or call.scheduler.node != msg.scheduler:
                call = None
            else:
                call.granted = True
        if call is not None:
            self._backlogs.note(call.ask, msg.backlog_s, time.monotonic())
        if call is None:
            # The request went another way meanwhile; the engine must not count as busy with it.
            self._return(msg)
        elif msg.target in self._in_force.leaving:
            # This router knows from the store what the scheduler has not heard yet.
            self._return(msg)
            self._forget(msg.call_id)
            self._decide_alone(call.ask)
        elif not call.ask.reply.give(_granted(msg)):
            self._return(msg)
            self._forget(msg.call_id)
        return True

    @hear.register
    def _(self, msg: PlaceRefused) -> bool:
        self._note_heard(msg.scheduler)
        call = self._calls.get(msg.call_id)
        if call is None or not self._claim(call):
            return True
        if msg.error == NoTarget.__name__:
            # It may know fewer targets than this router: cut off from the store, or just started.
            self._decide_alone(call.ask)
            return True
        if msg.error in _FULL_THERE:
            self._backlogs.note(call.ask, msg.retry_after_s, time.monotonic())
        if call.others and msg.error in _FULL_THERE:
            # Another shard may have room while this one is full.
            self._offer(call.ask, call.others)
        else:
            call.ask.reply.refuse(_refusal(msg))
        return True

    def _return(self, msg: PlaceGranted) -> None:
        outcome = Outcome.CALLER_GONE.value
        ended = Ended(msg.call_id, msg.service, msg.target, outcome, 0.0)
        self._link.send(msg.reply_to, ended)

    def _note_heard(self, node: str) -> None:
        self._heard_at[node] = time.monotonic()
        self._choice.note_heard(node)

    # -- silence -------------------------------------------------------------------------------

    def ask_to_look(self, now: float) -> None:
        """Send this router a word that brings it to look for schedulers that are silent.

        A router without processor time hears late what schedulers said in time. It would take them
        for silent and decide for all that waits there, which makes it later still. Its own word
        waits in the same queue, so when it comes, what was there before it has been heard.
        """
        if self._calls and now - self._asked_to_look_at > _LOOK_LOST_S:
            self._asked_to_look_at = now
            self._link.send(self._link.address, LookNow(now))

    @hear.register
    def _(self, msg: LookNow) -> bool:
        self._asked_to_look_at = -math.inf
        self._look(msg.sent_at)
        return True

    def _look(self, now: float) -> None:
        """Pass over schedulers that had said nothing for too long at ``now``."""
        silent: dict[str, MemberEntry] = {}
        with self._lock:
            waiting = [call for call in self._calls.values() if not call.granted]
        for call in waiting:
            node = call.scheduler.node
            if now - max(call.asked_at, self._heard_at.get(node, 0.0)) > SILENCE_S:
                silent[node] = call.scheduler
        for node, entry in silent.items():
            log_event("scheduler_silent", level="WARNING", peer=node, waiting=len(waiting))
            self._choice.note_silent(node)
            self._link.redial(entry.calls)
        for call in waiting:
            if call.scheduler.node in silent and self._claim(call):
                self._decide_alone(call.ask)
        self._forget_old(now)

    def _forget(self, call_id: int) -> None:
        with self._lock:
            self._calls.pop(call_id, None)

    def _forget_old(self, now: float) -> None:
        with self._lock:
            old = [c for c in self._calls.values() if now > c.ask.give_up + _FORGOTTEN_S]
            for call in old:
                del self._calls[call.ask.call_id]


def _granted(msg: PlaceGranted) -> Granted:
    info = TargetInfo(
        TargetId(msg.target),
        ServiceName(msg.service),
        msg.address,
        ZoneId(msg.zone),
        msg.slots,
        name=TargetName(msg.name),
    )
    return Granted(
        info,
        msg.expected_s,
        msg.miss_tokens,
        msg.ahead_tokens,
        msg.scheduler,
        msg.fetch_from,
    )


def _refusal(msg: PlaceRefused) -> AdmissionError:
    kind = getattr(errors, msg.error, None)
    if not (isinstance(kind, type) and issubclass(kind, AdmissionError)):
        kind = errors.TargetBusy
    return kind(msg.reason, msg.retry_after_s)
