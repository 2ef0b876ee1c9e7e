"""Which requests have ended the targets that ran them, and what is still done with one.

A request may end every target that begins to run it, and its caller sends it again (a *query of
death*). When a target ends, each request that had just begun there is a suspect, and most of them
are innocent. A request is told by its digest (see :mod:`turmerictray.admission.digest`), counted by
the targets that have ended under it, at all routers together, and cleared by any answer.
"""

import threading
from collections.abc import Iterable
from dataclasses import dataclass, field

from turmerictray.core.errors import Quarantined
from turmerictray.core.ids import RequestDigest, TargetId
from turmerictray.core.logs import log_event
from turmerictray.membership.messages import CrashReport

HELD_AT = 3
"""Targets ended under a request from which on it is sent to none. A request that ran beside the
culprit three times in a row, each time just begun, is rare; one more would cost one more target."""

LAST_TRY_AT = 2
"""Targets ended from which on an attempt has no further try, and one copy runs at a time, where no
other suspect has just begun: one more ending then tells of one request."""

HELD_S = 600.0
"""Time without a sign of a request after which it is forgotten. A caller that honours the
``Retry-After`` of a refusal finds it forgotten."""

_ONE_AT_A_TIME_S = 0.5
"""Retry-After while another copy of a suspect runs."""

_MOST = 4096
"""Requests that are remembered, about 200 bytes each."""

_MOST_TARGETS = 16
"""Targets kept of a request; bounds a report's size."""

_MOST_REPORTS = 64
"""Reports in one message, about 4 KB."""

_PASSED_ON = 4
"""Messages in which news is passed on; see :mod:`turmerictray.membership.table`."""

_REMINDERS = 8
"""Requests with two endings or more that each message repeats in turn, for routers that have just
started or were cut off."""


@dataclass
class _Suspect:
    """What is known of a request.

    Attributes
    ----------
    ended : set of TargetId
        Targets that have ended under it.
    cleared : set of TargetId
        Those of them that ended before it had an answer elsewhere.
    seen_at : float
        Monotonic seconds of the last sign of it.
    running : int
        Copies that run by this router.
    told : int
        Messages that have told of its newest change.
    """

    seen_at: float
    ended: set[TargetId] = field(default_factory=set)
    cleared: set[TargetId] = field(default_factory=set)
    running: int = 0
    told: int = 0

    @property
    def count(self) -> int:
        """Targets that speak against it."""
        return len(self.ended - self.cleared)

    @property
    def is_held(self) -> bool:
        """Whether it is sent to no target."""
        return self.count >= HELD_AT


class Quarantine:
    """Counts the targets that ended under requests; used by many threads.

    Reports of peers are merged as sets, so they may come late, twice and in any order.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._suspects: dict[RequestDigest, _Suspect] = {}
        self._turn = 0

    # -- from this router's requests -----------------------------------------------------------

    def check(self, digest: RequestDigest, now: float) -> None:
        """Check that a request may be sent to a target.

        Raises
        ------
        Quarantined
        """
        with self._lock:
            suspect = self._known(digest, now)
            if suspect is None or not suspect.is_held:
                return
            suspect.seen_at = now
        raise Quarantined(f"quarantined: {digest} ended {suspect.count} targets", HELD_S)

    def begin(self, digest: RequestDigest, now: float) -> bool:
        """A request is about to be sent; whether :meth:`end` has to follow.

        Raises
        ------
        Quarantined
            It is held, or a suspect of which another copy runs.
        """
        self.check(digest, now)
        with self._lock:
            suspect = self._known(digest, now)
            if suspect is None:
                return False
            if suspect.running > 0 and suspect.count >= LAST_TRY_AT:
                raise Quarantined(f"quarantined: another copy of {digest} runs", _ONE_AT_A_TIME_S)
            suspect.running += 1
            return True

    def end(self, digest: RequestDigest) -> None:
        """A run that :meth:`begin` has counted is over."""
        with self._lock:
            suspect = self._suspects.get(digest)
            if suspect is not None and suspect.running > 0:
                suspect.running -= 1

    def endings(self, digest: RequestDigest, now: float) -> int:
        """Targets that speak against a request."""
        with self._lock:
            suspect = self._known(digest, now)
            return 0 if suspect is None else suspect.count

    def may_try_again(self, digest: RequestDigest, now: float) -> bool:
        """Whether a request whose try failed may be sent to another target at once."""
        return self.endings(digest, now) < LAST_TRY_AT

    def note_ended(self, digest: RequestDigest, target: TargetId, now: float) -> int:
        """A target ended while it began to run a request; returns how many have by now."""
        with self._lock:
            suspect = self._suspects.get(digest) or self._add(digest, now)
            self._extend(digest, suspect, {target}, set(), "own")
            suspect.seen_at = now
            return suspect.count

    def note_answered(self, digest: RequestDigest) -> None:
        """A request has had an answer, so it did not end the targets that ended beside it."""
        with self._lock:
            suspect = self._suspects.get(digest)
            if suspect is not None and suspect.count:
                self._extend(digest, suspect, set(), set(suspect.ended), "own")

    # -- with peers ----------------------------------------------------------------------------

    def merge(self, reports: Iterable[CrashReport], now: float) -> None:
        """Take what a peer knows."""
        with self._lock:
            for report in reports:
                if report.age_s >= HELD_S:
                    continue
                digest, seen_at = RequestDigest(report.digest), now - report.age_s
                suspect = self._known(digest, now) or self._add(digest, seen_at)
                suspect.seen_at = max(suspect.seen_at, seen_at)
                ended = {TargetId(target) for target in report.ended}
                cleared = {TargetId(target) for target in report.cleared}
                self._extend(digest, suspect, ended, cleared, "peer")

    def has_news(self) -> bool:
        """Whether there is something that peers should hear soon."""
        return any(suspect.told < _PASSED_ON for suspect in self._suspects.copy().values())

    def take_reports(self, now: float) -> list[CrashReport]:
        """What the next message to peers tells: news, and some of the worst requests in turn."""
        with self._lock:
            news = [d for d, suspect in self._suspects.items() if suspect.told < _PASSED_ON]
            news.sort(key=lambda digest: self._suspects[digest].count, reverse=True)
            told = news[:_MOST_REPORTS]
            for digest in told:
                self._suspects[digest].told += 1
            told += [digest for digest in self._reminders() if digest not in told]
            return [_report(digest, self._suspects[digest], now) for digest in told]

    def _reminders(self) -> list[RequestDigest]:
        worst = [d for d, suspect in self._suspects.items() if suspect.count >= LAST_TRY_AT]
        if not worst:
            return []
        self._turn = (self._turn + _REMINDERS) % len(worst)
        return [worst[(self._turn + n) % len(worst)] for n in range(min(_REMINDERS, len(worst)))]

    # -- memory --------------------------------------------------------------------------------

    def held(self) -> int:
        """How many requests are held."""
        return sum(suspect.is_held for suspect in self._suspects.copy().values())

    def sweep(self, now: float) -> None:
        """Forget requests of which nothing was heard for long."""
        with self._lock:
            old = [d for d, suspect in self._suspects.items() if now - suspect.seen_at >= HELD_S]
            for digest in old:
                self._forget(digest)

    def _known(self, digest: RequestDigest, now: float) -> _Suspect | None:
        suspect = self._suspects.get(digest)
        if suspect is not None and now - suspect.seen_at >= HELD_S:
            self._forget(digest)
            return None
        return suspect

    def _add(self, digest: RequestDigest, seen_at: float) -> _Suspect:
        if len(self._suspects) >= _MOST:
            self._forget(min(self._suspects, key=self._worth))
        suspect = self._suspects[digest] = _Suspect(seen_at)
        return suspect

    def _worth(self, digest: RequestDigest) -> tuple[int, float]:
        suspect = self._suspects[digest]
        return suspect.count, suspect.seen_at

    def _forget(self, digest: RequestDigest) -> None:
        suspect = self._suspects.pop(digest)
        if suspect.is_held:
            log_event("request_released", digest=digest, reason="not seen for long")

    def _extend(
        self,
        digest: RequestDigest,
        suspect: _Suspect,
        ended: set[TargetId],
        cleared: set[TargetId],
        source: str,
    ) -> None:
        """Add targets to a suspect's sets; log what it becomes."""
        before, was_held = suspect.count, suspect.is_held
        new = (ended - suspect.ended) if len(suspect.ended) < _MOST_TARGETS else set()
        newly_cleared = (cleared - suspect.cleared) & (suspect.ended | new)
        if not new and not newly_cleared:
            return
        suspect.ended |= new
        suspect.cleared |= newly_cleared
        suspect.told = 0
        if suspect.is_held and not was_held:
            _log("request_quarantined", digest, suspect, source)
        elif was_held and not suspect.is_held:
            log_event("request_released", digest=digest, reason="answered", source=source)
        elif suspect.count > before and not was_held:
            _log("request_suspected", digest, suspect, source)


def _log(event: str, digest: RequestDigest, suspect: _Suspect, source: str) -> None:
    targets = ",".join(sorted(suspect.ended - suspect.cleared))
    log_event(event, level="WARNING", digest=digest, targets=targets, source=source)


def _report(digest: RequestDigest, suspect: _Suspect, now: float) -> CrashReport:
    age_s = round(now - suspect.seen_at, 1)
    return CrashReport(digest, sorted(suspect.ended), sorted(suspect.cleared), max(0.0, age_s))
