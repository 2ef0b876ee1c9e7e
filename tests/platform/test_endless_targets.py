"""A router whose target sends bytes without end."""

import time
from concurrent.futures import ThreadPoolExecutor

import psutil
import pytest

from tests.endless_target import EndlessTarget
from tests.platform.conftest import wait_for
from turmerictray.platform.standins.caller import PROMPT_HEADERS, RawCaller, make_request

pytestmark = pytest.mark.process

CALLERS = 24
DEADLINE_S = 3.0
SLACK_S = 0.5
MAX_GROWTH_BYTES = 150 << 20
"""Half of the memory that a router may have."""


def _call(router, route: str, number: int) -> tuple[int, float]:
    """Return the status of an answer, and the seconds until it came."""
    caller, begun_at = RawCaller(router.front), time.monotonic()
    body, headers = (b"x", PROMPT_HEADERS) if route == "plan" else (b"", {})
    method = "POST" if body else "GET"
    deadline_ms = str(round(1000 * DEADLINE_S))
    caller.send(
        make_request(method, f"/{route}/{number}", body, X_Deadline_Ms=deadline_ms, **headers)
    )
    answer = caller.read()
    caller.close()
    return answer.status, time.monotonic() - begun_at


@pytest.mark.parametrize("drips", [False, True], ids=["fast", "drips"])
@pytest.mark.parametrize("form", ["interim answers", "trailer lines", "body without a length"])
def test_endless_answers_of_one_service_harm_no_other(start_deployment, form, drips):
    """Guards against callers without an answer, and a router that runs out of memory or threads."""
    deployment = start_deployment(routers=1, apps=1)
    (router,) = deployment.routers
    (app,) = deployment.of_service("app")
    target = EndlessTarget(form, drips)
    entry = {**app.entry(), "address": target.address}
    deployment.store.store.put(f"servers/{app.id}", entry)
    time.sleep(0.8)
    process = psutil.Process(router.pid)
    before = process.memory_info().rss
    with ThreadPoolExecutor(2 * CALLERS) as pool:
        pings = [pool.submit(_call, router, "ping", number) for number in range(CALLERS)]
        plans = [pool.submit(_call, router, "plan", number) for number in range(4)]
        peak = before
        while not all(ping.done() for ping in pings):
            peak = max(peak, process.memory_info().rss)
            time.sleep(0.05)
        assert {plan.result()[0] for plan in plans} == {200}
        answers = [ping.result() for ping in pings]
    target.close()
    assert target.request_count
    assert {status for status, _ in answers} <= {502, 503, 504}
    assert max(took_s for _, took_s in answers) < DEADLINE_S + SLACK_S
    assert peak - before < MAX_GROWTH_BYTES
    assert wait_for(lambda: target.open_count == 0)
