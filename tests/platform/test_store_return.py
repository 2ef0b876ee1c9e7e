"""A store that comes back from a copy some seconds old, with router processes."""

import time

import pytest
import urllib3

from tests.platform.conftest import wait_for
from turmerictray.loadtool.relay import Network
from turmerictray.platform.standins.caller import RawCaller
from turmerictray.platform.standins.local import LocalDeployment, default_config
from turmerictray.platform.standins.store import StoreTrouble
from turmerictray.platform.standins.worker import Worker

COPY_AGE_S = 1.0
KNOWN_WITHIN_S = 5.0
"""What is written again is known by then; two seconds of it are for those that write."""

pytestmark = pytest.mark.process


def ping(router) -> int:
    caller = RawCaller(router.front)
    try:
        return caller.request("GET", "/ping/1").status
    finally:
        caller.close()


def write_again(deployment: LocalDeployment, version: int) -> None:
    """Operators and workers write what they wrote since the copy."""
    deployment.store.store.put("op/config", default_config(version))
    for worker in deployment.workers:
        if not worker.closing.is_set():
            deployment.publish(worker)


def come_back(deployment: LocalDeployment, meanwhile=lambda: None) -> None:
    """The store is away for a moment; ``meanwhile`` writes before it serves its readers."""
    store = deployment.store.store
    store.trouble = StoreTrouble.RESET
    time.sleep(0.2)
    store.restore(COPY_AGE_S)
    meanwhile()
    store.trouble = StoreTrouble.NONE


def write_often(deployment: LocalDeployment) -> None:
    """Revisions grow, and the workers' entries have the newest ones."""
    for _ in range(20):
        for worker in deployment.of_service("app"):
            deployment.publish(worker)


def restart_workers(deployment: LocalDeployment) -> list[Worker]:
    """All plain workers end and start again under their names, elsewhere."""
    fresh = []
    for worker in deployment.of_service("app"):
        worker.stop()
        fresh.append(Worker(worker.id, "app").start())
    deployment.workers = [w for w in deployment.workers if w.service != "app"]
    for worker in fresh:
        deployment.add_worker(worker)
    return fresh


@pytest.mark.parametrize("passing", [False, True])
def test_what_is_written_after_a_return_is_known(start_deployment, passing):
    """Guards against revisions that are given out again and taken for old ones."""
    deployment = start_deployment(routers=2, apps=2)
    time.sleep(COPY_AGE_S + 0.2)
    write_often(deployment)
    time.sleep(0.6)

    def meanwhile() -> None:
        restart_workers(deployment)
        for number in range(60 if passing else 0):
            deployment.store.store.put(f"other/{number}", {})

    come_back(deployment, meanwhile)
    workers = deployment.of_service("app")
    for router in deployment.routers:
        before = [len(worker.runs()) for worker in workers]

        def reaches_both(router=router, before=before) -> bool:
            ping(router)
            return all(len(w.runs()) > count for w, count in zip(workers, before, strict=True))

        assert wait_for(reaches_both, KNOWN_WITHIN_S)


def test_a_withdrawn_route_stays_withdrawn(start_deployment):
    """Guards against an old text that comes into force again while the store returns."""
    deployment = start_deployment(routers=2)
    store = deployment.store.store
    time.sleep(COPY_AGE_S + 0.2)
    config = default_config(2)
    config["routes"] = [route for route in config["routes"] if route["name"] != "ping"]
    store.put("op/config", config)
    for router in deployment.routers:
        assert wait_for(lambda router=router: ping(router) == 404)
    come_back(deployment)
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


def test_a_worker_that_is_gone_is_not_believed_to_be_back(start_deployment):
    """Guards against requests to what a copy still lists."""
    deployment = start_deployment(routers=2, apps=2)
    time.sleep(COPY_AGE_S + 0.2)
    gone = deployment.of_service("app")[0]
    gone.stop()
    deployment.withdraw(gone)
    time.sleep(0.6)
    come_back(deployment)
    time.sleep(0.6)
    for router in deployment.routers:
        assert gone.id not in str(_status(router))


def test_a_worker_that_was_leaving_gets_nothing_more(start_deployment):
    """Guards against an entry from before a worker said that it leaves."""
    deployment = start_deployment(routers=2, apps=2)
    time.sleep(COPY_AGE_S + 0.2)
    leaving = deployment.of_service("app")[0]
    deployment.publish(leaving, "draining")
    time.sleep(0.6)
    come_back(deployment)
    time.sleep(0.6)
    before = len(leaving.seen)
    assert {ping(router) for router in deployment.routers for _ in range(10)} == {200}
    assert len(leaving.seen) == before


def test_a_router_that_does_not_reach_the_store_hears_of_the_new_era(start_deployment):
    """Guards against an older era whose higher revision is taken for the newest."""
    deployment = start_deployment(routers=3, apps=2, network=Network())
    time.sleep(COPY_AGE_S + 0.2)
    write_often(deployment)
    time.sleep(0.8)
    deployment.network.cut({"r2"}, {"store"})
    come_back(deployment, lambda: restart_workers(deployment))
    for router in deployment.routers:
        assert wait_for(lambda router=router: ping(router) == 200, KNOWN_WITHIN_S)
    assert {_status(router)["store_era"] for router in deployment.routers} == {2}


def test_workers_that_write_again_are_served_all_the_while(start_deployment):
    """Guards against targets that are dropped because a copy does not list them yet."""
    deployment = start_deployment(routers=2, apps=1)
    time.sleep(COPY_AGE_S + 0.2)
    young = Worker("app-young", "app").start()
    deployment.add_worker(young)
    old = deployment.of_service("app")[0]
    old.stop()
    deployment.withdraw(old)
    for router in deployment.routers:
        assert wait_for(lambda router=router: ping(router) == 200)
    come_back(deployment)
    until = time.monotonic() + 1.5
    answers = set()
    while time.monotonic() < until:
        answers |= {ping(router) for router in deployment.routers}
    assert answers == {200}
    write_again(deployment, 1)
    time.sleep(1.5)
    assert {ping(router) for router in deployment.routers} == {200}


def _status(router) -> dict:
    return urllib3.request("GET", f"{router.admin}/status", timeout=3, retries=False).json()
