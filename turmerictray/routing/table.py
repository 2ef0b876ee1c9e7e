"""All targets one router knows, from the configuration, the instance list and load reports."""

from turmerictray.config.schema import Config
from turmerictray.core.ids import ServiceName, TargetId
from turmerictray.routing.target import TargetState, TargetView


class TargetTable:
    """Targets by service; keeps in-flight counts across configuration changes."""

    def __init__(self) -> None:
        self.targets: dict[TargetId, TargetView] = {}
        self.listed: dict[TargetId, TargetState] = {}

    def apply_config(self, cfg: Config) -> None:
        """Add, update and drop targets to match ``cfg``."""
        fresh: dict[TargetId, TargetView] = {}
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
                view.state = self.listed.get(tid, view.state)
                fresh[tid] = view
        self.targets = fresh

    def apply_listing(self, states: dict[TargetId, TargetState]) -> list[TargetId]:
        """Take the instance list's states; returns targets that turned leaving or gone.

        A target the list does not name keeps its state: the list lags, and a target missing
        from it is more often new than gone.
        """
        changed: list[TargetId] = []
        self.listed = dict(states)
        for tid, state in states.items():
            view = self.targets.get(tid)
            if view is None or view.state is state:
                continue
            if state is not TargetState.LIVE:
                changed.append(tid)
            view.state = state
        return changed

    def services(self) -> set[ServiceName]:
        """The services that have targets."""
        return {view.service for view in self.targets.values()}

    def of_service(self, service: ServiceName) -> list[TargetView]:
        """The targets of ``service``."""
        return [view for view in self.targets.values() if view.service == service]

    def report_load(self, tid: TargetId, busy: int, own_at_report: int) -> None:
        """Record a target's lagged load report."""
        view = self.targets.get(tid)
        if view is not None:
            view.reported_busy = busy
            view.own_at_report = own_at_report

    def inflight_total(self) -> int:
        """Requests in flight from this router to all targets."""
        return sum(view.inflight for view in self.targets.values())
