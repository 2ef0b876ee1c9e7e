"""Injects a schedule of faults into a local deployment."""

import itertools
import math
import random
import signal
import threading
import time
from collections.abc import Callable
from dataclasses import replace

from turmerictray.core.logs import log_event
from turmerictray.loadtool.event_schedule import EventSchedule
from turmerictray.loadtool.relay import Direction
from turmerictray.platform.soak.callers import SHARED_PARTS
from turmerictray.platform.soak.config_probe import PROBED_ROUTE, store_link_of
from turmerictray.platform.soak.crashing_requests import (
    CRASHING_PARTS,
    CrashingPartSender,
    CrashingRequestSender,
)
from turmerictray.platform.soak.internal_faults import FaultPointSelection
from turmerictray.platform.soak.record import (
    VERSIONS,
    ZONES,
    Disturbance,
    EvacuationRecord,
    FloodRecord,
    InternalFault,
    Publication,
    RetiredWorker,
    RouterExit,
    SoakRecord,
)
from turmerictray.platform.soak.schedule import FaultKind, ScheduledFault
from turmerictray.platform.standins.failing_router import arm
from turmerictray.platform.standins.flood import Flood
from turmerictray.platform.standins.local import (
    LocalDeployment,
    LocalRouter,
    PeerPort,
    default_config,
)
from turmerictray.platform.standins.store import StoreTrouble
from turmerictray.platform.standins.worker import Worker, WorkerFault

_LINK_DELAY_S = 0.15
_SLOW_PAGE_S = 1.5
"""Delay of documents between routers, above the time that these wait for them."""

_RESTART_DELAY_S = 0.3
_LEAVING_S = 2.5
"""Time that a leaving worker continues to serve, slightly longer than routers may take to stop
sending to it."""

_TELLING_S = 4.5
"""Time for which a worker that says in its answers that it leaves continues to serve, long enough
for requests that reach it too late."""

_LEAVING_HEADER = "Server-Leaving"
_REST_RANGE_S = (1, 3)
_SILENCE_RANGE_S = (1.3, 2.0)
_ENTRY_EXPIRY_S = 1.0
_STORE_OUTAGE_S = 0.2
_REWRITE_DELAY_S = 1.5
"""Time from the restore of the store until missing items are written again."""

_FLOOD_REQUESTS_PER_S = 150.0
_JOINING_WORKERS = 12
_MAX_WORKERS = 40
_FAULTS_PER_WORKER = 4
_MIN_EVACUATION_S = 3.0
"""Shortest evacuation; shorter ones end before routers have to follow them."""

_REPAIR_S = 3.0
"""Time for which operators leave a lost evacuation in a restored store before they end it."""

_COLD_NOTICE_S = 0.7
"""Time in which routers read the entry of a worker that has become cold."""

_STORE_SETTLE_S = 3.0
"""Time after a disturbance of the store in which some routers may not reach it yet."""

_COLD_CRASH_PER_S = 20.0
"""Requests a second under which cold workers crash, above the limit that routers are told."""

_PART_POSITIONS = 2
"""Number of positions of a crashing part in a prompt with one other shared part."""

_EXIT_TIMEOUT_S = 12.0
"""A router still running this long after a planned stop is killed, as the platform does after the
grace period of six seconds. The checks report it."""

_STORE_TROUBLE = {
    FaultKind.STORE_BUSY: StoreTrouble.BUSY,
    FaultKind.STORE_TOO_MANY: StoreTrouble.TOO_MANY,
    FaultKind.STORE_SILENT: StoreTrouble.SILENT,
    FaultKind.STORE_RESET: StoreTrouble.RESET,
}

_MISLEADING_ANSWERS = (WorkerFault.SHED, WorkerFault.ERROR, WorkerFault.BUSY_BUT_RAN)
_BROKEN_ANSWERS = (
    WorkerFault.RESET_UNSENT,
    WorkerFault.RESET_AFTER_RUN,
    WorkerFault.TRUNCATED,
    WorkerFault.OTHER_ID,
    WorkerFault.UNSIGNED,
    WorkerFault.EXTRA_ANSWER,
    WorkerFault.BROKEN_STREAM,
    WorkerFault.SILENT_STREAM,
    WorkerFault.NO_LENGTH,
    WorkerFault.UNFRAMED_STREAM,
    WorkerFault.UNFRAMED_CUT_STREAM,
)


class FaultInjector:
    """Injects faults on a separate thread and records which component was disturbed when.

    Parameters
    ----------
    deployment : LocalDeployment
        A deployment with a network.
    schedule : list of ScheduledFault
    record : SoakRecord
        Record to which disturbances, stops, exits and floods are added.
    """

    def __init__(
        self, deployment: LocalDeployment, schedule: list[ScheduledFault], record: SoakRecord
    ) -> None:
        self.deployment = deployment
        self.record = record
        self._config_version = 1
        self._config = default_config(1)
        self._worker_numbers = itertools.count(1)
        self._unavailable: set[str] = set()
        self._ended_pids: set[int] = set()
        self._fault_points = FaultPointSelection()
        self._sender_threads: list[threading.Thread] = []
        self._timer = EventSchedule()
        for fault in schedule:
            self._timer.run_at(fault.start_s, lambda fault=fault: self._inject(fault))

    def start(self) -> None:
        """Start the schedule."""
        self._timer.start()

    def finish(self) -> None:
        """Wait for the end of the schedule and undo all faults."""
        self._timer.finish()
        self._note_unplanned_exits()
        self.deployment.network.restore_all()
        for thread in self._sender_threads:
            thread.join()
        self.deployment.store.store.trouble = StoreTrouble.NONE
        if self.record.fault_counts[FaultKind.STORE_RETURNS.value]:
            self._end_lost_evacuations()

    def _end_lost_evacuations(self) -> None:
        """End evacuations that a restored store has lost, as operators have to.

        Routers keep such an evacuation until the store shows it again and then its end.
        """
        for zone in ZONES:
            self.deployment.evacuate(zone)
        time.sleep(_REPAIR_S)
        for zone in ZONES:
            self.deployment.take_back(zone)

    @property
    def config_version(self) -> int:
        """Version of the newest valid configuration that was published."""
        return self._config_version

    def _inject(self, fault: ScheduledFault) -> None:
        log_event(
            "fault",
            kind=fault.kind.value,
            pick=fault.random_number,
            s=round(fault.duration_s, 2),
        )
        self.record.fault_counts[fault.kind.value] += 1
        self._note_unplanned_exits()
        _ACTIONS[fault.kind](self, fault)

    def _record_disturbance(
        self, component: str, fault: ScheduledFault, since: float | None = None
    ) -> None:
        """Record a disturbance that began at ``since``, by default now, and lasts from now on."""
        now = time.monotonic()
        started_at = now if since is None else since
        self.record.disturbances.append(Disturbance(component, started_at, now + fault.duration_s))

    # -- routers -------------------------------------------------------------------------------

    def _select_router(self, fault: ScheduledFault) -> LocalRouter | None:
        routers = self.deployment.routers
        router = routers[fault.random_number % len(routers)]
        return None if router.name in self._unavailable else router

    def _note_unplanned_exits(self) -> None:
        """Record processes that have ended by themselves, before a fault starts them again."""
        for router in self.deployment.routers:
            if router.name in self._unavailable or router.exit_code is None:
                continue
            if router.pid not in self._ended_pids:
                self._ended_pids.add(router.pid)
                self.record.unplanned_exits.append((router.name, router.exit_code))

    def _raise_internal_fault(self, fault: ScheduledFault) -> None:
        router = self._select_router(fault)
        if router is None:
            return
        number = fault.random_number // len(self.deployment.routers)
        point = self._fault_points.select(router.pid, number)
        if point is None:
            return
        log_event("internal_fault", router=router.name, point=point)
        self.record.internal_faults.append(InternalFault(router.name, point, time.monotonic()))
        arm(router.faults_path, point)

    def _kill_router(self, fault: ScheduledFault) -> None:
        router = self._select_router(fault)
        if router is not None:
            self._terminate_and_restart(router, fault, router.stop)

    def _kill_all_routers(self, fault: ScheduledFault) -> None:
        for router in self.deployment.routers:
            if router.name not in self._unavailable:
                self._terminate_and_restart(router, fault, router.stop)

    def _terminate_and_restart(
        self, router: LocalRouter, fault: ScheduledFault, terminate: Callable[[], None]
    ) -> None:
        self._unavailable.add(router.name)
        since = time.monotonic()
        terminate()
        self._record_disturbance(router.name, fault, since)
        self._timer.run_after(
            min(fault.duration_s, _RESTART_DELAY_S), lambda: self._restart_router(router)
        )

    def _restart_router(self, router: LocalRouter) -> None:
        router.start()
        self._unavailable.discard(router.name)

    def _stop_router(self, fault: ScheduledFault) -> None:
        router = self._select_router(fault)
        if router is None:
            return
        self._unavailable.add(router.name)
        was_ready = router.is_ready()
        router.signal(signal.SIGTERM)
        stopped_at = time.monotonic()
        self.record.planned_stops.append((router.name, stopped_at))
        self._await_exit(router, was_ready, stopped_at + _EXIT_TIMEOUT_S)

    def _await_exit(self, router: LocalRouter, was_ready: bool, deadline: float) -> None:
        if router.exit_code is None and time.monotonic() < deadline:
            self._timer.run_after(
                _RESTART_DELAY_S, lambda: self._await_exit(router, was_ready, deadline)
            )
            return
        self.record.exits.append(RouterExit(router.name, router.exit_code, was_ready))
        router.stop()
        self._restart_router(router)

    def _pause_router(self, fault: ScheduledFault) -> None:
        router = self._select_router(fault)
        if router is None:
            return
        self._unavailable.add(router.name)
        since = time.monotonic()
        router.signal(signal.SIGSTOP)
        self._record_disturbance(router.name, fault, since)
        self._timer.run_after(fault.duration_s, lambda: self._resume(router))

    def _resume(self, router: LocalRouter) -> None:
        router.signal(signal.SIGCONT)
        self._unavailable.discard(router.name)

    def _reload_settings(self, fault: ScheduledFault) -> None:
        router = self._select_router(fault)
        if router is not None and router.exit_code is None and router.is_ready():
            router.signal(signal.SIGHUP)

    # -- the store -----------------------------------------------------------------------------

    def _set_store_trouble(self, fault: ScheduledFault) -> None:
        store = self.deployment.store.store
        store.trouble = _STORE_TROUBLE[fault.kind]
        self._record_disturbance("store", fault)
        self._timer.run_after(
            fault.duration_s, lambda: setattr(store, "trouble", StoreTrouble.NONE)
        )

    def _compact_store(self, fault: ScheduledFault) -> None:
        self.deployment.store.store.compact()
        self._record_disturbance("store", fault)

    def _disturb_store_link(self, fault: ScheduledFault) -> None:
        name, network = self._choose_name(fault), self.deployment.network
        if fault.kind is FaultKind.STORE_CUT:
            network.partition({name}, {"store"})
        else:
            network.delay({name}, {"store"}, _LINK_DELAY_S)
        self._record_disturbance("store", fault)
        self._timer.run_after(fault.duration_s, lambda: network.restore_links({name}, {"store"}))

    def _disturb_pages(self, fault: ScheduledFault) -> None:
        names = self._router_names()
        ends = (names, {PeerPort.PAGES.of(name) for name in names})
        network = self.deployment.network
        if fault.kind is FaultKind.PAGES_CUT:
            network.partition(*ends)
        else:
            network.delay(*ends, _SLOW_PAGE_S)
        self._timer.run_after(fault.duration_s, lambda: network.restore_links(*ends))

    def _disturb_peers(self, fault: ScheduledFault) -> None:
        names, network = self._router_names(), self.deployment.network
        ports = {port.of(name) for name in names for port in PeerPort}
        if fault.kind is FaultKind.PEERS_RESET:
            network.reset_connections(names, ports)
            return
        ends = ({self._choose_name(fault)}, ports)
        network.partition(*ends)
        self._timer.run_after(fault.duration_s, lambda: network.restore_links(*ends))

    def _silence_store_links(self, fault: ScheduledFault) -> None:
        names, network = self._router_names() - {self._choose_name(fault)}, self.deployment.network
        network.partition(names, {"store"})
        for name in names:
            self._record_disturbance(store_link_of(name), fault)
        self._timer.run_after(fault.duration_s, lambda: network.restore_links(names, {"store"}))

    def _stall_store_connections(self, fault: ScheduledFault) -> None:
        self.deployment.network.stall_connections(self._router_names(), {"store"})

    def _router_names(self) -> set[str]:
        return {router.name for router in self.deployment.routers}

    def _choose_name(self, fault: ScheduledFault) -> str:
        routers = self.deployment.routers
        return routers[fault.random_number % len(routers)].name

    def _restore_store(self, fault: ScheduledFault) -> None:
        store = self.deployment.store.store
        store.trouble = StoreTrouble.RESET
        store.restore_backup(fault.duration_s)
        self._record_disturbance(
            "store", replace(fault, duration_s=fault.duration_s + _REWRITE_DELAY_S)
        )
        self._timer.run_after(_STORE_OUTAGE_S, lambda: setattr(store, "trouble", StoreTrouble.NONE))
        self._timer.run_after(_REWRITE_DELAY_S, self._rewrite_items)

    def _rewrite_items(self) -> None:
        """Write items that the backup may lack, as operators and workers do; remove stale ones."""
        self.deployment.store.store.put("op/config", self._config)
        evacuated = self._evacuated_zones()
        for zone in ZONES:
            rewrite = self.deployment.evacuate if zone in evacuated else self.deployment.take_back
            rewrite(zone)
        for worker in list(self.deployment.workers):
            if worker.closing.is_set() or worker.crashed.is_set():
                self.deployment.withdraw(worker)
            else:
                retired = self.record.retired_workers.get(worker.id)
                is_draining = retired is not None and not retired.tells_in_answers
                self.deployment.publish(worker, "draining" if is_draining else "ready")

    def _publish(self, fault: ScheduledFault) -> None:
        self._config_version += 1 + fault.random_number % 3
        config = default_config(self._config_version)
        if fault.random_number % 2:
            config["routes"] = [route for route in config["routes"] if route["name"] != "open"]
        self._config = config
        self.deployment.store.store.put("op/config", config)
        has_route = any(route["name"] == PROBED_ROUTE for route in config["routes"])
        self.record.publications.append(
            Publication(self._config_version, time.monotonic(), has_route)
        )

    def _publish_invalid(self, fault: ScheduledFault) -> None:
        self.deployment.store.store.put_bytes("op/config", b'{"version": "none", "routes": 7}')
        # The store keeps only the newest configuration. If all routers are killed while it is
        # invalid, none of them can start, so a valid one follows.
        self._timer.run_after(fault.duration_s, lambda: self._publish(fault))

    # -- workers and callers -------------------------------------------------------------------

    def _select_worker(self, fault: ScheduledFault) -> Worker:
        serving = [w for w in self.deployment.workers if w.id not in self.record.retired_workers]
        return serving[fault.random_number % len(serving)]

    def _disturb_worker_link(self, fault: ScheduledFault) -> None:
        worker, network = self._select_worker(fault), self.deployment.network
        ends = ({"routers"}, {worker.id})
        since = time.monotonic()
        if fault.kind is FaultKind.WORKER_DELAYED:
            network.delay(*ends, _LINK_DELAY_S)
        else:
            back_only = fault.kind is FaultKind.WORKER_CUT_BACK
            network.partition(*ends, (Direction.BACKWARD,) if back_only else tuple(Direction))
        self._record_disturbance("worker", fault, since)
        self._timer.run_after(fault.duration_s, lambda: network.restore_links(*ends))

    def _break_worker_connections(self, fault: ScheduledFault) -> None:
        network = self.deployment.network
        break_connections = (
            network.stall_connections
            if fault.kind is FaultKind.WORKER_SILENCED
            else network.reset_connections
        )
        since = time.monotonic()
        break_connections({"routers"}, {self._select_worker(fault).id})
        self._record_disturbance("worker", fault, since)

    def _add_answer_faults(self, fault: ScheduledFault) -> None:
        rng = random.Random(fault.random_number)
        faults = rng.choices(_MISLEADING_ANSWERS + _BROKEN_ANSWERS, k=_FAULTS_PER_WORKER)
        since = time.monotonic()
        self._select_worker(fault).behaviour.faults.extend(faults)
        self._record_disturbance("worker", fault, since)

    def _retire_worker(self, fault: ScheduledFault) -> None:
        worker = self._select_worker(fault)
        self._start_replacement(worker)
        self.deployment.publish(worker, "draining")
        self.record.retired_workers[worker.id] = RetiredWorker(
            worker.id, time.monotonic(), crashed=False
        )
        self._timer.run_after(_LEAVING_S, lambda: self._remove_worker(worker))

    def _announce_leaving(self, fault: ScheduledFault) -> None:
        worker = self._select_worker(fault)
        self._start_replacement(worker)
        worker.behaviour.leaving_header = _LEAVING_HEADER
        self.record.retired_workers[worker.id] = RetiredWorker(
            worker.id, time.monotonic(), crashed=False, tells_in_answers=True
        )
        self._timer.run_after(_TELLING_S, lambda: self._remove_worker(worker))

    def _refuse_as_full(self, fault: ScheduledFault) -> None:
        behaviour = self._select_worker(fault).behaviour
        behaviour.rest_asked = str(random.Random(fault.random_number).randint(*_REST_RANGE_S))
        behaviour.is_full_for = lambda _request: True
        self._timer.run_after(fault.duration_s, lambda: setattr(behaviour, "is_full_for", None))

    def _silence_worker(self, fault: ScheduledFault) -> None:
        silent_s = random.Random(fault.random_number).uniform(*_SILENCE_RANGE_S)
        self._select_worker(fault).behaviour.silent_until = time.monotonic() + silent_s

    def _crash_worker(self, fault: ScheduledFault) -> None:
        worker = self._select_worker(fault)
        self._start_replacement(worker)
        since = time.monotonic()
        self.deployment.network.refuse_connections(worker.id)
        worker.stop()
        self.deployment.network.reset_connections({"routers"}, {worker.id})
        self.record.retired_workers[worker.id] = RetiredWorker(
            worker.id, time.monotonic(), crashed=True
        )
        self._record_disturbance("worker", fault, since)
        self._timer.run_after(fault.duration_s, lambda: self.deployment.withdraw(worker))

    def _add_workers(self, fault: ScheduledFault) -> None:
        serving = [w for w in self.deployment.workers if w.id not in self.record.retired_workers]
        for number in range(min(_JOINING_WORKERS, _MAX_WORKERS - len(serving))):
            self._start_replacement(serving[(fault.random_number + number) % len(serving)])

    def _flood(self, fault: ScheduledFault) -> None:
        routers = self.deployment.routers
        router = routers[fault.random_number % len(routers)]
        name = f"flood{len(self._sender_threads)}x"
        flood = Flood(self.deployment.front(router), _FLOOD_REQUESTS_PER_S, fault.duration_s, name)
        flood_record = FloodRecord(router.name, time.monotonic(), math.inf, flood.outcome_by_id)
        self.record.floods.append(flood_record)
        thread = threading.Thread(target=self._run_flood, args=(flood, flood_record), daemon=True)
        self._sender_threads.append(thread)
        thread.start()

    def _run_flood(self, flood: Flood, flood_record: FloodRecord) -> None:
        flood.run()
        flood_record.ended_at = time.monotonic()

    def _send_crashing_requests(self, fault: ScheduledFault) -> None:
        sender = CrashingRequestSender(self.deployment, self.record, fault, self._retire_crashed)
        thread = threading.Thread(target=sender.run, daemon=True)
        self._sender_threads.append(thread)
        thread.start()

    def _send_crashing_parts(self, fault: ScheduledFault) -> None:
        part = CRASHING_PARTS[fault.random_number % len(CRASHING_PARTS)]
        position = fault.random_number % _PART_POSITIONS
        sender = CrashingPartSender(
            self.deployment,
            self.record,
            part,
            SHARED_PARTS,
            position,
            fault.random_number,
            self._retire_crashed,
        )
        ends_at = time.monotonic() + fault.duration_s
        thread = threading.Thread(target=sender.run, args=(ends_at,), daemon=True)
        self._sender_threads.append(thread)
        thread.start()

    def _retire_crashed(self) -> None:
        """Replace crashed workers; their entries in the store expire a moment later."""
        for worker in list(self.deployment.workers):
            if worker.crashed.is_set() and worker.id not in self.record.retired_workers:
                now = time.monotonic()
                self.record.retired_workers[worker.id] = RetiredWorker(worker.id, now, crashed=True)
                self.record.disturbances.append(Disturbance("worker", worker.crashed_at, now))
                self._start_replacement(worker)
                self._timer.run_after(
                    _ENTRY_EXPIRY_S, lambda worker=worker: self.deployment.withdraw(worker)
                )

    def _remove_worker(self, worker: Worker) -> None:
        worker.stop()
        self.deployment.withdraw(worker)

    def _start_replacement(self, worker: Worker) -> None:
        number = next(self._worker_numbers)
        replacement = Worker(f"{worker.service}-n{number}", worker.service).start()
        replacement.zone = worker.zone
        replacement.version = VERSIONS[number % len(VERSIONS)]
        replacement.behaviour.service_time_s, replacement.behaviour.event_count = (
            worker.behaviour.service_time_s,
            worker.behaviour.event_count,
        )
        replacement.behaviour.crashing_parts = worker.behaviour.crashing_parts
        self.deployment.add_worker(replacement)

    def _evacuate(self, fault: ScheduledFault) -> None:
        zone = ZONES[fault.random_number % len(ZONES)]
        if zone in self._evacuated_zones():
            return
        self.deployment.evacuate(zone)
        evacuation = EvacuationRecord(zone, time.monotonic())
        self.record.evacuations.append(evacuation)
        self._timer.run_after(
            _MIN_EVACUATION_S + fault.duration_s, lambda: self._take_back(evacuation)
        )

    def _take_back(self, evacuation: EvacuationRecord) -> None:
        evacuation.ended_at = time.monotonic()
        self.deployment.take_back(evacuation.zone)

    def _evacuated_zones(self) -> set[str]:
        return {found.zone for found in self.record.evacuations if found.ended_at == math.inf}

    def _chill_workers(self, fault: ScheduledFault) -> None:
        """Make the engines of a zone cold, and write their entries again.

        Routers learn of it from the entries, so it is left out while they may not reach the store.
        """
        now = time.monotonic()
        if self.record.was_disturbed(now - _STORE_SETTLE_S, now, "store"):
            return
        zone = ZONES[fault.random_number % len(ZONES)]
        for worker in self.deployment.of_service("llm"):
            if worker.zone == zone and worker.id not in self.record.retired_workers:
                worker.behaviour.cold_crash_per_s = _COLD_CRASH_PER_S
                worker.become_cold(fault.duration_s, _COLD_NOTICE_S)
                self.deployment.publish(worker)
                self._timer.run_after(
                    fault.duration_s, lambda worker=worker: self._rewrite_entry(worker)
                )

    def _rewrite_entry(self, worker: Worker) -> None:
        if worker.id not in self.record.retired_workers and not worker.crashed.is_set():
            self.deployment.publish(worker)

    def _disturb_callers(self, fault: ScheduledFault) -> None:
        name = self._choose_name(fault)
        network, ends = self.deployment.network, ({"callers"}, {name})
        self._record_disturbance(name, fault)
        if fault.kind is FaultKind.CALLERS_RESET:
            network.reset_connections(*ends)
            return
        network.delay(*ends, _LINK_DELAY_S)
        self._timer.run_after(fault.duration_s, lambda: network.restore_links(*ends))


_ACTIONS: dict[FaultKind, Callable[[FaultInjector, ScheduledFault], None]] = {
    FaultKind.KILL: FaultInjector._kill_router,
    FaultKind.KILL_ALL: FaultInjector._kill_all_routers,
    FaultKind.STOP: FaultInjector._stop_router,
    FaultKind.PAUSE: FaultInjector._pause_router,
    FaultKind.HANG_UP: FaultInjector._reload_settings,
    FaultKind.STORE_BUSY: FaultInjector._set_store_trouble,
    FaultKind.STORE_TOO_MANY: FaultInjector._set_store_trouble,
    FaultKind.STORE_SILENT: FaultInjector._set_store_trouble,
    FaultKind.STORE_RESET: FaultInjector._set_store_trouble,
    FaultKind.STORE_FORGETS: FaultInjector._compact_store,
    FaultKind.STORE_CUT: FaultInjector._disturb_store_link,
    FaultKind.STORE_DELAYED: FaultInjector._disturb_store_link,
    FaultKind.WORKER_CUT: FaultInjector._disturb_worker_link,
    FaultKind.WORKER_CUT_BACK: FaultInjector._disturb_worker_link,
    FaultKind.WORKER_DELAYED: FaultInjector._disturb_worker_link,
    FaultKind.WORKER_SILENCED: FaultInjector._break_worker_connections,
    FaultKind.WORKER_RESET: FaultInjector._break_worker_connections,
    FaultKind.WORKER_ANSWERS: FaultInjector._add_answer_faults,
    FaultKind.WORKER_LEAVES: FaultInjector._retire_worker,
    FaultKind.WORKER_CRASHES: FaultInjector._crash_worker,
    FaultKind.CALLERS_RESET: FaultInjector._disturb_callers,
    FaultKind.CALLERS_DELAYED: FaultInjector._disturb_callers,
    FaultKind.PUBLISH: FaultInjector._publish,
    FaultKind.PUBLISH_BROKEN: FaultInjector._publish_invalid,
    FaultKind.FLOOD: FaultInjector._flood,
    FaultKind.WORKERS_JOIN: FaultInjector._add_workers,
    FaultKind.DEADLY: FaultInjector._send_crashing_requests,
    FaultKind.STORE_RETURNS: FaultInjector._restore_store,
    FaultKind.EVACUATE: FaultInjector._evacuate,
    FaultKind.WORKERS_COLD: FaultInjector._chill_workers,
    FaultKind.CRASHING_PART: FaultInjector._send_crashing_parts,
    FaultKind.INTERNAL_FAULT: FaultInjector._raise_internal_fault,
    FaultKind.TELLS_LEAVING: FaultInjector._announce_leaving,
    FaultKind.FULL: FaultInjector._refuse_as_full,
    FaultKind.SILENT: FaultInjector._silence_worker,
    FaultKind.PAGES_CUT: FaultInjector._disturb_pages,
    FaultKind.PAGES_SLOW: FaultInjector._disturb_pages,
    FaultKind.PEERS_CUT: FaultInjector._disturb_peers,
    FaultKind.PEERS_RESET: FaultInjector._disturb_peers,
    FaultKind.STORE_LINKS_SILENT: FaultInjector._silence_store_links,
    FaultKind.STORE_STALLED: FaultInjector._stall_store_connections,
}
