"""The ``soak`` command: randomised faults on router processes, every promise checked."""

import sys
from pathlib import Path


def soak(
    seed: int = 1,
    seeds: int = 1,
    seconds: float = 20.0,
    routers: int = 3,
    callers: int = 12,
    workdir: Path | None = None,
) -> int:
    """Play seeded faults on local router processes under load and check every promise.

    Processes are killed, stopped, paused and told to reload; the store, the workers and the
    connections between all of them misbehave. Exits 1 and lists the broken promises if there are
    any; a run's logs stay in its folder.

    Parameters
    ----------
    seed
        The first seed; it draws the schedule.
    seeds
        How many are played, one after the other.
    seconds
        Length of each run's faults.
    routers
        Router processes, two or more.
    callers
        Callers in closed loops.
    workdir
        Where settings and logs go, in a folder for each seed; new temporary folders by default.
    """
    from turmerictray.platform.soak.run import SoakOptions, format_soak, run_soak

    if routers < 2 or min(seeds, seconds, callers) <= 0:
        print("error: at least 2 routers, 1 seed, 1 caller, and some seconds", file=sys.stderr)
        return 2
    broken = 0
    for number in range(seed, seed + seeds):
        folder = workdir / f"seed{number}" if workdir else None
        report = run_soak(number, SoakOptions(seconds, routers, callers=callers), folder)
        print(format_soak(report), flush=True)
        broken += bool(report.violations)
    return 1 if broken else 0
