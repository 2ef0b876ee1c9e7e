"""What on-call engineers can learn from logs alone."""

from pytest_bdd import parsers, scenarios, then, when

from tests.platform.conftest import *  # noqa: F403 - the deployment's fixtures and steps
from tests.platform.conftest import wait_for
from turmerictray.cli.explain import explain
from turmerictray.cli.main import explain as explain_command

scenarios("features/explain.feature")


@when(parsers.parse("a caller sends {method} {target} with the id {req_id}"))
def send_with_id(deployment, caller_to, method, target, req_id):
    body = b"crates" if method == "POST" else b""
    caller_to(deployment.routers[0]).request(method, target, body, X_Request_Id=req_id)


def test_a_request_that_was_refused_with_others_is_found(tmp_path):
    log = tmp_path / "r1.log"
    log.write_text(
        "ts=2026-12-03T10:00:00.000000Z node=r1 zone=z1 role=router seq=1 event=refused_early "
        "team=depot route=plan status=503 reason=backlog_full count=2 reqs=a1,b2\n"
    )
    assert "more of the team's requests waited" in "\n".join(explain("b2", [log]))


@then(parsers.parse('the logs explain {req_id} by "{cause}"'))
def explained(deployment, req_id, cause):
    logs = [router.log_path for router in deployment.routers]

    def told() -> bool:
        return cause.strip() in "\n".join(explain(req_id, logs))

    assert wait_for(told), "\n".join(explain(req_id, logs))


def test_a_request_that_no_log_knows_is_an_error(tmp_path, capsys):
    """Guards against scripts that take an unknown id for an explained one."""
    log = tmp_path / "r1.log"
    log.write_text("ts=2026-12-03T10:00:00.000000Z node=r1 zone=z1 seq=1 event=starting\n")
    assert explain_command("b2", [log]) == 1
    assert "no line mentions b2" in capsys.readouterr().out
