"""Graceful stop of a router with streams that last longer than the grace period."""

import signal
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import closing

import pytest

from tests.platform.conftest import wait_for
from turmerictray.platform.standins.caller import PROMPT_HEADERS, RawCaller, make_request
from turmerictray.platform.standins.local import default_config

GRACE_S = 6.0
"""Grace period in the settings of :class:`LocalDeployment`, after which a process is killed."""

STREAMS = 40
CALLERS = 4


@pytest.mark.process
def test_no_stream_that_a_stop_ends_looks_complete(start_deployment):
    """Guards against a stop whose end of a stream without length or chunks looks proper."""
    deployment = start_deployment(routers=1, engines=4)
    config = default_config(2)
    for route in config["routes"]:
        route["timeout_ms"] = 30_000
    deployment.store.store.put("op/config", config)
    for worker in deployment.of_service("llm"):
        worker.behaviour.event_count, worker.behaviour.event_interval_s = 150, 0.1
        worker.behaviour.is_chunked = False
    time.sleep(1.0)
    router = deployment.routers[0]
    callers = [RawCaller(router.front) for _ in range(8)]
    for number, caller in enumerate(callers):
        path = f"/plan/{number}" if number % 2 else f"/recon/{number}"
        headers = PROMPT_HEADERS | {"X_Deadline_Ms": "30000"}
        caller.send(make_request("POST", path, b"x", **headers))
    time.sleep(1.0)
    router.signal(signal.SIGTERM)
    answers = [caller.read() for caller in callers]
    assert router.wait() == 0
    for caller in callers:
        caller.close()
    assert all(answer.status == 200 and answer.event_ids() for answer in answers)
    assert not any(answer.complete for answer in answers)
    assert "closed_by=router_stop outcome=cut" in router.log_path.read_text()


@pytest.mark.process
def test_router_stops_within_grace_period_despite_many_streams(start_deployment):
    """Guards against ending streams one after the other, which exceeds the grace period."""
    deployment = start_deployment(routers=1, engines=6)
    config = default_config(2)
    for route in config["routes"]:
        route["timeout_ms"] = 30_000
    deployment.store.store.put("op/config", config)
    for worker in deployment.of_service("llm"):
        worker.behaviour.event_count, worker.behaviour.event_interval_s = 400, 0.1
    time.sleep(1.0)
    router = deployment.routers[0]
    callers = [RawCaller(router.front) for _ in range(STREAMS)]
    for number, caller in enumerate(callers):
        headers = PROMPT_HEADERS | {"X_Deadline_Ms": "30000"}
        caller.send(make_request("POST", f"/plan/{number}", b"x", **headers))
    time.sleep(1.0)
    signalled_at = time.monotonic()
    router.signal(signal.SIGTERM)
    assert router.wait() == 0
    took_s = time.monotonic() - signalled_at
    for caller in callers:
        caller.close()
    assert took_s < GRACE_S


@pytest.mark.process
def test_every_caller_whose_connection_a_stopping_router_accepts_is_answered(start_deployment):
    """Guards against requests that arrive between the end of a drain and that of its process."""
    router = start_deployment(routers=1, engines=1).routers[0]
    time.sleep(1.0)
    with ThreadPoolExecutor(CALLERS) as pool:
        results = [pool.submit(_ask_until_refused, router.front) for _ in range(CALLERS)]
        time.sleep(0.2)
        router.signal(signal.SIGTERM)
        statuses = [status for result in results for status in result.result(2 * GRACE_S)]
    assert router.wait() == 0
    assert set(statuses) == {200, 503}


@pytest.mark.process
@pytest.mark.parametrize("path", ["/order/1", "/ping/1", "/plan/1"])
def test_request_that_a_stop_ends_before_its_answer_is_told_so(start_deployment, path):
    """Guards against requests that may not be repeated and end with their process, untold."""
    deployment = start_deployment(routers=1, engines=1, apps=1)
    config = default_config(2)
    for route in config["routes"]:
        route["timeout_ms"] = 20_000
    deployment.store.store.put("op/config", config)
    app, llm = deployment.of_service("app")[0], deployment.of_service("llm")[0]
    app.behaviour.service_time_s = llm.behaviour.event_interval_s = 2 * GRACE_S
    app.behaviour.slots = llm.behaviour.slots = CALLERS
    for worker in (app, llm):
        deployment.publish(worker)
    time.sleep(1.0)
    router = deployment.routers[0]
    callers = [RawCaller(router.front) for _ in range(CALLERS)]
    headers = {"X_Deadline_Ms": "15000"} | (PROMPT_HEADERS if path == "/plan/1" else {})
    for number, caller in enumerate(callers):
        headers["X_Request_Id"] = f"{number:016x}"
        caller.send(make_request("POST", path, b"x", **headers))
    assert wait_for(lambda: len(app.runs() + llm.runs()) == CALLERS)
    signalled_at = time.monotonic()
    router.signal(signal.SIGTERM)
    answers = [caller.read() for caller in callers]
    assert router.wait() == 0
    assert time.monotonic() - signalled_at < GRACE_S
    for caller in callers:
        caller.close()
    if path == "/plan/1":
        # The head of a stream goes out with its first event; until then it can be refused.
        assert {answer.status for answer in answers} <= {502, 503}
    else:
        assert [answer.status for answer in answers] == [502] * CALLERS
    assert all(answer.complete for answer in answers)


def _ask_until_refused(front: tuple[str, int]) -> list[int]:
    """Return the statuses of requests, each on a connection of its own; 0 for no answer."""
    statuses = []
    while True:
        try:
            caller = RawCaller(front)
        except ConnectionRefusedError:
            return statuses
        with closing(caller):
            try:
                statuses.append(caller.request("GET", "/ping/1").status)
            except ConnectionError:
                statuses.append(0)
        time.sleep(0.002)
