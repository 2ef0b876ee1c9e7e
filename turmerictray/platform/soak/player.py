"""Plays a schedule of faults on a local deployment."""

import itertools
import math
import random
import signal
import threading
import time
from collections.abc import Callable
from dataclasses import replace

from turmerictray.core.logs import log_event
from turmerictray.loadtool.agenda import Agenda
from turmerictray.loadtool.relay import Way
from turmerictray.platform.soak.deadly import DeadlySender
from turmerictray.platform.soak.record import Disturbance, Exit, Flooded, Record, Retired
from turmerictray.platform.soak.schedule import Fault, Planned
from turmerictray.platform.standins.flood import Flood
from turmerictray.platform.standins.local import LocalDeployment, LocalRouter, default_config
from turmerictray.platform.standins.store import StoreTrouble
from turmerictray.platform.standins.worker import Worker, WorkerFault

_DELAY_S = 0.15
_RESTART_S = 0.3
_LEAVES_S = 2.5
"""A leaving worker serves on for this long, a little more than the time in which routers must have
stopped sending to it."""

_LAPSES_S = 1.0
_AWAY_S = 0.2
_WRITTEN_AGAIN_S = 1.5
_FLOOD_PER_S = 150.0
_JOINING = 12
_MOST_WORKERS = 40
_ANSWER_FAULTS = 4
_EXIT_S = 12.0
"""A router that still runs so long after it was told to stop is killed, as a platform would after
the grace period of six seconds; that is a broken promise."""

_STORE_TROUBLE = {
    Fault.STORE_BUSY: StoreTrouble.BUSY,
    Fault.STORE_TOO_MANY: StoreTrouble.TOO_MANY,
    Fault.STORE_SILENT: StoreTrouble.SILENT,
    Fault.STORE_RESET: StoreTrouble.RESET,
}

_CONFUSING = (WorkerFault.SHED, WorkerFault.ERROR, WorkerFault.BUSY_BUT_RAN)
_BROKEN = (
    WorkerFault.RESET_UNSENT,
    WorkerFault.RESET_AFTER_RUN,
    WorkerFault.TRUNCATED,
    WorkerFault.OTHER_ID,
    WorkerFault.UNSIGNED,
    WorkerFault.EXTRA_ANSWER,
    WorkerFault.BROKEN_STREAM,
    WorkerFault.SILENT_STREAM,
)


class FaultPlayer:
    """Plays faults on a thread of its own, and notes when what was disturbed.

    Parameters
    ----------
    deployment : LocalDeployment
        With a network.
    schedule : list of Planned
    record : Record
    """

    def __init__(
        self, deployment: LocalDeployment, schedule: list[Planned], record: Record
    ) -> None:
        self.deployment = deployment
        self.record = record
        self._version = 1
        self._config = default_config(1)
        self._new_workers = itertools.count(1)
        self._busy: set[str] = set()
        self._senders: list[threading.Thread] = []
        self._agenda = Agenda()
        for planned in schedule:
            self._agenda.at(planned.at_s, lambda planned=planned: self._play(planned))

    def start(self) -> None:
        """Begin with the schedule."""
        self._agenda.start()

    def finish(self) -> None:
        """Wait for the end of the schedule, with every fault undone."""
        self._agenda.finish()
        self.deployment.network.heal()
        for thread in self._senders:
            thread.join()
        self.deployment.store.store.trouble = StoreTrouble.NONE

    @property
    def version(self) -> int:
        """The newest version published."""
        return self._version

    def _play(self, planned: Planned) -> None:
        log_event("fault", kind=planned.fault.value, pick=planned.pick, s=round(planned.for_s, 2))
        self.record.faults[planned.fault.value] += 1
        _ACTIONS[planned.fault](self, planned)

    def _disturb(self, what: str, planned: Planned) -> None:
        begun = time.monotonic()
        self.record.disturbances.append(Disturbance(what, begun, begun + planned.for_s))

    # -- routers -------------------------------------------------------------------------------

    def _router(self, planned: Planned) -> LocalRouter | None:
        routers = self.deployment.routers
        router = routers[planned.pick % len(routers)]
        return None if router.name in self._busy else router

    def _kill(self, planned: Planned) -> None:
        router = self._router(planned)
        if router is not None:
            self._take_down(router, planned, router.stop)

    def _kill_all(self, planned: Planned) -> None:
        for router in self.deployment.routers:
            if router.name not in self._busy:
                self._take_down(router, planned, router.stop)

    def _take_down(self, router: LocalRouter, planned: Planned, how: Callable[[], None]) -> None:
        self._busy.add(router.name)
        how()
        self._disturb(router.name, planned)
        self._agenda.after(min(planned.for_s, _RESTART_S), lambda: self._start(router))

    def _start(self, router: LocalRouter) -> None:
        router.start()
        self._busy.discard(router.name)

    def _stop(self, planned: Planned) -> None:
        router = self._router(planned)
        if router is None:
            return
        self._busy.add(router.name)
        was_ready = router.is_ready()
        router.signal(signal.SIGTERM)
        told_at = time.monotonic()
        self.record.stops.append((router.name, told_at))
        self._await_end(router, was_ready, told_at + _EXIT_S)

    def _await_end(self, router: LocalRouter, was_ready: bool, latest: float) -> None:
        if router.exit_code is None and time.monotonic() < latest:
            self._agenda.after(_RESTART_S, lambda: self._await_end(router, was_ready, latest))
            return
        self.record.exits.append(Exit(router.name, router.exit_code, was_ready))
        router.stop()
        self._start(router)

    def _pause(self, planned: Planned) -> None:
        router = self._router(planned)
        if router is None:
            return
        self._busy.add(router.name)
        router.signal(signal.SIGSTOP)
        self._disturb(router.name, planned)
        self._agenda.after(planned.for_s, lambda: self._wake(router))

    def _wake(self, router: LocalRouter) -> None:
        router.signal(signal.SIGCONT)
        self._busy.discard(router.name)

    def _hang_up(self, planned: Planned) -> None:
        router = self._router(planned)
        if router is not None and router.exit_code is None and router.is_ready():
            router.signal(signal.SIGHUP)

    # -- the store -----------------------------------------------------------------------------

    def _trouble_store(self, planned: Planned) -> None:
        store = self.deployment.store.store
        store.trouble = _STORE_TROUBLE[planned.fault]
        self._disturb("store", planned)
        self._agenda.after(planned.for_s, lambda: setattr(store, "trouble", StoreTrouble.NONE))

    def _forget(self, planned: Planned) -> None:
        self.deployment.store.store.compact()
        self._disturb("store", planned)

    def _link_store(self, planned: Planned) -> None:
        routers = self.deployment.routers
        name = routers[planned.pick % len(routers)].name
        network = self.deployment.network
        if planned.fault is Fault.STORE_CUT:
            network.cut({name}, {"store"})
        else:
            network.delay({name}, {"store"}, _DELAY_S)
        self._disturb("store", planned)
        self._agenda.after(planned.for_s, lambda: network.mend({name}, {"store"}))

    def _return_store(self, planned: Planned) -> None:
        store = self.deployment.store.store
        store.trouble = StoreTrouble.RESET
        store.restore(planned.for_s)
        self._disturb("store", replace(planned, for_s=planned.for_s + _WRITTEN_AGAIN_S))
        self._agenda.after(_AWAY_S, lambda: setattr(store, "trouble", StoreTrouble.NONE))
        self._agenda.after(_WRITTEN_AGAIN_S, self._write_again)

    def _write_again(self) -> None:
        """Operators and workers write what a copy may lack; entries of those that ended lapse."""
        self.deployment.store.store.put("op/config", self._config)
        for worker in list(self.deployment.workers):
            if worker.closing.is_set() or worker.crashed.is_set():
                self.deployment.withdraw(worker)
            else:
                is_leaving = worker.id in self.record.retired
                self.deployment.publish(worker, "draining" if is_leaving else "ready")

    def _publish(self, planned: Planned) -> None:
        self._version += 1 + planned.pick % 3
        config = default_config(self._version)
        if planned.pick % 2:
            config["routes"] = [route for route in config["routes"] if route["name"] != "open"]
        self._config = config
        self.deployment.store.store.put("op/config", config)

    def _publish_broken(self, planned: Planned) -> None:
        self.deployment.store.store.put_bytes("op/config", b'{"version": "none", "routes": 7}')
        # The store keeps the newest text only. Were a broken one left there, routers that are all
        # killed meanwhile would have no text to start from, and nobody could give them one.
        self._agenda.after(planned.for_s, lambda: self._publish(planned))

    # -- workers and callers -------------------------------------------------------------------

    def _worker(self, planned: Planned) -> Worker:
        serving = [w for w in self.deployment.workers if w.id not in self.record.retired]
        return serving[planned.pick % len(serving)]

    def _link_worker(self, planned: Planned) -> None:
        worker, network = self._worker(planned), self.deployment.network
        ends = ({"routers"}, {worker.id})
        if planned.fault is Fault.WORKER_DELAYED:
            network.delay(*ends, _DELAY_S)
        else:
            back_only = planned.fault is Fault.WORKER_CUT_BACK
            network.cut(*ends, (Way.BACK,) if back_only else tuple(Way))
        self._disturb("worker", planned)
        self._agenda.after(planned.for_s, lambda: network.mend(*ends))

    def _break_worker(self, planned: Planned) -> None:
        network = self.deployment.network
        act = network.silence if planned.fault is Fault.WORKER_SILENCED else network.reset
        act({"routers"}, {self._worker(planned).id})
        self._disturb("worker", planned)

    def _answers(self, planned: Planned) -> None:
        rng = random.Random(planned.pick)
        faults = rng.choices(_CONFUSING + _BROKEN, k=_ANSWER_FAULTS)
        self._worker(planned).plan.faults.extend(faults)
        self._disturb("worker", planned)

    def _leave(self, planned: Planned) -> None:
        worker = self._worker(planned)
        self._replace(worker)
        self.deployment.publish(worker, "draining")
        self.record.retired[worker.id] = Retired(worker.id, time.monotonic(), crashed=False)
        self._agenda.after(_LEAVES_S, lambda: self._end(worker))

    def _crash(self, planned: Planned) -> None:
        worker = self._worker(planned)
        self._replace(worker)
        worker.stop()
        self.deployment.network.reset({"routers"}, {worker.id})
        self.record.retired[worker.id] = Retired(worker.id, time.monotonic(), crashed=True)
        self._disturb("worker", planned)
        self._agenda.after(planned.for_s, lambda: self.deployment.withdraw(worker))

    def _join(self, planned: Planned) -> None:
        serving = [w for w in self.deployment.workers if w.id not in self.record.retired]
        for number in range(min(_JOINING, _MOST_WORKERS - len(serving))):
            self._replace(serving[(planned.pick + number) % len(serving)])

    def _flood(self, planned: Planned) -> None:
        routers = self.deployment.routers
        router = routers[planned.pick % len(routers)]
        name = f"flood{len(self._senders)}x"
        flood = Flood(self.deployment.front(router), _FLOOD_PER_S, planned.for_s, name)
        flooded = Flooded(router.name, time.monotonic(), math.inf, flood.outcome_of)
        self.record.floods.append(flooded)
        thread = threading.Thread(target=self._play_flood, args=(flood, flooded), daemon=True)
        self._senders.append(thread)
        thread.start()

    def _play_flood(self, flood: Flood, flooded: Flooded) -> None:
        flood.play()
        flooded.ended = time.monotonic()

    def _send_deadly(self, planned: Planned) -> None:
        sender = DeadlySender(self.deployment, self.record, planned, self._retire_crashed)
        thread = threading.Thread(target=sender.run, daemon=True)
        self._senders.append(thread)
        thread.start()

    def _retire_crashed(self) -> None:
        """Replace workers that have ended; the store drops their entries a moment later."""
        for worker in list(self.deployment.workers):
            if worker.crashed.is_set() and worker.id not in self.record.retired:
                now = time.monotonic()
                self.record.retired[worker.id] = Retired(worker.id, now, crashed=True)
                self.record.disturbances.append(Disturbance("worker", now, now))
                self._replace(worker)
                self._agenda.after(
                    _LAPSES_S, lambda worker=worker: self.deployment.withdraw(worker)
                )

    def _end(self, worker: Worker) -> None:
        worker.stop()
        self.deployment.withdraw(worker)

    def _replace(self, worker: Worker) -> None:
        fresh = Worker(f"{worker.service}-n{next(self._new_workers)}", worker.service).start()
        fresh.plan.work_s, fresh.plan.events = worker.plan.work_s, worker.plan.events
        self.deployment.add_worker(fresh)

    def _callers(self, planned: Planned) -> None:
        routers = self.deployment.routers
        name = routers[planned.pick % len(routers)].name
        network, ends = self.deployment.network, ({"callers"}, {name})
        self._disturb(name, planned)
        if planned.fault is Fault.CALLERS_RESET:
            network.reset(*ends)
            return
        network.delay(*ends, _DELAY_S)
        self._agenda.after(planned.for_s, lambda: network.mend(*ends))


_ACTIONS: dict[Fault, Callable[[FaultPlayer, Planned], None]] = {
    Fault.KILL: FaultPlayer._kill,
    Fault.KILL_ALL: FaultPlayer._kill_all,
    Fault.STOP: FaultPlayer._stop,
    Fault.PAUSE: FaultPlayer._pause,
    Fault.HANG_UP: FaultPlayer._hang_up,
    Fault.STORE_BUSY: FaultPlayer._trouble_store,
    Fault.STORE_TOO_MANY: FaultPlayer._trouble_store,
    Fault.STORE_SILENT: FaultPlayer._trouble_store,
    Fault.STORE_RESET: FaultPlayer._trouble_store,
    Fault.STORE_FORGETS: FaultPlayer._forget,
    Fault.STORE_CUT: FaultPlayer._link_store,
    Fault.STORE_DELAYED: FaultPlayer._link_store,
    Fault.WORKER_CUT: FaultPlayer._link_worker,
    Fault.WORKER_CUT_BACK: FaultPlayer._link_worker,
    Fault.WORKER_DELAYED: FaultPlayer._link_worker,
    Fault.WORKER_SILENCED: FaultPlayer._break_worker,
    Fault.WORKER_RESET: FaultPlayer._break_worker,
    Fault.WORKER_ANSWERS: FaultPlayer._answers,
    Fault.WORKER_LEAVES: FaultPlayer._leave,
    Fault.WORKER_CRASHES: FaultPlayer._crash,
    Fault.CALLERS_RESET: FaultPlayer._callers,
    Fault.CALLERS_DELAYED: FaultPlayer._callers,
    Fault.PUBLISH: FaultPlayer._publish,
    Fault.PUBLISH_BROKEN: FaultPlayer._publish_broken,
    Fault.FLOOD: FaultPlayer._flood,
    Fault.WORKERS_JOIN: FaultPlayer._join,
    Fault.DEADLY: FaultPlayer._send_deadly,
    Fault.STORE_RETURNS: FaultPlayer._return_store,
}
