"""Path of a request through a real router process and stand-in targets."""

import signal
import threading
import time

import urllib3
from pytest_bdd import given, parsers, scenarios, then, when

from turmerictray.loadtool.client import call_stream

scenarios(
    "features/answers.feature",
    "features/fair_share.feature",
    "features/at_most_once.feature",
    "features/shutdown.feature",
    "features/leaving.feature",
)

HTTP = urllib3.PoolManager(maxsize=64, retries=False)


def _stream_many(url: str, jobs: list[tuple[str, int]]) -> list:
    outcomes = [None] * len(jobs)

    def run_one(idx: int, team: str, tokens: int) -> None:
        outcomes[idx] = call_stream(urllib3.PoolManager(retries=False), url, team, tokens)

    threads = [
        threading.Thread(target=run_one, args=(i, team, tokens))
        for i, (team, tokens) in enumerate(jobs)
    ]
    for thread in threads:
        thread.start()
    return threads, outcomes


@given(
    parsers.parse("a fleet of 1 router and {engines:d} engines with {slots:d} slots each"),
    target_fixture="fleet",
)
def fleet_engines(start_fleet, engines, slots):
    return start_fleet(
        engines=engines,
        engine_slots=slots,
        routers=1,
        services=0,
        teams={"depot": 1.0, "riders": 1.0, "kiosks": 1.0},
    )


@given(
    parsers.parse("a fleet of 1 router and 1 engine with {slots:d} slots"), target_fixture="fleet"
)
def fleet_one_engine(start_fleet, slots):
    return start_fleet(
        engines=1,
        engine_slots=slots,
        routers=1,
        services=0,
        tokens_per_s=100.0,
        teams={"depot": 1.0},
    )


@given(
    parsers.parse(
        'a fleet of 1 router and 1 engine with {slots:d} slots, teams "{a}" of '
        'weight {weight_a:d} and "{b}" of weight {weight_b:d}'
    ),
    target_fixture="fleet",
)
def fleet_weighted(start_fleet, slots, a, weight_a, b, weight_b):
    return start_fleet(
        engines=1,
        engine_slots=slots,
        routers=1,
        services=0,
        tokens_per_s=400.0,
        teams={a: float(weight_a), b: float(weight_b)},
    )


@given(
    "a fleet of 1 router, 1 engine and 1 plain service that resets after running",
    target_fixture="fleet",
)
def fleet_resetting_service(start_fleet):
    fleet = start_fleet(engines=1, routers=1, services=1, limits={"max_retries": 2})
    fleet.post_json("orders-0", "/admin/fault", {"mode": "reset", "count": -1})
    return fleet


@when(parsers.parse("{teams:d} teams each stream {count:d} answers of {tokens:d} tokens at once"))
def stream_teams(fleet, ctx, teams, count, tokens):
    names = ["depot", "riders", "kiosks"][:teams]
    jobs = [(names[i % teams], tokens) for i in range(teams * count)]
    threads, outcomes = _stream_many(fleet.routers()[0].url, jobs)
    for thread in threads:
        thread.join(60)
    ctx["outcomes"] = outcomes


@then("every answer is complete, in order and contains only the tokens of its request")
def check_complete_answers(ctx):
    bad = [o for o in ctx["outcomes"] if o is None or not o.ok]
    assert not bad, bad[:3]


@when(parsers.parse("both teams keep {callers:d} callers busy for {seconds:d} seconds"))
def keep_busy(fleet, ctx, callers, seconds):
    url = fleet.routers()[0].url
    tokens = {"heavy": 0, "light": 0}
    lock = threading.Lock()
    warmup_ends_at = time.monotonic() + 1.0
    stop_at = warmup_ends_at + seconds

    def caller(team: str) -> None:
        http = urllib3.PoolManager(retries=False)
        while time.monotonic() < stop_at:
            out = call_stream(http, url, team, 20)
            assert out.ok, out
            if time.monotonic() > warmup_ends_at:
                with lock:
                    tokens[team] += out.tokens

    threads = [
        threading.Thread(target=caller, args=(team,))
        for team in ("heavy", "light")
        for _ in range(callers)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(60)
    ctx["tokens"] = tokens


@then(parsers.parse("heavy received between {low:f} and {high:f} times the tokens of light"))
def check_token_ratio(ctx, low, high):
    ratio = ctx["tokens"]["heavy"] / max(1, ctx["tokens"]["light"])
    assert low <= ratio <= high, ctx["tokens"]


@when(parsers.parse('a caller books an order with idempotency key "{key}"'))
def book_order(fleet, ctx, key):
    # The service runs the order and resets the connection during its answer. Guards against a
    # retry, which would run the order twice, and against a false "not run" answer. The caller
    # receives 502 outcome_unknown.
    resp = HTTP.request(
        "POST",
        fleet.routers()[0].url + "/svc/orders/book",
        body=b'{"van": 1}',
        headers={"X-Team": "depot", "Idempotency-Key": key, "Content-Type": "application/json"},
        timeout=10.0,
    )
    ctx["resp"] = resp


@then("the caller receives an unknown outcome")
def check_outcome_unknown(ctx):
    resp = ctx["resp"]
    assert resp.status == 502, (resp.status, resp.data)
    assert b"outcome_unknown" in resp.data


@then(parsers.parse('the plain service ran "{key}" exactly once'))
def check_ran_once(fleet, key):
    time.sleep(0.5)
    assert fleet.get_json("orders-0", "/admin/stats")["executions"] == {key: 1}


@when(
    parsers.parse(
        "{count:d} answers of {tokens:d} tokens are streaming and the router gets SIGTERM"
    )
)
def sigterm_midway(fleet, ctx, count, tokens):
    # SIGTERM starts a drain: the router refuses new requests, but relays every accepted stream to
    # its end before the process exits. Guards against streams that are cut by a shutdown.
    router = fleet.routers()[0]
    threads, outcomes = _stream_many(router.url, [("depot", tokens)] * count)
    time.sleep(0.4)
    fleet.signal(router.name, signal.SIGTERM)
    time.sleep(0.1)
    try:
        late = HTTP.request(
            "POST",
            router.url + "/v1/chat/completions",
            body=b'{"max_tokens": 4, "stream": true}',
            headers={"X-Team": "depot"},
            timeout=5.0,
        )
        ctx["late"] = (late.status, late.headers.get("Retry-After"), late.data)
    except urllib3.exceptions.HTTPError:
        ctx["late"] = None
    for thread in threads:
        thread.join(60)
    ctx["outcomes"] = outcomes
    ctx["router"] = router


@then(parsers.parse("all {count:d} answers are complete"))
def check_all_complete(ctx, count):
    assert len(ctx["outcomes"]) == count
    check_complete_answers(ctx)


@then("a new request is refused as not_run with Retry-After or can no longer connect")
def check_late_request(ctx):
    late = ctx["late"]
    if late is not None:
        status, retry_after, body = late
        assert status == 503 and retry_after is not None and b"not_run" in body, late


@then("the router exits with status 0")
def check_exit_status(ctx):
    assert ctx["router"].popen.wait(30) == 0


@when(parsers.parse("the instance list marks {target} as leaving and {seconds:d} seconds pass"))
def mark_leaving(fleet, ctx, target, seconds):
    # The instance list shows the change after a delay and the router polls it. From then on the
    # router grants no slot on the leaving engine; callers receive answers from the other engine.
    fleet.post_json("instances", "/admin/set", {"id": target, "state": "leaving"})
    time.sleep(seconds)
    ctx["before"] = sum(fleet.get_json(target, "/admin/stats")["executions"].values())
    ctx["target"] = target


@when(parsers.parse("{count:d} answers are requested"))
def request_answers(fleet, ctx, count):
    threads, outcomes = _stream_many(fleet.routers()[0].url, [("depot", 10)] * count)
    for thread in threads:
        thread.join(60)
    ctx["outcomes"] = outcomes


@then(parsers.parse("{target} receives none of them"))
def check_no_new_work(fleet, ctx, target):
    after = sum(fleet.get_json(target, "/admin/stats")["executions"].values())
    assert after == ctx["before"]
