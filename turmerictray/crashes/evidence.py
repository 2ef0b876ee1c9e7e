"""Evidence from broken connections on requests that crash their targets."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from turmerictray.core.errors import ConnectionBroken, OutcomeUnknown, TurmerictrayError
from turmerictray.core.ids import TargetId
from turmerictray.crashes.exit_detection import Liveness, TargetExitDetector
from turmerictray.crashes.fingerprint import Fingerprint
from turmerictray.crashes.quarantine import Quarantine
from turmerictray.routing.load import CRASH_ATTRIBUTION_S, TargetInfo


def _no_targets() -> frozenset[TargetId]:
    return frozenset()


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
    """

    quarantine: Quarantine = field(default_factory=Quarantine)
    ended_targets: TargetExitDetector = field(default_factory=TargetExitDetector)
    leaving: Callable[[], frozenset[TargetId]] = _no_targets

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

    def check_closed_answer(
        self,
        target: TargetInfo,
        closed_at: float,
        deadline: float,
        on_found: Callable[[Liveness], None] = lambda found: None,
        is_given_up: Callable[[], bool] = lambda: False,
    ) -> None:
        """Check that an answer that only the close of its connection ended was not broken off.

        A target that crashes between two writes ends its answer as if it were complete. One that
        nobody answers for may have crashed.

        Parameters
        ----------
        target : TargetInfo
        closed_at : float
            When the connection was closed, in monotonic seconds.
        deadline : float
            Monotonic time until which a target that does not respond is checked again.
        on_found : callable
            Called with what the check found out about the target.
        is_given_up : callable
            Returns whether nobody waits for the answer any more.

        Raises
        ------
        ConnectionBroken
            The target has exited.
        OutcomeUnknown
            Whether it runs can't be found out.
        """
        found = self.ended_targets.find_until(target, closed_at, deadline, is_given_up)
        on_found(found)
        if found is Liveness.EXITED:
            raise ConnectionBroken(f"{target.address} exited at the end of the answer")
        if found is Liveness.UNKNOWN:
            raise OutcomeUnknown(
                f"the state of {target.address} is unknown at the end of the answer"
            )

    def _has_crashed(self, target: TargetInfo, now: float) -> bool:
        if target.id in self.leaving():
            return False
        return self.ended_targets.has_exited(target, now)

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
