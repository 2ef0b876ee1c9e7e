"""One caller's request, from admission to the last byte of its answer.

Runs on the front's worker thread that owns the caller's connection. It talks to the dispatcher
only by messages: :class:`Admit` to wait for a slot and :class:`Finished` to give it back.
"""

import time
from collections.abc import Iterable, Iterator
from concurrent.futures import TimeoutError as FutureTimeout
from dataclasses import dataclass

import msgspec
import pykka

from turmerictray.config.schema import Config, ServiceKind
from turmerictray.core import metrics
from turmerictray.core.errors import (
    AdmissionError,
    ClaimUnavailable,
    DuplicateOrder,
    NotSent,
    OutcomeUnknown,
    QueueTimeout,
    UpstreamRefused,
)
from turmerictray.core.logs import log_event
from turmerictray.core.reply import Reply
from turmerictray.orders.guard import Claim, OrderGuard
from turmerictray.orders.keys import claim_key
from turmerictray.router.messages import Admit, Finished, Grant, LoadReport, Placement
from turmerictray.router.request import CallerRequest
from turmerictray.router.upstream import Upstream

_TAIL_BYTES = 4096
_GRANT_MARGIN_S = 5.0
_STREAM_ERROR = b'data: {"error": {"type": "outcome_unknown", "message": "stream broke"}}\n\n'


class _Usage(msgspec.Struct):
    total_tokens: int = 0


class _UsageEvent(msgspec.Struct):
    usage: _Usage | None = None


@dataclass
class Answer:
    """What the front sends back: status, headers and a body iterator."""

    status: int
    headers: list[tuple[str, str]]
    body: Iterable[bytes]


@dataclass
class _Order:
    """The claim of one non-idempotent request, once it has one."""

    claim: Claim | None = None


class Proxy:
    """Serves caller requests through the dispatcher and the upstream pool.

    Parameters
    ----------
    dispatcher : pykka.ActorRef
        The router's dispatcher.
    upstream : Upstream
        The router's connection pool.
    guard : OrderGuard
        Claims the keys of non-idempotent requests.
    node : str
        This router, named to targets in ``X-Router``.
    """

    def __init__(
        self, dispatcher: pykka.ActorRef, upstream: Upstream, guard: OrderGuard, node: str
    ) -> None:
        self.dispatcher = dispatcher
        self.upstream = upstream
        self.guard = guard
        self.node = node

    def serve(self, req: CallerRequest, cfg: Config) -> Answer:
        """Queue, send, and return the answer of ``req``.

        A call that was not sent is tried on another target; one whose outcome is unknown is
        tried again only when it is idempotent; at most ``max_retries`` more tries in all. Once
        one try's outcome is unknown, every later failure ends as unknown too. The key that a
        caller gave a non-idempotent request is claimed before its first byte is sent, and given
        back if no try sent one.

        Raises
        ------
        AdmissionError
            Refused or given up before any byte was sent by any try: it was not run.
        NotSent
            Every try failed before reaching a target: it was not run.
        OutcomeUnknown
            A call broke after it may have reached the target, and no retry answered it.
        DuplicateOrder
            Another copy of a non-idempotent request was taken; this one was not run.
        """
        order = _Order()
        try:
            return self._serve(req, cfg, order)
        except (AdmissionError, NotSent):
            if order.claim is not None:
                self.guard.release(order.claim)
            raise

    def _serve(self, req: CallerRequest, cfg: Config, order: "_Order") -> Answer:
        exclude: set[str] = set()
        tries = cfg.limits.max_retries + 1
        broken: OutcomeUnknown | None = None
        for attempt in range(tries):
            try:
                grant = self._admit(req, cfg, frozenset(exclude), retry=attempt > 0)
            except AdmissionError:
                if broken is None:
                    raise
                break
            if not req.idempotent and req.caller_keyed:
                self._claim(req, grant, cfg, order)
            try:
                return self._attempt(req, grant, cfg.limits, attempt)
            except (NotSent, UpstreamRefused):
                exclude.add(grant.target)
            except OutcomeUnknown as exc:
                if not req.idempotent:
                    raise
                broken = exc
                exclude.add(grant.target)
        if broken is not None:
            # The last failure may say "not run", but of its own try only: an earlier try may
            # have run, and a caller told "not run" would believe that nothing happened.
            raise OutcomeUnknown(str(broken), cfg.limits.retry_after_s) from broken
        raise NotSent(f"no target took the request after {tries} tries")

    def _claim(self, req: CallerRequest, grant: Grant, cfg: Config, order: "_Order") -> None:
        limits = cfg.limits
        try:
            if order.claim is None:
                key = claim_key(req.team, req.service, req.req_id)
                order.claim = self.guard.take(
                    key, req.when_cut, limits.order_memory_s, limits.retry_after_s
                )
            # A process frozen between claim and send wakes up still believing in its claim,
            # which the homes may have forgotten and given to a copy. A claim is acted on for
            # half as long as the homes keep it, so the copy is refused before this one is sent
            # too late. What stays open is a freeze within the send itself.
            if not order.claim.fresh(time.monotonic()):
                raise ClaimUnavailable("claim_too_old", limits.retry_after_s)
        except (ClaimUnavailable, DuplicateOrder) as exc:
            self._finish(req, grant, 0.0)
            log_event("order_stopped", req=req.req_id, target=grant.target, reason=str(exc))
            raise

    def _attempt(self, req: CallerRequest, grant: Grant, limits, attempt: int) -> Answer:
        try:
            resp = self.upstream.open(
                grant.url + req.upstream_path,
                req.body,
                self._headers(req, grant),
                limits.connect_timeout_s,
                limits.request_timeout_s,
                req.idempotent,
            )
        except (NotSent, UpstreamRefused) as exc:
            self._finish(req, grant, 0.0, reached=isinstance(exc, UpstreamRefused))
            log_event(
                "not_sent",
                req=req.req_id,
                target=grant.target,
                attempt=attempt,
                exc=type(exc).__name__,
            )
            raise
        except OutcomeUnknown:
            self._unknown(req, grant, "send", attempt)
            raise
        self._note_load(grant, resp.headers)
        log_event(
            "sent",
            req=req.req_id,
            team=req.team,
            target=grant.target,
            status=resp.status,
            attempt=attempt,
        )
        headers = self._answer_headers(req, resp)
        if req.stream:
            return Answer(resp.status, headers, self._relay(req, grant, resp))
        data = self._read_whole(req, grant, resp, attempt)
        return Answer(resp.status, [*headers, ("Content-Length", str(len(data)))], [data])

    def _unknown(self, req: CallerRequest, grant: Grant, stage: str, attempt: int) -> None:
        self._finish(req, grant, req.hint)
        log_event(
            "outcome_unknown",
            req=req.req_id,
            target=grant.target,
            idempotent=req.idempotent,
            stage=stage,
            attempt=attempt,
        )

    def _done(self, req: CallerRequest, grant: Grant, cost: float, outcome: str) -> None:
        self._finish(req, grant, cost)
        metrics.REQUESTS.labels(req.team, outcome).inc()
        log_event(
            "finished",
            req=req.req_id,
            team=req.team,
            target=grant.target,
            outcome=outcome,
            cost=cost,
        )

    def _admit(
        self, req: CallerRequest, cfg: Config, exclude: frozenset[str], retry: bool
    ) -> Grant:
        placement = Placement(req.service, req.prefix_key, exclude)
        reply = Reply()
        start = time.monotonic()
        version = req.config_version
        self.dispatcher.tell(
            Admit(req.req_id, req.team, req.hint, placement, reply, retry, version, start)
        )
        try:
            grant = reply.result(timeout=cfg.limits.queue_timeout_s + _GRANT_MARGIN_S)
        except FutureTimeout:
            # The dispatcher's expiry tick should have answered first; if the actor is stalled
            # the caller still gets a final answer now instead of waiting without end. A grant
            # that comes at the same moment wins over the cancel and is used.
            if reply.cancel():
                raise QueueTimeout("queue_timeout", cfg.limits.retry_after_s) from None
            grant = reply.result()
        except AdmissionError:
            metrics.REQUESTS.labels(req.team, "refused").inc()
            raise
        waited_s = time.monotonic() - start
        if waited_s > cfg.limits.queue_timeout_s:
            # This thread has heard of the grant late. Sent now, the request would begin after its
            # caller has been promised that it does not.
            self._finish(req, grant, 0.0)
            metrics.REQUESTS.labels(req.team, "refused").inc()
            raise QueueTimeout("queue_timeout", cfg.limits.retry_after_s)
        metrics.QUEUE_WAIT.observe(waited_s)
        return grant

    def _headers(self, req: CallerRequest, grant: Grant) -> dict[str, str]:
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": req.req_id,
            "X-Team": req.team,
            "X-Router": self.node,
            "X-Fence": str(grant.fence),
        }
        if not req.idempotent:
            headers["Idempotency-Key"] = req.req_id
        return headers

    def _answer_headers(self, req: CallerRequest, resp) -> list[tuple[str, str]]:
        kind = resp.headers.get("Content-Type", "application/json")
        return [
            ("Content-Type", kind),
            ("X-Request-Id", req.req_id),
            ("X-Config-Version", str(req.config_version)),
        ]

    def _relay(self, req: CallerRequest, grant: Grant, resp) -> Iterator[bytes]:
        tail = b""
        chunks = 0
        outcome = "done"
        try:
            for chunk in self.upstream.stream(resp):
                chunks += 1
                tail = (tail + chunk)[-_TAIL_BYTES:]
                yield chunk
        except OutcomeUnknown:
            outcome = "broken"
            log_event("stream_broken", level="WARNING", req=req.req_id, target=grant.target)
            if req.stream:
                yield _STREAM_ERROR
        except GeneratorExit:
            outcome = "caller_gone"
            resp.release_conn()
            raise
        finally:
            self._done(req, grant, _cost_of(tail, req, chunks), outcome)

    def _read_whole(self, req: CallerRequest, grant: Grant, resp, attempt: int) -> bytes:
        # An answer that is not streamed reaches the caller whole or not at all: its status
        # goes out only after the last byte came in, so a break mid-body becomes an
        # "outcome unknown" error instead of a 200 with half a body.
        try:
            data = b"".join(self.upstream.stream(resp))
        except OutcomeUnknown:
            self._unknown(req, grant, "body", attempt)
            raise
        self._done(req, grant, _cost_of(data[-_TAIL_BYTES:], req, 1), "done")
        return data

    def _finish(self, req: CallerRequest, grant: Grant, cost: float, reached: bool = True) -> None:
        self.dispatcher.tell(Finished(req.req_id, req.team, grant.target, req.hint, cost, reached))

    def _note_load(self, grant: Grant, headers) -> None:
        busy, age = headers.get("X-Load-Busy"), headers.get("X-Load-Age", "0")
        try:
            report = LoadReport(grant.target, int(busy), float(age))
        except (TypeError, ValueError):
            return
        self.dispatcher.tell(report)


def _cost_of(tail: bytes, req: CallerRequest, chunks: int) -> float:
    """True cost in tokens: the engine's ``usage``, else one per streamed chunk."""
    if req.kind is ServiceKind.PLAIN:
        return 1.0
    idx = tail.rfind(b'"usage"')
    if idx >= 0:
        start = tail.rfind(b"{", 0, idx)
        line_start = tail.rfind(b"data: ", 0, idx)
        start = line_start + 6 if line_start >= 0 else max(start, 0)
        end = tail.find(b"\n", idx)
        piece = tail[start : end if end >= 0 else len(tail)]
        try:
            usage = msgspec.json.decode(piece, type=_UsageEvent).usage
        except msgspec.DecodeError:
            usage = None
        if usage is not None and usage.total_tokens:
            return float(usage.total_tokens)
    return float(max(chunks, 1))
