"""The life of a request, from its first byte to its final answer."""

import itertools
import math
import random
import secrets
import threading
import time

from turmerictray.admission.time_bounds import retry_after_s, time_bounds
from turmerictray.config.routes import RoutingText
from turmerictray.core.errors import (
    AdmissionError,
    CallerError,
    CallerGone,
    Draining,
    NoConfig,
    RouterFull,
    Starting,
    TurmerictrayError,
)
from turmerictray.router.answers import error_answer
from turmerictray.router.routed import Routed, team_for
from turmerictray.router.run import Parts, RequestRun
from turmerictray.router.text_in_force import TextInForce
from turmerictray.router.trace import RequestTrace
from turmerictray.transport.exchange import ClientExchange
from turmerictray.transport.hangup import Call, HangUpWatch

_CALL_BITS = 32
_PROCESS_BITS = 30
"""Calls are numbered from a random start, so that those of all routers differ at the scheduler: two
of 390 processes share a start once in 14,000 fleets."""

_NO_TEXT_RETRY_S = 0.5
_DRAINING_RETRY_S = 0.05
"""Another router serves the caller at once."""
_FULL_RETRY_S = 0.2
"""Some of the streams in progress have ended by then."""

_SHORT_PART = 0.1
"""Part of the threads that no stream may take. Streams hold their threads for seconds; with all
threads held, calls of plain services would wait to be read until their callers have left. Such a
call, or a refusal, holds its thread for a moment only."""


class _Held:
    """Counts what is in hand."""

    def __init__(self) -> None:
        self.count = 0
        self._lock = threading.Lock()

    def __enter__(self) -> None:
        with self._lock:
            self.count += 1

    def __exit__(self, *_exc: object) -> None:
        with self._lock:
            self.count -= 1


class RequestFlow:
    """Serves requests on the front's threads.

    Parameters
    ----------
    parts : Parts
    in_force : TextInForce
    watch : HangUpWatch
    threads : int
        The front's threads.
    """

    def __init__(
        self, parts: Parts, in_force: TextInForce, watch: HangUpWatch, threads: int
    ) -> None:
        self._parts = parts
        self._in_force = in_force
        self._watch = watch
        self._closing = False
        self._held = _Held()
        self._most_streams = int(threads * (1 - _SHORT_PART))
        self._ids = itertools.count(secrets.randbits(_PROCESS_BITS) << _CALL_BITS)
        self._rng = random.Random()

    def refuse_new(self) -> None:
        """Refuse the requests that come from now on.

        One that came in over a kept connection late in a shutdown would still run when the process
        is killed, and its answer would be cut.
        """
        self._closing = True

    def handle(self, exchange: ClientExchange) -> None:
        """Serve one request to its final answer."""
        with self._held:
            self._handle(exchange)

    def _handle(self, exchange: ClientExchange) -> None:
        call = Call(exchange.sock)
        trace = RequestTrace(exchange.head, exchange.arrived)
        try:
            body = exchange.read_body()
            self._watch.add(call)
            try:
                self._serve(exchange, body, call, trace)
            finally:
                self._watch.remove(call)
        except CallerGone as exc:
            exchange.abort()
            trace.end("caller_gone", 0, str(exc))
        except TurmerictrayError as exc:
            self._fail(exchange, exc, trace, call)

    def _serve(
        self, exchange: ClientExchange, body: bytes, call: Call, trace: RequestTrace
    ) -> None:
        # The look at all connections comes late on a router without processor time, where callers
        # leave unread; what nobody waits for would be scheduled and sent on.
        if call.look():
            raise CallerGone("caller gone before its request was read")
        if self._closing:
            raise Draining("draining", _DRAINING_RETRY_S)
        text = self._in_force.current
        if text is None:
            raise NoConfig("no_config", _NO_TEXT_RETRY_S)
        if not self._in_force.caught_up:
            raise Starting("starting", _NO_TEXT_RETRY_S)
        trace.routed = self._route(exchange, body, text)
        if trace.routed.envelope.prompt is not None:
            self._check_room(trace.routed)
        RequestRun(self._parts, trace.routed, exchange, call, trace).run()
        trace.end("answered", exchange.status)

    def _check_room(self, routed: Routed) -> None:
        if self._held.count > self._most_streams:
            raise RouterFull("router_full", _FULL_RETRY_S)
        backlog, objective_s = self._parts.backlog, routed.route.objective_s
        backlog.check_capacity(routed.backlog_key, objective_s, time.monotonic())

    def _route(self, exchange: ClientExchange, body: bytes, text: RoutingText) -> Routed:
        head = exchange.head
        envelope = self._parts.dialect.read(head)
        route = text.match(head.host, head.path)
        if route is None:
            raise CallerError("no route", 404)
        return Routed(
            call_id=next(self._ids),
            head=head,
            body=body,
            envelope=envelope,
            route=route,
            service=route.service_for(self._rng.random()),
            team=team_for(text, route, envelope.key),
            bounds=time_bounds(route, exchange.arrived, envelope.caller_left_s),
            text_version=text.version,
        )

    def _fail(
        self, exchange: ClientExchange, exc: TurmerictrayError, trace: RequestTrace, call: Call
    ) -> None:
        if call.gone:
            exchange.abort()
            trace.end("caller_gone", 0, str(exc))
            return
        if exchange.started:
            exchange.abort()
            trace.end("cut", exchange.status, f"{type(exc).__name__}: {exc}")
            return
        answer = error_answer(exc)
        headers = [("Content-Type", "application/json")]
        if isinstance(exc, AdmissionError):
            left_s = trace.caller_left_s if exc.cut_short else math.inf
            wait = retry_after_s(exc.retry_after, left_s, self._rng)
            headers.append(self._parts.dialect.retry_after(wait))
        try:
            exchange.answer(answer.status, headers, answer.body)
        except CallerGone as gone:
            trace.end("caller_gone", 0, str(gone))
            return
        trace.end("refused", answer.status, f"{type(exc).__name__}: {exc}")
