"""A run of the soak test."""

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
from turmerictray.platform.soak.config_probe import ConfigProbe, check_configs_in_time
from turmerictray.platform.soak.crashing_requests import CRASHING_PARTS
from turmerictray.platform.soak.fault_injector import FaultInjector
from turmerictray.platform.soak.notice_checks import check_leaving_notices, check_rests
from turmerictray.platform.soak.record import VERSIONS, ZONES, SoakRecord
from turmerictray.platform.soak.schedule import (
    draw_crashes_and_restores,
    draw_floods_and_joins,
    draw_internal_faults,
    draw_notice_faults,
    draw_peer_faults,
    draw_prompt_faults,
    draw_schedule,
    draw_zone_faults,
)
from turmerictray.platform.standins.local import LocalDeployment

_EVENTS_PER_STREAM = 8
_SERVICE_TIME_S = 0.02
_RECOVERY_S = 4.0
"""Time after the last fault within which every router must serve with the newest configuration."""

_MAX_SHOWN = 20
"""Maximum number of violations that :func:`format_soak` lists."""


@dataclass(frozen=True)
class SoakOptions:
    """Size of a run and kinds of faults.

    Attributes
    ----------
    seconds : float
        Duration of the faults.
    routers, engines, apps, callers : int
        Numbers of routers, of engines, of workers of the plain service and of callers.
    base_faults : bool
        Whether to inject the faults of the base schedule.
    floods_and_joins : bool
        Whether to add floods and simultaneous joins of many workers.
    crashes_and_restores : bool
        Whether to add requests that crash workers and restores of the store from a backup.
    zone_faults : bool
        Whether to add evacuations and cold engines of whole zones.
    prompt_faults : bool
        Whether to add prompts with a part that crashes workers.
    internal_faults : bool
        Whether to add exceptions in actors and threads of routers.
    notice_faults : bool
        Whether to add workers that tell in answers that they leave or are full, or fall silent.
    peer_faults : bool
        Whether to add faults of the connections between routers and of some to the store, and
        changes beside them.
    """

    seconds: float = 20.0
    routers: int = 3
    engines: int = 3
    apps: int = 3
    callers: int = 12
    base_faults: bool = True
    floods_and_joins: bool = True
    crashes_and_restores: bool = True
    zone_faults: bool = True
    prompt_faults: bool = True
    internal_faults: bool = True
    notice_faults: bool = False
    peer_faults: bool = False


@dataclass
class SoakReport:
    """Result of a run.

    Attributes
    ----------
    folder : Path
        Folder with the logs; ``soak.log`` lists the faults.
    fault_counts, status_counts : Counter
        Number of injected faults by kind, and of answers by status (0 for no answer).
    violations : list of Violation
        Violated guarantees.
    taken_up : Counter
        Number of requests that took up a broken stream, by status.
    sound_counts : tuple of int
        Number of sound prompts that were compared, before and beside those with a crashing part.
    """

    seed: int
    folder: Path
    fault_counts: Counter = field(default_factory=Counter)
    status_counts: Counter = field(default_factory=Counter)
    violations: list[Violation] = field(default_factory=list)
    taken_up: Counter = field(default_factory=Counter)
    sound_counts: tuple[int, int] = (0, 0)


def run_soak(seed: int, options: SoakOptions, folder: Path | None = None) -> SoakReport:
    """Inject the faults of a seed under load and check every guarantee.

    Parameters
    ----------
    seed : int
        Seed of the faults and of the callers' random choices. Timing is not reproducible.
    options : SoakOptions
    folder : Path or None
        Folder for settings and logs; a new temporary folder by default.
    """
    folder = folder or Path(tempfile.mkdtemp(prefix="turmerictray-soak-"))
    folder.mkdir(parents=True, exist_ok=True)
    setup_logging("soak", "soak", path=str(folder / "soak.log"), stderr=False)
    deployment = LocalDeployment(
        folder,
        options.routers,
        options.apps,
        options.engines,
        network=Network(),
        fails=options.internal_faults,
        relays_peers=options.peer_faults,
    )
    for number, worker in enumerate(deployment.workers):
        worker.zone = ZONES[number % len(ZONES)]
        worker.version = VERSIONS[number // len(ZONES) % len(VERSIONS)]
        worker.behaviour.event_count, worker.behaviour.service_time_s = (
            _EVENTS_PER_STREAM,
            _SERVICE_TIME_S,
        )
        worker.behaviour.crashing_parts = frozenset(CRASHING_PARTS)
    # The close of its connection ends each of its streams.
    deployment.of_service("llm")[0].behaviour.is_chunked = False
    try:
        deployment.start()
        record = SoakRecord()
        injector = _run_faults(deployment, record, seed, options)
        violations = list(_check_recovery(deployment, injector.config_version))
        violations += _check_all(record, deployment, folder)
        answers = Counter(
            sent.answer.status for sent in record.requests if sent.disconnected_at is None
        )
        taken_up = Counter(sent.answer.status for sent in record.requests if sent.resumes)
        before, after = checks.sound_requests(record, deployment.workers)
        return SoakReport(
            seed,
            folder,
            record.fault_counts,
            answers,
            violations,
            taken_up,
            (len(before), len(after)),
        )
    finally:
        deployment.stop()


def _run_faults(
    deployment: LocalDeployment, record: SoakRecord, seed: int, options: SoakOptions
) -> FaultInjector:
    schedule = draw_schedule(seed, options.seconds) if options.base_faults else []
    if options.floods_and_joins:
        schedule += draw_floods_and_joins(seed, options.seconds)
    if options.crashes_and_restores:
        schedule += draw_crashes_and_restores(seed, options.seconds)
    if options.zone_faults:
        schedule += draw_zone_faults(seed, options.seconds)
    if options.prompt_faults:
        schedule += draw_prompt_faults(seed, options.seconds)
    if options.internal_faults:
        schedule += draw_internal_faults(seed, options.seconds)
    if options.notice_faults:
        schedule += draw_notice_faults(seed, options.seconds)
    if options.peer_faults:
        schedule += draw_peer_faults(seed, options.seconds)
    injector = FaultInjector(deployment, schedule, record)
    callers = [
        SoakCaller(deployment, record, seed * 1000 + number) for number in range(options.callers)
    ]
    runners = [*callers, ConfigProbe(deployment, record)]
    for runner in (injector, *runners):
        runner.start()
    injector.finish()
    time.sleep(_RECOVERY_S)
    for runner in runners:
        runner.finish()
    return injector


def _check_recovery(deployment: LocalDeployment, config_version: int) -> list[Violation]:
    violations = []
    for router in deployment.routers:
        if not router.is_ready():
            violations.append(Violation(router.name, "recover", "not ready after the last fault"))
            continue
        stored = set(deployment.store.store.keys("servers/"))
        status = urllib3.request(
            "GET", f"{router.admin_url}/status", timeout=3, retries=False
        ).json()
        if status["text_version"] != config_version:
            found = status["text_version"]
            violations.append(
                Violation(router.name, "in-force", f"version {found} instead of {config_version}")
            )
        if status["evacuated_zones"]:
            detail = f"still evacuated: {status['evacuated_zones']}"
            violations.append(Violation(router.name, "evacuated", detail))
        pools = status["services"].values()
        known = {name.partition("@")[0] for pool in pools for name in pool["targets"]}
        if known != stored:
            difference = sorted(known ^ stored)
            violations.append(
                Violation(router.name, "targets", f"difference to the store: {difference}")
            )
    return violations


def _check_all(record: SoakRecord, deployment: LocalDeployment, folder: Path) -> list[Violation]:
    workers = deployment.workers
    logs = [router.log_path for router in deployment.routers]
    return [
        *checks.check_answers(record, _EVENTS_PER_STREAM),
        *checks.check_software_versions(record),
        *checks.check_executions(record, workers),
        *checks.check_answer_times(record),
        *checks.check_floods(record),
        *checks.check_disconnected_callers(record, workers),
        *checks.check_leaving_workers(record, workers),
        *check_leaving_notices(record, workers),
        *check_rests(record, workers),
        *checks.check_evacuated_zones(record, workers),
        *checks.check_cold_workers(workers),
        *checks.check_planned_stops(record),
        *checks.check_unplanned_exits(record),
        *checks.check_internal_faults(record),
        *checks.check_crashing_requests(
            record, workers, [router.name for router in deployment.routers]
        ),
        *checks.check_crashing_parts(
            record, workers, [router.name for router in deployment.routers]
        ),
        *checks.check_sound_requests(record, workers),
        *check_configs_in_time(record),
        *check_config_logs(logs),
    ]


def format_soak(report: SoakReport) -> str:
    """Format a report as a few lines of text."""
    total = sum(report.status_counts.values())
    lines = [
        f"seed {report.seed}: {sum(report.fault_counts.values())} faults "
        f"({_format_counts(report.fault_counts)})",
        f"answers: {report.status_counts[200]} of {total} were 200 "
        f"({_format_counts(report.status_counts)})",
        f"streams taken up: {sum(report.taken_up.values())} ({_format_counts(report.taken_up)})",
        f"violated guarantees: {len(report.violations)}; logs in {report.folder}",
    ]
    lines += [
        f"  {found.rule}: {found.req_id}: {found.detail}"
        for found in report.violations[:_MAX_SHOWN]
    ]
    return "\n".join(lines)


def _format_counts(counts: Counter) -> str:
    return ", ".join(f"{name}={count}" for name, count in sorted(counts.items()))
