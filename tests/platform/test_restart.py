"""Routers that restart while the store answers with outdated documents."""

import signal
import socket
import threading
import time
from collections import Counter

import pytest

from tests.platform.conftest import wait_for
from turmerictray.platform.standins.caller import RawCaller
from turmerictray.platform.standins.local import LocalDeployment, default_config
from turmerictray.platform.standins.store import StoreServer, StoreTrouble
from turmerictray.platform.standins.worker import Worker

OBSERVATION_S = 3.0
"""How long the answers of a router are checked after its start."""

RECOVERY_S = 12.0
"""Time within which routers that were all killed have to serve again, by the users' pages."""

pytestmark = pytest.mark.process


def status(router, **headers: str) -> int:
    """Return the status of a ping, or 0 if the router accepts no connection."""
    try:
        caller = RawCaller(router.front)
    except OSError:
        return 0
    try:
        return caller.request("GET", "/ping/1", **headers).status
    finally:
        caller.close()


@pytest.fixture
def outdated_store():
    """Start stores with the initial configuration and the entries of some workers."""
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
    """Kill a router and restart it with an outdated store."""
    router.stop()
    router.use_store(store.address)
    router.start()


def statuses_after_start(router, **headers: str) -> Counter:
    """Count the statuses of pings until ``OBSERVATION_S`` after the first answer."""
    seen = Counter()
    until = time.monotonic() + OBSERVATION_S
    while time.monotonic() < until:
        answered = status(router, **headers)
        if not any(seen):
            until = time.monotonic() + OBSERVATION_S
        seen[answered] += 1
        time.sleep(0.01)
    return seen


def publish(deployment: LocalDeployment, config: dict, expected: int, **headers: str) -> None:
    """Publish a configuration and wait until it is active on all routers."""
    deployment.store.store.put("op/config", config)
    for router in deployment.routers:
        assert wait_for(lambda router=router: status(router, **headers) == expected)


@pytest.mark.parametrize("number", [0, 1])
def test_removed_route_is_not_served_after_restart(start_deployment, outdated_store, number):
    """Guards against serving by an outdated configuration until a peer's newer one arrives."""
    deployment = start_deployment(routers=3)
    config = default_config(2)
    config["routes"] = [route for route in config["routes"] if route["name"] != "ping"]
    publish(deployment, config, 404)
    router = deployment.routers[number]
    restart(router, outdated_store(deployment.workers))
    seen = statuses_after_start(router)
    assert set(seen) <= {0, 404, 503}, seen
    assert seen[404], seen


def test_revoked_key_is_not_admitted_after_restart(start_deployment, outdated_store):
    """Guards against accepting a revoked key until a peer's configuration arrives."""
    deployment = start_deployment(routers=3)
    config = default_config(2)
    config["tenants"][1]["api_keys"] = ["key-rider-2"]
    publish(deployment, config, 401, Authorization="Bearer key-rider")
    router = deployment.routers[0]
    restart(router, outdated_store(deployment.workers))
    seen = statuses_after_start(router, Authorization="Bearer key-rider")
    assert set(seen) <= {0, 401, 503}, seen
    assert seen[401], seen


def test_removed_target_receives_no_requests_after_restart(start_deployment, outdated_store):
    """Guards against requests to a target that only the outdated store lists."""
    deployment = start_deployment(routers=3, apps=2)
    gone = deployment.of_service("app")[0]
    deployment.withdraw(gone)
    time.sleep(1.0)
    before = len(gone.received_requests)
    router = deployment.routers[0]
    restart(router, outdated_store(deployment.workers))
    seen = statuses_after_start(router)
    assert seen[200], seen
    assert len(gone.received_requests) == before


def statuses_after_joint_restart(routers, store: StoreServer, during=lambda: None) -> dict:
    """Restart routers with an outdated store; return the statuses of pings by router.

    ``during`` is called once all of them have been started.
    """
    for router in routers:
        restart(router, store)
    seen = {}

    def watch(router) -> None:
        seen[router.name] = statuses_after_start(router)

    threads = [threading.Thread(target=watch, args=(router,)) for router in routers]
    for thread in threads:
        thread.start()
    during()
    for thread in threads:
        thread.join()
    return seen


@pytest.mark.parametrize("stall_s", [0.0, 0.7])
def test_routers_that_restart_together_use_config_of_running_peer(
    start_deployment, outdated_store, stall_s
):
    """Guards against starting routers that accept each other's outdated configuration.

    The running peer may stall for some gossip periods meanwhile.
    """
    deployment = start_deployment(routers=4)
    publish_without_ping(deployment)
    running = deployment.routers[3]

    def resume() -> None:
        time.sleep(stall_s)
        running.signal(signal.SIGCONT)

    if stall_s:
        running.signal(signal.SIGSTOP)
    store = outdated_store(deployment.workers)
    seen = statuses_after_joint_restart(deployment.routers[:3], store, resume)
    for counts in seen.values():
        assert set(counts) <= {0, 404, 503} and counts[404], seen


def test_all_routers_serve_again_beside_a_silent_address_among_the_seeds(start_deployment):
    """Guards against waiting for an address that another program has taken over meanwhile."""
    deployment = start_deployment(routers=3, seeds=4)
    ip, port = deployment.routers[0].peer
    with socket.create_server((ip.rpartition(".")[0] + ".4", port), backlog=1024):
        for router in deployment.routers:
            router.stop()
        started_at = time.monotonic()
        for router in deployment.routers:
            router.start()
        for router in deployment.routers:
            assert wait_for(lambda router=router: status(router) == 200, 40.0)
        assert time.monotonic() - started_at <= RECOVERY_S


@pytest.mark.parametrize("alive", [0, 1])
def test_router_without_reachable_peers_serves_by_store(start_deployment, alive):
    """Guards against a router that waits for peers that never start."""
    deployment = start_deployment(routers=3)
    for router in deployment.routers:
        router.stop()
    started = deployment.routers[: 1 + alive]
    for router in started:
        router.start()
    for router in started:
        assert wait_for(router.is_ready, 8.0)
        assert status(router) == 200


def test_caller_of_a_starting_router_returns_when_it_may_serve(start_deployment):
    """Guards against callers who return during the same start, are refused again and give up."""
    deployment = start_deployment(routers=1)
    router = deployment.routers[0]
    router.stop()
    deployment.store.store.trouble = StoreTrouble.BUSY
    router.start()
    assert wait_for(lambda: status(router) == 503)
    caller = RawCaller(router.front)
    try:
        answer = caller.request("GET", "/ping/1", **{"X-Deadline-Ms": "9000"})
    finally:
        caller.close()
    assert answer.status == 503
    assert 1.5 <= float(answer.headers["Retry-After"]) <= 3.0


def publish_without_ping(deployment: LocalDeployment) -> None:
    """Publish a configuration without the ping route."""
    config = default_config(2)
    config["routes"] = [route for route in config["routes"] if route["name"] != "ping"]
    publish(deployment, config, 404)


def statuses_while_paused(router, peers, pause_s: float) -> tuple[Counter, float]:
    """Count the statuses of pings until ``OBSERVATION_S`` after the peers have been resumed.

    Also return the time from then to the first 404, in seconds.
    """
    seen = Counter()
    resumed_at = time.monotonic() + pause_s
    first_404 = None
    is_paused = True
    while (now := time.monotonic()) < resumed_at + OBSERVATION_S:
        if is_paused and now >= resumed_at:
            is_paused = False
            for peer in peers:
                peer.signal(signal.SIGCONT)
        answered = status(router)
        seen[answered] += 1
        if answered == 404 and first_404 is None:
            first_404 = time.monotonic()
        time.sleep(0.01)
    return seen, (first_404 or now) - resumed_at


@pytest.mark.parametrize(("seeds", "number"), [(3, 0), (3, 2), (1, 0), (1, 1)])
def test_removed_route_is_not_served_while_all_peers_are_frozen(
    start_deployment, outdated_store, seeds, number
):
    """Guards against a frozen peer that is taken for one that is down."""
    deployment = start_deployment(routers=3, seeds=seeds)
    publish_without_ping(deployment)
    router = deployment.routers[number]
    peers = [peer for peer in deployment.routers if peer is not router]
    for peer in peers:
        peer.signal(signal.SIGSTOP)
    restart(router, outdated_store(deployment.workers))
    seen, delay_s = statuses_while_paused(router, peers, 8.0)
    assert set(seen) <= {0, 404, 503} and seen[404], seen
    assert delay_s <= 2.0
