"""The ``load`` command: sends a backlogged load of several teams to running routers."""

import sys
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from turmerictray.loadtool.experiment import TeamLoad


def load(
    router: list[str],
    engine: list[str],
    team: list[str],
    duration: float = 10.0,
    max_tokens: int = 32,
    seed: int = 1,
    plot: Path | None = None,
) -> int:
    """Run a backlogged load of several teams; report fairness gap, utilisation and control traffic.

    Parameters
    ----------
    router
        Router base URLs.
    engine
        Engine base URLs, queried for their utilisation.
    team
        ``name:weight:callers[:router,router...[:start]]``, for example ``depot:2:8:0`` or
        ``night:1:8:0,1:8`` for callers that start after 8 s.
    duration
        Duration of the measurement in seconds, after a warm-up of 2 s.
    max_tokens
        Tokens per answer.
    seed
        Seed of the callers' start jitter.
    plot
        Path of a PNG that shows the service received by each team over time.
    """
    from turmerictray.loadtool.experiment import Experiment, run_experiment
    from turmerictray.loadtool.report import format_results, plot_series

    teams = []
    for spec in team:
        parts = spec.split(":")
        try:
            teams.append(_team_load(parts, len(router)))
        except ValueError:
            print(
                f"error: team {spec!r}: want name:weight:callers[:routers[:start]] with router "
                f"numbers from 0 to {len(router) - 1}",
                file=sys.stderr,
            )
            return 2
    res = run_experiment(
        Experiment(router, engine, teams, duration, max_tokens=max_tokens, seed=seed)
    )
    print(format_results(res))
    if plot:
        plot_series(res, str(plot))
    return 0


def _team_load(parts: list[str], routers: int) -> "TeamLoad":
    from turmerictray.loadtool.experiment import TeamLoad

    name, weight, callers, *rest = parts
    idx = [int(part) for part in rest[0].split(",")] if rest else list(range(routers))
    if len(rest) > 2 or not all(0 <= num < routers for num in idx):
        raise ValueError(name)
    start_s = float(rest[1]) if len(rest) == 2 else 0.0
    return TeamLoad(name, float(weight), int(callers), idx, start_s)
