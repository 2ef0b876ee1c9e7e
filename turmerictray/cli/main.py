"""The ``turmerictray`` command-line tool.

Commands: ``serve`` (run a router), ``standin`` (run a stand-in), ``config check``, ``status``,
``drain``, ``up`` (a local deployment for manual tests), ``explain`` (why a request ended as it
did), ``load`` (load generator and fairness experiment), ``simulate`` (placement strategies in
virtual time), ``chaos`` and ``soak`` (random fault injection), ``flood`` (overload of one router by
one team), ``analyse`` (late and failed requests), ``bench`` (capacity benchmark), ``timeline``
(merged logs) and ``demo``.
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
config_app = cyclopts.App(name="config", help="Check configuration and settings files.")
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
    """Run a stand-in for a platform component in the foreground until SIGTERM.

    Parameters
    ----------
    kind
        Component to run.
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
    """Print the state of a router: configuration version, queues, targets, teams, peers.

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
    """Merge the logs of several processes, ordered by event time.

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
    """Run stand-ins and routers on loopback under a short mixed load and print the results.

    Parameters
    ----------
    routers
        Number of routers to start, two or more.
    engines
        Number of engine stand-ins to start.
    duration
        Duration of the measured load in seconds.
    seed
        Seed of the load.
    """
    from turmerictray.cli.demo import run_demo

    run_demo(routers, engines, duration, seed)
    return 0


@app.command
def up(routers: int = 2, engines: int = 2, workdir: Path | None = None) -> int:
    """Run a small local deployment until interrupted and print its addresses.

    Parameters
    ----------
    routers
        Number of router processes to start.
    engines
        Number of engine stand-ins to start, in addition to two plain workers.
    workdir
        Folder for settings and logs; a new temporary folder by default.
    """
    from turmerictray.platform.standins.up import run_up

    return run_up(routers, engines, workdir)


@app.command
def explain(request_id: str, logs: list[Path]) -> int:
    """Explain the outcome of a request from the logs of all processes.

    Parameters
    ----------
    request_id
        Request id sent by the caller.
    logs
        Log files of the routers that may have handled the request.

    Exits 1 if no log line mentions the request.
    """
    from turmerictray.cli.explain import explain as explain_request
    from turmerictray.cli.explain import is_mentioned

    try:
        for line in explain_request(request_id, logs):
            print(line)
        return 0 if is_mentioned(request_id, logs) else 1
    except OSError as exc:
        print(f"error: {exc.filename}: {exc.strerror}", file=sys.stderr)
        return 1


@app.command
def chaos(seed: int = 1, seconds: float = 20.0, workdir: Path | None = None) -> int:
    """Inject a seeded schedule of faults into a local fleet under load and check all invariants.

    Kills, freezes and partitions routers, stops the configuration service or lets it serve stale
    data, publishes valid and invalid configurations, and interrupts answers, while teams send
    streaming requests and non-idempotent orders. Exits 1 and lists the violated invariants if
    there are any.

    Parameters
    ----------
    seed
        Seed of the fault schedule.
    seconds
        Duration of the run.
    workdir
        Folder for settings and logs; a new temporary folder by default.
    """
    from turmerictray.loadtool.chaos import format_chaos, run_chaos

    report = run_chaos(seed, seconds, str(workdir) if workdir else None)
    print(format_chaos(report))
    return 1 if report.violations else 0


@app.command
def flood(rate: float = 900.0, seconds: float = 120.0, workdir: Path | None = None) -> int:
    """Flood one router with the requests of one team; report results and processor time.

    Parameters
    ----------
    rate
        Requests per second, each on a new connection.
    seconds
        Duration of the flood.
    workdir
        Folder for settings and logs; a new temporary folder by default.
    """
    from turmerictray.platform.standins.flood import flood_one_router, format_flood

    if min(rate, seconds) <= 0:
        print("error: rate and seconds must be greater than 0", file=sys.stderr)
        return 2
    folder = workdir or Path(tempfile.mkdtemp(prefix="flood-"))
    folder.mkdir(parents=True, exist_ok=True)
    print(format_flood(flood_one_router(folder, rate, seconds)))
    return 0


@app.command
def decisions() -> int:
    """Measure the processor time of a router's decisions, by the number of targets."""
    from turmerictray.simulation.decision_cost import format_decision_costs, measure_decision_costs

    print(format_decision_costs(measure_decision_costs()))
    return 0


@app.command
def bench(seconds: float = 5.0, out: Path = Path("bench.json"), plot: Path | None = None) -> int:
    """Measure how the costs of a router scale, on small stand-ins (see docs/CAPACITY.md).

    Parameters
    ----------
    seconds
        Duration of each timed measurement.
    out
        Path of the results, as JSON.
    plot
        Path of a PNG that shows control traffic in bytes/s over fleet size.
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
