"""Table of all targets known to a router, from configuration, instance list and load reports."""

from turmerictray.config.schema import Config
from turmerictray.core.ids import ServiceName, TargetId
from turmerictray.routing.target import TargetState, TargetView


class TargetTable:
    """Targets by id; in-flight counts are preserved across configuration changes."""

    def __init__(self) -> None:
        self.targets: dict[TargetId, TargetView] = {}
        self.listed_states: dict[TargetId, TargetState] = {}

    def apply_config(self, cfg: Config) -> None:
        """Add, update and remove targets to match ``cfg``."""
        updated: dict[TargetId, TargetView] = {}
        for svc in cfg.services:
            for tgt in svc.targets:
                tid = TargetId(tgt.id)
                view = self.targets.get(tid)
                if view is None:
                    view = TargetView(
                        tid, ServiceName(svc.name), tgt.url, tgt.zone, tgt.slots, tgt.fencing
                    )
                else:
                    view.service, view.url, view.zone = ServiceName(svc.name), tgt.url, tgt.zone
                    view.slots, view.fencing = tgt.slots, tgt.fencing
                view.state = self.listed_states.get(tid, view.state)
                updated[tid] = view
        self.targets = updated

    def apply_listing(self, states: dict[TargetId, TargetState]) -> list[TargetId]:
        """Apply the states of the instance list; return targets that became leaving or gone.

        A target missing from the list keeps its state: the list is delayed, and a missing target is
        more often new than gone.
        """
        changed: list[TargetId] = []
        self.listed_states = dict(states)
        for tid, state in states.items():
            view = self.targets.get(tid)
            if view is None or view.state is state:
                continue
            if state is not TargetState.LIVE:
                changed.append(tid)
            view.state = state
        return changed

    def services(self) -> set[ServiceName]:
        """Return the services that have targets."""
        return {view.service for view in self.targets.values()}

    def of_service(self, service: ServiceName) -> list[TargetView]:
        """Return the targets of ``service``."""
        return [view for view in self.targets.values() if view.service == service]

    def report_load(self, tid: TargetId, busy: int, inflight_at_report: int) -> None:
        """Record a target's delayed load report."""
        view = self.targets.get(tid)
        if view is not None:
            view.reported_busy = busy
            view.inflight_at_report = inflight_at_report

    def inflight_total(self) -> int:
        """Return the number of requests in flight from this router to all targets."""
        return sum(view.inflight for view in self.targets.values())
