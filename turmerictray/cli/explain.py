"""Explanation of the outcome of one request, from the logs of all processes."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path

from turmerictray.cli.timeline import merge_logs
from turmerictray.core.logs import parse_event

_CONTEXT_S = 10.0
"""Dependency events of the router are shown from this many seconds before the request's end."""

_DEPENDENCY_EVENTS = frozenset(
    {
        "store_lost",
        "store_back",
        "store_history_gone",
        "catch_up_failed",
        "fleet_size",
        "kept_from_engine",
        "kept_from_peer",
        "recall_failed",
        "drain_started",
        "starting",
        "settings_refused",
        "text_refused",
        "text_failed",
        "actor_failed",
        "thread_failed",
        "state_repaired",
        "target_leaving",
        "target_resting",
        "unfit",
    }
)

_FAILURE_EVENTS = frozenset({"actor_failed", "thread_failed"})
"""Failures within a router, which may be logged after the outcome of the request they concern."""

_CAUSES = {
    "no_config": "the router had not received a routing configuration yet",
    "no route": "no route of the active configuration matches the host and path",
    "unknown key": "no team of the active configuration has this API key",
    "internal_failure": "the router failed unexpectedly before it had sent the request to a target",
    "unfit": "the router failed repeatedly and was about to be replaced",
    "targets_resting": "all targets had turned this router away and asked it to rest for longer",
    "targets_leaving": "all targets of the service had said that they leave",
    "no_target": "no target of the service was available for another attempt",
    "backlog_full": "the team had more pending requests on this router than could be served",
    "queue_full": "the team had too many pending requests on this router",
    "unread": "requests waited too long before this router could read them",
    "wait_too_long": "its estimated wait, based on recent throughput, exceeded the limit",
    "another copy": (
        "another copy of it was running, and targets have crashed under this request before"
    ),
    "prompt part": "targets crashed while starting prompts that share this part; it is held back",
    "quarantined": "targets crashed while starting to run it; it is no longer sent to any target",
    "queue_timeout": "it reached the maximum waiting time before a target had capacity",
    "repeats_used_up": "the retry budget was exhausted",
    "draining": "the router was shutting down",
    "TargetBusy": "none of the targets it was sent to ran it",
    "TimedOut": "the time limit of the route or of the caller expired",
    "OutcomeUnknown": "an attempt was interrupted after the request had been sent",
    "ConnectionBroken": "an attempt was interrupted after the request had been sent",
    "caller gone": "the caller disconnected",
}


@dataclass(frozen=True)
class LogEvent:
    """One log line and its parsed fields."""

    text: str
    fields: dict[str, str]

    @property
    def event(self) -> str:
        """Name of the event."""
        return self.fields.get("event", "")

    @property
    def at(self) -> float:
        """Time of the event, in seconds since 1970."""
        return datetime.fromisoformat(self.fields["ts"]).timestamp()

    def has_time(self) -> bool:
        """Return whether the time of the event can be read."""
        try:
            return self.at > 0
        except (ValueError, OverflowError):
            return False


def parse_line(text: str) -> LogEvent:
    """Parse a line of ``key=value`` pairs."""
    return LogEvent(text, parse_event(text))


def explain(request_id: str, paths: Iterable[str | Path]) -> Iterator[str]:
    """Explain the outcome of a request.

    Parameters
    ----------
    request_id : str
        Id that the caller sent.
    paths : iterable of path
        Logs of all processes that may have handled the request.

    Yields
    ------
    str
        Human-readable lines: the request's events, the state known to the router, and the cause.
    """
    lines = [line for line in map(parse_line, merge_logs(paths)) if line.has_time()]
    request_lines = [line for line in lines if request_id in _requests_of(line)]
    if not request_lines:
        yield f"no line mentions {request_id}: its logs are missing, or its lines were omitted"
        yield from _omitted_lines(lines)
        return
    yield "events:"
    yield from (f"  {line.text}" for line in request_lines)
    yield "state known to the router:"
    outcomes = [line for line in request_lines if line.event not in _FAILURE_EVENTS]
    outcomes = outcomes or request_lines
    yield from (f"  {text}" for text in _router_state(lines, outcomes))
    yield f"cause: {_cause(outcomes[-1])}"


def is_mentioned(request_id: str, paths: Iterable[str | Path]) -> bool:
    """Return whether any line of the logs mentions a request."""
    return any(request_id in _requests_of(parse_line(text)) for text in merge_logs(paths))


def _requests_of(line: LogEvent) -> list[str]:
    """Return the ids of the requests in a line; early refusals share a line."""
    return [line.fields.get("req", ""), *line.fields.get("reqs", "").split(",")]


def _router_state(lines: list[LogEvent], request_lines: list[LogEvent]) -> Iterator[str]:
    last = request_lines[-1]
    node, at = last.fields.get("node"), last.at
    router_lines = [line for line in lines if line.fields.get("node") == node and line.at <= at]
    version = last.fields.get("text")
    for line in router_lines:
        if line.event == "text_in_force" and line.fields.get("version") == version:
            yield (
                f"configuration {version} active for {at - line.at:.1f} s, "
                f"from {line.fields.get('source', '-')}"
            )
    for target in sorted(
        {line.fields["target"] for line in request_lines if "target" in line.fields}
    ):
        for line in router_lines:
            if line.event == "target" and line.fields.get("target") == target:
                yield f"target {target} {line.fields.get('phase', '-')} for {at - line.at:.1f} s"
    for line in router_lines:
        if line.event in _DEPENDENCY_EVENTS and at - line.at <= _CONTEXT_S:
            yield f"{at - line.at:.1f} s before: {line.text.partition(' event=')[2]}"


def _cause(last: LogEvent) -> str:
    reason = last.fields.get("reason", "")
    if last.fields.get("outcome") == "answered":
        status = last.fields.get("status")
        return f"not in the router: it relayed the target's answer ({status})"
    for pattern, meaning in _CAUSES.items():
        if pattern in reason:
            return f"{meaning} ({reason})"
    return reason or "the given logs do not show a cause"


def _omitted_lines(lines: list[LogEvent]) -> Iterator[str]:
    for line in lines:
        if line.event == "lines_left_out":
            yield f"  {line.fields.get('node')} omitted {line.fields.get('count')} lines"
