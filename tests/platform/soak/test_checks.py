"""Each check of the soak finds the promise that it is there for."""

import pytest

from turmerictray.loadtool.history import check_config_logs
from turmerictray.platform.soak import checks
from turmerictray.platform.soak.record import Disturbance, Exit, Record, Retired, Sent
from turmerictray.platform.standins.caller import RawAnswer
from turmerictray.platform.standins.worker import Seen, Worker

EVENTS = 3
SEALED = {"X-Server-Seal": "seal.w"}


def stream(count: int) -> bytes:
    return b"".join(b"id: %d\ndata: piece\n\n" % number for number in range(1, count + 1))


def sent(kind: str = "order", status: int = 200, body: bytes = b"POST /order/1 3", **more) -> Sent:
    headers = {**SEALED, "X-Request-Id": "a1"}
    answer = RawAnswer(status, headers, body, whole=True)
    fields = {"ended": 100.2, "answer": answer} | more
    return Sent("a1", kind, "r1", "POST", "/order/1", b"abc", 100.0, **fields)


def seen(**more) -> Seen:
    headers = {"X-Request-Id": "a1", "X-Tenant": "depot"}
    fields = {"headers": headers, "body": b"abc", "ran": True, "at": 100.1} | more
    return Seen("POST", "/order/1", **fields)


@pytest.fixture
def worker():
    worker = Worker("w", "app").start()
    yield worker
    worker.stop()


def rules(violations) -> list[str]:
    return [bad.rule for bad in violations]


def answer_with(**changes) -> Sent:
    good = sent()
    for name, value in changes.items():
        setattr(good.answer, name, value)
    return good


def test_good_history_breaks_nothing(worker):
    worker.seen = [seen()]
    record = Record(sent=[sent()], stops=[("r1", 99.0)], exits=[Exit("r1", 0, True)])
    found = [
        *checks.check_answers(record, EVENTS),
        *checks.check_runs(record, [worker]),
        *checks.check_times(record),
        *checks.check_gone(record, [worker]),
        *checks.check_leaving(record, [worker]),
        *checks.check_stops(record),
    ]
    assert not found


@pytest.mark.parametrize(
    ("request_sent", "rule"),
    [
        (answer_with(headers={"X-Request-Id": "a1"}), "own-answer"),
        (answer_with(headers={**SEALED, "X-Request-Id": "b2"}), "own-answer"),
        (answer_with(body=b"POST /order/2 3"), "own-answer"),
        (sent("plan", body=stream(2)), "whole"),
        (sent("plan", body=stream(1) + stream(3)), "order"),
    ],
)
def test_wrong_answers_are_found(request_sent, rule):
    assert rule in rules(checks.check_answers(Record(sent=[request_sent]), EVENTS))


@pytest.mark.parametrize(
    ("request_sent", "runs", "rule"),
    [
        (sent(), [seen(), seen()], "at-most-once"),
        (sent(status=503), [seen()], "not-run-true"),
        (sent(), [seen(body=b"abcd")], "unasked"),
        (sent(), [seen(headers={"X-Request-Id": "zz", "X-Tenant": "depot"})], "unasked"),
        (sent(), [seen(headers={"X-Request-Id": "a1", "X-Tenant": "rider"})], "unasked"),
    ],
)
def test_wrong_runs_are_found(worker, request_sent, runs, rule):
    worker.seen = runs
    assert rules(checks.check_runs(Record(sent=[request_sent]), [worker])) == [rule]


def test_repeated_pings_are_allowed(worker):
    worker.seen = [seen(), seen()]
    assert not list(checks.check_runs(Record(sent=[sent("ping")]), [worker]))


def test_late_answer_counts_only_at_an_undisturbed_router():
    late = sent(ended=106.0)
    assert rules(checks.check_times(Record(sent=[late]))) == ["time-out"]
    paused = Record(sent=[late], disturbances=[Disturbance("r1", 101.0, 103.0)])
    assert not list(checks.check_times(paused))
    other = Record(sent=[late], disturbances=[Disturbance("r2", 101.0, 103.0)])
    assert rules(checks.check_times(other)) == ["time-out"]


def test_request_that_reaches_a_worker_after_its_caller_left_is_found(worker):
    worker.seen = [seen(at=102.0)]
    assert rules(checks.check_gone(Record(sent=[sent(left_at=100.5)]), [worker])) == ["gone"]
    worker.seen = [seen(at=100.6)]
    assert not list(checks.check_gone(Record(sent=[sent(left_at=100.5)]), [worker]))


def test_request_at_a_worker_that_left_is_found(worker):
    worker.seen = [seen(at=104.0)]
    record = Record(sent=[sent()], retired={"w": Retired("w", 101.0, crashed=False)})
    assert rules(checks.check_leaving(record, [worker])) == ["leaving"]
    record.disturbances.append(Disturbance("store", 100.0, 102.0))
    assert not list(checks.check_leaving(record, [worker]))


def test_answer_cut_by_a_planned_stop_is_found():
    cut = answer_with(whole=False)
    cut.began, cut.ended = 100.0, 101.0
    assert rules(checks.check_stops(Record(sent=[cut], stops=[("r1", 100.5)]))) == ["graceful-stop"]


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
def test_exit_that_is_not_graceful_is_found(code, was_ready, found):
    record = Record(exits=[Exit("r1", code, was_ready)])
    assert rules(checks.check_stops(record)) == found


def test_text_that_goes_back_and_errors_are_found(tmp_path):
    log = tmp_path / "r1.log"
    log.write_text(
        " seq=0 event=starting\nevent=text_in_force version=5 source=store\n"
        "event=text_in_force version=4 source=peer:r2\nTraceback (most recent call last):\n"
        " seq=0 event=starting\nevent=text_in_force version=3 source=store\n"
    )
    assert rules(check_config_logs([log])) == ["config-revert", "error"]
