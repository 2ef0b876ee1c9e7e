"""Progress of a request, which decides whether it may be retried and how it may fail."""

import time
from dataclasses import dataclass, field

from turmerictray.config.routes import Route
from turmerictray.core.errors import (
    AdmissionError,
    NotSent,
    OutcomeUnknown,
    TargetBusy,
    TimedOut,
    TurmerictrayError,
)
from turmerictray.core.ids import SoftwareVersion
from turmerictray.crashes.exit_detection import Liveness
from turmerictray.transport.body import BodyEnd
from turmerictray.transport.disconnect import Closer
from turmerictray.transport.events import Event

_MIN_ATTEMPT_S = 0.03
"""Minimum time left for a further attempt, in seconds. With less it can't end in time and would
only waste a target's capacity."""

_TARGET_BUSY_RETRY_S = 0.5


@dataclass
class Progress:
    """Attempts of one request so far, and what the caller has received.

    Attributes
    ----------
    delivered_attempts : int
        Attempts that reached a target, whether or not it ran the request.
    may_have_run : bool
        Whether a target may have run the request or may be running it.
    excluded_targets : set of str
        Targets that have been tried and that the request is not sent to again.
    last_event_id : str or None
        Id of the last event sent to the caller that had an id.
    event_count : int
        Number of events sent to the caller.
    answer_started : bool
        Whether the head of the answer has been sent to the caller.
    max_pause_s : float
        Longest time between two events, in seconds.
    last_event_at : float or None
        When the last event was sent, in monotonic seconds.
    first_event_at : float or None
        When the first event of the current attempt was sent, in monotonic seconds.
    version : SoftwareVersion or None
        Software version that writes the stream; None before its first event.
    body_end : BodyEnd or None
        What delimits the body of the last answer whose head was received.
    unfinished_bytes : int
        Bytes received after the last complete event of the last stream.
    closer : Closer or None
        Who closed the connection of the last attempt; None if its answer proved complete before.
    liveness : Liveness or None
        What the check of an answer that only a close ended found out about its target.
    """

    route: Route
    delivered_attempts: int = 0
    may_have_run: bool = False
    excluded_targets: set[str] = field(default_factory=set)
    last_event_id: str | None = None
    event_count: int = 0
    answer_started: bool = False
    max_pause_s: float = 0.0
    last_event_at: float | None = None
    first_event_at: float | None = None
    version: SoftwareVersion | None = None
    body_end: BodyEnd | None = None
    unfinished_bytes: int = 0
    closer: Closer | None = None
    liveness: Liveness | None = None

    def begin_attempt(self) -> None:
        """Begin an attempt at another target."""
        self.first_event_at = self.closer = self.liveness = None

    def seconds_since_first_event(self, now: float) -> float:
        """Return the seconds since the first event of the current attempt; 0 before it."""
        return 0.0 if self.first_event_at is None else now - self.first_event_at

    def record_send_failure(self, target: str) -> None:
        """Record that no byte reached ``target``."""
        self.excluded_targets.add(target)

    def record_not_run(self, target: str) -> None:
        """Record that ``target`` answered that it has not run the request."""
        self.delivered_attempts += 1
        self.excluded_targets.add(target)

    def record_possible_run(self, target: str) -> None:
        """Record that ``target`` received the request and may have run it."""
        self.delivered_attempts += 1
        self.may_have_run = True
        self.excluded_targets.add(target)

    def record_events(self, events: list[Event]) -> None:
        """Record complete events that were sent to the caller."""
        now = time.monotonic()
        if self.last_event_at is not None:
            self.max_pause_s = max(self.max_pause_s, now - self.last_event_at)
        self.last_event_at = now
        if self.first_event_at is None:
            self.first_event_at = now
        self.event_count += len(events)
        for event in events:
            if event.event_id is not None:
                self.last_event_id = event.event_id

    def record_liveness(self, found: Liveness) -> None:
        """Record what the check of an answer that only a close ended found out."""
        self.liveness = found

    def end_fields(self) -> dict[str, str]:
        """Return log fields: who closed the connection of the last attempt, and its check."""
        fields = {"closed_by": self.closer, "target_check": self.liveness}
        return {name: found.value for name, found in fields.items() if found is not None}

    def allows_retry(self, left_s: float) -> bool:
        """Return whether the request may be sent to another target with ``left_s`` seconds left."""
        if left_s < _MIN_ATTEMPT_S or self.delivered_attempts >= self.route.max_attempts:
            return False
        if self.answer_started and not self._can_resume():
            return False
        return self.route.repeatable or not self.may_have_run

    def may_abandon_attempt(self) -> bool:
        """Return whether the current attempt may be abandoned for another one."""
        has_attempts_left = self.delivered_attempts + 1 < self.route.max_attempts
        return (
            has_attempts_left
            and self.route.repeatable
            and (not self.answer_started or self._can_resume())
        )

    def _can_resume(self) -> bool:
        # Without the id of its last event, a stream would start again from the beginning and repeat
        # events that the caller has received.
        return self.route.resumable and (self.event_count == 0 or self.last_event_id is not None)

    def final_error(self, cause: TurmerictrayError, timed_out: bool) -> TurmerictrayError:
        """Return the error that the caller receives when there is no further attempt.

        A refusal promises that the request has not run and will not run. Once an attempt may have
        run, the outcome must be reported as unknown.
        """
        if self.may_have_run:
            if timed_out:
                return TimedOut(str(cause))
            return cause if isinstance(cause, OutcomeUnknown) else OutcomeUnknown(str(cause))
        if isinstance(cause, AdmissionError):
            return cause
        return TargetBusy(str(cause), _TARGET_BUSY_RETRY_S) if isinstance(cause, NotSent) else cause
