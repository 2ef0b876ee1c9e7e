"""Checks that routers act on what workers say of themselves in answers."""

from collections import defaultdict
from collections.abc import Iterator

from turmerictray.loadtool.history import Violation
from turmerictray.platform.soak.checks import STOPPING_S
from turmerictray.platform.soak.record import SoakRecord
from turmerictray.platform.standins.worker import ReceivedRequest, Worker

_NOTICE_GRACE_S = 2.0
"""Time after an answer in which requests of the router that passed it on may still arrive."""

_REST_SLACK_S = 0.5
"""Start of a rest in which requests that were on their way may still arrive."""

_MAX_REQUESTS_IN_REST = 2


def check_leaving_notices(record: SoakRecord, workers: list[Worker]) -> Iterator[Violation]:
    """Check that routers send nothing to a worker that has told them that it leaves.

    Only requests of the record's callers count, from those that were sent later than two seconds
    after the router had passed on such an answer. A router that was disturbed or stopped since then
    is excused.
    """
    requests = {request.request_id: request for request in record.requests}
    for worker in workers:
        retired = record.retired_workers.get(worker.id)
        if retired is None or not retired.tells_in_answers:
            continue
        told_at = _told_at_by_router(record, worker, retired.retired_at)
        for received in worker.received_requests:
            request = requests.get(_id_of(received))
            if request is None or request.router not in told_at:
                continue
            since = told_at[request.router]
            if request.started_at <= since + _NOTICE_GRACE_S or _is_excused(
                record, request.router, since, received.received_at
            ):
                continue
            detail = (
                f"reached {worker.id} {received.received_at - since:.2f} s after {request.router} "
                "had passed on that it leaves"
            )
            yield Violation(request.request_id, "leaving-notice", detail)


def _told_at_by_router(record: SoakRecord, worker: Worker, since: float) -> dict[str, float]:
    """Return when each router had first passed on an answer that said that the worker leaves."""
    told = {_id_of(found) for found in worker.received_requests if found.received_at >= since}
    told_at: dict[str, float] = {}
    for request in record.requests:
        seal = request.answer.headers.get("X-Server-Seal")
        if request.request_id in told and seal == f"seal.{worker.id}":
            earliest = told_at.get(request.router, request.ended_at)
            told_at[request.router] = min(earliest, request.ended_at)
    return told_at


def check_rests(record: SoakRecord, workers: list[Worker]) -> Iterator[Violation]:
    """Check that a router sends hardly anything to a worker that has asked it for rest.

    A router that was disturbed or stopped, or cut off from a worker, is excused.
    """
    router_by_id = {request.request_id: request.router for request in record.requests}
    for flood in record.floods:
        router_by_id |= dict.fromkeys(flood.outcome_by_id, flood.router)
    for worker in workers:
        by_router: dict[str, list[ReceivedRequest]] = defaultdict(list)
        for received in worker.received_requests:
            router = router_by_id.get(_id_of(received))
            if router is not None:
                by_router[router].append(received)
        for router, requests in by_router.items():
            yield from _check_rests_for(record, worker, router, requests)


def _check_rests_for(
    record: SoakRecord, worker: Worker, router: str, requests: list[ReceivedRequest]
) -> Iterator[Violation]:
    for refused in requests:
        if refused.rest_asked is None:
            continue
        at, rest_s = refused.received_at, float(refused.rest_asked)
        count = sum(at + _REST_SLACK_S < found.received_at < at + rest_s for found in requests)
        if count > _MAX_REQUESTS_IN_REST and not _is_excused(
            record, router, at, at + rest_s, "worker"
        ):
            detail = (
                f"{count} more of {router} reached {worker.id} in the {rest_s:g} s it asked for"
            )
            yield Violation(_id_of(refused), "rest", detail)


def _is_excused(
    record: SoakRecord, router: str, since: float, until: float, *components: str
) -> bool:
    return record.was_disturbed(since, until, router, *components) or any(
        name == router and since - STOPPING_S <= at <= until for name, at in record.planned_stops
    )


def _id_of(received: ReceivedRequest) -> str:
    return received.headers.get("X-Request-Id", "")
