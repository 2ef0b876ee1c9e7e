"""Each check of notices finds the violation that it is written for."""

import pytest

from turmerictray.platform.soak.checks import check_leaving_workers
from turmerictray.platform.soak.notice_checks import check_leaving_notices, check_rests
from turmerictray.platform.soak.record import (
    Disturbance,
    FloodRecord,
    RetiredWorker,
    SoakRecord,
    SoakRequest,
)
from turmerictray.platform.standins.caller import RawAnswer
from turmerictray.platform.standins.worker import ReceivedRequest, Worker


@pytest.fixture
def worker():
    worker = Worker("w", "app").start()
    yield worker
    worker.stop()


def rules(violations) -> list[str]:
    return [violation.rule for violation in violations]


def make_request(number: int, at: float, router: str = "r1", server: str = "w") -> SoakRequest:
    answer = RawAnswer(200, {"X-Server-Seal": f"seal.{server}"}, complete=True)
    return SoakRequest(f"a{number}", "ping", router, "GET", "/ping/1", b"", at, at + 0.1, answer)


def receive(worker: Worker, request: SoakRequest, rest: str | None = None) -> None:
    worker.received_requests.append(
        ReceivedRequest(
            "GET",
            "/ping/1",
            {"X-Request-Id": request.request_id},
            b"",
            received_at=request.started_at + 0.05,
            rest_asked=rest,
        )
    )


def find_notices(worker: Worker, requests: list[SoakRequest], **records) -> list[str]:
    retired = RetiredWorker("w", 100.0, crashed=False, tells_in_answers=True)
    for request in requests:
        receive(worker, request)
    record = SoakRecord(requests=requests, retired_workers={"w": retired}, **records)
    return rules(check_leaving_notices(record, [worker]))


@pytest.mark.parametrize(
    ("told_at", "late_at", "router", "found"),
    [
        (100.0, 102.2, "r1", ["leaving-notice"]),
        (100.0, 102.05, "r1", []),
        (99.8, 102.2, "r1", []),
        (100.0, 104.0, "r2", []),
    ],
)
def test_request_to_a_worker_that_told_its_leaving_is_found(
    worker, told_at, late_at, router, found
):
    requests = [make_request(1, told_at), make_request(2, late_at, router)]
    assert find_notices(worker, requests) == found


def test_answer_of_another_worker_tells_nothing(worker):
    requests = [make_request(1, 100.0, server="v"), make_request(2, 104.0)]
    assert not find_notices(worker, requests)


@pytest.mark.parametrize(
    ("disturbance", "found"),
    [
        (Disturbance("r1", 101.0, 101.5), []),
        (Disturbance("r1", 99.0, 99.9), ["leaving-notice"]),
        (Disturbance("r2", 101.0, 101.5), ["leaving-notice"]),
        (Disturbance("store", 101.0, 101.5), ["leaving-notice"]),
        (Disturbance("worker", 101.0, 101.5), ["leaving-notice"]),
    ],
)
def test_only_a_disturbance_of_the_router_since_then_excuses_it(worker, disturbance, found):
    requests = [make_request(1, 100.0), make_request(2, 103.0)]
    assert find_notices(worker, requests, disturbances=[disturbance]) == found


@pytest.mark.parametrize(("router", "found"), [("r1", []), ("r2", ["leaving-notice"])])
def test_planned_stop_of_the_router_excuses_a_late_request(worker, router, found):
    requests = [make_request(1, 100.0), make_request(2, 103.0)]
    assert find_notices(worker, requests, planned_stops=[(router, 101.0)]) == found


def test_entry_of_a_worker_that_tells_in_answers_stays_ready(worker):
    """Guards against a check that expects routers to read of a leaving that no entry tells."""
    receive(worker, make_request(1, 104.0))
    told = RetiredWorker("w", 100.0, crashed=False, tells_in_answers=True)
    assert not list(check_leaving_workers(SoakRecord(retired_workers={"w": told}), [worker]))
    read = RetiredWorker("w", 100.0, crashed=False)
    assert list(check_leaving_workers(SoakRecord(retired_workers={"w": read}), [worker]))


def find_rests(worker: Worker, requests: list[SoakRequest], **records) -> list[str]:
    refused = make_request(0, 100.0)
    receive(worker, refused, rest="2")
    for request in requests:
        receive(worker, request)
    return rules(check_rests(SoakRecord(requests=[refused, *requests], **records), [worker]))


@pytest.mark.parametrize(
    ("times", "router", "found"),
    [
        ((100.6, 101.0, 101.9), "r1", ["rest"]),
        ((100.6, 101.9), "r1", []),
        ((100.1, 100.2, 100.4, 101.0, 102.1), "r1", []),
        ((100.6, 101.0, 101.9), "r2", []),
    ],
)
def test_requests_in_a_rest_are_found(worker, times, router, found):
    requests = [make_request(number, at, router) for number, at in enumerate(times, 1)]
    assert find_rests(worker, requests) == found


def test_flood_in_a_rest_is_found(worker):
    flooded = [make_request(number, 101.0) for number in range(1, 4)]
    for request in flooded:
        receive(worker, request)
    ids = {request.request_id: "200" for request in flooded}
    flood = FloodRecord("r1", 100.5, 102.0, ids)
    assert find_rests(worker, [], floods=[flood]) == ["rest"]


@pytest.mark.parametrize(
    ("component", "at", "found"),
    [
        ("r1", 101.0, []),
        ("worker", 100.0, []),
        ("r1", 98.0, ["rest"]),
        ("r2", 101.0, ["rest"]),
        ("store", 101.0, ["rest"]),
    ],
)
def test_only_restart_pause_or_cut_excuses_requests_in_a_rest(worker, component, at, found):
    requests = [make_request(number, 101.0) for number in range(1, 4)]
    disturbances = [Disturbance(component, at, at + 0.1)]
    assert find_rests(worker, requests, disturbances=disturbances) == found


@pytest.mark.parametrize(("router", "found"), [("r1", []), ("r2", ["rest"])])
def test_planned_stop_of_the_router_excuses_requests_in_a_rest(worker, router, found):
    requests = [make_request(number, 101.0) for number in range(1, 4)]
    assert find_rests(worker, requests, planned_stops=[(router, 99.5)]) == found
