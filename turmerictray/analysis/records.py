"""Typed records parsed from request and pool events in router logs."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime
from enum import Enum
from pathlib import Path

from turmerictray.core.logs import parse_event

_REQUEST_ENDED = " event=request "
_REFUSED_EARLY = " event=refused_early "
_OMITTED_LINES = " event=lines_left_out "
_POOL = " event=pool "
_MISSING = "-"

_MAX_NUMBER = 1e15
"""Numbers beyond this, infinity and NaN are missing ones, so that no sum overflows."""

_IMMEDIATE_REFUSAL_MS = 50
"""A request refused within this time has not waited for a target."""


class RequestOutcome(Enum):
    """Outcome of a request; the values appear in tables and in JSON."""

    IN_TIME = "in time"
    LATE_FIRST_EVENT = "late: its first event"
    LATE_PAUSE = "late: a pause"
    REFUSED_IMMEDIATELY = "refused at once"
    REFUSED_AFTER_WAIT = "refused after waiting"
    FAILED = "cut or failed"
    CALLER_LEFT = "caller left without an answer"


@dataclass(frozen=True)
class Record:
    """One or more requests with the same outcome.

    Attributes
    ----------
    at : float
        Time when the request ended, in seconds since 1970.
    count : int
        Number of requests. It is above one only for refusals that were decided from the request
        head, which share a log line.
    route, team, zone, node, scheduler, reason : str
        ``reason`` is the router's reason up to the first colon; ``scheduler`` is the router that
        chose the target.
    wait_s, first_event_s, expected_s, objective_s : float or None
        Time from the request head to the grant, and from the head to the first event; time from
        the grant to the first event as estimated at the grant; objective for the first event.
    miss_tokens, again_tokens, moved : int or None
        Prompt tokens that were not cached; how many of them belong to shared prompt parts; whether
        cached parts were fetched from another engine.
    """

    at: float
    outcome: RequestOutcome
    count: int
    route: str
    team: str
    zone: str
    node: str
    scheduler: str
    reason: str
    wait_s: float | None = None
    first_event_s: float | None = None
    expected_s: float | None = None
    objective_s: float | None = None
    miss_tokens: int | None = None
    again_tokens: int | None = None
    moved: bool = False

    @property
    def engine_s(self) -> float | None:
        """Seconds from the grant to the first event, or None if unknown."""
        if self.wait_s is None or self.first_event_s is None:
            return None
        return max(0.0, self.first_event_s - self.wait_s)


@dataclass(frozen=True)
class OmittedLines:
    """Number of request lines that a router omitted to limit its log volume."""

    node: str
    count: int


@dataclass(frozen=True)
class PoolSample:
    """Activity of one engine pool during one second.

    Attributes
    ----------
    at : float
        End of the second, in seconds since 1970.
    service, shard : str
    waiting : int
        Number of pending requests at the end of the second.
    pace_per_s : float
        Throughput in tokens per second that wait estimates were based on.
    ready, idle : int
        Engines that accepted requests, and those among them with no prompt tokens to process.
    sent : int
        Tokens dispatched to engines.
    refused : int
        Requests refused because their estimated wait was too long.
    """

    at: float
    service: str
    shard: str
    waiting: int
    pace_per_s: float
    ready: int
    idle: int
    sent: int
    refused: int


def read_lines(paths: Iterable[Path]) -> Iterator[tuple[int, str]]:
    """Yield the lines of all log files, each with its length in bytes."""
    for path in paths:
        with open(path, "rb") as file:
            for data in file:
                yield len(data), data.decode("utf-8", errors="replace")


def parse_record(line: str) -> Record | PoolSample | OmittedLines | None:
    """Parse a log line; return None unless it reports requests, a pool or omitted lines.

    Lines that were cut or written by something else have no time, or none that can be read.
    """
    try:
        return _parse_record(line)
    except (KeyError, ValueError, OverflowError):
        return None


def _parse_record(line: str) -> Record | PoolSample | OmittedLines | None:
    if _REQUEST_ENDED in line:
        return _parse_request(parse_event(line))
    if _REFUSED_EARLY in line:
        return _parse_early_refusal(parse_event(line))
    if _POOL in line:
        return _parse_pool(parse_event(line))
    if _OMITTED_LINES in line:
        fields = parse_event(line)
        return OmittedLines(fields.get("node", _MISSING), int(_number(fields, "count") or 0))
    return None


def _parse_early_refusal(fields: dict[str, str]) -> Record:
    count = int(_number(fields, "count") or 1)
    return _make_record(
        fields, RequestOutcome.REFUSED_IMMEDIATELY, count, fields.get("reason", _MISSING)
    )


def _parse_pool(fields: dict[str, str]) -> PoolSample:
    numbers = ("waiting", "ready", "idle", "sent", "refused")
    return PoolSample(
        at=_time(fields),
        service=fields.get("service", _MISSING),
        shard=fields.get("shard", _MISSING),
        pace_per_s=_number(fields, "pace_per_s") or 0.0,
        **{name: int(_number(fields, name) or 0) for name in numbers},
    )


def _time(fields: dict[str, str]) -> float:
    return datetime.fromisoformat(fields["ts"]).timestamp()


def _parse_request(fields: dict[str, str]) -> Record:
    reason = fields.get("reason", _MISSING).partition(":")[0]
    return _make_record(fields, _classify(fields), 1, reason)


def _make_record(
    fields: dict[str, str], outcome: RequestOutcome, count: int, reason: str
) -> Record:
    miss, unique = _number(fields, "miss_tokens"), _number(fields, "own")
    is_moved = fields.get("fetch_from", _MISSING) != _MISSING
    return Record(
        at=_time(fields),
        outcome=outcome,
        count=count,
        route=fields.get("route", _MISSING),
        team=fields.get("team", _MISSING),
        zone=fields.get("zone", _MISSING),
        node=fields.get("node", _MISSING),
        scheduler=fields.get("scheduler", _MISSING),
        reason=reason,
        wait_s=_seconds(fields, "wait_ms"),
        first_event_s=_seconds(fields, "first_ms"),
        expected_s=_seconds(fields, "expected_ms"),
        objective_s=_seconds(fields, "aim_ms"),
        miss_tokens=None if miss is None else int(miss),
        again_tokens=None if miss is None or unique is None else max(0, int(miss - unique)),
        moved=is_moved,
    )


def _classify(fields: dict[str, str]) -> RequestOutcome:
    outcome = fields.get("outcome")
    if outcome == "caller_gone":
        return RequestOutcome.CALLER_LEFT
    if outcome == "refused":
        if fields.get("status") not in ("429", "503"):
            return RequestOutcome.FAILED
        is_immediate = (_number(fields, "ms") or 0) < _IMMEDIATE_REFUSAL_MS
        return (
            RequestOutcome.REFUSED_IMMEDIATELY
            if is_immediate
            else RequestOutcome.REFUSED_AFTER_WAIT
        )
    if outcome != "answered" or fields.get("status", "").startswith("5"):
        return RequestOutcome.FAILED
    first, aim = _number(fields, "first_ms"), _number(fields, "aim_ms")
    if first is not None and aim is not None and first > aim:
        return RequestOutcome.LATE_FIRST_EVENT
    pause, gap = _number(fields, "pause_ms"), _number(fields, "gap_ms")
    is_paused = pause is not None and gap is not None and pause > gap
    return RequestOutcome.LATE_PAUSE if is_paused else RequestOutcome.IN_TIME


def _number(fields: dict[str, str], name: str) -> float | None:
    try:
        number = float(fields[name])
    except (KeyError, ValueError):
        return None
    return number if abs(number) <= _MAX_NUMBER else None


def _seconds(fields: dict[str, str], name: str) -> float | None:
    value = _number(fields, name)
    return None if value is None else value / 1000
