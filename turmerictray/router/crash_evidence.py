"""What the requests of this router tell of targets that end, and what they are told of it."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from turmerictray.admission.quarantine import Quarantine
from turmerictray.core.errors import ConnectionBroken, TargetFailed, TurmerictrayError
from turmerictray.core.ids import RequestDigest, TargetId
from turmerictray.routing.load import TargetInfo
from turmerictray.transport.ended import EndedTargets

_BEGINNING_S = 1.0
"""Time after the first event of a run in which its target's end still speaks against it. What has
run for longer was not ended by how it began."""


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
        The targets that are leaving or gone; their end was announced and speaks against nobody.
    """

    quarantine: Quarantine = field(default_factory=Quarantine)
    targets: EndedTargets = field(default_factory=EndedTargets)
    leaving: Callable[[], frozenset[TargetId]] = _none

    def note_failed(
        self,
        digest: RequestDigest,
        target: TargetInfo,
        exc: TurmerictrayError,
        ran_s: float,
        now: float,
    ) -> None:
        """A try has failed.

        Parameters
        ----------
        ran_s : float
            Seconds since the run's first event; 0 before it.
        """
        if isinstance(exc, TargetFailed):
            self.quarantine.note_answered(digest)
        if not isinstance(exc, ConnectionBroken) or ran_s > _BEGINNING_S:
            return
        if target.id not in self.leaving() and self.targets.has_ended(target.id, target.address):
            self.quarantine.note_ended(digest, target.id, now)

    @contextmanager
    def running(self, digest: RequestDigest, now: float) -> Iterator[None]:
        """A request runs at a target; raises :class:`Quarantined` if it must not."""
        counted = self.quarantine.begin(digest, now)
        try:
            yield
        finally:
            if counted:
                self.quarantine.end(digest)
