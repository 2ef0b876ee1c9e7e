"""The ``turmerictray`` command-line tool.

Commands: ``serve`` (run a router), ``standin`` (run a stand-in), ``config check``, ``status``,
``drain``, ``up`` (a local deployment to try by hand), ``explain`` (the story of a request),
``load`` (the load and experiment tool), ``simulate`` (ways of deciding compared in virtual time),
``chaos`` and ``soak`` (randomised faults), ``flood`` (one team's requests at one router),
``analyse`` (where requests are lost), ``bench`` (the capacity bench), ``timeline`` and ``demo``.
"""

import json
import sys
import tempfile
from pathlib import Path
from typing import Literal

import cyclopts
import urllib3

from turmerictray.cli.analyse import analyse
from turmerictray.cli.checks import check
from turmerictray.cli.load import load
from turmerictray.cli.simulate import simulate
from turmerictray.cli.soak import soak

app = cyclopts.App(name="turmerictray", help="A router fleet that shares model capacity fairly.")
config_app = cyclopts.App(name="config", help="Check configuration texts and settings files.")
app.command(config_app)
config_app.command(check)
app.command(load)
app.command(analyse)
app.command(simulate)
app.command(soak)


@app.command
def serve(settings: Path) -> int:
    """Run a router daemon in the foreground until SIGTERM.

    Parameters
    ----------
    settings
        The router's settings file (JSON).
    """
    from turmerictray.router.daemon import run_router

    return run_router(str(settings))


@app.command
def standin(kind: Literal["engine", "service", "config", "instances"], settings: Path) -> int:
    """Run a stand-in of the platform in the foreground until SIGTERM.

    Parameters
    ----------
    kind
        Which stand-in.
    settings
        Its settings file (JSON).
    """
    from turmerictray.standins.run import run_standin

    return run_standin(kind, str(settings))


def _http_json(method: str, url: str) -> int:
    try:
        resp = urllib3.request(method, url, timeout=5.0, retries=False)
    except urllib3.exceptions.HTTPError as exc:
        print(f"error: {url}: {exc}", file=sys.stderr)
        return 1
    try:
        print(json.dumps(json.loads(resp.data), indent=2))
    except ValueError:
        print(resp.data.decode(errors="replace"))
    return 0 if resp.status < 400 else 1


@app.command
def status(router: str = "http://127.0.0.1:8080") -> int:
    """Print a router's state: configuration version, queues, targets, teams, peers.

    Parameters
    ----------
    router
        The router's base URL.
    """
    return _http_json("GET", router.rstrip("/") + "/status")


@app.command
def drain(router: str = "http://127.0.0.1:8080") -> int:
    """Start a graceful shutdown of a router: it finishes accepted requests, then exits 0.

    Parameters
    ----------
    router
        The router's base URL.
    """
    return _http_json("POST", router.rstrip("/") + "/admin/drain")


@app.command
def timeline(*logs: Path) -> int:
    """Merge the logs of all processes into one time line ordered by event time.

    Parameters
    ----------
    logs
        Log files of routers and stand-ins.
    """
    from turmerictray.cli.timeline import merge_logs

    for line in merge_logs(logs):
        print(line)
    return 0


@app.command
def demo(routers: int = 2, engines: int = 2, duration: float = 8.0, seed: int = 1) -> int:
    """Run the embedded default: stand-ins and routers on loopback, a short mixed load.

    Parameters
    ----------
    routers
        Routers to start (two or more).
    engines
        Engine stand-ins to start.
    duration
        Measured seconds of load.
    seed
        Seed of the load.
    """
    from turmerictray.cli.demo import run_demo

    run_demo(routers, engines, duration, seed)
    return 0


@app.command
def up(routers: int = 2, engines: int = 2, workdir: Path | None = None) -> int:
    """Keep a small deployment on loopback up until interrupted; prints its addresses.

    Parameters
    ----------
    routers
        Router processes to start.
    engines
        Engine stand-ins to start, beside two plain workers.
    workdir
        Where settings and logs go; a new temporary folder by default.
    """
    from turmerictray.platform.standins.up import run_up

    return run_up(routers, engines, workdir)


@app.command
def explain(request_id: str, logs: list[Path]) -> int:
    """Tell what happened to a request, from the logs of all processes.

    Parameters
    ----------
    request_id
        The id that its caller sent.
    logs
        Log files of the routers that may have seen it.

    Exits 1 when no line mentions it.
    """
    from turmerictray.cli.explain import explain as tell
    from turmerictray.cli.explain import is_mentioned

    try:
        for line in tell(request_id, logs):
            print(line)
        return 0 if is_mentioned(request_id, logs) else 1
    except OSError as exc:
        print(f"error: {exc.filename}: {exc.strerror}", file=sys.stderr)
        return 1


@app.command
def chaos(seed: int = 1, seconds: float = 20.0, workdir: Path | None = None) -> int:
    """Play a seeded schedule of faults on a local fleet under load and check every promise.

    Kills, freezes and cuts routers, takes the configuration service down or stale, publishes
    valid and invalid texts, and breaks answers, while teams stream and book orders. Exits 1 and
    lists the broken promises if there are any.

    Parameters
    ----------
    seed
        Draws the schedule.
    seconds
        Length of the run.
    workdir
        Where settings and logs go; a new temporary folder by default.
    """
    from turmerictray.loadtool.chaos import format_chaos, run_chaos

    report = run_chaos(seed, seconds, str(workdir) if workdir else None)
    print(format_chaos(report))
    return 1 if report.violations else 0


@app.command
def flood(rate: float = 900.0, seconds: float = 120.0, workdir: Path | None = None) -> int:
    """Flood one router with one team's requests and tell what callers and its processor see.

    Parameters
    ----------
    rate
        Requests a second, each on a connection of its own.
    seconds
        How long they come.
    workdir
        Where settings and logs go; a new temporary folder by default.
    """
    from turmerictray.platform.standins.flood import flood_one_router, format_flood

    if min(rate, seconds) <= 0:
        print("error: the rate and the seconds must be above 0", file=sys.stderr)
        return 2
    folder = workdir or Path(tempfile.mkdtemp(prefix="flood-"))
    folder.mkdir(parents=True, exist_ok=True)
    print(format_flood(flood_one_router(folder, rate, seconds)))
    return 0


@app.command
def bench(seconds: float = 5.0, out: Path = Path("bench.json"), plot: Path | None = None) -> int:
    """Measure the slopes of a router's costs on small stand-ins (see docs/CAPACITY.md).

    Parameters
    ----------
    seconds
        Length of each timed measurement.
    out
        Where the results go, as JSON.
    plot
        Write a PNG of control bytes/s against fleet size here.
    """
    from turmerictray.loadtool.bench import format_bench, run_bench, save_bench
    from turmerictray.loadtool.report import plot_control

    res = run_bench(seconds)
    print(format_bench(res))
    save_bench(res, str(out))
    if plot:
        plot_control(res, str(plot))
    return 0


def main() -> None:
    """Entry point of ``turmerictray``."""
    result = app()
    sys.exit(result if isinstance(result, int) else 0)


if __name__ == "__main__":
    main()
