"""The ``analyse`` command: aggregate request outcomes from router logs."""

import sys
from collections.abc import Iterable, Iterator
from pathlib import Path

from turmerictray.analysis.records import parse_record, read_lines
from turmerictray.analysis.report import analysis_json, format_analysis
from turmerictray.analysis.tally import Analysis

_USAGE = 2


def analyse(logs: list[Path], json: bool = False, plot: Path | None = None, rows: int = 12) -> int:
    """Report from router logs which requests are not answered in time, and why.

    Counts request outcomes by route, team, zone, scheduler and time: in time, late (first event or
    pause), refused (immediately or after waiting), failed, or left by the caller. Also shows
    waiting times before the grant and at the engine, and tokens of shared prompt parts that were
    prefilled again.

    Parameters
    ----------
    logs
        Log files of routers; they are streamed and may be large.
    json
        Print JSON instead of tables.
    plot
        Path of a PNG that shows the results over time (needs the ``plot`` extra).
    rows
        Maximum number of rows per table; rows with the largest losses come first.
    """
    missing = [path for path in logs if not path.is_file()]
    if missing or rows < 1:
        reason = f"{missing[0]} is not a file" if missing else "rows must be 1 or more"
        print(f"error: {reason}", file=sys.stderr)
        return _USAGE
    analysis = Analysis()
    for line in _with_progress(logs):
        analysis.add(parse_record(line))
    if plot is not None:
        try:
            from turmerictray.analysis.plots import plot_analysis
        except ImportError as exc:
            print(f"error: {exc}; install turmerictray[plot]", file=sys.stderr)
            return _USAGE
        plot_analysis(analysis, str(plot))
    print(analysis_json(analysis).decode() if json else format_analysis(analysis, rows))
    return 0


def _with_progress(logs: Iterable[Path]) -> Iterator[str]:
    """Yield the lines of all logs, with a progress bar if stderr is a terminal."""
    from rich.console import Console
    from rich.progress import Progress

    paths = list(logs)
    total = sum(path.stat().st_size for path in paths)
    console = Console(stderr=True)
    with Progress(console=console, disable=not console.is_terminal, transient=True) as bar:
        task = bar.add_task("reading", total=total)
        for size, line in read_lines(paths):
            bar.advance(task, size)
            yield line
