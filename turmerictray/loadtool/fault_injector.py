"""Injection of a schedule of faults into a local fleet."""

import signal
from collections.abc import Callable

from turmerictray.core.logs import log_event
from turmerictray.loadtool.event_schedule import EventSchedule
from turmerictray.loadtool.faults import Fault, FaultKind
from turmerictray.loadtool.local import LocalFleet


class FaultInjector:
    """Injects a schedule of faults into a fleet from a background thread.

    Parameters
    ----------
    fleet : LocalFleet
        Started with ``partitionable`` set.
    faults : list of Fault

    Attributes
    ----------
    injected_counts : dict of str to int
        Faults injected so far, by kind.
    """

    def __init__(self, fleet: LocalFleet, faults: list[Fault]) -> None:
        self.fleet = fleet
        self.routers = [proc.name for proc in fleet.routers()]
        self._event_schedule = EventSchedule()
        self._unavailable: set[str] = set()
        self.injected_counts: dict[str, int] = {}
        for fault in faults:
            self._event_schedule.run_at(fault.at_s, lambda fault=fault: self._inject(fault))

    def start(self) -> None:
        """Start the schedule."""
        self._event_schedule.start()

    def finish(self) -> None:
        """Wait for the end of the schedule and undo all faults."""
        self._event_schedule.finish()
        self.fleet.restore_network()
        self.fleet.post_json("config", "/admin/mode", {"mode": "ok"})

    def _inject(self, fault: Fault) -> None:
        log_event("fault", kind=fault.kind.value, victim=fault.victim, for_s=round(fault.for_s, 2))
        self.injected_counts[fault.kind.value] = self.injected_counts.get(fault.kind.value, 0) + 1
        _ACTIONS[fault.kind](self, fault)

    def _available_router(self, fault: Fault) -> str | None:
        name = self.routers[fault.victim % len(self.routers)]
        return None if name in self._unavailable else name

    def _kill(self, fault: Fault) -> None:
        name = self._available_router(fault)
        if name is None:
            return
        self._unavailable.add(name)
        self.fleet.kill(name)
        self._event_schedule.run_at(fault.at_s + fault.for_s, lambda: self._restart(name))

    def _restart(self, name: str) -> None:
        self.fleet.restart(name)
        self._unavailable.discard(name)

    def _freeze(self, fault: Fault) -> None:
        name = self._available_router(fault)
        if name is None:
            return
        self._unavailable.add(name)
        self.fleet.signal(name, signal.SIGSTOP)
        self._event_schedule.run_at(fault.at_s + fault.for_s, lambda: self._resume(name))

    def _resume(self, name: str) -> None:
        self.fleet.signal(name, signal.SIGCONT)
        self._unavailable.discard(name)

    def _partition(self, fault: Fault) -> None:
        name = self.routers[fault.victim % len(self.routers)]
        remote_names = {*self.routers, "config", "instances"} - {name}
        self.fleet.partition({name}, remote_names)
        self._event_schedule.run_at(fault.at_s + fault.for_s, self.fleet.restore_network)

    def _degrade_config_service(self, fault: Fault) -> None:
        mode = "down" if fault.kind is FaultKind.CONFIG_DOWN else "stale"
        self.fleet.post_json("config", "/admin/mode", {"mode": mode})
        end_s = fault.at_s + fault.for_s
        self._event_schedule.run_at(
            end_s, lambda: self.fleet.post_json("config", "/admin/mode", {"mode": "ok"})
        )

    def _publish(self, fault: Fault) -> None:
        limits = {**self.fleet.config["limits"], "retry_after_s": 1.0 + fault.victim % 5}
        self.fleet.post_json("config", "/admin/publish", dict(self.fleet.config, limits=limits))

    def _publish_invalid(self, _fault: Fault) -> None:
        self.fleet.post_json("config", "/admin/publish", dict(self.fleet.config, teams="none"))

    def _inject_into_target(self, fault: Fault) -> None:
        role, mode, count = _TARGET_FAULTS[fault.kind]
        procs = [proc.name for proc in self.fleet.procs.values() if proc.kind == role]
        name = procs[fault.victim % len(procs)]
        self.fleet.post_json(name, "/admin/fault", {"mode": mode, "count": count})


_ACTIONS: dict[FaultKind, Callable[[FaultInjector, Fault], None]] = {
    FaultKind.KILL_ROUTER: FaultInjector._kill,
    FaultKind.FREEZE_ROUTER: FaultInjector._freeze,
    FaultKind.PARTITION_ROUTER: FaultInjector._partition,
    FaultKind.CONFIG_DOWN: FaultInjector._degrade_config_service,
    FaultKind.CONFIG_STALE: FaultInjector._degrade_config_service,
    FaultKind.PUBLISH: FaultInjector._publish,
    FaultKind.PUBLISH_INVALID: FaultInjector._publish_invalid,
    FaultKind.ENGINE_RESET: FaultInjector._inject_into_target,
    FaultKind.ENGINE_SLOW: FaultInjector._inject_into_target,
    FaultKind.ORDER_RESET: FaultInjector._inject_into_target,
    FaultKind.ORDER_NOT_RUN: FaultInjector._inject_into_target,
}

_TARGET_FAULTS = {
    FaultKind.ENGINE_RESET: ("engine", "reset", 4),
    FaultKind.ENGINE_SLOW: ("engine", "slow", 4),
    FaultKind.ORDER_RESET: ("service", "reset", 6),
    FaultKind.ORDER_NOT_RUN: ("service", "not_run", 6),
}
