"""Attempts of a request whose stream falls silent and is taken up at another target."""

import time
from collections.abc import Callable
from types import SimpleNamespace

import pytest

from turmerictray.admission.pool_types import Outcome
from turmerictray.admission.time_bounds import TimeBounds
from turmerictray.config.routes import Backend, Route, RouteKind
from turmerictray.core.errors import NoTarget, OutcomeUnknown, Quarantined
from turmerictray.core.ids import RequestId, ServiceName, SoftwareVersion, TargetId, ZoneId
from turmerictray.core.reply import Reply
from turmerictray.crashes.evidence import CrashEvidence
from turmerictray.platform.headers import PlatformDialect
from turmerictray.router.dialect import AnswerFlags, Envelope
from turmerictray.router.routed_request import RoutedRequest
from turmerictray.router.run import RequestDependencies, RequestRun
from turmerictray.routing.load import TargetInfo
from turmerictray.scheduling.broker_messages import Ask, Granted, Settled
from turmerictray.transport.body import BodyEnd
from turmerictray.transport.disconnect import CancellableCall
from turmerictray.transport.target_conn import AnswerHead

LLM = ServiceName("llm")
V1 = SoftwareVersion("v1")
FIRST_CALL, SECOND_CALL = 7, 8
EVENTS = [f"id: {number}\ndata: {number}\n\n".encode() for number in (1, 2, 3)]


def _granted(name: str) -> Granted:
    return Granted(TargetInfo(TargetId(name), LLM, name, ZoneId("z"), 8, version=V1), 0.1, 0, 0)


class _Client:
    """A placement client that grants one target after the other, then none."""

    def __init__(self, *names: str) -> None:
        self.asks: list[Ask] = []
        self.settled: list[Settled] = []
        self._names = list(names)

    def tell(self, msg: object) -> None:
        if isinstance(msg, Settled):
            self.settled.append(msg)
        elif isinstance(msg, Ask):
            self.asks.append(msg)
            self._answer(msg.reply)

    def _answer(self, reply: Reply) -> None:
        if self._names:
            reply.try_set_result(_granted(self._names.pop(0)))
        else:
            reply.try_set_exception(NoTarget("no_target_of_version", 0.5))

    def ends(self) -> list[tuple[int, str, Outcome]]:
        return [(msg.call_id, msg.target, msg.outcome) for msg in self.settled]


class _Connection:
    """A connection that carries some events of a stream, and is silent before the last ones.

    With ``goes_on`` it has more to read after a second wait, else never.
    """

    body_end = BodyEnd.LAST_CHUNK

    is_closed_by_target = False

    def __init__(self, before: list[bytes], after: list[bytes], goes_on: bool) -> None:
        self.address = "a"
        self.closed = False
        self.last_read_until = 0.0
        self._before, self._after = list(before), [*after, b""]
        self._waits = 0
        self._goes_on = goes_on

    def send(self, _req: object, _timeout_s: float) -> None:
        """Take a request in."""

    def hold(self, _size: int) -> None:
        """Count what is held of the answer."""

    def read_head(self, _method: str, _timeout_s: float) -> AnswerHead:
        return AnswerHead(200, [("Content-Type", "text/event-stream")])

    def wait_for_data(self, _deadline: float) -> bool:
        if self._before:
            return True
        self._waits += 1
        return self._goes_on and self._waits > 1

    def read_available(self, deadline: float) -> bytes:
        self.last_read_until = deadline
        if self._before:
            return self._before.pop(0)
        if not self._goes_on:
            raise OutcomeUnknown("timed out")
        return self._after.pop(0)

    def abort(self) -> None:
        self.close()

    def close(self) -> None:
        self.closed = True


class _Caller:
    status = 0

    def __init__(self) -> None:
        self.received = b""
        self.ended = False

    def finish_reading(self) -> None:
        """Nothing is left to read."""

    def start_stream(self, status: int, _headers: object) -> None:
        self.status = status

    def send(self, data: bytes) -> None:
        self.received += data

    def end_stream(self) -> None:
        self.ended = True


class _Dialect(PlatformDialect):
    """Headers that play no part here."""

    def target_headers(self, *_args: object) -> list:
        return []

    def read_answer(self, _head: AnswerHead, _envelope: Envelope) -> AnswerFlags:
        return AnswerFlags(not_run=False, matches_request=True, is_genuine=True)


class _Request:
    """A request for a stream, and what became of it."""

    def __init__(self, client: _Client, **conns: _Connection) -> None:
        self.client, self.caller = client, _Caller()
        self.crashes = CrashEvidence()
        now = time.monotonic()
        self.deadline = now + 8
        route = Route(
            "plan",
            "h",
            "/",
            RouteKind.STREAMING,
            (Backend(LLM),),
            8.0,
            1.0,
            0.25,
            max_attempts=2,
            resumable=True,
        )
        routed = RoutedRequest(
            FIRST_CALL,
            SimpleNamespace(method="POST", host="h", target="/plan/1"),
            b"",
            Envelope(RequestId("q"), None, 5.0, None, []),
            route,
            LLM,
            None,
            TimeBounds(now, self.deadline, self.deadline),
            1,
        )
        pool = SimpleNamespace(
            acquire=lambda target, *_: conns[target], release=lambda *_args: None
        )
        deps = RequestDependencies(
            client, _Dialect(), pool, crashes=self.crashes, new_call_id=lambda: SECOND_CALL
        )
        trace = SimpleNamespace(granted=None, note_first=lambda: None)
        trace.note_granted = lambda granted: setattr(trace, "granted", granted)
        call = CancellableCall(SimpleNamespace(fileno=lambda: 3))
        call.check_disconnected = lambda: False
        self.run: Callable[[], None] = RequestRun(deps, routed, self.caller, call, trace).run


def test_silent_stream_goes_on_at_the_target_that_was_granted_meanwhile():
    """Guards against two grants under one call id, of which one is never settled."""
    silent = _Connection(EVENTS[:1], [], goes_on=False)
    client = _Client("first", "second")
    request = _Request(client, first=silent, second=_Connection([], EVENTS[1:], goes_on=True))
    request.run()
    assert request.caller.received == b"".join(EVENTS)
    assert request.caller.ended
    assert silent.closed
    assert [(ask.call_id, ask.repeat, ask.version) for ask in client.asks] == [
        (FIRST_CALL, False, None),
        (SECOND_CALL, True, V1),
    ]
    assert client.asks[1].exclude == {"first"}
    assert client.ends() == [
        (FIRST_CALL, "first", Outcome.FAILED),
        (SECOND_CALL, "second", Outcome.DONE),
    ]


def test_silent_stream_that_no_other_may_take_up_ends_at_its_target():
    """Guards against a stream that is cut for a silence, as if another target could go on."""
    client = _Client("first")
    request = _Request(client, first=_Connection(EVENTS[:1], EVENTS[1:], goes_on=True))
    request.run()
    assert request.caller.received == b"".join(EVENTS)
    assert len(client.asks) == 2
    assert client.ends() == [(FIRST_CALL, "first", Outcome.DONE)]


def test_stream_of_a_request_that_no_other_target_may_run_is_read_until_its_deadline(monkeypatch):
    """Guards against a stream that is cut for a silence, as it may have crashed other targets."""
    client = _Client("first", "second")
    conn = _Connection(EVENTS[:1], [], goes_on=False)
    request = _Request(client, first=conn)
    monkeypatch.setattr(request.crashes.quarantine, "may_retry", lambda *_args: False)
    with pytest.raises(OutcomeUnknown):
        request.run()
    assert len(client.asks) == 1
    assert conn.last_read_until == request.deadline


def test_other_target_is_asked_for_only_while_it_has_time_for_the_rest():
    """Guards against a stream that is given up for a target with too little time."""
    client = _Client("first")
    request = _Request(client, first=_Connection(EVENTS[:1], EVENTS[1:], goes_on=True))
    request.run()
    assert client.asks[1].queue_deadline == pytest.approx(request.deadline - 0.25)


def test_target_that_was_granted_meanwhile_is_given_back_if_it_is_not_used(monkeypatch):
    """Guards against a slot that is lost as its request was held back in the same moment."""
    client = _Client("first", "second")
    request = _Request(client, first=_Connection(EVENTS[:1], [], goes_on=False))

    def check(*_args: object) -> bool:
        if len(client.asks) > 1:
            raise Quarantined("quarantined", 1.0)
        return False

    monkeypatch.setattr(request.crashes.quarantine, "check", check)
    with pytest.raises(OutcomeUnknown):
        request.run()
    assert client.ends() == [
        (FIRST_CALL, "first", Outcome.FAILED),
        (SECOND_CALL, "second", Outcome.NOT_RUN),
    ]


def test_stream_stays_at_its_target_if_it_may_not_be_retried_any_more(monkeypatch):
    """Guards against a stream that is cut as it became a suspect while another was asked for."""
    client = _Client("first", "second")
    conn = _Connection(EVENTS[:1], [], goes_on=False)
    request = _Request(client, first=conn)
    quarantine = request.crashes.quarantine
    monkeypatch.setattr(quarantine, "may_retry", lambda *_args: len(client.asks) < 2)
    with pytest.raises(OutcomeUnknown):
        request.run()
    assert conn.last_read_until == request.deadline
    assert client.ends() == [
        (SECOND_CALL, "second", Outcome.NOT_RUN),
        (FIRST_CALL, "first", Outcome.FAILED),
    ]
