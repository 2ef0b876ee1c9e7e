"""Tests for a broker that fails to handle a message."""

import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace

import pytest

from turmerictray.admission.pool_types import Outcome
from turmerictray.cli.explain import explain
from turmerictray.config.routes import EngineSpec, RoutingConfig, ServiceSpec
from turmerictray.core import supervision
from turmerictray.core.errors import Draining, InternalFailure, Quarantined, QueueTimeout
from turmerictray.core.ids import (
    NodeId,
    RequestDigest,
    RequestId,
    ServiceName,
    TargetId,
    TeamId,
    ZoneId,
)
from turmerictray.core.logs import format_event
from turmerictray.core.reply import Reply
from turmerictray.core.supervision import Supervisor, install_supervisor
from turmerictray.core.timer import Tick
from turmerictray.crashes.fingerprint import CrashVerdict, Fingerprint, ServicePart
from turmerictray.router.active_config import ActiveConfig, RetryLimits
from turmerictray.routing.load import TargetGone, TargetInfo, TargetPhase
from turmerictray.routing.prompt import PartId, Prompt, PromptPart
from turmerictray.scheduling.broker import Broker
from turmerictray.scheduling.broker_messages import (
    Ask,
    FirstEvent,
    OnTick,
    RefuseWaiting,
    Settled,
    TargetsChanged,
    TargetsListed,
    TextArrived,
)

PART = ServicePart(ServiceName("llm"), PartId("p"))
LLM, PLAIN, TEAM, ZONE = ServiceName("llm"), ServiceName("plain"), TeamId("t"), ZoneId("z")
ENGINES = [TargetInfo(TargetId(f"e{n}"), LLM, f"h:{n}", ZONE, 8) for n in range(2)]

_FAILURE_S = 0.01
"""Time that a failing part takes, as on a busy machine."""


class Unexpected(Exception):
    """An exception that the broker does not know."""


def fail(*_args: object) -> None:
    time.sleep(_FAILURE_S)
    raise Unexpected


@pytest.fixture
def broker(unthrottled_rounds):
    supervisor = Supervisor(lambda: None)
    install_supervisor(supervisor)
    broker = Broker(NodeId("r1"), ZONE, 1, ActiveConfig(), RetryLimits())
    broker.on_receive(TextArrived(config(1), "test"))
    broker.on_receive(TargetsListed(ENGINES))
    broker.supervisor = supervisor
    yield broker
    install_supervisor(None)


def config(version: int, tokens: int = 600_000) -> RoutingConfig:
    return RoutingConfig(version, services={LLM: ServiceSpec(LLM, EngineSpec(8, tokens))})


def ask(broker: Broker, call_id: int, tokens: int = 1000) -> Reply:
    reply, now = Reply(), time.monotonic()
    prompt = Prompt((PromptPart(PartId(f"p{call_id}"), tokens),), tokens, 10)
    request_id = RequestId(str(call_id))
    broker.on_receive(
        Ask(call_id, request_id, TEAM, LLM, tokens, prompt, now + 5, reply, answer_deadline=now + 9)
    )
    return reply


def pool_of(broker: Broker):
    return broker.pools.unsharded(LLM)


def test_request_whose_message_fails_is_refused_without_a_trace(broker, monkeypatch):
    """Guards against a caller that waits for the answer to a message that failed."""
    pool = pool_of(broker)
    monkeypatch.setattr(pool._dispatch_order, "add", fail)
    reply = ask(broker, 1)
    monkeypatch.undo()
    assert isinstance(reply.exception(0), InternalFailure)
    assert not len(pool.queue)
    assert ask(broker, 2).result(0).target in ENGINES


def test_request_whose_placement_fails_is_refused_alone(broker, monkeypatch):
    """Guards against requests that wait behind one which fails each round of grants."""
    pool = pool_of(broker)
    place = pool._place

    def place_others(context, fraction, now):
        return fail() if context.call_id == 1 else place(context, fraction, now)

    monkeypatch.setattr(pool, "_place", place_others)
    first, second = ask(broker, 1), ask(broker, 2)
    assert isinstance(first.exception(0), InternalFailure)
    assert second.result(0).target in ENGINES


@pytest.mark.parametrize("part", ["ledger.charge", "targets.note_read", "backlog_s"])
def test_request_whose_dispatch_fails_is_refused_alone(broker, monkeypatch, part):
    """Guards against a request that is neither queued nor answered, and a target booked for it."""
    pool = pool_of(broker)
    *owner, name = part.split(".")
    work = getattr(pool, owner[0]) if owner else pool
    monkeypatch.setattr(work, name, fail)
    first = ask(broker, 1)
    monkeypatch.undo()
    assert isinstance(first.exception(0), InternalFailure)
    assert not any(load.running for load in pool.targets.loads.values())
    assert ask(broker, 2).result(0).target in ENGINES


def test_target_is_not_booked_after_the_end_of_a_request_failed(broker, monkeypatch):
    """Guards against an engine that looks busy for ever with a request that has ended."""
    pool = pool_of(broker)
    target = ask(broker, 1).result(0).target.id
    monkeypatch.setattr(pool, "settle", fail)
    broker.on_receive(Settled(1, LLM, target, Outcome.DONE, 1000.0))
    assert not pool.targets.loads[target].running


@pytest.mark.parametrize("times", [1, 99])
@pytest.mark.parametrize("part", ["settle", "ledger.settle", "_end", "targets.record_unreachable"])
def test_end_that_fails_leaves_no_team_charged(broker, monkeypatch, part, times):
    """Guards against a team that is served last for what no engine has run for it."""
    pool = pool_of(broker)
    target = ask(broker, 1).result(0).target.id
    assert broker.ledger.local_counters()[TEAM] == 1000.0
    fail_in(monkeypatch, pool, part, times)
    broker.on_receive(Settled(1, LLM, target, Outcome.NOT_REACHED, 0.0))
    assert not pool.targets.loads[target].running
    if times == 1 or part in ("settle", "targets.record_unreachable"):
        assert not broker.ledger.local_counters()[TEAM]


@pytest.mark.parametrize("times", [1, 2, 99])
@pytest.mark.parametrize("cost", [0.0, 400.0])
def test_end_whose_record_fails_refunds_its_team_once(broker, monkeypatch, cost, times):
    """Guards against a team that is charged too little, or twice, for the end of one request."""
    pool = pool_of(broker)
    first, second = ask(broker, 1).result(0).target.id, ask(broker, 2).result(0).target.id
    assert broker.ledger.local_counters()[TEAM] == 2000.0
    fail_in(monkeypatch, pool.targets.loads[first], "record_end", times)
    outcome = Outcome.DONE if cost else Outcome.NOT_REACHED
    broker.on_receive(Settled(1, LLM, first, outcome, cost))
    assert broker.ledger.local_counters()[TEAM] == 1000.0 + cost
    monkeypatch.undo()
    broker.on_receive(Settled(2, LLM, second, Outcome.DONE, 1000.0))
    assert broker.ledger.local_counters()[TEAM] == 1000.0 + cost


@pytest.mark.parametrize(
    "part", ["pool.settle", "quarantine.record_crash", "quarantine._parts.record_crash", "repair"]
)
def test_crash_verdict_is_kept_if_the_end_fails(broker, monkeypatch, part):
    """Guards against a request that ends engine after engine, as each verdict on it is lost."""
    times = 99 if part == "quarantine._parts.record_crash" else 1
    verdict = CrashVerdict(True, Fingerprint(RequestDigest("d"), TEAM, (PART,)), True)
    for call_id in range(1, 4):
        target = ask(broker, call_id).result(0).target.id
        if part == "repair":
            fail_in(monkeypatch, broker, "_record_verdict", times)
            fail_in(monkeypatch, broker, "_failed_messages.repair", times)
        elif part == "pool.settle":
            fail_in(monkeypatch, pool_of(broker), "settle", 99)
        else:
            fail_in(monkeypatch, broker, part, times)
        ended = TargetId(f"{target}@{call_id}")
        broker.on_receive(Settled(call_id, LLM, ended, Outcome.TARGET_ENDED, 0.0, verdict))
        monkeypatch.undo()
        broker.on_receive(Settled(call_id, LLM, target, Outcome.DONE, 0.0))
    with pytest.raises(Quarantined):
        broker.quarantine.check(verdict.fingerprint, time.monotonic())


@pytest.mark.parametrize("part", ["settle", "targets.record_reached"])
def test_end_that_fails_is_logged_with_its_request(broker, monkeypatch, tmp_path, part):
    """Guards against a failure of which on-call can't find the request."""
    log, pool = tmp_path / "r1.log", pool_of(broker)
    monkeypatch.setattr(supervision, "log_event", log_to(log))
    target = ask(broker, 17).result(0).target.id
    fail_in(monkeypatch, pool, part)
    broker.on_receive(Settled(17, LLM, target, Outcome.DONE, 1000.0))
    assert any("message=Settled req=17 call=17" in line for line in explain("17", [log]))


def test_first_event_that_fails_is_logged_with_its_request(broker, monkeypatch, tmp_path):
    """Guards against a failure of which on-call can't find the request."""
    log, pool = tmp_path / "r1.log", pool_of(broker)
    monkeypatch.setattr(supervision, "log_event", log_to(log))
    target = ask(broker, 17).result(0).target.id
    fail_in(monkeypatch, pool, "targets.record_first_event")
    broker.on_receive(FirstEvent(17, LLM, target, 0.1))
    broker.on_receive(FirstEvent(99, LLM, target, 0.1))
    assert any("message=FirstEvent req=17 call=17" in line for line in explain("17", [log]))
    assert "message=FirstEvent req=- call=99" in log.read_text()


def log_to(path: Path) -> Callable[..., None]:
    """Return a replacement for :func:`log_event` that appends to a file."""

    def log_event(event: str, level: str = "INFO", **fields: object) -> None:
        with path.open("a") as file:
            file.write(f"{format_event(event, fields)}\n")

    return log_event


def fail_in(monkeypatch: pytest.MonkeyPatch, owner: object, part: str, times: int = 99) -> None:
    """Make a method of an object, or of one of its parts, fail a number of times."""
    *path, name = part.split(".")
    for attribute in path:
        owner = getattr(owner, attribute)
    method, calls = getattr(owner, name), []

    def fail_first(*args: object, **kwargs: object) -> object:
        calls.append(args)
        return fail() if len(calls) <= times else method(*args, **kwargs)

    monkeypatch.setattr(owner, name, fail_first)


def test_text_that_fails_leaves_the_last_good_one_in_force(broker, monkeypatch):
    """Guards against a configuration that is half in force, or tried again for ever."""
    update_shards = broker.pools.update_shards
    calls = []

    def update_once_failing():
        calls.append(1)
        return fail() if len(calls) == 1 else update_shards()

    monkeypatch.setattr(broker.pools, "update_shards", update_once_failing)
    for _ in range(5):
        broker.on_receive(TextArrived(config(2, tokens=10), "test"))
    assert broker.active_config.version == 1
    assert pool_of(broker).targets.spec == config(1).services[LLM]
    assert not broker.supervisor.is_unfit
    broker.on_receive(TextArrived(config(3, tokens=70_000), "test"))
    assert broker.active_config.version == 3
    assert pool_of(broker).targets.spec == config(3, tokens=70_000).services[LLM]


def test_text_that_failed_once_is_tried_again(broker, monkeypatch):
    """Guards against a router that keeps an old text, as its state failed it at one moment."""
    update_shards, calls = broker.pools.update_shards, []

    def update_once_failing():
        calls.append(1)
        return fail() if len(calls) == 1 else update_shards()

    monkeypatch.setattr(broker.pools, "update_shards", update_once_failing)
    broker.on_receive(TextArrived(config(2), "test"))
    assert broker.active_config.version == 1
    now = time.monotonic()
    assert broker._failed_texts.due(now + 0.9) is None
    later = broker._failed_texts.due(now + 1.1)
    monkeypatch.setattr("time.monotonic", lambda: now + 1.1)
    broker.on_receive(later)
    assert broker.active_config.version == 2
    assert broker._failed_texts.due(now + 99) is None


def test_placement_that_always_fails_leaves_the_router_fit(broker, monkeypatch):
    """Guards against one request, sent again and again, that ends one scheduler after the other."""
    pool = pool_of(broker)
    place = pool._place

    def place_others(context, fraction, now):
        return fail() if context.call_id >= 100 else place(context, fraction, now)

    monkeypatch.setattr(pool, "_place", place_others)
    for number in range(5):
        assert isinstance(ask(broker, 100 + number).exception(0), InternalFailure)
        target = ask(broker, number).result(0).target.id
        broker.on_receive(Settled(number, LLM, target, Outcome.DONE, 1000.0))
    assert not broker.supervisor.is_unfit


def test_router_that_can_grant_nothing_is_unfit(broker, monkeypatch):
    """Guards against a scheduler that is ready, and whose every round of grants fails."""
    monkeypatch.setattr(pool_of(broker).ledger, "excess_usage", fail)
    for number in range(4):
        assert not ask(broker, number).done()
        broker.on_receive(Tick("expire", time.monotonic()))
    assert broker.supervisor.is_unfit


def test_failed_repair_does_not_end_the_broker(broker, monkeypatch):
    pool = pool_of(broker)
    monkeypatch.setattr(pool.ledger, "excess_usage", fail)
    monkeypatch.setattr(pool, "repair_order", fail)
    ask(broker, 1)
    monkeypatch.undo()
    assert ask(broker, 2).result(0).target in ENGINES


def test_request_whose_booking_fails_leaves_no_booking(broker, monkeypatch):
    """Guards against a request that is neither queued nor granted, and an engine booked for it."""
    pool = pool_of(broker)
    monkeypatch.setattr(pool._throughput, "note_sent", fail)
    assert isinstance(ask(broker, 1).exception(0), InternalFailure)
    assert not any(load.running for load in pool.targets.loads.values())


def test_target_whose_entry_fails_does_not_keep_others_from_being_listed(broker, monkeypatch):
    """Guards against a list of targets of which one bad entry loses the rest."""
    update = broker._update_target
    monkeypatch.setattr(
        broker, "_update_target", lambda info: fail() if info.id == "bad" else update(info)
    )
    infos = [TargetInfo(TargetId(name), LLM, "h:9", ZONE, 8) for name in ("bad", "new")]
    for _ in range(5):
        broker.on_receive(TargetsChanged(infos))
    assert "new" in pool_of(broker).targets.loads
    assert not broker.supervisor.is_unfit


@pytest.mark.parametrize("message", [TargetsChanged, TargetsListed])
def test_target_whose_removal_fails_does_not_keep_others_from_being_applied(
    broker, monkeypatch, message
):
    """Guards against a message of which one removal loses the rest, which is never told again."""
    remove, gone = broker._remove_target, ENGINES[0].id

    def remove_others(pool, target):
        return fail() if target == gone else remove(pool, target)

    leaving = TargetInfo(TargetId("e2"), LLM, "h:2", ZONE, 8)
    broker.on_receive(TargetsChanged([leaving]))
    monkeypatch.setattr(broker, "_remove_target", remove_others)
    leaving = replace(leaving, phase=TargetPhase.LEAVING)
    new = TargetInfo(TargetId("e3"), LLM, "h:3", ZONE, 8)
    if message is TargetsChanged:
        changes = TargetsChanged([*(TargetGone(info.id) for info in ENGINES), leaving, new])
    else:
        changes = TargetsListed([leaving, new])
    for _ in range(5):
        broker.on_receive(changes)
    loads = pool_of(broker).targets.loads
    assert set(loads) == {gone, leaving.id, new.id}
    assert loads[leaving.id].info.phase is TargetPhase.LEAVING
    assert broker.active_config.is_unavailable(leaving.id)
    assert not broker.supervisor.is_unfit
    monkeypatch.undo()
    broker.on_receive(changes)
    assert set(loads) == {leaving.id, new.id}


@pytest.mark.parametrize("message", [TargetsChanged, TargetsListed])
def test_target_whose_removal_fails_gets_no_more_requests(broker, monkeypatch, message):
    """Guards against requests that are sent to a target which is known to be gone."""
    gone, kept = ENGINES
    monkeypatch.setattr(pool_of(broker).targets, "remove", fail)
    removed = (
        TargetsListed([kept]) if message is TargetsListed else TargetsChanged([TargetGone(gone.id)])
    )
    broker.on_receive(removed)
    monkeypatch.undo()
    assert broker.active_config.is_unavailable(gone.id)
    granted = [ask(broker, call_id, tokens=100).result(0).target.id for call_id in range(1, 5)]
    assert set(granted) == {kept.id}


def test_hook_that_fails_does_not_keep_others_from_running(broker):
    """Guards against keep-alives that stop because another hook of the tick fails."""
    ran = []
    broker.on_receive(OnTick((fail, ran.append)))
    broker.on_receive(Tick("expire", time.monotonic()))
    assert ran


def tick(broker: Broker, count: int = 4, after_s: float = 0.0) -> None:
    for _ in range(count):
        broker.on_receive(Tick("expire", time.monotonic() + after_s))


TICK_STEPS = [
    "pool.targets.update_estimates",
    "pool.targets.expire_overdue_prefills",
    "pool.drop_lost_calls",
    "pool.take_held",
    "broker._report_parts_read",
    "broker._resumptions.report",
    "broker._report_usage",
    "broker._gauges.report",
]
"""Steps of a tick that work on what all routers share, or on estimates."""


@pytest.mark.parametrize("name", [*TICK_STEPS, "hook"])
def test_step_that_always_fails_keeps_no_other_step_of_ticks_from_being_done(
    broker, monkeypatch, name
):
    """Guards against a fleet of which each router ends, as all fail in the same step of a tick."""
    ran = []
    broker.on_receive(OnTick((fail if name == "hook" else ran.append, ran.append)))
    broker.stream_records = SimpleNamespace(stream_record_holders=fail, send_streams_begun=fail)
    if name != "hook":
        owner = {"pool": pool_of(broker), "broker": broker}
        first, *path, last = name.split(".")
        owner = owner[first]
        for part in path:
            owner = getattr(owner, part)
        monkeypatch.setattr(owner, last, fail)
    broker.quarantine.revision += 1
    waiting = [ask(broker, call_id, tokens=60_000) for call_id in range(1, 9)]
    tick(broker, after_s=10.0)
    assert any(isinstance(reply.exception(0), QueueTimeout) for reply in waiting)
    assert len(ran) >= 4
    assert not broker.supervisor.is_unfit


def ask_plain(broker: Broker, call_id: int) -> Reply:
    reply, now = Reply(), time.monotonic()
    broker.on_receive(Ask(call_id, RequestId(str(call_id)), TEAM, PLAIN, 1, None, now + 5, reply))
    return reply


def test_pool_whose_queue_cannot_expire_keeps_no_other_from_it(broker, monkeypatch):
    """Guards against callers of one service that wait, as the queue of another one fails."""
    broker.on_receive(TargetsChanged([TargetInfo(TargetId("w"), PLAIN, "h:9", ZONE, 1)]))
    for call_id in range(1, 9):
        ask(broker, call_id, tokens=60_000)
    plain = [ask_plain(broker, call_id) for call_id in range(10, 20)]
    assert not all(reply.done() for reply in plain)
    monkeypatch.setattr(pool_of(broker), "expire", fail)
    tick(broker, after_s=10.0)
    assert any(isinstance(reply.exception(0), QueueTimeout) for reply in plain)
    assert not broker.supervisor.is_unfit


def test_router_whose_queues_never_expire_is_unfit(broker, monkeypatch):
    """Guards against a router that is ready, and whose queue fills with overdue requests."""
    waiting = [ask(broker, call_id, tokens=60_000) for call_id in range(1, 9)]
    monkeypatch.setattr(pool_of(broker), "expire", fail)
    tick(broker)
    assert not all(reply.done() for reply in waiting)
    assert broker.supervisor.is_unfit


def test_caller_whose_refusal_fails_is_refused_all_the_same(broker, monkeypatch):
    """Guards against a caller that waits for an answer which could not be described."""
    waiting = [ask(broker, call_id, tokens=60_000) for call_id in range(1, 9)]
    monkeypatch.setattr(pool_of(broker), "expected_wait_s", fail)
    tick(broker, after_s=10.0)
    assert any(isinstance(reply.exception(0), QueueTimeout) for reply in waiting)
    assert not broker.supervisor.is_unfit


def test_unfit_broker_refuses_all_that_waits_and_arrives(broker):
    """Guards against callers that wait for a router which is about to be replaced."""
    waiting = [ask(broker, call_id, tokens=60_000) for call_id in range(1, 9)]
    broker.on_receive(RefuseWaiting())
    refused = [reply for reply in waiting if isinstance(reply.exception(0), Draining)]
    assert refused
    assert all(reply.done() for reply in waiting)
    assert isinstance(ask(broker, 10).exception(0), Draining)
    assert not len(pool_of(broker).queue)
