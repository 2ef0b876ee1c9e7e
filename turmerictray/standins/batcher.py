"""The engine stand-in's scheduler: fixed slots, arrival order, prefix cache, lagged load.

Like a real engine it knows no priorities: requests take free slots in the order they arrive.
"""

import threading
import time
from collections import OrderedDict, deque
from concurrent.futures import Future
from dataclasses import dataclass, field
from enum import Enum

from turmerictray.core.actor import BackgroundActor


class Fault(Enum):
    """Faults the engine can be told to inject into coming requests."""

    NONE = "none"
    SLOW = "slow"
    FAIL = "fail"
    HANG = "hang"
    RESET = "reset"
    NOT_RUN = "not_run"


@dataclass
class Slot:
    """A granted slot: what the request thread needs to run."""

    req_id: str
    cached_tokens: int
    fault: Fault
    cancel: threading.Event = field(default_factory=threading.Event)


@dataclass
class Admit:
    req_id: str
    prefix_key: str
    prompt_tokens: int
    reply: Future = field(default_factory=Future)


@dataclass
class Release:
    req_id: str
    team: str
    tokens: int
    busy_s: float


@dataclass
class Cancel:
    req_id: str


@dataclass
class SetFault:
    mode: Fault
    count: int


@dataclass
class Order:
    fence: int
    action: str
    models: list[str]


class ModelsQuery:
    pass


class LoadQuery:
    pass


class StatsQuery:
    pass


_LOAD_SAMPLE_S = 0.05


class Batcher(BackgroundActor):
    """Owns the engine's slots, waiting line, prefix cache and counters.

    Parameters
    ----------
    slots : int
    cache_entries : int
    load_lag_s : float
    check_fencing : bool
    """

    def __init__(
        self, slots: int, cache_entries: int, load_lag_s: float, check_fencing: bool
    ) -> None:
        super().__init__()
        self.slots = slots
        self.cache_entries = cache_entries
        self.load_lag_s = load_lag_s
        self.check_fencing = check_fencing
        self.running: dict[str, Slot] = {}
        self.waiting: deque[Admit] = deque()
        self.cache: OrderedDict[str, None] = OrderedDict()
        self.fault, self.fault_count = Fault.NONE, 0
        self.fence = 0
        self.orders: list[tuple[int, str, list[str]]] = []
        self.models: list[str] = []
        self.executions: dict[str, int] = {}
        self.tokens: dict[str, int] = {}
        self.busy_s = 0.0
        self.started = time.monotonic()
        self.samples: deque[tuple[float, int, int]] = deque(maxlen=4096)

    def on_receive(self, msg: object) -> object:
        self._sample()
        if isinstance(msg, Admit):
            self.waiting.append(msg)
            self._fill()
        elif isinstance(msg, Release):
            self.running.pop(msg.req_id, None)
            self.tokens[msg.team] = self.tokens.get(msg.team, 0) + msg.tokens
            self.busy_s += msg.busy_s
            self._fill()
        elif isinstance(msg, Cancel):
            slot = self.running.get(msg.req_id)
            if slot is not None:
                slot.cancel.set()
            self.waiting = deque(a for a in self.waiting if a.req_id != msg.req_id)
            return slot is not None
        elif isinstance(msg, SetFault):
            self.fault, self.fault_count = msg.mode, msg.count
        elif isinstance(msg, Order):
            return self._order(msg)
        elif isinstance(msg, ModelsQuery):
            return list(self.models), self.fence
        elif isinstance(msg, LoadQuery):
            return self._lagged_load()
        elif isinstance(msg, StatsQuery):
            return self._stats()
        return None

    def _fill(self) -> None:
        while self.waiting and len(self.running) < self.slots:
            adm = self.waiting.popleft()
            hit = adm.prefix_key in self.cache
            if hit:
                self.cache.move_to_end(adm.prefix_key)
            elif self.cache_entries:
                self.cache[adm.prefix_key] = None
                while len(self.cache) > self.cache_entries:
                    self.cache.popitem(last=False)
            slot = Slot(adm.req_id, adm.prompt_tokens if hit else 0, self._take_fault())
            self.running[adm.req_id] = slot
            self.executions[adm.req_id] = self.executions.get(adm.req_id, 0) + 1
            adm.reply.set_result(slot)

    def _take_fault(self) -> Fault:
        if self.fault is Fault.NONE or self.fault_count == 0:
            return Fault.NONE
        if self.fault_count > 0:
            self.fault_count -= 1
        return self.fault

    def _order(self, msg: Order) -> tuple[bool, int]:
        if self.check_fencing and msg.fence < self.fence:
            return False, self.fence
        self.fence = max(self.fence, msg.fence)
        self.orders.append((msg.fence, msg.action, msg.models))
        if msg.action == "set_models":
            self.models = list(msg.models)
        return True, self.fence

    def _sample(self) -> None:
        now = time.monotonic()
        if not self.samples or now - self.samples[-1][0] >= _LOAD_SAMPLE_S:
            self.samples.append((now, len(self.running), len(self.waiting)))

    def _lagged_load(self) -> tuple[int, int, float]:
        now = time.monotonic()
        self._sample()
        for ts, running, waiting in reversed(self.samples):
            if now - ts >= self.load_lag_s:
                return running, waiting, now - ts
        ts, running, waiting = self.samples[0]
        return running, waiting, now - ts

    def _stats(self) -> dict:
        wall = time.monotonic() - self.started
        return {
            "executions": dict(self.executions),
            "tokens": dict(self.tokens),
            "busy_slot_s": self.busy_s,
            "wall_s": wall,
            "slots": self.slots,
            "running": len(self.running),
            "waiting": len(self.waiting),
            "orders": self.orders,
            "fence": self.fence,
            "models": self.models,
        }
