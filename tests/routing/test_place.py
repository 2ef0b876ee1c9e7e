"""Where a prompt is sent: to the engine that keeps it, unless the line there costs more."""

from turmerictray.core.ids import NodeId, ServiceName, TargetId, ZoneId
from turmerictray.routing.kept import KeptParts
from turmerictray.routing.load import OpenRead, PeerLoad, TargetInfo, TargetLoad, TargetPhase
from turmerictray.routing.model import PoolModel
from turmerictray.routing.place import candidates, place_plain, place_prompt
from turmerictray.routing.prompt import Part, PartId, Prompt

ZONE = ZoneId("z1")
MODEL = PoolModel(40_000.0)
PROMPT = Prompt((Part(PartId("soil"), 12_000), Part(PartId("own"), 2_000)), 14_000, 100)


def make_load(name: str, phase=TargetPhase.READY, slots=64) -> TargetLoad:
    info = TargetInfo(TargetId(name), ServiceName("llm"), "127.0.0.1:1", ZONE, slots, phase)
    return TargetLoad(info, KeptParts(500_000))


def with_backlog(load: TargetLoad, tokens: int, now: float = 0.0) -> TargetLoad:
    load.sent(len(load.reads) + 1, OpenRead(now, tokens, 0, tokens / MODEL.read_per_s))
    return load


def place(loads, now=0.0) -> str:
    return place_prompt(loads, PROMPT, 99, MODEL, ZONE, now).load.info.id


def test_engine_that_keeps_the_shared_part_is_chosen_over_an_idle_one():
    loads = [make_load(f"e{n}") for n in range(4)]
    loads[2].kept.note_read(PROMPT)
    with_backlog(loads[2], 15_000)
    assert place(loads) == "e2"


def test_long_line_before_that_engine_sends_the_prompt_to_an_idle_one():
    # One popular part must not fill one engine while others idle: its callers would wait for the
    # line, and reading the part once more elsewhere is cheaper than that.
    loads = [make_load(f"e{n}") for n in range(4)]
    loads[2].kept.note_read(PROMPT)
    with_backlog(loads[2], 200_000)
    assert place(loads) != "e2"


def test_requests_that_wait_here_for_an_engine_count_as_its_line():
    loads = [make_load(f"e{n}") for n in range(4)]
    loads[2].kept.note_read(PROMPT)
    for number in range(5):
        loads[2].hold(number, 40_000)
    assert place(loads) != "e2"


def test_busy_engines_are_not_made_to_read_what_another_keeps():
    # With all engines busy, reading a shared part again takes time from everyone behind it.
    loads = [make_load(f"e{n}") for n in range(4)]
    loads[2].kept.note_read(PROMPT)
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
        prompt = Prompt((Part(PartId(f"p{number}"), 9_000), PROMPT.parts[1]), 11_000, 10)
        chosen.add(place_prompt(loads, prompt, 1, MODEL, ZONE, 0.0).load.info.id)
    assert len(chosen) == 5


def test_silent_engine_is_left_after_a_while():
    # An engine that went dark answers nothing, so no average of answers ever shows it. The request
    # that it does not answer in time is the only sign.
    loads = [make_load("e0"), make_load("e1")]
    loads[0].kept.note_read(PROMPT)
    with_backlog(loads[0], 2_000, now=0.0)
    assert place(loads, now=0.5) == "e0"
    assert place(loads, now=6.0) == "e1"


def test_leaving_and_tried_targets_are_no_candidates():
    loads = [make_load("e0", TargetPhase.LEAVING), make_load("e1"), make_load("e2")]
    assert [load.info.id for load in candidates(loads, frozenset({"e1"}), 0.0)] == ["e2"]


def test_unreachable_target_is_the_last_resort():
    loads = [make_load("e0"), make_load("e1")]
    loads[0].not_reached(0.0)
    assert [load.info.id for load in candidates(loads, frozenset(), 0.1)] == ["e1"]
    assert [load.info.id for load in candidates(loads, frozenset({"e1"}), 0.1)] == ["e0"]
    assert len(candidates(loads, frozenset(), 1.0)) == 2


def test_failing_plain_target_gets_less_and_comes_back():
    loads = [make_load("a0", slots=6), make_load("a1", slots=6)]
    for _ in range(5):
        loads[0].answered(ok=False, now=0.0)
    assert place_plain(loads, 1, ZONE, 0.1).load.info.id == "a1"
    for call in range(40):
        loads[1].sent(call, OpenRead(0.0, 0, 0, 0.05))
    assert place_plain(loads, 1, ZONE, 12.0).load.info.id == "a0"


def test_peers_work_counts_until_it_is_old():
    load = make_load("e0")
    load.peers[NodeId("r2")] = PeerLoad(3, 9_000, heard_at=10.0)
    assert load.unread_tokens(10.0, 1_000.0) == 9_000
    assert load.unread_tokens(11.0, 1_000.0) == 8_000
    assert load.running_in_fleet(11.0) == 3
    assert load.unread_tokens(13.0, 1_000.0) == 0


def test_least_recently_read_parts_yield():
    kept = KeptParts(20_000)
    kept.note_read(PROMPT)
    other = Prompt((Part(PartId("x"), 12_000), Part(PartId("y"), 1_000)), 13_000, 1)
    kept.note_read(other)
    assert kept.kept_tokens(PROMPT) == 0
    assert kept.kept_tokens(other) == 12_000


def test_idle_plain_targets_take_turns():
    loads = [make_load(f"a{n}", slots=6) for n in range(3)]
    chosen = {place_plain(loads, call, ZONE, 0.0).load.info.id for call in range(3)}
    assert len(chosen) == 3


def fetching_model() -> PoolModel:
    return PoolModel(40_000.0, fetch_per_s=250_000.0)


def test_kept_parts_are_fetched_where_the_keeper_has_a_line():
    # Callers wait in the line before the one engine that keeps a popular part while others idle,
    # and reading the part again there would take 0.3 s. Handed on, it takes a sixth of that.
    loads = [make_load(f"e{n}") for n in range(3)]
    loads[1].kept.note_read(PROMPT)
    with_backlog(loads[1], 20_000)
    found = place_prompt(loads, PROMPT, 99, fetching_model(), ZONE, 0.0)
    assert found.load is not loads[1]
    assert found.source is loads[1].info
    assert found.miss_tokens == 2_000


def test_nothing_is_fetched_where_the_part_is_kept_or_the_text_tells_of_no_link():
    loads = [make_load(f"e{n}") for n in range(2)]
    loads[1].kept.note_read(PROMPT)
    assert place_prompt(loads, PROMPT, 99, fetching_model(), ZONE, 0.0).source is None
    with_backlog(loads[1], 200_000)
    assert place_prompt(loads, PROMPT, 99, MODEL, ZONE, 0.0).source is None


def test_nothing_is_fetched_from_an_engine_that_fails():
    loads = [make_load(f"e{n}") for n in range(2)]
    loads[1].kept.note_read(PROMPT)
    with_backlog(loads[1], 20_000)
    for _ in range(4):
        loads[1].answered(False, 0.0)
    found = place_prompt(loads, PROMPT, 99, fetching_model(), ZONE, 0.0)
    assert (found.load, found.source) == (loads[0], None)


def test_short_parts_are_read_again():
    prompt = Prompt((Part(PartId("greeting"), 300), Part(PartId("own"), 100)), 400, 10)
    loads = [make_load(f"e{n}") for n in range(2)]
    loads[1].kept.note_read(prompt)
    with_backlog(loads[1], 20_000)
    assert place_prompt(loads, prompt, 99, fetching_model(), ZONE, 0.0).source is None
