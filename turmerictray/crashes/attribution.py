"""Choice of the suspects that explain the crashes of targets."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from itertools import groupby

from turmerictray.core.ids import RequestDigest, TargetId
from turmerictray.crashes.fingerprint import Fingerprint, ServicePart

SuspectKey = RequestDigest | ServicePart

HOLD_THRESHOLD = 3
"""Number of crashed targets from which a suspect is held back. An innocent one rarely runs beside
the culprit three times in a row, each time just started. A higher threshold would cost one more
target."""

ISOLATION_THRESHOLD = 2
"""Number of crashed targets from which a suspect is not retried within an attempt, and runs on
targets where no other suspect has just started, so that a further crash can be attributed to it."""


@dataclass(frozen=True)
class Attribution:
    """Suspects that explain the crashes so far.

    Attributes
    ----------
    held : mapping of SuspectKey to set of TargetId
        Suspects with enough crashes to be held back, with these crashes.
    explained : frozenset of TargetId
        Crashes that they explain, which don't count against any other suspect.
    """

    held: Mapping[SuspectKey, set[TargetId]] = field(default_factory=dict)
    explained: frozenset[TargetId] = frozenset()

    def weight(self, key: SuspectKey, crashes: set[TargetId]) -> int:
        """Return the number of crashes that count against a suspect."""
        return len(crashes) if key in self.held else len(crashes - self.explained)

    def is_explained_elsewhere(self, keys: Iterable[SuspectKey], fingerprint: Fingerprint) -> bool:
        """Return whether suspects that a request lacks explain the crashes of those that it has."""
        own = {fingerprint.digest, *fingerprint.parts}
        others = [crashes for key, crashes in self.held.items() if key not in own]
        elsewhere = set().union(*others)
        return all(len(self.held[key] - elsewhere) < HOLD_THRESHOLD for key in keys)


def attribute(crashes: Iterable[tuple[SuspectKey, set[TargetId]]]) -> Attribution:
    """Return the suspects with enough crashes that no suspect with more crashes explains.

    Suspects with equally many crashes don't explain each other.
    """
    many = [item for item in crashes if len(item[1]) >= HOLD_THRESHOLD]
    many.sort(key=lambda item: len(item[1]), reverse=True)
    held: dict[SuspectKey, set[TargetId]] = {}
    explained: set[TargetId] = set()
    for _, same_count in groupby(many, key=lambda item: len(item[1])):
        found = [
            (key, targets)
            for key, targets in same_count
            if len(targets - explained) >= HOLD_THRESHOLD
        ]
        held.update(found)
        explained = explained.union(*(targets for _, targets in found))
    return Attribution(held, frozenset(explained))
