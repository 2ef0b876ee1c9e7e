"""Each check of the soak test finds the violation that it is written for."""

import pytest

from turmerictray.loadtool.history import check_config_logs
from turmerictray.platform.soak import checks
from turmerictray.platform.soak.record import (
    Disturbance,
    InternalFault,
    RetiredWorker,
    RouterExit,
    SoakRecord,
    SoakRequest,
)
from turmerictray.platform.standins.caller import RawAnswer
from turmerictray.platform.standins.worker import ReceivedRequest, Worker

EVENT_COUNT = 3
SEAL_HEADERS = {"X-Server-Seal": "seal.w"}


def stream(event_count: int) -> bytes:
    return b"".join(b"id: %d\ndata: piece\n\n" % number for number in range(1, event_count + 1))


def make_request(
    route: str = "order", status: int = 200, body: bytes = b"POST /order/1 3", **changes
) -> SoakRequest:
    headers = {**SEAL_HEADERS, "X-Request-Id": "a1"}
    answer = RawAnswer(status, headers, body, complete=True)
    fields = {"ended_at": 100.2, "answer": answer} | changes
    return SoakRequest("a1", route, "r1", "POST", "/order/1", b"abc", 100.0, **fields)


def make_run(**changes) -> ReceivedRequest:
    headers = {"X-Request-Id": "a1", "X-Tenant": "depot"}
    fields = {"headers": headers, "body": b"abc", "ran": True, "received_at": 100.1} | changes
    return ReceivedRequest("POST", "/order/1", **fields)


@pytest.fixture
def worker():
    worker = Worker("w", "app").start()
    yield worker
    worker.stop()


def rules(violations) -> list[str]:
    return [violation.rule for violation in violations]


def make_request_with_answer(**changes) -> SoakRequest:
    request = make_request()
    for name, value in changes.items():
        setattr(request.answer, name, value)
    return request


def test_no_violation_in_correct_record(worker):
    worker.received_requests = [make_run()]
    record = SoakRecord(
        requests=[make_request()],
        planned_stops=[("r1", 99.0)],
        exits=[RouterExit("r1", 0, True)],
    )
    found = [
        *checks.check_answers(record, EVENT_COUNT),
        *checks.check_executions(record, [worker]),
        *checks.check_answer_times(record),
        *checks.check_disconnected_callers(record, [worker]),
        *checks.check_leaving_workers(record, [worker]),
        *checks.check_planned_stops(record),
    ]
    assert not found


@pytest.mark.parametrize(
    ("request_sent", "rule"),
    [
        (make_request_with_answer(headers={"X-Request-Id": "a1"}), "own-answer"),
        (make_request_with_answer(headers={**SEAL_HEADERS, "X-Request-Id": "b2"}), "own-answer"),
        (make_request_with_answer(body=b"POST /order/2 3"), "own-answer"),
        (make_request("plan", body=stream(2)), "whole"),
        (make_request("plan", body=stream(1) + stream(3)), "order"),
    ],
)
def test_wrong_answers_are_found(request_sent, rule):
    assert rule in rules(checks.check_answers(SoakRecord(requests=[request_sent]), EVENT_COUNT))


@pytest.mark.parametrize(
    ("request_sent", "runs", "rule"),
    [
        (make_request(), [make_run(), make_run()], "at-most-once"),
        (make_request(status=503), [make_run()], "not-run-true"),
        (make_request(), [make_run(body=b"abcd")], "unasked"),
        (
            make_request(),
            [make_run(headers={"X-Request-Id": "zz", "X-Tenant": "depot"})],
            "unasked",
        ),
        (
            make_request(),
            [make_run(headers={"X-Request-Id": "a1", "X-Tenant": "rider"})],
            "unasked",
        ),
    ],
)
def test_wrong_executions_are_found(worker, request_sent, runs, rule):
    worker.received_requests = runs
    assert rules(checks.check_executions(SoakRecord(requests=[request_sent]), [worker])) == [rule]


def test_repeated_execution_of_idempotent_request_is_allowed(worker):
    worker.received_requests = [make_run(), make_run()]
    assert not list(checks.check_executions(SoakRecord(requests=[make_request("ping")]), [worker]))


def test_late_answer_is_found_only_at_undisturbed_router():
    late = make_request(ended_at=106.0)
    assert rules(checks.check_answer_times(SoakRecord(requests=[late]))) == ["time-out"]
    paused = SoakRecord(requests=[late], disturbances=[Disturbance("r1", 101.0, 103.0)])
    assert not list(checks.check_answer_times(paused))
    other_paused = SoakRecord(requests=[late], disturbances=[Disturbance("r2", 101.0, 103.0)])
    assert rules(checks.check_answer_times(other_paused)) == ["time-out"]


def test_request_received_after_disconnect_of_caller_is_found(worker):
    worker.received_requests = [make_run(received_at=102.0)]
    assert rules(
        checks.check_disconnected_callers(
            SoakRecord(requests=[make_request(disconnected_at=100.5)]), [worker]
        )
    ) == ["gone"]
    worker.received_requests = [make_run(received_at=100.6)]
    assert not list(
        checks.check_disconnected_callers(
            SoakRecord(requests=[make_request(disconnected_at=100.5)]), [worker]
        )
    )


def test_request_received_by_leaving_worker_is_found(worker):
    worker.received_requests = [make_run(received_at=104.0)]
    record = SoakRecord(
        requests=[make_request()], retired_workers={"w": RetiredWorker("w", 101.0, crashed=False)}
    )
    assert rules(checks.check_leaving_workers(record, [worker])) == ["leaving"]
    record.disturbances.append(Disturbance("store", 100.0, 102.0))
    assert not list(checks.check_leaving_workers(record, [worker]))


def test_answer_cut_by_planned_stop_is_found():
    cut = make_request_with_answer(complete=False)
    cut.started_at, cut.ended_at = 100.0, 101.0
    assert rules(
        checks.check_planned_stops(SoakRecord(requests=[cut], planned_stops=[("r1", 100.5)]))
    ) == ["graceful-stop"]


@pytest.mark.parametrize(
    ("code", "was_ready", "found"),
    [
        (129, True, ["graceful-exit"]),
        (129, False, ["graceful-exit"]),
        (-15, True, ["graceful-exit"]),
        (-15, False, []),
        (None, False, ["graceful-exit"]),
        (0, True, []),
    ],
)
def test_ungraceful_exit_is_found(code, was_ready, found):
    record = SoakRecord(exits=[RouterExit("r1", code, was_ready)])
    assert rules(checks.check_planned_stops(record)) == found


def test_older_config_and_error_in_log_are_found(tmp_path):
    log = tmp_path / "r1.log"
    log.write_text(
        " seq=0 event=starting\nevent=text_in_force version=5 source=store\n"
        "event=text_in_force version=4 source=peer:r2\nTraceback (most recent call last):\n"
        " seq=0 event=starting\nevent=text_in_force version=3 source=store\n"
    )
    assert rules(check_config_logs([log])) == ["config-revert", "error"]


def test_stream_of_two_versions_is_found():
    # The soak joined two versions over a caller's requests, unseen.
    record = SoakRecord()
    for request_id, resumes, version in (("a", "", "v1"), ("b", "a", "v1"), ("c", "a", "v2")):
        request = make_request("plan", resumes=resumes)
        request.request_id = request_id
        request.answer = RawAnswer(200, body=f"id: 1\ndata: {version} piece-1\n\n".encode())
        record.requests.append(request)
    assert [found.req_id for found in checks.check_software_versions(record)] == ["a"]
    del record.requests[-1]
    assert not list(checks.check_software_versions(record))


def make_part_run(at: float, number: int) -> ReceivedRequest:
    headers = {"X-Request-Id": f"part{number}", "X-Prompt-Prefix": "00BAD:10,5ab:20,e1:5"}
    return make_run(headers=headers, received_at=at)


def make_prompt(number: int, at: float, status: int) -> SoakRequest:
    answer = RawAnswer(status, {}, stream(1), complete=True)
    return SoakRequest(f"soak{number}", "plan", "r1", "POST", "/plan/1", b"", at, at + 0.1, answer)


@pytest.mark.parametrize(("late", "found"), [(3, []), (4, ["crashing-part"])])
def test_part_sent_after_its_fifth_crash_is_found(worker, late, found):
    crashes = [make_part_run(100.0 + number, number) for number in range(5)]
    worker.received_requests = crashes + [make_part_run(108.0 + n, 10 + n) for n in range(late)]
    record = SoakRecord(crashing_parts={"bad"})
    assert rules(checks.check_crashing_parts(record, [worker], ["r1"])) == found


@pytest.mark.parametrize(("status", "found"), [(200, []), (503, ["sound-requests"])])
def test_sound_prompts_refused_beside_a_crashing_part_are_found(worker, status, found):
    worker.received_requests = [make_part_run(100.0, 0)]
    record = SoakRecord(crashing_parts={"bad"})
    record.requests = [make_prompt(number, 90.0, 200) for number in range(20)]
    record.requests += [make_prompt(number, 110.0, status) for number in range(20)]
    record.requests.append(SoakRequest("part0", "plan", "r1", "POST", "/plan/1", b"", 120.0))
    assert rules(checks.check_sound_requests(record, [worker])) == found


def make_lost(status: int) -> SoakRequest:
    return make_request_with_answer(status=status, complete=False)


def find_lost(request: SoakRequest, fault: InternalFault, **records) -> list[str]:
    record = SoakRecord(requests=[request], internal_faults=[fault], **records)
    return rules(checks.check_internal_faults(record))


@pytest.mark.parametrize("status", [0, 200])
@pytest.mark.parametrize(
    ("router", "armed_at", "found"),
    [
        ("r1", 100.1, ["lost"]),
        ("r1", 98.5, ["lost"]),
        ("r1", 97.5, []),
        ("r1", 100.3, []),
        ("r2", 100.1, []),
    ],
)
def test_request_lost_beside_internal_fault_is_found(status, router, armed_at, found):
    assert find_lost(make_lost(status), InternalFault(router, "timer", armed_at)) == found


def test_answered_and_abandoned_requests_are_not_lost():
    fault = InternalFault("r1", "timer", 100.1)
    for request in (make_request(status=503), make_request(disconnected_at=100.15)):
        assert not find_lost(request, fault)


@pytest.mark.parametrize(
    ("component", "status", "found"),
    [
        ("r1", 0, []),
        ("worker", 200, []),
        ("worker", 0, ["lost"]),
        ("store", 200, ["lost"]),
        ("r2", 200, ["lost"]),
    ],
)
def test_only_disturbances_that_may_cut_an_answer_excuse_it(component, status, found):
    fault = InternalFault("r1", "timer", 100.1)
    disturbances = [Disturbance(component, 98.0, 99.0)]
    assert find_lost(make_lost(status), fault, disturbances=disturbances) == found


@pytest.mark.parametrize(("router", "found"), [("r1", []), ("r2", ["lost"])])
def test_planned_stop_of_the_same_router_excuses_a_lost_request(router, found):
    fault = InternalFault("r1", "timer", 100.1)
    assert find_lost(make_lost(0), fault, planned_stops=[(router, 99.0)]) == found


def test_unplanned_exit_is_found():
    record = SoakRecord(unplanned_exits=[("r1", 71)])
    assert rules(checks.check_unplanned_exits(record)) == ["unplanned-exit"]
