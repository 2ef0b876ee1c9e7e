"""Evidence from broken connections on requests that crash their targets."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from turmerictray.core.errors import ConnectionBroken, TurmerictrayError
from turmerictray.core.ids import RequestDigest, TargetId
from turmerictray.crashes.exit_detection import TargetExitDetector
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
        digest: RequestDigest,
        target: TargetInfo,
        exc: TurmerictrayError,
        ran_s: float,
        now: float,
    ) -> bool:
        """Check whether an incomplete answer was caused by a target crash, and record the crash.

        Parameters
        ----------
        ran_s : float
            Seconds since the first event of the answer; 0 before it.

        Returns
        -------
        bool
            True if the target crashed and the crash counts against the request.
        """
        if not isinstance(exc, ConnectionBroken) or ran_s > CRASH_ATTRIBUTION_S:
            return False
        if target.id in self.leaving() or not self.ended_targets.has_exited(
            target.id, target.address
        ):
            return False
        self.quarantine.record_crash(digest, target.id, now)
        return True

    @contextmanager
    def running(self, digest: RequestDigest, now: float) -> Iterator[None]:
        """Count a request as running for the duration of a ``with`` block.

        Raises
        ------
        Quarantined
            The request must not run now.
        """
        counted = self.quarantine.begin_run(digest, now)
        try:
            yield
        finally:
            if counted:
                self.quarantine.end_run(digest)
