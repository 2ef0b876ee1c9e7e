"""Answers that callers get when workers fail in the ways that workers do."""

from pytest_bdd import parsers, scenarios, then, when

from tests.platform.conftest import wait_for

scenarios("features/answers.feature")


@then("the answer is the worker's")
def signed(ctx):
    assert ctx["answer"].headers["X-Server-Seal"].startswith("seal.app-")
    assert ctx["answer"].body == b"failed"


@when(parsers.parse("one caller sends {count:d} orders one after the other"))
def send_many(deployment, caller_to, ctx, count):
    # The worker's second answer lies on the kept connection when the next request is sent there.
    # Taken for that request's answer, it would give one caller what belongs to another.
    caller = caller_to(deployment.routers[0])
    ctx["answers"] = [caller.request("POST", f"/order/{n}", b"x" * n) for n in range(count)]


@then("each got the answer to its own order")
def own_answers(ctx):
    bodies = [answer.body for answer in ctx["answers"]]
    assert bodies == [f"POST /order/{n} {n}".encode() for n in range(len(bodies))]


@then(
    parsers.parse("it came between {least:g} and {most:g} seconds after the request"),
)
def came_between(ctx, least, most):
    assert least <= ctx["answer"].took_s <= most, ctx["answer"].took_s


@then("the worker was left at once")
def worker_left(deployment):
    seen = [seen for worker in deployment.of_service("app") for seen in worker.seen]
    assert wait_for(lambda: all(request.left_early for request in seen), 1.0)
