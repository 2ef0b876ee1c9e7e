"""The ``explain`` command: the cause of a request's outcome, from logs alone."""

import pytest
from pytest_bdd import parsers, scenarios, then, when

from tests.platform.conftest import *  # noqa: F403 - fixtures and steps of the local deployment
from tests.platform.conftest import wait_for
from turmerictray.cli.explain import explain
from turmerictray.cli.main import explain as explain_command

scenarios("features/explain.feature")


@when(parsers.parse("a caller sends {method} {target} with the id {req_id}"))
def send_with_id(deployment, caller_to, method, target, req_id):
    body = b"crates" if method == "POST" else b""
    caller_to(deployment.routers[0]).request(method, target, body, X_Request_Id=req_id)


def test_request_refused_on_shared_log_line_is_found(tmp_path):
    log = tmp_path / "r1.log"
    log.write_text(
        "ts=2026-12-03T10:00:00.000000Z node=r1 zone=z1 role=router seq=1 event=refused_early "
        "team=depot route=plan status=503 reason=backlog_full count=2 reqs=a1,b2\n"
    )
    assert "the team had more pending requests on this router" in "\n".join(explain("b2", [log]))


def test_failure_logged_after_the_outcome_does_not_replace_its_cause(tmp_path):
    """Guards against a cause that is not the request's, as its end failed at the scheduler."""
    head = "ts=2026-12-03T10:00:0{}.000000Z node=r{} zone=z1 role=router seq=1 event="
    log = tmp_path / "r1.log"
    log.write_text(
        head.format(0, 1) + "request req=a1 outcome=refused status=503 reason=queue_full\n"
        + head.format(1, 2) + "actor_failed actor=Broker message=Settled req=a1 reason=Odd()\n"
    )  # fmt: skip
    lines = list(explain("a1", [log]))
    assert any("actor_failed" in line for line in lines)
    assert "the team had too many pending requests" in lines[-1]


@then(parsers.parse('the logs explain {req_id} by "{cause}"'))
def logs_explain(deployment, req_id, cause):
    logs = [router.log_path for router in deployment.routers]

    def is_explained() -> bool:
        return cause.strip() in "\n".join(explain(req_id, logs))

    assert wait_for(is_explained), "\n".join(explain(req_id, logs))


def test_request_missing_from_logs_is_an_error(tmp_path, capsys):
    """Scripts must not mistake an unknown id for an explained one: the exit status is 1."""
    log = tmp_path / "r1.log"
    log.write_text("ts=2026-12-03T10:00:00.000000Z node=r1 zone=z1 seq=1 event=starting\n")
    assert explain_command("b2", [log]) == 1
    assert "no line mentions b2" in capsys.readouterr().out


@pytest.mark.parametrize(
    "odd",
    [
        "ts=x node=r1 role=router seq=1 event=drain_started",
        "ts=0001-01-01 node=r1 role=router seq=1 event=drain_started",
        "ts=9999-99-99T00:00:00Z node=r1 role=router seq=1 event=drain_started",
        f"ts=2026-12-03T10:00:01Z node=r1 role=router seq={'9' * 5000} event=drain_started",
        "ts=2026-12-03T10:00:01Z node=r1 role=router seq=1 event=text_in_force version=3",
        "ts=2026-12-03T10:00:01Z node=r1 role=router seq=1 event=target target=e1",
    ],
)
def test_odd_line_ends_no_explanation(tmp_path, odd):
    """Guards against a request that can't be explained for a line of something else."""
    sound = "ts=2026-12-03T10:00:02Z node=r1 role=router seq=2 event=request req=q1 text=3"
    path = tmp_path / "r1.log"
    path.write_text(f"{odd}\n{sound} target=e1 outcome=refused reason=queue_full\n")
    assert "queue_full" in list(explain("q1", [path]))[-1]
