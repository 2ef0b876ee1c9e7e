"""Attempts of one request: request a target, send, relay the answer, settle the grant."""

import time
from collections.abc import Callable, Iterator
from concurrent.futures import TimeoutError as FutureTimeout
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from functools import partial

from turmerictray.admission.backlog import TeamBacklog
from turmerictray.admission.pool import NO_TARGET_RETRY_S
from turmerictray.admission.pool_types import Outcome
from turmerictray.core.errors import (
    AdmissionError,
    CallerGone,
    ConnectionBroken,
    NoTarget,
    NotSent,
    OutcomeUnknown,
    Quarantined,
    QueueFull,
    QueueTimeout,
    Starting,
    TargetBusy,
    TargetFailed,
    TurmerictrayError,
    WontBeServed,
)
from turmerictray.core.ids import TargetId
from turmerictray.core.logs import log_request
from turmerictray.core.reply import Reply
from turmerictray.crashes.evidence import CrashEvidence
from turmerictray.crashes.fingerprint import CrashVerdict, Fingerprint
from turmerictray.router.dialect import Dialect
from turmerictray.router.progress import Progress
from turmerictray.router.relay import AnswerRelay
from turmerictray.router.routed_request import RoutedRequest, call_id_source
from turmerictray.router.silence import event_patience_s, min_next_try_s, patience_s
from turmerictray.router.take_up import TakeUp, return_grant
from turmerictray.router.trace import RequestTrace
from turmerictray.routing.target_notices import LOCAL_ROUTER, TargetNotices, TargetReport
from turmerictray.scheduling.broker_messages import (
    Ask,
    FirstEvent,
    Granted,
    Settled,
    TargetLeaving,
    TargetResting,
    Withdraw,
)
from turmerictray.scheduling.placement_client import PlacementClient
from turmerictray.transport.body import BodyEnd
from turmerictray.transport.disconnect import CancellableCall, Closer
from turmerictray.transport.exchange import ClientExchange
from turmerictray.transport.pool import ConnectionPool
from turmerictray.transport.target_conn import AnswerHead, TargetConnection, TargetRequest

_CONNECT_S = 0.5
"""Opening a connection takes one round trip of a few milliseconds; half a second covers a lost
packet on a link within a region and leaves time to try another target."""

_GRANT_SLACK_S = 0.3
"""Time that a request waits, beyond its queue deadline, for the broker's refusal, in seconds."""

_STARTING_RETRY_S = 0.5
"""Retry-After while newer documents are fetched from a peer."""

_FULL_STATUSES = frozenset({429, 503})
_UNASKED_REST_S = 0.3
"""Rest of a target that refuses a request as full without asking for a time, in seconds."""


@dataclass(frozen=True)
class RequestDependencies:
    """Components that the attempts of all requests share.

    ``is_outdated`` tells whether a request that was routed with a version of the routing
    configuration must not be sent; ``is_unavailable``, whether a target accepts no more work by
    what is published.
    """

    placement_client: PlacementClient
    dialect: Dialect
    pool: ConnectionPool
    backlog: TeamBacklog = field(default_factory=TeamBacklog)
    crashes: CrashEvidence = field(default_factory=CrashEvidence)
    is_outdated: Callable[[int], bool] = lambda _version: False
    is_unavailable: Callable[[TargetId], bool] = lambda _target: False
    notices: TargetNotices = field(default_factory=TargetNotices)
    new_call_id: Callable[[], int] = field(default_factory=call_id_source)


class RequestRun:
    """Attempts of one request at targets, until the caller has its final answer.

    Parameters
    ----------
    deps : RequestDependencies
    routed : RoutedRequest
    exchange : ClientExchange
    call : CancellableCall
    trace : RequestTrace
    """

    def __init__(
        self,
        deps: RequestDependencies,
        routed: RoutedRequest,
        exchange: ClientExchange,
        call: CancellableCall,
        trace: RequestTrace,
    ) -> None:
        self._deps = deps
        self._routed = routed
        self._exchange = exchange
        self._call = call
        self._trace = trace
        self._progress = Progress(routed.route)
        self._withheld_failure: TargetFailed | None = None
        self._is_test = False
        self._take_up: tuple[RoutedRequest, Granted] | None = None
        trace.progress = self._progress

    def run(self) -> None:
        """Make attempts until the caller has an answer.

        Raises
        ------
        TurmerictrayError
            The error to answer the caller with; :class:`CallerGone` if the caller disconnected.
        """
        try:
            self._make_attempts()
        finally:
            self._return_take_up()

    def _make_attempts(self) -> None:
        while (granted := self._next_grant()) is not None:
            try:
                self._attempt(granted)
                return
            except (NotSent, OutcomeUnknown, TargetBusy, TargetFailed) as exc:
                if self._finish_after_failure(exc):
                    return

    def _finish_after_failure(self, exc: TurmerictrayError) -> bool:
        """Decide what follows a failed attempt.

        Returns
        -------
        bool
            False if another attempt follows; True if a withheld failed answer was relayed to the
            caller instead.

        Raises
        ------
        TurmerictrayError
            There is no further attempt and no withheld answer.
        """
        if self._call.caller_gone:
            raise CallerGone("caller gone during a try") from exc
        left_s = self._routed.bounds.answer_deadline - time.monotonic()
        again = self._progress.allows_retry(left_s) and (
            not self._progress.may_have_run or self._quarantine_allows_retry()
        )
        self._log_failed_attempt(exc, left_s, again)
        if again:
            return False
        if self._relay_withheld_failure():
            return True
        raise self._progress.final_error(exc, timed_out=left_s <= 0) from exc

    def _quarantine_allows_retry(self) -> bool:
        quarantine = self._deps.crashes.quarantine
        return quarantine.may_retry(self._routed.fingerprint, time.monotonic())

    def _relay_withheld_failure(self) -> bool:
        """Relay the withheld failed answer to the caller; return False if that isn't possible.

        Once a stream has begun, no other answer can be sent: written into the stream, it would end
        it as if it were complete.
        """
        if self._withheld_failure is None or self._progress.answer_started:
            return False
        self._relay(self._trace.granted).relay_withheld_answer(self._withheld_failure)
        return True

    def _log_failed_attempt(self, exc: TurmerictrayError, left_s: float, again: bool) -> None:
        granted = self._trace.granted
        log_request(
            "try_failed",
            failed=True,
            req=self._routed.envelope.request_id,
            target=granted.target.id if granted else "-",
            tries=self._progress.delivered_attempts,
            may_have_run=self._progress.may_have_run,
            left_ms=round(left_s * 1000),
            again=again,
            **self._progress.end_fields(),
            reason=f"{type(exc).__name__}: {exc}"[:200],
        )

    def _next_grant(self) -> Granted | None:
        """Return a granted target, or None if a withheld failed answer was relayed instead."""
        try:
            self._is_test = self._deps.crashes.quarantine.check(
                self._routed.fingerprint, time.monotonic()
            )
            granted = self._use_take_up() or self._request_target()
            self._check_version(granted)
            self._check_current(granted)
        except AdmissionError as exc:
            if not self._call.caller_gone and self._relay_withheld_failure():
                return None
            raise self._progress.final_error(exc, isinstance(exc, QueueTimeout)) from exc
        self._trace.note_granted(granted)
        if self._routed.resumes is not None:
            self._progress.version = granted.target.version
        return granted

    def _attempt(self, granted: Granted) -> None:
        slot = _GrantedSlot(self._deps.placement_client, self._routed, granted)
        try:
            fingerprint, now = self._routed.fingerprint, time.monotonic()
            with self._deps.crashes.running(fingerprint, now, self._is_test):
                conn = self._connect(granted, slot)
                self._check_notices(granted, conn, slot)
                self._send(conn, granted, slot)
        except Quarantined as exc:
            slot.settle(Outcome.NOT_RUN, 0.0)
            raise self._progress.final_error(exc, timed_out=False) from exc
        finally:
            # Release the slot after any failure; otherwise this router would lose it for good.
            slot.settle(Outcome.FAILED, self._routed.cost)

    def _check_notices(
        self, granted: Granted, conn: TargetConnection, slot: "_GrantedSlot"
    ) -> None:
        """Give a grant back whose target leaves, has gone or wants to rest by now."""
        target = granted.target.id
        is_sendable = self._deps.notices.may_send(target, time.monotonic())
        if is_sendable and not self._deps.is_unavailable(target):
            return
        conn.close()
        slot.settle(Outcome.NOT_RUN, 0.0)
        raise NotSent("target leaves or rests")

    def _note_report(self, target: TargetId, report: TargetReport) -> None:
        """Act on what an answer tells of its target, and tell the schedulers."""
        if report.leaving and self._deps.notices.note_leaving(target):
            self._deps.placement_client.tell(TargetLeaving(self._routed.service, target))
        if report.rest_s:
            self._note_rest(target, report.rest_s)

    def _note_refusal(self, target: TargetId, status: int) -> None:
        """Let a full target rest briefly that hasn't said for how long.

        It has nothing of the refused request to do, so it would look idle and be sent the next one.
        """
        if status in _FULL_STATUSES and self._deps.notices.may_send(target, time.monotonic()):
            self._note_rest(target, _UNASKED_REST_S)

    def _note_rest(self, target: TargetId, rest_s: float) -> None:
        notices, now = self._deps.notices, time.monotonic()
        if notices.note_rest(target, rest_s, LOCAL_ROUTER, now):
            client = self._deps.placement_client
            client.tell(TargetResting(self._routed.service, target, rest_s))

    def _check_current(self, granted: Granted) -> None:
        """Refuse a request whose routing turned out to be outdated while it waited."""
        if self._progress.answer_started or not self._deps.is_outdated(self._routed.text_version):
            return
        self._return_grant(granted)
        raise Starting("starting", _STARTING_RETRY_S)

    def _check_version(self, granted: Granted) -> None:
        """Refuse a target of another software version, from a scheduler that does not know it."""
        version = self._progress.version
        if version is None or granted.target.version == version:
            return
        self._return_grant(granted)
        raise NoTarget("target_of_other_version", NO_TARGET_RETRY_S)

    def _return_grant(self, granted: Granted) -> None:
        return_grant(self._deps.placement_client, self._routed, granted)

    def _await_other_target(self, silent: Granted, conn: TargetConnection) -> bool:
        """Wait until a silent stream goes on, or another target is granted for it.

        Returns
        -------
        bool
            True if another target is granted, to which the next attempt is made.
        """
        if not self._quarantine_allows_retry():
            return False
        routed = replace(self._routed, call_id=self._deps.new_call_id())
        deadline = routed.bounds.answer_deadline - min_next_try_s(silent.expected_s)
        excluded = self._progress.excluded_targets | {silent.target.id}

        def make_ask(reply: Reply) -> Ask:
            ask = self._make_ask(routed, reply, deadline, excluded)
            return replace(ask, repeat=True)

        granted = TakeUp(self._deps.placement_client, make_ask, deadline).find(conn)
        if granted is None:
            return False
        if not self._quarantine_allows_retry():
            return_grant(self._deps.placement_client, routed, granted)
            return False
        self._take_up = routed, granted
        return True

    def _use_take_up(self) -> Granted | None:
        """Return the target that was granted while the last one was silent, if any."""
        if self._take_up is None:
            return None
        (self._routed, granted), self._take_up = self._take_up, None
        return granted

    def _return_take_up(self) -> None:
        if self._take_up is not None:
            routed, granted = self._take_up
            return_grant(self._deps.placement_client, routed, granted)

    def _request_target(self) -> Granted:
        routed, progress = self._routed, self._progress
        reply = Reply()
        # A later attempt has waited in the queue before; it may use all the remaining time.
        queue_deadline = (
            routed.bounds.answer_deadline
            if progress.excluded_targets
            else routed.bounds.queue_deadline
        )
        ask = self._make_ask(routed, reply, queue_deadline, progress.excluded_targets)
        client = self._deps.placement_client
        if not self._call.on_disconnect(lambda: client.tell(self._withdrawal())):
            raise CallerGone("caller gone before a target was asked for")
        client.tell(ask)
        try:
            with self._counted_as_waiting():
                return self._await_grant(reply, queue_deadline)
        finally:
            self._call.on_disconnect(None)

    def _make_ask(
        self, routed: RoutedRequest, reply: Reply, queue_deadline: float, excluded: set[str]
    ) -> Ask:
        progress = self._progress
        return Ask(
            routed.call_id,
            routed.envelope.request_id,
            routed.accounting_team,
            routed.service,
            routed.cost,
            routed.envelope.prompt,
            queue_deadline,
            reply,
            frozenset(excluded),
            retry=bool(excluded),
            repeat=progress.delivered_attempts > 0,
            answer_deadline=routed.bounds.answer_deadline,
            digest=routed.digest,
            home_zones=routed.home_zones,
            version=progress.version,
            resumes=routed.resumes if progress.version is None else None,
            is_test=self._is_test,
        )

    @contextmanager
    def _counted_as_waiting(self) -> Iterator[None]:
        """Count the request in its team's backlog while it waits for a grant."""
        self._exchange.finish_reading()
        if self._routed.envelope.prompt is None:
            yield
            return
        backlog, key = self._deps.backlog, self._routed.backlog_key
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

    def _await_grant(self, reply: Reply, queue_deadline: float) -> Granted:
        try:
            return reply.result(max(0.0, queue_deadline - time.monotonic()) + _GRANT_SLACK_S)
        except FutureTimeout:
            # The broker should have expired the request before. If a grant arrives at the same
            # moment, the cancellation fails and the grant is used.
            if reply.cancel():
                # The broker's answer is late or lost. If the request stayed in the queue, placement
                # would be attempted for seconds and a grant would have no receiver.
                self._deps.placement_client.tell(self._withdrawal())
                raise QueueTimeout("queue_timeout", _GRANT_SLACK_S) from None
            return reply.result()

    def _withdrawal(self) -> Withdraw:
        return Withdraw(self._routed.call_id, self._routed.service)

    def _connect(self, granted: Granted, slot: "_GrantedSlot") -> TargetConnection:
        target = granted.target
        try:
            return self._deps.pool.acquire(target.id, target.address, _CONNECT_S)
        except NotSent:
            self._progress.record_send_failure(target.id)
            slot.settle(Outcome.NOT_REACHED, 0.0)
            raise

    def _send(self, conn: TargetConnection, granted: Granted, slot: "_GrantedSlot") -> None:
        if self._call.check_disconnected() or not self._call.on_disconnect(conn.abort):
            conn.close()
            slot.settle(Outcome.CALLER_GONE, 0.0)
            raise CallerGone("caller gone before the request was sent")
        target = granted.target
        self._progress.begin_attempt()
        relay = self._relay(granted)
        try:
            try:
                head = self._exchange_heads(conn, granted)
                is_last = not self._progress.may_abandon_attempt()
                relay.relay_answer(conn, head, is_last_attempt=is_last)
            finally:
                # Before the connection is closed or used for another request.
                self._call.on_disconnect(None)
        except TargetBusy:
            self._progress.record_not_run(target.id)
            slot.settle(Outcome.NOT_RUN, 0.0)
            self._note_refusal(target.id, head.status)
            self._deps.pool.release(target.id, conn, head)
            raise
        except TargetFailed as exc:
            self._withheld_failure = exc
            self._progress.record_possible_run(target.id)
            slot.settle(Outcome.FAILED, self._routed.cost)
            self._deps.pool.release(target.id, conn, head)
            raise
        except TurmerictrayError as exc:
            conn.close()
            self._progress.closer = self._closer(conn, exc)
            self._settle_broken_attempt(exc, granted, slot)
            raise
        except Exception:
            # Left open, the connection would keep the target at work on a request that is given up.
            conn.close()
            self._progress.record_possible_run(target.id)
            raise
        if self._progress.body_end is BodyEnd.CONNECTION_CLOSE:
            self._progress.closer = self._closer(conn)
        self._progress.delivered_attempts += 1
        slot.settle(relay.outcome, self._routed.cost, self._record_answer(head))
        self._deps.pool.release(target.id, conn, head)

    def _closer(self, conn: TargetConnection, exc: TurmerictrayError | None = None) -> Closer:
        if conn.is_closed_by_target:
            return Closer.TARGET
        if self._call.closer is not None:
            return self._call.closer
        if isinstance(exc, CallerGone):
            return Closer.CALLER
        return Closer.TARGET if isinstance(exc, ConnectionBroken) else Closer.ROUTER

    def _record_answer(self, head: AnswerHead) -> CrashVerdict | None:
        """Record a complete answer; return what the scheduler has to know of it."""
        if not 200 <= head.status < 300:
            return None
        quarantine = self._deps.crashes.quarantine
        news = quarantine.record_answer(self._routed.fingerprint, time.monotonic())
        return CrashVerdict(False, Fingerprint(parts=news)) if news else None

    def _settle_broken_attempt(
        self, exc: TurmerictrayError, granted: Granted, slot: "_GrantedSlot"
    ) -> None:
        gone = self._call.caller_gone or isinstance(exc, CallerGone)
        if isinstance(exc, OutcomeUnknown):
            self._progress.record_possible_run(granted.target.id)
        outcome, verdict = self._broken_attempt_outcome(exc, gone, granted), None
        if outcome is Outcome.TARGET_ENDED:
            quarantine = self._deps.crashes.quarantine
            fingerprint = quarantine.accused(self._routed.fingerprint, time.monotonic())
            verdict = CrashVerdict(True, fingerprint, granted.isolated)
        slot.settle(outcome, self._routed.cost, verdict)

    def _broken_attempt_outcome(
        self, exc: TurmerictrayError, gone: bool, granted: Granted
    ) -> Outcome:
        if gone:
            return Outcome.CALLER_GONE
        routed, now = self._routed, time.monotonic()
        ran_s = self._progress.seconds_since_first_event(now)
        if self._deps.crashes.record_if_crash(
            routed.fingerprint, granted.target, exc, ran_s, now, granted.isolated
        ):
            return Outcome.TARGET_ENDED
        # A stream cut at the route's time-out while its events still arrive is no failure of the
        # target. Counted as one, every long answer would divert prompts from the target.
        out_of_time = now >= self._routed.bounds.answer_deadline
        if out_of_time and self._progress.event_count:
            return Outcome.OUT_OF_TIME
        return Outcome.FAILED

    def _exchange_heads(self, conn: TargetConnection, granted: Granted) -> AnswerHead:
        routed = self._routed
        now = time.monotonic()
        left_s = routed.bounds.answer_deadline - now
        if left_s <= 0:
            raise NotSent("no time left before sending")
        resume_after = self._progress.last_event_id if self._progress.answer_started else None
        headers = self._deps.dialect.target_headers(
            routed.envelope, granted.target, routed.team, left_s, resume_after, granted.fetch_from
        )
        conn.send(
            TargetRequest(routed.head.method, routed.head.target, headers, routed.body), left_s
        )
        return conn.read_head(routed.head.method, self._head_timeout(left_s, granted))

    def _head_timeout(self, left_s: float, granted: Granted) -> float:
        if not self._progress.may_abandon_attempt():
            return left_s
        return patience_s(left_s, granted.expected_s)

    def _report_deadline(self, granted: Granted, now: float) -> float:
        """Return until when a target that has ended an answer may fail to respond."""
        routed = self._routed
        left_s = routed.bounds.answer_deadline - now
        if not self._progress.may_abandon_attempt():
            return now + left_s
        if not self._progress.answer_started:
            return now + patience_s(left_s, granted.expected_s)
        route = routed.route
        return now + event_patience_s(
            left_s, granted.expected_s, route.gap_s, route.caller_patience_s
        )

    def _relay(self, granted: Granted) -> AnswerRelay:
        sent_at = time.monotonic()
        routed = self._routed

        def note_first() -> None:
            self._trace.note_first()
            self._progress.version = granted.target.version
            took_s = time.monotonic() - sent_at
            self._deps.placement_client.tell(
                FirstEvent(
                    routed.call_id,
                    routed.service,
                    granted.target.id,
                    took_s,
                    routed.stream,
                    granted.target.version,
                )
            )

        def check_closed() -> None:
            now = time.monotonic()
            self._deps.crashes.check_closed_answer(
                granted.target,
                now,
                self._report_deadline(granted, now),
                self._progress.record_liveness,
                lambda: self._call.caller_gone,
            )

        return AnswerRelay(
            self._exchange,
            self._deps.dialect,
            routed,
            self._progress,
            note_first,
            check_closed,
            partial(self._note_report, granted.target.id),
            partial(self._await_other_target, granted),
            granted.expected_s,
        )


class _GrantedSlot:
    """The slot of a grant, which is released exactly once."""

    def __init__(self, client: PlacementClient, routed: RoutedRequest, granted: Granted) -> None:
        self._client = client
        self._routed = routed
        self._granted = granted
        self._is_open = True

    def settle(self, outcome: Outcome, cost: float, verdict: CrashVerdict | None = None) -> None:
        """Report the outcome and release the slot; later calls do nothing."""
        if not self._is_open:
            return
        self._is_open = False
        routed = self._routed
        self._client.tell(
            Settled(
                routed.call_id,
                routed.service,
                self._granted.target.id,
                outcome,
                cost,
                verdict,
            )
        )
