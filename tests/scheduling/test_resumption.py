"""Which software version a broker requires for a request that takes up a stream."""

import time
from concurrent.futures import Future

import pytest

from turmerictray.config.routes import EngineSpec, ServiceSpec
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
from turmerictray.router.active_config import ActiveConfig, RetryLimits
from turmerictray.routing.load import TargetInfo
from turmerictray.routing.prompt import PartId, Prompt, PromptPart
from turmerictray.routing.streams import pack_keys
from turmerictray.scheduling.broker import Broker
from turmerictray.scheduling.broker_messages import (
    Ask,
    FirstEvent,
    OnTick,
    RoutersAlive,
    StreamsBegunElsewhere,
    TargetsChanged,
)
from turmerictray.scheduling.messages import StreamsBegun
from turmerictray.scheduling.resumptions import Resumptions

pytestmark = pytest.mark.usefixtures("unthrottled_rounds")

LLM = ServiceName("llm")
V1, V2 = SoftwareVersion("v1"), SoftwareVersion("v2")
STREAM = StreamKey(77)
PROMPT = Prompt((PromptPart(PartId("own"), 100),), 100, 10)


def _engine(name: str, version: SoftwareVersion) -> TargetInfo:
    return TargetInfo(TargetId(name), LLM, "10.0.0.1:80", ZoneId("z"), 64, version=version)


class _Fixture:
    """A broker without a thread, and requests that it answers at once."""

    def __init__(self, *versions: SoftwareVersion) -> None:
        self.age_s = 0.0
        self.broker = Broker(NodeId("n"), ZoneId("z"), 1, ActiveConfig(), RetryLimits(0.2, 50, 10))
        self.broker.pools.unsharded(LLM).targets.set_spec(
            ServiceSpec(LLM, engine=EngineSpec(64, 600_000))
        )
        self.broker.handle(OnTick((), targets_age_s=lambda: self.age_s))
        engines = [_engine(f"e{n}", version) for n, version in enumerate(versions)]
        self.broker.handle(TargetsChanged(changed=engines))
        self._calls = iter(range(1, 1000))

    def begin(self, version: SoftwareVersion) -> None:
        self.broker.handle(FirstEvent(0, LLM, TargetId("e"), 0.1, STREAM, version))

    def take_up(self, **options) -> SoftwareVersion:
        """Return the version of the target that a request which takes up the stream is granted."""
        now, reply = time.monotonic(), Reply()
        ask = Ask(
            next(self._calls),
            RequestId("q"),
            TeamId("t"),
            LLM,
            100.0,
            PROMPT,
            now + 5,
            reply,
            answer_deadline=now + 9,
            resumes=STREAM,
            **options,
        )
        self.broker.handle(ask)
        self.broker._grants.run_due()
        return _result(reply).target.version


def _result(reply: Future):
    return reply.result(timeout=0)


@pytest.mark.parametrize("version", [V1, V2])
def test_a_known_stream_goes_on_at_its_version(version):
    fixture = _Fixture(V1, V2, V1, V2)
    fixture.begin(version)
    assert {fixture.take_up() for _ in range(8)} == {version}


def test_a_stream_that_another_router_reported_goes_on_at_its_version():
    fixture = _Fixture(V1, V2)
    report = StreamsBegun(LLM, {V2: pack_keys([STREAM])})
    fixture.broker.handle(StreamsBegunElsewhere(report))
    assert fixture.take_up() == V2


def test_an_unknown_stream_goes_on_if_there_has_been_one_version():
    assert _Fixture(V1, V1).take_up() == V1


def test_an_unknown_stream_is_refused_on_the_own_path():
    # The scheduler had refused it, as it knew of a second version before this router did.
    with pytest.raises(CannotResume):
        _Fixture(V1, V1).take_up(own_path=True)


def test_an_unknown_stream_is_refused_among_two_versions():
    with pytest.raises(CannotResume):
        _Fixture(V1, V2).take_up()


def test_an_unknown_stream_is_refused_by_an_old_list_of_targets_after_a_cut():
    # A router that was cut off took up streams at the one version that it knew.
    fixture = _Fixture(V1, V1)
    fixture.broker.handle(RoutersAlive(frozenset({"n", "other"})))
    fixture.broker.handle(RoutersAlive(frozenset({"n"})))
    fixture.age_s = 60.0
    with pytest.raises(CannotResume):
        fixture.take_up()


def test_an_unknown_stream_goes_on_while_no_router_can_read_the_store():
    # Streams were refused during an outage of the store, although there was one version.
    fixture = _Fixture(V1, V1)
    fixture.broker.handle(RoutersAlive(frozenset({"n", "other"})))
    fixture.age_s = 60.0
    assert fixture.take_up() == V1


def test_an_unknown_stream_is_refused_soon_after_the_end_of_a_release():
    fixture = _Fixture(V1, V2)
    fixture.broker.handle(TargetsChanged(gone=[TargetId("e0")]))
    with pytest.raises(CannotResume):
        fixture.take_up()


def test_a_stream_whose_version_is_gone_is_refused_at_once():
    fixture = _Fixture(V1, V2)
    fixture.begin(V1)
    fixture.broker.handle(TargetsChanged(gone=[TargetId("e0")]))
    with pytest.raises(NoTarget):
        fixture.take_up()


def test_a_waiting_request_is_refused_when_its_version_goes():
    # It waited until its deadline, and could not have been served.
    fixture = _Fixture(V1, V2)
    now, reply = time.monotonic(), Reply()
    ask = Ask(
        1, RequestId("q"), TeamId("t"), LLM, 100.0, PROMPT, now + 5, reply, version=V1, retry=True
    )
    pool = fixture.broker.pools.unsharded(LLM)
    pool.targets.record_unreachable(TargetId("e0"), now)
    pool.targets.loads[TargetId("e0")].info = _engine("e0", V1)
    fixture.broker.handle(ask)
    fixture.broker.handle(TargetsChanged(gone=[TargetId("e0")]))
    with pytest.raises(NoTarget):
        _result(reply)


def test_reports_are_rarer_with_many_receivers():
    # Hundreds of schedulers that tell each other ten times a second would do little else.
    sent_at, receivers = [], 160

    def send(_report) -> int:
        sent_at.append(now)
        return receivers

    resumptions = Resumptions()
    for step in range(100):
        now = 100 + step * 0.05
        resumptions.record(LLM, StreamKey(step), V1, now)
        resumptions.report(lambda _service: {V1, V2}, send, now)
    assert len(sent_at) == 5
