"""One run of the soak."""

import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import urllib3

from turmerictray.core.logs import setup_logging
from turmerictray.loadtool.history import Violation, check_config_logs
from turmerictray.loadtool.relay import Network
from turmerictray.platform.soak import checks
from turmerictray.platform.soak.callers import SoakCaller
from turmerictray.platform.soak.player import FaultPlayer
from turmerictray.platform.soak.record import Record
from turmerictray.platform.soak.schedule import draw_later, draw_overlay, draw_schedule
from turmerictray.platform.standins.local import LocalDeployment

_EVENTS = 8
_WORK_S = 0.02
_HEALED_S = 4.0
"""After the last fault, in which every router is back, in force and serving."""

_SHOWN = 20


@dataclass(frozen=True)
class SoakSize:
    """How large a run is.

    Attributes
    ----------
    overlay : bool
        Floods, and workers that join in masses.
    later : bool
        Requests that end each worker that begins to run them, and a store that comes back from a
        copy.
    """

    seconds: float = 20.0
    routers: int = 3
    engines: int = 3
    apps: int = 3
    callers: int = 12
    overlay: bool = True
    later: bool = True


@dataclass
class SoakReport:
    """What a run found.

    Attributes
    ----------
    folder : Path
        Where the logs are; the faults are in ``soak.log``.
    faults, answers : Counter
        By kind, and by status (0: none).
    violations : list of Violation
        Every broken promise; empty for a good run.
    """

    seed: int
    folder: Path
    faults: Counter = field(default_factory=Counter)
    answers: Counter = field(default_factory=Counter)
    violations: list[Violation] = field(default_factory=list)


def run_soak(seed: int, size: SoakSize, folder: Path | None = None) -> SoakReport:
    """Play the schedule of ``seed`` under load and check every promise.

    Parameters
    ----------
    seed : int
        Draws the faults and the callers' choices; the interleaving stays the machine's.
    folder : Path or None
        For settings and logs; a new temporary folder by default.
    """
    folder = folder or Path(tempfile.mkdtemp(prefix="turmerictray-soak-"))
    folder.mkdir(parents=True, exist_ok=True)
    setup_logging("soak", "soak", path=str(folder / "soak.log"), stderr=False)
    deployment = LocalDeployment(folder, size.routers, size.apps, size.engines, network=Network())
    for worker in deployment.workers:
        worker.plan.events, worker.plan.work_s = _EVENTS, _WORK_S
    try:
        deployment.start()
        record = Record()
        player = _play(deployment, record, seed, size)
        violations = list(_check_healed(deployment, player.version))
        violations += _check_all(record, deployment, folder)
        answers = Counter(sent.answer.status for sent in record.sent if sent.left_at is None)
        return SoakReport(seed, folder, record.faults, answers, violations)
    finally:
        deployment.stop()


def _play(deployment: LocalDeployment, record: Record, seed: int, size: SoakSize) -> FaultPlayer:
    schedule = draw_schedule(seed, size.seconds)
    if size.overlay:
        schedule += draw_overlay(seed, size.seconds)
    if size.later:
        schedule += draw_later(seed, size.seconds)
    player = FaultPlayer(deployment, schedule, record)
    callers = [
        SoakCaller(deployment, record, seed * 1000 + number) for number in range(size.callers)
    ]
    for part in (player, *callers):
        part.start()
    player.finish()
    time.sleep(_HEALED_S)
    for caller in callers:
        caller.finish()
    return player


def _check_healed(deployment: LocalDeployment, version: int) -> list[Violation]:
    bad = []
    for router in deployment.routers:
        if not router.is_ready():
            bad.append(Violation(router.name, "recover", "not ready after all faults"))
            continue
        listed = set(deployment.store.store.keys("servers/"))
        status = urllib3.request("GET", f"{router.admin}/status", timeout=3, retries=False).json()
        if status["text_version"] != version:
            found = status["text_version"]
            bad.append(Violation(router.name, "in-force", f"{found} instead of {version}"))
        pools = status["services"].values()
        believed = {name.partition("@")[0] for pool in pools for name in pool["targets"]}
        if believed != listed:
            differ = sorted(believed ^ listed)
            bad.append(Violation(router.name, "targets", f"differ from the store's: {differ}"))
    return bad


def _check_all(record: Record, deployment: LocalDeployment, folder: Path) -> list[Violation]:
    workers = deployment.workers
    logs = [router.log_path for router in deployment.routers]
    return [
        *checks.check_answers(record, _EVENTS),
        *checks.check_runs(record, workers),
        *checks.check_times(record),
        *checks.check_floods(record),
        *checks.check_gone(record, workers),
        *checks.check_leaving(record, workers),
        *checks.check_stops(record),
        *checks.check_deadly(record, workers, [router.name for router in deployment.routers]),
        *check_config_logs(logs),
    ]


def format_soak(report: SoakReport) -> str:
    """A short table of the run."""
    total = sum(report.answers.values())
    lines = [
        f"seed {report.seed}: {sum(report.faults.values())} faults ({_counts(report.faults)})",
        f"answers: {report.answers[200]} of {total} were 200 ({_counts(report.answers)})",
        f"broken promises: {len(report.violations)}; logs in {report.folder}",
    ]
    lines += [f"  {bad.rule}: {bad.req_id}: {bad.detail}" for bad in report.violations[:_SHOWN]]
    return "\n".join(lines)


def _counts(counts: Counter) -> str:
    return ", ".join(f"{name}={count}" for name, count in sorted(counts.items()))
