"""Tests of what the fault injector records."""

import time
from unittest.mock import MagicMock

import pytest

from turmerictray.platform.soak import fault_injector
from turmerictray.platform.soak.fault_injector import FaultInjector
from turmerictray.platform.soak.record import SoakRecord
from turmerictray.platform.soak.schedule import FaultKind, ScheduledFault
from turmerictray.platform.standins.worker import Worker


class StubRouter:
    """A router that takes a while to be killed, and whose process may have ended by itself."""

    name, pid = "r1", 7

    def __init__(self, exit_code: int | None = None) -> None:
        self.exit_code = exit_code
        self.killed_at = 0.0

    def stop(self) -> None:
        self.killed_at = time.monotonic()
        time.sleep(0.02)

    def start(self) -> None:
        self.exit_code = None


def run(router: StubRouter, *kinds: FaultKind, workers: tuple[Worker, ...] = ()) -> SoakRecord:
    deployment = MagicMock(routers=[router], workers=list(workers))
    schedule = [ScheduledFault(0.1 * n, 0.0, kind, 0) for n, kind in enumerate(kinds)]
    injector = FaultInjector(deployment, schedule, SoakRecord())
    injector.start()
    injector.finish()
    return injector.record


@pytest.mark.parametrize("kind", [FaultKind.KILL, FaultKind.KILL_ALL])
def test_disturbance_begins_before_the_router_is_killed(kind):
    """Guards against requests that a kill cut before its record began."""
    router = StubRouter()
    record = run(router, kind)
    assert record.was_disturbed(router.killed_at, router.killed_at, "r1")


def test_disturbance_begins_with_the_crash_of_a_worker():
    """Guards against requests that a crash cut before somebody noticed it."""
    worker = Worker("w", "app").start()
    before = time.monotonic()
    worker.crash()
    assert before <= worker.crashed_at <= time.monotonic()


@pytest.mark.parametrize("kinds", [(), (FaultKind.KILL,), (FaultKind.PUBLISH, FaultKind.KILL)])
def test_process_that_ended_by_itself_is_recorded_once(kinds):
    """Guards against exits that the next fault or the end of the run hides."""
    assert run(StubRouter(exit_code=71), *kinds).unplanned_exits == [("r1", 71)]


def test_killed_process_did_not_end_by_itself():
    assert not run(StubRouter(), FaultKind.KILL).unplanned_exits


def test_workers_notices_are_injected(monkeypatch):
    """Guards against notices that workers never give."""
    monkeypatch.setattr(fault_injector, "_TELLING_S", 0.0)
    workers = [Worker("w", "app").start()]
    record = run(StubRouter(), FaultKind.SILENT, FaultKind.FULL, workers=workers)
    behaviour = workers[0].behaviour
    assert 1.0 < behaviour.silent_until - time.monotonic() < 2.0
    assert behaviour.rest_asked in {"1", "2", "3"}
    assert behaviour.is_full_for is None
    assert not record.disturbances
    record = run(StubRouter(), FaultKind.TELLS_LEAVING, workers=workers)
    assert behaviour.leaving_header == "Server-Leaving"
    assert record.retired_workers["w"].tells_in_answers
    assert workers[0].closing.is_set()
