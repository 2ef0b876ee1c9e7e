"""Answers of a router that restarts while the configuration service returns an old revision."""

import json
import signal
import threading
import time
from dataclasses import dataclass

import urllib3
from pytest_bdd import given, parsers, scenarios, then, when

from tests.router.test_config_revert import revision_two, serve_old_revision

scenarios("features/restart_with_old_service.feature")

CALLERS = 8
OBSERVATION_S = 3.0
_BODY = json.dumps({"max_tokens": 2, "messages": [{"role": "user", "content": "plan"}]})
_ERROR_PAUSE_S = 0.005


@dataclass(frozen=True)
class Seen:
    """A successful answer: monotonic time of its request and of its end, and its version."""

    sent: float
    answered: float
    version: int


class EagerCallers:
    """Callers that send one request after the other without a pause, also while nobody listens."""

    def __init__(self, url: str) -> None:
        self._url = url + "/v1/chat/completions"
        self._stop = threading.Event()
        self.seen: list[Seen] = []
        self._threads = [threading.Thread(target=self._call, daemon=True) for _ in range(CALLERS)]
        for thread in self._threads:
            thread.start()

    def _call(self) -> None:
        http = urllib3.PoolManager(retries=False)
        while not self._stop.is_set():
            sent = time.monotonic()
            try:
                resp = http.request(
                    "POST", self._url, body=_BODY, headers={"X-Team": "depot"}, timeout=5.0
                )
            except urllib3.exceptions.HTTPError:
                time.sleep(_ERROR_PAUSE_S)
                continue
            if resp.status == 200:
                version = int(resp.headers["X-Config-Version"])
                self.seen.append(Seen(sent, time.monotonic(), version))

    def wait_for_answer(self, within_s: float, version: int = 0) -> None:
        """Wait for an answer by ``version`` or a newer one."""
        deadline = time.monotonic() + within_s
        while not any(seen.version >= version for seen in list(self.seen)):
            assert time.monotonic() < deadline, f"no answer by version {version}"
            time.sleep(0.01)

    def finish(self) -> None:
        """Stop the callers and wait for them."""
        self._stop.set()
        for thread in self._threads:
            thread.join(10)


def _fleet(start_fleet, **router_settings):
    fleet = start_fleet(
        engines=1,
        routers=2,
        services=0,
        teams={"depot": 1.0},
        tokens_per_s=2000.0,
        router_settings=router_settings,
    )
    revision_two(fleet)
    return fleet


@given("a fleet of 2 routers and 1 engine, both by revision 2", target_fixture="fleet")
def two_routers(start_fleet):
    return _fleet(start_fleet)


@given(
    parsers.parse(
        "a fleet of 2 routers and 1 engine, both by revision 2, "
        "which wait {limit_s:g} seconds for a peer"
    ),
    target_fixture="fleet",
)
def two_routers_with_limit(start_fleet, limit_s):
    return _fleet(start_fleet, unresponsive_peer_timeout_s=limit_s)


@given("the configuration service falls back to revision 1")
def old_revision(fleet):
    serve_old_revision(fleet)


@when(
    parsers.parse("router-1 is killed and started again {times:d} times while 8 callers send to it")
)
def restart_repeatedly(fleet, ctx, times):
    # Guards against requests that are parsed before a starting router has its peers' configuration
    # and admitted after it.
    ctx["seen"] = []
    for _ in range(times):
        fleet.kill("router-1")
        callers = EagerCallers(fleet.restart("router-1").url)
        callers.wait_for_answer(20)
        time.sleep(OBSERVATION_S)
        callers.finish()
        ctx["seen"] += callers.seen


@when(
    parsers.parse(
        "router-0 is paused for {pause_s:d} seconds while router-1 is killed and started again"
    )
)
def pause_and_restart(fleet, ctx, pause_s):
    # Guards against a router that takes a frozen peer for one that is down, and serves by what an
    # old store says.
    fleet.signal("router-0", signal.SIGSTOP)
    fleet.kill("router-1")
    callers = EagerCallers(fleet.restart("router-1").url)
    time.sleep(pause_s)
    fleet.signal("router-0", signal.SIGCONT)
    ctx["woken"] = time.monotonic()
    callers.wait_for_answer(15, version=2)
    time.sleep(OBSERVATION_S)
    callers.finish()
    ctx["seen"] = callers.seen


@when("router-0 is killed, and router-1 is killed and started again")
def kill_both(fleet, ctx):
    # Guards against a router that waits for a peer that is down as for one that is frozen.
    fleet.kill("router-0")
    fleet.kill("router-1")
    ctx["callers"] = EagerCallers(fleet.restart("router-1").url)


@then("no answer of router-1 carries configuration version 1")
def check_never_old(ctx):
    old = [seen for seen in ctx["seen"] if seen.version < 2]
    assert ctx["seen"] and not old, (len(old), len(ctx["seen"]))


@then(parsers.parse("router-1 serves version 2 within {limit_s:d} seconds of the end of the pause"))
def check_serves_soon(ctx, limit_s):
    first = min(seen.answered for seen in ctx["seen"] if seen.version >= 2)
    assert first - ctx["woken"] <= limit_s, first - ctx["woken"]


@then(
    parsers.parse(
        "router-1 serves version 1 only until {limit_s:d} second after the end of the pause"
    )
)
def check_old_only_until(ctx, limit_s):
    # Guards against a router that goes on by its old revision while it fetches a newer one.
    old = [seen.sent for seen in ctx["seen"] if seen.version < 2]
    assert old, "the router never served alone"
    assert max(old) - ctx["woken"] <= limit_s, max(old) - ctx["woken"]


@then(parsers.parse("router-1 serves within {limit_s:d} seconds of its start"))
def check_serves(ctx, limit_s):
    ctx["callers"].wait_for_answer(limit_s)
    ctx["callers"].finish()
