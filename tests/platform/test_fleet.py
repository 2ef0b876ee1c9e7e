"""Published configurations, store failures, leaving workers and stops of router processes."""

import signal
import threading
import time

from pytest_bdd import parsers, scenarios, then, when

from tests.platform.conftest import wait_for
from turmerictray.platform.standins.caller import PROMPT_HEADERS, RawCaller
from turmerictray.platform.standins.local import default_config
from turmerictray.platform.standins.store import StoreTrouble

scenarios("features/fleet.feature")


def status(router, method: str, target: str) -> int:
    caller = RawCaller(router.front)
    try:
        return caller.request(method, target).status
    finally:
        caller.close()


@when(parsers.parse("an older version with all routes is published as {version:d}"))
def publish_older(deployment, version):
    deployment.store.store.put("op/config", default_config(version))


@when("an invalid configuration is published")
def publish_invalid(deployment):
    deployment.store.store.put_bytes("op/config", b'{"version": 9, "routes": [{"name": 1}]}')


@then(parsers.parse("GET {target} returns {code:d} within {seconds:d} second"))
@then(parsers.parse("GET {target} returns {code:d} within {seconds:d} seconds"))
def returns_within(deployment, target, code, seconds):
    router = deployment.routers[0]
    assert wait_for(lambda: status(router, "GET", target) == code, seconds)


@then(parsers.parse("GET {target} keeps returning {code:d}"))
def keeps_returning(deployment, target, code):
    for _ in range(10):
        assert status(deployment.routers[0], "GET", target) == code
        time.sleep(0.05)


@when(parsers.parse("router {number:d} is killed and restarted"))
def restart(deployment, number):
    # The restarted router has no state and can't read the store. Without the documents that its
    # peer has read it would refuse its callers until the store is available again.
    router = deployment.routers[number - 1]
    router.stop()
    router.start()


@then(parsers.parse("router {number:d} becomes ready and serves requests"))
def becomes_ready(deployment, number):
    router = deployment.routers[number - 1]
    assert wait_for(router.is_ready, 8.0)
    assert status(router, "POST", "/order/1") == 200


@when("the store discards its history and recovers")
def discard_history(deployment):
    deployment.store.store.compact()
    deployment.store.store.trouble = StoreTrouble.NONE


@when("one app worker is draining")
def drain_worker(deployment, ctx):
    ctx["leaving"] = deployment.of_service("app")[0]
    deployment.publish(ctx["leaving"], "draining")
    time.sleep(0.3)


@then("only the other app worker receives requests")
def only_other_worker(deployment, ctx):
    assert all(status(deployment.routers[0], "GET", f"/ping/{n}") == 200 for n in range(20))
    assert not ctx["leaving"].received_requests


@when("the entry of one app worker expires and the store recovers")
def expire_entry(deployment, ctx):
    ctx["lapsed"] = deployment.of_service("app")[0]
    time.sleep(0.3)
    deployment.store.store.delete(f"servers/{ctx['lapsed'].id}")
    deployment.store.store.trouble = StoreTrouble.NONE


@when("the entry is written again a second later")
def rewrite_entry(deployment, ctx):
    time.sleep(1.0)
    deployment.publish(ctx["lapsed"])


@then("both app workers receive requests")
def both_workers_receive(deployment):
    def served() -> bool:
        status(deployment.routers[0], "GET", "/ping/1")
        return all(worker.received_requests for worker in deployment.of_service("app"))

    assert wait_for(served)


@when(parsers.parse("the router receives SIGTERM during {count:d} streams"))
def stop_during(deployment, ctx, count):
    router = deployment.routers[0]
    callers = [RawCaller(router.front) for _ in range(count)]
    ctx["answers"] = []

    def ask(caller) -> None:
        ctx["answers"].append(caller.request("POST", "/plan/1", b"p", **PROMPT_HEADERS))
        caller.close()

    ctx["threads"] = [threading.Thread(target=ask, args=(caller,)) for caller in callers]
    for thread in ctx["threads"]:
        thread.start()
    engines = deployment.of_service("llm")
    assert wait_for(lambda: sum(len(worker.runs()) for worker in engines) == count)
    router.signal(signal.SIGTERM)


@then("the router reports within half a second that it is not ready")
def not_ready(deployment):
    assert wait_for(lambda: not deployment.routers[0].is_ready(), 0.5)


@then(parsers.parse("all {count:d} streams complete"))
def streams_complete(ctx, count):
    for thread in ctx["threads"]:
        thread.join(10)
    assert len(ctx["answers"]) == count
    assert all(answer.complete and answer.status == 200 for answer in ctx["answers"])
    assert all(answer.headers.get("Connection") in (None, "close") for answer in ctx["answers"])


@then("the router exits with status 0")
def exits_cleanly(deployment):
    assert deployment.routers[0].wait() == 0


@when("the router receives SIGHUP")
def send_sighup(deployment):
    deployment.routers[0].signal(signal.SIGHUP)
    time.sleep(0.5)


SHARED_TOKENS = 5000
UNIQUE_TOKENS = 10


@when("only one engine is registered")
def unregister_second_engine(deployment):
    deployment.withdraw(deployment.of_service("llm")[1])
    time.sleep(0.5)


@when("the other engine is registered too")
def register_second_engine(deployment):
    deployment.publish(deployment.of_service("llm")[1])


@when(parsers.parse("{count:d} prompts with {prefixes:d} shared prefixes are answered"))
def send_prompts(deployment, ctx, count, prefixes):
    engines = deployment.of_service("llm")
    before = sum(engine.read_tokens for engine in engines)
    callers = [RawCaller(router.front) for router in deployment.routers]
    for number in range(count):
        shared = f"5ab{number % prefixes}:{SHARED_TOKENS}"
        headers = {
            "X_Model": "m",
            "X_Token_Count": f"{SHARED_TOKENS + UNIQUE_TOKENS},20",
            "X_Prompt_Prefix": f"{shared},{time.monotonic_ns():x}:{UNIQUE_TOKENS}",
        }
        answer = callers[number % len(callers)].request("POST", "/plan/1", b"p", **headers)
        assert answer.complete and answer.status == 200, answer
    for caller in callers:
        caller.close()
    ctx["prefilled_tokens"] = sum(engine.read_tokens for engine in engines) - before
    ctx["unique_tokens"] = count * UNIQUE_TOKENS


@when(parsers.parse("the test kills and restarts {which}"))
def restart_some(deployment, which):
    # The engines still have their prompt caches, but only the routers knew which engine has cached
    # what. Without that, half of the prefixes are placed on the engine that ranks first for them
    # although it never prefilled them.
    routers = deployment.routers if which == "all routers" else deployment.routers[1:]
    time.sleep(0.5)
    for router in routers:
        router.stop()
    for router in routers:
        router.start()
    for router in routers:
        router.wait_ready()
    time.sleep(2.0)


@then("no shared prefix was prefilled again")
def not_prefilled_again(ctx):
    assert ctx["prefilled_tokens"] == ctx["unique_tokens"]
