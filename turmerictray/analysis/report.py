"""Formatting of an analysis as text tables and as JSON."""

from collections.abc import Iterable
from dataclasses import asdict

import msgspec

from turmerictray.analysis.records import RequestOutcome
from turmerictray.analysis.tally import Analysis, Histogram, Tally

_MAX_LOSSES = 3
_QUANTILES = (0.1, 0.5, 0.9)
_COLUMNS = (
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
_POOL_COLUMNS = ("sent", "pace_per_s", "ready", "idle", "waiting", "refused")
_NAME_WIDTH = 22
_COLUMN_WIDTH = 11


def format_analysis(analysis: Analysis, max_rows: int) -> str:
    """Format the largest losses and a table for each dimension and for time.

    Parameters
    ----------
    max_rows : int
        Maximum number of rows per table, ordered by descending number of requests that were not
        answered in time.
    """
    blocks = [_summary(analysis)]
    for name, groups in analysis.groups.items():
        rows = sorted(groups.items(), key=lambda row: row[1].not_in_time, reverse=True)[:max_rows]
        blocks.append(_table(name, rows))
    rows = [(f"{at:.0f} s", tally) for at, tally in analysis.timeline()]
    blocks.append(_table("window of 2 s from", rows))
    if analysis.pools:
        blocks.append(_pool_table(analysis))
    return "\n\n".join(blocks)


def _pool_table(analysis: Analysis) -> str:
    """Format dispatched tokens, unused capacity and refusals for each second."""
    lines = [
        f"{'pool, second':{_NAME_WIDTH}}"
        + "".join(f"{head:>{_COLUMN_WIDTH}}" for head in _POOL_COLUMNS)
    ]
    for service, at, tally in analysis.pool_timeline():
        cells = (getattr(tally, name) for name in _POOL_COLUMNS)
        row = "".join(f"{round(cell):>{_COLUMN_WIDTH}}" for cell in cells)
        name = f"{service}, {at} s"
        lines.append(f"{name[:_NAME_WIDTH]:{_NAME_WIDTH}}{row}")
    return "\n".join(lines)


def _summary(analysis: Analysis) -> str:
    overall = analysis.overall
    lines = [
        f"{overall.requests} requests, {overall.not_in_time} not answered in time; largest losses:"
    ]
    lines += [f"  {loss.count:8}  {loss.what}" for loss in analysis.losses(_MAX_LOSSES)]
    low, middle, high = (overall.estimate.quantile(fraction) for fraction in _QUANTILES)
    if middle is not None:
        lines.append(
            f"time to first event, observed / expected: {low:.2f}, {middle:.2f}, {high:.2f}"
        )
        lines.append("  (percentiles 10, 50 and 90)")
    if overall.read_tokens:
        fraction = overall.again_tokens / overall.read_tokens
        lines.append(
            f"{overall.read_tokens} prompt tokens processed, "
            f"{fraction:.2f} of them in shared prompt parts"
        )
    if analysis.omitted_lines:
        count = sum(analysis.omitted_lines.values())
        lines.append(f"{count} lines were omitted by {len(analysis.omitted_lines)} routers")
    return "\n".join(lines)


def _table(name: str, rows: Iterable[tuple[str, Tally]]) -> str:
    lines = [f"{name:{_NAME_WIDTH}}" + "".join(f"{head:>{_COLUMN_WIDTH}}" for head in _COLUMNS)]
    for key, tally in rows:
        cells = "".join(f"{cell:>{_COLUMN_WIDTH}}" for cell in _cells(tally))
        lines.append(f"{key[:_NAME_WIDTH]:{_NAME_WIDTH}}{cells}")
    return "\n".join(lines)


def _cells(tally: Tally) -> list[str]:
    counts = [tally.requests, *(tally.fates[outcome] for outcome in RequestOutcome)]
    histograms = (tally.wait_s, tally.engine_s)
    times = [_time(hist, fraction) for hist in histograms for fraction in _QUANTILES[1:]]
    return [*map(str, counts), *times, str(tally.again_tokens), str(tally.moved)]


def _time(histogram: Histogram, fraction: float) -> str:
    value = histogram.quantile(fraction)
    return "-" if value is None else f"{value:.3f} s"


def analysis_json(analysis: Analysis) -> bytes:
    """Return the analysis as JSON; times are in seconds."""
    groups = {
        name: {key: _tally_dict(tally) for key, tally in found.items()}
        for name, found in analysis.groups.items()
    }
    doc = {
        "whole": _tally_dict(analysis.overall),
        "losses": [
            {"count": loss.count, "what": loss.what} for loss in analysis.losses(_MAX_LOSSES)
        ],
        "groups": groups,
        "windows": [{"from_s": at, **_tally_dict(tally)} for at, tally in analysis.timeline()],
        "pools": [
            {"service": service, "second": at, **asdict(tally)}
            for service, at, tally in analysis.pool_timeline()
        ],
        "lines_left_out": dict(analysis.omitted_lines),
    }
    return msgspec.json.format(msgspec.json.encode(doc), indent=2)


def _tally_dict(tally: Tally) -> dict[str, object]:
    doc: dict[str, object] = {"requests": tally.requests}
    doc["fates"] = {outcome.value: tally.fates[outcome] for outcome in RequestOutcome}
    doc["reasons"] = {f"{outcome.value}: {why}": n for (outcome, why), n in tally.reasons.items()}
    for name, histogram in (
        ("wait_s", tally.wait_s),
        ("engine_s", tally.engine_s),
        ("seen_over_expected", tally.estimate),
    ):
        doc[name] = {
            f"p{round(100 * fraction)}": histogram.quantile(fraction) for fraction in _QUANTILES
        }
    doc |= {
        "read_tokens": tally.read_tokens,
        "again_tokens": tally.again_tokens,
        "moved": tally.moved,
    }
    return doc
