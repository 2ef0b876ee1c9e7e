"""Attribution of crashes to shared parts of prompts.

A crashing part ends each target that begins to answer a prompt that has it, whatever else the
prompt holds. Its requests are all different, so they can't be recognised by their digests. When a
target crashes, all shared parts of the requests that had just started there are suspects. An answer
proves all parts of its prompt sound. The culprit is what remains: a part in several crashes and in
no answer.

Innocent parts that were only sent beside the culprit remain as well. Crashes that one part explains
therefore don't count against others that have fewer, and a part that may be innocent is tested: one
prompt at a time is sent to a target where no other suspect has just started.
"""

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from enum import IntEnum
from typing import NamedTuple

from turmerictray.core.ids import ServiceName, TargetId
from turmerictray.core.logs import log_event
from turmerictray.crashes.attribution import HOLD_THRESHOLD, ISOLATION_THRESHOLD, Attribution
from turmerictray.crashes.fingerprint import Fingerprint, ServicePart
from turmerictray.crashes.suspects import Findings, Suspect, SuspectTable
from turmerictray.membership.messages import PartCrashReport
from turmerictray.routing.prompt import PartId

HOLD_S = 600.0
"""Time without a prompt, crash or report after which a part that is held back is tested again."""

SOUND_S = 10.0
"""Time for which an answer proves the parts of its prompt sound. It has to expire, as a new
software version may crash under parts that its predecessor has answered."""

_REFUSALS_BEFORE_TEST = 50
"""Number of prompts that a router refuses for a part before one is sent as a test. If the part of
most prompts is held back wrongly, the first test releases it within seconds."""

_REFUSALS_GROWTH = 4
"""Factor by which that number grows with each test that crashes its target."""

_SOUND_NEWS_S = 2.5
"""Interval at which the proof of a part is passed on to the scheduler again."""

_MAX_SOUND_PARTS = 16384


class Suspicion(IntEnum):
    """What evidence of crashes there is against a request, in increasing order.

    ``SUSPECT``: a target has crashed while starting it. ``ISOLATED``: one such request runs at a
    time, on a target where no other suspect has just started. ``HELD``: it must not be sent.
    """

    NONE = 0
    SUSPECT = 1
    ISOLATED = 2
    HELD = 3


class SoundParts:
    """Parts that recent answers have proved sound."""

    def __init__(self) -> None:
        self._proved_at: OrderedDict[ServicePart, float] = OrderedDict()

    def add(self, parts: Iterable[ServicePart], now: float) -> tuple[ServicePart, ...]:
        """Record an answer; return the parts whose last proof is not very recent."""
        news = tuple(
            part for part in parts if now - self._proved_at.get(part, -SOUND_S) >= _SOUND_NEWS_S
        )
        for part in news:
            self._proved_at[part] = now
            self._proved_at.move_to_end(part)
        while len(self._proved_at) > _MAX_SOUND_PARTS:
            self._proved_at.popitem(last=False)
        return news

    def contains(self, part: ServicePart, now: float) -> bool:
        """Return whether a part was proved sound recently."""
        proved_at = self._proved_at.get(part)
        return proved_at is not None and now - proved_at < SOUND_S


class AnswerRecord(NamedTuple):
    """Result of recording an answer.

    Attributes
    ----------
    news : tuple of ServicePart
        Parts whose last proof is not very recent.
    cleared : bool
        Whether any part was a suspect.
    """

    news: tuple[ServicePart, ...]
    cleared: bool


class PartSuspects:
    """Parts of prompts under suspicion; not thread-safe.

    Attributes
    ----------
    suspects : SuspectTable of ServicePart
    attribution : Attribution
        Set by the owner after each change.
    """

    def __init__(self) -> None:
        self.suspects: SuspectTable[ServicePart] = SuspectTable(
            2 * HOLD_S, ISOLATION_THRESHOLD, self._log_forgotten
        )
        self._sound = SoundParts()
        self.attribution = Attribution()

    def __len__(self) -> int:
        return len(self.suspects)

    # -- decisions -----------------------------------------------------------------------------

    def suspicion(self, fingerprint: Fingerprint, now: float) -> Suspicion:
        """Return the evidence against a prompt's parts."""
        if not len(self.suspects):
            return Suspicion.NONE
        found = [(part, self.suspects.find(part, now)) for part in fingerprint.parts]
        suspects = {part: suspect for part, suspect in found if suspect and suspect.crashes}
        if not suspects:
            return Suspicion.NONE
        held = [part for part in suspects if part in self.attribution.held]
        if held:
            may_test = self._may_test(held, fingerprint, now)
            return Suspicion.ISOLATED if may_test else Suspicion.HELD
        most = max(self.attribution.weight(key, s.crashes) for key, s in suspects.items())
        if most >= ISOLATION_THRESHOLD:
            return Suspicion.ISOLATED
        return Suspicion.SUSPECT if most else Suspicion.NONE

    def _may_test(self, held: list[ServicePart], fingerprint: Fingerprint, now: float) -> bool:
        """Return whether a prompt whose parts are held back may be sent as a test."""
        suspects = [self.suspects.get(part) for part in held]
        if all(now - suspect.seen_at >= HOLD_S for suspect in suspects):
            return True
        if not any(suspect.isolated - suspect.cleared for suspect in suspects):
            return True
        # Otherwise a team could have another team's part held back with requests that crash targets
        # for a reason of their own.
        if all(len(s.teams) == 1 and fingerprint.team not in s.teams for s in suspects):
            return True
        return self.attribution.is_explained_elsewhere(held, fingerprint)

    def isolated_parts(self, fingerprint: Fingerprint, now: float) -> frozenset[ServicePart]:
        """Return the parts of a prompt of which only one may start at a time."""
        found = ((part, self.suspects.find(part, now)) for part in fingerprint.parts)
        return frozenset(
            part
            for part, suspect in found
            if suspect is not None
            and self.attribution.weight(part, suspect.crashes) >= ISOLATION_THRESHOLD
        )

    def held_parts(self, fingerprint: Fingerprint) -> list[ServicePart]:
        """Return the parts of a prompt that are held back."""
        return [part for part in fingerprint.parts if part in self.attribution.held]

    def note_refused(self, fingerprint: Fingerprint, now: float) -> bool:
        """Record that a prompt is to be refused, which keeps its parts held back.

        Returns
        -------
        bool
            Whether so many were refused that this one is to be sent as a test instead.
        """
        found = map(self.suspects.get, self.held_parts(fingerprint))
        suspects = [suspect for suspect in found if suspect is not None]
        for suspect in suspects:
            suspect.seen_at = now
            suspect.refused += 1
        if not all(suspect.refused > _refusals_before_test(suspect) for suspect in suspects):
            return False
        for suspect in suspects:
            suspect.refused = 0
        return True

    # -- evidence ------------------------------------------------------------------------------

    def record_crash(
        self, fingerprint: Fingerprint, target: TargetId, isolated: bool, now: float
    ) -> list[ServicePart]:
        """Record that a target crashed when it started a prompt; return the parts it accuses."""
        crashed = frozenset({target})
        found = Findings(
            crashed,
            isolated=crashed if isolated else frozenset(),
            teams=frozenset({fingerprint.team}),
        )
        accused = [part for part in fingerprint.parts if not self._sound.contains(part, now)]
        for part in accused:
            self.suspects.add_findings(self.suspects.find_or_add(part, now, now), found)
        return accused

    def record_answer(self, fingerprint: Fingerprint, now: float) -> "AnswerRecord":
        """Record an answer, which proves all parts of its prompt sound."""
        news = self._sound.add(fingerprint.parts, now)
        suspects = [self.suspects.find(part, now) for part in fingerprint.parts]
        cleared = [self._clear(suspect) for suspect in suspects if suspect is not None]
        return AnswerRecord(news, any(cleared))

    def merge(self, reports: Iterable[PartCrashReport], now: float) -> bool:
        """Merge the reports of a peer; return whether anything changed."""
        changed = False
        for report in reports:
            if report.age_s >= HOLD_S:
                continue
            part = ServicePart(ServiceName(report.service), PartId(report.part))
            suspect = self.suspects.find_or_add(part, now, now - report.age_s)
            found = Findings(*(frozenset(found) for found in report.findings()))
            changed |= self.suspects.add_findings(suspect, found)
            if self._sound.contains(part, now):
                changed |= self._clear(suspect)
        return changed

    def _clear(self, suspect: Suspect) -> bool:
        return self.suspects.add_findings(suspect, Findings(cleared=frozenset(suspect.crashed)))

    # -- exchange with peers and memory --------------------------------------------------------

    def has_pending_updates(self) -> bool:
        """Return whether there are changes to report to peers soon."""
        return self.suspects.has_pending_updates()

    def take_reports(self, now: float) -> list[PartCrashReport]:
        """Return the reports for the next message to peers."""
        return [_report(part, suspect, now) for part, suspect in self.suspects.take_updates()]

    def sweep(self, now: float) -> None:
        """Forget the suspects that were not seen for long."""
        self.suspects.sweep(now)

    def describe(self) -> Iterator[dict[str, object]]:
        """Describe the parts that are held back, for operators."""
        for part, suspect in sorted(self.suspects.items(), key=lambda item: item[0]):
            if part in self.attribution.held:
                yield {
                    "service": part.service,
                    "part": part.part,
                    "crashed_targets": sorted(suspect.crashes),
                    "isolated": sorted(suspect.isolated - suspect.cleared),
                    "teams": sorted(suspect.teams),
                }

    @staticmethod
    def _log_forgotten(part: ServicePart, suspect: Suspect) -> None:
        if len(suspect.crashes) >= HOLD_THRESHOLD:
            log_event("part_released", part=str(part), reason="not seen for long")


def _refusals_before_test(suspect: Suspect) -> int:
    failed_tests = len(suspect.isolated - suspect.cleared) - 1
    return _REFUSALS_BEFORE_TEST * _REFUSALS_GROWTH**failed_tests


def _report(part: ServicePart, suspect: Suspect, now: float) -> PartCrashReport:
    return PartCrashReport(
        part.service,
        part.part,
        sorted(suspect.crashed),
        sorted(suspect.cleared),
        sorted(suspect.isolated),
        sorted(suspect.teams),
        max(0.0, round(now - suspect.seen_at, 1)),
    )
