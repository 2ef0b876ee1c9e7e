"""Sound targets that send nothing for a second or two, and go on."""

import threading
import time

import pytest

from tests.platform.conftest import wait_for
from tests.platform.test_target_notices import Load, ask_rest
from turmerictray.platform.standins.caller import PROMPT_HEADERS, RawAnswer, make_request
from turmerictray.platform.standins.local import LocalDeployment, default_config
from turmerictray.platform.standins.worker import WorkerFault

pytestmark = pytest.mark.process

SILENCES_S = (1.3, 2.0)


@pytest.fixture
def deployment(tmp_path):
    """Start three routers, four engines and four workers of the plain service."""
    found = LocalDeployment(tmp_path, routers=3, apps=4, engines=4)
    found.start()
    yield found
    found.stop()


@pytest.mark.parametrize("route", ["ping", "plan"])
def test_silent_targets_lose_no_request_amid_a_drain_and_a_rest(deployment, route):
    """Guards against sound targets that are suspected, or whose answers are cut, for a silence."""
    service = "app" if route == "ping" else "llm"
    workers = deployment.of_service(service)
    with Load(deployment.routers, route, callers=12) as load:
        time.sleep(0.5)
        for worker, silence_s in zip(workers, SILENCES_S * 2, strict=True):
            worker.behaviour.silent_until = time.monotonic() + silence_s
            time.sleep(silence_s)
        ask_rest(workers[:1], "2")
        deployment.publish(workers[1], "draining")
        workers[2].behaviour.silent_until = time.monotonic() + SILENCES_S[1]
        time.sleep(2.5)
    assert not load.refused(0.0)
    logs = "".join(router.log_path.read_text() for router in deployment.routers)
    assert not any(
        event in logs for event in ("request_suspected", "crash_attributed", "part_held")
    )


def _read_stream_with_silence(deployment, caller, silence_s: float) -> RawAnswer:
    """Read a stream whose engine falls silent after the first event."""
    engine = deployment.of_service("llm")[0]
    engine.behaviour.event_interval_s = 0.1
    answer = RawAnswer()
    reader = threading.Thread(target=caller.read, args=(answer,), daemon=True)
    caller.send(make_request("POST", "/plan/1", b"prompt", **PROMPT_HEADERS))
    reader.start()
    assert wait_for(answer.event_ids)
    engine.behaviour.silent_until = time.monotonic() + silence_s
    reader.join(10)
    return answer


def _publish_deadline(deployment, timeout_s: float) -> None:
    """Give the requests of a deployment of one router this much time."""
    config = default_config(2)
    for route in config["routes"]:
        route["timeout_ms"] = timeout_s * 1000
    deployment.store.store.put("op/config", config)
    router = deployment.routers[0]
    assert wait_for(lambda: f"version={config['version']}" in router.log_path.read_text())


@pytest.mark.parametrize(("silence_s", "timeout_s"), [(1.5, 3.0), (3.2, 8.0)])
def test_silent_stream_that_no_other_engine_may_take_up_is_answered_whole(
    start_deployment, caller_to, silence_s, timeout_s
):
    """Guards against a stream that is cut for a silence, as if another engine could go on."""
    deployment = start_deployment(routers=1, engines=1)
    _publish_deadline(deployment, timeout_s)
    caller = caller_to(deployment.routers[0])
    answer = _read_stream_with_silence(deployment, caller, silence_s)
    assert answer.complete
    assert answer.event_ids() == [1, 2, 3, 4, 5]
    assert len(deployment.of_service("llm")[0].runs()) == 1


@pytest.mark.parametrize("silence_s", [1.3, 2.2])
@pytest.mark.parametrize(("path", "is_stream"), [("/plan/1", True), ("/order/1", False)])
def test_answer_ended_by_a_close_is_whole_though_its_target_is_silent_then(
    start_deployment, caller_to, path, is_stream, silence_s
):
    """Guards against a whole answer that is cut because its target gives no report in time."""
    deployment = start_deployment(routers=1, engines=1, apps=1)
    _publish_deadline(deployment, 6.0)
    worker = deployment.of_service("llm" if is_stream else "app")[0]
    fault = WorkerFault.UNFRAMED_STREAM if is_stream else WorkerFault.NO_LENGTH
    worker.behaviour.faults.append(fault)
    worker.behaviour.silence_after_close_s = silence_s
    caller, answer = caller_to(deployment.routers[0]), RawAnswer()
    headers = PROMPT_HEADERS if is_stream else {}
    caller.send(make_request("POST", path, b"body", **headers))
    caller.read(answer)
    assert answer.status == 200 and answer.complete
    assert len(worker.runs()) == 1
