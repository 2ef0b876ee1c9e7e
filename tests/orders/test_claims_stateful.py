"""Randomised claims under network partitions, restarts, pauses and lost votes."""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from turmerictray.config.schema import PartitionPolicy
from turmerictray.core.ids import NodeId, ZoneId
from turmerictray.core.member import Member
from turmerictray.orders.keys import ClaimKey
from turmerictray.orders.replica_selection import replicas_of
from turmerictray.orders.table import VOTES_VALID_S, ClaimTable
from turmerictray.orders.verdict import Verdict, decide
from turmerictray.orders.vote import Vote

MEMBERS = [Member(NodeId(f"r{i}"), ZoneId(f"z{i % 3}")) for i in range(3)]
NODES = [member.node for member in MEMBERS]
KEYS = [ClaimKey(b"van")]
RETENTION_S = 20.0
VOTE_ARRIVES = st.sampled_from([True, True, True, False])


class Order:
    """One copy of an order, which is claimed at its replicas one after the other."""

    def __init__(self, number: int, node: NodeId, key: ClaimKey, now: float) -> None:
        self.holder = f"copy-{number}"
        self.node = node
        self.key = key
        self.requested_at = now
        self.remaining_replicas = replicas_of(key, MEMBERS)
        self.votes: list[Vote] = []


class ClaimsMachine(RuleBasedStateMachine):
    """Copies of a few orders arrive at any router; each key must be executed at most once.

    A copy gets one vote per step, so restarts, syncs and partitions occur between its votes. A lost
    vote is a claim that the replica has stored, but whose vote does not reach the copy.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.tables = {node: ClaimTable(node, MEMBERS, -RETENTION_S) for node in NODES}
        self.sides = {node: 0 for node in NODES}
        self.pending: list[Order] = []
        self.executed: dict[ClaimKey, list[float]] = {key: [] for key in KEYS}
        self.count = 0

    def _reaches(self, a: NodeId, b: NodeId) -> bool:
        return self.sides[a] == self.sides[b]

    @rule(seconds=st.sampled_from([0.1, 0.3, 1.0]))
    def pass_time(self, seconds):
        self.now += seconds

    @rule(isolated=st.sampled_from([None, *NODES]))
    def change_partition(self, isolated):
        self.sides = {node: int(node == isolated) for node in NODES}

    @rule(node=st.sampled_from(NODES))
    def restart(self, node):
        self.tables[node] = ClaimTable(node, MEMBERS, self.now)
        self.pending = [order for order in self.pending if order.node != node]

    @rule(node=st.sampled_from(NODES), source=st.sampled_from(NODES))
    def sync(self, node, source):
        if node != source and self._reaches(node, source):
            records = self.tables[source].records_for(node, self.now)
            self.tables[node].merge_records(source, records, self.now, self.now)

    @precondition(lambda self: len(self.pending) < 2)
    @rule(node=st.sampled_from(NODES), key=st.sampled_from(KEYS))
    def enter_copy(self, node, key):
        self.count += 1
        self.pending.append(Order(self.count, node, key, self.now))

    @rule(
        node=st.sampled_from(NODES),
        key=st.sampled_from(KEYS),
        arrives=st.lists(VOTE_ARRIVES, min_size=3),
    )
    def send_at_once(self, node, key, arrives):
        self.enter_copy(node, key)
        for vote_arrives in arrives[:3]:
            self._request_vote(self.pending[-1], vote_arrives)

    @precondition(lambda self: self.pending)
    @rule(index=st.integers(0, 1), arrives=VOTE_ARRIVES)
    def ask_next_replica(self, index, arrives):
        self._request_vote(self.pending[index % len(self.pending)], arrives)

    def _request_vote(self, order: Order, arrives: bool) -> None:
        replica = order.remaining_replicas.pop(0)
        vote = Vote.UNREACHABLE
        if self._reaches(order.node, replica):
            recorded = self.tables[replica].acquire(order.key, order.holder, RETENTION_S, self.now)
            vote = recorded if arrives else Vote.UNREACHABLE
        order.votes.append(vote)
        if not order.remaining_replicas:
            self._finish(order)

    def _finish(self, order: Order) -> None:
        self.pending.remove(order)
        in_time = self.now - order.requested_at <= VOTES_VALID_S
        if in_time and decide(order.votes, PartitionPolicy.REFUSE) is Verdict.GRANTED:
            self.executed[order.key].append(self.now)

    @invariant()
    def executed_at_most_once(self):
        for key, times in self.executed.items():
            for earlier, later in zip(times, times[1:], strict=False):
                assert later - earlier > RETENTION_S - VOTES_VALID_S, (key, times)


ClaimsMachine.TestCase.settings = settings(
    max_examples=300, stateful_step_count=60, deadline=None, derandomize=True
)
TestClaims = ClaimsMachine.TestCase
