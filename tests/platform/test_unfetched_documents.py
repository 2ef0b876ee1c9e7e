"""Changes that are published while what a router hears, or reads, keeps nothing up to date."""

import math
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3

from tests.platform.test_killed_readers import CONFIG_APPLY_S, SETTLED_S, readers
from tests.platform.test_restart import status
from turmerictray.loadtool.relay import Network
from turmerictray.platform.standins.local import PeerPort, default_config
from turmerictray.platform.standins.store import StoreTrouble
from turmerictray.platform.standins.worker import Worker

OBSERVATION_S = 6.0
"""How long a change is waited for, to tell late routers from those that never have it."""

OUTAGE_S = 4.0

SLOW_PAGE_S = 1.5
"""Delay of each piece of an answer, above the time that a router waits for it."""

RETIRED = "app-retired"
EVACUATED = "z9"

pytestmark = pytest.mark.process


@pytest.fixture
def deployment(start_deployment):
    """Start a deployment of one zone and wait until only its readers read the store."""
    found = start_deployment(routers=5, seeds=3, network=Network(), relays_peers=True)
    found.add_worker(Worker(RETIRED, "app").start())
    time.sleep(SETTLED_S)
    return found


def page_links(deployment) -> tuple[set[str], set[str]]:
    """Return the ends of the links over which routers fetch each other's documents."""
    names = {router.name for router in deployment.routers}
    return names, {PeerPort.PAGES.of(name) for name in names}


def cut_pages(deployment):
    """Cut the connections over which routers fetch documents; they go on hearing each other."""
    deployment.network.partition(*page_links(deployment))
    return deployment.routers


def cut_pages_after_an_outage(deployment):
    """Cut these connections some time after an outage of the store, which ended for all."""
    store = deployment.store.store
    store.trouble = StoreTrouble.BUSY
    time.sleep(OUTAGE_S)
    store.trouble = StoreTrouble.NONE
    time.sleep(SETTLED_S)
    return cut_pages(deployment)


def delay_pages(deployment):
    """Delay what routers fetch from each other for longer than they wait for it."""
    deployment.network.delay(*page_links(deployment), SLOW_PAGE_S)
    return deployment.routers


def refuse_pages(deployment):
    """Refuse the connections over which routers fetch documents."""
    for page in page_links(deployment)[1]:
        deployment.network.refuse_connections(page)
    return deployment.routers


def silence_store_of_readers(deployment):
    """Silence the readers' connections to the store; they go on being heard."""
    chosen = readers(deployment.routers)
    deployment.network.partition({router.name for router in chosen}, {"store"})
    return [router for router in deployment.routers if router not in chosen]


def silence_store_of_all_but_one(deployment):
    """Silence the connections to the store of all routers but one that doesn't read it."""
    spared = next(r for r in deployment.routers if r not in readers(deployment.routers))
    names = {router.name for router in deployment.routers if router is not spared}
    deployment.network.partition(names, {"store"})
    return [spared]


def stall_store_connections(deployment):
    """Stall the open connections of all routers to the store; new ones work."""
    names, _ = page_links(deployment)
    deployment.network.stall_connections(names, {"store"})
    return deployment.routers


def reset_store_connections(deployment):
    """Reset the open connections of all routers to the store; new ones work."""
    names, _ = page_links(deployment)
    deployment.network.reset_connections(names, {"store"})
    return deployment.routers


def stall_connections_of_a_reader(deployment):
    """Stall the connections of a reader to the store and to pages; new ones work."""
    chosen = readers(deployment.routers)[0]
    _, pages = page_links(deployment)
    deployment.network.stall_connections({chosen.name}, pages | {"store"})
    return deployment.routers


def state_of(router) -> dict:
    """Return the state that a router tells operators."""
    return urllib3.request("GET", f"{router.admin_url}/status", timeout=1, retries=False).json()


def lacks_route(router) -> bool:
    return status(router) == 404


def lacks_worker(router) -> bool:
    pools = state_of(router)["services"].values()
    return not any(name.startswith(RETIRED) for pool in pools for name in pool["targets"])


def lacks_zone(router) -> bool:
    return EVACUATED in state_of(router)["evacuated_zones"]


def lags_s(router, published_at: float) -> dict[str, float]:
    """Return after how many seconds each change is in force at a router."""
    lags = {change.__name__: math.inf for change in (lacks_route, lacks_worker, lacks_zone)}
    while math.inf in lags.values() and time.monotonic() - published_at < OBSERVATION_S:
        for change in (lacks_route, lacks_worker, lacks_zone):
            if lags[change.__name__] == math.inf and change(router):
                lags[change.__name__] = round(time.monotonic() - published_at, 2)
        time.sleep(0.02)
    return lags


@pytest.mark.parametrize(
    ("disturb", "delay_s"),
    [
        (cut_pages, 0.0),
        (cut_pages, 2.2),
        (cut_pages_after_an_outage, 0.0),
        (delay_pages, 0.0),
        (refuse_pages, 1.0),
        (silence_store_of_readers, 0.0),
        (silence_store_of_readers, 1.0),
        (silence_store_of_all_but_one, 0.0),
        (silence_store_of_all_but_one, 2.2),
        (stall_store_connections, 0.0),
        (reset_store_connections, 0.2),
        (stall_connections_of_a_reader, 0.0),
    ],
)
def test_change_is_in_force_in_time_at_routers_that_reach_the_store(deployment, disturb, delay_s):
    """Guards against routers that take being told nothing newer for being up to date."""
    reaching = disturb(deployment)
    time.sleep(delay_s)
    config = default_config(2)
    config["routes"] = [route for route in config["routes"] if route["name"] != "ping"]
    published_at = time.monotonic()
    deployment.store.store.put("op/config", config)
    deployment.withdraw(deployment.workers[-1])
    deployment.evacuate(EVACUATED)
    with ThreadPoolExecutor() as pool:
        lags = list(pool.map(lambda router: lags_s(router, published_at), reaching))
    assert all(max(lag.values()) <= CONFIG_APPLY_S for lag in lags), lags
