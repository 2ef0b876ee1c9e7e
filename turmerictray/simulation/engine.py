"""Engine models: time to prefill prompts and to generate answers."""

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from turmerictray.routing.prompt import PartId, Prompt, PromptPart
from turmerictray.simulation.timeline import Timeline

_SERIAL_FIRST_EVENT_S = 0.02
_SERIAL_ANSWER_S = 0.5


@dataclass
class Run:
    """A request being processed by an engine.

    Attributes
    ----------
    on_first, on_done : callable
        Called at the first event of the answer, and when the answer is complete.
    unread_tokens : int
        Prompt tokens that have not been prefilled yet.
    tokens_to_generate : int
        Output tokens that have not been generated yet.
    last_event_at : float
        Virtual time of the last event, in seconds.
    max_pause_s : float
        Longest time between two events so far.
    caller_gone : bool
        Whether the caller has disconnected.
    """

    prompt: Prompt
    on_first: Callable[[], None]
    on_done: Callable[[], None]
    unread_tokens: int = 0
    tokens_to_generate: int = 0
    last_event_at: float = 0.0
    max_pause_s: float = 0.0
    caller_gone: bool = False


class PrefixCache:
    """Prompt parts cached by an engine, with least-recently-used eviction.

    Parameters
    ----------
    capacity_tokens : int
        Maximum number of cached tokens.
    """

    def __init__(self, capacity_tokens: int) -> None:
        self.capacity_tokens = capacity_tokens
        self._parts: OrderedDict[PartId, int] = OrderedDict()
        self._total_tokens = 0

    def add_prompt(self, prompt: Prompt) -> int:
        """Cache the parts of a prompt and return the number of tokens to prefill.

        Only a contiguous cached prefix counts: everything after the first missing part is
        prefilled again.
        """
        missing = 0
        for part in prompt.parts:
            if missing or part.part_id not in self._parts:
                missing += part.tokens
            self._total_tokens += part.tokens - self._parts.pop(part.part_id, 0)
            self._parts[part.part_id] = part.tokens
        while self._total_tokens > self.capacity_tokens and self._parts:
            self._total_tokens -= self._parts.popitem(last=False)[1]
        return missing

    def cached_parts(self) -> list[PromptPart]:
        """Return the cached parts, least recently used first."""
        return [PromptPart(part_id, tokens) for part_id, tokens in self._parts.items()]


class Engine(Protocol):
    """Interface of engine models.

    Attributes
    ----------
    cache : PrefixCache
    read_tokens : int
        Prompt tokens prefilled so far.
    busy_s : float
        Seconds during which the engine was busy.
    """

    cache: PrefixCache
    read_tokens: int
    busy_s: float

    def submit(self, run: Run) -> None:
        """Submit a request; prompts are prefilled in order of arrival."""


class SerialEngine:
    """Engine model that prefills prompts one by one and generates answers in constant time.

    Parameters
    ----------
    read_per_s : float
        Prompt tokens prefilled per second.
    """

    def __init__(self, timeline: Timeline, read_per_s: float, memory_tokens: int) -> None:
        self.cache = PrefixCache(memory_tokens)
        self.read_tokens = 0
        self.busy_s = 0.0
        self._timeline = timeline
        self._read_per_s = read_per_s
        self._free_at = 0.0

    def submit(self, run: Run) -> None:
        """Submit a request; prompts are prefilled in order of arrival."""
        missing = self.cache.add_prompt(run.prompt)
        took = missing / self._read_per_s
        self.read_tokens += missing
        self.busy_s += took
        self._free_at = max(self._free_at, self._timeline.now) + took
        self._timeline.at(self._free_at + _SERIAL_FIRST_EVENT_S, run.on_first)
        self._timeline.at(self._free_at + _SERIAL_FIRST_EVENT_S + _SERIAL_ANSWER_S, run.on_done)


@dataclass(frozen=True)
class EngineProfile:
    """Performance parameters of a batching engine.

    The defaults are those of a large model on eight accelerators.

    Attributes
    ----------
    slots : int
        Maximum number of requests in a batch.
    memory_tokens : int
        Memory in tokens, shared by running requests and cached prompt parts.
    step_s, step_per_slot_s : float
        Duration of a batch step, and the time added by each running request.
    read_per_s : float
        Prompt tokens prefilled per second, in addition to the duration of the step.
    chunk_tokens : int
        Maximum number of prompt tokens prefilled in one step.
    event_tokens : int
        Output tokens per event of a stream.
    speed : float
        Speed factor; an engine with 0.25 takes four times as long for each step.
    """

    slots: int = 64
    memory_tokens: int = 600_000
    step_s: float = 0.005
    step_per_slot_s: float = 0.00004
    read_per_s: float = 49_600.0
    chunk_tokens: int = 2048
    event_tokens: int = 3
    speed: float = 1.0


@dataclass
class _Step:
    prefill_tokens: int = 0
    runs: list[Run] = field(default_factory=list)


class BatchEngine:
    """Engine model with continuous batching and chunked prefill.

    In each step, prompts are prefilled in chunks, oldest first, and every request whose prompt has
    been prefilled generates one token.

    Requests wait in order of arrival for a slot and for memory. Memory of running requests is
    never evicted, so the capacity of the prefix cache shrinks as the batch fills.
    """

    def __init__(self, timeline: Timeline, profile: EngineProfile) -> None:
        self.cache = PrefixCache(profile.memory_tokens)
        self.profile = profile
        self.read_tokens = 0
        self.busy_s = 0.0
        self._timeline = timeline
        self._waiting: deque[Run] = deque()
        self._running: list[Run] = []
        self._is_stepping = False

    def submit(self, run: Run) -> None:
        """Submit a request; requests are admitted to the batch in order of arrival."""
        self._waiting.append(run)
        if not self._is_stepping:
            self._is_stepping = True
            self._begin_step()

    def _begin_step(self) -> None:
        self._running = [run for run in self._running if not run.caller_gone]
        self._admit()
        if not self._running:
            self._is_stepping = False
            return
        step = self._plan_step()
        profile = self.profile
        took = profile.step_s + profile.step_per_slot_s * len(self._running)
        took = (took + step.prefill_tokens / profile.read_per_s) / profile.speed
        self.read_tokens += step.prefill_tokens
        self.busy_s += took
        self._timeline.at(self._timeline.now + took, self._end_step, step)

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self.profile.slots:
            run = self._waiting[0]
            if not run.caller_gone:
                if self._running and not self._fits(run):
                    return
                run.unread_tokens = max(1, self.cache.add_prompt(run.prompt))
                run.tokens_to_generate = run.prompt.output_tokens
                self._running.append(run)
            self._waiting.popleft()
            self._resize_cache()

    def _fits(self, run: Run) -> bool:
        return self._running_tokens() + _unique_tokens(run) <= self.profile.memory_tokens

    def _running_tokens(self) -> int:
        shared = {part.part_id: part.tokens for run in self._running for part in run.prompt.shared}
        return sum(shared.values()) + sum(map(_unique_tokens, self._running))

    def _resize_cache(self) -> None:
        output_tokens = sum(run.prompt.output_tokens for run in self._running)
        self.cache.capacity_tokens = max(0, self.profile.memory_tokens - output_tokens)

    def _plan_step(self) -> _Step:
        step = _Step()
        for run in self._running:
            if not run.unread_tokens:
                step.runs.append(run)
            elif step.prefill_tokens < self.profile.chunk_tokens:
                chunk = min(run.unread_tokens, self.profile.chunk_tokens - step.prefill_tokens)
                run.unread_tokens -= chunk
                step.prefill_tokens += chunk
        return step

    def _end_step(self, step: _Step) -> None:
        for run in step.runs:
            if not run.caller_gone:
                self._generate(run)
        self._running = [
            run for run in self._running if run.unread_tokens or run.tokens_to_generate > 0
        ]
        self._begin_step()

    def _generate(self, run: Run) -> None:
        is_first = run.tokens_to_generate == run.prompt.output_tokens
        run.tokens_to_generate -= 1
        now = self._timeline.now
        if is_first:
            run.last_event_at = now
            run.on_first()
        elif run.tokens_to_generate % self.profile.event_tokens == 0:
            run.max_pause_s = max(run.max_pause_s, now - run.last_event_at)
            run.last_event_at = now
        if run.tokens_to_generate <= 0:
            run.on_done()


def _unique_tokens(run: Run) -> int:
    unique = run.prompt.parts[-1].tokens if run.prompt.parts else run.prompt.input_tokens
    return unique + run.prompt.output_tokens
