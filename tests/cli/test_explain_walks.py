"""Explanations of failed requests, as in docs/OPERATIONS.md, on logs of a local deployment."""

import threading
import time

import pytest

from turmerictray.cli.explain import explain
from turmerictray.platform.standins.caller import PROMPT_HEADERS, RawCaller
from turmerictray.platform.standins.local import LocalDeployment
from turmerictray.platform.standins.worker import WorkerFault

_LOG_FLUSH_S = 0.3


@pytest.fixture
def deployment(tmp_path):
    deployment = LocalDeployment(tmp_path, routers=2)
    try:
        yield deployment.start()
    finally:
        deployment.stop()


def send_request(deployment, method: str, target: str, request_id: str, **headers: str) -> int:
    caller = RawCaller(deployment.routers[0].front)
    try:
        return caller.request(method, target, b"x", X_Request_Id=request_id, **headers).status
    finally:
        caller.close()


def explanation_of(deployment, request_id: str) -> str:
    time.sleep(_LOG_FLUSH_S)
    logs = [router.log_path for router in deployment.routers]
    return "\n".join(explain(request_id, logs))


def test_order_answered_502(deployment):
    for worker in deployment.of_service("app"):
        worker.behaviour.faults.append(WorkerFault.RESET_AFTER_RUN)
    assert send_request(deployment, "POST", "/order/1", "0rder") == 502
    explanation = explanation_of(deployment, "0rder")
    assert "may_have_run=True" in explanation
    assert "again=False" in explanation
    assert "cause: an attempt was interrupted after the request had been sent" in explanation
    assert "ready for" in explanation


def test_prompt_answered_503(deployment):
    # Each prefill takes seconds, so requests queued behind it can't meet their objective.
    for worker in deployment.of_service("llm"):
        worker.behaviour.read_tokens_per_s = 5_000
    statuses: dict[str, int] = {}

    def prompt(number: int) -> None:
        name = f"plan{number}"
        headers = PROMPT_HEADERS | {
            "X_Token_Count": "12000,80",
            "X_Prompt_Prefix": f"a{number}:10000,b{number}:2000",
        }
        statuses[name] = send_request(deployment, "POST", "/plan/1", name, **headers)

    threads = [threading.Thread(target=prompt, args=(number,)) for number in range(12)]
    for thread in threads:
        thread.start()
        time.sleep(0.03)
    for thread in threads:
        thread.join(10)
    refused = [name for name, status in statuses.items() if status == 503]
    assert refused, statuses
    explanation = explanation_of(deployment, refused[0])
    assert "tries=0" in explanation
    causes = (
        "it reached the maximum waiting time",
        "its estimated wait, based on recent throughput",
    )
    assert any(cause in explanation for cause in causes), explanation


def test_stream_interrupted_midway(deployment):
    for worker in deployment.of_service("llm"):
        worker.behaviour.event_count, worker.behaviour.event_interval_s = 100, 0.1
    assert send_request(deployment, "POST", "/recon/1", "str3am", **PROMPT_HEADERS) == 200
    explanation = explanation_of(deployment, "str3am")
    assert "outcome=cut" in explanation
    assert "cause: the time limit of the route or of the caller expired" in explanation
