"""What holds for a pool under any sequence of requests, answers and lost targets."""

import itertools
from concurrent.futures import Future

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from turmerictray.admission.budget import RetryBudget
from turmerictray.admission.pool import Outcome, ServicePool, Wanted
from turmerictray.config.routes import EngineSpec, ServiceSpec
from turmerictray.core.errors import AdmissionError
from turmerictray.core.ids import NodeId, RequestId, ServiceName, TargetId, TeamId, ZoneId
from turmerictray.fairness.queue import Pending
from turmerictray.fairness.recent import RecentService
from turmerictray.routing.load import TargetInfo
from turmerictray.routing.prompt import Part, PartId, Prompt

LLM, ZONE, SLOTS = ServiceName("llm"), ZoneId("z"), 3
OBJECTIVE_S = 0.8


class PoolMachine(RuleBasedStateMachine):
    """One router's pool of three engines."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        ledger = RecentService(NodeId("r1"), lambda: self.now)
        self.pool = ServicePool(LLM, ZONE, ledger, RetryBudget(0.2, 50, 10))
        self.pool.targets.set_spec(ServiceSpec(LLM, EngineSpec(SLOTS, 100_000)))
        for number in range(3):
            self.list_target(number)
        self.ids = itertools.count(1)
        self.offered: set[int] = set()
        self.ended: list[int] = []
        self.sent: dict[int, TargetId] = {}
        self.unread: set[int] = set()

    def list_target(self, number: int) -> None:
        self.pool.targets.take(TargetInfo(TargetId(f"e{number}"), LLM, "h:1", ZONE, SLOTS))

    def pump(self) -> None:
        while (sent := self.pool.next_sent(self.now)) is not None:
            call_id = sent.item.context.call_id
            assert call_id not in self.sent
            self.sent[call_id] = sent.placement.load.info.id
            self.unread.add(call_id)

    @rule(
        team=st.sampled_from("abc"),
        subject=st.integers(0, 5),
        own=st.integers(1, 60_000),
    )
    def offer(self, team, subject, own):
        call_id = next(self.ids)
        parts = (Part(PartId(f"s{subject}"), 5000), Part(PartId(f"o{call_id}"), own))
        prompt = Prompt(parts, 5000 + own, 50)
        wanted = Wanted(call_id, prompt)
        until = self.now + OBJECTIVE_S
        item = Pending(RequestId(str(call_id)), TeamId(team), prompt.cost, until, Future(), wanted)
        self.offered.add(call_id)
        try:
            self.pool.offer(item, self.now)
        except AdmissionError:
            self.ended.append(call_id)
        self.pump()

    @precondition(lambda self: self.unread)
    @rule(data=st.data(), took=st.floats(0.001, 5.0))
    def first_event(self, data, took):
        call_id = data.draw(st.sampled_from(sorted(self.unread)))
        self.unread.discard(call_id)
        self.pool.targets.first_event(self.sent[call_id], call_id, took)
        self.pump()

    @precondition(lambda self: self.sent)
    @rule(data=st.data(), outcome=st.sampled_from(Outcome))
    def end(self, data, outcome):
        call_id = data.draw(st.sampled_from(sorted(self.sent)))
        self.unread.discard(call_id)
        self.pool.settle(self.sent.pop(call_id), call_id, outcome, self.now)
        self.ended.append(call_id)
        self.pump()

    @rule(seconds=st.floats(0.01, 3.0))
    def wait(self, seconds):
        self.now += seconds
        self.ended += [item.context.call_id for item in self.pool.expire(self.now)]
        self.pump()

    @rule(data=st.data())
    def withdraw(self, data):
        call_id = data.draw(st.integers(1, 30))
        if self.pool.withdraw(call_id) is not None:
            self.ended.append(call_id)

    @rule(number=st.integers(0, 2))
    def target_comes_back_as_new(self, number):
        self.pool.targets.drop(TargetId(f"e{number}"))
        self.list_target(number)
        self.pump()

    @invariant()
    def every_request_is_in_one_place(self):
        waiting = {
            item.context.call_id
            for team in self.pool.queue.backlogged()
            for item in self.pool.queue.waiting(team, 1000)
        }
        assert len(self.ended) == len(set(self.ended))
        assert not waiting & (self.sent.keys() | set(self.ended))
        assert waiting | self.sent.keys() | set(self.ended) == self.offered

    @invariant()
    def no_target_runs_more_than_its_slots(self):
        for load in self.pool.targets.loads.values():
            assert 0 <= load.running <= SLOTS

    @invariant()
    def no_pool_idles_while_work_waits(self):
        # One prompt may wait for the engine that keeps its part while another engine idles; but a
        # pool without any work must not keep a request waiting.
        if len(self.pool.queue):
            assert any(load.running for load in self.pool.targets.loads.values())

    @invariant()
    def nobody_is_held_for_a_request_that_waits_no_more(self):
        held = {call_id for load in self.pool.targets.loads.values() for call_id in load.held}
        assert held <= self.offered - self.sent.keys() - set(self.ended)


TestPool = PoolMachine.TestCase
TestPool.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
