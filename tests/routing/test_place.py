"""Placement of prompts: on the engine that caches them, unless its queue costs more."""

from dataclasses import replace

from turmerictray.core.ids import NodeId, ServiceName, SoftwareVersion, TargetId, ZoneId
from turmerictray.routing.load import PeerLoad, PendingPrefill, TargetInfo, TargetLoad, TargetPhase
from turmerictray.routing.model import PoolModel
from turmerictray.routing.place import candidates, place_plain, place_prompt
from turmerictray.routing.prefix_cache import PrefixCacheModel
from turmerictray.routing.prompt import PartId, Prompt, PromptPart

ZONE = ZoneId("z1")
MODEL = PoolModel(40_000.0)
PROMPT = Prompt((PromptPart(PartId("soil"), 12_000), PromptPart(PartId("own"), 2_000)), 14_000, 100)


def make_load(name: str, phase=TargetPhase.READY, slots=64) -> TargetLoad:
    info = TargetInfo(TargetId(name), ServiceName("llm"), "127.0.0.1:1", ZONE, slots, phase)
    return TargetLoad(info, PrefixCacheModel(500_000))


def with_backlog(load: TargetLoad, tokens: int, now: float = 0.0) -> TargetLoad:
    load.record_sent(len(load.reads) + 1, PendingPrefill(now, tokens, 0, tokens / MODEL.read_per_s))
    return load


def place(loads, now=0.0) -> str:
    return place_prompt(loads, PROMPT, 99, MODEL, ZONE, now).load.info.id


def test_engine_that_caches_the_shared_part_is_chosen_over_an_idle_one():
    loads = [make_load(f"e{n}") for n in range(4)]
    loads[2].prefix_cache.note_read(PROMPT)
    with_backlog(loads[2], 15_000)
    assert place(loads) == "e2"


def test_long_queue_at_that_engine_diverts_the_prompt_to_an_idle_one():
    # One popular part must not saturate one engine while others are idle: callers would wait in its
    # queue, and reading the part again elsewhere costs less than that.
    loads = [make_load(f"e{n}") for n in range(4)]
    loads[2].prefix_cache.note_read(PROMPT)
    with_backlog(loads[2], 200_000)
    assert place(loads) != "e2"


def test_requests_that_wait_here_for_an_engine_count_as_its_queue():
    loads = [make_load(f"e{n}") for n in range(4)]
    loads[2].prefix_cache.note_read(PROMPT)
    for number in range(5):
        loads[2].reserve(number, 40_000)
    assert place(loads) != "e2"


def test_busy_engines_do_not_read_what_another_caches():
    # With all engines busy, reading a shared part again delays all requests queued behind it.
    loads = [make_load(f"e{n}") for n in range(4)]
    loads[2].prefix_cache.note_read(PROMPT)
    for load in loads:
        with_backlog(load, 20_000)
    with_backlog(loads[2], 20_000)
    assert place(loads) == "e2"


def test_routers_agree_where_a_part_is_read_for_the_first_time():
    first = [make_load(f"e{n}") for n in range(5)]
    other = [make_load(f"e{n}") for n in reversed(range(5))]
    assert place(first) == place(other)


def test_first_choices_are_spread_over_the_engines():
    loads = [make_load(f"e{n}") for n in range(5)]
    chosen = set()
    for number in range(60):
        prompt = Prompt((PromptPart(PartId(f"p{number}"), 9_000), PROMPT.parts[1]), 11_000, 10)
        chosen.add(place_prompt(loads, prompt, 1, MODEL, ZONE, 0.0).load.info.id)
    assert len(chosen) == 5


def test_unresponsive_engine_is_avoided_after_some_time():
    # An unresponsive engine gives no answers, so no average over answers ever reveals it. The only
    # sign is the request that it does not answer in time.
    loads = [make_load("e0"), make_load("e1")]
    loads[0].prefix_cache.note_read(PROMPT)
    with_backlog(loads[0], 2_000, now=0.0)
    assert place(loads, now=0.5) == "e0"
    assert place(loads, now=6.0) == "e1"


def test_leaving_and_tried_targets_are_no_candidates():
    loads = [make_load("e0", TargetPhase.LEAVING), make_load("e1"), make_load("e2")]
    assert [load.info.id for load in candidates(loads, frozenset({"e1"}), 0.0)] == ["e2"]


def test_unreachable_target_is_the_last_resort():
    loads = [make_load("e0"), make_load("e1")]
    loads[0].record_unreachable(0.0)
    assert [load.info.id for load in candidates(loads, frozenset(), 0.1)] == ["e1"]
    assert [load.info.id for load in candidates(loads, frozenset({"e1"}), 0.1)] == ["e0"]
    assert len(candidates(loads, frozenset(), 1.0)) == 2


def test_failing_plain_target_gets_less_and_comes_back():
    loads = [make_load("a0", slots=6), make_load("a1", slots=6)]
    for _ in range(5):
        loads[0].record_answer(ok=False, now=0.0)
    assert place_plain(loads, 1, ZONE, 0.1).load.info.id == "a1"
    for call in range(40):
        loads[1].record_sent(call, PendingPrefill(0.0, 0, 0, 0.05))
    assert place_plain(loads, 1, ZONE, 12.0).load.info.id == "a0"


def test_peer_load_counts_until_it_expires():
    load = make_load("e0")
    load.peers[NodeId("r2")] = PeerLoad(3, 9_000, received_at=10.0)
    assert load.unread_tokens(10.0, 1_000.0) == 9_000
    assert load.unread_tokens(11.0, 1_000.0) == 8_000
    assert load.running_in_fleet(11.0) == 3
    assert load.unread_tokens(13.0, 1_000.0) == 0


def test_least_recently_read_parts_are_evicted():
    cache = PrefixCacheModel(20_000)
    cache.note_read(PROMPT)
    other = Prompt((PromptPart(PartId("x"), 12_000), PromptPart(PartId("y"), 1_000)), 13_000, 1)
    cache.note_read(other)
    assert cache.cached_tokens(PROMPT) == 0
    assert cache.cached_tokens(other) == 12_000


def test_idle_plain_targets_take_turns():
    loads = [make_load(f"a{n}", slots=6) for n in range(3)]
    chosen = {place_plain(loads, call, ZONE, 0.0).load.info.id for call in range(3)}
    assert len(chosen) == 3


def fetching_model() -> PoolModel:
    return PoolModel(40_000.0, fetch_per_s=250_000.0)


def test_cached_parts_are_fetched_from_an_engine_with_a_queue():
    # Callers wait in the queue of the one engine that caches a popular part while others are idle,
    # and reading the part again there would take 0.3 s. A transfer takes a sixth of that.
    loads = [make_load(f"e{n}") for n in range(3)]
    loads[1].prefix_cache.note_read(PROMPT)
    with_backlog(loads[1], 20_000)
    placement = place_prompt(loads, PROMPT, 99, fetching_model(), ZONE, 0.0)
    assert placement.load is not loads[1]
    assert placement.source is loads[1].info
    assert placement.miss_tokens == 2_000


def test_nothing_is_fetched_if_cached_locally_or_without_a_configured_link():
    loads = [make_load(f"e{n}") for n in range(2)]
    loads[1].prefix_cache.note_read(PROMPT)
    assert place_prompt(loads, PROMPT, 99, fetching_model(), ZONE, 0.0).source is None
    with_backlog(loads[1], 200_000)
    assert place_prompt(loads, PROMPT, 99, MODEL, ZONE, 0.0).source is None


def test_nothing_is_fetched_from_a_failing_engine():
    loads = [make_load(f"e{n}") for n in range(2)]
    loads[1].prefix_cache.note_read(PROMPT)
    with_backlog(loads[1], 20_000)
    for _ in range(4):
        loads[1].record_answer(False, 0.0)
    placement = place_prompt(loads, PROMPT, 99, fetching_model(), ZONE, 0.0)
    assert (placement.load, placement.source) == (loads[0], None)


def test_parts_are_fetched_from_an_engine_that_gets_no_requests():
    """Guards against shared parts that are read again because the engine with them is leaving."""
    leaving, idle = make_load("e1"), make_load("e2")
    leaving.prefix_cache.note_read(PROMPT)
    placement = place_prompt([idle], PROMPT, 99, fetching_model(), ZONE, 0.0, [leaving, idle])
    assert (placement.load, placement.source) == (idle, leaving.info)
    assert placement.miss_tokens == 2_000


def test_nothing_is_fetched_from_an_unreachable_engine():
    """Guards against a fetch that hangs, as its source has crashed."""
    crashed, idle = make_load("e1"), make_load("e2")
    crashed.prefix_cache.note_read(PROMPT)
    crashed.record_unreachable(0.0)
    placement = place_prompt([idle], PROMPT, 99, fetching_model(), ZONE, 0.1, [crashed, idle])
    assert placement.source is None


def test_nothing_is_fetched_from_another_software_version():
    """Guards against an engine that continues from what another version wrote into its cache."""
    other, leaving, idle = make_load("other"), make_load("leaving"), make_load("idle")
    other.info = replace(other.info, version=SoftwareVersion("v2"))
    for load in (other, leaving):
        load.prefix_cache.note_read(PROMPT)
    with_backlog(other, 40_000)
    placement = place_prompt([other, idle], PROMPT, 99, fetching_model(), ZONE, 0.0)
    assert placement.load is idle
    assert placement.source is None
    sources = [other, leaving, idle]
    placement = place_prompt([other, idle], PROMPT, 99, fetching_model(), ZONE, 0.0, sources)
    assert placement.source is leaving.info


def test_short_parts_are_read_again():
    prompt = Prompt((PromptPart(PartId("greeting"), 300), PromptPart(PartId("own"), 100)), 400, 10)
    loads = [make_load(f"e{n}") for n in range(2)]
    loads[1].prefix_cache.note_read(prompt)
    with_backlog(loads[1], 20_000)
    assert place_prompt(loads, prompt, 99, fetching_model(), ZONE, 0.0).source is None
