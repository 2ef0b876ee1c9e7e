"""Which software version a broker requires for a request that takes up a stream."""

import math
import time
from concurrent.futures import Future

import pytest
from msgspec.structs import replace

from tests.scheduling.test_stream_reports import Records
from turmerictray.admission.pool_types import Outcome
from turmerictray.config.routes import (
    Backend,
    EngineSpec,
    Route,
    RouteKind,
    RoutingConfig,
    ServiceSpec,
)
from turmerictray.core.errors import CannotResume, NoTarget
from turmerictray.core.ids import (
    NodeId,
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
from turmerictray.membership.messages import GoneVersion, RouterSummary
from turmerictray.router.active_config import ActiveConfig, RetryLimits
from turmerictray.router.published import StorePosition
from turmerictray.routing.load import TargetGone, TargetInfo
from turmerictray.routing.prompt import PartId, Prompt, PromptPart
from turmerictray.routing.streams import pack_keys
from turmerictray.scheduling.broker import Broker
from turmerictray.scheduling.broker_messages import (
    Ask,
    FirstEvent,
    OnTick,
    PeerHeard,
    RoutersAlive,
    Settled,
    StreamsBegunElsewhere,
    SummaryQuery,
    TargetsChanged,
    TargetsListed,
    TargetsSeenBefore,
)
from turmerictray.scheduling.messages import StreamsBegun

pytestmark = pytest.mark.usefixtures("unthrottled_rounds")

LLM = ServiceName("llm")
V1, V2 = SoftwareVersion("v1"), SoftwareVersion("v2")
STREAM = StreamKey(77)
_TICK_S = 0.05
_GOSSIP_S = 0.25


def _prompt(part: str, tokens: int) -> Prompt:
    return Prompt((PromptPart(PartId(part), tokens),), tokens, 10)


PROMPT = _prompt("own", 100)


def _engine(name: str, version: SoftwareVersion, slots: int = 64) -> TargetInfo:
    return TargetInfo(TargetId(name), LLM, "10.0.0.1:80", ZoneId("z"), slots, version=version)


class _Clock:
    def __init__(self) -> None:
        self.now = 1000.0


@pytest.fixture
def start(monkeypatch):
    """Start a broker that has just read a list of targets of the given versions."""
    clock = _Clock()
    monkeypatch.setattr(time, "monotonic", lambda: clock.now)

    def start_broker(*versions: SoftwareVersion) -> _Fixture:
        fixture = _Fixture(*versions, clock=clock)
        fixture.tick()
        return fixture

    return start_broker


@pytest.fixture
def watching(start):
    """Start a broker that has watched the targets for longer than streams last."""

    def watch(*versions: SoftwareVersion) -> _Fixture:
        fixture = start(*versions)
        fixture.tick(60.0)
        return fixture

    return watch


class _Fixture:
    """A broker without a thread, and requests that it answers at once."""

    def __init__(self, *versions: SoftwareVersion, clock: _Clock) -> None:
        self.age_s = 0.0
        self.position = StorePosition()
        self.broker = Broker(NodeId("n"), ZoneId("z"), 1, ActiveConfig(), RetryLimits(0.2, 50, 10))
        self.broker._grants._clock = lambda: clock.now
        self.broker.pools.unsharded(LLM).targets.set_spec(
            ServiceSpec(LLM, engine=EngineSpec(64, 600_000))
        )
        self.broker.handle(
            OnTick((), targets_age_s=lambda: self.age_s, targets_position=lambda: self.position)
        )
        engines = [_engine(f"e{n}", version) for n, version in enumerate(versions)]
        self.broker.handle(TargetsListed(engines))
        self._calls = iter(range(1, 1000))
        self._clock = clock

    def tick(self, after_s: float = 0.0) -> None:
        """Let time pass in which the broker runs, or end a pause in which it stood still."""
        end = self._clock.now + after_s
        while self._clock.now < end:
            self._clock.now = min(end, self._clock.now + _TICK_S)
            self.broker.handle(Tick("expire", self._clock.now))
        self.broker.handle(Tick("expire", self._clock.now))

    def stand_still(self, for_s: float) -> None:
        """Let time pass in which the broker does nothing and hears nothing."""
        self._clock.now += for_s
        self.age_s += for_s

    def hear_routers(self, *others: str, heard_s: float = 0.0) -> None:
        """Learn which other routers are alive, most of which were heard ``heard_s`` ago."""
        heard_at = self._clock.now - heard_s
        self.broker.handle(RoutersAlive(frozenset({"n", *others}), heard_at))

    def run_beside(self, *others: str, for_s: float, store_answers: bool = True) -> None:
        """Let time pass in which other routers are heard."""
        for _ in range(round(for_s / _GOSSIP_S)):
            self.tick(_GOSSIP_S)
            self.age_s = 0.0 if store_answers else self.age_s + _GOSSIP_S
            self.hear_routers(*others)

    def hear(self, known_s: int, revision: int = 0, **gone_s: float) -> None:
        """Hear a peer that has known all targets for a time, and versions that have gone."""
        gone = [GoneVersion(LLM, version, s) for version, s in gone_s.items()]
        summary = RouterSummary("peer", 1, 1, [], {}, [], targets_revision=revision)
        summary = replace(summary, targets_known_s=known_s, gone_versions=gone)
        self.broker.handle(PeerHeard(summary))

    def set_stream_timeout(self, timeout_s: float) -> None:
        """Put a configuration in force whose streams last no longer than this."""
        backends = (Backend(LLM),)
        route = Route("r", "h", "/", RouteKind.STREAMING, backends, timeout_s, 1.0, resumable=True)
        config = RoutingConfig(1, (route,), {LLM: ServiceSpec(LLM, engine=EngineSpec(64, 600_000))})
        self.broker.active_config.current = config

    def begin(self, version: SoftwareVersion) -> None:
        self.broker.handle(FirstEvent(0, LLM, TargetId("e"), 0.1, STREAM, version))

    def take_up(self, **options) -> SoftwareVersion:
        """Return the version of the target that a request which takes up the stream is granted."""
        return _result(self.ask(resumes=STREAM, **options)).target.version

    def ask(self, prompt: Prompt = PROMPT, **options) -> Reply:
        """Request a target."""
        now, reply = time.monotonic(), Reply()
        ask = Ask(
            next(self._calls),
            RequestId("q"),
            TeamId("t"),
            LLM,
            100.0,
            prompt,
            now + 5,
            reply,
            answer_deadline=now + 9,
            **options,
        )
        self.broker.handle(ask)
        self.broker._grants.run_due()
        return reply

    def settle(self, call_id: int, target: str) -> None:
        self.broker.handle(Settled(call_id, LLM, TargetId(target), Outcome.DONE, 100.0))
        self.broker._grants.run_due()


def _result(reply: Future):
    return reply.result(timeout=0)


@pytest.mark.parametrize("version", [V1, V2])
def test_a_known_stream_goes_on_at_its_version(watching, version):
    fixture = watching(V1, V2, V1, V2)
    fixture.begin(version)
    assert {fixture.take_up() for _ in range(8)} == {version}


def test_a_stream_that_another_router_reported_goes_on_at_its_version(watching):
    fixture = watching(V1, V2)
    report = StreamsBegun(LLM, {V2: pack_keys([STREAM])})
    fixture.broker.handle(StreamsBegunElsewhere(report))
    assert fixture.take_up() == V2


def test_a_stream_taken_up_is_not_refused_behind_new_ones(watching):
    # Callers lost streams to a crash; their prompts were long, and shorter ones came first.
    fixture = watching(V1, V2)
    fixture.broker.handle(TargetsChanged([_engine("e0", V1, slots=1)]))
    fixture.begin(V1)
    first = fixture.ask(version=V1)
    assert _result(first).target.version == V1
    new = [fixture.ask(_prompt(f"new{n}", 100), version=V1) for n in range(3)]
    taken_up = fixture.ask(_prompt("long", 5000), resumes=STREAM)
    assert not taken_up.done()
    fixture.settle(1, "e0")
    assert _result(taken_up).target.version == V1
    assert not any(reply.done() for reply in new)


def test_an_unknown_stream_goes_on_if_there_has_been_one_version(watching):
    assert watching(V1, V1).take_up() == V1


@pytest.mark.parametrize(
    ("known_s", "timeout_s", "versions", "goes_on"),
    [
        (math.inf, None, {V1}, True),
        (math.inf, None, {V1, V2}, False),
        (20.0, None, {V1}, False),
        (20.0, 10.0, {V1}, True),
        (20.0, 10.0, {V1, V2}, False),
        (20.0, 25.0, {V1}, False),
        (0.0, 10.0, set(), False),
    ],
)
def test_a_router_whose_peers_started_too_goes_by_what_was_published(
    start, known_s, timeout_s, versions, goes_on
):
    """Guards against streams refused for long, or joined, after all routers were killed."""
    fixture = start(V1, V1)
    if timeout_s is not None:
        fixture.set_stream_timeout(timeout_s)
    past = frozenset((LLM, version) for version in versions)
    fixture.broker.handle(TargetsSeenBefore(known_s, past))
    if goes_on:
        assert fixture.take_up() == V1
    else:
        with pytest.raises(CannotResume):
            fixture.take_up()


def _new_stream_versions(fixture: _Fixture) -> set[SoftwareVersion]:
    """Return the versions at which new streams begin now."""
    replies = [fixture.ask(_prompt(f"{fixture}{n}", 100)) for n in range(8)]
    return {_result(reply).target.version for reply in replies if reply.done()}


def test_a_version_that_joins_begins_no_streams_before_all_routers_can_know_of_it(watching):
    """Guards against streams that a router which was just cut off joins to the version before."""
    fixture = watching(V1, V1)
    fixture.run_beside("a", "b", for_s=1.0)
    fixture.broker.handle(TargetsChanged([_engine("new", V2)]))
    fixture.run_beside("a", "b", for_s=1.5)
    assert _new_stream_versions(fixture) == {V1}
    assert fixture.take_up(version=V2) == V2
    fixture.run_beside("a", "b", for_s=1.5)
    assert _new_stream_versions(fixture) == {V1, V2}
    # Another target of the version needs no time.
    fixture.broker.handle(TargetsChanged([_engine("next", V2)]))
    assert V2 in _new_stream_versions(fixture)


def test_versions_of_the_first_list_and_the_only_one_begin_streams_at_once(start):
    """Guards against a service that stands still because its targets are new."""
    fixture = start(V1, V2)
    assert _new_stream_versions(fixture) == {V1, V2}
    fixture.tick(60.0)
    fixture.broker.handle(TargetsChanged([TargetGone(TargetId("e0")), TargetGone(TargetId("e1"))]))
    fixture.broker.handle(TargetsChanged([_engine("new", SoftwareVersion("v3"))]))
    assert _new_stream_versions(fixture) == {SoftwareVersion("v3")}


def test_an_unknown_stream_is_refused_on_the_own_path(watching):
    # The scheduler had refused it, as it knew of a second version before this router did.
    with pytest.raises(CannotResume):
        watching(V1, V1).take_up(own_path=True)


def test_an_unknown_stream_is_refused_among_two_versions(watching):
    with pytest.raises(CannotResume):
        watching(V1, V2).take_up()


def test_an_unknown_stream_is_refused_by_an_old_list_of_targets_after_a_cut(watching):
    # A router that was cut off took up streams at the one version that it knew.
    fixture = watching(V1, V1)
    fixture.broker.handle(RoutersAlive(frozenset({"n", "other"})))
    fixture.broker.handle(RoutersAlive(frozenset({"n"})))
    fixture.age_s = 60.0
    with pytest.raises(CannotResume):
        fixture.take_up()


def test_an_unknown_stream_goes_on_while_no_router_can_read_the_store(watching):
    # Streams were refused during an outage of the store, although there was one version.
    fixture = watching(V1, V1)
    fixture.broker.handle(RoutersAlive(frozenset({"n", "other"})))
    fixture.age_s = 60.0
    assert fixture.take_up() == V1


@pytest.mark.parametrize("pause_s", [0.3, 1.0, 3.0, 6.0])
def test_a_router_that_stood_still_joins_no_streams_of_a_version_that_came_meanwhile(
    watching, pause_s
):
    # Its list was a few seconds old, and counted as all that there was.
    fixture = watching(V1, V1)
    fixture.run_beside("a", "b", for_s=2.0)
    fixture.stand_still(pause_s)
    with pytest.raises(CannotResume):
        fixture.take_up()


def test_a_router_that_wakes_joins_no_streams_by_messages_from_before(watching):
    # What was sent to it during the pause is read at the wake, and seems to be new.
    fixture = watching(V1, V1)
    fixture.run_beside("a", "b", for_s=2.0)
    fixture.stand_still(3.0)
    fixture.tick()
    fixture.age_s = 0.0
    fixture.hear_routers("a", "b")
    with pytest.raises(CannotResume):
        fixture.take_up()


def test_an_unknown_stream_goes_on_soon_after_a_pause(watching):
    fixture = watching(V1, V1)
    fixture.run_beside("a", "b", for_s=2.0)
    fixture.stand_still(3.0)
    fixture.run_beside("a", "b", for_s=0.75)
    assert fixture.take_up() == V1


@pytest.mark.parametrize("cut_s", [1.5, 2.5, 3.5, 5.0])
def test_a_router_that_is_cut_off_joins_no_streams_of_a_version_that_came_meanwhile(
    watching, cut_s
):
    # Callers and the targets that it knew still reached it.
    fixture = watching(V1, V1)
    fixture.run_beside("a", "b", for_s=2.0)
    for n in range(1, round(cut_s / _GOSSIP_S) + 1):
        fixture.tick(_GOSSIP_S)
        fixture.age_s = heard_s = n * _GOSSIP_S
        others = ("a", "b") if heard_s < 3.0 else ()
        fixture.hear_routers(*others, heard_s=heard_s if others else 0.0)
    with pytest.raises(CannotResume):
        fixture.take_up()


def test_a_router_with_an_older_list_than_a_peer_joins_no_streams(watching):
    # It heard of the newer list before it had it.
    fixture = watching(V1, V1)
    fixture.position = StorePosition(0, 6)
    fixture.run_beside("a", "b", for_s=2.0)
    fixture.hear(known_s=60, revision=7)
    with pytest.raises(CannotResume):
        fixture.take_up()
    fixture.position = StorePosition(0, 7)
    assert fixture.take_up() == V1


def test_an_unknown_stream_goes_on_after_a_kill_of_a_router(watching):
    # The routers that are left are in touch, and the store answers.
    fixture = watching(V1, V1)
    fixture.run_beside("a", "b", for_s=2.0)
    fixture.run_beside("a", for_s=1.0, store_answers=False)
    assert fixture.take_up() == V1


def test_an_unknown_stream_goes_on_between_two_answers_of_the_store(watching):
    fixture = watching(V1, V1)
    fixture.run_beside("a", "b", for_s=2.0)
    fixture.run_beside("a", "b", for_s=2.5, store_answers=False)
    assert fixture.take_up() == V1


def test_an_unknown_stream_is_refused_after_a_cut_in_which_a_version_may_have_come_and_gone(
    watching,
):
    # A router whose list was current again took the only version in it for the only one there was.
    fixture = watching(V1, V1)
    fixture.broker.handle(RoutersAlive(frozenset({"n", "other"})))
    fixture.broker.handle(RoutersAlive(frozenset({"n"})))
    fixture.age_s = 6.0
    fixture.tick(6.0)
    fixture.age_s = 0.0
    fixture.tick()
    with pytest.raises(CannotResume):
        fixture.take_up()


def test_an_unknown_stream_is_refused_by_a_router_that_has_just_started(start):
    # It knew one version, and joined to it the streams of another one that had just left.
    fixture = start(V2, V2)
    fixture.tick(29.0)
    with pytest.raises(CannotResume):
        fixture.take_up()
    fixture.tick(2.0)
    assert fixture.take_up() == V2


def test_a_router_that_has_just_started_relies_on_what_its_peers_have_observed(start):
    fixture = start(V2, V2)
    fixture.tick(1.5)
    fixture.hear(known_s=60)
    assert fixture.take_up() == V2


def test_a_version_that_has_gone_at_a_peer_counts_at_a_router_that_has_just_started(start):
    # The peers knew of it, and had not told.
    fixture = start(V2, V2)
    fixture.tick(1.5)
    fixture.hear(known_s=60, v1=20.0)
    with pytest.raises(CannotResume):
        fixture.take_up()
    fixture.tick(11.0)
    assert fixture.take_up() == V2


def test_a_peer_with_an_older_list_proves_nothing(start):
    # It may still list the last targets of a version that has left.
    fixture = start(V2, V2)
    fixture.position = StorePosition(0, 7)
    fixture.tick(1.5)
    fixture.hear(known_s=60, revision=6)
    with pytest.raises(CannotResume):
        fixture.take_up()


def test_a_message_from_before_the_own_list_proves_nothing(start):
    fixture = start(V2, V2)
    fixture.hear(known_s=60)
    with pytest.raises(CannotResume):
        fixture.take_up()


def test_a_router_tells_its_peers_what_it_has_observed(watching):
    fixture = watching(V1, V2)
    fixture.broker.handle(TargetsChanged([TargetGone(TargetId("e0"))]))
    fixture.tick(4.0)
    summary = fixture.broker.handle(SummaryQuery())
    assert summary.targets_known_s == 64
    assert summary.gone_versions == [GoneVersion(LLM, V1, 4.0)]


def test_streams_are_reported_while_only_records_can_tell_their_version(start):
    # Without another record, they would be refused once the router that has it is gone.
    fixture, records = start(V1), Records("n", "other")
    fixture.broker.handle(OnTick((), stream_records=records))
    fixture.begin(V1)
    fixture.tick(1.0)
    assert records.streams_of("other") == {STREAM: V1}
    fixture.tick(60.0)
    fixture.begin(V1)
    fixture.tick(1.0)
    assert len(records.sent) == 1


def test_no_records_are_sent_for_a_list_that_is_behind_for_a_moment(watching):
    # Each change of a target would have had all records sent to all that keep them.
    fixture, records = watching(V1), Records("n", "other")
    fixture.broker.handle(OnTick((), stream_records=records, targets_position=StorePosition))
    fixture.begin(V1)
    fixture.hear(known_s=60, revision=7)
    fixture.tick(1.0)
    assert not records.sent


def test_an_unknown_stream_is_refused_soon_after_the_end_of_a_release(watching):
    fixture = watching(V1, V2)
    fixture.broker.handle(TargetsChanged([TargetGone(TargetId("e0"))]))
    with pytest.raises(CannotResume):
        fixture.take_up()


def test_a_stream_whose_version_is_gone_is_refused_at_once(watching):
    fixture = watching(V1, V2)
    fixture.begin(V1)
    fixture.broker.handle(TargetsChanged([TargetGone(TargetId("e0"))]))
    with pytest.raises(NoTarget):
        fixture.take_up()


def test_a_waiting_request_is_refused_when_its_version_goes(watching):
    # It waited until its deadline, and could not have been served.
    fixture = watching(V1, V2)
    now, reply = time.monotonic(), Reply()
    ask = Ask(
        1, RequestId("q"), TeamId("t"), LLM, 100.0, PROMPT, now + 5, reply, version=V1, retry=True
    )
    pool = fixture.broker.pools.unsharded(LLM)
    pool.targets.record_unreachable(TargetId("e0"), now)
    pool.targets.loads[TargetId("e0")].info = _engine("e0", V1)
    fixture.broker.handle(ask)
    fixture.broker.handle(TargetsChanged([TargetGone(TargetId("e0"))]))
    with pytest.raises(NoTarget):
        _result(reply)
