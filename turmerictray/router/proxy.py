"""Serving of one caller's request, from admission to the last byte of its answer.

The code runs on the worker thread of the front that owns the caller's connection. It communicates
with the dispatcher only by messages: :class:`Admit` requests a slot on a target, and
:class:`Finished` releases it.
"""

import time
from collections.abc import Iterable, Iterator
from concurrent.futures import TimeoutError as FutureTimeout
from dataclasses import dataclass

import msgspec
import pykka
import urllib3

from turmerictray.config.schema import Config, ServiceKind
from turmerictray.core import metrics
from turmerictray.core.decoding import Counter, DecodingError, decode_json
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

_USAGE_TAIL_BYTES = 4096
"""Bytes at the end of an answer that are searched for the engine's ``usage`` report."""

_GRANT_MARGIN_S = 5.0
"""Time beyond the queue timeout that a thread waits for the dispatcher's reply, in seconds."""

_STREAM_ERROR = b'data: {"error": {"type": "outcome_unknown", "message": "stream broke"}}\n\n'


class _Usage(msgspec.Struct):
    total_tokens: Counter = 0


class _UsageEvent(msgspec.Struct):
    usage: _Usage | None = None


@dataclass
class Answer:
    """An answer for the caller: status, headers and body chunks."""

    status: int
    headers: list[tuple[str, str]]
    body: Iterable[bytes]


@dataclass
class _ClaimHolder:
    """Holder for the claim of a non-idempotent request; empty until the claim is granted."""

    claim: Claim | None = None


class Proxy:
    """Server for callers' requests: admits them, calls a target and returns its answer.

    Parameters
    ----------
    dispatcher : pykka.ActorRef
        The router's dispatcher.
    upstream : Upstream
        The router's connection pool.
    guard : OrderGuard
        Claims the keys of non-idempotent requests.
    node : str
        Name of this router, sent to targets in ``X-Router``.
    """

    def __init__(
        self, dispatcher: pykka.ActorRef, upstream: Upstream, guard: OrderGuard, node: str
    ) -> None:
        self.dispatcher = dispatcher
        self.upstream = upstream
        self.guard = guard
        self.node = node

    def serve(self, req: CallerRequest, cfg: Config) -> Answer:
        """Queue a request, send it to a target and return the answer.

        A request that was not sent is attempted on another target. One whose outcome is unknown
        is attempted again only if it is idempotent. There are at most ``max_retries`` further
        attempts. Once the outcome of one attempt is unknown, the outcome of the request is
        unknown whatever error later attempts end with. The caller's key of a non-idempotent
        request is claimed before the first byte is sent, and released if no attempt sent any.

        Parameters
        ----------
        req : CallerRequest
        cfg : Config

        Returns
        -------
        Answer

        Raises
        ------
        AdmissionError
            The request was refused or timed out in the queue. It was not run.
        NotSent
            Every attempt failed before it reached a target. The request was not run.
        OutcomeUnknown
            An attempt failed after it may have reached the target, and no retry succeeded.
        DuplicateOrder
            Another copy of a non-idempotent request holds the key. This copy was not run.
        """
        holder = _ClaimHolder()
        try:
            return self._serve_with_retries(req, cfg, holder)
        except (AdmissionError, NotSent):
            if holder.claim is not None:
                self.guard.release(holder.claim)
            raise

    def _serve_with_retries(
        self, req: CallerRequest, cfg: Config, holder: "_ClaimHolder"
    ) -> Answer:
        failed_targets: set[str] = set()
        max_attempts = cfg.limits.max_retries + 1
        unknown: OutcomeUnknown | None = None
        for attempt in range(max_attempts):
            try:
                grant = self._admit(req, cfg, frozenset(failed_targets), retry=attempt > 0)
            except AdmissionError:
                if unknown is None:
                    raise
                break
            if not req.idempotent and req.caller_keyed:
                self._ensure_claim(req, grant, cfg, holder)
            try:
                return self._attempt(req, grant, cfg.limits, attempt)
            except (NotSent, UpstreamRefused):
                failed_targets.add(grant.target)
            except OutcomeUnknown as exc:
                if not req.idempotent:
                    raise
                unknown = exc
                failed_targets.add(grant.target)
        if unknown is not None:
            # The error of the last attempt may mean "not run", but an earlier attempt may have
            # run. "Not run" would tell the caller that the request had no effect.
            raise OutcomeUnknown(str(unknown), cfg.limits.retry_after_s) from unknown
        raise NotSent(f"no target took the request after {max_attempts} tries")

    def _ensure_claim(
        self, req: CallerRequest, grant: Grant, cfg: Config, holder: "_ClaimHolder"
    ) -> None:
        limits = cfg.limits
        try:
            if holder.claim is None:
                key = claim_key(req.team, req.service, req.req_id)
                holder.claim = self.guard.acquire(
                    key, req.when_cut, limits.order_memory_s, limits.retry_after_s
                )
            # If this process is frozen between claiming and sending, the routers that store the
            # claim may expire it and grant the key to a copy of the request. A claim is therefore
            # used for only half of its lifetime there, so that it cannot be used after a copy was
            # granted the key. A freeze during the send itself is not covered.
            if not holder.claim.is_fresh(time.monotonic()):
                raise ClaimUnavailable("claim_too_old", limits.retry_after_s)
        except (ClaimUnavailable, DuplicateOrder) as exc:
            self._release_slot(req, grant, 0.0)
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
                req.stream,
            )
        except (NotSent, UpstreamRefused) as exc:
            is_refused = isinstance(exc, UpstreamRefused)
            self._release_slot(req, grant, 0.0, is_refused, exc.rest_s if is_refused else 0.0)
            log_event(
                "not_sent",
                req=req.req_id,
                target=grant.target,
                attempt=attempt,
                exc=type(exc).__name__,
            )
            raise
        except OutcomeUnknown:
            self._record_unknown_outcome(req, grant, "send", attempt)
            raise
        self._report_load(grant, resp.headers)
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
            return Answer(resp.status, headers, self._stream_body(req, grant, resp))
        data = self._read_body(req, grant, resp, attempt)
        return Answer(resp.status, [*headers, ("Content-Length", str(len(data)))], [data])

    def _record_unknown_outcome(
        self, req: CallerRequest, grant: Grant, stage: str, attempt: int
    ) -> None:
        self._release_slot(req, grant, req.estimated_cost)
        log_event(
            "outcome_unknown",
            req=req.req_id,
            target=grant.target,
            idempotent=req.idempotent,
            stage=stage,
            attempt=attempt,
        )

    def _record_finished(self, req: CallerRequest, grant: Grant, cost: float, outcome: str) -> None:
        self._release_slot(req, grant, cost)
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
            Admit(req.req_id, req.team, req.estimated_cost, placement, reply, retry, version, start)
        )
        try:
            grant = reply.result(timeout=cfg.limits.queue_timeout_s + _GRANT_MARGIN_S)
        except FutureTimeout:
            # Normally the dispatcher's expiry check has replied before. If that actor is stalled,
            # the caller still gets a final answer now. Cancelling fails if a grant arrives at the
            # same moment; the grant is then used.
            if reply.cancel():
                metrics.REQUESTS.labels(req.team, "refused").inc()
                raise QueueTimeout("queue_timeout", cfg.limits.retry_after_s) from None
            grant = reply.result()
        except AdmissionError:
            metrics.REQUESTS.labels(req.team, "refused").inc()
            raise
        waited_s = time.monotonic() - start
        if waited_s > cfg.limits.queue_timeout_s:
            # This thread was delayed after the grant. Sent now, the request would start after the
            # queue timeout, by which it is guaranteed to have started or been refused.
            self._release_slot(req, grant, 0.0)
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
        content_type = resp.headers.get("Content-Type", "application/json")
        return [
            ("Content-Type", content_type),
            ("X-Request-Id", req.req_id),
            ("X-Config-Version", str(req.config_version)),
        ]

    def _stream_body(self, req: CallerRequest, grant: Grant, resp) -> Iterator[bytes]:
        tail = b""
        chunks = 0
        outcome = "done"
        try:
            for chunk in self._stream_pieces(resp, grant.url):
                chunks += 1
                tail = (tail + chunk)[-_USAGE_TAIL_BYTES:]
                yield chunk
        except OutcomeUnknown:
            outcome = "broken"
            log_event("stream_broken", level="WARNING", req=req.req_id, target=grant.target)
            if not _is_event_stream(resp):
                # The caller's answer must end without its last chunk.
                raise
            yield _STREAM_ERROR
        except GeneratorExit:
            outcome = "caller_gone"
            resp.release_conn()
            raise
        finally:
            self._record_finished(req, grant, _cost_tokens(tail, req, chunks), outcome)

    def _stream_pieces(self, resp, url: str) -> Iterator[bytes]:
        """Yield the body of a streamed answer; an event that is broken off is not passed on."""
        if _is_event_stream(resp):
            return self.upstream.stream_events(resp, url)
        return self.upstream.stream(resp, url)

    def _read_body(self, req: CallerRequest, grant: Grant, resp, attempt: int) -> bytes:
        # The status of an answer that is not streamed is sent to the caller only after its last
        # byte has arrived. A connection lost within the body then gives the caller an "outcome
        # unknown" error instead of a 200 with a truncated body.
        try:
            data = self.upstream.read(resp, grant.url)
        except OutcomeUnknown:
            self._record_unknown_outcome(req, grant, "body", attempt)
            raise
        self._record_finished(req, grant, _cost_tokens(data[-_USAGE_TAIL_BYTES:], req, 1), "done")
        return data

    def _release_slot(
        self,
        req: CallerRequest,
        grant: Grant,
        cost: float,
        target_reached: bool = True,
        rest_s: float = 0.0,
    ) -> None:
        self.dispatcher.tell(
            Finished(
                req.req_id,
                req.team,
                grant.target,
                req.estimated_cost,
                cost,
                target_reached,
                rest_s,
            )
        )

    def _report_load(self, grant: Grant, headers) -> None:
        busy, age = headers.get("X-Load-Busy"), headers.get("X-Load-Age", "0")
        try:
            report = LoadReport(grant.target, int(busy), float(age))
        except (TypeError, ValueError):
            return
        self.dispatcher.tell(report)


def _is_event_stream(resp: urllib3.BaseHTTPResponse) -> bool:
    return resp.headers.get("Content-Type", "").startswith("text/event-stream")


def _cost_tokens(tail: bytes, req: CallerRequest, chunks: int) -> float:
    """Return the actual cost of a request in tokens.

    Parameters
    ----------
    tail : bytes
        Last bytes of the answer, which hold the engine's ``usage`` report if there is one.
    req : CallerRequest
    chunks : int
        Number of chunks received, used as the cost if the engine reported none.

    Returns
    -------
    float
        1.0 for a plain service.
    """
    if req.kind is ServiceKind.PLAIN:
        return 1.0
    idx = tail.rfind(b'"usage"')
    if idx >= 0:
        start = tail.rfind(b"{", 0, idx)
        line_start = tail.rfind(b"data: ", 0, idx)
        start = line_start + 6 if line_start >= 0 else max(start, 0)
        end = tail.find(b"\n", idx)
        event = tail[start : end if end >= 0 else len(tail)]
        try:
            usage = decode_json(event, _UsageEvent).usage
        except DecodingError:
            usage = None
        if usage is not None and usage.total_tokens:
            return float(usage.total_tokens)
    return float(max(chunks, 1))
