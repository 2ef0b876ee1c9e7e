"""The modelled engine behaves as engines do: batches, order of arrival, memory that yields."""

from dataclasses import dataclass, field

import pytest

from turmerictray.routing.prompt import PartId, Prompt, PromptPart
from turmerictray.simulation.engine import BatchEngine, EngineShape, Memory, Run
from turmerictray.simulation.timeline import Timeline

SHAPE = EngineShape(slots=2, memory_tokens=10_000, read_per_s=10_000, chunk_tokens=1000)


def prompt(name: str, shared: int = 1000, own: int = 100, generated: int = 6) -> Prompt:
    parts = (PromptPart(PartId(name), shared), PromptPart(PartId(f"{name}-own{own}"), own))
    return Prompt(parts, shared + own, generated)


@dataclass
class Played:
    """An engine, and when its answers came."""

    timeline: Timeline = field(default_factory=Timeline)
    firsts: dict[str, float] = field(default_factory=dict)
    ends: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.engine = BatchEngine(self.timeline, SHAPE)

    def submit(self, name: str, wanted: Prompt) -> Run:
        run = Run(
            wanted,
            lambda: self.firsts.setdefault(name, self.timeline.now),
            lambda: self.ends.setdefault(name, self.timeline.now),
        )
        self.engine.submit(run)
        return run


def test_reading_takes_time_by_what_is_missing():
    played = Played()
    played.submit("a", prompt("x"))
    played.timeline.run(5)
    assert played.firsts["a"] == pytest.approx(0.11 + 3 * 0.005, abs=0.01)
    begun = played.timeline.now
    played.submit("b", prompt("x", own=200))
    played.timeline.run(10)
    assert played.engine.read_tokens == 1100 + 200
    assert played.firsts["b"] - begun < 0.04


def test_third_request_waits_for_a_slot():
    played = Played()
    for name in "abc":
        played.submit(name, prompt(name))
    played.timeline.run(5)
    assert played.firsts["a"] < played.firsts["b"] < played.firsts["c"]
    assert played.firsts["c"] > min(played.ends.values())


def test_request_without_memory_waits_for_another_to_end():
    played = Played()
    played.submit("a", prompt("x", own=6000))
    played.submit("b", prompt("y", own=6000))
    played.timeline.run(10)
    assert played.firsts["b"] > played.ends["a"]


def test_reading_beside_a_stream_makes_its_pauses_longer():
    played = Played()
    run = played.submit("a", prompt("x", own=10, shared=10, generated=60))
    played.timeline.run(0.05)
    alone = run.longest_pause_s
    played.submit("b", prompt("y", shared=5000))
    played.timeline.run(5)
    assert run.longest_pause_s > 5 * alone


def test_caller_that_leaves_frees_its_slot():
    played = Played()
    run = played.submit("a", prompt("x", generated=10_000 - 1200))
    run.gone = True
    played.submit("b", prompt("y"))
    played.timeline.run(5)
    assert "a" not in played.ends
    assert "b" in played.ends


def test_least_recently_used_part_yields():
    memory = Memory(2500)
    assert memory.take(prompt("a")) == 1100
    assert memory.take(prompt("b")) == 1100
    assert memory.take(prompt("a", own=90)) == 90
    assert memory.take(prompt("c", own=80)) == 1080
    assert {part.part_id for part in memory.parts()} >= {PartId("c"), PartId("a")}
    assert memory.take(prompt("b")) == 1100
