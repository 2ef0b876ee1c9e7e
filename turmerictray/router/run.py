"""The tries of one request: ask for a target, send, relay, settle."""

import time
from collections.abc import Iterator
from concurrent.futures import TimeoutError as FutureTimeout
from contextlib import contextmanager
from dataclasses import dataclass, field

from turmerictray.admission.backlog import TeamBacklog
from turmerictray.admission.pool import Outcome
from turmerictray.core.errors import (
    AdmissionError,
    CallerGone,
    NotSent,
    OutcomeUnknown,
    Quarantined,
    QueueFull,
    QueueTimeout,
    TargetBusy,
    TargetFailed,
    TurmerictrayError,
    WontBeServed,
)
from turmerictray.core.logs import log_request
from turmerictray.core.reply import Reply
from turmerictray.router.broker_messages import (
    Ask,
    FirstEvent,
    Granted,
    Settled,
    TargetLeaving,
    Withdraw,
)
from turmerictray.router.crash_evidence import CrashEvidence
from turmerictray.router.dialect import Dialect
from turmerictray.router.placement_client import PlacementClient
from turmerictray.router.progress import Progress
from turmerictray.router.relay import AnswerRelay
from turmerictray.router.routed import Routed
from turmerictray.router.trace import RequestTrace
from turmerictray.transport.exchange import ClientExchange
from turmerictray.transport.hangup import Call
from turmerictray.transport.pool import ConnectionPool
from turmerictray.transport.target_conn import AnswerHead, TargetConnection, TargetRequest

_CONNECT_S = 0.5
"""Opening a connection takes one round trip of a few milliseconds; half a second covers a lost
packet on a link within a region and leaves time to try another target."""

_GRANT_SLACK_S = 0.3
"""How long past its own time limit a request waits for the broker to say that it is over."""

_SILENCE_FACTOR = 4.0
_LEAST_SILENCE_S = 2.0
"""A target that has not begun to answer after four times the expected time, and not less than this,
is given up for another one if the request may be repeated: estimates are rarely off by more."""


@dataclass(frozen=True)
class Parts:
    """What the tries of all requests share."""

    desk: PlacementClient
    dialect: Dialect
    pool: ConnectionPool
    backlog: TeamBacklog = field(default_factory=TeamBacklog)
    crashes: CrashEvidence = field(default_factory=CrashEvidence)


class RequestRun:
    """Sends one request to targets until it has its final answer.

    Parameters
    ----------
    parts : Parts
    routed : Routed
    exchange : ClientExchange
    call : Call
    trace : RequestTrace
    """

    def __init__(
        self,
        parts: Parts,
        routed: Routed,
        exchange: ClientExchange,
        call: Call,
        trace: RequestTrace,
    ) -> None:
        self._parts = parts
        self._routed = routed
        self._exchange = exchange
        self._call = call
        self._trace = trace
        self._progress = Progress(routed.route)
        self._failure: TargetFailed | None = None
        trace.progress = self._progress

    def run(self) -> None:
        """Try until the caller has an answer.

        Raises
        ------
        TurmerictrayError
            What the caller is to be told; :class:`CallerGone` when there is no caller any more.
        """
        while (granted := self._ask_or_give_up()) is not None:
            try:
                self._try_at(granted)
                self._parts.crashes.quarantine.note_answered(self._routed.digest)
                return
            except (NotSent, OutcomeUnknown, TargetBusy, TargetFailed) as exc:
                if self._end_here(exc):
                    return

    def _end_here(self, exc: TurmerictrayError) -> bool:
        """Whether a held-back failure has gone to the caller; raises if there is none."""
        if self._call.gone:
            raise CallerGone("caller gone during a try") from exc
        left = self._routed.bounds.answer_deadline - time.monotonic()
        again = self._progress.may_try_again(left) and self._is_unsuspected()
        self._log_try(exc, left, again)
        if again:
            return False
        if self._relay_held_failure():
            return True
        raise self._progress.failure(exc, timed_out=left <= 0) from exc

    def _is_unsuspected(self) -> bool:
        quarantine = self._parts.crashes.quarantine
        return quarantine.may_retry(self._routed.digest, time.monotonic())

    def _relay_held_failure(self) -> bool:
        """Give the caller the failed answer that was held back; false if there is none to give.

        Once a stream has begun there is no place for another answer: written into the stream, it
        would end it as if it were complete.
        """
        if self._failure is None or self._progress.answering:
            return False
        self._relay(self._trace.granted).relay_withheld_answer(self._failure)
        return True

    def _log_try(self, exc: TurmerictrayError, left: float, again: bool) -> None:
        granted = self._trace.granted
        log_request(
            "try_failed",
            failed=True,
            req=self._routed.envelope.request_id,
            target=granted.target.id if granted else "-",
            tries=self._progress.arrived,
            may_have_run=self._progress.may_have_run,
            left_ms=round(left * 1000),
            again=again,
            reason=f"{type(exc).__name__}: {exc}"[:200],
        )

    def _ask_or_give_up(self) -> Granted | None:
        """A target to try; None when a held-back failure has gone to the caller instead."""
        try:
            self._parts.crashes.quarantine.check(self._routed.digest, time.monotonic())
            granted = self._ask()
        except AdmissionError as exc:
            if not self._call.gone and self._relay_held_failure():
                return None
            raise self._progress.failure(exc, isinstance(exc, QueueTimeout)) from exc
        self._trace.note_granted(granted)
        return granted

    def _try_at(self, granted: Granted) -> None:
        booking = _Booking(self._parts.desk, self._routed, granted)
        try:
            with self._parts.crashes.running(self._routed.digest, time.monotonic()):
                conn = self._connect(granted, booking)
                self._send(conn, granted, booking)
        except Quarantined as exc:
            booking.settle(Outcome.NOT_RUN, 0.0)
            raise self._progress.failure(exc, timed_out=False) from exc
        finally:
            # Whatever went wrong, the slot must be given back or it is lost to this router.
            booking.settle(Outcome.FAILED, self._routed.cost)

    def _ask(self) -> Granted:
        routed, progress = self._routed, self._progress
        reply = Reply()
        # A later try has already waited its turn; it may use what time is left.
        queue_deadline = (
            routed.bounds.answer_deadline if progress.tried else routed.bounds.queue_deadline
        )
        ask = Ask(
            routed.call_id,
            routed.envelope.request_id,
            routed.ledger_team,
            routed.service,
            routed.cost,
            routed.envelope.prompt,
            queue_deadline,
            reply,
            frozenset(progress.tried),
            retry=bool(progress.tried),
            repeat=progress.arrived > 0,
            answer_deadline=routed.bounds.answer_deadline,
            digest=routed.digest,
        )
        desk = self._parts.desk
        if not self._call.on_hang_up(lambda: desk.tell(self._withdraw())):
            raise CallerGone("caller gone before a target was asked for")
        desk.tell(ask)
        try:
            with self._in_backlog():
                return self._wait_for(reply, queue_deadline)
        finally:
            self._call.on_hang_up(None)

    @contextmanager
    def _in_backlog(self) -> Iterator[None]:
        """Count the request as one that waits, as long as it does."""
        self._exchange.finish_reading()
        if self._routed.envelope.prompt is None:
            yield
            return
        backlog, key = self._parts.backlog, self._routed.backlog_key
        backlog.start_waiting(key)
        granted = False
        try:
            yield
            granted = True
        except (QueueFull, WontBeServed) as exc:
            backlog.note_refusal(key, exc.retry_after, time.monotonic())
            raise
        finally:
            backlog.stop_waiting(key, granted, time.monotonic())

    def _wait_for(self, reply: Reply, queue_deadline: float) -> Granted:
        try:
            return reply.result(max(0.0, queue_deadline - time.monotonic()) + _GRANT_SLACK_S)
        except FutureTimeout:
            # The broker's own expiry should have come first. A grant that comes at the same
            # moment wins over the cancel and is used.
            if reply.cancel():
                # Its word was lost or is late; left in the queue, the request would be looked at
                # for seconds, and granted to nobody.
                self._parts.desk.tell(self._withdraw())
                raise QueueTimeout("queue_timeout", _GRANT_SLACK_S) from None
            return reply.result()

    def _withdraw(self) -> Withdraw:
        return Withdraw(self._routed.call_id, self._routed.service)

    def _connect(self, granted: Granted, booking: "_Booking") -> TargetConnection:
        target = granted.target
        try:
            return self._parts.pool.take(target.id, target.address, _CONNECT_S)
        except NotSent:
            self._progress.failed_before_send(target.id)
            booking.settle(Outcome.NOT_REACHED, 0.0)
            raise

    def _send(self, conn: TargetConnection, granted: Granted, booking: "_Booking") -> None:
        if self._call.look() or not self._call.on_hang_up(conn.abort):
            conn.close()
            booking.settle(Outcome.CALLER_GONE, 0.0)
            raise CallerGone("caller gone before the request was sent")
        target = granted.target
        self._progress.begin_try()
        relay = self._relay(granted)
        try:
            head = self._exchange_heads(conn, granted)
            relay.relay_answer(conn, head, is_last_attempt=not self._progress.may_repeat_now())
        except TargetBusy:
            self._progress.not_run(target.id)
            booking.settle(Outcome.NOT_RUN, 0.0)
            if relay.leaving:
                self._parts.desk.tell(TargetLeaving(self._routed.service, target.id))
            self._parts.pool.give_back(target.id, conn, head)
            raise
        except TargetFailed as exc:
            self._failure = exc
            self._parts.crashes.quarantine.note_answered(self._routed.digest)
            self._progress.maybe_ran(target.id)
            booking.settle(Outcome.FAILED, self._routed.cost)
            self._parts.pool.give_back(target.id, conn, head)
            raise
        except TurmerictrayError as exc:
            conn.close()
            self._after_break(exc, granted, booking)
            raise
        finally:
            self._call.on_hang_up(None)
        self._progress.arrived += 1
        booking.settle(relay.outcome, self._routed.cost)
        self._parts.pool.give_back(target.id, conn, head)

    def _after_break(self, exc: TurmerictrayError, granted: Granted, booking: "_Booking") -> None:
        gone = self._call.gone or isinstance(exc, CallerGone)
        if isinstance(exc, OutcomeUnknown):
            self._progress.maybe_ran(granted.target.id)
        booking.settle(self._outcome_of_break(exc, gone, granted), self._routed.cost)

    def _outcome_of_break(self, exc: TurmerictrayError, gone: bool, granted: Granted) -> Outcome:
        if gone:
            return Outcome.CALLER_GONE
        routed, now = self._routed, time.monotonic()
        ran_s = self._progress.ran_s(now)
        if self._parts.crashes.record_if_crash(routed.digest, granted.target, exc, ran_s, now):
            return Outcome.TARGET_ENDED
        # A stream that is cut at the route's time-out while its events come says nothing against
        # the target; counted as a failure, every long answer would send prompts away from it.
        out_of_time = time.monotonic() >= self._routed.bounds.answer_deadline
        if out_of_time and self._progress.events:
            return Outcome.OUT_OF_TIME
        return Outcome.FAILED

    def _exchange_heads(self, conn: TargetConnection, granted: Granted) -> AnswerHead:
        routed = self._routed
        now = time.monotonic()
        left = routed.bounds.answer_deadline - now
        if left <= 0:
            raise NotSent("no time left before sending")
        resume_after = self._progress.last_event if self._progress.answering else None
        headers = self._parts.dialect.target_headers(
            routed.envelope, granted.target, routed.team, left, resume_after, granted.fetch_from
        )
        conn.send(TargetRequest(routed.head.method, routed.head.target, headers, routed.body), left)
        return conn.read_head(routed.head.method, self._head_timeout(left, granted))

    def _head_timeout(self, left: float, granted: Granted) -> float:
        if not self._progress.may_repeat_now():
            return left
        silence = max(_LEAST_SILENCE_S, _SILENCE_FACTOR * granted.expected_s)
        return min(left, silence)

    def _relay(self, granted: Granted) -> AnswerRelay:
        sent_at = time.monotonic()
        routed = self._routed

        def note_first() -> None:
            self._trace.note_first()
            took = time.monotonic() - sent_at
            self._parts.desk.tell(
                FirstEvent(routed.call_id, routed.service, granted.target.id, took)
            )

        return AnswerRelay(self._exchange, self._parts.dialect, routed, self._progress, note_first)


class _Booking:
    """A grant, which is settled exactly once."""

    def __init__(self, desk: PlacementClient, routed: Routed, granted: Granted) -> None:
        self._desk = desk
        self._routed = routed
        self._granted = granted
        self._open = True

    def settle(self, outcome: Outcome, cost: float) -> None:
        """Give the slot back; later calls do nothing."""
        if not self._open:
            return
        self._open = False
        routed = self._routed
        self._desk.tell(
            Settled(
                routed.call_id,
                routed.service,
                self._granted.target.id,
                outcome,
                cost,
                routed.digest,
            )
        )
