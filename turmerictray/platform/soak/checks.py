"""Checks of the router's guarantees, from the records of callers and workers."""

import signal
from collections import defaultdict
from collections.abc import Iterator
from typing import NamedTuple, TypeVar

from turmerictray.loadtool.history import Violation
from turmerictray.platform.soak.record import (
    RUN_ONCE,
    STREAMS,
    InternalFault,
    SoakRecord,
    SoakRequest,
)
from turmerictray.platform.standins.local import TEAM
from turmerictray.platform.standins.worker import ReceivedRequest, Worker, shared_part_ids

_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses with which a router guarantees that the request has not run and never will."""

_ROUTE_TIMEOUT_S = 3.0
_ANSWER_SLACK_S = 1.0
"""Added to the half second that the guarantee allows, since processes share a busy machine."""

_DISCONNECT_GRACE_S = 1.0
_LEAVING_GRACE_S = 2.5
_EVACUATION_S = 3.0
"""Time within which nothing more is sent to a zone that is evacuated."""
_SETTLE_S = 3.0
"""A component counts as undisturbed once its last disturbance ended at least this long ago."""

STOPPING_S = 9.0
"""Time after a planned stop in which the router may still be stopping."""

_FAULT_EFFECT_S = 2.0
"""Time after the injection of an internal fault in which requests that arrive may be affected."""

_MAX_CRASHES = 3
_MAX_PART_CRASHES = 5
_MAX_LATER_SENDS = 3
MIN_SOUND_REQUESTS = 20


Arrival = TypeVar("Arrival", bound=tuple)
"""Arrival of a request at a worker; the first element is its time in monotonic seconds."""


def check_answers(record: SoakRecord, event_count: int) -> Iterator[Violation]:
    """Check that each complete answer is a worker's and belongs to its request."""
    for request in record.requests:
        answer = request.answer
        if request.route in STREAMS and answer.status == 200:
            ids = answer.event_ids()
            first = request.first_event
            if ids != list(range(first, first + len(ids))):
                yield Violation(request.request_id, "order", f"events {ids}")
            if answer.complete and len(ids) != event_count + 1 - first:
                yield Violation(request.request_id, "whole", f"complete with {len(ids)} events")
        if answer.status != 200 or not answer.complete:
            continue
        if "X-Server-Seal" not in answer.headers:
            yield Violation(request.request_id, "own-answer", "no seal of a worker")
        if answer.headers.get("X-Request-Id") != request.request_id:
            yield Violation(request.request_id, "own-answer", f"headers {answer.headers}")
        expected = f"{request.method} {request.target} {len(request.body)}".encode()
        if request.route not in STREAMS and answer.body != expected:
            yield Violation(request.request_id, "own-answer", f"body {answer.body[:60]!r}")


def check_software_versions(record: SoakRecord) -> Iterator[Violation]:
    """Check that each stream holds events of one software version, over its caller's requests."""
    versions: dict[str, set[str]] = defaultdict(set)
    for request in record.requests:
        versions[request.stream_id] |= request.answer.versions()
    for stream_id, found in versions.items():
        if len(found) > 1:
            yield Violation(stream_id, "one-version", f"events of {sorted(found)}")


def check_executions(record: SoakRecord, workers: list[Worker]) -> Iterator[Violation]:
    """Check that workers ran only sent requests, unchanged, and those of ``RUN_ONCE`` only once."""
    by_id = {request.request_id: request for request in record.requests}
    flood_outcomes = {
        key: outcome for flood in record.floods for key, outcome in flood.outcome_by_id.items()
    }
    probe_ids = {probe.request_id for probe in record.probes}
    runs_by_id: dict[str, list[ReceivedRequest]] = defaultdict(list)
    for worker in workers:
        for received in worker.runs():
            runs_by_id[received.headers.get("X-Request-Id", "")].append(received)
    for request_id, runs in runs_by_id.items():
        request = by_id.get(request_id)
        if request_id in flood_outcomes:
            yield from _check_flood_runs(request_id, flood_outcomes[request_id], runs)
            continue
        if request_id in probe_ids:
            continue
        if request is None:
            yield Violation(request_id, "unasked", f"{runs[0].method} {runs[0].target}")
            continue
        yield from _check_runs(request, runs)


def _check_runs(request: SoakRequest, runs: list[ReceivedRequest]) -> Iterator[Violation]:
    for run in runs:
        if (run.method, run.target, run.body) != (request.method, request.target, request.body):
            yield Violation(request.request_id, "unasked", f"{run.method} {run.target} differs")
        if run.headers.get("X-Tenant") != TEAM or "Authorization" in run.headers:
            yield Violation(request.request_id, "unasked", "wrong team, or API key forwarded")
    if request.route in RUN_ONCE and len(runs) > 1:
        yield Violation(request.request_id, "at-most-once", f"ran {len(runs)} times")
    if request.route in RUN_ONCE and request.answer.status in _NOT_RUN_STATUSES:
        yield Violation(request.request_id, "not-run-true", f"{request.answer.status}, but it ran")


def _check_flood_runs(
    request_id: str, outcome: str, runs: list[ReceivedRequest]
) -> Iterator[Violation]:
    if len(runs) > 1:
        yield Violation(request_id, "at-most-once", f"ran {len(runs)} times")
    if outcome.isdecimal() and int(outcome) in _NOT_RUN_STATUSES:
        yield Violation(request_id, "not-run-true", f"{outcome}, but it ran")


def check_floods(record: SoakRecord) -> Iterator[Violation]:
    """Check that a flooded router answers every request, unless it was also disturbed."""
    for flood in record.floods:
        if record.was_disturbed(
            flood.started_at - _SETTLE_S, flood.ended_at, flood.router, "worker"
        ):
            continue
        if any(name == flood.router and at <= flood.ended_at for name, at in record.planned_stops):
            continue
        unanswered = [
            key for key, outcome in flood.outcome_by_id.items() if outcome == "unanswered"
        ]
        if unanswered:
            detail = f"{len(unanswered)} of {len(flood.outcome_by_id)} at {flood.router}"
            yield Violation(unanswered[0], "unanswered", detail)


def check_answer_times(record: SoakRecord) -> Iterator[Violation]:
    """Check that undisturbed routers answer by the route's timeout."""
    for request in record.requests:
        elapsed_s = request.ended_at - request.started_at
        if elapsed_s <= _ROUTE_TIMEOUT_S + 0.5 + _ANSWER_SLACK_S:
            continue
        if not record.was_disturbed(
            request.started_at - _SETTLE_S, request.ended_at, request.router
        ):
            yield Violation(
                request.request_id, "time-out", f"{request.router} took {elapsed_s:.2f} s"
            )


def check_disconnected_callers(record: SoakRecord, workers: list[Worker]) -> Iterator[Violation]:
    """Check that no worker receives a request whose caller has disconnected."""
    abandoned = {
        request.request_id: request
        for request in record.requests
        if request.disconnected_at is not None
    }
    for worker in workers:
        for received in worker.received_requests:
            request = abandoned.get(received.headers.get("X-Request-Id", ""))
            if (
                request is None
                or received.received_at <= request.disconnected_at + _DISCONNECT_GRACE_S
            ):
                continue
            if not record.was_disturbed(
                request.started_at - _SETTLE_S, received.received_at, request.router, "worker"
            ):
                late_s = received.received_at - request.disconnected_at
                yield Violation(
                    request.request_id,
                    "gone",
                    f"reached {worker.id} {late_s:.2f} s after the disconnect",
                )


def check_leaving_workers(record: SoakRecord, workers: list[Worker]) -> Iterator[Violation]:
    """Check that a leaving worker gets no new requests, if nothing was disturbed meanwhile."""
    for worker in workers:
        retired = record.retired_workers.get(worker.id)
        if retired is None or retired.crashed or retired.tells_in_answers:
            continue
        for received in worker.received_requests:
            if received.received_at <= retired.retired_at + _LEAVING_GRACE_S:
                continue
            if not record.was_disturbed(retired.retired_at - _SETTLE_S, received.received_at):
                late_s = received.received_at - retired.retired_at
                request_id = received.headers.get("X-Request-Id", "-")
                yield Violation(
                    request_id,
                    "leaving",
                    f"reached {worker.id} {late_s:.2f} s after it started to leave",
                )


def check_evacuated_zones(record: SoakRecord, workers: list[Worker]) -> Iterator[Violation]:
    """Check that an evacuated zone gets no requests, if nothing was disturbed meanwhile."""
    for evacuation in record.evacuations:
        for worker in workers:
            if worker.zone != evacuation.zone:
                continue
            for received in worker.received_requests:
                late_s = received.received_at - evacuation.started_at
                if late_s <= _EVACUATION_S or received.received_at > evacuation.ended_at:
                    continue
                if not record.was_disturbed(
                    evacuation.started_at - _SETTLE_S, received.received_at
                ):
                    request_id = received.headers.get("X-Request-Id", "-")
                    detail = f"reached {worker.id} {late_s:.2f} s after {worker.zone}'s evacuation"
                    yield Violation(request_id, "evacuated", detail)


def check_cold_workers(workers: list[Worker]) -> Iterator[Violation]:
    """Check that no cold worker crashed under too many requests."""
    for worker in workers:
        if worker.crashed_cold:
            yield Violation(worker.id, "cold", "crashed under too many requests while cold")


def check_crashing_requests(
    record: SoakRecord, workers: list[Worker], routers: list[str]
) -> Iterator[Violation]:
    """Check that a request that crashed three workers is sent to hardly any others.

    Counting starts again after a moment at which every router had just been killed or stopped,
    since no router is then left that knows of the earlier crashes.
    """
    for body in record.crashing_bodies:
        arrivals = sorted(
            (received.received_at, received.ran)
            for worker in workers
            for received in worker.received_requests
            if received.body == body
        )
        for span in _split_arrivals(record, arrivals, routers):
            crashes = [at for at, ran in span if ran]
            later = [
                at
                for at, _ in span
                if len(crashes) >= _MAX_CRASHES and at > crashes[_MAX_CRASHES - 1] + _SETTLE_S
            ]
            if len(later) > _MAX_LATER_SENDS:
                detail = f"sent {len(later)} more times; {len(crashes)} workers crashed in total"
                yield Violation(body.decode(), "deadly", detail)


def check_crashing_parts(
    record: SoakRecord, workers: list[Worker], routers: list[str]
) -> Iterator[Violation]:
    """Check that a part that crashed five workers is sent to hardly any others.

    Counting starts again as in :func:`check_crashing_requests`. Sends of disturbed routers, and
    while the store is, don't count.
    """
    router_by_id = {request.request_id: request.router for request in record.requests}

    def is_disturbed(arrival: PartArrival) -> bool:
        router = router_by_id.get(arrival.request_id, "")
        return record.was_disturbed(arrival.at - _SETTLE_S, arrival.at, router, "store")

    for part in sorted(record.crashing_parts):
        for span in _split_arrivals(record, part_arrivals(part, workers), routers):
            later = [arrival for arrival in late_sends(span) if not is_disturbed(arrival)]
            if len(later) > _MAX_LATER_SENDS:
                crashed = sum(arrival.ran for arrival in span)
                detail = f"sent {len(later)} more times; {crashed} workers crashed in total"
                yield Violation(part, "crashing-part", detail)


class PartArrival(NamedTuple):
    """Arrival of a prompt with a crashing part at a worker, in monotonic seconds."""

    at: float
    ran: bool
    request_id: str


def part_arrivals(part: str, workers: list[Worker]) -> list[PartArrival]:
    """Return the arrivals of prompts with a part at workers, in order of time."""
    return sorted(
        PartArrival(received.received_at, received.ran, received.headers.get("X-Request-Id", ""))
        for worker in workers
        for received in worker.received_requests
        if part in shared_part_ids(received.headers.get("X-Prompt-Prefix", ""))
    )


def late_sends(arrivals: list[PartArrival]) -> list[PartArrival]:
    """Return the arrivals later than the routers' time to react to the fifth crash."""
    crashes = [arrival.at for arrival in arrivals if arrival.ran]
    if len(crashes) < _MAX_PART_CRASHES:
        return []
    counted_from = crashes[_MAX_PART_CRASHES - 1] + _SETTLE_S
    return [arrival for arrival in arrivals if arrival.at > counted_from]


def check_sound_requests(record: SoakRecord, workers: list[Worker]) -> Iterator[Violation]:
    """Check that sound prompts are served while others with a crashing part are refused.

    Prompts at disturbed routers, and while the store is, don't count. With fewer than
    ``MIN_SOUND_REQUESTS`` before or after, nothing is checked.
    """
    before, after = sound_requests(record, workers)
    if min(len(before), len(after)) < MIN_SOUND_REQUESTS:
        return
    share_before, share_after = sum(before) / len(before), sum(after) / len(after)
    if share_after < share_before / 2:
        detail = f"{share_after:.2f} begin at the first attempt, {share_before:.2f} before"
        yield Violation("-", "sound-requests", detail)


def sound_requests(record: SoakRecord, workers: list[Worker]) -> tuple[list[bool], list[bool]]:
    """Return which sound prompts began, before the first crashing one and beside later ones."""
    first = min(
        (found.at for part in record.crashing_parts for found in part_arrivals(part, workers)),
        default=None,
    )
    if first is None:
        return [], []
    last = max(r.started_at for r in record.requests if r.request_id.startswith("part"))
    before, after = [], []
    for request in record.requests:
        if (
            request.route not in STREAMS
            or request.resumes
            or not request.request_id.startswith("soak")
            or request.disconnected_at is not None
            or record.was_disturbed(
                request.started_at - _SETTLE_S, request.ended_at, request.router, "store"
            )
        ):
            continue
        if request.ended_at < first:
            before.append(_begun(request))
        elif first + 2 * _SETTLE_S < request.started_at < last:
            after.append(_begun(request))
    return before, after


def _begun(request: SoakRequest) -> bool:
    return request.answer.status == 200 and bool(request.answer.event_ids())


def _split_arrivals(
    record: SoakRecord, arrivals: list[Arrival], routers: list[str]
) -> list[list[Arrival]]:
    """Split arrivals where no router was left that knew of the earlier ones."""
    spans: list[list[Arrival]] = [[]]
    for arrival in arrivals:
        if spans[-1] and _all_lost_state(record, spans[-1][0][0], arrival[0], routers):
            spans.append([])
        spans[-1].append(arrival)
    return spans


def _all_lost_state(record: SoakRecord, since: float, until: float, routers: list[str]) -> bool:
    """Return whether at some moment each router had just been disturbed or stopped."""
    moments = [disturbance.started_at for disturbance in record.disturbances] + [
        at for _, at in record.planned_stops
    ]
    return any(
        all(
            record.was_disturbed(at - _SETTLE_S, at, name)
            or any(
                stopped == name and at - STOPPING_S <= stopped_at <= at
                for stopped, stopped_at in record.planned_stops
            )
            for name in routers
        )
        for at in moments
        if since <= at <= until
    )


def check_planned_stops(record: SoakRecord) -> Iterator[Violation]:
    """Check that a planned stop cuts no answer in progress and that the process exits with 0."""
    for router_exit in record.exits:
        # SIGTERM ends a process by the signal if the router's own code does not run yet. No answer
        # is cut, since it has accepted no caller.
        too_early = router_exit.exit_code == -signal.SIGTERM and not router_exit.was_ready
        if router_exit.exit_code != 0 and not too_early:
            yield Violation(
                router_exit.router, "graceful-exit", f"exit code {router_exit.exit_code}"
            )
    for name, at in record.planned_stops:
        for request in record.requests:
            if (
                request.router != name
                or request.disconnected_at is not None
                or request.answer.complete
            ):
                continue
            during = at <= request.ended_at <= at + STOPPING_S and request.started_at <= at
            calm = not record.was_disturbed(request.started_at - _SETTLE_S, request.ended_at)
            if during and calm:
                yield Violation(request.request_id, "graceful-stop", f"cut by {name}'s stop")


def check_unplanned_exits(record: SoakRecord) -> Iterator[Violation]:
    """Check that no router process ended by itself."""
    for name, exit_code in record.unplanned_exits:
        yield Violation(name, "unplanned-exit", f"exit code {exit_code}")


def check_internal_faults(record: SoakRecord) -> Iterator[Violation]:
    """Check that an exception in a router costs no request that it has accepted.

    Each gets a whole answer or a refusal, unless something else disturbed the router. A disturbed
    worker may cut a stream, but doesn't excuse a missing status.
    """
    for request in record.requests:
        if request.disconnected_at is not None or request.answer.complete:
            continue
        fault = _internal_fault_during(record, request)
        if fault is not None and not _has_other_cause(record, request):
            detail = f"{request.router} lost it beside an exception in {fault.point}"
            yield Violation(request.request_id, "lost", detail)


def _internal_fault_during(record: SoakRecord, request: SoakRequest) -> InternalFault | None:
    return next(
        (
            fault
            for fault in record.internal_faults
            if fault.router == request.router
            and fault.armed_at <= request.ended_at
            and request.started_at <= fault.armed_at + _FAULT_EFFECT_S
        ),
        None,
    )


def _has_other_cause(record: SoakRecord, request: SoakRequest) -> bool:
    components = (request.router, "worker") if request.answer.status else (request.router,)
    return record.was_disturbed(
        request.started_at - _SETTLE_S, request.ended_at, *components
    ) or any(
        name == request.router and at <= request.ended_at and request.started_at <= at + STOPPING_S
        for name, at in record.planned_stops
    )
