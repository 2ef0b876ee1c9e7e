"""Scheduler of the emulated engine: fixed slots, prefix cache, load that is reported late.

As in a real engine there are no priorities: requests take free slots in the order of arrival.
"""

import threading
import time
from collections import OrderedDict, deque
from concurrent.futures import Future
from dataclasses import dataclass, field
from enum import Enum

from turmerictray.core.actor import BackgroundActor


class Fault(Enum):
    """Faults that can be injected into the next requests."""

    NONE = "none"
    SLOW = "slow"
    FAIL = "fail"
    HANG = "hang"
    RESET = "reset"
    NOT_RUN = "not_run"


@dataclass
class Slot:
    """A granted slot, with what the thread of the request needs to run it."""

    req_id: str
    cached_tokens: int
    fault: Fault
    cancel: threading.Event = field(default_factory=threading.Event)


@dataclass
class Admit:
    """Request for a slot; ``reply`` receives the :class:`Slot`."""

    req_id: str
    prefix_key: str
    prompt_tokens: int
    reply: Future = field(default_factory=Future)


@dataclass
class Release:
    """Return of a slot, with the tokens and the seconds that the request used."""

    req_id: str
    team: str
    tokens: int
    busy_s: float


@dataclass
class Cancel:
    """Cancellation of a running or waiting request; answered with whether it was running."""

    req_id: str


@dataclass
class SetFault:
    """Injection of ``mode`` into the next ``count`` requests, or into all when negative."""

    mode: Fault
    count: int


@dataclass
class Order:
    """Model order with its fencing number; answered with (accepted, highest fencing number)."""

    fence: int
    action: str
    models: list[str]


class ModelsQuery:
    """Query of the loaded models and the highest fencing number."""

    pass


class LoadQuery:
    """Query of the lagged load: running and waiting requests, and its age in seconds."""

    pass


class StatsQuery:
    """Query of the counters, as a dict."""

    pass


_LOAD_SAMPLE_INTERVAL_S = 0.05


class Batcher(BackgroundActor):
    """Actor that owns the slots, the request queue, the prefix cache and the counters.

    Parameters
    ----------
    slots : int
        Requests that run at the same time.
    cache_entries : int
        Size of the prefix cache; 0 disables it.
    load_lag_s : float
        Minimum age of the reported load, in seconds.
    check_fencing : bool
        Whether to refuse model orders with an outdated fencing number.
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
        self._sample_load()
        if isinstance(msg, Admit):
            self.waiting.append(msg)
            self._fill_slots()
        elif isinstance(msg, Release):
            self.running.pop(msg.req_id, None)
            self.tokens[msg.team] = self.tokens.get(msg.team, 0) + msg.tokens
            self.busy_s += msg.busy_s
            self._fill_slots()
        elif isinstance(msg, Cancel):
            slot = self.running.get(msg.req_id)
            if slot is not None:
                slot.cancel.set()
            self.waiting = deque(
                admission for admission in self.waiting if admission.req_id != msg.req_id
            )
            return slot is not None
        elif isinstance(msg, SetFault):
            self.fault, self.fault_count = msg.mode, msg.count
        elif isinstance(msg, Order):
            return self._apply_order(msg)
        elif isinstance(msg, ModelsQuery):
            return list(self.models), self.fence
        elif isinstance(msg, LoadQuery):
            return self._lagged_load()
        elif isinstance(msg, StatsQuery):
            return self._build_stats()
        return None

    def _fill_slots(self) -> None:
        while self.waiting and len(self.running) < self.slots:
            admission = self.waiting.popleft()
            cache_hit = admission.prefix_key in self.cache
            if cache_hit:
                self.cache.move_to_end(admission.prefix_key)
            elif self.cache_entries:
                self.cache[admission.prefix_key] = None
                while len(self.cache) > self.cache_entries:
                    self.cache.popitem(last=False)
            slot = Slot(
                admission.req_id, admission.prompt_tokens if cache_hit else 0, self._take_fault()
            )
            self.running[admission.req_id] = slot
            self.executions[admission.req_id] = self.executions.get(admission.req_id, 0) + 1
            admission.reply.set_result(slot)

    def _take_fault(self) -> Fault:
        if self.fault is Fault.NONE or self.fault_count == 0:
            return Fault.NONE
        if self.fault_count > 0:
            self.fault_count -= 1
        return self.fault

    def _apply_order(self, msg: Order) -> tuple[bool, int]:
        if self.check_fencing and msg.fence < self.fence:
            return False, self.fence
        self.fence = max(self.fence, msg.fence)
        self.orders.append((msg.fence, msg.action, msg.models))
        if msg.action == "set_models":
            self.models = list(msg.models)
        return True, self.fence

    def _sample_load(self) -> None:
        now = time.monotonic()
        if not self.samples or now - self.samples[-1][0] >= _LOAD_SAMPLE_INTERVAL_S:
            self.samples.append((now, len(self.running), len(self.waiting)))

    def _lagged_load(self) -> tuple[int, int, float]:
        now = time.monotonic()
        self._sample_load()
        for sampled_at, running, waiting in reversed(self.samples):
            if now - sampled_at >= self.load_lag_s:
                return running, waiting, now - sampled_at
        sampled_at, running, waiting = self.samples[0]
        return running, waiting, now - sampled_at

    def _build_stats(self) -> dict:
        uptime_s = time.monotonic() - self.started
        return {
            "executions": dict(self.executions),
            "tokens": dict(self.tokens),
            "busy_slot_s": self.busy_s,
            "wall_s": uptime_s,
            "slots": self.slots,
            "running": len(self.running),
            "waiting": len(self.waiting),
            "orders": self.orders,
            "fence": self.fence,
            "models": self.models,
        }
