"""Division of a service's engines into shards, and the choice of the shard for a prompt."""

from collections import Counter

import pytest

from turmerictray.core.ids import NodeId, ServiceName, TargetId, ZoneId
from turmerictray.membership.messages import MemberEntry
from turmerictray.routing.load import TargetInfo, TargetLoad
from turmerictray.routing.model import PoolModel
from turmerictray.routing.place import place_prompt
from turmerictray.routing.prefix_cache import PrefixCacheModel
from turmerictray.routing.prompt import PartId, Prompt, PromptPart
from turmerictray.routing.rendezvous import rank
from turmerictray.scheduling.backlogs import Backlogs
from turmerictray.scheduling.choice import SchedulerChoice
from turmerictray.scheduling.shards import UNSHARDED, ShardId, ShardMap, shard_count, shard_index

LLM = ServiceName("llm")
MAX_ENGINES = 45


def engines(count: int, prefix: str = "e") -> list[TargetId]:
    return [TargetId(f"{prefix}{n}") for n in range(count)]


def entry(number: int, cores: float = 1.0) -> MemberEntry:
    node = f"r{number}"
    return MemberEntry(node, "z", f"tcp://{node}:1", 1, 20, False, f"tcp://{node}:2", cores)


def choice_for(members) -> SchedulerChoice:
    choice = SchedulerChoice(NodeId("asker"), ZoneId("z"))
    choice.set_members(members)
    return choice


@pytest.mark.parametrize("count", [1, 9, 32])
def test_a_small_service_has_one_scheduler(count):
    shards = ShardMap(engines(count))
    assert shards.count == 1
    assert shards.preferred_shards("part") == (UNSHARDED,)
    assert ShardMap().preferred_shards("part") == (UNSHARDED,)


@pytest.mark.parametrize("count", [33, 45, 64, 200, 600])
def test_no_scheduler_has_more_engines_than_one_processor_can_schedule(count):
    """Guards against one scheduler for a whole fleet, whose work grows with the fleet."""
    sizes = Counter(shard_index(target, shard_count(count)) for target in engines(count))
    assert max(sizes.values()) <= MAX_ENGINES
    assert len(sizes) == shard_count(count)


def test_shards_are_served_by_different_routers():
    choice = choice_for([entry(n) for n in range(77)])
    shards = ShardMap(engines(45)).shards()
    found = {choice.scheduler(LLM, shard).node for shard in shards}
    assert len(found) == 2


def test_a_router_with_more_cores_is_the_scheduler_more_often():
    # Callers are spread evenly over the routers, so small machines are the busiest ones.
    members = [entry(n, 2.0 if n < 10 else 0.5) for n in range(70)]
    services = [ServiceName(f"s{n}") for n in range(100)]
    choice = choice_for(members)
    large = sum(int(choice.scheduler(service).node[1:]) < 10 for service in services)
    assert large > 50


def test_prompts_are_spread_over_shards_in_proportion_to_engines():
    shards = ShardMap(engines(45))
    sizes = Counter(shards.shard_of(target) for target in engines(45))
    prompt_counts = Counter(shards.preferred_shards(f"part{n}")[0] for n in range(4000))
    assert all(abs(prompt_counts[shard] / 4000 - size / 45) < 0.04 for shard, size in sizes.items())


def test_an_additional_engine_moves_few_prompts():
    before, after = ShardMap(engines(45)), ShardMap(engines(46))
    moved = sum(
        before.preferred_shards(f"p{n}")[0] != after.preferred_shards(f"p{n}")[0]
        for n in range(1000)
    )
    assert moved < 60


def first_engine(key: str, listed: list[TargetId]) -> TargetId:
    """Return the engine that first processes a part that no engine caches."""
    loads = [
        TargetLoad(TargetInfo(target, LLM, "h:1", ZoneId("z"), 8), PrefixCacheModel(10**6))
        for target in listed
    ]
    prompt = Prompt((PromptPart(PartId(key), 900), PromptPart(PartId("own"), 100)), 1000, 10)
    return place_prompt(loads, prompt, 1, PoolModel(), ZoneId("z"), 0.0).load.info.id


@pytest.mark.parametrize("count", [33, 64, 65, 74, 128, 129])
def test_prompts_go_to_the_shard_of_the_engine_that_reads_their_parts_first(count):
    listed = engines(count)
    shards = ShardMap(listed)
    for number in range(40):
        key = f"part{number}"
        assert shards.preferred_shards(key)[0] == shards.shard_of(first_engine(key, listed))


@pytest.mark.parametrize("change", [(32, 33), (59, 74), (64, 65), (74, 59), (128, 130), (200, 199)])
def test_parts_stay_with_their_engines_when_the_number_of_shards_changes(change):
    """Guards against cached parts being processed again because requests go to another shard."""
    before, after = (engines(count) for count in change)
    shards = ShardMap(after)
    caching_engines = [
        (f"part{n}", max(before, key=lambda e, n=n: rank(f"part{n}", e))) for n in range(2000)
    ]
    misrouted = 0
    for key, engine in caching_engines:
        misrouted += engine in after and shards.preferred_shards(key)[0] != shards.shard_of(engine)
    joined = len(set(after) - set(before))
    assert misrouted <= 2000 * joined / len(after) * 1.3 + 5


def test_doubling_the_shards_splits_each_in_two():
    for target in engines(200):
        assert shard_index(target, 8) // 2 == shard_index(target, 4)


class PlacementRequest:
    def __init__(self, shard: ShardId) -> None:
        self.service = LLM
        self.shard = shard


def test_the_second_shard_is_preferred_while_the_first_has_a_long_backlog():
    first, second = ShardId(0, 4), ShardId(1, 4)
    backlogs = Backlogs()
    assert backlogs.rank_shards(LLM, (first, second), 1.0) == (first, second)
    backlogs.record(PlacementRequest(first), 0.4, 1.0)
    assert backlogs.rank_shards(LLM, (first, second), 1.1) == (second, first)
    backlogs.record(PlacementRequest(second), 0.35, 1.1)
    assert backlogs.rank_shards(LLM, (first, second), 1.2) == (first, second)


def test_an_old_backlog_report_is_ignored():
    first, second = ShardId(0, 4), ShardId(1, 4)
    backlogs = Backlogs()
    backlogs.record(PlacementRequest(first), 0.4, 1.0)
    assert backlogs.rank_shards(LLM, (first, second), 2.0) == (first, second)
    assert backlogs.rank_shards(LLM, (UNSHARDED,), 1.1) == (UNSHARDED,)
