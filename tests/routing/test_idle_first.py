"""Preference for an idle engine over a full one that caches the prompt."""

from turmerictray.core.ids import ServiceName, TargetId
from turmerictray.routing.choice import choose_target
from turmerictray.routing.target import TargetView


def make_engines() -> list[TargetView]:
    names = ("e0", "e1")
    return [
        TargetView(TargetId(n), ServiceName("llm"), f"http://{n}", "z", 4, False) for n in names
    ]


def test_idle_engine_is_chosen_over_a_full_one_with_slots_allocated_to_this_router():
    # Four routers without a queue may each fill every slot of the engine that the prompt prefers.
    # Its load report shows it full, but the prompt's preference used to override the report: sixty
    # of sixty answers came from it, with four requests waiting in its own queue, while the other
    # engine was idle.
    engines = make_engines()
    preferred = choose_target(engines, "soil")
    other = next(engine for engine in engines if engine is not preferred)
    preferred.reported_busy = preferred.slots
    assert choose_target(engines, "soil") is other


def test_preferred_engine_is_chosen_while_it_has_free_slots():
    engines = make_engines()
    preferred = choose_target(engines, "soil")
    preferred.reported_busy = preferred.slots - 1
    assert choose_target(engines, "soil") is preferred


def test_preferred_engine_is_chosen_if_all_are_full():
    engines = make_engines()
    preferred = choose_target(engines, "soil")
    for engine in engines:
        engine.reported_busy = engine.slots
    assert choose_target(engines, "soil") is preferred
