"""Tests for the broker of a router that schedules one shard of a service's engines."""

import time

import pytest

from turmerictray.admission.pool_types import Outcome
from turmerictray.config.routes import EngineSpec, ServiceSpec
from turmerictray.core.ids import NodeId, RequestId, ServiceName, TargetId, TeamId, ZoneId
from turmerictray.core.reply import Reply
from turmerictray.core.timer import Tick
from turmerictray.router.active_config import ActiveConfig, RetryLimits
from turmerictray.routing.load import TargetGone, TargetInfo
from turmerictray.routing.prompt import PartId, Prompt, PromptPart
from turmerictray.scheduling.broker import Broker
from turmerictray.scheduling.broker_messages import (
    Ask,
    OnTick,
    PartsReadElsewhere,
    ServiceHeard,
    Settled,
    TargetsChanged,
    TargetsListed,
    Withdraw,
)
from turmerictray.scheduling.messages import PartsRead, ServiceGiven
from turmerictray.scheduling.shards import ShardId, shard_index

pytestmark = pytest.mark.usefixtures("unthrottled_rounds")

LLM = ServiceName("llm")
TEAM = TeamId("t")
INFOS = [TargetInfo(TargetId(f"e{n}"), LLM, f"h:{n}", ZoneId("z"), 1) for n in range(45)]
SHARD = ShardId(1, 2)


@pytest.fixture
def broker():
    broker = Broker(NodeId("r1"), ZoneId("z"), 1, ActiveConfig(), RetryLimits())
    broker.pools.unsharded(LLM).targets.set_spec(ServiceSpec(LLM, EngineSpec(1, 600_000)))
    broker.on_receive(TargetsListed(INFOS))
    return broker


def ask(broker: Broker, call_id: int, shard: ShardId, wait_s: float = 5.0) -> Reply:
    reply, now = Reply(), time.monotonic()
    prompt = Prompt(
        (PromptPart(PartId("s"), 900), PromptPart(PartId(f"o{call_id}"), 100)), 1000, 10
    )
    broker.on_receive(
        Ask(
            call_id,
            RequestId(str(call_id)),
            TEAM,
            LLM,
            1020.0,
            prompt,
            now + wait_s,
            reply,
            answer_deadline=now + 9,
            shard=shard,
        )
    )
    return reply


def test_engines_are_divided_into_shards_once_listed(broker):
    assert broker.active_config.shards[LLM].count == 2
    broker.on_receive(TargetsChanged([TargetGone(info.id) for info in INFOS[9:]]))
    assert broker.active_config.shards[LLM].count == 1


def test_shard_grants_only_its_engines_and_shares_their_load(broker):
    members = {info.id for info in INFOS if shard_index(info.id, 2) == 1}
    replies = [ask(broker, n, SHARD) for n in range(len(members) + 3)]
    granted = [reply.result(0).target.id for reply in replies if reply.done()]
    assert set(granted) == members
    assert all(broker.pools.unsharded(LLM).targets.loads[target].running == 1 for target in members)
    broker.on_receive(Settled(0, LLM, granted[0], Outcome.DONE, 1020.0))
    assert sum(reply.done() for reply in replies) == len(members) + 1


def test_request_of_disconnected_caller_is_withdrawn_from_shard(broker):
    members = sum(shard_index(info.id, 2) == 1 for info in INFOS)
    replies = [ask(broker, n, SHARD) for n in range(members + 1)]
    broker.on_receive(Withdraw(members, LLM))
    assert replies[-1].done()


def test_queued_requests_expire_after_shards_have_changed(broker):
    members = sum(shard_index(info.id, 2) == 1 for info in INFOS)
    replies = [ask(broker, n, SHARD) for n in range(members + 1)]
    broker.on_receive(TargetsChanged([TargetGone(INFOS[0].id)]))
    for info in INFOS[1:30]:
        broker.on_receive(TargetsChanged([TargetGone(info.id)]))
    broker.on_receive(Tick("expire", time.monotonic() + 6))
    assert all(reply.done() for reply in replies)


def test_team_usage_is_reported_to_schedulers_of_other_shards(broker):
    # Without these reports, a team whose prompts belong to one shard would get its full share
    # there and again at each other shard, while teams spread over the shards get theirs once.
    reports = []
    broker.on_receive(OnTick((), lambda *args: reports.append(args)))
    ask(broker, 1, SHARD)
    broker.on_receive(Tick("expire", time.monotonic()))
    assert reports == [(LLM, 2, ServiceGiven("r1", 1, {TEAM: 1020}, []))]


def test_scheduler_knows_what_engines_have_read_for_another(broker):
    """Guards against shared parts that are read again after the engines' division has changed."""
    broker.pools.unsharded(LLM).targets.model.fetch_per_s = 1e6
    reports = []
    broker.on_receive(OnTick((), send_parts_read=reports.append))
    first = ask(broker, 1, SHARD).result(0)
    broker.on_receive(Tick("expire", time.monotonic()))
    target = first.target.id
    assert reports == [PartsRead(LLM, [(target, "s", 900), (target, "", 100)])]

    other = Broker(NodeId("r2"), ZoneId("z"), 1, ActiveConfig(), RetryLimits())
    other.pools.unsharded(LLM).targets.set_spec(ServiceSpec(LLM, EngineSpec(1, 600_000, 1e6)))
    other.on_receive(TargetsListed(INFOS))
    other.on_receive(PartsReadElsewhere(reports[0]))
    granted = ask(other, 2, ShardId(1 - SHARD.index, SHARD.count)).result(0)
    assert granted.fetch_from == first.target.address
    assert granted.miss_tokens == 100


def test_usage_reported_by_another_scheduler_counts(broker):
    broker.on_receive(ServiceHeard(ServiceGiven("r2", 1, {}, [])))
    broker.on_receive(ServiceHeard(ServiceGiven("r2", 1, {TEAM: 5000}, ["u"])))
    assert broker.ledger.normalised(TEAM) > 4000
    assert broker.ledger.excess(TEAM, set()) > 4000


def test_service_that_loses_its_engines_does_not_stop_router(broker):
    # A new configuration makes a plain service of one that has prompts queued here, in a shard.
    ask(broker, 1, SHARD)
    broker.pools.unsharded(LLM).targets.set_spec(ServiceSpec(LLM))
    broker.on_receive(TargetsChanged([TargetGone(INFOS[0].id)]))
    assert LLM not in broker.active_config.shards
