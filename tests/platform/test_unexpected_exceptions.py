"""Exceptions that nobody expects, raised in routers under load."""

import itertools
import signal
import threading
import time
from collections import Counter
from dataclasses import dataclass, field

import pytest
import urllib3

from tests.platform.conftest import wait_for
from turmerictray.core.actor import ACTOR_FAILED_EXIT
from turmerictray.platform.soak.internal_faults import MESSAGES
from turmerictray.platform.standins.caller import PROMPT_HEADERS, RawAnswer, RawCaller, make_request
from turmerictray.platform.standins.failing_router import PLACEMENT, TEXT, arm
from turmerictray.platform.standins.local import LocalDeployment, LocalRouter, default_config
from turmerictray.platform.standins.store import StoreTrouble
from turmerictray.platform.standins.worker import Worker

CALLERS = 24
EVENTS_PER_STREAM = 16
EVENT_INTERVAL_S = 0.05
"""Streams last for 0.8 s."""

START_INTERVAL_S = 0.03
"""Callers start one after the other, as a burst would be refused for its own sake."""

LOAD_BEFORE_S = 1.0
SETTLE_S = 1.7
"""Time after an exception in which its effects on the requests in progress show."""

_request_numbers = itertools.count(1)

pytestmark = pytest.mark.process

REQUEST_MESSAGES = ("Broker:Ask",)
"""Messages of a single request, which their failure may refuse."""

THREADS = ("timer", "watch-op/", "watch-servers/", "hang-up-watch", "front-probe")
RECEIVERS = ("scheduling-receive", "peer-receive")


@dataclass
class Sent:
    """A request and its answer; ``refused_connection`` if the router accepted no connection."""

    request_id: str
    router: str
    sent_at: float
    answer: RawAnswer = field(default_factory=RawAnswer)
    refused_connection: bool = False

    @property
    def is_refused(self) -> bool:
        return self.answer.status == 503

    @property
    def is_lost(self) -> bool:
        """Whether it was accepted and got neither a whole answer nor a refusal."""
        if self.refused_connection or self.is_refused:
            return False
        return self.answer.status != 200 or not self.answer.complete


class Load:
    """Callers that send streams and pings to all routers until they are stopped."""

    def __init__(self, deployment: LocalDeployment, count: int = CALLERS) -> None:
        self.sent: list[Sent] = []
        self.failed_at = 0.0
        self._deployment = deployment
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(count)
        ]

    def __enter__(self) -> "Load":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_exc: object) -> None:
        self.stop()

    def refused(self) -> list[Sent]:
        """Return the requests that were refused after the exception."""
        return [
            sent
            for sent in self.sent
            if sent.is_refused and sent.sent_at + sent.answer.elapsed_s > self.failed_at
        ]

    def stop(self) -> None:
        """Stop after the requests in progress."""
        self._stop.set()
        for thread in self._threads:
            thread.join(20)

    def _run(self, number: int) -> None:
        routers, index = self._deployment.routers, number
        self._stop.wait(number * START_INTERVAL_S)
        while not self._stop.is_set():
            request_id = f"{next(_request_numbers):016x}"
            router = routers[index % len(routers)]
            sent = Sent(request_id, router.name, time.monotonic())
            self._send(sent, router, is_ping=number % 4 == 3)
            self.sent.append(sent)
            if sent.answer.status != 200:
                # Like the platform's callers, it goes on at another router after a refusal.
                index += 1
                self._stop.wait(0.05)

    def _send(self, sent: Sent, router: LocalRouter, is_ping: bool) -> None:
        headers = {"X_Request_Id": sent.request_id}
        if not is_ping:
            headers |= PROMPT_HEADERS | {"X_Prompt_Prefix": f"5ab1:1200,{sent.request_id}:260"}
        method, target = ("GET", "/ping/1") if is_ping else ("POST", "/recon/1")
        try:
            caller = RawCaller(router.front)
        except OSError:
            sent.refused_connection = True
            return
        try:
            caller.send(make_request(method, target, b"" if is_ping else b"x", **headers))
            sent.answer = caller.read()
        except OSError:
            sent.answer = RawAnswer()
        finally:
            caller.close()


def start(start_deployment, **options) -> LocalDeployment:
    """Start three routers with engines whose streams last for most of a second."""
    found = start_deployment(**({"routers": 3, "engines": 4, "fails": True} | options))
    for worker in found.of_service("llm"):
        worker.behaviour.event_count = EVENTS_PER_STREAM
        worker.behaviour.event_interval_s = EVENT_INTERVAL_S
        # No request is refused for want of a slot, so that each refusal is the exception's.
        worker.behaviour.slots = 2 * CALLERS
        found.publish(worker)
    return found


@pytest.fixture
def deployment(start_deployment):
    return start(start_deployment)


@pytest.fixture(scope="module")
def shared_deployment(tmp_path_factory):
    """Start a deployment for many exceptions, of which each router gets one at a time."""
    folder = tmp_path_factory.mktemp("shared")
    found = start(lambda **options: LocalDeployment(folder, **options).start())
    yield found
    found.stop()


@pytest.fixture
def failing_router(shared_deployment):
    """Select the router whose last exception is the longest ago; start it if it has ended."""
    routers = shared_deployment.routers
    routers.append(routers.pop(0))
    for router in routers:
        if router.exit_code is not None:
            router.start()
            router.wait_ready()
    return routers[0]


def scheduler_of(deployment: LocalDeployment) -> LocalRouter:
    """Return the router that schedules the engines, by the grants of the others."""
    text = "".join(router.log_path.read_text() for router in deployment.routers)
    names = Counter(
        part.partition("=")[2] for part in text.split() if part.startswith("scheduler=r")
    )
    return next(
        router for router in deployment.routers if router.name == names.most_common(1)[0][0]
    )


def lines_of(router: LocalRouter, event: str) -> list[str]:
    return [line for line in router.log_path.read_text().splitlines() if f"event={event} " in line]


def run_load_with(deployment: LocalDeployment, points: list[str], routers: list) -> Load:
    """Raise one exception at each point of each router under load."""
    with Load(deployment) as load:
        time.sleep(LOAD_BEFORE_S)
        load.failed_at = time.monotonic()
        for point in points:
            for router in routers:
                arm(router.faults_path, point)
        time.sleep(SETTLE_S)
    return load


def lines_after(router: LocalRouter, event: str, count_before: int) -> list[str]:
    return lines_of(router, event)[count_before:]


def assert_nothing_lost(load: Load, deployment: LocalDeployment) -> None:
    lost = [sent for sent in load.sent if sent.is_lost]
    assert not lost, f"{len(lost)} of {len(load.sent)} lost: {lost[0].answer.status}"
    ran = {
        request.headers["X-Request-Id"]
        for worker in deployment.workers
        for request in worker.runs()
        if "X-Request-Id" in request.headers
    }
    refused = {sent.request_id for sent in load.sent if sent.is_refused}
    assert not refused & ran


@pytest.mark.parametrize("point", [*MESSAGES, PLACEMENT])
def test_exception_in_one_message_loses_no_accepted_request(
    shared_deployment, failing_router, point
):
    """Guards against an actor's exception that ends its router with all that it has accepted."""
    router = failing_router
    if point == PLACEMENT:
        router = scheduler_of(shared_deployment)
    before = len(lines_of(router, "actor_failed"))
    load = run_load_with(shared_deployment, [point], [router])
    assert_nothing_lost(load, shared_deployment)
    assert router.exit_code is None and router.is_ready()
    concerns_request = point in (*REQUEST_MESSAGES, PLACEMENT)
    assert len(load.refused()) <= concerns_request
    (line,) = lines_after(router, "actor_failed", before)
    actor, _, message = point.partition(":")
    assert "place=" in line and "InjectedFault" in line
    assert point == PLACEMENT or f"actor={actor} message={message}" in line.replace("=_", "=")
    assert not concerns_request or " req=-" not in line
    part = "Broker" if point == PLACEMENT else actor
    assert f'unexpected_exceptions_total{{part="{part}"}}' in metrics_of(router)


@pytest.mark.parametrize("name", [*THREADS, *RECEIVERS])
def test_exception_in_a_thread_leaves_its_work_done(shared_deployment, failing_router, name):
    """Guards against a thread that ends, while its router goes on half dead and is ready."""
    router, store = failing_router, shared_deployment.store.store
    before = len(lines_of(router, "thread_failed"))
    load = run_load_with(shared_deployment, [name], [router])
    assert_nothing_lost(load, shared_deployment)
    assert router.exit_code is None and router.is_ready()
    (line,) = lines_after(router, "thread_failed", before)
    assert f"thread={name}" in line and "place=" in line and "InjectedFault" in line
    version = status_of(router)["text_version"] + 1
    store.put("op/config", default_config(version))
    added = Worker(f"app-{name.strip('/')}", "app").start()
    shared_deployment.add_worker(added)
    assert wait_for(lambda: status_of(router)["text_version"] == version)
    assert wait_for(lambda: added.id in str(status_of(router)))
    assert call(router, "/ping/1").status == 200
    shared_deployment.withdraw(added)


def test_caller_that_leaves_is_noticed_after_the_watch_has_failed(
    shared_deployment, failing_router
):
    """Guards against engines that work on for callers that have left, as nobody watches."""
    arm(failing_router.faults_path, "hang-up-watch")
    time.sleep(0.5)
    caller = RawCaller(failing_router.front)
    request_id = "feed" * 4
    caller.send(make_request("POST", "/recon/1", b"x", X_Request_Id=request_id, **PROMPT_HEADERS))
    time.sleep(0.3)
    caller.close()
    assert wait_for(
        lambda: any(
            request.client_disconnected
            for worker in shared_deployment.of_service("llm")
            for request in worker.runs()
            if request.headers.get("X-Request-Id") == request_id
        ),
        1.0,
    )


def call(router: LocalRouter, target: str) -> RawAnswer:
    caller = RawCaller(router.front)
    try:
        return caller.request("GET", target)
    finally:
        caller.close()


def metrics_of(router: LocalRouter) -> str:
    url = f"{router.admin_url}/metrics"
    return urllib3.request("GET", url, timeout=3, retries=False).data.decode()


def status_of(router: LocalRouter) -> dict:
    return urllib3.request("GET", f"{router.admin_url}/status", timeout=3, retries=False).json()


@pytest.mark.parametrize("count", [1, 3])
def test_text_whose_application_fails_leaves_the_last_good_one_in_force(deployment, count):
    """Guards against one text that ends its reader, or the whole fleet."""
    failing, others = deployment.routers[:count], deployment.routers[count:]
    with Load(deployment) as load:
        time.sleep(0.5)
        for router in failing:
            # It is tried again after a second, and not again before the next text.
            arm(router.faults_path, "Broker:TextArrived", 2)
        time.sleep(0.1)
        deployment.store.store.put("op/config", default_config(5))
        time.sleep(SETTLE_S)
        versions = [status_of(router)["text_version"] for router in (*failing, *others)]
        # A router that has not heard of the first text fails to apply the second one.
        for version in (6, 7):
            deployment.store.store.put("op/config", default_config(version))
            time.sleep(1.0)
        for router in deployment.routers:
            assert wait_for(lambda router=router: status_of(router)["text_version"] == 7)
    assert_nothing_lost(load, deployment)
    assert all(router.exit_code is None and router.is_ready() for router in deployment.routers)
    assert versions == [1] * count + [5] * len(others)
    # The others need not hear of a text that is nowhere in force; this one reads the store itself.
    assert lines_of(failing[0], "text_failed")


@pytest.mark.parametrize("gap_s", [0.0, 0.1, 0.3])
def test_text_followed_at_once_by_one_that_fails_is_in_force_at_all_routers(deployment, gap_s):
    """Guards against a router that misses a text, and serves by the one before until the next."""
    for router in deployment.routers:
        arm(router.faults_path, f"{TEXT}5", 1000)
    time.sleep(0.1)
    deployment.store.store.put("op/config", default_config(4))
    # Whoever reads the store has this one in force before the next one comes.
    assert wait_for(lambda: any(status_of(r)["text_version"] == 4 for r in deployment.routers))
    time.sleep(gap_s)
    deployment.store.store.put("op/config", default_config(5))
    for router in deployment.routers:
        assert wait_for(lambda router=router: status_of(router)["text_version"] == 4)


@pytest.mark.parametrize("number", [0, 2])
def test_router_that_starts_beside_a_text_that_fails_serves_by_the_last_good_one(
    deployment, number
):
    """Guards against routers that don't come back, one after the other, until the next text."""
    starting, others = deployment.routers[number], deployment.routers[:]
    for router in others:
        arm(router.faults_path, f"{TEXT}5", 1000)
    time.sleep(0.1)
    deployment.store.store.put("op/config", default_config(5))
    # Those that don't read the store need not hear of a text that is nowhere in force.
    assert wait_for(lambda: any(lines_of(router, "text_failed") for router in others))
    starting.signal(signal.SIGKILL)
    assert wait_for(lambda: starting.exit_code is not None)
    starting.start()
    arm(starting.faults_path, f"{TEXT}5", 1000)
    assert wait_for(starting.is_ready, 10.0)
    assert status_of(starting)["text_version"] == 1
    assert call(starting, "/ping/1").status == 200
    deployment.store.store.put("op/config", default_config(6))
    for router in deployment.routers:
        assert wait_for(lambda router=router: status_of(router)["text_version"] == 6)


def test_recurring_exceptions_end_a_router_as_a_drain(deployment):
    """Guards against a router that fails again and again and cuts what it has accepted."""
    router = deployment.routers[0]
    with Load(deployment) as load:
        time.sleep(1.0)
        arm(router.faults_path, "Broker:Tick", 1000)
        assert wait_for(lambda: not router.is_ready(), 1.0)
        assert wait_for(lambda: router.exit_code is not None, 8.0)
        assert router.exit_code == ACTOR_FAILED_EXIT
        router.start()
        router.wait_ready()
        time.sleep(1.0)
    assert_nothing_lost(load, deployment)
    assert load.sent[-1].answer.status == 200


def test_exceptions_at_the_scheduler_lose_no_request_of_other_routers(deployment):
    """Guards against a scheduler that ends, or forgets what others have asked of it."""
    with Load(deployment):
        time.sleep(4.0)
    router = scheduler_of(deployment)
    load = run_load_with(deployment, ["Broker:Ask", PLACEMENT], [router])
    assert_nothing_lost(load, deployment)
    assert router.exit_code is None
    assert len(load.refused()) <= 2


@pytest.mark.parametrize("beside", ["drain", "restart", "store_away"])
def test_exceptions_beside_other_troubles_lose_no_accepted_request(deployment, beside):
    """Guards against an exception whose handling needs what is away or ending at the moment."""
    router, other = deployment.routers[:2]
    with Load(deployment) as load:
        time.sleep(LOAD_BEFORE_S)
        if beside == "drain":
            router.signal(signal.SIGTERM)
        elif beside == "restart":
            other.signal(signal.SIGTERM)
        else:
            deployment.store.store.trouble = StoreTrouble.SILENT
        time.sleep(0.3)
        arm(router.faults_path, "Broker:PeerHeard")
        time.sleep(0.3)
        arm(router.faults_path, "PeerLink:Tick")
        time.sleep(3.0 if beside == "store_away" else 5.0)
    assert_nothing_lost(load, deployment)
    assert router.exit_code == (0 if beside == "drain" else None)
    assert lines_of(router, "actor_failed")
