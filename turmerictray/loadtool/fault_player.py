"""Playing a schedule of faults on a local fleet."""

import signal
from collections.abc import Callable

from turmerictray.core.logs import log_event
from turmerictray.loadtool.agenda import Agenda
from turmerictray.loadtool.faults import Fault, FaultKind
from turmerictray.loadtool.local import LocalFleet


class FaultPlayer:
    """Plays a schedule of faults on a fleet, in its own thread.

    Parameters
    ----------
    fleet : LocalFleet
        With ``cuttable`` links.
    faults : list of Fault
    """

    def __init__(self, fleet: LocalFleet, faults: list[Fault]) -> None:
        self.fleet = fleet
        self.routers = [proc.name for proc in fleet.routers()]
        self._agenda = Agenda()
        self._down: set[str] = set()
        self.played: dict[str, int] = {}
        for fault in faults:
            self._agenda.at(fault.at_s, lambda fault=fault: self._play(fault))

    def start(self) -> None:
        """Begin with the schedule."""
        self._agenda.start()

    def finish(self) -> None:
        """Wait for the schedule's end, with every fault undone."""
        self._agenda.finish()
        self.fleet.heal()
        self.fleet.post_json("config", "/admin/mode", {"mode": "ok"})

    def _play(self, fault: Fault) -> None:
        log_event("fault", kind=fault.kind.value, victim=fault.victim, for_s=round(fault.for_s, 2))
        self.played[fault.kind.value] = self.played.get(fault.kind.value, 0) + 1
        _ACTIONS[fault.kind](self, fault)

    def _router(self, fault: Fault) -> str | None:
        name = self.routers[fault.victim % len(self.routers)]
        return None if name in self._down else name

    def _kill(self, fault: Fault) -> None:
        name = self._router(fault)
        if name is None:
            return
        self._down.add(name)
        self.fleet.kill(name)
        self._agenda.at(fault.at_s + fault.for_s, lambda: self._restart(name))

    def _restart(self, name: str) -> None:
        self.fleet.restart(name)
        self._down.discard(name)

    def _freeze(self, fault: Fault) -> None:
        name = self._router(fault)
        if name is None:
            return
        self._down.add(name)
        self.fleet.signal(name, signal.SIGSTOP)
        self._agenda.at(fault.at_s + fault.for_s, lambda: self._wake(name))

    def _wake(self, name: str) -> None:
        self.fleet.signal(name, signal.SIGCONT)
        self._down.discard(name)

    def _cut(self, fault: Fault) -> None:
        name = self.routers[fault.victim % len(self.routers)]
        others = {*self.routers, "config", "instances"} - {name}
        self.fleet.cut({name}, others)
        self._agenda.at(fault.at_s + fault.for_s, self.fleet.heal)

    def _config_mode(self, fault: Fault) -> None:
        mode = "down" if fault.kind is FaultKind.CONFIG_DOWN else "stale"
        self.fleet.post_json("config", "/admin/mode", {"mode": mode})
        back = fault.at_s + fault.for_s
        self._agenda.at(back, lambda: self.fleet.post_json("config", "/admin/mode", {"mode": "ok"}))

    def _publish(self, fault: Fault) -> None:
        limits = {**self.fleet.config["limits"], "retry_after_s": 1.0 + fault.victim % 5}
        self.fleet.post_json("config", "/admin/publish", dict(self.fleet.config, limits=limits))

    def _publish_invalid(self, _fault: Fault) -> None:
        self.fleet.post_json("config", "/admin/publish", dict(self.fleet.config, teams="none"))

    def _target(self, fault: Fault) -> None:
        role, mode, count = _TARGET_FAULTS[fault.kind]
        procs = [proc.name for proc in self.fleet.procs.values() if proc.kind == role]
        name = procs[fault.victim % len(procs)]
        self.fleet.post_json(name, "/admin/fault", {"mode": mode, "count": count})


_ACTIONS: dict[FaultKind, Callable[[FaultPlayer, Fault], None]] = {
    FaultKind.KILL_ROUTER: FaultPlayer._kill,
    FaultKind.FREEZE_ROUTER: FaultPlayer._freeze,
    FaultKind.CUT_ROUTER: FaultPlayer._cut,
    FaultKind.CONFIG_DOWN: FaultPlayer._config_mode,
    FaultKind.CONFIG_STALE: FaultPlayer._config_mode,
    FaultKind.PUBLISH: FaultPlayer._publish,
    FaultKind.PUBLISH_INVALID: FaultPlayer._publish_invalid,
    FaultKind.ENGINE_RESET: FaultPlayer._target,
    FaultKind.ENGINE_SLOW: FaultPlayer._target,
    FaultKind.ORDER_RESET: FaultPlayer._target,
    FaultKind.ORDER_NOT_RUN: FaultPlayer._target,
}

_TARGET_FAULTS = {
    FaultKind.ENGINE_RESET: ("engine", "reset", 4),
    FaultKind.ENGINE_SLOW: ("engine", "slow", 4),
    FaultKind.ORDER_RESET: ("service", "reset", 6),
    FaultKind.ORDER_NOT_RUN: ("service", "not_run", 6),
}
