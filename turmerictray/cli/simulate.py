"""The ``simulate`` command: compares placement strategies in virtual time."""

import sys
from pathlib import Path

_USAGE = 2


def simulate(
    load: str = "calm",
    per_s: float = 60.0,
    seconds: float = 15.0,
    routers: int = 8,
    engines: int = 9,
    seed: int = 1,
    ways: str = "hash,model",
    plot: Path | None = None,
) -> int:
    """Simulate a load with several placement strategies and compare the results.

    Routers use the product's decision code; engines, callers and messages are simulated in virtual
    time. Needs the ``plot`` extra.

    Parameters
    ----------
    load
        calm, burst, hot-subject, hot-team, shift, slow-engine or restart.
    per_s
        Requests per second.
    seconds
        Duration of the load; the disturbance lasts for the middle third.
    routers
        Number of routers; they exchange load updates.
    engines
        Number of engines shared by the routers.
    seed
        Seed of the generated load.
    ways
        Comma-separated placement strategies: hash, model, model-no-recall (restarted routers do
        not query the engines for cached parts) and model-follows-memories (routers regularly
        receive the contents of the engines' caches).
    plot
        Path of a PNG that compares the runs.
    """
    try:
        from turmerictray.simulation.loads import Load, Scenario
        from turmerictray.simulation.measure import compare_strategies, format_results
        from turmerictray.simulation.strategies import STRATEGIES
    except ImportError as exc:
        return _refuse(f"{exc}; install turmerictray[plot]")
    known = {strategy.name: strategy for strategy in STRATEGIES}
    chosen = ways.split(",")
    unknown = [name for name in chosen if name not in known]
    scenarios = [scenario.value for scenario in Scenario]
    if unknown:
        return _refuse(f"unknown strategy {unknown[0]!r}; one of {', '.join(known)}")
    if load not in scenarios:
        return _refuse(f"unknown load {load!r}; one of {', '.join(scenarios)}")
    if min(per_s, seconds, routers, engines) <= 0:
        return _refuse("per-s, seconds, routers and engines must be greater than 0")
    selected = Load(Scenario(load), per_s, seconds, seed)
    results = compare_strategies(selected, routers, engines, tuple(known[name] for name in chosen))
    print(format_results(selected, results))
    if plot is not None:
        from turmerictray.simulation.plots import plot_results

        plot_results(selected, results, str(plot))
    return 0


def _refuse(reason: str) -> int:
    print(f"error: {reason}", file=sys.stderr)
    return _USAGE
