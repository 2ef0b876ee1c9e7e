"""What targets say of themselves in their answers: that they leave, or want to rest."""

import itertools
import threading
import time
from dataclasses import dataclass
from email.utils import formatdate

import pytest
import urllib3

from tests.platform.conftest import wait_for
from turmerictray.platform.standins.caller import PROMPT_HEADERS, RawCaller, make_request
from turmerictray.platform.standins.local import LocalDeployment, LocalRouter, default_config
from turmerictray.platform.standins.store import StoreTrouble
from turmerictray.platform.standins.worker import ReceivedRequest, Worker, WorkerFault

pytestmark = pytest.mark.process

CALLERS = 9
START_INTERVAL_S = 0.03
"""Callers start one after the other, as a burst would be refused for its own sake."""

IN_FLIGHT_S = 0.2
"""Requests that were sent before an answer was read may arrive until this much later."""

SETTLE_S = 8.0
"""Time in which all routers know the targets of a case, also after the store was away."""

REST_SLACK_S = 0.5
MAX_REQUESTS_IN_REST = 2
"""Requests of one router that may reach a target between ``REST_SLACK_S`` after it has asked for a
rest and the end of the rest."""

TOLD_WITHIN_S = 2.0
"""Time in which routers that have not heard of a leaving target themselves learn of it."""

ENGINE_TOKENS = next(
    service["engine"]["kv_tokens"]
    for service in default_config()["services"]
    if "engine" in service
)

_request_numbers = itertools.count(1)


@dataclass(frozen=True)
class Sent:
    """A request, the status of its answer, and its body if it is a refusal."""

    request_id: str
    status: int
    sent_at: float
    took_s: float
    reason: bytes = b""


class Load:
    """Callers that send requests of one route to all routers; the id names the router."""

    def __init__(self, routers: list[LocalRouter], route: str, callers: int = CALLERS) -> None:
        self.sent: list[Sent] = []
        self._route = route
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(
                target=self._run, args=(routers[number % len(routers)], number), daemon=True
            )
            for number in range(callers)
        ]

    def __enter__(self) -> "Load":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_exc: object) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join(10)

    def statuses(self, since: float = 0.0) -> set[int]:
        return {sent.status for sent in self.sent if sent.sent_at >= since}

    def refused(self, since: float) -> list[Sent]:
        """Return the requests sent since then that were not served."""
        return [sent for sent in self.sent if sent.sent_at > since and sent.status != 200]

    def _run(self, router: LocalRouter, number: int) -> None:
        self._stop.wait(number * START_INTERVAL_S)
        while not self._stop.wait(0.01):
            self.sent.append(send(router, self._route))


def send(router: LocalRouter, route: str, **headers: str) -> Sent:
    """Send a request by ``route`` and read its answer."""
    request_id = f"{router.name}x{next(_request_numbers):013x}"
    headers["X_Request_Id"] = request_id
    method, body = ("GET", b"") if route == "ping" else ("POST", b"x")
    if route != "ping":
        prefix = f"5ab1:1200,{request_id[-8:]}:260"
        headers = PROMPT_HEADERS | {"X_Prompt_Prefix": prefix} | headers
    sent_at = time.monotonic()
    caller = RawCaller(router.front)
    try:
        caller.send(make_request(method, f"/{route}/1", body, **headers))
        answer = caller.read()
    finally:
        caller.close()
    status = answer.status if answer.complete else 0
    reason = answer.body if status != 200 else b""
    return Sent(request_id, status, sent_at, time.monotonic() - sent_at, reason)


def router_of(request: ReceivedRequest) -> str:
    return request.headers["X-Request-Id"].partition("x")[0]


def most_in_a_rest(workers: list[Worker], rest_s: float) -> int:
    """Return the largest number of requests of one router that reached a target in a rest."""
    most = 0
    for worker in workers:
        received = list(worker.received_requests)
        for refused in (request for request in received if request.rest_asked is not None):
            begins, ends = refused.received_at + REST_SLACK_S, refused.received_at + rest_s
            most = max(
                most,
                sum(
                    begins < request.received_at < ends and router_of(request) == router_of(refused)
                    for request in received
                ),
            )
    return most


def sent_since(worker: Worker, at: float, router: str | None = None) -> list[ReceivedRequest]:
    return [
        request
        for request in list(worker.received_requests)
        if request.received_at > at and router in (None, router_of(request))
    ]


@pytest.fixture(scope="module")
def module_deployment(tmp_path_factory):
    """Start three routers, four engines and four workers of the plain service."""
    found = LocalDeployment(tmp_path_factory.mktemp("notices"), routers=3, apps=4, engines=4)
    found.start()
    for worker in found.workers:
        worker.behaviour.service_time_s = 0.01
    # Until then each router decides by itself, as none has known the others for long.
    time.sleep(4.0)
    yield found
    found.stop()


@pytest.fixture
def deployment(module_deployment):
    """Let all targets of the shared deployment be new ones, of which nothing was said before."""
    for worker in module_deployment.workers:
        module_deployment.withdraw(worker)
        worker.stop()
    module_deployment.workers.clear()
    for service, number in itertools.product(("app", "llm"), range(4)):
        worker = Worker(f"{service}-{next(_request_numbers)}-{number}", service).start()
        worker.behaviour.service_time_s = 0.01
        module_deployment.add_worker(worker)
    ids = {worker.id for worker in module_deployment.workers}
    assert all(
        wait_for(lambda router=router: targets_of(router) == ids, SETTLE_S)
        for router in module_deployment.routers
    )
    yield module_deployment
    module_deployment.store.store.trouble = StoreTrouble.NONE


def targets_of(router: LocalRouter) -> set[str]:
    status = urllib3.request("GET", f"{router.admin_url}/status", timeout=3, retries=False).json()
    targets = (name for pool in status["services"].values() for name in pool["targets"])
    return {name.partition("@")[0] for name in targets}


def service_of(route: str) -> str:
    return "app" if route == "ping" else "llm"


@pytest.mark.parametrize(
    ("route", "header", "store"),
    [
        ("ping", "Server-Leaving", StoreTrouble.NONE),
        ("plan", "Server-Leaving", StoreTrouble.NONE),
        ("plan", "server-leaving", StoreTrouble.SILENT),
    ],
)
def test_target_that_says_in_answers_that_it_leaves_gets_no_more(deployment, route, header, store):
    """Guards against requests to a target whose leaving only its answers tell."""
    workers = deployment.of_service(service_of(route))
    with Load(deployment.routers, route) as load:
        time.sleep(0.5)
        # Engines that do not cache the prompts' shared part get none of them at this load.
        worker = max(workers, key=lambda worker: len(worker.received_requests))
        deployment.store.store.trouble = store
        worker.behaviour.leaving_header = header
        told_at = time.monotonic()
        time.sleep(TOLD_WITHIN_S)
        assert not sent_since(worker, told_at + 1.0)
    heard_at = first_answer_by_router(worker)
    assert heard_at
    for router, at in heard_at.items():
        assert not sent_since(worker, at + IN_FLIGHT_S, router)
    assert load.statuses() == {200}


def first_answer_by_router(worker: Worker) -> dict[str, float]:
    """Return when the request came in whose answer first told a router that the target leaves."""
    heard_at: dict[str, float] = {}
    for request in list(worker.received_requests):
        if request.said_leaving:
            heard_at.setdefault(router_of(request), request.received_at)
    return heard_at


def test_older_entry_does_not_bring_a_leaving_target_back(deployment):
    """Guards against an entry, written before and read later, that undoes what an answer said."""
    worker = deployment.of_service("llm")[0]
    with Load(deployment.routers, "plan"):
        worker.behaviour.leaving_header = "Server-Leaving"
        time.sleep(1.0)
        deployment.withdraw(worker)
        time.sleep(0.7)
        deployment.publish(worker)
        written_at = time.monotonic()
        time.sleep(1.0)
    assert not sent_since(worker, written_at)


def test_router_that_restarts_learns_of_a_leaving_target_from_its_peers(deployment):
    """Guards against a restarted router that knows only the entry of a leaving target."""
    worker = deployment.of_service("app")[0]
    with Load(deployment.routers[1:], "ping"):
        worker.behaviour.leaving_header = "Server-Leaving"
        time.sleep(1.0)
        router = deployment.routers[0]
        router.stop()
        started_at = time.monotonic()
        router.start()
        router.wait_ready()
        with Load([router], "ping"):
            time.sleep(1.0)
    assert len(sent_since(worker, started_at, router.name)) == 0


@pytest.mark.parametrize("route", ["ping", "plan"])
def test_requests_are_refused_at_once_when_all_targets_leave(deployment, route):
    """Guards against callers that wait for their deadline while every target leaves."""
    for worker in deployment.of_service(service_of(route)):
        worker.behaviour.leaving_header = "Server-Leaving"
    with Load(deployment.routers, route):
        time.sleep(1.5)
    router = deployment.routers[0]
    sent = send(router, route)
    assert sent.status == 503
    assert sent.took_s < 0.3
    new = Worker(f"{service_of(route)}-{next(_request_numbers)}", service_of(route)).start()
    deployment.add_worker(new)
    assert wait_for(lambda: send(router, route).status == 200)


@pytest.mark.parametrize("fault", [WorkerFault.OTHER_ID, WorkerFault.UNSIGNED])
def test_answer_that_may_be_of_another_takes_no_target_out(deployment, fault):
    """Guards against garbled answers that take sound targets out of use."""
    worker, *others = deployment.of_service("app")
    for other in others:
        deployment.withdraw(other)
    router = deployment.routers[0]
    assert wait_for(lambda: not targets_of(router) & {other.id for other in others})
    worker.behaviour.faults.append(fault)
    worker.behaviour.leaving_header = "Server-Leaving"
    assert send(router, "ping").status != 200
    worker.behaviour.leaving_header = ""
    assert send(router, "ping").status == 200


def ask_rest(workers: list[Worker], value: str, is_full_for=lambda _request: True) -> None:
    for worker in workers:
        worker.behaviour.rest_asked = value
        worker.behaviour.is_full_for = is_full_for


@pytest.mark.parametrize(
    ("route", "value"),
    [
        ("ping", "3"),
        ("plan", "3"),
        ("plan", "2"),
        ("ping", "2.5"),
        ("plan", "600"),
        ("ping", "date"),
    ],
)
def test_resting_target_is_left_alone_and_others_serve_all(deployment, route, value):
    """Guards against a full target that draws the next request because it looks idle."""
    workers = deployment.of_service(service_of(route))
    rest_s = 4.0 if value == "date" else float(value)
    with Load(deployment.routers, route) as load:
        time.sleep(0.5)
        text = formatdate(time.time() + 4, usegmt=True) if value == "date" else value
        ask_rest(workers[:1], text)
        since = time.monotonic()
        time.sleep(3.2)
    assert not load.refused(since)
    # A date has whole seconds only.
    assert most_in_a_rest(workers, rest_s - (value == "date")) <= MAX_REQUESTS_IN_REST
    assert max(sent.took_s for sent in load.sent if sent.sent_at > since) < 1.0


def test_requests_are_refused_at_once_while_all_targets_rest(deployment):
    """Guards against tries that are spent on targets which are known to rest."""
    workers = deployment.of_service("llm")
    ask_rest(workers, "8")
    with Load(deployment.routers, "plan") as load:
        time.sleep(3.5)
    assert most_in_a_rest(workers, 8.0) <= MAX_REQUESTS_IN_REST
    # By then each router has been turned away by each engine.
    late = [sent for sent in load.sent if sent.sent_at > load.sent[0].sent_at + 2.0]
    assert late and all(sent.status == 503 and sent.took_s < 0.3 for sent in late)


def test_requests_wait_for_the_end_of_a_short_rest(deployment):
    """Guards against refusals while there is time until the end of all targets' rests."""
    workers = deployment.of_service("llm")
    ask_rest(workers, "1")
    with Load(deployment.routers, "plan"):
        time.sleep(0.3)
    ask_rest(workers, "1", is_full_for=lambda _request: False)
    sent = send(deployment.routers[0], "plan")
    assert sent.status == 200
    assert sent.took_s < 2.0
    assert most_in_a_rest(workers, 1.0) <= MAX_REQUESTS_IN_REST


def test_targets_are_tried_with_one_request_at_the_end_of_their_rest(deployment):
    """Guards against all waiting requests that meet a target at the end of its rest."""
    workers = deployment.of_service("llm")
    ask_rest(workers, "1.5")
    with Load(deployment.routers, "plan", callers=24) as load:
        time.sleep(5.0)
    began = min(sent.sent_at for sent in load.sent)
    for worker in workers:
        later = sent_since(worker, began + 1.4)
        # Three rests end in this time; each end may cost each router one request.
        assert len(later) <= 3 * len(deployment.routers)


def test_target_that_is_full_for_one_router_serves_the_others(deployment):
    """Guards against one router's rest that takes a target from all routers."""
    workers = deployment.of_service("llm")
    router = deployment.routers[0].name
    with Load(deployment.routers, "plan") as load:
        time.sleep(0.5)
        ask_rest(workers[:1], "3", lambda request: router_of(request) == router)
        since = time.monotonic()
        time.sleep(3.5)
    assert not load.refused(since)
    assert most_in_a_rest(workers, 3.0) <= MAX_REQUESTS_IN_REST
    by_others = [
        request for request in sent_since(workers[0], since + 1.0) if router_of(request) != router
    ]
    assert len(by_others) > 20


@pytest.mark.parametrize("value", ["-1", "soon", "31536000", "nan", "1e400"])
def test_odd_rests_lose_no_target_for_good(deployment, value):
    """Guards against a target that is out of use because of a value that nobody means."""
    workers = deployment.of_service("app")
    with Load(deployment.routers, "ping") as load:
        time.sleep(0.5)
        asked_at = time.monotonic()
        ask_rest(workers[:1], value)
        time.sleep(0.7)
        ask_rest(workers[:1], value, lambda _request: False)
        time.sleep(1.0)
        since = time.monotonic()
        time.sleep(0.5)
    assert not load.refused(asked_at)
    assert bool(sent_since(workers[0], since)) == (value != "31536000")


def test_requests_larger_than_any_engine_take_no_engine_from_others(deployment):
    """Guards against requests that no engine can run, and that all engines then rest for."""
    workers = deployment.of_service("llm")
    tokens = ENGINE_TOKENS + 1
    size = {"X_Token_Count": f"{tokens},80", "X_Prompt_Prefix": f"5ab2:{tokens}"}
    ask_rest(
        workers,
        "2",
        lambda request: int(request.headers["X-Token-Count"].partition(",")[0]) > ENGINE_TOKENS,
    )
    with Load(deployment.routers, "plan") as load:
        time.sleep(0.5)
        since = time.monotonic()
        large = [send(router, "plan", **size) for router in deployment.routers]
        time.sleep(2.0)
    assert [sent.status for sent in large] == [503] * len(large)
    assert not load.refused(since)
