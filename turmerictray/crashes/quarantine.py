"""Quarantine of requests that crash the targets that run them.

A *query of death* crashes every target that starts to run it, and its caller sends it again. When a
target crashes, every request that had just started there is a suspect, although most of them are
innocent. Requests are identified by their digest (see :mod:`turmerictray.crashes.digest`), and
prompts by their shared parts as well (see :mod:`turmerictray.crashes.parts`). For each suspect, the
targets that crashed while running it are counted over all routers. Any answer clears the request.
"""

import threading
from collections.abc import Iterable
from dataclasses import replace

from turmerictray.core.errors import Quarantined
from turmerictray.core.ids import RequestDigest, TargetId
from turmerictray.core.logs import log_event
from turmerictray.crashes.attribution import (
    HOLD_THRESHOLD,
    ISOLATION_THRESHOLD,
    Attribution,
    attribute,
)
from turmerictray.crashes.fingerprint import Fingerprint, ServicePart
from turmerictray.crashes.parts import HOLD_S, PartSuspects, Suspicion
from turmerictray.crashes.sound_requests import SoundRequests
from turmerictray.crashes.suspects import Findings, Suspect, SuspectTable
from turmerictray.membership.messages import CrashReport, PartCrashReport

QUARANTINE_S = 600.0
"""Time without a new send, crash or report after which a suspect is forgotten. It is also the
``Retry-After`` of a quarantined request, so a caller that honours it is served again."""

_CONCURRENT_COPY_RETRY_S = 0.5
"""``Retry-After`` while another copy of a suspect runs."""


class Quarantine:
    """Crash counts of suspect requests and prompt parts; safe for use by many threads.

    Reports of peers are merged as sets, so they may arrive late, repeatedly and in any order.

    Attributes
    ----------
    revision : int
        Increases whenever further requests may have become quarantined.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._requests: SuspectTable[RequestDigest] = SuspectTable(
            QUARANTINE_S, ISOLATION_THRESHOLD, _log_forgotten
        )
        self._sound = SoundRequests()
        self._parts = PartSuspects()
        self._attribution = Attribution()
        self.revision = 0

    # -- decisions -----------------------------------------------------------------------------

    def check(self, fingerprint: Fingerprint, now: float, is_test: bool = False) -> bool:
        """Check that a request may be sent to a target.

        Parameters
        ----------
        is_test : bool
            Whether an earlier check found it to be a test.

        Returns
        -------
        bool
            Whether it is a test of prompt parts that are held back.

        Raises
        ------
        Quarantined
            The request, or a part of its prompt, is quarantined.
        """
        with self._lock:
            suspect = self._requests.find(fingerprint.digest, now)
            count = self._count(fingerprint.digest, suspect)
            if count >= HOLD_THRESHOLD:
                suspect.seen_at = now
                raise Quarantined(
                    f"quarantined: {fingerprint.digest} ended {count} targets", QUARANTINE_S
                )
            if not is_test and self._parts.suspicion(fingerprint, now) is Suspicion.HELD:
                if self._parts.note_refused(fingerprint, now):
                    return True
                held = ",".join(map(str, self._parts.held_parts(fingerprint)))
                raise Quarantined(f"quarantined: prompt part {held} ended targets", HOLD_S)
            return is_test

    def suspicion(self, fingerprint: Fingerprint, now: float) -> Suspicion:
        """Return the evidence against a request."""
        if not len(self._requests) and not len(self._parts):
            return Suspicion.NONE
        with self._lock:
            count = self._count(fingerprint.digest, self._requests.find(fingerprint.digest, now))
            return max(_request_suspicion(count), self._parts.suspicion(fingerprint, now))

    def isolated_parts(self, fingerprint: Fingerprint, now: float) -> frozenset[ServicePart]:
        """Return the parts of a prompt of which only one may start at a time."""
        with self._lock:
            return self._parts.isolated_parts(fingerprint, now)

    def may_retry(self, fingerprint: Fingerprint, now: float) -> bool:
        """Return whether a request that failed may be sent to another target immediately."""
        return self.suspicion(fingerprint, now) < Suspicion.ISOLATED

    # -- local requests ------------------------------------------------------------------------

    def begin_run(self, fingerprint: Fingerprint, now: float, is_test: bool = False) -> bool:
        """Record that a request is about to be sent; return whether :meth:`end_run` has to follow.

        Raises
        ------
        Quarantined
            The request is quarantined, or it is a suspect of which another copy runs.
        """
        self.check(fingerprint, now, is_test)
        with self._lock:
            suspect = self._requests.find(fingerprint.digest, now)
            if suspect is None:
                return False
            if (
                suspect.running > 0
                and self._count(fingerprint.digest, suspect) >= ISOLATION_THRESHOLD
            ):
                raise Quarantined(
                    f"quarantined: another copy of {fingerprint.digest} runs",
                    _CONCURRENT_COPY_RETRY_S,
                )
            suspect.running += 1
            return True

    def end_run(self, fingerprint: Fingerprint) -> None:
        """Record the end of a run that :meth:`begin_run` counted."""
        with self._lock:
            suspect = self._requests.get(fingerprint.digest)
            if suspect is not None and suspect.running > 0:
                suspect.running -= 1

    def record_crash(
        self, fingerprint: Fingerprint, target: TargetId, now: float, isolated: bool = False
    ) -> None:
        """Record that a target crashed when it started a request.

        ``isolated`` tells whether no other suspect had just started there.
        """
        with self._lock:
            try:
                if fingerprint.digest and not self._sound.excuse(fingerprint.digest, now):
                    suspect = self._requests.find_or_add(fingerprint.digest, now, now)
                    found = Findings(frozenset({target}))
                    self._add_findings(fingerprint.digest, suspect, found, "own")
                accused = self._parts.record_crash(fingerprint, target, isolated, now)
            finally:
                # The evidence against the request counts even if that against its parts is lost.
                self._update_attribution()
        log_event(
            "crash_attributed",
            target=target,
            digest=fingerprint.digest or "-",
            team=fingerprint.team or "-",
            parts=",".join(part.part for part in fingerprint.parts) or "-",
            accused=",".join(part.part for part in accused) or "-",
            isolated=isolated,
        )

    def accused(self, fingerprint: Fingerprint, now: float) -> Fingerprint:
        """Return what a crash counts against; without the digest of a request proved sound."""
        with self._lock:
            if self._sound.excuse(fingerprint.digest, now):
                return replace(fingerprint, digest=RequestDigest(""))
            return fingerprint

    def record_answer(self, fingerprint: Fingerprint, now: float) -> tuple[ServicePart, ...]:
        """Record an answer, which clears a request and its prompt's parts of the crashes so far.

        Returns
        -------
        tuple of ServicePart
            Parts of whose soundness the scheduler has not been told recently.
        """
        with self._lock:
            if fingerprint.digest:
                self._sound.add(fingerprint.digest, now)
            suspect = self._requests.find(fingerprint.digest, now)
            if suspect is not None and suspect.crashes:
                found = Findings(cleared=frozenset(suspect.crashed))
                self._add_findings(fingerprint.digest, suspect, found, "own")
                self._update_attribution()
            answer = self._parts.record_answer(fingerprint, now)
            if answer.cleared:
                self._update_attribution()
            return answer.news

    # -- exchange with peers -------------------------------------------------------------------

    def merge(
        self,
        reports: Iterable[CrashReport],
        now: float,
        part_reports: Iterable[PartCrashReport] = (),
    ) -> None:
        """Merge the crash reports of a peer."""
        with self._lock:
            changed = self._parts.merge(part_reports, now)
            for report in reports:
                if report.age_s >= QUARANTINE_S:
                    continue
                digest = RequestDigest(report.digest)
                suspect = self._requests.find_or_add(digest, now, now - report.age_s)
                ended = frozenset(map(TargetId, report.ended))
                cleared = frozenset(map(TargetId, report.cleared))
                if self._sound.excuse(digest, now):
                    cleared |= ended
                found = Findings(ended, cleared)
                changed |= self._add_findings(digest, suspect, found, "peer")
            if changed:
                self._update_attribution()

    def has_pending_updates(self) -> bool:
        """Return whether there are changes to report to peers soon."""
        return self._requests.has_pending_updates() or self._parts.has_pending_updates()

    def take_reports(self, now: float) -> list[CrashReport]:
        """Return the reports on requests for the next message to peers."""
        with self._lock:
            return [_report(*update, now) for update in self._requests.take_updates()]

    def take_part_reports(self, now: float) -> list[PartCrashReport]:
        """Return the reports on prompt parts for the next message to peers."""
        with self._lock:
            return self._parts.take_reports(now)

    # -- memory and operators ------------------------------------------------------------------

    def quarantined_count(self) -> int:
        """Return the number of quarantined requests."""
        return sum(
            self._count(digest, suspect) >= HOLD_THRESHOLD
            for digest, suspect in self._requests.items()
        )

    def held_parts(self) -> list[dict[str, object]]:
        """Describe the prompt parts that are held back."""
        with self._lock:
            return list(self._parts.describe())

    def sweep(self, now: float) -> None:
        """Forget the suspects that were not seen for long."""
        with self._lock:
            self._requests.sweep(now)
            self._parts.sweep(now)
            self._update_attribution()

    def _count(self, digest: RequestDigest, suspect: Suspect | None) -> int:
        """Return the number of crashes that count against a request."""
        return 0 if suspect is None else self._attribution.weight(digest, suspect.crashes)

    def _update_attribution(self) -> None:
        """Attribute the crashes again, after a change of the evidence."""
        before = {key for key in self._attribution.held if isinstance(key, ServicePart)}
        requests = self._requests.crashes(HOLD_THRESHOLD)
        found = attribute([*requests, *self._parts.suspects.crashes(HOLD_THRESHOLD)])
        self._attribution = self._parts.attribution = found
        if found.held:
            self.revision += 1
        held = {key for key in found.held if isinstance(key, ServicePart)}
        for part in held - before:
            targets = ",".join(sorted(found.held[part]))
            log_event("part_held", level="WARNING", part=str(part), targets=targets)
        for part in before - held:
            log_event("part_released", part=str(part), reason="answered, or others explain it")

    def _add_findings(
        self, digest: RequestDigest, suspect: Suspect, found: Findings, source: str
    ) -> bool:
        """Add findings to a request and log its change of state."""
        before = len(suspect.crashes)
        if not self._requests.add_findings(suspect, found):
            return False
        count = len(suspect.crashes)
        if count >= HOLD_THRESHOLD > before:
            _log("request_quarantined", digest, suspect, source)
        elif before >= HOLD_THRESHOLD > count:
            log_event("request_released", digest=digest, reason="answered", source=source)
        elif before < count < HOLD_THRESHOLD:
            _log("request_suspected", digest, suspect, source)
        return True


def _request_suspicion(count: int) -> Suspicion:
    if count >= HOLD_THRESHOLD:
        return Suspicion.HELD
    if count >= ISOLATION_THRESHOLD:
        return Suspicion.ISOLATED
    return Suspicion.SUSPECT if count else Suspicion.NONE


def _log(event: str, digest: RequestDigest, suspect: Suspect, source: str) -> None:
    targets = ",".join(sorted(suspect.crashes))
    log_event(event, level="WARNING", digest=digest, targets=targets, source=source)


def _log_forgotten(digest: RequestDigest, suspect: Suspect) -> None:
    if len(suspect.crashes) >= HOLD_THRESHOLD:
        log_event("request_released", digest=digest, reason="not seen for long")


def _report(digest: RequestDigest, suspect: Suspect, now: float) -> CrashReport:
    age_s = max(0.0, round(now - suspect.seen_at, 1))
    return CrashReport(digest, sorted(suspect.crashed), sorted(suspect.cleared), age_s)
