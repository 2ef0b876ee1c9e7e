"""Fixtures for local deployments, and the steps that the platform's features share."""

import time

import pytest
from pytest_bdd import given, parsers, then, when

from turmerictray.platform.standins.caller import PROMPT_HEADERS, RawCaller
from turmerictray.platform.standins.local import LocalDeployment, default_config
from turmerictray.platform.standins.store import StoreTrouble
from turmerictray.platform.standins.worker import WorkerFault

_DEFAULT_TIMEOUT_S = 3.0


def wait_for(condition, within_s: float = _DEFAULT_TIMEOUT_S) -> bool:
    """Wait until ``condition()`` holds; return False if it does not within the time limit."""
    deadline = time.monotonic() + within_s
    while not condition():
        if time.monotonic() > deadline:
            return False
        time.sleep(0.02)
    return True


@pytest.fixture
def start_deployment(tmp_path):
    """Start a :class:`LocalDeployment`, and stop it after the test."""
    started: list[LocalDeployment] = []

    def start(**options) -> LocalDeployment:
        deployment = LocalDeployment(tmp_path, **options)
        started.append(deployment)
        return deployment.start()

    yield start
    for deployment in started:
        deployment.stop()


@pytest.fixture
def caller_to():
    """Open raw connections to routers, and close them after the test."""
    opened: list[RawCaller] = []

    def connect(router) -> RawCaller:
        opened.append(RawCaller(router.front))
        return opened[-1]

    yield connect
    for caller in opened:
        caller.close()


@given(parsers.parse("a deployment with {routers:d} router(s)"), target_fixture="deployment")
def deployment_with(start_deployment, routers):
    return start_deployment(routers=routers)


@given("a deployment whose retry budget is exhausted", target_fixture="deployment")
def deployment_without_retries(start_deployment):
    return start_deployment(routers=1, min_retries=0)


@given(parsers.parse("the next {count:d} requests to {service} workers trigger {fault}"))
def next_requests_trigger(deployment, count, service, fault):
    for worker in deployment.of_service(service):
        worker.behaviour.faults.extend([WorkerFault(fault)] * count)


@given(parsers.parse("one {service} worker has the fault {fault}"))
def one_worker_has_fault(deployment, service, fault):
    # All workers share one list of faults, so the first worker to get the request consumes the
    # fault, whichever it is.
    shared_faults = deployment.of_service(service)[0].behaviour.faults
    shared_faults.append(WorkerFault(fault))
    for worker in deployment.of_service(service):
        worker.behaviour.faults = shared_faults


@given(parsers.parse("streams that last {seconds:d} seconds"))
def long_streams(deployment, seconds):
    for worker in deployment.of_service("llm"):
        worker.behaviour.event_count = seconds * 10
        worker.behaviour.event_interval_s = 0.1


@when(parsers.parse("a caller sends {method} {target}"))
def send(deployment, caller_to, ctx, method, target):
    ctx["caller"] = caller_to(deployment.routers[0])
    ctx["answer"] = ctx["caller"].request(method, target, b"crates" if method == "POST" else b"")


@when(parsers.parse("a caller requests the stream {target}"))
def request_stream(deployment, caller_to, ctx, target):
    ctx["caller"] = caller_to(deployment.routers[0])
    ctx["answer"] = ctx["caller"].request("POST", target, b"prompt", **PROMPT_HEADERS)


@when(parsers.parse("the store fails with {trouble}"))
def store_fails(deployment, trouble):
    deployment.store.store.trouble = StoreTrouble(trouble)


@when(parsers.parse("version {version:d} without the route {name} is published"))
def publish_without(deployment, version, name):
    config = default_config(version)
    config["routes"] = [route for route in config["routes"] if route["name"] != name]
    deployment.store.store.put("op/config", config)


@then(parsers.parse("the answer is {status:d}"))
def answer_is(ctx, status):
    assert ctx["answer"].complete
    assert ctx["answer"].status == status, ctx["answer"]


@then(parsers.parse("{count:d} {service} request(s) ran"))
def requests_ran(deployment, count, service):
    ran = [seen for worker in deployment.of_service(service) for seen in worker.runs()]
    assert len(ran) == count, ran


@then("the answer has a Retry-After header")
def has_retry_after(ctx):
    assert 0 < float(ctx["answer"].headers["Retry-After"]) < 5


@then("the answer comes from the router")
def answer_is_not_sealed(ctx):
    assert "X-Server-Seal" not in ctx["answer"].headers
