"""Router processes and a store that is restored from a backup a second old."""

import time

import pytest
import urllib3

from tests.platform.conftest import wait_for
from turmerictray.loadtool.relay import Network
from turmerictray.platform.standins.caller import RawCaller
from turmerictray.platform.standins.local import LocalDeployment, default_config
from turmerictray.platform.standins.store import StoreTrouble
from turmerictray.platform.standins.worker import Worker

BACKUP_AGE_S = 1.0
PROPAGATION_S = 5.0
"""Time until routers know entries written after a restore; two seconds are for the writers."""

pytestmark = pytest.mark.process


def ping(router) -> int:
    caller = RawCaller(router.front)
    try:
        return caller.request("GET", "/ping/1").status
    finally:
        caller.close()


def republish(deployment: LocalDeployment, version: int) -> None:
    """Write the configuration and the workers' entries again, as operators and workers do."""
    deployment.store.store.put("op/config", default_config(version))
    for worker in deployment.workers:
        if not worker.closing.is_set():
            deployment.publish(worker)


def restore_store(deployment: LocalDeployment, meanwhile=lambda: None) -> None:
    """Interrupt the store and restore it from its backup.

    ``meanwhile`` is called after the restore and before the store answers its readers again.
    """
    store = deployment.store.store
    store.trouble = StoreTrouble.RESET
    time.sleep(0.2)
    store.restore_backup(BACKUP_AGE_S)
    meanwhile()
    store.trouble = StoreTrouble.NONE


def raise_revisions(deployment: LocalDeployment) -> None:
    """Write the workers' entries repeatedly, so that they have the highest revisions."""
    for _ in range(20):
        for worker in deployment.of_service("app"):
            deployment.publish(worker)


def restart_workers(deployment: LocalDeployment) -> list[Worker]:
    """Replace all plain workers by new processes with the same names and other addresses."""
    restarted = []
    for worker in deployment.of_service("app"):
        worker.stop()
        restarted.append(Worker(worker.id, "app").start())
    deployment.workers = [w for w in deployment.workers if w.service != "app"]
    for worker in restarted:
        deployment.add_worker(worker)
    return restarted


@pytest.mark.parametrize("exceeds_old_revision", [False, True])
def test_entries_written_after_a_restore_are_applied(start_deployment, exceeds_old_revision):
    """Guards against ignoring entries because a restored store assigns revisions again."""
    deployment = start_deployment(routers=2, apps=2)
    time.sleep(BACKUP_AGE_S + 0.2)
    raise_revisions(deployment)
    time.sleep(0.6)

    def meanwhile() -> None:
        restart_workers(deployment)
        for number in range(60 if exceeds_old_revision else 0):
            deployment.store.store.put(f"other/{number}", {})

    restore_store(deployment, meanwhile)
    workers = deployment.of_service("app")
    for router in deployment.routers:
        before = [len(worker.runs()) for worker in workers]

        def reaches_both(router=router, before=before) -> bool:
            ping(router)
            return all(len(w.runs()) > count for w, count in zip(workers, before, strict=True))

        assert wait_for(reaches_both, PROPAGATION_S)


def test_removed_route_stays_removed(start_deployment):
    """Guards against an old configuration that becomes active again after a restore."""
    deployment = start_deployment(routers=2)
    store = deployment.store.store
    time.sleep(BACKUP_AGE_S + 0.2)
    config = default_config(2)
    config["routes"] = [route for route in config["routes"] if route["name"] != "ping"]
    store.put("op/config", config)
    for router in deployment.routers:
        assert wait_for(lambda router=router: ping(router) == 404)
    restore_store(deployment)
    restarted = deployment.routers[1]
    restarted.stop()
    restarted.start()
    restarted.wait_ready()
    for _ in range(20):
        assert ping(deployment.routers[0]) == 404
        time.sleep(0.05)
    assert wait_for(lambda: ping(restarted) == 404)
    store.put("op/config", config)
    time.sleep(0.5)
    assert [ping(router) for router in deployment.routers] == [404, 404]


def test_stopped_worker_listed_by_backup_is_not_trusted(start_deployment):
    """Guards against requests to a stopped worker that the backup still lists."""
    deployment = start_deployment(routers=2, apps=2)
    time.sleep(BACKUP_AGE_S + 0.2)
    stopped = deployment.of_service("app")[0]
    stopped.stop()
    deployment.withdraw(stopped)
    time.sleep(0.6)
    restore_store(deployment)
    time.sleep(0.6)
    for router in deployment.routers:
        assert stopped.id not in str(_status(router))


def test_leaving_worker_receives_no_requests_after_restore(start_deployment):
    """Guards against applying an entry from before the worker announced that it leaves."""
    deployment = start_deployment(routers=2, apps=2)
    time.sleep(BACKUP_AGE_S + 0.2)
    leaving = deployment.of_service("app")[0]
    deployment.publish(leaving, "draining")
    time.sleep(0.6)
    restore_store(deployment)
    time.sleep(0.6)
    before = len(leaving.received_requests)
    assert {ping(router) for router in deployment.routers for _ in range(10)} == {200}
    assert len(leaving.received_requests) == before


def test_router_cut_off_from_store_learns_new_era(start_deployment):
    """Guards against taking a higher revision of an older era for the newest."""
    deployment = start_deployment(routers=3, apps=2, network=Network())
    time.sleep(BACKUP_AGE_S + 0.2)
    raise_revisions(deployment)
    time.sleep(0.8)
    deployment.network.partition({"r2"}, {"store"})
    restore_store(deployment, lambda: restart_workers(deployment))
    for router in deployment.routers:
        assert wait_for(lambda router=router: ping(router) == 200, PROPAGATION_S)
    assert {_status(router)["store_era"] for router in deployment.routers} == {2}


def test_workers_missing_from_backup_stay_available(start_deployment):
    """Guards against dropping targets that registered after the backup was made."""
    deployment = start_deployment(routers=2, apps=1)
    time.sleep(BACKUP_AGE_S + 0.2)
    added = Worker("app-added", "app").start()
    deployment.add_worker(added)
    original = deployment.of_service("app")[0]
    original.stop()
    deployment.withdraw(original)
    for router in deployment.routers:
        assert wait_for(lambda router=router: ping(router) == 200)
    restore_store(deployment)
    until = time.monotonic() + 1.5
    answers = set()
    while time.monotonic() < until:
        answers |= {ping(router) for router in deployment.routers}
    assert answers == {200}
    republish(deployment, 1)
    time.sleep(1.5)
    assert {ping(router) for router in deployment.routers} == {200}


def _status(router) -> dict:
    return urllib3.request("GET", f"{router.admin_url}/status", timeout=3, retries=False).json()
