"""A configuration that is published just after the routers that read the store were killed."""

import time

import pytest

from tests.platform.conftest import wait_for
from tests.platform.test_restart import status
from turmerictray.core.ids import NodeId, ZoneId
from turmerictray.membership.messages import MemberEntry
from turmerictray.platform.standins.local import DEFAULT_ZONE, default_config
from turmerictray.router.store_readers import StoreReaderSelection

CONFIG_APPLY_S = 2.0
"""Time within which a new configuration has to be in force, by the users' pages."""

SETTLED_S = 4.0
"""Time after which only the routers that are selected to do so read the store."""

pytestmark = pytest.mark.process


def readers(routers) -> list:
    """Return the routers that read the store for the others."""
    members = [MemberEntry(r.name, DEFAULT_ZONE, r.ip, 1, 20) for r in routers]
    found = []
    for router in routers:
        selection = StoreReaderSelection(NodeId(router.name), ZoneId(DEFAULT_ZONE))
        selection.update_members(members)
        if selection.is_designated():
            found.append(router)
    return found


def test_config_is_in_force_in_time_though_all_readers_of_the_zone_were_killed(start_deployment):
    """Guards against routers that wait for killed readers until these count as down."""
    deployment = start_deployment(routers=5, seeds=3)
    time.sleep(SETTLED_S)
    killed = readers(deployment.routers)
    running = [router for router in deployment.routers if router not in killed]
    assert len(running) == 3
    for router in killed:
        router.stop()
    config = default_config(2)
    config["routes"] = [route for route in config["routes"] if route["name"] != "ping"]
    published_at = time.monotonic()
    deployment.store.store.put("op/config", config)
    for router in running:
        assert wait_for(lambda router=router: status(router) == 404, 6.0)
    assert time.monotonic() - published_at <= CONFIG_APPLY_S
