"""Answers of the broker to requests: grants and refusals."""

from turmerictray.admission.pool import ServicePool
from turmerictray.admission.pool_types import Dispatch
from turmerictray.core.errors import Draining, QueueTimeout, TurmerictrayError
from turmerictray.fairness.queue import PendingRequest
from turmerictray.routing.load import TargetPhase
from turmerictray.scheduling.broker_messages import Granted

_DRAINING_RETRY_AFTER_S = 0.05
"""Retry-After in seconds when this process is about to be replaced; another router may serve."""


def to_granted(pool: ServicePool, sent: Dispatch) -> Granted:
    """Return the answer to a request that is dispatched."""
    placement = sent.placement
    return Granted(
        placement.load.info,
        placement.expected_s,
        placement.miss_tokens,
        placement.ahead_tokens,
        fetch_from=placement.source.address if placement.source else "",
        backlog_s=pool.backlog_s(),
        isolated=sent.pending.context.isolated,
    )


def unservable_reason(request: PendingRequest, pool: ServicePool) -> str:
    """Return why no target can serve a request, for its caller."""
    if request.context.version is not None:
        return "no_target_of_version"
    phases = {load.info.phase for load in pool.targets.loads.values()}
    return "zone_evacuated" if TargetPhase.EVACUATED in phases else "targets_leaving"


def draining() -> Draining:
    """Return the refusal of a router that places nothing any more."""
    return Draining("unfit", _DRAINING_RETRY_AFTER_S)


def refuse(request: PendingRequest, pool: ServicePool, exc: TurmerictrayError) -> None:
    """Refuse a request that is not or no longer queued, and that no target was granted to."""
    # Before the answer, as the request may be asked for again at once.
    give_back_charge(request, pool)
    request.reply.try_set_exception(exc)


def give_back_charge(request: PendingRequest, pool: ServicePool) -> None:
    """Take a request that is not sent off the retry budget."""
    charged_at, request.context.charged_at = request.context.charged_at, None
    if charged_at is not None:
        pool.budget.refund(charged_at)


def refuse_expired(request: PendingRequest, pool: ServicePool, now: float) -> None:
    """Refuse a request whose time in the queue is over."""
    reason = _timeout_reason(request, pool, now)
    refuse(request, pool, QueueTimeout(reason, pool.expected_wait_s(request)))


def _timeout_reason(request: PendingRequest, pool: ServicePool, now: float) -> str:
    """Describe for the log why a request's queue wait timed out."""
    waited_for = request.context.last_reserved_target
    if waited_for is None:
        return f"queue_timeout: {len(pool.queue)} others wait"
    overdue_ms = round(waited_for.overdue_s(now) * 1000)
    return (
        f"queue_timeout: {len(pool.queue)} others wait, "
        f"for {waited_for.info.id} overdue {overdue_ms} ms"
    )
