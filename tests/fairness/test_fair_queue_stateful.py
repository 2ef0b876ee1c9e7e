"""Randomised runs of the fair queue, with its invariants checked after every step."""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from turmerictray.core.errors import QueueFull
from turmerictray.core.ids import NodeId, RequestId, TeamId
from turmerictray.fairness.ledger import UsageLedger
from turmerictray.fairness.queue import FairQueue, PendingRequest

TEAMS = [TeamId(name) for name in ("depot", "riders", "kiosks")]
LIMIT = 4


class FairQueueMachine(RuleBasedStateMachine):
    """Random pushes, pops, settlements and expiries, compared with a plain model."""

    def __init__(self) -> None:
        super().__init__()
        self.ledger = UsageLedger(NodeId("r0"))
        self.ledger.weights = {TEAMS[0]: 2.0, TEAMS[1]: 1.0, TEAMS[2]: 1.0}
        self.queue = FairQueue(self.ledger, LIMIT, retry_after=1.0)
        self.model: dict[TeamId, list[str]] = {team: [] for team in TEAMS}
        self.removed: set[str] = set()
        self.count = 0
        self.now = 0.0

    @rule(team=st.sampled_from(TEAMS), estimated_cost=st.floats(1, 100), lifetime=st.floats(0.1, 5))
    def push(self, team, estimated_cost, lifetime):
        self.count += 1
        req = RequestId(f"q{self.count}")
        try:
            self.queue.push(PendingRequest(req, team, estimated_cost, self.now + lifetime))
        except QueueFull as exc:
            assert len(self.model[team]) >= LIMIT and exc.retry_after > 0
            return
        self.model[team].append(req)

    @precondition(lambda self: any(self.model.values()))
    @rule(cost=st.floats(0, 200))
    def pop_and_settle(self, cost):
        lowest = min(self.ledger.normalised(t) for t in TEAMS if self.model[t])
        pending = self.queue.pop()
        assert pending is not None
        assert (
            self.ledger.normalised(pending.team) == lowest
        ), "served a team without the lowest usage"
        assert self.model[pending.team][0] == pending.req_id, "not FIFO within the team"
        self.model[pending.team].pop(0)
        assert pending.req_id not in self.removed, "served twice"
        self.removed.add(pending.req_id)
        self.ledger.charge(pending.team, pending.estimated_cost)
        self.ledger.settle(pending.team, pending.estimated_cost, cost)

    @rule(step=st.floats(0.1, 3))
    def expire(self, step):
        self.now += step
        for pending in self.queue.expire(self.now):
            assert pending.deadline <= self.now
            self.model[pending.team].remove(pending.req_id)
            assert pending.req_id not in self.removed
            self.removed.add(pending.req_id)

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
