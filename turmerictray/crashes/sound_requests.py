"""Requests that recent answers have proved sound."""

from collections import OrderedDict
from dataclasses import dataclass

from turmerictray.core.ids import RequestDigest

_SOUND_S = 60.0
"""How long an answer speaks for a request, in seconds."""

_SAME_CAUSE_S = 2.0
"""Time in which the targets crash that one cause ends, and their crashes are found out."""

_MAX_REQUESTS = 4096


@dataclass
class _Proof:
    answered_at: float
    excused_from: float | None = None


class SoundRequests:
    """Answers to requests, by their digests; not thread-safe.

    A request that crashes each target that runs it has never been answered. So an answer excuses
    the crashes of one moment that follow it, such as those of all targets that hold copies of a
    frequent request. Later ones count, in case the request has become harmful since.
    """

    def __init__(self) -> None:
        self._proofs: OrderedDict[RequestDigest, _Proof] = OrderedDict()

    def add(self, digest: RequestDigest, now: float) -> None:
        """Record an answer."""
        self._proofs[digest] = _Proof(now)
        self._proofs.move_to_end(digest)
        if len(self._proofs) > _MAX_REQUESTS:
            self._proofs.popitem(last=False)

    def excuse(self, digest: RequestDigest, now: float) -> bool:
        """Return whether a crash that was found out now doesn't count against a request."""
        proof = self._proofs.get(digest)
        if proof is None or now - proof.answered_at > _SOUND_S:
            return False
        if proof.excused_from is None:
            proof.excused_from = now
        return now - proof.excused_from < _SAME_CAUSE_S
