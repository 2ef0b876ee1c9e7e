"""A storm of prompts with a crashing part, in virtual time, with the production attribution."""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from turmerictray.core.ids import RequestDigest, ServiceName, TargetId, TeamId
from turmerictray.crashes.fingerprint import Fingerprint, ServicePart
from turmerictray.crashes.parts import Suspicion
from turmerictray.crashes.quarantine import Quarantine
from turmerictray.routing.load import CRASH_ATTRIBUTION_S
from turmerictray.routing.prompt import PartId

LLM = ServiceName("llm")
CULPRIT = PartId("culprit")
FIRST_EVENT_S = 0.15
ANSWER_S = 1.2
RESTART_S = 3.0
SETTLE_S = 3.0


@dataclass(frozen=True)
class Storm:
    """Load, in requests per second, and faults.

    Attributes
    ----------
    culprits_per_s, sound_per_s : float
    sessions : int
        Number of parts that only the requests of one session share.
    crashes_per_s : float
        Crashes of engines by themselves, of all engines together.
    """

    engines: int = 9
    culprits_per_s: float = 1.0
    sound_per_s: float = 40.0
    sessions: int = 400
    crashes_per_s: float = 0.0
    seconds: float = 40.0


@dataclass
class Outcome:
    """What was sent and refused; times are virtual seconds."""

    crashes_at: list[float] = field(default_factory=list)
    sound_sent: int = 0
    sound_refused: int = 0

    @property
    def late_sends(self) -> int:
        """Crashes by the culprit later than the time to react to the fifth."""
        if len(self.crashes_at) < 5:
            return 0
        return sum(at > self.crashes_at[4] + SETTLE_S for at in self.crashes_at)


class _Engine:
    def __init__(self) -> None:
        self.started: dict[int, tuple[float, Fingerprint]] = {}
        self.incarnation = 0
        self.back_at = 0.0


def play(storm: Storm, seed: int, decide: Callable[..., bool] | None = None) -> Outcome:
    """Play a storm; ``decide`` replaces the production rule of which requests are refused."""
    rng, outcome, quarantine = random.Random(seed), Outcome(), Quarantine()
    engines = [_Engine() for _ in range(storm.engines)]
    numbers = itertools.count()
    events: list = []

    def at(time: float, action: Callable, *args) -> None:
        heapq.heappush(events, (time, next(numbers), action, args))

    def refuses(request: Fingerprint, now: float) -> bool:
        if decide is not None:
            return decide(quarantine, request, now)
        return quarantine.suspicion(request, now) is Suspicion.HELD

    def send(now: float, request: Fingerprint, attempts: int = 0) -> None:
        is_culprit = ServicePart(LLM, CULPRIT) in request.parts
        if refuses(request, now):
            outcome.sound_refused += not is_culprit
            return
        up = [engine for engine in engines if engine.back_at <= now]
        isolated = quarantine.suspicion(request, now) is Suspicion.ISOLATED
        if isolated:
            parts = quarantine.isolated_parts(request, now)
            starting = {id(e): [r for _, r in e.started.values()] for e in up}
            if any(not parts.isdisjoint(r.parts) for rs in starting.values() for r in rs):
                up = []
            up = [e for e in up if not any(quarantine.suspicion(r, now) for r in starting[id(e)])]
        if not up:
            if attempts < 20:
                at(now + 0.1, send, request, attempts + 1)
            else:
                outcome.sound_refused += not is_culprit
            return
        engine, number = rng.choice(up), next(numbers)
        outcome.sound_sent += not is_culprit
        engine.started[number] = (now, request)
        incarnation = engine.incarnation
        if is_culprit:
            at(now + FIRST_EVENT_S, crash, engine, incarnation, isolated, number)
        else:
            at(now + FIRST_EVENT_S + CRASH_ATTRIBUTION_S, engine.started.pop, number, None)
            at(now + ANSWER_S, answer, engine, incarnation, request)

    def answer(now: float, engine: _Engine, incarnation: int, request: Fingerprint) -> None:
        if engine.incarnation == incarnation:
            quarantine.record_answer(request, now)

    def crash(now: float, engine: _Engine, incarnation: int, isolated: bool, number: int) -> None:
        if engine.incarnation != incarnation or engine.back_at > now:
            return
        if number >= 0:
            outcome.crashes_at.append(now)
        target = TargetId(f"e{engines.index(engine)}.{incarnation}")
        broken, engine.started = engine.started, {}
        engine.incarnation += 1
        engine.back_at = now + RESTART_S
        for key, (_, request) in broken.items():
            quarantine.record_crash(request, target, now, isolated and key == number)
            if key != number and quarantine.may_retry(request, now):
                at(now + 0.05, send, request)

    def arrive(now: float, rate: float, is_culprit: bool) -> None:
        names = [f"system{rng.randrange(3)}", f"session{rng.randrange(storm.sessions)}"]
        names.insert(rng.randrange(3), CULPRIT) if is_culprit else None
        parts = tuple(ServicePart(LLM, PartId(name)) for name in names)
        digest = RequestDigest(f"d{next(numbers)}")
        send(now, Fingerprint(digest, TeamId(f"t{rng.randrange(4)}"), parts))
        at(now + rng.expovariate(rate), arrive, rate, is_culprit)

    def crash_any(now: float) -> None:
        engine = rng.choice(engines)
        crash(now, engine, engine.incarnation, False, -1)
        at(now + rng.expovariate(storm.crashes_per_s), crash_any)

    at(0.0, arrive, storm.sound_per_s, False)
    if storm.culprits_per_s:
        at(2.0, arrive, storm.culprits_per_s, True)
    if storm.crashes_per_s:
        at(0.0, crash_any)
    while events and events[0][0] < storm.seconds:
        time, _, action, args = heapq.heappop(events)
        action(*args) if action.__name__ == "pop" else action(time, *args)
    return outcome
