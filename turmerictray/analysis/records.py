"""Lines of requests in the routers' logs, as typed records."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime
from enum import Enum
from pathlib import Path

from turmerictray.core.logs import parse_event

_END_OF_REQUEST = " event=request "
_REFUSED_EARLY = " event=refused_early "
_LEFT_OUT = " event=lines_left_out "
_POOL = " event=pool "
_NONE = "-"

_AT_ONCE_MS = 50
"""A refusal that comes sooner has not waited for a target."""


class Fate(Enum):
    """What became of a request."""

    IN_TIME = "in time"
    LATE_START = "late: its first event"
    LATE_PAUSE = "late: a pause"
    REFUSED_AT_ONCE = "refused at once"
    REFUSED_LATE = "refused after waiting"
    CUT = "cut or failed"
    LEFT = "caller left without an answer"


@dataclass(frozen=True)
class Record:
    """One or more requests that ended alike.

    Attributes
    ----------
    at : float
        Time of day of the end, in seconds since 1970.
    count : int
        Requests; more than one where they were refused by their heads alone.
    route, team, zone, node, scheduler, reason : str
        ``reason`` is the first word of the router's reason; ``scheduler`` the router that chose
        the target.
    wait_s, first_s, expected_s, aim_s : float or None
        From the request's head to the grant and to its first event; from the grant to the first
        event as expected then; the objective.
    miss_tokens, again_tokens, moved : int or None
        Tokens to be read for the prompt; of these, of shared parts; whether kept parts were fetched
        from another engine.
    """

    at: float
    fate: Fate
    count: int
    route: str
    team: str
    zone: str
    node: str
    scheduler: str
    reason: str
    wait_s: float | None = None
    first_s: float | None = None
    expected_s: float | None = None
    aim_s: float | None = None
    miss_tokens: int | None = None
    again_tokens: int | None = None
    moved: bool = False

    @property
    def engine_s(self) -> float | None:
        """From the grant to the first event."""
        if self.wait_s is None or self.first_s is None:
            return None
        return max(0.0, self.first_s - self.wait_s)


@dataclass(frozen=True)
class LeftOut:
    """Lines of requests that a router did not write, to bound its log."""

    node: str
    count: int


@dataclass(frozen=True)
class PoolSecond:
    """What a pool of engines did in a second.

    Attributes
    ----------
    at : float
        Time of day of its end, in seconds since 1970.
    service, shard : str
    waiting : int
        Requests, at its end.
    pace_per_s : float
        Tokens a second by which waits were estimated.
    ready, idle : int
        Engines that took requests; of these, the ones with nothing to read.
    sent : int
        Tokens given to engines.
    refused : int
        Requests refused as their turn would have come too late.
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
    """The lines of logs, one file after the other, each with its length in bytes."""
    for path in paths:
        with open(path, "rb") as file:
            for data in file:
                yield len(data), data.decode("utf-8", errors="replace")


def parse(line: str) -> Record | PoolSecond | LeftOut | None:
    """What a line of a log says of requests or pools; None for other lines."""
    if _END_OF_REQUEST in line:
        return _ended(parse_event(line))
    if _REFUSED_EARLY in line:
        return _refused_early(parse_event(line))
    if _POOL in line:
        return _pool_second(parse_event(line))
    if _LEFT_OUT in line:
        fields = parse_event(line)
        return LeftOut(fields.get("node", _NONE), int(fields.get("count", 0)))
    return None


def _refused_early(fields: dict[str, str]) -> Record:
    count = int(fields.get("count", 1))
    return _record(fields, Fate.REFUSED_AT_ONCE, count, fields.get("reason", _NONE))


def _pool_second(fields: dict[str, str]) -> PoolSecond:
    numbers = ("waiting", "ready", "idle", "sent", "refused")
    return PoolSecond(
        at=_time(fields),
        service=fields.get("service", _NONE),
        shard=fields.get("shard", _NONE),
        pace_per_s=_number(fields, "pace_per_s") or 0.0,
        **{name: int(_number(fields, name) or 0) for name in numbers},
    )


def _time(fields: dict[str, str]) -> float:
    return datetime.fromisoformat(fields["ts"]).timestamp()


def _ended(fields: dict[str, str]) -> Record:
    reason = fields.get("reason", _NONE).partition(":")[0]
    return _record(fields, _fate(fields), 1, reason)


def _record(fields: dict[str, str], fate: Fate, count: int, reason: str) -> Record:
    miss, own = _number(fields, "miss_tokens"), _number(fields, "own")
    is_moved = fields.get("fetch_from", _NONE) != _NONE
    return Record(
        at=_time(fields),
        fate=fate,
        count=count,
        route=fields.get("route", _NONE),
        team=fields.get("team", _NONE),
        zone=fields.get("zone", _NONE),
        node=fields.get("node", _NONE),
        scheduler=fields.get("scheduler", _NONE),
        reason=reason,
        wait_s=_seconds(fields, "wait_ms"),
        first_s=_seconds(fields, "first_ms"),
        expected_s=_seconds(fields, "expected_ms"),
        aim_s=_seconds(fields, "aim_ms"),
        miss_tokens=None if miss is None else int(miss),
        again_tokens=None if miss is None or own is None else max(0, int(miss - own)),
        moved=is_moved,
    )


def _fate(fields: dict[str, str]) -> Fate:
    outcome = fields.get("outcome")
    if outcome == "caller_gone":
        return Fate.LEFT
    if outcome == "refused":
        if fields.get("status") not in ("429", "503"):
            return Fate.CUT
        is_soon = (_number(fields, "ms") or 0) < _AT_ONCE_MS
        return Fate.REFUSED_AT_ONCE if is_soon else Fate.REFUSED_LATE
    if outcome != "answered" or fields.get("status", "").startswith("5"):
        return Fate.CUT
    first, aim = _number(fields, "first_ms"), _number(fields, "aim_ms")
    if first is not None and aim is not None and first > aim:
        return Fate.LATE_START
    pause, gap = _number(fields, "pause_ms"), _number(fields, "gap_ms")
    is_paused = pause is not None and gap is not None and pause > gap
    return Fate.LATE_PAUSE if is_paused else Fate.IN_TIME


def _number(fields: dict[str, str], name: str) -> float | None:
    try:
        return float(fields[name])
    except (KeyError, ValueError):
        return None


def _seconds(fields: dict[str, str], name: str) -> float | None:
    value = _number(fields, name)
    return None if value is None else value / 1000
