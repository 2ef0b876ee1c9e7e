"""From the id of a failed request to its cause, as docs/OPERATIONS.md shows it, on fresh logs."""

import threading
import time

import pytest

from turmerictray.cli.explain import explain
from turmerictray.platform.standins.caller import PROMPT_HEADERS, RawCaller
from turmerictray.platform.standins.local import LocalDeployment
from turmerictray.platform.standins.worker import WorkerFault

_WRITTEN_S = 0.3


@pytest.fixture
def deployment(tmp_path):
    deployment = LocalDeployment(tmp_path, routers=2)
    try:
        yield deployment.start()
    finally:
        deployment.stop()


def ask(deployment, method: str, target: str, request_id: str, **headers: str) -> int:
    caller = RawCaller(deployment.routers[0].front)
    try:
        return caller.request(method, target, b"x", X_Request_Id=request_id, **headers).status
    finally:
        caller.close()


def story(deployment, request_id: str) -> str:
    time.sleep(_WRITTEN_S)
    logs = [router.log_path for router in deployment.routers]
    return "\n".join(explain(request_id, logs))


def test_order_answered_502(deployment):
    for worker in deployment.of_service("app"):
        worker.behaviour.faults.append(WorkerFault.RESET_AFTER_RUN)
    assert ask(deployment, "POST", "/order/1", "0rder") == 502
    told = story(deployment, "0rder")
    assert "may_have_run=True" in told
    assert "again=False" in told
    assert "cause: a try broke off after the request had been sent" in told
    assert "ready for" in told


def test_prompt_answered_503(deployment):
    # Each engine reads for seconds; whoever comes behind can't be answered within the objective.
    for worker in deployment.of_service("llm"):
        worker.behaviour.read_tokens_per_s = 5_000
    statuses: dict[str, int] = {}

    def prompt(number: int) -> None:
        name = f"plan{number}"
        headers = PROMPT_HEADERS | {
            "X_Token_Count": "12000,80",
            "X_Prompt_Prefix": f"a{number}:10000,b{number}:2000",
        }
        statuses[name] = ask(deployment, "POST", "/plan/1", name, **headers)

    threads = [threading.Thread(target=prompt, args=(number,)) for number in range(12)]
    for thread in threads:
        thread.start()
        time.sleep(0.03)
    for thread in threads:
        thread.join(10)
    refused = [name for name, status in statuses.items() if status == 503]
    assert refused, statuses
    told = story(deployment, refused[0])
    assert "tries=0" in told
    causes = ("it waited as long as it may", "its turn would have come too late")
    assert any(cause in told for cause in causes), told


def test_stream_that_stopped_in_the_middle(deployment):
    for worker in deployment.of_service("llm"):
        worker.behaviour.event_count, worker.behaviour.event_interval_s = 100, 0.1
    assert ask(deployment, "POST", "/recon/1", "str3am", **PROMPT_HEADERS) == 200
    told = story(deployment, "str3am")
    assert "outcome=cut" in told
    assert "cause: the route's or the caller's time was over" in told
