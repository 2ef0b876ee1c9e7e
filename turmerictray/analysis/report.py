"""An analysis as tables for a person, and as JSON."""

from collections.abc import Iterable
from dataclasses import asdict

import msgspec

from turmerictray.analysis.records import Fate
from turmerictray.analysis.tally import Analysis, Spread, Tally

_LARGEST_LOSSES = 3
_QUANTILES = (0.1, 0.5, 0.9)
_HEAD = (
    "requests",
    "in time",
    "late",
    "paused",
    "ref. 0 s",
    "refused",
    "cut",
    "left",
    "wait p50",
    "wait p90",
    "engine p50",
    "engine p90",
    "again",
    "moved",
)
_POOL_HEAD = ("sent", "pace_per_s", "ready", "idle", "waiting", "refused")
_NAME_WIDTH = 22
_WIDTH = 11


def format_analysis(analysis: Analysis, most: int) -> str:
    """Tables of each dimension and of time, and the largest losses.

    Parameters
    ----------
    most : int
        Rows of a table; those with the most lost requests come first.
    """
    blocks = [_summary(analysis)]
    for name, groups in analysis.groups.items():
        rows = sorted(groups.items(), key=lambda row: row[1].lost, reverse=True)[:most]
        blocks.append(_table(name, rows))
    rows = [(f"{at:.0f} s", tally) for at, tally in analysis.timeline()]
    blocks.append(_table("two seconds from", rows))
    if analysis.pools:
        blocks.append(_pool_table(analysis))
    return "\n\n".join(blocks)


def _pool_table(analysis: Analysis) -> str:
    """Second by second: tokens given to engines, and what stayed unused beside what was refused."""
    lines = [f"{'pool, second':{_NAME_WIDTH}}" + "".join(f"{h:>{_WIDTH}}" for h in _POOL_HEAD)]
    for service, at, tally in analysis.pool_seconds():
        cells = (getattr(tally, name) for name in _POOL_HEAD)
        row = "".join(f"{round(cell):>{_WIDTH}}" for cell in cells)
        name = f"{service}, {at} s"
        lines.append(f"{name[:_NAME_WIDTH]:{_NAME_WIDTH}}{row}")
    return "\n".join(lines)


def _summary(analysis: Analysis) -> str:
    whole = analysis.whole
    lines = [f"{whole.requests} requests, {whole.lost} not answered in time; largest losses:"]
    lines += [f"  {loss.count:8}  {loss.what}" for loss in analysis.losses(_LARGEST_LOSSES)]
    low, middle, high = (whole.estimate.quantile(part) for part in _QUANTILES)
    if middle is not None:
        lines.append(f"first event seen over expected: {low:.2f}, {middle:.2f}, {high:.2f}")
        lines.append("  (tenth, fiftieth and ninetieth hundredth)")
    if whole.read_tokens:
        part = whole.again_tokens / whole.read_tokens
        lines.append(f"{whole.read_tokens} tokens read, {part:.2f} of them of shared parts")
    if analysis.left_out:
        count = sum(analysis.left_out.values())
        lines.append(f"{count} lines were left out by {len(analysis.left_out)} routers")
    return "\n".join(lines)


def _table(name: str, rows: Iterable[tuple[str, Tally]]) -> str:
    lines = [f"{name:{_NAME_WIDTH}}" + "".join(f"{head:>{_WIDTH}}" for head in _HEAD)]
    for key, tally in rows:
        cells = "".join(f"{cell:>{_WIDTH}}" for cell in _cells(tally))
        lines.append(f"{key[:_NAME_WIDTH]:{_NAME_WIDTH}}{cells}")
    return "\n".join(lines)


def _cells(tally: Tally) -> list[str]:
    counts = [tally.requests, *(tally.fates[fate] for fate in Fate)]
    spreads = (tally.wait_s, tally.engine_s)
    times = [_time(spread, part) for spread in spreads for part in _QUANTILES[1:]]
    return [*map(str, counts), *times, str(tally.again_tokens), str(tally.moved)]


def _time(spread: Spread, part: float) -> str:
    value = spread.quantile(part)
    return "-" if value is None else f"{value:.3f} s"


def analysis_json(analysis: Analysis) -> bytes:
    """The same as JSON; times in seconds."""
    groups = {
        name: {key: _plain(tally) for key, tally in found.items()}
        for name, found in analysis.groups.items()
    }
    doc = {
        "whole": _plain(analysis.whole),
        "losses": [
            {"count": loss.count, "what": loss.what} for loss in analysis.losses(_LARGEST_LOSSES)
        ],
        "groups": groups,
        "windows": [{"from_s": at, **_plain(tally)} for at, tally in analysis.timeline()],
        "pools": [
            {"service": service, "second": at, **asdict(tally)}
            for service, at, tally in analysis.pool_seconds()
        ],
        "lines_left_out": dict(analysis.left_out),
    }
    return msgspec.json.format(msgspec.json.encode(doc), indent=2)


def _plain(tally: Tally) -> dict[str, object]:
    doc: dict[str, object] = {"requests": tally.requests}
    doc["fates"] = {fate.value: tally.fates[fate] for fate in Fate}
    doc["reasons"] = {f"{fate.value}: {why}": n for (fate, why), n in tally.reasons.items()}
    for name, spread in (
        ("wait_s", tally.wait_s),
        ("engine_s", tally.engine_s),
        ("seen_over_expected", tally.estimate),
    ):
        doc[name] = {f"p{round(100 * part)}": spread.quantile(part) for part in _QUANTILES}
    doc |= {
        "read_tokens": tally.read_tokens,
        "again_tokens": tally.again_tokens,
        "moved": tally.moved,
    }
    return doc
