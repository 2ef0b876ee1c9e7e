"""The ``soak`` command: injects random faults into router processes and checks invariants."""

import sys
from pathlib import Path


def soak(
    seed: int = 1,
    seeds: int = 1,
    seconds: float = 20.0,
    routers: int = 3,
    callers: int = 12,
    internal_faults: bool = True,
    notice_faults: bool = False,
    peer_faults: bool = False,
    workdir: Path | None = None,
) -> int:
    """Inject seeded faults into local router processes under load and check all invariants.

    Processes are killed, stopped, paused and reloaded; the store, the workers and the connections
    between them fail. Exits 1 and lists the violated invariants if there are any; the logs of a
    run stay in its folder.

    Parameters
    ----------
    seed
        First seed of the fault schedules.
    seeds
        Number of consecutive seeds to run, one after the other.
    seconds
        Duration of the fault injection of each run.
    routers
        Router processes, two or more.
    callers
        Number of callers; each sends its next request after the previous answer.
    internal_faults
        Whether to raise exceptions in actors and threads of routers, too.
    notice_faults
        Whether workers also tell in answers that they leave or are full, or fall silent.
    peer_faults
        Whether connections between routers, and of some routers to the store, fail as well.
    workdir
        Parent of the folders for settings and logs, one per seed; temporary folders by default.
    """
    from turmerictray.platform.soak.run import SoakOptions, format_soak, run_soak

    if routers < 2 or min(seeds, seconds, callers) <= 0:
        print(
            "error: needs at least 2 routers, 1 seed, 1 caller and a duration above 0 seconds",
            file=sys.stderr,
        )
        return 2
    options = SoakOptions(
        seconds,
        routers,
        callers=callers,
        internal_faults=internal_faults,
        notice_faults=notice_faults,
        peer_faults=peer_faults,
    )
    broken = 0
    for number in range(seed, seed + seeds):
        folder = workdir / f"seed{number}" if workdir else None
        report = run_soak(number, options, folder)
        print(format_soak(report), flush=True)
        broken += bool(report.violations)
    return 1 if broken else 0
