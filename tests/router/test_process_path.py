"""The caller's path through real router and stand-in processes."""

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
    results = [None] * len(jobs)

    def one(idx: int, team: str, tokens: int) -> None:
        results[idx] = call_stream(urllib3.PoolManager(retries=False), url, team, tokens)

    threads = [
        threading.Thread(target=one, args=(i, team, tokens))
        for i, (team, tokens) in enumerate(jobs)
    ]
    for thr in threads:
        thr.start()
    return threads, results


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
        'weight {wa:d} and "{b}" of weight {wb:d}'
    ),
    target_fixture="fleet",
)
def fleet_weighted(start_fleet, slots, a, wa, b, wb):
    return start_fleet(
        engines=1,
        engine_slots=slots,
        routers=1,
        services=0,
        tokens_per_s=400.0,
        teams={a: float(wa), b: float(wb)},
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
    threads, results = _stream_many(fleet.routers()[0].url, jobs)
    for thr in threads:
        thr.join(60)
    ctx["outcomes"] = results


@then("every answer is whole, in order and carries only its own request's tokens")
def all_whole(ctx):
    bad = [o for o in ctx["outcomes"] if o is None or not o.ok]
    assert not bad, bad[:3]


@when(parsers.parse("both teams keep {callers:d} callers busy for {seconds:d} seconds"))
def keep_busy(fleet, ctx, callers, seconds):
    url = fleet.routers()[0].url
    tokens = {"heavy": 0, "light": 0}
    lock = threading.Lock()
    warm_until = time.monotonic() + 1.0
    stop_at = warm_until + seconds

    def caller(team: str) -> None:
        http = urllib3.PoolManager(retries=False)
        while time.monotonic() < stop_at:
            out = call_stream(http, url, team, 20)
            assert out.ok, out
            if time.monotonic() > warm_until:
                with lock:
                    tokens[team] += out.tokens

    threads = [
        threading.Thread(target=caller, args=(team,))
        for team in ("heavy", "light")
        for _ in range(callers)
    ]
    for thr in threads:
        thr.start()
    for thr in threads:
        thr.join(60)
    ctx["tokens"] = tokens


@then(parsers.parse("heavy received between {low:f} and {high:f} times the tokens of light"))
def weighted_share(ctx, low, high):
    ratio = ctx["tokens"]["heavy"] / max(1, ctx["tokens"]["light"])
    assert low <= ratio <= high, ctx["tokens"]


@when(parsers.parse('a caller books an order with idempotency key "{key}"'))
def book(fleet, ctx, key):
    # The caller sees 502 outcome_unknown. The router sends the order, the service runs it
    # and breaks the connection mid-answer; the router may not retry, because the order may
    # have run, and may not say "not run", because that would be false.
    resp = HTTP.request(
        "POST",
        fleet.routers()[0].url + "/svc/orders/book",
        body=b'{"van": 1}',
        headers={"X-Team": "depot", "Idempotency-Key": key, "Content-Type": "application/json"},
        timeout=10.0,
    )
    ctx["resp"] = resp


@then("the caller is told the outcome is unknown")
def told_unknown(ctx):
    resp = ctx["resp"]
    assert resp.status == 502, (resp.status, resp.data)
    assert b"outcome_unknown" in resp.data


@then(parsers.parse('the plain service ran "{key}" exactly once'))
def ran_once(fleet, key):
    time.sleep(0.5)
    assert fleet.get_json("orders-0", "/admin/stats")["executions"] == {key: 1}


@when(
    parsers.parse(
        "{count:d} answers of {tokens:d} tokens are streaming and the router gets SIGTERM"
    )
)
def sigterm_midway(fleet, ctx, count, tokens):
    # The callers see whole answers: SIGTERM starts a drain, so the router refuses new work
    # but relays every accepted stream to its end before the process exits.
    router = fleet.routers()[0]
    threads, results = _stream_many(router.url, [("depot", tokens)] * count)
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
    for thr in threads:
        thr.join(60)
    ctx["outcomes"] = results
    ctx["router"] = router


@then(parsers.parse("all {count:d} answers arrive whole"))
def all_arrive(ctx, count):
    assert len(ctx["outcomes"]) == count
    all_whole(ctx)


@then("a new request is refused as not run with Retry-After, or finds the router gone")
def late_refused(ctx):
    late = ctx["late"]
    if late is not None:
        status, retry_after, body = late
        assert status == 503 and retry_after is not None and b"not_run" in body, late


@then("the router exits with status 0")
def exits_zero(ctx):
    assert ctx["router"].popen.wait(30) == 0


@when(parsers.parse("the instance list marks {target} as leaving and {seconds:d} seconds pass"))
def mark_leaving(fleet, ctx, target, seconds):
    # The caller sees nothing: its answers come from the other engine. The list shows the
    # change after its lag, the router polls it, and from then on grants no slot on the
    # leaving engine, so within a few seconds it gets no new work.
    fleet.post_json("instances", "/admin/set", {"id": target, "state": "leaving"})
    time.sleep(seconds)
    ctx["before"] = sum(fleet.get_json(target, "/admin/stats")["executions"].values())
    ctx["target"] = target


@when(parsers.parse("{count:d} answers are requested"))
def request_answers(fleet, ctx, count):
    threads, results = _stream_many(fleet.routers()[0].url, [("depot", 10)] * count)
    for thr in threads:
        thr.join(60)
    ctx["outcomes"] = results


@then(parsers.parse("{target} received none of them"))
def none_received(fleet, ctx, target):
    after = sum(fleet.get_json(target, "/admin/stats")["executions"].values())
    assert after == ctx["before"]
