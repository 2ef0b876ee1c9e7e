"""Tests for placement through a remote scheduler and the fallback to the local broker."""

import time
from dataclasses import replace

import pykka
import pytest

from turmerictray.admission.pool_types import Outcome
from turmerictray.config.routes import EngineSpec, ServiceSpec
from turmerictray.core.errors import (
    CallerGone,
    Draining,
    NoTarget,
    QueueFull,
    TargetsResting,
    WontBeServed,
)
from turmerictray.core.ids import NodeId, RequestId, ServiceName, TargetId, TeamId, ZoneId
from turmerictray.core.reply import Reply
from turmerictray.membership.messages import MemberEntry
from turmerictray.router.active_config import ActiveConfig, RetryLimits
from turmerictray.routing.load import TargetInfo
from turmerictray.routing.prompt import PartId, Prompt, PromptPart
from turmerictray.routing.target_notices import LOCAL_ROUTER, TargetNotices
from turmerictray.scheduling.broker import Broker
from turmerictray.scheduling.broker_messages import (
    Ask,
    FirstEvent,
    Granted,
    Settled,
    TargetResting,
    TargetsListed,
    Withdraw,
)
from turmerictray.scheduling.choice import SchedulerChoice
from turmerictray.scheduling.messages import (
    Ended,
    LookNow,
    PlaceGranted,
    PlaceRefused,
    PlaceRequest,
    StillWaiting,
)
from turmerictray.scheduling.placement_client import SCHEDULER_TIMEOUT_S, PlacementClient
from turmerictray.scheduling.scheduler import Scheduler
from turmerictray.scheduling.shards import UNSHARDED, ShardMap

LLM = ServiceName("llm")
ENGINE = TargetInfo(TargetId("e1"), LLM, "10.0.0.1:80", ZoneId("z"), 64)
PROMPT = Prompt((PromptPart(PartId("shared"), 900), PromptPart(PartId("own"), 100)), 1000, 10)


class FakeBroker:
    def __init__(self) -> None:
        self.messages = []

    def tell(self, msg) -> None:
        self.messages.append(msg)

    def asks(self) -> list[Ask]:
        return [msg for msg in self.messages if isinstance(msg, Ask)]


class FakeLink:
    """Delivers messages to the remote handler synchronously, unless partitioned."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.sent = []
        self.deliver = None
        self.is_partitioned = False
        self.fails = False
        self.on_redial = lambda: None

    def send(self, address: str, message) -> bool:
        if self.fails:
            return False
        self.sent.append(message)
        if address == self.address:
            return True
        if self.deliver is not None and not self.is_partitioned:
            self.deliver(message)
        return True

    def is_connected(self, address: str) -> bool:
        return bool(self.sent)

    def reconnect(self, address: str) -> None:
        self.sent.clear()
        self.on_redial()


class Pair:
    """A router's placement client and the scheduler that it asks."""

    def __init__(self) -> None:
        entries = [
            MemberEntry(node, "z", f"tcp://{node}:1", 1, 20, False, f"tcp://{node}:2")
            for node in ("client", "scheduler")
        ]
        self.choice = SchedulerChoice(NodeId("client"), ZoneId("z"))
        self.choice.set_members(entries[1:])
        self.local_broker, self.remote_broker = FakeBroker(), FakeBroker()
        self.to_scheduler, self.to_client = FakeLink("tcp://client:2"), FakeLink(
            "tcp://scheduler:2"
        )
        self.active_config = ActiveConfig()
        self.notices = TargetNotices()
        self.client = PlacementClient(
            NodeId("client"),
            ZoneId("z"),
            self.local_broker,
            self.active_config,
            self.choice,
            self.to_scheduler,
            self.notices,
        )
        self.scheduler = Scheduler(NodeId("scheduler"), self.remote_broker, self.to_client)
        self.to_scheduler.deliver, self.to_client.deliver = (
            self.scheduler.handle_message,
            self.client.handle_message,
        )

    def ask(self, call_id: int = 7, **options) -> Ask:
        ask = self.make_ask(call_id, **options)
        self.client.tell(ask)
        return ask

    @staticmethod
    def make_ask(call_id: int = 7, prompt: Prompt | None = PROMPT, **options) -> Ask:
        now = time.monotonic()
        return Ask(
            call_id,
            RequestId("q"),
            TeamId("t"),
            LLM,
            1020.0,
            prompt,
            now + 1,
            Reply(),
            answer_deadline=now + 5,
            **options,
        )

    def rests_told(self) -> list[TargetResting]:
        return [msg for msg in self.remote_broker.messages if isinstance(msg, TargetResting)]

    def grant(self) -> None:
        reply = self.remote_broker.asks()[-1].reply
        reply.set_running_or_notify_cancel()
        reply.set_result(Granted(ENGINE, 0.1, 100, 0, fetch_from="10.0.0.2:80"))

    def refuse(self, exc: Exception) -> None:
        reply = self.remote_broker.asks()[-1].reply
        reply.set_running_or_notify_cancel()
        reply.set_exception(exc)

    def time_out_scheduler(self) -> None:
        """Run the check for silent schedulers: a tick, then the loopback message."""
        now = time.monotonic() + SCHEDULER_TIMEOUT_S + 0.1
        self.client.request_silence_check(now)
        self.client.handle_message(LookNow(now))


@pytest.fixture
def pair():
    return Pair()


def test_scheduler_grants_and_settles_request(pair):
    ask = pair.ask()
    assert pair.remote_broker.asks()[0].prompt == PROMPT
    assert pair.remote_broker.asks()[0].origin == "client"
    pair.grant()
    granted = ask.reply.result(0)
    assert (granted.target, granted.scheduler) == (ENGINE, "scheduler")
    assert granted.fetch_from == "10.0.0.2:80"
    pair.client.tell(FirstEvent(7, LLM, ENGINE.id, 0.2))
    pair.client.tell(Settled(7, LLM, ENGINE.id, Outcome.DONE, 1020.0))
    assert pair.remote_broker.messages[1:] == [
        FirstEvent(7, LLM, ENGINE.id, 0.2),
        Settled(7, LLM, ENGINE.id, Outcome.DONE, 1020.0),
    ]
    assert pair.local_broker.messages == []


def test_plain_service_request_is_placed_locally(pair):
    pair.ask(prompt=None)
    assert len(pair.local_broker.asks()) == 1
    assert pair.to_scheduler.sent == []


def test_refusal_is_passed_to_caller_unchanged(pair):
    ask = pair.ask()
    pair.refuse(QueueFull("queue_full", 0.7))
    error = ask.reply.exception(0)
    assert (type(error), error.reason, error.retry_after) == (QueueFull, "queue_full", 0.7)


def test_unresponsive_scheduler_delays_request_only_briefly(pair):
    # The scheduler is killed, partitioned or frozen with the request in its queue, and the
    # connection reports no error. Without the fallback to the local broker, the caller would wait
    # until its deadline.
    pair.to_scheduler.is_partitioned = True
    ask = pair.ask()
    pair.time_out_scheduler()
    assert pair.local_broker.asks() == [replace(ask, own_path=True)]
    assert pair.choice.scheduler(LLM) is None


def test_scheduler_that_sends_keepalives_is_waited_for(pair):
    ask = pair.ask()
    pair.scheduler.send_keepalives(0.0)
    now = time.monotonic() + SCHEDULER_TIMEOUT_S / 2
    pair.client.request_silence_check(now)
    pair.client.handle_message(LookNow(now))
    assert pair.local_broker.asks() == []
    assert not ask.reply.done()


def test_unreachable_scheduler_is_skipped(pair):
    pair.to_scheduler.fails = True
    ask = pair.ask()
    assert pair.local_broker.asks() == [replace(ask, own_path=True)]


def test_late_grant_is_returned(pair):
    # The scheduler is only slow, so its grant arrives after the request was placed elsewhere. If
    # the grant were never settled, an idle engine would look busy to other callers.
    pair.ask()
    pair.time_out_scheduler()
    pair.grant()
    assert pair.to_scheduler.sent[-1] == Ended(7, LLM, ENGINE.id, Outcome.CALLER_GONE.value, 0.0)
    assert pair.remote_broker.messages[-1] == Settled(7, LLM, ENGINE.id, Outcome.CALLER_GONE, 0.0)


def test_grant_for_cancelled_request_is_returned(pair):
    ask = pair.ask()
    assert ask.reply.cancel()
    pair.grant()
    assert isinstance(pair.to_scheduler.sent[-1], Ended)


def test_duplicate_grant_is_returned(pair):
    ask = pair.ask()
    pair.grant()
    granted = next(m for m in pair.to_client.sent if isinstance(m, PlaceGranted))
    pair.client.handle_message(granted)
    assert ask.reply.result(0).target == ENGINE
    assert isinstance(pair.to_scheduler.sent[-1], Ended)


def test_request_of_disconnected_caller_is_withdrawn(pair):
    ask = pair.ask()
    pair.client.tell(Withdraw(7, LLM))
    assert isinstance(ask.reply.exception(0), CallerGone)
    assert pair.remote_broker.messages[-1] == Withdraw(7, LLM)


def test_grant_of_leaving_target_is_returned(pair):
    # The scheduler is partitioned from the store and grants a target that has been published as
    # leaving. This router has read the newer entry and must not send work there.
    pair.active_config.unavailable_targets = frozenset({ENGINE.id})
    ask = pair.ask()
    pair.grant()
    assert not ask.reply.done()
    assert pair.local_broker.asks() == [replace(ask, own_path=True, is_counted=True)]
    assert isinstance(pair.to_scheduler.sent[-1], Ended)


def test_grant_of_a_resting_target_is_asked_for_again_without_excluding_it(pair):
    """Guards against a service of one engine that refuses requests which could wait for it."""
    ask = pair.ask()
    pair.notices.note_rest(ENGINE.id, 0.6, LOCAL_ROUTER, time.monotonic())
    pair.grant()
    assert not ask.reply.done()
    returned, rest, again = pair.remote_broker.messages[-3:]
    assert returned == Settled(7, LLM, ENGINE.id, Outcome.CALLER_GONE, 0.0)
    assert again.exclude == ask.exclude
    assert isinstance(rest, TargetResting) and rest.repeated
    assert (rest.target, rest.router) == (ENGINE.id, "client")
    assert 0.3 < rest.rest_s <= 0.6


@pytest.mark.parametrize("change", ["other scheduler", "new incarnation", "new connection"])
def test_scheduler_that_may_not_know_a_rest_is_told_with_the_next_request(pair, change):
    """Guards against a router that begins to schedule and never learns of the rests that run."""
    pair.active_config.shards = {LLM: ShardMap([ENGINE.id])}
    pair.ask(1)
    pair.notices.note_rest(ENGINE.id, 0.6, LOCAL_ROUTER, time.monotonic())
    pair.client.tell(TargetResting(LLM, ENGINE.id, 0.6))
    (told,) = pair.rests_told()
    assert not told.repeated
    pair.ask(2)
    assert len(pair.rests_told()) == 1
    if change == "new connection":
        pair.to_scheduler.reconnect("tcp://scheduler:2")
    else:
        name, incarnation = ("later", 1) if change == "other scheduler" else ("scheduler", 2)
        entry = MemberEntry(name, "z", f"tcp://{name}:1", incarnation, 20, False, f"tcp://{name}:2")
        pair.choice.set_members([entry])
    pair.remote_broker.messages.clear()
    pair.ask(3)
    pair.ask(4)
    rest, *asks = pair.remote_broker.messages
    assert [ask.call_id for ask in asks] == [3, 4]
    assert (rest.target, rest.router, rest.repeated) == (ENGINE.id, "client", True)
    assert 0 < rest.rest_s <= 0.6


def test_rest_that_has_ended_is_told_to_no_other_scheduler(pair):
    pair.active_config.shards = {LLM: ShardMap([ENGINE.id])}
    pair.notices.note_rest(ENGINE.id, 0.3, LOCAL_ROUTER, time.monotonic() - 0.4)
    pair.client.tell(TargetResting(LLM, ENGINE.id, 0.3))
    pair.remote_broker.messages.clear()
    pair.ask()
    assert not pair.rests_told()


def test_grants_of_a_resting_target_without_end_are_not_asked_for_for_ever(pair):
    """Guards against a request that goes to and fro as its scheduler doesn't hear of the rest."""
    ask = pair.ask()
    pair.notices.note_rest(ENGINE.id, 0.6, LOCAL_ROUTER, time.monotonic())
    pair.grant()
    pair.grant()
    assert len(pair.remote_broker.asks()) == 2
    (placed,) = pair.local_broker.asks()
    assert placed.own_path and placed.exclude == ask.exclude


@pytest.mark.parametrize("notice", ["leaving", "resting", "unavailable"])
def test_request_whose_grant_is_returned_is_counted_at_its_first_scheduler_only(pair, notice):
    """Guards against a retry budget that grows, or is spent, twice for one attempt."""
    ask = pair.ask()
    if notice == "leaving":
        pair.notices.note_leaving(ENGINE.id)
    elif notice == "resting":
        pair.notices.note_rest(ENGINE.id, 0.6, LOCAL_ROUTER, time.monotonic())
    else:
        pair.active_config.unavailable_targets = frozenset({ENGINE.id})
    pair.grant()
    if notice == "resting":
        pair.grant()
    first, *again = [*pair.remote_broker.asks(), *pair.local_broker.asks()]
    assert not ask.is_counted and not first.is_counted
    assert [other.is_counted for other in again] == [True] * (2 if notice == "resting" else 1)


@pytest.mark.parametrize(
    ("cause", "repeat"),
    [("no_target", False), ("no_target", True), ("resting", False), ("resting", True)]
    + [("full", False)],
)
def test_request_that_is_placed_after_a_refusal_is_counted_and_charged_once(pair, cause, repeat):
    """Guards against a retry budget that grows, or is spent, once more by each refusal."""
    remote, local = _broker("scheduler"), _broker("client")
    local.on_receive(TargetsListed([ENGINE]))
    if cause != "no_target":
        _divide_engines(pair)
        remote.on_receive(TargetsListed([ENGINE]))
        rest_s = 30.0 if cause == "resting" else 0.5
        remote.notices.note_rest(ENGINE.id, rest_s, NodeId("client"), time.monotonic())
    ask = pair.make_ask(repeat=repeat, retry=repeat)
    if cause == "full":
        _fill_queue(remote, ask)
    budgets = [broker.pools.unsharded(LLM).budget for broker in (remote, local)]
    counted_before = sum(len(budget._requests) for budget in budgets)
    pair.client.tell(ask)
    remote.on_receive(replace(pair.remote_broker.asks()[0], shard=UNSHARDED))
    (placed,) = pair.local_broker.asks()
    local.on_receive(replace(placed, shard=UNSHARDED))
    assert ask.reply.result(0).target == ENGINE
    assert sum(len(budget._requests) for budget in budgets) - counted_before == int(not repeat)
    assert sum(len(budget._retries) for budget in budgets) == int(repeat)


def _broker(node: str) -> Broker:
    broker = Broker(NodeId(node), ZoneId("z"), 1, ActiveConfig(), RetryLimits())
    broker.pools.unsharded(LLM).targets.set_spec(ServiceSpec(LLM, EngineSpec(8, 600_000)))
    return broker


def _divide_engines(pair: Pair) -> None:
    """Let the scheduler schedule the first shard that is asked, and the client the others."""
    pair.active_config.shards = {LLM: ShardMap(TargetId(f"e{n}") for n in range(45))}
    pair.choice.is_scheduler = lambda _service, _shard: bool(pair.remote_broker.asks())


def _fill_queue(broker: Broker, ask: Ask) -> None:
    broker.pools.unsharded(LLM).queue.max_per_team = 1
    broker.on_receive(replace(ask, call_id=99, reply=Reply(), origin=NodeId("client")))


@pytest.mark.parametrize("repeat", [False, True])
def test_request_that_a_stopping_scheduler_refuses_is_counted_where_it_is_placed(pair, repeat):
    """Guards against a request that no router counts, or a repeat that is never charged."""
    pair.ask(repeat=repeat, retry=repeat)
    pair.refuse(Draining("unfit", 0.05))
    assert [ask.is_counted for ask in pair.local_broker.asks()] == [False]


def test_repeat_whose_first_grant_is_returned_stays_charged_there(pair):
    """Guards against a repeat that is charged twice as its second scheduler refuses it."""
    pair.notices.note_rest(ENGINE.id, 0.6, LOCAL_ROUTER, time.monotonic())
    pair.ask(repeat=True, retry=True)
    pair.grant()
    pair.refuse(NoTarget("no_target", 0.5))
    assert [ask.is_counted for ask in pair.local_broker.asks()] == [True]


def test_request_that_no_scheduler_has_answered_is_counted_where_it_is_placed(pair):
    pair.to_scheduler.is_partitioned = True
    pair.ask()
    pair.time_out_scheduler()
    assert [ask.is_counted for ask in pair.local_broker.asks()] == [False]


def test_grant_of_a_target_that_said_it_leaves_is_asked_for_elsewhere(pair):
    ask = pair.ask()
    pair.notices.note_leaving(ENGINE.id)
    pair.grant()
    assert pair.remote_broker.asks()[-1].exclude == ask.exclude | {ENGINE.id}


def test_request_is_placed_locally_if_scheduler_knows_no_target(pair):
    ask = pair.ask()
    pair.refuse(NoTarget("no_target", 0.5))
    assert pair.local_broker.asks() == [replace(ask, own_path=True, is_counted=True)]
    assert not ask.reply.done()


def test_answer_to_unknown_request_is_ignored(pair):
    pair.client.handle_message(PlaceRefused(99, "scheduler", "QueueFull", "queue_full", 0.1))
    assert pair.local_broker.messages == []


def test_only_first_request_reports_new_connection(pair):
    pair.ask()
    (request,) = [m for m in pair.to_scheduler.sent if isinstance(m, PlaceRequest)]
    assert request.reconnected
    pair.ask(8)
    assert not pair.to_scheduler.sent[-1].reconnected


def test_grant_during_scheduler_timeout_is_the_only_answer(pair):
    # A slow scheduler's grant arrived on the link's thread while another thread was passing the
    # requests waiting there to the local broker. The broker granted the same request again, the
    # second result of the future raised in the actor and the process exited: all callers of this
    # router saw resets and 5xx responses.
    ask = pair.ask()
    pair.to_scheduler.on_redial = pair.grant
    pair.time_out_scheduler()
    assert ask.reply.result(0).target == ENGINE
    assert pair.local_broker.asks() == []


def test_request_withdrawn_during_scheduler_timeout_is_not_placed(pair):
    ask = pair.ask()
    pair.to_scheduler.on_redial = lambda: pair.client.tell(Withdraw(7, LLM))
    pair.time_out_scheduler()
    assert isinstance(ask.reply.exception(0), CallerGone)
    assert pair.local_broker.asks() == []


@pytest.fixture
def sharded_pair(pair):
    pair.active_config.shards = {LLM: ShardMap(TargetId(f"e{n}") for n in range(45))}
    return pair


def test_request_refused_by_full_shard_is_sent_to_another(sharded_pair):
    # The prompt's shard is overloaded, and its scheduler knows no engines of other shards. Without
    # a second attempt the caller is refused while a third of the engines has capacity.
    ask = sharded_pair.ask()
    sharded_pair.refuse(WontBeServed("wait_too_long", 0.4))
    first, second = sharded_pair.remote_broker.asks()
    assert first.shard != second.shard
    assert not ask.reply.done()
    sharded_pair.grant()
    assert ask.reply.result(0).target == ENGINE


def test_request_whose_shard_rests_is_sent_to_another(sharded_pair):
    """Guards against a refusal while engines of another shard could serve the request."""
    ask = sharded_pair.ask()
    sharded_pair.refuse(TargetsResting("targets_resting", 20.0))
    first, second = sharded_pair.remote_broker.asks()
    assert first.shard != second.shard
    sharded_pair.grant()
    assert ask.reply.result(0).target == ENGINE


def test_request_refused_by_all_shards_is_refused(sharded_pair):
    ask = sharded_pair.ask()
    sharded_pair.refuse(WontBeServed("wait_too_long", 0.4))
    sharded_pair.refuse(WontBeServed("wait_too_long", 0.3))
    assert isinstance(ask.reply.exception(0), WontBeServed)


def test_slow_scheduler_is_skipped_like_a_dead_one(sharded_pair):
    # The scheduler handles messages seconds late, and the connection reports no error. Its late
    # grant must neither become a second answer nor keep an engine busy.
    sharded_pair.to_scheduler.is_partitioned = True
    ask = sharded_pair.ask()
    late = next(msg for msg in sharded_pair.to_scheduler.sent if isinstance(msg, PlaceRequest))
    sharded_pair.time_out_scheduler()
    assert sharded_pair.local_broker.asks()[0].shard == UNSHARDED
    sharded_pair.local_broker.asks()[0].reply.try_set_result(Granted(ENGINE, 0.1, 100, 0))
    sharded_pair.to_scheduler.is_partitioned = False
    sharded_pair.scheduler.handle_message(late)
    sharded_pair.grant()
    assert ask.reply.result(0).scheduler == ""
    assert sharded_pair.remote_broker.messages[-1] == Settled(
        7, LLM, ENGINE.id, Outcome.CALLER_GONE, 0.0
    )


class DeadBroker:
    def tell(self, msg) -> None:
        raise pykka.ActorDeadError("gone")


def test_request_is_refused_as_draining_if_broker_has_stopped(pair):
    # The process exits and restarts within a second. Callers that arrived meanwhile got a 500,
    # which does not say whether their non-idempotent requests had run.
    pair.client._broker = DeadBroker()
    ask = pair.ask(prompt=None)
    assert isinstance(ask.reply.exception(0), Draining)
    pair.client.tell(Settled(7, LLM, ENGINE.id, Outcome.DONE, 1020.0))


def test_overloaded_router_does_not_skip_responsive_scheduler(pair):
    """Guards against an overloaded router that handles replies late and places all by itself."""
    ask = pair.ask()
    now = time.monotonic()
    pair.client.request_silence_check(now)
    loopback = [msg for msg in pair.to_scheduler.sent if isinstance(msg, LookNow)]
    pair.client.request_silence_check(now + 0.4)
    assert pair.local_broker.asks() == []
    pair.client.handle_message(StillWaiting("scheduler"))
    pair.client.handle_message(loopback[0])
    assert pair.local_broker.asks() == []
    assert not ask.reply.done()


def test_lost_loopback_message_is_resent(pair):
    pair.ask()
    now = time.monotonic()
    pair.client.request_silence_check(now)
    pair.client.request_silence_check(now + 0.05)
    pair.client.request_silence_check(now + 2.0)
    assert [m.sent_at for m in pair.to_scheduler.sent if isinstance(m, LookNow)] == [now, now + 2.0]


def test_request_that_could_not_be_encoded_is_not_placed_later(pair, monkeypatch):
    """Guards against a target that is granted to a request whose caller was refused."""

    def send(_address, _message):
        raise OverflowError("not expected")

    monkeypatch.setattr(pair.to_scheduler, "send", send)
    with pytest.raises(OverflowError):
        pair.ask()
    monkeypatch.undo()
    pair.client.handle_message(LookNow(time.monotonic() + 1))
    assert not pair.local_broker.asks()
