"""Engine model: batching, order of arrival and cache eviction."""

from dataclasses import dataclass, field

import pytest

from turmerictray.routing.prompt import PartId, Prompt, PromptPart
from turmerictray.simulation.engine import BatchEngine, EngineProfile, PrefixCache, Run
from turmerictray.simulation.timeline import Timeline

PROFILE = EngineProfile(slots=2, memory_tokens=10_000, read_per_s=10_000, chunk_tokens=1000)


def prompt(name: str, shared: int = 1000, unique: int = 100, output: int = 6) -> Prompt:
    parts = (PromptPart(PartId(name), shared), PromptPart(PartId(f"{name}-unique{unique}"), unique))
    return Prompt(parts, shared + unique, output)


@dataclass
class EngineHarness:
    """An engine that records the times of first events and of completed answers."""

    timeline: Timeline = field(default_factory=Timeline)
    firsts: dict[str, float] = field(default_factory=dict)
    ends: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.engine = BatchEngine(self.timeline, PROFILE)

    def submit(self, name: str, request_prompt: Prompt) -> Run:
        run = Run(
            request_prompt,
            lambda: self.firsts.setdefault(name, self.timeline.now),
            lambda: self.ends.setdefault(name, self.timeline.now),
        )
        self.engine.submit(run)
        return run


def test_prefill_time_depends_on_uncached_tokens():
    harness = EngineHarness()
    harness.submit("a", prompt("x"))
    harness.timeline.run(5)
    assert harness.firsts["a"] == pytest.approx(0.11 + 3 * 0.005, abs=0.01)
    started_at = harness.timeline.now
    harness.submit("b", prompt("x", unique=200))
    harness.timeline.run(10)
    assert harness.engine.read_tokens == 1100 + 200
    assert harness.firsts["b"] - started_at < 0.04


def test_third_request_waits_for_a_slot():
    harness = EngineHarness()
    for name in "abc":
        harness.submit(name, prompt(name))
    harness.timeline.run(5)
    assert harness.firsts["a"] < harness.firsts["b"] < harness.firsts["c"]
    assert harness.firsts["c"] > min(harness.ends.values())


def test_request_waits_until_memory_is_free():
    harness = EngineHarness()
    harness.submit("a", prompt("x", unique=6000))
    harness.submit("b", prompt("y", unique=6000))
    harness.timeline.run(10)
    assert harness.firsts["b"] > harness.ends["a"]


def test_concurrent_prefill_lengthens_pauses_of_stream():
    harness = EngineHarness()
    run = harness.submit("a", prompt("x", unique=10, shared=10, output=60))
    harness.timeline.run(0.05)
    max_pause_alone = run.max_pause_s
    harness.submit("b", prompt("y", shared=5000))
    harness.timeline.run(5)
    assert run.max_pause_s > 5 * max_pause_alone


def test_disconnected_caller_frees_its_slot():
    harness = EngineHarness()
    run = harness.submit("a", prompt("x", output=10_000 - 1200))
    run.caller_gone = True
    harness.submit("b", prompt("y"))
    harness.timeline.run(5)
    assert "a" not in harness.ends
    assert "b" in harness.ends


def test_least_recently_used_part_is_evicted():
    cache = PrefixCache(2500)
    assert cache.add_prompt(prompt("a")) == 1100
    assert cache.add_prompt(prompt("b")) == 1100
    assert cache.add_prompt(prompt("a", unique=90)) == 90
    assert cache.add_prompt(prompt("c", unique=80)) == 1080
    assert {part.part_id for part in cache.cached_parts()} >= {PartId("c"), PartId("a")}
    assert cache.add_prompt(prompt("b")) == 1100
