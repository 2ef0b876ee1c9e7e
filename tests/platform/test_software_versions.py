"""Streams while targets of two software versions serve side by side."""

import itertools
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from pytest_bdd import given, parsers, scenarios, then, when

from tests.platform.conftest import wait_for
from turmerictray.platform.standins.caller import RawAnswer, RawCaller, make_request
from turmerictray.platform.standins.local import default_config
from turmerictray.platform.standins.worker import Worker

scenarios("features/software_versions.feature")

_OTHER_KEY = "key-rider"
_EVENTS = 12
_EVENT_INTERVAL_S = 0.1
_EVENTS_BEFORE_BREAK = 3
_GOSSIP_S = 0.6
"""Time in which routers learn of changed entries from their peers."""

_UNTIL_VERSION_SERVES_S = 2.5
"""Time after which a version that joins another begins streams."""

_JOIN_S = 1.0
"""Time in which a router that has started gets the records of its peers."""

_UNTIL_IN_TOUCH_S = 3.0
"""Time after its start until which a router is in touch with the others."""

_UNTIL_SCHEDULER_S = 4.0
"""Time after its start until which a router schedules again."""

_numbers = itertools.count(1)


@dataclass
class _Stream:
    """A stream over its caller's attempts."""

    request_id: str
    parts: str
    answers: list[RawAnswer] = field(default_factory=list)

    def headers(self) -> dict[str, str]:
        return {
            "X_Model": "m",
            "X_Token_Count": "120,80",
            "X_Prompt_Prefix": self.parts,
            "X_Request_Id": f"{self.request_id}-{len(self.answers)}",
        }

    def versions(self) -> set[str]:
        return set().union(*(answer.versions() for answer in self.answers))

    def event_ids(self) -> list[int]:
        return [number for answer in self.answers for number in answer.event_ids()]


def _new_stream() -> _Stream:
    # Prompts without common parts; others would all be placed on the engine that caches them.
    number = next(_numbers)
    return _Stream(f"stream{number:08x}", f"{number:08x}:80,{number + 4096:08x}:40")


def _in_parallel(function, streams: list[_Stream]) -> list[_Stream]:
    with ThreadPoolExecutor(len(streams)) as pool:
        list(pool.map(function, streams))
    return streams


def _request(router, stream: _Stream, **headers: str) -> RawAnswer:
    """Request a stream, or take it up, and read it to its end."""
    caller = RawCaller(router.front)
    caller.send(make_request("POST", "/plan/1", b"prompt", **(stream.headers() | headers)))
    stream.answers.append(RawAnswer())
    caller.read(stream.answers[-1])
    caller.close()
    return stream.answers[-1]


def _withdraw_one_of_each_version(deployment) -> None:
    """Withdraw engines, so that their streams can't go on where their prompts are cached."""
    for version in ("v1", "v2"):
        worker = next(w for w in deployment.of_service("llm") if w.version == version)
        deployment.withdraw(worker)
    time.sleep(_GOSSIP_S)


def _begin(router, stream: _Stream, api_key: str | None = None) -> None:
    """Request a stream, and leave it after a few events."""
    key = {"Authorization": f"Bearer {api_key}"} if api_key else {}
    caller = RawCaller(router.front)
    caller.send(make_request("POST", "/plan/1", b"prompt", **(stream.headers() | key)))
    answer = RawAnswer()
    while len(answer.event_ids()) < _EVENTS_BEFORE_BREAK:
        received = caller.sock.recv(4096)
        assert received, answer
        answer.body += received
    caller.close()
    stream.answers.append(answer)


def _has_begun(stream: _Stream) -> bool:
    return len(stream.event_ids()) >= _EVENTS_BEFORE_BREAK


def _begin_streams(router, count: int) -> list[_Stream]:
    return _in_parallel(
        lambda stream: _begin(router, stream), [_new_stream() for _ in range(count)]
    )


def _take_up(router, stream: _Stream) -> None:
    last_id = str(stream.event_ids()[-1])
    _request(router, stream, Resumes=f"{stream.request_id}-0", Last_Event_Id=last_id)


@given(
    parsers.parse(
        "a deployment with {routers:d} router(s), and {count:d} engines each of the versions "
        "{first} and {second}"
    ),
    target_fixture="deployment",
)
def deployment_of_two_versions(start_deployment, routers, count, first, second):
    deployment = start_deployment(routers=routers, engines=count)
    for number in range(count):
        worker = Worker(f"llm-{second}-{number}", "llm").start()
        worker.version = second
        deployment.add_worker(worker)
    for worker in deployment.of_service("llm"):
        worker.behaviour.event_count = _EVENTS
        worker.behaviour.event_interval_s = _EVENT_INTERVAL_S
        worker.behaviour.slots = 64
        deployment.publish(worker)
    time.sleep(_UNTIL_VERSION_SERVES_S)
    return deployment


@given(
    parsers.parse(
        "the route plan has a second service, with {count:d} engine of the version {version}"
    )
)
def second_service(deployment, count, version):
    for number in range(count):
        worker = Worker(f"llm2-{number}", "llm2").start()
        worker.version = version
        worker.behaviour.event_count = _EVENTS
        worker.behaviour.event_interval_s = _EVENT_INTERVAL_S
        worker.behaviour.slots = 64
        deployment.add_worker(worker)
    config = default_config(2)
    config["services"].append({**config["services"][1], "name": "llm2"})
    route = next(route for route in config["routes"] if route["name"] == "plan")
    route["backends"] = [{"service": "llm", "weight": 1.0}, {"service": "llm2", "weight": 1.0}]
    del route["service"]
    deployment.store.store.put("op/config", config)
    time.sleep(2 * _GOSSIP_S)


@when(parsers.parse("{count:d} callers request streams that each break once"))
def streams_break_once(deployment, ctx, count):
    router = deployment.routers[0]
    for worker in deployment.of_service("llm"):
        worker.behaviour.breaks_new_streams = True
    streams = [_new_stream() for _ in range(count)]
    ctx["streams"] = _in_parallel(lambda stream: _request(router, stream), streams)


@when(parsers.parse("{count:d} callers leave their streams and take them up at another router"))
def streams_taken_up_elsewhere(deployment, ctx, count):
    first, second, _ = deployment.routers
    ctx["streams"] = _begin_streams(first, count)
    _withdraw_one_of_each_version(deployment)
    _in_parallel(lambda stream: _take_up(second, stream), ctx["streams"])


@when(
    parsers.parse(
        "{count:d} callers lose their streams to a kill of router {number:d} "
        "and take them up at another"
    )
)
def streams_of_killed_router(deployment, ctx, count, number):
    first, second = deployment.routers[number - 1], deployment.routers[number - 2]
    streams = [_new_stream() for _ in range(count)]
    with ThreadPoolExecutor(count) as pool:
        results = [pool.submit(_request, first, stream) for stream in streams]
        have_begun = wait_for(lambda: all(_has_begun(stream) for stream in streams))
        first.stop()
        for result in results:
            result.result()
    assert have_begun, [s.answers for s in streams if not _has_begun(s)][:2]
    lost = [stream for stream in streams if stream.event_ids()[-1] < _EVENTS]
    assert len(lost) == count
    ctx["streams"] = lost
    _withdraw_one_of_each_version(deployment)
    _in_parallel(lambda stream: _take_up(second, stream), ctx["streams"])


@when(
    parsers.parse(
        "{count:d} callers leave their streams and take them up at a router started meanwhile"
    )
)
def streams_taken_up_at_started_router(deployment, ctx, count):
    first, second, _ = deployment.routers
    second.stop()
    ctx["streams"] = _begin_streams(first, count)
    _withdraw_one_of_each_version(deployment)
    second.start()
    second.wait_ready()
    _in_parallel(lambda stream: _take_up(second, stream), ctx["streams"])


@when(
    parsers.parse(
        "{count:d} callers leave their streams and take them up once each router has restarted"
    )
)
def streams_taken_up_after_rolling_restart(deployment, ctx, count):
    # Failure: records were told to those that were there, and lost with the last of these.
    ctx["streams"] = _begin_streams(deployment.routers[0], count)
    for router in deployment.routers:
        router.stop()
        router.start()
        router.wait_ready()
        time.sleep(_JOIN_S)
    _in_parallel(lambda stream: _take_up(deployment.routers[1], stream), ctx["streams"])


@when(
    parsers.parse(
        "{count:d} callers leave their streams, and take them up once their version is gone"
    )
)
def streams_of_a_version_that_is_gone(deployment, ctx, count):
    first, second, _ = deployment.routers
    ctx["streams"] = _streams_of_first_version(first, count)
    _withdraw_first_version(deployment)
    time.sleep(_GOSSIP_S)
    _in_parallel(lambda stream: _take_up(second, stream), ctx["streams"])


@when(
    parsers.parse(
        "{count:d} callers leave their streams, whose version leaves before router {number:d} "
        "restarts"
    )
)
def streams_of_a_version_before_a_restart(deployment, ctx, count, number):
    # Failure: the restarted router scheduled, and joined them to the only version that it knew.
    restarted = deployment.routers[number - 1]
    first, second = (router for router in deployment.routers if router is not restarted)
    ctx["streams"] = _streams_of_first_version(first, count)
    _withdraw_first_version(deployment)
    time.sleep(_GOSSIP_S)
    restarted.stop()
    restarted.start()
    restarted.wait_ready()
    time.sleep(_UNTIL_SCHEDULER_S)
    _in_parallel(lambda stream: _take_up(second, stream), ctx["streams"])


@when(
    parsers.parse(
        "{count:d} callers leave their streams, whose version leaves before all routers are killed"
    )
)
def streams_of_a_version_before_a_kill_of_all(deployment, ctx, count):
    # Failure: no router knew what had been there before, and none looked for what it can't know.
    ctx["streams"] = _streams_of_first_version(deployment.routers[0], count)
    _withdraw_first_version(deployment)
    time.sleep(_GOSSIP_S)
    _restart_all(deployment)
    _in_parallel(lambda stream: _take_up(deployment.routers[1], stream), ctx["streams"])


@when(
    parsers.parse(
        "{count:d} callers leave their streams and take them up once all routers were killed"
    )
)
def streams_taken_up_after_a_kill_of_all(deployment, ctx, count):
    # Failure: all records of streams are lost at once, though both versions still serve.
    ctx["streams"] = _begin_streams(deployment.routers[0], count)
    _restart_all(deployment)
    time.sleep(_UNTIL_IN_TOUCH_S)
    _in_parallel(lambda stream: _take_up(deployment.routers[1], stream), ctx["streams"])


def test_streams_go_on_after_all_routers_were_killed_while_one_version_serves(start_deployment):
    """Guards against streams that are refused for long as no router remembers what there was."""
    deployment = start_deployment(routers=3, engines=3)
    for worker in deployment.of_service("llm"):
        worker.behaviour.event_count = _EVENTS
        worker.behaviour.event_interval_s = _EVENT_INTERVAL_S
        worker.behaviour.slots = 64
        deployment.publish(worker)
    time.sleep(_GOSSIP_S)
    streams = _begin_streams(deployment.routers[0], 24)
    _restart_all(deployment)
    time.sleep(_UNTIL_IN_TOUCH_S)
    _in_parallel(lambda stream: _take_up(deployment.routers[1], stream), streams)
    went_on = [stream for stream in streams if stream.event_ids() == list(range(1, _EVENTS + 1))]
    assert len(went_on) >= 12, [stream.answers[-1] for stream in streams[:2]]


def _restart_all(deployment) -> None:
    for router in deployment.routers:
        router.stop()
    for router in deployment.routers:
        router.start()
    for router in deployment.routers:
        router.wait_ready()


def _streams_of_first_version(router, count: int) -> list[_Stream]:
    streams = [s for s in _begin_streams(router, count) if s.versions() == {"v1"}]
    assert streams
    return streams


def _withdraw_first_version(deployment) -> None:
    for worker in deployment.of_service("llm"):
        if worker.version == "v1":
            deployment.withdraw(worker)


@when(parsers.parse("a caller takes up a stream with {resumes}"))
def unidentified_stream(deployment, ctx, resumes):
    router = deployment.routers[0]
    others = _new_stream()
    _begin(router, others, _OTHER_KEY)
    stream = _new_stream()
    given_id = {
        "an unknown id": "0" * 16,
        "no id": "",
        "an empty id": " ",
        "an id of 10 kB": "x" * 10_000,
        "the id of another team's stream": f"{others.request_id}-0",
    }[resumes]
    stream.answers.append(RawAnswer())
    _request(router, stream, Resumes=given_id, Last_Event_Id="3")
    ctx["streams"] = [stream]


@then(parsers.parse("{count:d} streams are whole"))
def streams_are_whole(ctx, count):
    whole = [s for s in ctx["streams"] if s.event_ids() == list(range(1, _EVENTS + 1))]
    assert len(whole) == count, [s.answers for s in ctx["streams"] if s not in whole][:2]


@then("each stream holds one version")
def streams_hold_one_version(ctx):
    mixed = [s.request_id for s in ctx["streams"] if len(s.versions()) > 1]
    assert not mixed, f"{len(mixed)} of {len(ctx['streams'])} streams hold two versions"


@then(parsers.parse("at least {count:d} streams go on"))
def streams_go_on(ctx, count):
    going_on = [s for s in ctx["streams"] if s.event_ids()[-1] == _EVENTS]
    assert len(going_on) >= count, [s.answers[-1] for s in ctx["streams"] if s not in going_on][:2]


@then("no stream goes on")
def no_stream_goes_on(ctx):
    assert not [s for s in ctx["streams"] if s.answers[-1].event_ids()]


@then("each attempt to take up a stream was refused without a run")
def refused_without_a_run(deployment, ctx):
    taken_up = {s.headers()["X_Request_Id"].rpartition("-")[0] + "-1" for s in ctx["streams"]}
    runs = [run for worker in deployment.of_service("llm") for run in worker.runs()]
    assert not [run for run in runs if run.headers["X-Request-Id"] in taken_up]
    answers = [stream.answers[-1] for stream in ctx["streams"]]
    assert {answer.status for answer in answers} == {503}, answers
    assert all("Retry-After" in answer.headers for answer in answers)
