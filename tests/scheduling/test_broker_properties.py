"""A broker under arbitrary sequences of messages: none fails, and every request gets an answer."""

import itertools
import time

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from turmerictray.admission.pool_types import Outcome
from turmerictray.config.routes import EngineSpec, RoutingConfig, ServiceSpec, TeamSpec
from turmerictray.core.ids import (
    NodeId,
    RequestDigest,
    RequestId,
    ServiceName,
    SoftwareVersion,
    StreamKey,
    TargetId,
    TeamId,
    ZoneId,
)
from turmerictray.core.reply import Reply
from turmerictray.core.timer import Tick
from turmerictray.crashes.fingerprint import CrashVerdict, Fingerprint, shared_parts
from turmerictray.membership.messages import MemberEntry, PartRead, RouterSummary, TargetWork
from turmerictray.router.active_config import ActiveConfig, RetryLimits
from turmerictray.router.published import StorePosition
from turmerictray.routing.cold import ColdSpec
from turmerictray.routing.load import TargetGone, TargetInfo, TargetPhase
from turmerictray.routing.prompt import PartId, Prompt, PromptPart
from turmerictray.scheduling.broker import Broker
from turmerictray.scheduling.broker_messages import (
    Ask,
    BrokerQuery,
    FirstEvent,
    KeptHeard,
    OnTick,
    PeerHeard,
    RoutersAlive,
    ServiceHeard,
    Settled,
    SummaryQuery,
    TargetLeaving,
    TargetsChanged,
    TargetsListed,
    TextArrived,
    Withdraw,
    ZonesEvacuated,
)
from turmerictray.scheduling.messages import ServiceGiven, StreamsBegun
from turmerictray.scheduling.shards import ShardId

SERVICES = [ServiceName(name) for name in ("llm", "other")]
TEAMS = [TeamId(name) for name in "abc"]
TARGETS = [TargetId(f"e{number}") for number in range(40)]
ZONES = [ZoneId(name) for name in ("z0", "z1")]
NODES = ["r1", "r2", "r3"]
VERSIONS = [SoftwareVersion(name) for name in ("v1", "v2")]
WAIT_S = 0.8

services = st.sampled_from(SERVICES[:1] * 4 + SERVICES[1:])
targets = st.sampled_from(TARGETS)
tokens = st.sampled_from([0, 1, 200, 1500, 9000, 60_000])
zones = st.frozensets(st.sampled_from(ZONES))
specs = st.builds(
    ServiceSpec,
    st.just(SERVICES[0]),
    st.none() | st.builds(EngineSpec, st.just(4), st.sampled_from([0, 100_000])),
    st.sampled_from([ColdSpec(), ColdSpec(2.0, 5.0)]),
)
infos = st.builds(
    TargetInfo,
    targets,
    services,
    st.just("h:1"),
    st.sampled_from(ZONES),
    st.integers(1, 4),
    st.sampled_from([TargetPhase.READY] * 5 + [TargetPhase.LEAVING]),
    cold_s=st.sampled_from([0.0, 2.0]),
    version=st.sampled_from(VERSIONS),
)
prompts = st.builds(
    lambda subject, length: Prompt(
        (PromptPart(PartId(f"s{subject}"), 3000), PromptPart(PartId("own"), length)),
        3000 + length,
        50,
    ),
    st.integers(0, 4),
    tokens,
)


class BrokerMachine(RuleBasedStateMachine):
    """State machine of one broker, whose messages are handled on the test's thread."""

    def __init__(self) -> None:
        super().__init__()
        limits = RetryLimits(window_s=3600.0)
        self.broker = Broker(NodeId("r1"), ZONES[0], 1, ActiveConfig(), limits)
        self.ids = itertools.count(1)
        self.versions = itertools.count(1)
        self.asked: dict[int, Reply] = {}
        self.repeats: set[int] = set()
        self.send(OnTick((), self.encode, self.encode, self))
        self.send(
            TextArrived(self.config(ServiceSpec(SERVICES[0], EngineSpec(4, 100_000))), "test")
        )
        self.send(
            TargetsListed(
                [TargetInfo(target, SERVICES[0], "h:1", ZONES[0], 4) for target in TARGETS]
            )
        )

    def send(self, message: object) -> object:
        # Without a supervisor an unexpected exception is raised.
        return self.broker.on_receive(message)

    def encode(self, *args: object) -> int:
        return len(msgspec.msgpack.encode(args[-1]))

    def stream_record_holders(self, service: ServiceName) -> list[MemberEntry]:
        return [MemberEntry("peer", "z", "", 1, 20)]

    def reconnect(self, receiver: MemberEntry) -> None:
        pass

    def send_streams_begun(self, receiver: MemberEntry, report: StreamsBegun) -> bool:
        return bool(self.encode(report))

    def config(self, spec: ServiceSpec) -> RoutingConfig:
        teams = tuple(TeamSpec(team, weight=2.0) for team in TEAMS)
        return RoutingConfig(next(self.versions), services={spec.name: spec}, teams=teams)

    @rule(
        team=st.sampled_from(TEAMS),
        service=services,
        prompt=prompts | st.none(),
        shard=st.sampled_from([ShardId(), ShardId(0, 2), ShardId(1, 2), ShardId(3, 4)]),
        attempt=st.sampled_from(["first", "retry", "repeat"]),
        origin=st.sampled_from(["", *NODES]),
        home_zones=st.none() | zones,
        version=st.none() | st.sampled_from(VERSIONS),
        resumes=st.none() | st.just(StreamKey(1)),
        is_gone=st.booleans(),
    )
    def ask(
        self, team, service, prompt, shard, attempt, origin, home_zones, version, resumes, is_gone
    ):
        call_id, reply, now = next(self.ids), Reply(), time.monotonic()
        retry = attempt != "first"
        if attempt == "repeat":
            self.repeats.add(call_id)
        if is_gone:
            reply.cancel()
        self.asked[call_id] = reply
        ask = Ask(
            call_id,
            RequestId(str(call_id)),
            team,
            service,
            prompt.cost if prompt else 1.0,
            prompt,
            now + WAIT_S,
            reply,
            frozenset(TARGETS[:2]) if retry else frozenset(),
            retry,
            attempt == "repeat",
            origin=NodeId(origin),
            answer_deadline=now + 2 * WAIT_S,
            shard=shard,
            digest=RequestDigest(f"d{call_id % 3}"),
            home_zones=home_zones,
            version=version,
            resumes=resumes,
        )
        self.send(ask)

    @precondition(lambda self: self.asked)
    @rule(data=st.data(), engine=targets, service=services, took_s=st.floats(0, 5))
    def first_event(self, data, engine, service, took_s):
        call_id = data.draw(st.sampled_from(sorted(self.asked)))
        self.send(FirstEvent(call_id, service, engine, took_s, StreamKey(1), VERSIONS[0]))

    @precondition(lambda self: self.asked)
    @rule(
        data=st.data(),
        any_target=targets,
        outcome=st.sampled_from(Outcome),
        crashed=st.none() | st.booleans(),
    )
    def settled(self, data, any_target, outcome, crashed):
        call_id = data.draw(st.sampled_from(sorted(self.asked)))
        reply, target = self.asked[call_id], any_target
        if reply.done() and not reply.cancelled() and reply.exception() is None:
            target = reply.result().target.id
        verdict = None
        if crashed is not None:
            prompt = Prompt((PromptPart(PartId("s0"), 1), PromptPart(PartId("own"), 1)), 2, 1)
            parts = shared_parts(SERVICES[0], prompt)
            fingerprint = Fingerprint(RequestDigest("d0"), TEAMS[0], parts)
            verdict = CrashVerdict(crashed, fingerprint, True)
        self.send(Settled(call_id, SERVICES[0], target, outcome, 100.0, verdict))

    @precondition(lambda self: self.asked)
    @rule(data=st.data(), service=services)
    def withdraw(self, data, service):
        self.send(Withdraw(data.draw(st.sampled_from(sorted(self.asked))), service))

    @rule(spec=specs)
    def text_arrives(self, spec):
        self.send(TextArrived(self.config(spec), "test"))

    @rule(changes=st.lists(infos | targets.map(TargetGone), max_size=14))
    def targets_change(self, changes):
        self.send(TargetsChanged(changes))

    @rule(listed=st.lists(infos, max_size=30))
    def targets_are_listed(self, listed):
        self.send(TargetsListed(listed))

    @rule(engine=targets, service=services)
    def target_leaves(self, engine, service):
        self.send(TargetLeaving(service, engine))

    @rule(evacuated=zones)
    def zones_are_evacuated(self, evacuated):
        self.send(ZonesEvacuated(evacuated, StorePosition(0, 1), "test"))

    @rule(node=st.sampled_from(NODES), engine=targets, count=tokens, team=st.sampled_from(TEAMS))
    def peers_report(self, node, engine, count, team):
        work, read = TargetWork(engine, 1, count), PartRead(engine, "s0", count)
        usage = {team: float(count)}
        self.send(PeerHeard(RouterSummary(node, 1, 1, [work], usage, [team], [read])))
        self.send(ServiceHeard(ServiceGiven(node, 1, usage, [team])))
        self.send(KeptHeard({engine: [PromptPart(PartId("s1"), count)]}, True))

    @rule(nodes=st.frozensets(st.sampled_from(NODES)))
    def routers_come_and_go(self, nodes):
        self.send(RoutersAlive(nodes | {"r1"}))

    @rule(late_s=st.sampled_from([0.0, 0.0, 1.0]))
    def tick(self, late_s):
        self.send(Tick("expire", time.monotonic() - late_s))

    @rule()
    def queries(self):
        self.encode(self.send(SummaryQuery()))
        msgspec.json.encode(self.send(BrokerQuery()))

    def queued(self) -> set[int]:
        return {
            request.context.call_id
            for pool in self.broker.pools.all()
            for request in pool.waiting_requests()
        }

    @invariant()
    def unanswered_requests_are_queued(self):
        unanswered = {call_id for call_id, reply in self.asked.items() if not reply.done()}
        assert unanswered <= self.queued()

    @invariant()
    def retry_budget_is_charged_for_repeats_that_are_granted_or_queued(self):
        granted = {
            call_id
            for call_id, reply in self.asked.items()
            if reply.done() and not reply.cancelled() and reply.exception() is None
        }
        charged = sum(len(pool.budget._retries) for pool in self.broker.pools.all_unsharded())
        assert charged == len(self.repeats & (granted | self.queued()))


TestBroker = BrokerMachine.TestCase
TestBroker.settings = settings(max_examples=40, stateful_step_count=50, deadline=None)
