"""Number of requests to the store while a whole deployment starts."""

import time

from tests.platform.conftest import wait_for
from turmerictray.platform.standins.local import LocalDeployment, default_config
from turmerictray.platform.standins.worker import Worker

ROUTERS = 8
TARGETS = 40
REGISTRATION_S = 5.0
MAX_CALLS = 100
"""Upper limit on the requests to the store.

Three of the eight routers in one zone read the store: a seed from the start, and two more once they
are established. Each has two watches, which end every 2.5 s; while targets register, one of the two
ends every 0.3 s.
"""


def test_store_calls_are_bounded_while_fleet_starts(tmp_path):
    """Guards against all routers reading the store while nothing is published or settled yet."""
    deployment = LocalDeployment(tmp_path, routers=ROUTERS)
    registered = [Worker(f"new-{number}", "llm") for number in range(TARGETS)]
    try:
        for router in deployment.routers:
            router.start()
        for worker in registered:
            deployment.publish(worker)
            time.sleep(REGISTRATION_S / TARGETS)
        deployment.store.store.put("op/config", default_config())
        assert wait_for(lambda: all(r.is_ready() for r in deployment.routers), 10)
    finally:
        deployment.stop()
    assert deployment.store.store.call_count <= MAX_CALLS
