"""The ``simulate`` command: ways of placing prompts compared in virtual time."""

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
    """Play a load in virtual time, once for each way of placing prompts, and compare them.

    Routers are the product's own decisions; engines, callers and messages are modelled. Needs
    the ``plot`` extra.

    Parameters
    ----------
    load
        calm, burst, hot-subject, hot-team, shift, slow-engine or restart.
    per_s
        Requests a second.
    seconds
        Length of the load; its trouble lasts for the middle third.
    routers
        Routers, which tell each other of their work.
    engines
        Engines that they share.
    seed
        Draws the load.
    ways
        hash, model, model-no-recall and model-follows-memories, separated by commas.
    plot
        Write a PNG of the runs side by side here.
    """
    try:
        from turmerictray.simulation.loads import Load, Shape
        from turmerictray.simulation.measure import compare, format_results
        from turmerictray.simulation.ways import WAYS
    except ImportError as exc:
        return _refuse(f"{exc}; install turmerictray[plot]")
    known = {way.name: way for way in WAYS}
    chosen = ways.split(",")
    unknown = [name for name in chosen if name not in known]
    shapes = [shape.value for shape in Shape]
    if unknown:
        return _refuse(f"unknown way {unknown[0]!r}; one of {', '.join(known)}")
    if load not in shapes:
        return _refuse(f"unknown load {load!r}; one of {', '.join(shapes)}")
    if min(per_s, seconds, routers, engines) <= 0:
        return _refuse("per-s, seconds, routers and engines must be above 0")
    wanted = Load(Shape(load), per_s, seconds, seed)
    results = compare(wanted, routers, engines, tuple(known[name] for name in chosen))
    print(format_results(wanted, results))
    if plot is not None:
        from turmerictray.simulation.plots import plot_results

        plot_results(wanted, results, str(plot))
    return 0


def _refuse(reason: str) -> int:
    print(f"error: {reason}", file=sys.stderr)
    return _USAGE
