"""The scheduler's side: requests of other routers are put to this router's broker."""

import threading
import time
from functools import partial, singledispatchmethod

import pykka

from turmerictray.admission.pool import Outcome
from turmerictray.core.errors import AdmissionError
from turmerictray.core.ids import (
    NodeId,
    RequestDigest,
    RequestId,
    ServiceName,
    TargetId,
    TeamId,
    ZoneId,
)
from turmerictray.core.reply import Reply
from turmerictray.router.broker_messages import (
    Ask,
    FirstEvent,
    Granted,
    ServiceHeard,
    Settled,
    TargetLeaving,
    Withdraw,
)
from turmerictray.routing.prompt import Part, PartId, Prompt
from turmerictray.scheduling.link import SchedulingLink
from turmerictray.scheduling.messages import (
    Ended,
    FirstSeen,
    LeavingSeen,
    PlaceGranted,
    PlaceRefused,
    PlaceRequest,
    PlaceWithdrawn,
    ServiceGiven,
    StillWaiting,
)
from turmerictray.scheduling.shards import ShardId


class Scheduler:
    """Answers other routers' requests for engines.

    Parameters
    ----------
    node : NodeId
    broker : pykka.ActorRef
    link : SchedulingLink
    """

    def __init__(self, node: NodeId, broker: pykka.ActorRef, link: SchedulingLink) -> None:
        self._node = node
        self._broker = broker
        self._link = link
        self._lock = threading.Lock()
        self._waiting: dict[int, str] = {}

    @singledispatchmethod
    def hear(self, msg: object) -> None:
        """Take a router's message."""

    @hear.register
    def _(self, msg: PlaceRequest) -> None:
        if msg.redialled:
            self._link.redial(msg.reply_to)
        reply = Reply()
        with self._lock:
            self._waiting[msg.call_id] = msg.reply_to
        reply.add_done_callback(partial(self._answer, msg))
        self._broker.tell(_ask(msg, reply))

    @hear.register
    def _(self, msg: PlaceWithdrawn) -> None:
        self._broker.tell(Withdraw(msg.call_id, ServiceName(msg.service)))

    @hear.register
    def _(self, msg: FirstSeen) -> None:
        service, target = ServiceName(msg.service), TargetId(msg.target)
        self._broker.tell(FirstEvent(msg.call_id, service, target, msg.took_s))

    @hear.register
    def _(self, msg: Ended) -> None:
        self._broker.tell(
            Settled(
                msg.call_id,
                ServiceName(msg.service),
                TargetId(msg.target),
                Outcome(msg.outcome),
                msg.cost,
                RequestDigest(msg.digest),
            )
        )

    @hear.register
    def _(self, msg: LeavingSeen) -> None:
        self._broker.tell(TargetLeaving(ServiceName(msg.service), TargetId(msg.target)))

    @hear.register
    def _(self, msg: ServiceGiven) -> None:
        self._broker.tell(ServiceHeard(msg))

    def say_alive(self, _now: float) -> None:
        """Tell the routers whose requests wait here that they are not forgotten."""
        with self._lock:
            addresses = set(self._waiting.values())
        for address in addresses:
            self._link.send(address, StillWaiting(self._node))

    def _answer(self, msg: PlaceRequest, reply: Reply) -> None:
        with self._lock:
            self._waiting.pop(msg.call_id, None)
        exc = reply.exception()
        if exc is None:
            self._send_grant(msg, reply.result())
        elif isinstance(exc, AdmissionError):
            name = type(exc).__name__
            refused = PlaceRefused(msg.call_id, self._node, name, exc.reason, exc.retry_after)
            self._link.send(msg.reply_to, refused)

    def _send_grant(self, msg: PlaceRequest, granted: Granted) -> None:
        target = granted.target
        sent = self._link.send(
            msg.reply_to,
            PlaceGranted(
                msg.call_id,
                self._node,
                self._link.address,
                target.id,
                target.name,
                target.service,
                target.address,
                target.zone,
                target.slots,
                granted.expected_s,
                granted.miss_tokens,
                granted.ahead_tokens,
                granted.fetch_from,
                granted.backlog_s,
            ),
        )
        if not sent:
            self._broker.tell(
                Settled(
                    msg.call_id,
                    target.service,
                    target.id,
                    Outcome.CALLER_GONE,
                    0.0,
                )
            )


def _ask(msg: PlaceRequest, reply: Reply) -> Ask:
    now = time.monotonic()
    parts = tuple(Part(PartId(part_id), tokens) for part_id, tokens in msg.parts)
    return Ask(
        msg.call_id,
        RequestId(msg.req_id),
        TeamId(msg.team),
        ServiceName(msg.service),
        msg.cost,
        Prompt(parts, msg.input_tokens, msg.output_tokens),
        now + msg.wait_s,
        reply,
        frozenset(msg.exclude),
        msg.retry,
        msg.repeat,
        NodeId(msg.origin),
        ZoneId(msg.zone),
        now + msg.give_up_s,
        ShardId(msg.shard, msg.shards),
        RequestDigest(msg.digest),
    )
