"""Publishing, the store's troubles, leaving workers and planned stops, with router processes."""

import signal
import threading
import time

from pytest_bdd import parsers, scenarios, then, when

from tests.platform.conftest import wait_for
from turmerictray.platform.standins.caller import PROMPT, RawCaller
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


@when("a broken text is published")
def publish_broken(deployment):
    deployment.store.store.put_bytes("op/config", b'{"version": 9, "routes": [{"name": 1}]}')


@then(parsers.parse("GET {target} is answered {code:d} within {seconds:d} second"))
@then(parsers.parse("GET {target} is answered {code:d} within {seconds:d} seconds"))
def answered_within(deployment, target, code, seconds):
    router = deployment.routers[0]
    assert wait_for(lambda: status(router, "GET", target) == code, seconds)


@then(parsers.parse("GET {target} stays {code:d}"))
def stays(deployment, target, code):
    for _ in range(10):
        assert status(deployment.routers[0], "GET", target) == code
        time.sleep(0.05)


@when(parsers.parse("router {number:d} is killed and started again"))
def restart(deployment, number):
    # The restarted router has no memory and the store does not help it. What its peer has read is
    # all there is; without it, its callers would be refused until the store is back.
    router = deployment.routers[number - 1]
    router.stop()
    router.start()


@then(parsers.parse("router {number:d} takes callers and serves them"))
def takes_callers(deployment, number):
    router = deployment.routers[number - 1]
    assert wait_for(router.is_ready, 8.0)
    assert status(router, "POST", "/order/1") == 200


@when("the store forgets its history and is none")
def forget(deployment):
    deployment.store.store.compact()
    deployment.store.store.trouble = StoreTrouble.NONE


@when("one app worker is draining")
def drain_worker(deployment, ctx):
    ctx["leaving"] = deployment.of_service("app")[0]
    deployment.publish(ctx["leaving"], "draining")
    time.sleep(0.3)


@then("only the other one gets requests")
def only_other(deployment, ctx):
    assert all(status(deployment.routers[0], "GET", f"/ping/{n}") == 200 for n in range(20))
    assert not ctx["leaving"].seen


@when("one app worker's entry lapses and the store comes back")
def lapse(deployment, ctx):
    ctx["lapsed"] = deployment.of_service("app")[0]
    time.sleep(0.3)
    deployment.store.store.delete(f"servers/{ctx['lapsed'].id}")
    deployment.store.store.trouble = StoreTrouble.NONE


@when("the entry is back a second later")
def entry_back(deployment, ctx):
    time.sleep(1.0)
    deployment.publish(ctx["lapsed"])


@then("both app workers get requests")
def both_get(deployment):
    def served() -> bool:
        status(deployment.routers[0], "GET", "/ping/1")
        return all(worker.seen for worker in deployment.of_service("app"))

    assert wait_for(served)


@when(parsers.parse("the router is told to stop during {count:d} streams"))
def stop_during(deployment, ctx, count):
    router = deployment.routers[0]
    callers = [RawCaller(router.front) for _ in range(count)]
    ctx["answers"] = []

    def ask(caller) -> None:
        ctx["answers"].append(caller.request("POST", "/plan/1", b"p", **PROMPT))
        caller.close()

    ctx["threads"] = [threading.Thread(target=ask, args=(caller,)) for caller in callers]
    for thread in ctx["threads"]:
        thread.start()
    engines = deployment.of_service("llm")
    assert wait_for(lambda: sum(len(worker.runs()) for worker in engines) == count)
    router.signal(signal.SIGTERM)


@then("it says at once that it is not ready")
def not_ready(deployment):
    assert wait_for(lambda: not deployment.routers[0].is_ready(), 0.5)


@then(parsers.parse("all {count:d} streams end whole"))
def streams_whole(ctx, count):
    for thread in ctx["threads"]:
        thread.join(10)
    assert len(ctx["answers"]) == count
    assert all(answer.whole and answer.status == 200 for answer in ctx["answers"])
    assert all(answer.headers.get("Connection") in (None, "close") for answer in ctx["answers"])


@then("the router exits with 0")
def exits(deployment):
    assert deployment.routers[0].wait() == 0


@when("the router gets a hang-up signal")
def hang_up_signal(deployment):
    deployment.routers[0].signal(signal.SIGHUP)
    time.sleep(0.5)


SUBJECT_TOKENS = 5000
OWN_TOKENS = 10


@when("only one engine is listed")
def one_engine(deployment):
    deployment.withdraw(deployment.of_service("llm")[1])
    time.sleep(0.5)


@when("the other engine is listed too")
def other_engine(deployment):
    deployment.publish(deployment.of_service("llm")[1])


@when(parsers.parse("{count:d} prompts on {subjects:d} subjects have been answered"))
def answered_prompts(deployment, ctx, count, subjects):
    engines = deployment.of_service("llm")
    before = sum(engine.read_tokens for engine in engines)
    callers = [RawCaller(router.front) for router in deployment.routers]
    for number in range(count):
        subject = f"5ab{number % subjects}:{SUBJECT_TOKENS}"
        headers = {
            "X_Model": "m",
            "X_Token_Count": f"{SUBJECT_TOKENS + OWN_TOKENS},20",
            "X_Prompt_Prefix": f"{subject},{time.monotonic_ns():x}:{OWN_TOKENS}",
        }
        answer = callers[number % len(callers)].request("POST", "/plan/1", b"p", **headers)
        assert answer.whole and answer.status == 200, answer
    for caller in callers:
        caller.close()
    ctx["read"] = sum(engine.read_tokens for engine in engines) - before
    ctx["own"] = count * OWN_TOKENS


@when(parsers.parse("{which} are killed and started again"))
def restart_some(deployment, which):
    # Engines keep what they have read, but only the routers knew which engine keeps what. Without
    # it half of the subjects go to the engine that ranks them first and that never read them.
    routers = deployment.routers if which == "all routers" else deployment.routers[1:]
    time.sleep(0.5)
    for router in routers:
        router.stop()
    for router in routers:
        router.start()
    for router in routers:
        router.wait_ready()
    time.sleep(2.0)


@then("no subject was read again")
def not_read_again(ctx):
    assert ctx["read"] == ctx["own"]
