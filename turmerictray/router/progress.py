"""What has become of a request so far, which decides what may still be done with it."""

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
from turmerictray.transport.events import Event

_LEAST_LEFT_S = 0.03
"""Below this a further try can't end in time; it would only take a target's time."""

_RETRY_S = 0.5


@dataclass
class Progress:
    """The tries of one request.

    Attributes
    ----------
    arrived : int
        Tries that reached a target, run or not.
    may_have_run : bool
        A target may have run it, or be running it.
    tried : set of str
        Targets that it is not sent to again.
    last_event : str or None
        Id of the last event that the caller has.
    events : int
        Events passed on to the caller.
    answering : bool
        The head of the answer has gone out.
    longest_pause_s : float
        Between two events.
    last_event_at : float or None
        Monotonic seconds.
    began_at : float or None
        When the first event of the present try came, in monotonic seconds.
    """

    route: Route
    arrived: int = 0
    may_have_run: bool = False
    tried: set[str] = field(default_factory=set)
    last_event: str | None = None
    events: int = 0
    answering: bool = False
    longest_pause_s: float = 0.0
    last_event_at: float | None = None
    began_at: float | None = None

    def begin_try(self) -> None:
        """The request is sent to another target."""
        self.began_at = None

    def ran_s(self, now: float) -> float:
        """Seconds since the first event of the present try; 0 before it."""
        return 0.0 if self.began_at is None else now - self.began_at

    def failed_before_send(self, target: str) -> None:
        """No byte reached ``target``."""
        self.tried.add(target)

    def not_run(self, target: str) -> None:
        """``target`` has said that it did not run the request."""
        self.arrived += 1
        self.tried.add(target)

    def maybe_ran(self, target: str) -> None:
        """The request was sent to ``target`` and may have run."""
        self.arrived += 1
        self.may_have_run = True
        self.tried.add(target)

    def note_events(self, events: list[Event]) -> None:
        """Whole events have gone to the caller."""
        now = time.monotonic()
        if self.last_event_at is not None:
            self.longest_pause_s = max(self.longest_pause_s, now - self.last_event_at)
        self.last_event_at = now
        if self.began_at is None:
            self.began_at = now
        self.events += len(events)
        for event in events:
            if event.event_id is not None:
                self.last_event = event.event_id

    def may_try_again(self, left_s: float) -> bool:
        """Whether the request may be sent to another target, with ``left_s`` seconds left."""
        if left_s < _LEAST_LEFT_S or self.arrived >= self.route.max_attempts:
            return False
        if self.answering and not self._resumable_here():
            return False
        return self.route.repeatable or not self.may_have_run

    def may_repeat_now(self) -> bool:
        """Whether the try in progress may be given up for another one."""
        more = self.arrived + 1 < self.route.max_attempts
        return more and self.route.repeatable and (not self.answering or self._resumable_here())

    def _resumable_here(self) -> bool:
        # Without the id of its last event a stream would start over and repeat what the caller has.
        return self.route.resumable and (self.events == 0 or self.last_event is not None)

    def failure(self, cause: TurmerictrayError, timed_out: bool) -> TurmerictrayError:
        """The error that the caller is told when the request is given up.

        A refusal promises that the request has not run and never will; once a try may have run,
        only an unknown outcome is the truth.
        """
        if self.may_have_run:
            if timed_out:
                return TimedOut(str(cause))
            return cause if isinstance(cause, OutcomeUnknown) else OutcomeUnknown(str(cause))
        if isinstance(cause, AdmissionError):
            return cause
        return TargetBusy(str(cause), _RETRY_S) if isinstance(cause, NotSent) else cause
