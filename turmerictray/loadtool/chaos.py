"""Randomised fault-injection runs: mixed load on a local fleet under a seeded fault schedule.

The routers run in assertion mode: they stop with an error when an invariant is broken. The calls
that were made are checked against the executions that the targets counted.
"""

import random
import threading
import time
from collections import Counter
from dataclasses import dataclass, field

import urllib3

from turmerictray.core.logs import setup_logging
from turmerictray.loadtool.client import Outcome, call_stream
from turmerictray.loadtool.fault_injector import FaultInjector
from turmerictray.loadtool.faults import draw_faults
from turmerictray.loadtool.fleet_spec import FleetSpec
from turmerictray.loadtool.history import Violation, check_config_logs, check_history, check_orders
from turmerictray.loadtool.local import LocalFleet
from turmerictray.loadtool.orders import OrderCaller, OrderTrial

_TEAMS = {"depot": 2.0, "riders": 1.0, "kiosks": 1.0}
_CALLERS_PER_TEAM = 4
_ORDER_CALLERS = 4
_TOKENS_PER_STREAM = 15
_EXIT_TIMEOUT_S = 30.0


@dataclass
class ChaosReport:
    """Results of a randomised fault-injection run.

    Attributes
    ----------
    workdir : str
        Folder of the logs; ``chaos.log`` lists the faults.
    faults : dict of str to int
        Injected faults, by kind.
    streams, orders : int
        Number of streamed calls and of orders.
    whole, booked, duplicates : int
        Number of complete streamed answers, of order attempts answered with 200, and of attempts
        refused as duplicates.
    stream_errors : dict of str to int
        Number of incomplete streamed calls, by error type.
    violations : list of Violation
        All violated guarantees; empty when the run passed.
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


class _StreamCallers:
    """Closed-loop callers that send each streamed call to a random router."""

    def __init__(self, urls: list[str], seed: int) -> None:
        self.urls = urls
        self.outcomes: list[Outcome] = []
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(team, seed * 100 + i), daemon=True)
            for i, team in enumerate(list(_TEAMS) * _CALLERS_PER_TEAM)
        ]

    def start(self) -> None:
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join(60)

    def _run(self, team: str, seed: int) -> None:
        rng = random.Random(seed)
        http = urllib3.PoolManager(retries=False)
        while not self._stop.is_set():
            out = call_stream(http, rng.choice(self.urls), team, _TOKENS_PER_STREAM, timeout_s=15.0)
            self.outcomes.append(out)
            if out.status != 200:
                time.sleep(min(0.5, float(out.retry_after or 0.2)))


def run_chaos(seed: int, seconds: float, workdir: str | None = None) -> ChaosReport:
    """Run the fault schedule of ``seed`` for ``seconds`` under load and check the results.

    Parameters
    ----------
    seed : int
        Seed of the faults and of the callers' choices. Timing still varies between runs.
    seconds : float
    workdir : str or None
        Folder of settings and logs; a new temporary one by default.

    Returns
    -------
    ChaosReport
    """
    spec = FleetSpec(engines=3, services=2, routers=4, teams=_TEAMS, partitionable=True)
    fleet = LocalFleet(spec, workdir)
    setup_logging("chaos", "chaos", path=str(fleet.dir / "chaos.log"), stderr=False)
    fleet.start()
    try:
        for proc in fleet.routers():
            fleet.wait_vouching(proc)
        urls = [proc.url for proc in fleet.routers()]
        injector = FaultInjector(fleet, draw_faults(seed, seconds))
        streams = _StreamCallers(urls, seed)
        callers = [
            OrderCaller(urls, "depot", f"order{i}", seed * 100 + i) for i in range(_ORDER_CALLERS)
        ]
        activities = [streams, *callers, injector]
        for activity in activities:
            activity.start()
        injector.finish()
        for activity in activities[:-1]:
            activity.stop()
        trials = [trial for caller in callers for trial in caller.trials]
        report = _build_report(seed, injector, streams, trials)
        report.violations = _check_histories(fleet, streams.outcomes, trials)
        report.violations += _check_exits(fleet)
        return report
    finally:
        fleet.stop()


def _build_report(
    seed: int, injector: FaultInjector, streams: _StreamCallers, trials: list[OrderTrial]
) -> ChaosReport:
    answers = [answer for trial in trials for answer in trial.answers]
    return ChaosReport(
        seed,
        str(injector.fleet.dir),
        injector.injected_counts,
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


def _check_histories(
    fleet: LocalFleet, outcomes: list[Outcome], trials: list[OrderTrial]
) -> list[Violation]:
    engine_executions = _executions(fleet, "engine")
    # Streamed calls may be retried and so run more than once: only check whether they ran.
    streams = check_history(
        outcomes, {key: min(1, count) for key, count in engine_executions.items()}
    )
    streams = [violation for violation in streams if violation.rule != "own-whole"]
    streams += [
        Violation(out.req_id, "foreign-token", f"after {out.tokens}")
        for out in outcomes
        if out.foreign
    ]
    orders = check_orders(trials, _executions(fleet, "service"))
    return streams + orders + check_config_logs(fleet.logs())


def _check_exits(fleet: LocalFleet) -> list[Violation]:
    violations = []
    for proc in fleet.routers():
        code = proc.popen.poll()
        if code is None:
            proc.popen.terminate()
            code = proc.popen.wait(_EXIT_TIMEOUT_S)
        if code != 0:
            violations.append(Violation(proc.name, "graceful-exit", f"exit status {code}"))
    return violations


def _join_counts(counts: dict[str, int]) -> str:
    return ", ".join(f"{name}={count}" for name, count in sorted(counts.items()))


def format_chaos(report: ChaosReport) -> str:
    """Format the results of a run as a short table."""
    lines = [
        f"seed {report.seed}: {sum(report.faults.values())} faults ({_join_counts(report.faults)})",
        f"streams: {report.whole} whole of {report.streams} ({_join_counts(report.stream_errors)})",
        f"orders: {report.booked} booked of {report.orders}, {report.duplicates} duplicates",
        f"violations: {len(report.violations)}; logs in {report.workdir}",
    ]
    lines += [f"  {found.rule}: {found.req_id}: {found.detail}" for found in report.violations[:20]]
    return "\n".join(lines)
