"""Handling of a request, from its first byte to its final answer."""

import math
import random
import threading
import time
from typing import NoReturn

from turmerictray.admission.time_bounds import retry_after_s, time_bounds
from turmerictray.config.routes import RoutingConfig
from turmerictray.core.errors import (
    AdmissionError,
    CallerError,
    CallerGone,
    Draining,
    InternalFailure,
    NoConfig,
    RouterFull,
    Starting,
    TooLarge,
    TurmerictrayError,
)
from turmerictray.core.supervision import report_item_failure
from turmerictray.router.active_config import ActiveConfig
from turmerictray.router.answers import error_answer
from turmerictray.router.routed_request import RoutedRequest, authenticate_team
from turmerictray.router.run import RequestDependencies, RequestRun
from turmerictray.router.trace import RequestTrace
from turmerictray.routing.streams import uniform_draw
from turmerictray.transport.disconnect import CancellableCall, Closer, DisconnectMonitor
from turmerictray.transport.exchange import ClientExchange

_NOT_READY_RETRY_S = 1.5
"""Retry-After of a router that starts. Callers are sent to it only if no other router is ready, and
routers that all start together need about this long; an earlier return would be refused again."""
_DRAINING_RETRY_S = 0.05
"""Retry-After while this router drains; another router serves the caller at once."""
_FAILED_RETRY_S = 0.1
"""Retry-After after an unexpected exception; another router may serve the request."""
_FULL_RETRY_S = 0.2
"""Retry-After of a full router; some of the streams in progress will have ended by then."""
_TOO_LARGE_RETRY_S = 600.0
"""Retry-After of a prompt that no engine can hold, which only another configuration changes."""

_RESERVED_THREAD_FRACTION = 0.1
"""Fraction of the front's threads that prompts may not use. Streams occupy their threads for
seconds. If they occupied all, requests to plain services would wait unread until their callers
disconnect; such a request, or a refusal, needs its thread only briefly."""


class _ActiveCounter:
    """Thread-safe count of the requests in progress, used as a context manager."""

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
    """Handler that serves requests on the front's threads.

    Parameters
    ----------
    deps : RequestDependencies
    active_config : ActiveConfig
    watch : DisconnectMonitor
    threads : int
        Number of the front's threads.
    """

    def __init__(
        self,
        deps: RequestDependencies,
        active_config: ActiveConfig,
        watch: DisconnectMonitor,
        threads: int,
    ) -> None:
        self._deps = deps
        self._active_config = active_config
        self._watch = watch
        self._closing = False
        self._active = _ActiveCounter()
        self._prompt_thread_limit = int(threads * (1 - _RESERVED_THREAD_FRACTION))
        self._rng = random.Random()

    def refuse_new(self) -> None:
        """Refuse all requests that arrive from now on.

        A request that arrives on a keep-alive connection late in a shutdown would still be running
        when the process is killed, which would cut its answer off.
        """
        self._closing = True

    def handle(self, exchange: ClientExchange) -> None:
        """Serve one request until its final answer is sent."""
        with self._active:
            self._handle(exchange)

    def _handle(self, exchange: ClientExchange) -> None:
        call = CancellableCall(exchange.sock)
        trace = RequestTrace(exchange.head, exchange.arrived_at)
        try:
            body = exchange.read_body()
            self._watch.add(call)
            try:
                self._serve(exchange, body, call, trace)
            finally:
                self._watch.remove(call)
        except CallerGone as exc:
            self._give_up(exchange, exc, trace, call)
        except TurmerictrayError as exc:
            self._fail(exchange, exc, trace, call)
        except Exception as exc:  # noqa: BLE001 - the caller has to get a truthful answer
            report_item_failure("front", exc, req=trace.request_id)
            self._fail(exchange, _to_final_error(exc, trace), trace, call)

    def _serve(
        self, exchange: ClientExchange, body: bytes, call: CancellableCall, trace: RequestTrace
    ) -> None:
        # On an overloaded router the scan of all connections runs late, and callers disconnect
        # before their requests are read. Such a request must not be scheduled or sent to a target.
        if call.check_disconnected():
            raise CallerGone("caller gone before its request was read")
        if self._closing:
            raise Draining("draining", _DRAINING_RETRY_S)
        if self._active_config.current is None or not self._active_config.caught_up:
            trace.caller_timeout_s = self._deps.dialect.read(exchange.head).caller_timeout_s
            self._refuse_unready()
        # Read only now: a configuration from before the router had caught up may be outdated.
        config = self._active_config.current
        trace.text_version = config.version
        trace.newest_version = self._active_config.newest_heard
        trace.routed = self._route(exchange, body, config)
        if trace.routed.envelope.prompt is not None:
            _check_size(trace.routed, config)
            self._check_capacity(trace.routed)
        RequestRun(self._deps, trace.routed, exchange, call, trace).run()
        trace.end("answered", exchange.status)

    def _refuse_unready(self) -> NoReturn:
        if self._active_config.current is None:
            raise NoConfig("no_config", _NOT_READY_RETRY_S)
        raise Starting("starting", _NOT_READY_RETRY_S)

    def _check_capacity(self, routed: RoutedRequest) -> None:
        if self._active.count > self._prompt_thread_limit:
            raise RouterFull("router_full", _FULL_RETRY_S)
        backlog, objective_s = self._deps.backlog, routed.route.objective_s
        backlog.check_capacity(routed.backlog_key, objective_s, time.monotonic())

    def _route(self, exchange: ClientExchange, body: bytes, config: RoutingConfig) -> RoutedRequest:
        head = exchange.head
        envelope = self._deps.dialect.read(head)
        route = config.match(head.host, head.path)
        if route is None:
            raise CallerError("no route", 404)
        team = authenticate_team(config, route, envelope.key)
        return RoutedRequest(
            call_id=self._deps.new_call_id(),
            head=head,
            body=body,
            envelope=envelope,
            route=route,
            # A request that takes up a stream must reach the service that began it.
            service=route.service_for(uniform_draw(envelope.resumes or envelope.request_id)),
            team=team,
            bounds=time_bounds(route, exchange.arrived_at, envelope.caller_timeout_s),
            text_version=config.version,
            home_zones=config.home_zones(route, team, self._active_config.regions),
        )

    def _give_up(
        self,
        exchange: ClientExchange,
        exc: TurmerictrayError,
        trace: RequestTrace,
        call: CancellableCall,
    ) -> None:
        """End a request whose caller has left, or that this router gives up as it stops.

        In the latter case the caller still waits. Without an answer it could not tell whether the
        request may have run.
        """
        status, outcome = 0, "caller_gone"
        if call.closer is Closer.ROUTER_STOP:
            outcome = "cut"
            if not exchange.answer_started:
                status = self._answer_stopped(exchange, trace)
        if not status:
            exchange.abort()
        trace.end(outcome, status, str(exc))

    def _answer_stopped(self, exchange: ClientExchange, trace: RequestTrace) -> int:
        """Answer a request that a stop ends; return the status, 0 if the caller has left."""
        error: TurmerictrayError = Draining("draining", _DRAINING_RETRY_S)
        if trace.progress is not None:
            error = trace.progress.final_error(error, timed_out=False)
        answer = error_answer(error)
        headers = [("Content-Type", "application/json")]
        if isinstance(error, AdmissionError):
            headers.append(self._deps.dialect.retry_after(error.retry_after))
        try:
            exchange.answer(answer.status, headers, answer.body)
        except CallerGone:
            return 0
        return answer.status

    def _fail(
        self,
        exchange: ClientExchange,
        exc: TurmerictrayError,
        trace: RequestTrace,
        call: CancellableCall,
    ) -> None:
        if call.caller_gone:
            self._give_up(exchange, exc, trace, call)
            return
        if exchange.answer_started:
            exchange.abort()
            trace.end("cut", exchange.status, f"{type(exc).__name__}: {exc}")
            return
        answer = error_answer(exc)
        headers = [("Content-Type", "application/json")]
        if isinstance(exc, AdmissionError):
            left_s = trace.caller_remaining_s if exc.caps_retry_after else math.inf
            wait = retry_after_s(exc.retry_after, left_s, self._rng)
            headers.append(self._deps.dialect.retry_after(wait))
        try:
            exchange.answer(answer.status, headers, answer.body)
        except CallerGone as gone:
            trace.end("caller_gone", 0, str(gone))
            return
        trace.end("refused", answer.status, f"{type(exc).__name__}: {exc}")


def _check_size(routed: RoutedRequest, config: RoutingConfig) -> None:
    """Refuse a prompt that each engine would turn away as if it were full."""
    spec = config.services.get(routed.service)
    engine = None if spec is None else spec.engine
    if engine is not None and not engine.may_hold(routed.envelope.prompt):
        raise TooLarge("larger_than_engines", _TOO_LARGE_RETRY_S)


def _to_final_error(exc: Exception, trace: RequestTrace) -> TurmerictrayError:
    """Return what a caller is told of its request after an unexpected exception."""
    failure = InternalFailure("internal_failure", _FAILED_RETRY_S)
    failure.__cause__ = exc
    progress = trace.progress
    return failure if progress is None else progress.final_error(failure, timed_out=False)
