"""Randomised runs of claims under cuts, restarts, freezes and lost votes."""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from turmerictray.config.schema import CutPolicy
from turmerictray.core.ids import NodeId, ZoneId
from turmerictray.core.member import Member
from turmerictray.orders.homes import homes_of
from turmerictray.orders.keys import ClaimKey
from turmerictray.orders.table import VOTES_VALID_S, ClaimTable
from turmerictray.orders.verdict import Verdict, decide
from turmerictray.orders.vote import Vote

MEMBERS = [Member(NodeId(f"r{i}"), ZoneId(f"z{i % 3}")) for i in range(3)]
NODES = [member.node for member in MEMBERS]
KEYS = [ClaimKey(b"van")]
MEMORY_S = 20.0
HEARD = st.sampled_from([True, True, True, False])


class Order:
    """One copy of an order, asking its homes one after the other."""

    def __init__(self, number: int, node: NodeId, key: ClaimKey, now: float) -> None:
        self.holder = f"copy-{number}"
        self.node = node
        self.key = key
        self.asked_at = now
        self.to_ask = homes_of(key, MEMBERS)
        self.votes: list[Vote] = []


class ClaimsMachine(RuleBasedStateMachine):
    """Copies of a few orders enter anywhere; each key must be acted on at most once.

    A copy asks one home per step, so restarts, syncs and cuts come between its votes. A lost
    vote is recorded at the home but not heard by the copy.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.tables = {node: ClaimTable(node, MEMBERS, -MEMORY_S) for node in NODES}
        self.sides = {node: 0 for node in NODES}
        self.pending: list[Order] = []
        self.acted: dict[ClaimKey, list[float]] = {key: [] for key in KEYS}
        self.count = 0

    def _reaches(self, a: NodeId, b: NodeId) -> bool:
        return self.sides[a] == self.sides[b]

    @rule(seconds=st.sampled_from([0.1, 0.3, 1.0]))
    def pass_time(self, seconds):
        self.now += seconds

    @rule(alone=st.sampled_from([None, *NODES]))
    def cut_or_heal(self, alone):
        self.sides = {node: int(node == alone) for node in NODES}

    @rule(node=st.sampled_from(NODES))
    def restart(self, node):
        self.tables[node] = ClaimTable(node, MEMBERS, self.now)
        self.pending = [order for order in self.pending if order.node != node]

    @rule(node=st.sampled_from(NODES), source=st.sampled_from(NODES))
    def sync(self, node, source):
        if node != source and self._reaches(node, source):
            records = self.tables[source].records_for(node, self.now)
            self.tables[node].absorb(source, records, self.now, self.now)

    @precondition(lambda self: len(self.pending) < 2)
    @rule(node=st.sampled_from(NODES), key=st.sampled_from(KEYS))
    def enter(self, node, key):
        self.count += 1
        self.pending.append(Order(self.count, node, key, self.now))

    @rule(node=st.sampled_from(NODES), key=st.sampled_from(KEYS), heard=st.lists(HEARD, min_size=3))
    def send_at_once(self, node, key, heard):
        self.enter(node, key)
        for ear in heard[:3]:
            self._ask(self.pending[-1], ear)

    @precondition(lambda self: self.pending)
    @rule(place=st.integers(0, 1), heard=HEARD)
    def ask_next_home(self, place, heard):
        self._ask(self.pending[place % len(self.pending)], heard)

    def _ask(self, order: Order, heard: bool) -> None:
        home = order.to_ask.pop(0)
        vote = Vote.UNREACHABLE
        if self._reaches(order.node, home):
            recorded = self.tables[home].take(order.key, order.holder, MEMORY_S, self.now)
            vote = recorded if heard else Vote.UNREACHABLE
        order.votes.append(vote)
        if not order.to_ask:
            self._finish(order)

    def _finish(self, order: Order) -> None:
        self.pending.remove(order)
        in_time = self.now - order.asked_at <= VOTES_VALID_S
        if in_time and decide(order.votes, CutPolicy.REFUSE) is Verdict.GRANTED:
            self.acted[order.key].append(self.now)

    @invariant()
    def acted_at_most_once(self):
        for key, times in self.acted.items():
            for earlier, later in zip(times, times[1:], strict=False):
                assert later - earlier > MEMORY_S - VOTES_VALID_S, (key, times)


ClaimsMachine.TestCase.settings = settings(
    max_examples=300, stateful_step_count=60, deadline=None, derandomize=True
)
TestClaims = ClaimsMachine.TestCase
