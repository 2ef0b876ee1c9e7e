"""Evidence from broken connections on requests that crash their targets."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from turmerictray.core.errors import ConnectionBroken, TurmerictrayError
from turmerictray.core.ids import TargetId
from turmerictray.crashes.exit_detection import TargetExitDetector
from turmerictray.crashes.fingerprint import Fingerprint
from turmerictray.crashes.quarantine import Quarantine
from turmerictray.routing.load import CRASH_ATTRIBUTION_S, TargetInfo


def _no_targets() -> frozenset[TargetId]:
    return frozenset()


@dataclass(frozen=True)
class ClosedAnswer:
    """An answer that only the close of its connection ended, soon after its first event.

    Attributes
    ----------
    fingerprint : Fingerprint
        Of its request.
    target : TargetInfo
    closed_at : float
        Monotonic time, in seconds.
    isolated : bool
        Whether no other suspect had just started there.
    """

    fingerprint: Fingerprint
    target: TargetInfo
    closed_at: float
    isolated: bool = False


@dataclass(frozen=True)
class CrashEvidence:
    """Records target crashes against the requests that they interrupted.

    Attributes
    ----------
    quarantine : Quarantine
    ended_targets : TargetExitDetector
    leaving : callable
        Returns the targets that have announced that they are leaving; their end is not counted
        against any request.
    check_later : callable
        Called with each answer that may have been broken off and is not checked before its caller
        has it.
    """

    quarantine: Quarantine = field(default_factory=Quarantine)
    ended_targets: TargetExitDetector = field(default_factory=TargetExitDetector)
    leaving: Callable[[], frozenset[TargetId]] = _no_targets
    check_later: Callable[[ClosedAnswer], None] = lambda _answer: None

    def record_if_crash(
        self,
        fingerprint: Fingerprint,
        target: TargetInfo,
        exc: TurmerictrayError,
        ran_s: float,
        now: float,
        isolated: bool = False,
    ) -> bool:
        """Check whether an incomplete answer was caused by a target crash, and record the crash.

        Parameters
        ----------
        ran_s : float
            Seconds since the first event of the answer; 0 before it.
        isolated : bool
            Whether no other suspect had just started there.

        Returns
        -------
        bool
            True if the target crashed and the crash counts against the request.
        """
        if not isinstance(exc, ConnectionBroken) or ran_s > CRASH_ATTRIBUTION_S:
            return False
        if not self._has_crashed(target, now):
            return False
        self.quarantine.record_crash(fingerprint, target.id, now, isolated)
        return True

    def check_closed_answer(self, answer: ClosedAnswer, ran_s: float) -> bool:
        """Check that an answer that only the close of its connection ends was not broken off.

        A target that crashes between two events ends a stream as if it were complete. The check
        takes a moment, so its caller waits for it only when another crash is likely.

        Parameters
        ----------
        answer : ClosedAnswer
        ran_s : float
            Seconds since the first event of the answer.

        Returns
        -------
        bool
            Whether the target was found to be running.

        Raises
        ------
        ConnectionBroken
            The target has crashed.
        """
        if ran_s > CRASH_ATTRIBUTION_S:
            return False
        if not self.quarantine.is_alert(answer.closed_at):
            self.check_later(answer)
            return False
        if self._has_crashed(answer.target, answer.closed_at):
            raise ConnectionBroken(f"{answer.target.address} crashed at the end of the answer")
        return True

    def record_if_broken_off(self, answer: ClosedAnswer, now: float) -> None:
        """Record a crash if the target of an answer that its caller already has does not run."""
        if self._has_crashed(answer.target, answer.closed_at):
            self.quarantine.record_crash(answer.fingerprint, answer.target.id, now, answer.isolated)

    def _has_crashed(self, target: TargetInfo, now: float) -> bool:
        if target.id in self.leaving():
            return False
        return self.ended_targets.has_exited(target.id, target.address, now)

    @contextmanager
    def running(
        self, fingerprint: Fingerprint, now: float, is_test: bool = False
    ) -> Iterator[None]:
        """Count a request as running for the duration of a ``with`` block.

        ``is_test`` is the result of :meth:`Quarantine.check` when its target was requested.

        Raises
        ------
        Quarantined
            The request must not run now.
        """
        counted = self.quarantine.begin_run(fingerprint, now, is_test)
        try:
            yield
        finally:
            if counted:
                self.quarantine.end_run(fingerprint)
