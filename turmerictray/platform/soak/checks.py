"""Checks the promises from what callers and workers saw."""

import signal
from collections import defaultdict
from collections.abc import Iterator

from turmerictray.loadtool.history import Violation
from turmerictray.platform.soak.record import RUN_ONCE, STREAMS, Record, Sent
from turmerictray.platform.standins.local import TEAM
from turmerictray.platform.standins.worker import Seen, Worker

_PROMISES = frozenset({408, 421, 429, 503})
"""Statuses by which a router says that the request has not run and never will."""

_TIME_OUT_S = 3.0
_ANSWER_SLACK_S = 1.0
"""Beyond the half second that the promise allows, since processes share a busy machine."""

_GONE_S = 1.0
_LEAVING_S = 2.5
_CALM_S = 3.0
"""What was disturbed this long before doesn't count as calm."""

_STOP_S = 9.0

_ENDS = 3
_LATER_SENDS = 3


def check_answers(record: Record, events: int) -> Iterator[Violation]:
    """Every answer that looks complete is its own request's, whole and a worker's."""
    for sent in record.sent:
        answer = sent.answer
        if sent.kind in STREAMS and answer.status == 200:
            ids = answer.event_ids()
            if ids != list(range(1, len(ids) + 1)):
                yield Violation(sent.request_id, "order", f"events {ids}")
            if answer.whole and len(ids) != events:
                yield Violation(sent.request_id, "whole", f"complete with {len(ids)} events")
        if answer.status != 200 or not answer.whole:
            continue
        if "X-Server-Seal" not in answer.headers:
            yield Violation(sent.request_id, "own-answer", "no signature of a worker")
        if answer.headers.get("X-Request-Id") != sent.request_id:
            yield Violation(sent.request_id, "own-answer", f"headers {answer.headers}")
        expected = f"{sent.method} {sent.target} {len(sent.body)}".encode()
        if sent.kind not in STREAMS and answer.body != expected:
            yield Violation(sent.request_id, "own-answer", f"body {answer.body[:60]!r}")


def check_runs(record: Record, workers: list[Worker]) -> Iterator[Violation]:
    """What ran was asked for, as it was asked, and once where it may run only once."""
    by_id = {sent.request_id: sent for sent in record.sent}
    flooded = {key: outcome for flood in record.floods for key, outcome in flood.outcome_of.items()}
    runs: dict[str, list[Seen]] = defaultdict(list)
    for worker in workers:
        for seen in worker.runs():
            runs[seen.headers.get("X-Request-Id", "")].append(seen)
    for request_id, seen_runs in runs.items():
        sent = by_id.get(request_id)
        if request_id in flooded:
            yield from _check_flooded_run(request_id, flooded[request_id], seen_runs)
            continue
        if sent is None:
            yield Violation(request_id, "unasked", f"{seen_runs[0].method} {seen_runs[0].target}")
            continue
        yield from _check_run(sent, seen_runs)


def _check_run(sent: Sent, runs: list[Seen]) -> Iterator[Violation]:
    for seen in runs:
        if (seen.method, seen.target, seen.body) != (sent.method, sent.target, sent.body):
            yield Violation(sent.request_id, "unasked", f"{seen.method} {seen.target} differs")
        if seen.headers.get("X-Tenant") != TEAM or "Authorization" in seen.headers:
            yield Violation(sent.request_id, "unasked", "wrong team, or the key was passed on")
    if sent.kind in RUN_ONCE and len(runs) > 1:
        yield Violation(sent.request_id, "at-most-once", f"ran {len(runs)} times")
    if sent.kind in RUN_ONCE and sent.answer.status in _PROMISES:
        yield Violation(sent.request_id, "not-run-true", f"{sent.answer.status}, but it ran")


def _check_flooded_run(request_id: str, outcome: str, runs: list[Seen]) -> Iterator[Violation]:
    if len(runs) > 1:
        yield Violation(request_id, "at-most-once", f"ran {len(runs)} times")
    if outcome.isdecimal() and int(outcome) in _PROMISES:
        yield Violation(request_id, "not-run-true", f"{outcome}, but it ran")


def check_floods(record: Record) -> Iterator[Violation]:
    """A router that is flooded answers everybody, unless it was disturbed besides."""
    for flood in record.floods:
        if record.disturbed(flood.began - _CALM_S, flood.ended, flood.router, "worker"):
            continue
        if any(name == flood.router and at <= flood.ended for name, at in record.stops):
            continue
        open_ids = [key for key, outcome in flood.outcome_of.items() if outcome == "unanswered"]
        if open_ids:
            detail = f"{len(open_ids)} of {len(flood.outcome_of)} at {flood.router}"
            yield Violation(open_ids[0], "unanswered", detail)


def check_times(record: Record) -> Iterator[Violation]:
    """Answers come by the route's time-out, from routers that were not disturbed."""
    for sent in record.sent:
        took = sent.ended - sent.began
        if took <= _TIME_OUT_S + 0.5 + _ANSWER_SLACK_S:
            continue
        if not record.disturbed(sent.began - _CALM_S, sent.ended, sent.router):
            yield Violation(sent.request_id, "time-out", f"{sent.router} took {took:.2f} s")


def check_gone(record: Record, workers: list[Worker]) -> Iterator[Violation]:
    """Nothing reaches a worker for a caller that has hung up."""
    left = {sent.request_id: sent for sent in record.sent if sent.left_at is not None}
    for worker in workers:
        for seen in worker.seen:
            sent = left.get(seen.headers.get("X-Request-Id", ""))
            if sent is None or seen.at <= sent.left_at + _GONE_S:
                continue
            if not record.disturbed(sent.began - _CALM_S, seen.at, sent.router, "worker"):
                late = seen.at - sent.left_at
                yield Violation(sent.request_id, "gone", f"reached {worker.id} {late:.2f} s later")


def check_leaving(record: Record, workers: list[Worker]) -> Iterator[Violation]:
    """A worker that is leaving gets nothing new, where routers and the store were undisturbed."""
    for worker in workers:
        retired = record.retired.get(worker.id)
        if retired is None or retired.crashed:
            continue
        for seen in worker.seen:
            if seen.at <= retired.at + _LEAVING_S:
                continue
            if not record.disturbed(retired.at - _CALM_S, seen.at):
                late = seen.at - retired.at
                request_id = seen.headers.get("X-Request-Id", "-")
                yield Violation(request_id, "leaving", f"{worker.id}, {late:.2f} s after")


def check_deadly(record: Record, workers: list[Worker], routers: list[str]) -> Iterator[Violation]:
    """A request under which three workers have ended soon reaches hardly any others.

    What all routers have forgotten, each of them having been killed or stopped, counts anew.
    """
    for body in record.deadly:
        arrivals = sorted(
            (seen.at, seen.ran) for worker in workers for seen in worker.seen if seen.body == body
        )
        for span in _remembered(record, arrivals, routers):
            ends = [at for at, ran in span if ran]
            later = [at for at, _ in span if len(ends) >= _ENDS and at > ends[_ENDS - 1] + _CALM_S]
            if len(later) > _LATER_SENDS:
                detail = f"reached workers {len(later)} times more; {len(ends)} ended in all"
                yield Violation(body.decode(), "deadly", detail)


def _remembered(
    record: Record, arrivals: list[tuple[float, bool]], routers: list[str]
) -> list[list[tuple[float, bool]]]:
    """The arrivals, parted where no router was left that knew of those before."""
    spans: list[list[tuple[float, bool]]] = [[]]
    for arrival in arrivals:
        if spans[-1] and _all_forgot(record, spans[-1][0][0], arrival[0], routers):
            spans.append([])
        spans[-1].append(arrival)
    return spans


def _all_forgot(record: Record, since: float, until: float, routers: list[str]) -> bool:
    """Whether at some moment each router had just been disturbed or stopped."""
    moments = [each.begun for each in record.disturbances] + [at for _, at in record.stops]
    return any(
        all(
            record.disturbed(at - _CALM_S, at, name)
            or any(stopped == name and at - _STOP_S <= when <= at for stopped, when in record.stops)
            for name in routers
        )
        for at in moments
        if since <= at <= until
    )


def check_stops(record: Record) -> Iterator[Violation]:
    """A planned stop cuts no answer that was asked for before it, and the process exits with 0."""
    for ended in record.exits:
        # Told to stop before it runs its own code, a process is ended by the signal; it has taken
        # no caller yet, so nothing is cut.
        too_early = ended.code == -signal.SIGTERM and not ended.was_ready
        if ended.code != 0 and not too_early:
            yield Violation(ended.router, "graceful-exit", f"exit code {ended.code}")
    for name, at in record.stops:
        for sent in record.sent:
            if sent.router != name or sent.left_at is not None or sent.answer.whole:
                continue
            during = at <= sent.ended <= at + _STOP_S and sent.began <= at
            calm = not record.disturbed(sent.began - _CALM_S, sent.ended)
            if during and calm:
                yield Violation(sent.request_id, "graceful-stop", f"cut by {name}'s stop")
