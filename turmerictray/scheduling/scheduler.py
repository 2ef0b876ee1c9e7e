"""The scheduler side of placement: passes other routers' requests to the local broker."""

import threading
import time
from functools import partial, singledispatchmethod

import pykka

from turmerictray.admission.pool_types import Outcome
from turmerictray.core.errors import AdmissionError
from turmerictray.core.ids import (
    NodeId,
    RequestDigest,
    RequestId,
    ServiceName,
    SoftwareVersion,
    StreamKey,
    TargetId,
    TeamId,
    ZoneId,
)
from turmerictray.core.reply import Reply
from turmerictray.crashes.fingerprint import CrashVerdict, Fingerprint, ServicePart
from turmerictray.routing.prompt import PartId, Prompt, PromptPart
from turmerictray.scheduling.broker_messages import (
    Ask,
    FirstEvent,
    Granted,
    PartsReadElsewhere,
    ServiceHeard,
    Settled,
    StreamsBegunElsewhere,
    TargetLeaving,
    TargetResting,
    Withdraw,
)
from turmerictray.scheduling.link import SchedulingLink
from turmerictray.scheduling.messages import (
    Ended,
    FirstSeen,
    LeavingSeen,
    PartsRead,
    PlaceGranted,
    PlaceRefused,
    PlaceRequest,
    PlaceWithdrawn,
    RestSeen,
    ServiceGiven,
    StillWaiting,
    StreamsBegun,
)
from turmerictray.scheduling.shards import ShardId


class Scheduler:
    """Answers placement requests from other routers.

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
        self._reply_addresses: dict[int, str] = {}

    @singledispatchmethod
    def handle_message(self, msg: object) -> None:
        """Handle a message from another router; ignore unknown types."""

    @handle_message.register
    def _(self, msg: PlaceRequest) -> None:
        if msg.reconnected:
            self._link.reconnect(msg.reply_to)
        reply = Reply()
        with self._lock:
            self._reply_addresses[msg.call_id] = msg.reply_to
        reply.add_done_callback(partial(self._send_answer, msg))
        self._broker.tell(_to_ask(msg, reply))

    @handle_message.register
    def _(self, msg: PlaceWithdrawn) -> None:
        self._broker.tell(Withdraw(msg.call_id, ServiceName(msg.service)))

    @handle_message.register
    def _(self, msg: FirstSeen) -> None:
        service, target = ServiceName(msg.service), TargetId(msg.target)
        stream = None if msg.stream is None else StreamKey(msg.stream)
        version = SoftwareVersion(msg.version)
        self._broker.tell(FirstEvent(msg.call_id, service, target, msg.took_s, stream, version))

    @handle_message.register
    def _(self, msg: Ended) -> None:
        self._broker.tell(
            Settled(
                msg.call_id,
                ServiceName(msg.service),
                TargetId(msg.target),
                Outcome(msg.outcome),
                msg.cost,
                to_verdict(msg),
            )
        )

    @handle_message.register
    def _(self, msg: LeavingSeen) -> None:
        self._broker.tell(TargetLeaving(ServiceName(msg.service), TargetId(msg.target)))

    @handle_message.register
    def _(self, msg: RestSeen) -> None:
        service, target = ServiceName(msg.service), TargetId(msg.target)
        router = NodeId(msg.router)
        self._broker.tell(TargetResting(service, target, msg.rest_s, router, msg.repeated))

    @handle_message.register
    def _(self, msg: ServiceGiven) -> None:
        self._broker.tell(ServiceHeard(msg))

    @handle_message.register
    def _(self, msg: PartsRead) -> None:
        self._broker.tell(PartsReadElsewhere(msg))

    @handle_message.register
    def _(self, msg: StreamsBegun) -> None:
        self._broker.tell(StreamsBegunElsewhere(msg))

    def send_keepalives(self, _now: float) -> None:
        """Send a keep-alive to each router with requests waiting here."""
        with self._lock:
            addresses = set(self._reply_addresses.values())
        for address in addresses:
            self._link.send(address, StillWaiting(self._node))

    def _send_answer(self, msg: PlaceRequest, reply: Reply) -> None:
        with self._lock:
            self._reply_addresses.pop(msg.call_id, None)
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
                target.version,
                granted.isolated,
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


def to_verdict(msg: Ended) -> CrashVerdict | None:
    """Return what the end of a request tells about crashes; None for nothing."""
    crashed = Outcome(msg.outcome) is Outcome.TARGET_ENDED
    if not crashed and not msg.parts:
        return None
    parts = tuple(ServicePart(ServiceName(msg.service), PartId(part)) for part in msg.parts)
    fingerprint = Fingerprint(RequestDigest(msg.digest), TeamId(msg.team), parts)
    return CrashVerdict(crashed, fingerprint, msg.isolated)


def _to_ask(msg: PlaceRequest, reply: Reply) -> Ask:
    now = time.monotonic()
    parts = tuple(PromptPart(PartId(part_id), tokens) for part_id, tokens in msg.parts)
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
        None if msg.home_zones is None else frozenset(map(ZoneId, msg.home_zones)),
        version=None if msg.version is None else SoftwareVersion(msg.version),
        resumes=None if msg.resumes is None else StreamKey(msg.resumes),
        is_test=msg.is_test,
        is_counted=msg.is_counted,
    )
