"""What the requests of this router tell of targets that end, and what they are told of it."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from turmerictray.admission.quarantine import Quarantine
from turmerictray.core.errors import ConnectionBroken, TurmerictrayError
from turmerictray.core.ids import RequestDigest, TargetId
from turmerictray.routing.load import BEGINNING_S, TargetInfo
from turmerictray.transport.ended import EndedTargets


def _none() -> frozenset[TargetId]:
    return frozenset()


@dataclass(frozen=True)
class CrashEvidence:
    """Turns broken connections into evidence against requests.

    Attributes
    ----------
    quarantine : Quarantine
    targets : EndedTargets
    leaving : callable
        The targets that have announced that they leave; their end speaks against nobody.
    """

    quarantine: Quarantine = field(default_factory=Quarantine)
    targets: EndedTargets = field(default_factory=EndedTargets)
    leaving: Callable[[], frozenset[TargetId]] = _none

    def note_broken(
        self,
        digest: RequestDigest,
        target: TargetInfo,
        exc: TurmerictrayError,
        ran_s: float,
        now: float,
    ) -> bool:
        """A try has ended without a whole answer; whether its target has ended under it.

        Parameters
        ----------
        ran_s : float
            Seconds since the run's first event; 0 before it.
        """
        if not isinstance(exc, ConnectionBroken) or ran_s > BEGINNING_S:
            return False
        if target.id in self.leaving() or not self.targets.has_ended(target.id, target.address):
            return False
        self.quarantine.note_ended(digest, target.id, now)
        return True

    @contextmanager
    def running(self, digest: RequestDigest, now: float) -> Iterator[None]:
        """A request runs at a target; raises :class:`Quarantined` if it must not."""
        counted = self.quarantine.begin(digest, now)
        try:
            yield
        finally:
            if counted:
                self.quarantine.end(digest)
