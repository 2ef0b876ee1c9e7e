"""Quarantine of requests that crash the targets that run them.

A *query of death* crashes every target that starts to run it, and its caller sends it again. When a
target crashes, every request that had just started there is a suspect, although most of them are
innocent. Requests are identified by their digest (see :mod:`turmerictray.crashes.digest`). For
each suspect, the targets that crashed while running it are counted over all routers. Any answer
clears the request.
"""

import threading
from collections.abc import Iterable
from dataclasses import dataclass, field

from turmerictray.core.errors import Quarantined
from turmerictray.core.ids import RequestDigest, TargetId
from turmerictray.core.logs import log_event
from turmerictray.membership.messages import CrashReport

QUARANTINE_THRESHOLD = 3
"""Number of crashed targets from which a request is quarantined. An innocent request rarely runs
beside the culprit three times in a row, each time just started. A higher threshold would cost one
more target."""

NO_RETRY_THRESHOLD = 2
"""Number of crashed targets from which a request is not retried within an attempt. From then on one
copy of it runs at a time, on a target where no other suspect has just started, so that a further
crash can be attributed to this request."""

QUARANTINE_S = 600.0
"""Time without a new send, crash or report after which a suspect is forgotten. It is also the
``Retry-After`` of a quarantined request, so a caller that honours it is served again."""

_CONCURRENT_COPY_RETRY_S = 0.5
"""``Retry-After`` while another copy of a suspect runs."""

_MAX_SUSPECTS = 4096
"""Maximum number of suspects in memory, about 200 bytes each."""

_MAX_TARGETS_PER_SUSPECT = 16
"""Maximum number of targets recorded per suspect; bounds the size of a report."""

_MAX_UPDATES_PER_MESSAGE = 64
"""Maximum number of new reports in one message, about 4 KB."""

_SENDS_PER_UPDATE = 4
"""Number of messages in which a change is reported; see :mod:`turmerictray.membership.table`."""

_REPEATED_REPORTS = 8
"""Number of suspects with at least ``NO_RETRY_THRESHOLD`` crashes that each message reports again,
in rotation, for routers that have just started or were disconnected."""


@dataclass
class _Suspect:
    """A request under suspicion.

    Attributes
    ----------
    crashed : set of TargetId
        Targets that crashed while running it.
    cleared : set of TargetId
        Those of them that crashed before the request was answered by another target.
    seen_at : float
        Monotonic seconds of the last send, crash or report.
    running : int
        Copies that this router has sent and that still run.
    times_sent : int
        Number of messages that have reported its latest change.
    """

    seen_at: float
    crashed: set[TargetId] = field(default_factory=set)
    cleared: set[TargetId] = field(default_factory=set)
    running: int = 0
    times_sent: int = 0

    @property
    def crash_count(self) -> int:
        """Number of crashed targets that still count against the request."""
        return len(self.crashed - self.cleared)

    @property
    def is_quarantined(self) -> bool:
        """Whether the request is quarantined."""
        return self.crash_count >= QUARANTINE_THRESHOLD


class Quarantine:
    """Crash counts of suspect requests; safe for use by many threads.

    Reports of peers are merged as sets, so they may arrive late, repeatedly and in any order.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._suspects: dict[RequestDigest, _Suspect] = {}
        self._rotation = 0

    # -- local requests ------------------------------------------------------------------------

    def check(self, digest: RequestDigest, now: float) -> None:
        """Check that a request may be sent to a target.

        Raises
        ------
        Quarantined
            The request is quarantined.
        """
        with self._lock:
            suspect = self._find(digest, now)
            if suspect is None or not suspect.is_quarantined:
                return
            suspect.seen_at = now
        raise Quarantined(
            f"quarantined: {digest} ended {suspect.crash_count} targets", QUARANTINE_S
        )

    def begin_run(self, digest: RequestDigest, now: float) -> bool:
        """Record that a request is about to be sent; return whether :meth:`end_run` has to follow.

        Raises
        ------
        Quarantined
            The request is quarantined, or it is a suspect of which another copy runs.
        """
        self.check(digest, now)
        with self._lock:
            suspect = self._find(digest, now)
            if suspect is None:
                return False
            if suspect.running > 0 and suspect.crash_count >= NO_RETRY_THRESHOLD:
                raise Quarantined(
                    f"quarantined: another copy of {digest} runs", _CONCURRENT_COPY_RETRY_S
                )
            suspect.running += 1
            return True

    def end_run(self, digest: RequestDigest) -> None:
        """Record the end of a run that :meth:`begin_run` counted."""
        with self._lock:
            suspect = self._suspects.get(digest)
            if suspect is not None and suspect.running > 0:
                suspect.running -= 1

    def crash_count(self, digest: RequestDigest, now: float) -> int:
        """Return the number of crashed targets that count against a request."""
        with self._lock:
            suspect = self._find(digest, now)
            return 0 if suspect is None else suspect.crash_count

    def may_retry(self, digest: RequestDigest, now: float) -> bool:
        """Return whether a request that failed may be sent to another target immediately."""
        return self.crash_count(digest, now) < NO_RETRY_THRESHOLD

    def record_crash(self, digest: RequestDigest, target: TargetId, now: float) -> int:
        """Record that a target crashed when it started a request; return the crash count."""
        with self._lock:
            suspect = self._suspects.get(digest) or self._add(digest, now)
            self._add_targets(digest, suspect, {target}, set(), "own")
            suspect.seen_at = now
            return suspect.crash_count

    def note_answered(self, digest: RequestDigest) -> None:
        """Record an answer to a request, which clears it of the crashes so far."""
        with self._lock:
            suspect = self._suspects.get(digest)
            if suspect is not None and suspect.crash_count:
                self._add_targets(digest, suspect, set(), set(suspect.crashed), "own")

    # -- exchange with peers -------------------------------------------------------------------

    def merge(self, reports: Iterable[CrashReport], now: float) -> None:
        """Merge the crash reports of a peer."""
        with self._lock:
            for report in reports:
                if report.age_s >= QUARANTINE_S:
                    continue
                digest, seen_at = RequestDigest(report.digest), now - report.age_s
                suspect = self._find(digest, now) or self._add(digest, seen_at)
                suspect.seen_at = max(suspect.seen_at, seen_at)
                crashed = {TargetId(target) for target in report.ended}
                cleared = {TargetId(target) for target in report.cleared}
                self._add_targets(digest, suspect, crashed, cleared, "peer")

    def has_pending_updates(self) -> bool:
        """Return whether there are changes to report to peers soon."""
        return any(
            suspect.times_sent < _SENDS_PER_UPDATE for suspect in self._suspects.copy().values()
        )

    def take_reports(self, now: float) -> list[CrashReport]:
        """Return the reports for the next message to peers.

        These are recent changes, highest crash counts first, and some of the suspects with many
        crashes, in rotation.
        """
        with self._lock:
            updates = [
                d for d, suspect in self._suspects.items() if suspect.times_sent < _SENDS_PER_UPDATE
            ]
            updates.sort(key=lambda digest: self._suspects[digest].crash_count, reverse=True)
            reported = updates[:_MAX_UPDATES_PER_MESSAGE]
            for digest in reported:
                self._suspects[digest].times_sent += 1
            reported += [digest for digest in self._repeated_reports() if digest not in reported]
            return [_report(digest, self._suspects[digest], now) for digest in reported]

    def _repeated_reports(self) -> list[RequestDigest]:
        repeated = [
            d for d, suspect in self._suspects.items() if suspect.crash_count >= NO_RETRY_THRESHOLD
        ]
        if not repeated:
            return []
        self._rotation = (self._rotation + _REPEATED_REPORTS) % len(repeated)
        return [
            repeated[(self._rotation + n) % len(repeated)]
            for n in range(min(_REPEATED_REPORTS, len(repeated)))
        ]

    # -- memory --------------------------------------------------------------------------------

    def quarantined_count(self) -> int:
        """Return the number of quarantined requests."""
        return sum(suspect.is_quarantined for suspect in self._suspects.copy().values())

    def sweep(self, now: float) -> None:
        """Remove suspects that were not seen for ``QUARANTINE_S`` seconds."""
        with self._lock:
            expired = [
                d for d, suspect in self._suspects.items() if now - suspect.seen_at >= QUARANTINE_S
            ]
            for digest in expired:
                self._remove(digest)

    def _find(self, digest: RequestDigest, now: float) -> _Suspect | None:
        suspect = self._suspects.get(digest)
        if suspect is not None and now - suspect.seen_at >= QUARANTINE_S:
            self._remove(digest)
            return None
        return suspect

    def _add(self, digest: RequestDigest, seen_at: float) -> _Suspect:
        if len(self._suspects) >= _MAX_SUSPECTS:
            self._remove(min(self._suspects, key=self._eviction_order))
        suspect = self._suspects[digest] = _Suspect(seen_at)
        return suspect

    def _eviction_order(self, digest: RequestDigest) -> tuple[int, float]:
        suspect = self._suspects[digest]
        return suspect.crash_count, suspect.seen_at

    def _remove(self, digest: RequestDigest) -> None:
        suspect = self._suspects.pop(digest)
        if suspect.is_quarantined:
            log_event("request_released", digest=digest, reason="not seen for long")

    def _add_targets(
        self,
        digest: RequestDigest,
        suspect: _Suspect,
        crashed: set[TargetId],
        cleared: set[TargetId],
        source: str,
    ) -> None:
        """Add targets to a suspect's sets and log its change of state."""
        before, was_quarantined = suspect.crash_count, suspect.is_quarantined
        new_crashed = (
            (crashed - suspect.crashed)
            if len(suspect.crashed) < _MAX_TARGETS_PER_SUSPECT
            else set()
        )
        newly_cleared = (cleared - suspect.cleared) & (suspect.crashed | new_crashed)
        if not new_crashed and not newly_cleared:
            return
        suspect.crashed |= new_crashed
        suspect.cleared |= newly_cleared
        suspect.times_sent = 0
        if suspect.is_quarantined and not was_quarantined:
            _log("request_quarantined", digest, suspect, source)
        elif was_quarantined and not suspect.is_quarantined:
            log_event("request_released", digest=digest, reason="answered", source=source)
        elif suspect.crash_count > before and not was_quarantined:
            _log("request_suspected", digest, suspect, source)


def _log(event: str, digest: RequestDigest, suspect: _Suspect, source: str) -> None:
    targets = ",".join(sorted(suspect.crashed - suspect.cleared))
    log_event(event, level="WARNING", digest=digest, targets=targets, source=source)


def _report(digest: RequestDigest, suspect: _Suspect, now: float) -> CrashReport:
    age_s = round(now - suspect.seen_at, 1)
    return CrashReport(digest, sorted(suspect.crashed), sorted(suspect.cleared), max(0.0, age_s))
