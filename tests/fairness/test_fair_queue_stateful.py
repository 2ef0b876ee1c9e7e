"""Randomised runs of the fair queue with its invariants checked after every step."""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from turmerictray.core.errors import QueueFull
from turmerictray.core.ids import NodeId, RequestId, TeamId
from turmerictray.fairness.ledger import ServiceLedger
from turmerictray.fairness.queue import FairQueue, Pending

TEAMS = [TeamId(name) for name in ("depot", "riders", "kiosks")]
LIMIT = 4


class FairQueueMachine(RuleBasedStateMachine):
    """Push, pop, settle and expire at random; compare with a plain model."""

    def __init__(self) -> None:
        super().__init__()
        self.ledger = ServiceLedger(NodeId("r0"))
        self.ledger.weights = {TEAMS[0]: 2.0, TEAMS[1]: 1.0, TEAMS[2]: 1.0}
        self.queue = FairQueue(self.ledger, LIMIT, retry_after=1.0)
        self.model: dict[TeamId, list[str]] = {team: [] for team in TEAMS}
        self.out: set[str] = set()
        self.count = 0
        self.now = 0.0

    @rule(team=st.sampled_from(TEAMS), hint=st.floats(1, 100), life=st.floats(0.1, 5))
    def push(self, team, hint, life):
        self.count += 1
        req = RequestId(f"q{self.count}")
        try:
            self.queue.push(Pending(req, team, hint, self.now + life))
        except QueueFull as exc:
            assert len(self.model[team]) >= LIMIT and exc.retry_after > 0
            return
        self.model[team].append(req)

    @precondition(lambda self: any(self.model.values()))
    @rule(cost=st.floats(0, 200))
    def pop_and_settle(self, cost):
        least = min(self.ledger.normalised(t) for t in TEAMS if self.model[t])
        item = self.queue.pop()
        assert item is not None
        assert self.ledger.normalised(item.team) == least, "served a team that was not least"
        assert self.model[item.team][0] == item.req_id, "not FIFO within the team"
        self.model[item.team].pop(0)
        assert item.req_id not in self.out, "served twice"
        self.out.add(item.req_id)
        self.ledger.charge(item.team, item.hint)
        self.ledger.settle(item.team, item.hint, cost)

    @rule(step=st.floats(0.1, 3))
    def expire(self, step):
        self.now += step
        for item in self.queue.expire(self.now):
            assert item.deadline <= self.now
            self.model[item.team].remove(item.req_id)
            assert item.req_id not in self.out
            self.out.add(item.req_id)

    @invariant()
    def same_as_model(self):
        for team in TEAMS:
            assert self.queue.depth(team) == len(self.model[team])
        assert len(self.queue) == sum(len(v) for v in self.model.values())

    @invariant()
    def provisional_never_negative(self):
        assert all(v >= 0 for v in self.ledger.provisional.values())


FairQueueMachine.TestCase.settings = settings(
    max_examples=200, stateful_step_count=40, deadline=None
)
TestFairQueue = FairQueueMachine.TestCase
