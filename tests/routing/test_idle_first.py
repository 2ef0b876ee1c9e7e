"""An engine that idles gets a request before one that only keeps its prompt."""

from turmerictray.core.ids import ServiceName, TargetId
from turmerictray.routing.choice import choose_target
from turmerictray.routing.target import TargetView


def make_engines() -> list[TargetView]:
    names = ("e0", "e1")
    return [
        TargetView(TargetId(n), ServiceName("llm"), f"http://{n}", "z", 4, False) for n in names
    ]


def test_full_engine_is_left_for_an_idle_one_although_this_router_has_a_claim_there():
    # Four routers see no queue, so each may fill every slot of the engine that the prompt prefers.
    # Its load report shows it full, but the prompt's preference went before the report: sixty of
    # sixty answers came from it, with four requests waiting in its own queue, while the other
    # engine had nothing to do.
    engines = make_engines()
    preferred = choose_target(engines, "soil")
    other = next(engine for engine in engines if engine is not preferred)
    preferred.reported_busy = preferred.slots
    assert choose_target(engines, "soil") is other


def test_prompt_stays_with_its_engine_while_that_has_room():
    engines = make_engines()
    preferred = choose_target(engines, "soil")
    preferred.reported_busy = preferred.slots - 1
    assert choose_target(engines, "soil") is preferred


def test_both_full_leaves_the_preference():
    engines = make_engines()
    preferred = choose_target(engines, "soil")
    for engine in engines:
        engine.reported_busy = engine.slots
    assert choose_target(engines, "soil") is preferred
