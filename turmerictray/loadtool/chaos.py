"""Randomised runs: mixed load on a local fleet while a seeded schedule of faults plays.

The routers run in assertion mode and stop loudly when an invariant breaks; the callers' history
is checked against what the targets executed.
"""

import random
import threading
import time
from collections import Counter
from dataclasses import dataclass, field

import urllib3

from turmerictray.core.logs import setup_logging
from turmerictray.loadtool.client import Outcome, call_stream
from turmerictray.loadtool.fault_player import FaultPlayer
from turmerictray.loadtool.faults import draw_faults
from turmerictray.loadtool.fleet_spec import FleetSpec
from turmerictray.loadtool.history import Violation, check_config_logs, check_history, check_orders
from turmerictray.loadtool.local import LocalFleet
from turmerictray.loadtool.orders import OrderCaller, OrderTrial

_TEAMS = {"depot": 2.0, "riders": 1.0, "kiosks": 1.0}
_CALLERS_PER_TEAM = 4
_ORDER_CALLERS = 4
_TOKENS = 15
_EXIT_WAIT_S = 30.0


@dataclass
class ChaosReport:
    """What a randomised run found.

    Attributes
    ----------
    workdir : str
        Where the logs are; the faults are in ``chaos.log``.
    faults : dict of str to int
        Faults played, by kind.
    streams, orders : int
        Streamed calls and orders made.
    whole, booked, duplicates : int
        Whole answers, orders answered 200, tries answered as duplicates.
    stream_errors : dict of str to int
        Streamed calls that were not whole, by error type.
    violations : list of Violation
        Every broken promise; empty for a good run.
    """

    seed: int
    workdir: str = ""
    faults: dict[str, int] = field(default_factory=dict)
    streams: int = 0
    whole: int = 0
    orders: int = 0
    booked: int = 0
    duplicates: int = 0
    stream_errors: dict[str, int] = field(default_factory=dict)
    violations: list[Violation] = field(default_factory=list)


class _Streams:
    """Closed-loop streaming callers, each call at a random router."""

    def __init__(self, urls: list[str], seed: int) -> None:
        self.urls = urls
        self.outcomes: list[Outcome] = []
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(team, seed * 100 + i), daemon=True)
            for i, team in enumerate(list(_TEAMS) * _CALLERS_PER_TEAM)
        ]

    def start(self) -> None:
        for thr in self._threads:
            thr.start()

    def stop(self) -> None:
        self._stop.set()
        for thr in self._threads:
            thr.join(60)

    def _run(self, team: str, seed: int) -> None:
        rng = random.Random(seed)
        http = urllib3.PoolManager(retries=False)
        while not self._stop.is_set():
            out = call_stream(http, rng.choice(self.urls), team, _TOKENS, timeout_s=15.0)
            self.outcomes.append(out)
            if out.status != 200:
                time.sleep(min(0.5, float(out.retry_after or 0.2)))


def run_chaos(seed: int, seconds: float, workdir: str | None = None) -> ChaosReport:
    """Play the schedule of ``seed`` for ``seconds`` under load and check the history.

    Parameters
    ----------
    seed : int
        Draws the faults and the callers' choices; the interleaving stays the machine's.
    seconds : float
    workdir : str or None
        Where settings and logs go; a new temporary folder by default.

    Returns
    -------
    ChaosReport
    """
    spec = FleetSpec(engines=3, services=2, routers=4, teams=_TEAMS, cuttable=True)
    fleet = LocalFleet(spec, workdir)
    setup_logging("chaos", "chaos", path=str(fleet.dir / "chaos.log"), stderr=False)
    fleet.start()
    try:
        for proc in fleet.routers():
            fleet.wait_vouching(proc)
        urls = [proc.url for proc in fleet.routers()]
        player = FaultPlayer(fleet, draw_faults(seed, seconds))
        streams = _Streams(urls, seed)
        callers = [
            OrderCaller(urls, "depot", f"order{i}", seed * 100 + i) for i in range(_ORDER_CALLERS)
        ]
        parts = [streams, *callers, player]
        for part in parts:
            part.start()
        player.finish()
        for part in parts[:-1]:
            part.stop()
        trials = [trial for caller in callers for trial in caller.trials]
        report = _summary(seed, player, streams, trials)
        report.violations = _check(fleet, streams.outcomes, trials)
        report.violations += _check_exits(fleet)
        return report
    finally:
        fleet.stop()


def _summary(
    seed: int, player: FaultPlayer, streams: _Streams, trials: list[OrderTrial]
) -> ChaosReport:
    answers = [answer for trial in trials for answer in trial.answers]
    return ChaosReport(
        seed,
        str(player.fleet.dir),
        player.played,
        len(streams.outcomes),
        sum(out.ok for out in streams.outcomes),
        len(trials),
        sum(answer.status == 200 for answer in answers),
        sum(answer.error == "duplicate" for answer in answers),
        Counter(out.error or f"status_{out.status}" for out in streams.outcomes if not out.ok),
    )


def _executions(fleet: LocalFleet, kind: str) -> dict[str, int]:
    total: dict[str, int] = {}
    for proc in fleet.procs.values():
        if proc.kind != kind:
            continue
        for key, count in fleet.get_json(proc.name, "/admin/stats")["executions"].items():
            total[key] = total.get(key, 0) + count
    return total


def _check(fleet: LocalFleet, outcomes: list[Outcome], trials: list[OrderTrial]) -> list[Violation]:
    ran = _executions(fleet, "engine")
    # A streamed call may be run again, so executions count here only as "did it run at all".
    streams = check_history(outcomes, {key: min(1, count) for key, count in ran.items()})
    streams = [bad for bad in streams if bad.rule != "own-whole"]
    streams += [
        Violation(out.req_id, "foreign-token", f"after {out.tokens}")
        for out in outcomes
        if out.foreign
    ]
    orders = check_orders(trials, _executions(fleet, "service"))
    return streams + orders + check_config_logs(fleet.logs())


def _check_exits(fleet: LocalFleet) -> list[Violation]:
    bad = []
    for proc in fleet.routers():
        code = proc.popen.poll()
        if code is None:
            proc.popen.terminate()
            code = proc.popen.wait(_EXIT_WAIT_S)
        if code != 0:
            bad.append(Violation(proc.name, "graceful-exit", f"exit status {code}"))
    return bad


def _counts(counts: dict[str, int]) -> str:
    return ", ".join(f"{name}={count}" for name, count in sorted(counts.items()))


def format_chaos(report: ChaosReport) -> str:
    """A short table of the run."""
    lines = [
        f"seed {report.seed}: {sum(report.faults.values())} faults ({_counts(report.faults)})",
        f"streams: {report.whole} whole of {report.streams} ({_counts(report.stream_errors)})",
        f"orders: {report.booked} booked of {report.orders}, {report.duplicates} duplicates",
        f"violations: {len(report.violations)}; logs in {report.workdir}",
    ]
    lines += [f"  {bad.rule}: {bad.req_id}: {bad.detail}" for bad in report.violations[:20]]
    return "\n".join(lines)
