"""Models of an engine: how long prompts take to read and answers to generate."""

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from turmerictray.routing.prompt import PartId, Prompt, PromptPart
from turmerictray.simulation.timeline import Timeline

_SERIAL_FIRST_S = 0.02
_SERIAL_ANSWER_S = 0.5


@dataclass
class Run:
    """A request on an engine.

    Attributes
    ----------
    on_first, on_done : callable
        Called at the first event, and when the answer is complete.
    unread : int
        Prompt tokens still to be read.
    to_generate : int
        Output tokens still to come.
    last_event_at : float
    longest_pause_s : float
        Between two events so far.
    gone : bool
        Its caller has left.
    """

    prompt: Prompt
    on_first: Callable[[], None]
    on_done: Callable[[], None]
    unread: int = 0
    to_generate: int = 0
    last_event_at: float = 0.0
    longest_pause_s: float = 0.0
    gone: bool = False


class Memory:
    """Parts of prompts that an engine keeps; the least recently used ones yield.

    Parameters
    ----------
    tokens : int
        Room for kept parts.
    """

    def __init__(self, tokens: int) -> None:
        self.tokens = tokens
        self._kept: OrderedDict[PartId, int] = OrderedDict()
        self._total = 0

    def take(self, prompt: Prompt) -> int:
        """Keep a prompt; returns its tokens that have to be read."""
        missing = 0
        for part in prompt.parts:
            if missing or part.part_id not in self._kept:
                missing += part.tokens
            self._total += part.tokens - self._kept.pop(part.part_id, 0)
            self._kept[part.part_id] = part.tokens
        while self._total > self.tokens and self._kept:
            self._total -= self._kept.popitem(last=False)[1]
        return missing

    def parts(self) -> list[PromptPart]:
        """What is kept, least recently used first."""
        return [PromptPart(part_id, tokens) for part_id, tokens in self._kept.items()]


class Engine(Protocol):
    """What the fleet needs of an engine's model.

    Attributes
    ----------
    memory : Memory
    read_tokens : int
        Tokens read so far.
    busy_s : float
        Time in which it had something to do.
    """

    memory: Memory
    read_tokens: int
    busy_s: float

    def submit(self, run: Run) -> None:
        """Take a request; earlier ones are read first."""


class SerialEngine:
    """Reads one prompt after the other and generates for free: the load of reading alone.

    Parameters
    ----------
    read_per_s : float
        Prompt tokens read in a second.
    """

    def __init__(self, timeline: Timeline, read_per_s: float, memory_tokens: int) -> None:
        self.memory = Memory(memory_tokens)
        self.read_tokens = 0
        self.busy_s = 0.0
        self._timeline = timeline
        self._read_per_s = read_per_s
        self._free_at = 0.0

    def submit(self, run: Run) -> None:
        """Take a request; earlier ones are read first."""
        missing = self.memory.take(run.prompt)
        took = missing / self._read_per_s
        self.read_tokens += missing
        self.busy_s += took
        self._free_at = max(self._free_at, self._timeline.now) + took
        self._timeline.at(self._free_at + _SERIAL_FIRST_S, run.on_first)
        self._timeline.at(self._free_at + _SERIAL_FIRST_S + _SERIAL_ANSWER_S, run.on_done)


@dataclass(frozen=True)
class EngineShape:
    """Figures of a batching engine; the defaults are those of a large model on eight accelerators.

    Attributes
    ----------
    slots : int
        Requests in a batch.
    memory_tokens : int
        For running requests and kept parts together.
    step_s, step_per_slot_s : float
        Time of a step, and what each running request adds.
    read_per_s : float
        Prompt tokens read in a second, beside the step's own time.
    chunk_tokens : int
        Prompt tokens read in one step at most.
    event_tokens : int
        Output tokens in one event of a stream.
    speed : float
        1.0 as given; 0.25 takes four times as long.
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
    read: int = 0
    runs: list[Run] = field(default_factory=list)


class BatchEngine:
    """Runs requests in batches: in each step prompts are read in chunks, oldest first, and every
    request whose prompt has been read generates a token.

    Requests wait in order of arrival for a slot and for memory. Memory of running requests doesn't
    yield, so what is left for kept parts shrinks as the batch fills.
    """

    def __init__(self, timeline: Timeline, shape: EngineShape) -> None:
        self.memory = Memory(shape.memory_tokens)
        self.shape = shape
        self.read_tokens = 0
        self.busy_s = 0.0
        self._timeline = timeline
        self._waiting: deque[Run] = deque()
        self._running: list[Run] = []
        self._stepping = False

    def submit(self, run: Run) -> None:
        """Take a request; earlier ones are admitted first."""
        self._waiting.append(run)
        if not self._stepping:
            self._stepping = True
            self._begin_step()

    def _begin_step(self) -> None:
        self._running = [run for run in self._running if not run.gone]
        self._admit()
        if not self._running:
            self._stepping = False
            return
        step = self._plan_step()
        shape = self.shape
        took = shape.step_s + shape.step_per_slot_s * len(self._running)
        took = (took + step.read / shape.read_per_s) / shape.speed
        self.read_tokens += step.read
        self.busy_s += took
        self._timeline.at(self._timeline.now + took, self._end_step, step)

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self.shape.slots:
            run = self._waiting[0]
            if not run.gone:
                if self._running and not self._fits(run):
                    return
                run.unread = max(1, self.memory.take(run.prompt))
                run.to_generate = run.prompt.output_tokens
                self._running.append(run)
            self._waiting.popleft()
            self._shrink_memory()

    def _fits(self, run: Run) -> bool:
        return self._held_tokens() + _own_tokens(run) <= self.shape.memory_tokens

    def _held_tokens(self) -> int:
        shared = {part.part_id: part.tokens for run in self._running for part in run.prompt.shared}
        return sum(shared.values()) + sum(map(_own_tokens, self._running))

    def _shrink_memory(self) -> None:
        outputs = sum(run.prompt.output_tokens for run in self._running)
        self.memory.tokens = max(0, self.shape.memory_tokens - outputs)

    def _plan_step(self) -> _Step:
        step = _Step()
        for run in self._running:
            if not run.unread:
                step.runs.append(run)
            elif step.read < self.shape.chunk_tokens:
                part = min(run.unread, self.shape.chunk_tokens - step.read)
                run.unread -= part
                step.read += part
        return step

    def _end_step(self, step: _Step) -> None:
        for run in step.runs:
            if not run.gone:
                self._generate(run)
        self._running = [run for run in self._running if run.unread or run.to_generate > 0]
        self._begin_step()

    def _generate(self, run: Run) -> None:
        first = run.to_generate == run.prompt.output_tokens
        run.to_generate -= 1
        now = self._timeline.now
        if first:
            run.last_event_at = now
            run.on_first()
        elif run.to_generate % self.shape.event_tokens == 0:
            run.longest_pause_s = max(run.longest_pause_s, now - run.last_event_at)
            run.last_event_at = now
        if run.to_generate <= 0:
            run.on_done()


def _own_tokens(run: Run) -> int:
    own = run.prompt.parts[-1].tokens if run.prompt.parts else run.prompt.input_tokens
    return own + run.prompt.output_tokens
