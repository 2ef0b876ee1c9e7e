"""A planned stop while streams go on for longer than the grace period."""

import signal
import time

import pytest

from turmerictray.platform.standins.caller import PROMPT, RawCaller, make_request
from turmerictray.platform.standins.local import default_config

GRACE_S = 6.0
"""As in the settings of :class:`LocalDeployment`; a process that still runs then is killed."""

STREAMS = 40


@pytest.mark.process
def test_a_router_ends_within_its_grace_period_however_many_streams_go_on(start_deployment):
    """Guards against a stop that ends streams one after the other and is killed for it."""
    deployment = start_deployment(routers=1, engines=6)
    config = default_config(2)
    for route in config["routes"]:
        route["timeout_ms"] = 30_000
    deployment.store.store.put("op/config", config)
    for worker in deployment.of_service("llm"):
        worker.plan.events, worker.plan.pause_s = 400, 0.1
    time.sleep(1.0)
    router = deployment.routers[0]
    callers = [RawCaller(router.front) for _ in range(STREAMS)]
    for number, caller in enumerate(callers):
        headers = PROMPT | {"X_Deadline_Ms": "30000"}
        caller.send(make_request("POST", f"/plan/{number}", b"x", **headers))
    time.sleep(1.0)
    told_at = time.monotonic()
    router.signal(signal.SIGTERM)
    assert router.wait() == 0
    took_s = time.monotonic() - told_at
    for caller in callers:
        caller.close()
    assert took_s < GRACE_S
