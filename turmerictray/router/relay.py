"""Relaying of a target's answer to the caller."""

import time
from collections.abc import Callable

from turmerictray.admission.pool_types import Outcome
from turmerictray.core.errors import OutcomeUnknown, TargetBusy, TargetFailed
from turmerictray.router.dialect import AnswerFlags, Dialect
from turmerictray.router.progress import Progress
from turmerictray.router.routed_request import RoutedRequest
from turmerictray.router.silence import event_patience_s
from turmerictray.routing.target_notices import NOTHING_REPORTED, TargetReport
from turmerictray.transport.body import BodyEnd
from turmerictray.transport.events import EventSplitter
from turmerictray.transport.exchange import ClientExchange
from turmerictray.transport.target_conn import AnswerHead, TargetConnection

_NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that guarantee a router's callers that the request was not and will not be executed."""


class AnswerRelay:
    """A relay for one answer of a target.

    Parameters
    ----------
    exchange : ClientExchange
    dialect : Dialect
    routed : RoutedRequest
    progress : Progress
    on_answer_start : callable
        Called when the whole answer, or the first event of a stream, has arrived.
    check_closed_answer : callable
        Called when the close of its connection has ended an answer; raises
        :class:`~turmerictray.core.errors.OutcomeUnknown` unless the target is known to run.
    on_report : callable
        Called with what the head of the answer tells of its target, if it tells anything.
    await_other_target : callable
        Called with the connection of a silent stream; waits until there is something to read from
        it, or another target may take it up, and returns whether one may.
    expected_s : float
        Estimated seconds until a target sends the first event.

    Attributes
    ----------
    outcome : Outcome
        Outcome of the attempt, valid once the answer was relayed.
    """

    def __init__(
        self,
        exchange: ClientExchange,
        dialect: Dialect,
        routed: RoutedRequest,
        progress: Progress,
        on_answer_start,
        check_closed_answer: Callable[[], None] = lambda: None,
        on_report: Callable[[TargetReport], None] = lambda report: None,
        await_other_target: Callable[[TargetConnection], bool] = lambda conn: True,
        expected_s: float = 0.0,
    ) -> None:
        self._exchange = exchange
        self._dialect = dialect
        self._routed = routed
        self._progress = progress
        self._on_answer_start = on_answer_start
        self._check_closed_answer = check_closed_answer
        self._on_report = on_report
        self._await_other_target = await_other_target
        self._expected_s = expected_s
        self.outcome = Outcome.DONE

    def relay_answer(self, conn: TargetConnection, head: AnswerHead, is_last_attempt: bool) -> None:
        """Relay the answer that begins with ``head`` to the caller.

        Parameters
        ----------
        conn : TargetConnection
            The connection that the rest of the answer is read from.
        head : AnswerHead
        is_last_attempt : bool
            Whether a 5xx answer goes to the caller because no further attempt follows.

        Raises
        ------
        TargetBusy
            The target did not run the request.
        TargetFailed
            The target answered with a 5xx status, and another target may succeed.
        OutcomeUnknown
            The answer is incomplete, unsigned or belongs to another request.
        CallerGone
            The caller's connection was closed.
        """
        flags = self._dialect.read_answer(head, self._routed.envelope)
        # Before the body is read: the rest of a stream takes seconds.
        if flags.report != NOTHING_REPORTED:
            self._on_report(flags.report)
        self._check(head, flags)
        self._progress.body_end = conn.body_end
        if _is_event_stream(head) and head.status < 300:
            self._relay_events(conn, head)
            return
        body = conn.read_body(self._routed.bounds.answer_deadline)
        self._check_close(conn)
        if _is_event_stream(head):
            splitter = EventSplitter()
            splitter.feed(body)
            splitter.check_complete(conn.body_end)
        if flags.not_run:
            raise TargetBusy(f"target did not run it: {head.status}", 0.5)
        self.outcome = Outcome.FAILED if head.status >= 500 else Outcome.DONE
        if self._progress.answer_started:
            raise OutcomeUnknown(f"a stream was answered {head.status} when it went on")
        if head.status >= 500 and not is_last_attempt:
            raise TargetFailed(head, body)
        self._relay_whole(head, body)

    def relay_withheld_answer(self, failure: TargetFailed) -> None:
        """Send the caller a 5xx answer that was withheld while another target was tried."""
        self._relay_whole(failure.head, failure.body)

    def _check(self, head: AnswerHead, flags: AnswerFlags) -> None:
        if not flags.matches_request:
            raise OutcomeUnknown("the answer belongs to another request")
        if head.status < 300 and not flags.is_genuine:
            raise OutcomeUnknown("the answer is not signed")

    def _relay_whole(self, head: AnswerHead, body: bytes) -> None:
        route = self._routed.route
        if head.status in _NOT_EXECUTED_STATUSES and not route.repeatable:
            # A router's callers take these statuses as a guarantee that the request was not
            # executed and send it again. The target gave no such guarantee.
            raise OutcomeUnknown(f"target answered {head.status} and may have run it")
        self._on_answer_start()
        self._exchange.answer(head.status, self._dialect.answer_headers(head), body)

    def _relay_events(self, conn: TargetConnection, head: AnswerHead) -> None:
        splitter = EventSplitter()
        while data := self._read_events(conn):
            events = splitter.feed(data)
            self._progress.unfinished_bytes = len(splitter.rest)
            conn.hold(len(splitter.rest))
            if not events:
                continue
            self._start_stream(head)
            self._exchange.send(b"".join(event.data for event in events))
            self._progress.record_events(events)
        splitter.check_complete(conn.body_end)
        self._check_close(conn)
        self._start_stream(head)
        if splitter.rest:
            self._exchange.send(splitter.rest)
        self._exchange.end_stream()

    def _check_close(self, conn: TargetConnection) -> None:
        """Check that an answer is complete if only the close of its connection has ended it."""
        if conn.body_end is BodyEnd.CONNECTION_CLOSE:
            self._check_closed_answer()
            # A reset may have followed the close by now.
            conn.check_close()

    def _read_events(self, conn: TargetConnection) -> bytes:
        """Wait for the next part of a stream, for as long as no other target may take it up."""
        if not self._may_move() or conn.wait_for_data(self._next_event_deadline()):
            return conn.read_available(self._next_event_deadline())
        if self._await_other_target(conn):
            raise OutcomeUnknown(f"{conn.address}: silent, another target takes the stream up")
        return conn.read_available(self._routed.bounds.answer_deadline)

    def _may_move(self) -> bool:
        """Return whether another target may take the stream up."""
        return self._progress.event_count > 0 and self._progress.may_abandon_attempt()

    def _start_stream(self, head: AnswerHead) -> None:
        if self._progress.answer_started:
            return
        self._on_answer_start()
        self._progress.answer_started = True
        self._exchange.start_stream(head.status, self._dialect.answer_headers(head))

    def _next_event_deadline(self) -> float:
        """Return the time by which the next event must arrive, in monotonic seconds."""
        answer_deadline = self._routed.bounds.answer_deadline
        route = self._routed.route
        if not self._may_move():
            return answer_deadline
        now = time.monotonic()
        left_s = answer_deadline - now
        return now + event_patience_s(
            left_s, self._expected_s, route.gap_s, route.caller_patience_s
        )


def _is_event_stream(head: AnswerHead) -> bool:
    return (head.get("Content-Type") or "").startswith("text/event-stream")
