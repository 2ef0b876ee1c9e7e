"""Deployments on loopback and the steps that the platform's features share."""

import time

import pytest
from pytest_bdd import given, parsers, then, when

from turmerictray.platform.standins.caller import PROMPT, RawCaller
from turmerictray.platform.standins.local import LocalDeployment, default_config
from turmerictray.platform.standins.store import StoreTrouble
from turmerictray.platform.standins.worker import WorkerFault

_SEEN_S = 3.0


def wait_for(condition, within_s: float = _SEEN_S) -> bool:
    """Wait until ``condition()`` holds; false when it does not in time."""
    until = time.monotonic() + within_s
    while not condition():
        if time.monotonic() > until:
            return False
        time.sleep(0.02)
    return True


@pytest.fixture
def start_deployment(tmp_path):
    """Start a :class:`LocalDeployment`; stop it after the test."""
    started: list[LocalDeployment] = []

    def start(**parts) -> LocalDeployment:
        deployment = LocalDeployment(tmp_path, **parts)
        started.append(deployment)
        return deployment.start()

    yield start
    for deployment in started:
        deployment.stop()


@pytest.fixture
def caller_to():
    """Open raw connections to routers; close them after the test."""
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


@given("a deployment whose budget of repeats is used up", target_fixture="deployment")
def deployment_without_repeats(start_deployment):
    return start_deployment(routers=1, repeats=0)


@given(parsers.parse("the next {count:d} requests at {service} workers meet {fault}"))
def next_requests_meet(deployment, count, service, fault):
    for worker in deployment.of_service(service):
        worker.plan.faults.extend([WorkerFault(fault)] * count)


@given(parsers.parse("one {service} worker meets {fault}"))
def one_worker_meets(deployment, service, fault):
    # The request goes to either worker; whichever it is, only the first one has the fault.
    shared = deployment.of_service(service)[0].plan.faults
    shared.append(WorkerFault(fault))
    for worker in deployment.of_service(service):
        worker.plan.faults = shared


@given(parsers.parse("streams that last {seconds:d} seconds"))
def long_streams(deployment, seconds):
    for worker in deployment.of_service("llm"):
        worker.plan.events = seconds * 10
        worker.plan.pause_s = 0.1


@when(parsers.parse("a caller sends {method} {target}"))
def send(deployment, caller_to, ctx, method, target):
    ctx["caller"] = caller_to(deployment.routers[0])
    ctx["answer"] = ctx["caller"].request(method, target, b"crates" if method == "POST" else b"")


@when(parsers.parse("a caller asks for the stream {target}"))
def ask_stream(deployment, caller_to, ctx, target):
    ctx["caller"] = caller_to(deployment.routers[0])
    ctx["answer"] = ctx["caller"].request("POST", target, b"prompt", **PROMPT)


@when(parsers.parse("the store is {trouble}"))
def store_trouble(deployment, trouble):
    deployment.store.store.trouble = StoreTrouble(trouble)


@when(parsers.parse("version {version:d} without the route {name} is published"))
def publish_without(deployment, version, name):
    config = default_config(version)
    config["routes"] = [route for route in config["routes"] if route["name"] != name]
    deployment.store.store.put("op/config", config)


@then(parsers.parse("the answer is {status:d}"))
def answer_is(ctx, status):
    assert ctx["answer"].whole
    assert ctx["answer"].status == status, ctx["answer"]


@then(parsers.parse("{count:d} {service} request(s) ran"))
def requests_ran(deployment, count, service):
    ran = [seen for worker in deployment.of_service(service) for seen in worker.runs()]
    assert len(ran) == count, ran


@then("the answer says when to come back")
def says_when(ctx):
    assert 0 < float(ctx["answer"].headers["Retry-After"]) < 5


@then("the answer is not a worker's")
def not_signed(ctx):
    assert "X-Server-Seal" not in ctx["answer"].headers
