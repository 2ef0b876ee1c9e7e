"""The story of one request, from the logs of all processes."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path

from turmerictray.cli.timeline import merge_logs
from turmerictray.core.logs import parse_event

_CONTEXT_S = 10.0
"""How far back a router's lost and regained dependencies are shown."""

_DEPENDENCIES = frozenset(
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
    }
)

_CAUSES = {
    "no_config": "the router had read no routing text yet",
    "no route": "no route of the text in force matches the host and path",
    "unknown key": "no team of the text in force holds the key",
    "no_target": "no target of the service was left to try",
    "backlog_full": "more of the team's requests waited on this router than it could be served",
    "queue_full": "the team had too many requests waiting on this router",
    "unread": "requests waited too long to be read on this router",
    "wait_too_long": "by the pace of sends its turn would have come too late",
    "another copy": "another copy of it ran, and targets have ended under it before",
    "quarantined": "targets ended while they began to run it; it is sent to none any more",
    "queue_timeout": "it waited as long as it may and no target had room",
    "repeats_used_up": "the budget of repeats left none for another try",
    "draining": "the router was shutting down",
    "TargetBusy": "the targets that were tried did not run it",
    "TimedOut": "the route's or the caller's time was over",
    "OutcomeUnknown": "a try broke off after the request had been sent",
    "ConnectionBroken": "a try broke off after the request had been sent",
    "caller gone": "the caller hung up",
}


@dataclass(frozen=True)
class Line:
    """One event of a log."""

    text: str
    fields: dict[str, str]

    @property
    def event(self) -> str:
        """The event's name."""
        return self.fields.get("event", "")

    @property
    def at(self) -> float:
        """Time of day, in seconds since 1970."""
        return datetime.fromisoformat(self.fields["ts"]).timestamp()


def parse_line(text: str) -> Line:
    """Read the pairs of a ``key=value`` line."""
    return Line(text, parse_event(text))


def explain(request_id: str, paths: Iterable[str | Path]) -> Iterator[str]:
    """Tell what happened to a request.

    Parameters
    ----------
    request_id : str
    paths : iterable of path
        Logs of all processes that may have seen it.

    Yields
    ------
    str
        Lines for a person: the request's events, what the router believed, and the cause.
    """
    lines = [parse_line(text) for text in merge_logs(paths)]
    own = [line for line in lines if request_id in _requests_of(line)]
    if not own:
        yield f"no line mentions {request_id}: its logs are missing, or lines were left out"
        yield from _left_out(lines)
        return
    yield "events:"
    yield from (f"  {line.text}" for line in own)
    yield "what the router believed:"
    yield from (f"  {text}" for text in _beliefs(lines, own))
    yield f"cause: {_cause(own[-1])}"


def is_mentioned(request_id: str, paths: Iterable[str | Path]) -> bool:
    """Whether any line of the logs is about a request."""
    return any(request_id in _requests_of(parse_line(text)) for text in merge_logs(paths))


def _requests_of(line: Line) -> list[str]:
    """The requests that a line is about; those refused by their heads alone share lines."""
    return [line.fields.get("req", ""), *line.fields.get("reqs", "").split(",")]


def _beliefs(lines: list[Line], own: list[Line]) -> Iterator[str]:
    last = own[-1]
    node, at = last.fields.get("node"), last.at
    mine = [line for line in lines if line.fields.get("node") == node and line.at <= at]
    version = last.fields.get("text")
    for line in mine:
        if line.event == "text_in_force" and line.fields.get("version") == version:
            yield f"text {version} in force for {at - line.at:.1f} s, from {line.fields['source']}"
    for target in sorted({line.fields["target"] for line in own if "target" in line.fields}):
        for line in mine:
            if line.event == "target" and line.fields.get("target") == target:
                yield f"target {target} {line.fields['phase']} for {at - line.at:.1f} s"
    for line in mine:
        if line.event in _DEPENDENCIES and at - line.at <= _CONTEXT_S:
            yield f"{at - line.at:.1f} s before: {line.text.partition(' event=')[2]}"


def _cause(last: Line) -> str:
    reason = last.fields.get("reason", "")
    if last.fields.get("outcome") == "answered":
        status = last.fields.get("status")
        return f"none on the router's side: it passed on the target's answer ({status})"
    for mark, meaning in _CAUSES.items():
        if mark in reason:
            return f"{meaning} ({reason})"
    return reason or "not told by the logs given"


def _left_out(lines: list[Line]) -> Iterator[str]:
    for line in lines:
        if line.event == "lines_left_out":
            yield f"  {line.fields.get('node')} left out {line.fields.get('count')} lines"
