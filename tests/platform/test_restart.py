"""Routers that start again while the store answers with what it knew before."""

import threading
import time
from collections import Counter

import pytest

from tests.platform.conftest import wait_for
from turmerictray.platform.standins.caller import RawCaller
from turmerictray.platform.standins.local import LocalDeployment, default_config
from turmerictray.platform.standins.store import StoreServer
from turmerictray.platform.standins.worker import Worker

WATCHED_S = 3.0
"""Time after a start in which the router's answers are looked at."""

pytestmark = pytest.mark.process


def status(router, **headers: str) -> int:
    """Status of a ping; 0 while the router takes no connection."""
    try:
        caller = RawCaller(router.front)
    except OSError:
        return 0
    try:
        return caller.request("GET", "/ping/1", **headers).status
    finally:
        caller.close()


@pytest.fixture
def old_store():
    """Start a store with the first configuration and the entries of some workers."""
    started: list[StoreServer] = []

    def start(workers: list[Worker]) -> StoreServer:
        server = StoreServer().start()
        started.append(server)
        server.store.put("op/config", default_config())
        for worker in workers:
            server.store.put(f"servers/{worker.id}", worker.entry("z1", "ready"))
        return server

    yield start
    for server in started:
        server.stop()


def restart(router, store: StoreServer) -> None:
    """Kill a router and start it again with a store that is behind."""
    router.stop()
    router.use_store(store.address)
    router.start()


def statuses_after_start(router, **headers: str) -> Counter:
    """How often each status is answered from now on, until some time after the first answer."""
    seen = Counter()
    until = time.monotonic() + WATCHED_S
    while time.monotonic() < until:
        answered = status(router, **headers)
        if not any(seen):
            until = time.monotonic() + WATCHED_S
        seen[answered] += 1
        time.sleep(0.01)
    return seen


def publish(deployment: LocalDeployment, config: dict, expected: int, **headers: str) -> None:
    """Publish a configuration and wait until all routers answer by it."""
    deployment.store.store.put("op/config", config)
    for router in deployment.routers:
        assert wait_for(lambda router=router: status(router, **headers) == expected)


@pytest.mark.parametrize("number", [0, 1])
def test_a_dropped_route_is_not_served_after_a_restart(start_deployment, old_store, number):
    """Guards against an old text in force until a peer's newer one comes."""
    deployment = start_deployment(routers=3)
    config = default_config(2)
    config["routes"] = [route for route in config["routes"] if route["name"] != "ping"]
    publish(deployment, config, 404)
    router = deployment.routers[number]
    restart(router, old_store(deployment.workers))
    seen = statuses_after_start(router)
    assert set(seen) <= {0, 404, 503}, seen
    assert seen[404], seen


def test_a_withdrawn_key_is_not_admitted_after_a_restart(start_deployment, old_store):
    """Guards against a key of an old text that admits callers until a peer's text comes."""
    deployment = start_deployment(routers=3)
    config = default_config(2)
    config["tenants"][1]["api_keys"] = ["key-rider-2"]
    publish(deployment, config, 401, Authorization="Bearer key-rider")
    router = deployment.routers[0]
    restart(router, old_store(deployment.workers))
    seen = statuses_after_start(router, Authorization="Bearer key-rider")
    assert set(seen) <= {0, 401, 503}, seen
    assert seen[401], seen


def test_a_target_that_has_left_gets_nothing_after_a_restart(start_deployment, old_store):
    """Guards against requests to a target that only an old list names."""
    deployment = start_deployment(routers=3, apps=2)
    gone = deployment.of_service("app")[0]
    deployment.withdraw(gone)
    time.sleep(1.0)
    before = len(gone.seen)
    router = deployment.routers[0]
    restart(router, old_store(deployment.workers))
    seen = statuses_after_start(router)
    assert seen[200], seen
    assert len(gone.seen) == before


def test_routers_that_restart_together_take_the_text_of_the_one_that_lives(
    start_deployment, old_store
):
    """Guards against routers that have just started and believe each other's old text."""
    deployment = start_deployment(routers=4)
    config = default_config(2)
    config["routes"] = [route for route in config["routes"] if route["name"] != "ping"]
    publish(deployment, config, 404)
    store = old_store(deployment.workers)
    restarted = deployment.routers[:3]
    for router in restarted:
        restart(router, store)
    seen = {}

    def watch(router) -> None:
        seen[router.name] = statuses_after_start(router)

    threads = [threading.Thread(target=watch, args=(router,)) for router in restarted]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    for counts in seen.values():
        assert set(counts) <= {0, 404, 503} and counts[404], seen


@pytest.mark.parametrize("alive", [0, 1])
def test_a_router_whose_peers_are_gone_serves_by_what_the_store_says(start_deployment, alive):
    """Guards against a router that waits for peers which do not come."""
    deployment = start_deployment(routers=3)
    for router in deployment.routers:
        router.stop()
    started = deployment.routers[: 1 + alive]
    for router in started:
        router.start()
    for router in started:
        assert wait_for(router.is_ready, 8.0)
        assert status(router) == 200
