"""Log line and metrics of one request."""

import time

from turmerictray.core import metrics
from turmerictray.core.logs import log_request
from turmerictray.router.progress import Progress
from turmerictray.router.routed_request import RoutedRequest
from turmerictray.scheduling.broker_messages import Granted
from turmerictray.transport.exchange import RequestHead

_DEFAULT_LEFT_S = 3.0
"""Assumed time that a caller waits if its request could not be parsed far enough to know it."""


_MAX_ID_LENGTH = 40
"""Longest part of a caller's id that is logged."""


class RequestTrace:
    """Record of a request's handling, written as one log line at its end.

    Attributes
    ----------
    caller_timeout_s : float or None
        Seconds that the caller of a request without a route waits; None if not known.
    text_version, newest_version : int
        Versions of the configuration by which the request was routed, and of the newest one that
        was then known to exist; 0 for a request that was not routed.
    """

    def __init__(self, head: RequestHead, arrived: float) -> None:
        self.head = head
        self.arrived = arrived
        self.caller_timeout_s: float | None = None
        self.text_version = 0
        self.newest_version = 0
        self.routed: RoutedRequest | None = None
        self.granted: Granted | None = None
        self.granted_at: float | None = None
        self.first_at: float | None = None
        self.progress: Progress | None = None

    def note_granted(self, granted: Granted) -> None:
        """Record that a target was granted."""
        self.granted = granted
        self.granted_at = time.monotonic()

    def note_first(self) -> None:
        """Record that the answer, or its first event, is about to be sent."""
        if self.first_at is None:
            self.first_at = time.monotonic()

    @property
    def caller_remaining_s(self) -> float:
        """Remaining time that the caller waits, in seconds."""
        if self.routed is None:
            return _DEFAULT_LEFT_S if self.caller_timeout_s is None else self.caller_timeout_s
        left = self.routed.envelope.caller_timeout_s
        if left is None:
            left = self.routed.route.timeout_s
        return max(0.0, self.arrived + left - time.monotonic())

    def end(self, outcome: str, status: int, reason: str = "") -> None:
        """Write the log line and update the metrics.

        Failures have a log budget of their own, so that successes can't displace them.
        """
        fields = self._fields()
        fields.update(outcome=outcome, status=status, ms=_ms(time.monotonic() - self.arrived))
        if reason:
            fields["reason"] = reason[:200]
        log_request("request", failed=outcome != "answered", **fields)
        self._count(outcome)

    def _count(self, outcome: str) -> None:
        team = self.routed.accounting_team if self.routed is not None else "-"
        metrics.REQUESTS.labels(team, outcome).inc()
        prompt = self.routed.envelope.prompt if self.routed is not None else None
        if prompt is not None:
            metrics.count_prompt_tokens(team, prompt.input_tokens, self.first_at is not None)
        metrics.REQUEST_TIME.labels(outcome).observe(time.monotonic() - self.arrived)
        if self.granted_at is not None:
            metrics.QUEUE_WAIT.observe(self.granted_at - self.arrived)
        if self.first_at is not None:
            first = metrics.FIRST_ANSWER_TIME.labels(self.routed.service)
            first.observe(self.first_at - self.arrived)

    @property
    def request_id(self) -> str:
        """Id that the caller gave the request."""
        return self.head.headers.get("X-Request-Id", "-")

    def _fields(self) -> dict[str, object]:
        routed = self.routed
        if routed is None:
            return {
                "req": self.request_id,
                "method": self.head.method,
                "path": self.head.path[:80],
                **self._versions(),
            }
        fields: dict[str, object] = {
            "req": routed.envelope.request_id,
            "team": routed.accounting_team,
            "route": routed.route.name,
            "service": routed.service,
            **self._versions(),
            "due_ms": _ms(routed.bounds.answer_deadline - self.arrived),
            "aim_ms": _ms(routed.route.objective_s),
        }
        prompt = routed.envelope.prompt
        if prompt is not None:
            last_part_tokens = prompt.parts[-1].tokens if prompt.parts else 0
            fields.update(part=prompt.affinity_key, input=prompt.input_tokens, own=last_part_tokens)
        if routed.envelope.resumes is not None:
            fields["resumes"] = routed.envelope.resumes[:_MAX_ID_LENGTH] or "-"
        if self.granted is not None:
            fields.update(
                target=self.granted.target.id,
                software=self.granted.target.version or "-",
                wait_ms=_ms(self.granted_at - self.arrived),
                expected_ms=_ms(self.granted.expected_s),
                miss_tokens=self.granted.miss_tokens,
                ahead_tokens=self.granted.ahead_tokens,
                scheduler=self.granted.scheduler or "self",
                fetch_from=self.granted.fetch_from or "-",
            )
        if self.first_at is not None:
            fields["first_ms"] = _ms(self.first_at - self.arrived)
        if self.progress is not None:
            fields.update(tries=self.progress.delivered_attempts, events=self.progress.event_count)
            if self.progress.event_count:
                gap_ms = _ms(routed.route.gap_s)
                fields.update(pause_ms=_ms(self.progress.max_pause_s), gap_ms=gap_ms)
            if self.progress.body_end is not None:
                fields["end"] = self.progress.body_end.value
            if self.progress.unfinished_bytes:
                fields["unfinished_bytes"] = self.progress.unfinished_bytes
            if self.progress.last_event_id is not None:
                fields["last_id"] = self.progress.last_event_id[:_MAX_ID_LENGTH]
            fields.update(self.progress.end_fields())
        return fields

    def _versions(self) -> dict[str, object]:
        versions: dict[str, object] = {}
        if self.text_version:
            versions["text"] = self.text_version
        if self.newest_version > self.text_version:
            versions["newest"] = self.newest_version
        return versions


def _ms(seconds: float) -> int:
    return round(seconds * 1000)
