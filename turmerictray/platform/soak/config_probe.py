"""Probes of one route at each router, and the check that its configuration is in force in time."""

import threading
import time
from collections.abc import Iterator

from turmerictray.loadtool.history import Violation
from turmerictray.platform.soak.checks import STOPPING_S
from turmerictray.platform.soak.record import Probe, Publication, SoakRecord
from turmerictray.platform.standins.caller import RawCaller
from turmerictray.platform.standins.local import LocalDeployment, LocalRouter

PROBED_ROUTE = "open"
"""A public route, which some of the published configurations lack."""

_PROBE_TARGET = f"/{PROBED_ROUTE}/probe"

_INTERVAL_S = 0.1
_APPLY_S = 2.0
"""Time within which a published configuration has to be in force."""

_SETTLE_S = 3.0
"""Time after a disturbance of a router, or of its way to the store, in which it is excused."""

_SERVED = 200
_NO_ROUTE = 404


class ConfigProbe:
    """Requests the probed route at each router all the time."""

    def __init__(self, deployment: LocalDeployment, record: SoakRecord) -> None:
        self._deployment = deployment
        self._record = record
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(router,), daemon=True)
            for router in deployment.routers
        ]

    def start(self) -> None:
        """Start probing."""
        for thread in self._threads:
            thread.start()

    def finish(self) -> None:
        """Stop probing."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _run(self, router: LocalRouter) -> None:
        while not self._stopping.wait(_INTERVAL_S):
            started_at = time.monotonic()
            request_id = f"probe-{router.name}-{time.monotonic_ns():x}"
            status = self._probe(router, request_id)
            self._record.probes.append(
                Probe(request_id, router.name, started_at, time.monotonic(), status)
            )

    def _probe(self, router: LocalRouter, request_id: str) -> int:
        """Return the status of an answer, or 0 if there is none."""
        try:
            caller = RawCaller(self._deployment.front(router))
        except OSError:
            return 0
        try:
            return caller.request("GET", _PROBE_TARGET, X_Request_Id=request_id).status
        except OSError:
            return 0
        finally:
            caller.close()


def check_configs_in_time(record: SoakRecord) -> Iterator[Violation]:
    """Check that each router that reaches the store serves by a configuration that may be in force.

    A router that was disturbed or stopped, or cut off from the store, is excused; one that can't
    fetch from its peers, or doesn't hear them, is not.
    """
    for probe in record.probes:
        if probe.status not in (_SERVED, _NO_ROUTE) or _is_excused(record, probe):
            continue
        allowed = _in_force(record.publications, probe)
        if all((probe.status == _SERVED) != found.has_probed_route for found in allowed):
            versions = ", ".join(str(found.version) for found in allowed)
            detail = f"{probe.status} at {probe.started_at:.2f}, in force may be {versions}"
            yield Violation(probe.router, "config-late", detail)


def _in_force(publications: list[Publication], probe: Probe) -> list[Publication]:
    settled = [found for found in publications if found.at <= probe.started_at - _APPLY_S]
    later = [found for found in publications if found not in settled and found.at <= probe.ended_at]
    return [*settled[-1:], *later]


def _is_excused(record: SoakRecord, probe: Probe) -> bool:
    since, until = probe.started_at - _SETTLE_S, probe.ended_at
    components = (probe.router, store_link_of(probe.router), "store")
    return record.was_disturbed(since, until, *components) or any(
        name == probe.router and since - STOPPING_S <= at <= until
        for name, at in record.planned_stops
    )


def store_link_of(router: str) -> str:
    """Return the component under which disturbances of a router's way to the store are recorded."""
    return f"{router}/store"
