"""Checking a history of calls against what the targets executed.

The callers record each call's invocation and completion (:class:`Outcome`); the targets
count executions per request id. The checker reports every call whose answer broke a promise.
"""

import re
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from turmerictray.loadtool.client import Outcome
from turmerictray.loadtool.orders import OrderTrial

_START_SLACK_S = 0.5
"""Time allowed from grant to first token (connect, prefill)."""


@dataclass(frozen=True)
class Violation:
    """One broken promise: which call, and which rule."""

    req_id: str
    rule: str
    detail: str


def check_history(
    outcomes: Iterable[Outcome],
    executions: dict[str, int],
    answer_within_s: float | None = None,
    queue_timeout_s: float | None = None,
) -> list[Violation]:
    """Check calls against the targets' execution counts.

    Parameters
    ----------
    outcomes : iterable of Outcome
        Every call made, from all callers.
    executions : dict of str to int
        Executions per request id, summed over all targets.
    answer_within_s : float or None
        When set, a refusal must have come within this many seconds of the call.
    queue_timeout_s : float or None
        When set, a served call's first token must come within this many seconds plus
        ``_START_SLACK_S``: a request that waited longer should have been given up.

    Returns
    -------
    list of Violation
        Empty when the history keeps every promise:

        * ``own-whole``: a 200 answer was whole, in order, and only its own request's tokens;
        * ``not-run-true``: a ``not_run`` refusal's request never executed;
        * ``retry-after``: a ``not_run`` refusal said when to come back;
        * ``prompt-refusal``: a refusal came at once, not held back;
        * ``at-most-once``: no request executed more than once;
        * ``queue-timeout-kept``: no served request waited past the queue timeout.
    """
    bad: list[Violation] = []
    for out in outcomes:
        runs = executions.get(out.req_id, 0)
        if out.status == 200 and not out.ok:
            bad.append(Violation(out.req_id, "own-whole", f"{out.tokens} tokens, {out.error}"))
        if out.error == "not_run":
            if runs:
                bad.append(Violation(out.req_id, "not-run-true", f"executed {runs}x"))
            if out.retry_after is None:
                bad.append(Violation(out.req_id, "retry-after", "no Retry-After"))
            if answer_within_s is not None and out.total_s > answer_within_s:
                bad.append(Violation(out.req_id, "prompt-refusal", f"{out.total_s:.2f} s"))
        late = queue_timeout_s is not None and out.first_token_s > queue_timeout_s + _START_SLACK_S
        if out.ok and late:
            bad.append(Violation(out.req_id, "queue-timeout-kept", f"{out.first_token_s:.2f} s"))
        if runs > 1:
            bad.append(Violation(out.req_id, "at-most-once", f"executed {runs}x"))
    return bad


def check_orders(trials: Iterable[OrderTrial], executions: dict[str, int]) -> list[Violation]:
    """Check orders, each tried perhaps through several routers, against the services' counts.

    Returns
    -------
    list of Violation
        Empty when the history keeps every promise:

        * ``at-most-once``: no order executed more than once;
        * ``booked-ran``: an order answered 200 executed;
        * ``not-run-true``: an order whose every try was refused as not run never executed.
    """
    bad: list[Violation] = []
    for trial in trials:
        runs = executions.get(trial.key, 0)
        if runs > 1:
            bad.append(Violation(trial.key, "at-most-once", f"executed {runs}x: {trial.answers}"))
        if any(answer.status == 200 for answer in trial.answers) and runs == 0:
            bad.append(Violation(trial.key, "booked-ran", "never executed"))
        refused = bool(trial.answers) and all(ans.error == "not_run" for ans in trial.answers)
        if refused and runs:
            bad.append(Violation(trial.key, "not-run-true", f"executed {runs}x"))
    return bad


_UNHANDLED = ("Traceback (most recent call last)", "event=http_server_error")
_IN_FORCE = re.compile(r"event=(?:config|text)_in_force version=(\d+)")


def check_config_logs(logs: Iterable[Path]) -> list[Violation]:
    """Check that no router's log shows a configuration in force below one before it.

    A router that restarts keeps nothing, so each process's lines are checked on their own.

    Returns
    -------
    list of Violation
        With the rule ``config-revert``; ``invariant``, for a router in assertion mode; or
        ``error``, for an error that nothing handled.
    """
    bad: list[Violation] = []
    for log in logs:
        newest = 0
        for line in log.read_text().splitlines():
            if " seq=0 " in line:
                newest = 0
            if "event=invariant_broken" in line:
                bad.append(Violation(log.stem, "invariant", line))
            if any(mark in line for mark in _UNHANDLED):
                bad.append(Violation(log.stem, "error", line[:200]))
            found = _IN_FORCE.search(line)
            if found is None:
                continue
            if int(found[1]) < newest:
                bad.append(Violation(log.stem, "config-revert", line))
            newest = int(found[1])
    return bad
