"""Answers that callers receive when workers fail."""

from pytest_bdd import parsers, scenarios, then, when

from tests.platform.conftest import wait_for

scenarios("features/answers.feature")


@then("the answer comes from the worker")
def answer_is_sealed(ctx):
    assert ctx["answer"].headers["X-Server-Seal"].startswith("seal.app-")
    assert ctx["answer"].body == b"failed"


@when(parsers.parse("one caller sends {count:d} orders one after the other"))
def send_many(deployment, caller_to, ctx, count):
    # The worker's extra answer is unread in the pooled connection when the next request is sent on
    # it. If the router took it for that request's answer, a caller would receive another's answer.
    caller = caller_to(deployment.routers[0])
    ctx["answers"] = [caller.request("POST", f"/order/{n}", b"x" * n) for n in range(count)]


@then("each order received its own answer")
def answers_match_orders(ctx):
    bodies = [answer.body for answer in ctx["answers"]]
    assert bodies == [f"POST /order/{n} {n}".encode() for n in range(len(bodies))]


@then(parsers.parse("the caller received the whole answer to {method} {target}"))
def received_whole_answer(ctx, method, target):
    assert ctx["answer"].body == f"{method} {target} 0".encode()


@then(
    parsers.parse("the answer took between {min_s:g} and {max_s:g} seconds"),
)
def answer_took(ctx, min_s, max_s):
    assert min_s <= ctx["answer"].elapsed_s <= max_s, ctx["answer"].elapsed_s


@then("the request to the worker is cancelled within a second")
def worker_request_cancelled(deployment):
    seen = [seen for worker in deployment.of_service("app") for seen in worker.received_requests]
    assert wait_for(lambda: all(request.client_disconnected for request in seen), 1.0)
