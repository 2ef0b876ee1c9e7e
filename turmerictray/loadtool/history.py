"""Checks of recorded calls against the executions that the targets counted.

Callers record the start and the result of each call (:class:`Outcome`); targets count executions
per request id. The checks report every call that violates one of the router's guarantees.
"""

import re
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from turmerictray.loadtool.client import Outcome
from turmerictray.loadtool.orders import OrderTrial

_FIRST_TOKEN_SLACK_S = 0.5
"""Time allowed from grant to first token (connection and prefill)."""


@dataclass(frozen=True)
class Violation:
    """A violated guarantee.

    Attributes
    ----------
    req_id : str
        Request id, order key or router name that it concerns.
    rule : str
        Name of the violated rule.
    detail : str
    """

    req_id: str
    rule: str
    detail: str


def check_history(
    outcomes: Iterable[Outcome],
    executions: dict[str, int],
    answer_within_s: float | None = None,
    queue_timeout_s: float | None = None,
) -> list[Violation]:
    """Check streamed calls against the execution counts of the targets.

    Parameters
    ----------
    outcomes : iterable of Outcome
        The results of all calls of all callers.
    executions : dict of str to int
        Executions per request id, summed over all targets.
    answer_within_s : float or None
        Longest time in seconds that a ``not_run`` refusal may take; None leaves it unchecked.
    queue_timeout_s : float or None
        The router's queue timeout; None leaves it unchecked. The first token of a complete answer
        must arrive within this time plus ``_FIRST_TOKEN_SLACK_S``, since a request that waits
        longer should have been refused.

    Returns
    -------
    list of Violation
        Empty when every rule holds:

        * ``own-whole``: a 200 answer is complete, in order, and has only tokens of its request;
        * ``not-run-true``: a request refused with ``not_run`` never executed;
        * ``retry-after``: a ``not_run`` refusal carries ``Retry-After``;
        * ``prompt-refusal``: a ``not_run`` refusal arrives within ``answer_within_s``;
        * ``at-most-once``: no request executed more than once;
        * ``queue-timeout-kept``: no completed request waited longer than the queue timeout.
    """
    violations: list[Violation] = []
    for outcome in outcomes:
        run_count = executions.get(outcome.req_id, 0)
        if outcome.status == 200 and not outcome.ok:
            violations.append(
                Violation(outcome.req_id, "own-whole", f"{outcome.tokens} tokens, {outcome.error}")
            )
        if outcome.error == "not_run":
            if run_count:
                violations.append(
                    Violation(outcome.req_id, "not-run-true", f"executed {run_count}x")
                )
            if outcome.retry_after is None:
                violations.append(Violation(outcome.req_id, "retry-after", "no Retry-After"))
            if answer_within_s is not None and outcome.total_s > answer_within_s:
                violations.append(
                    Violation(outcome.req_id, "prompt-refusal", f"{outcome.total_s:.2f} s")
                )
        late = (
            queue_timeout_s is not None
            and outcome.first_token_s > queue_timeout_s + _FIRST_TOKEN_SLACK_S
        )
        if outcome.ok and late:
            violations.append(
                Violation(outcome.req_id, "queue-timeout-kept", f"{outcome.first_token_s:.2f} s")
            )
        if run_count > 1:
            violations.append(Violation(outcome.req_id, "at-most-once", f"executed {run_count}x"))
    return violations


def check_orders(trials: Iterable[OrderTrial], executions: dict[str, int]) -> list[Violation]:
    """Check orders against the execution counts of the plain services.

    An order is a non-idempotent request; its caller may retry it through several routers.

    Returns
    -------
    list of Violation
        Empty when every rule holds:

        * ``at-most-once``: no order executed more than once;
        * ``booked-ran``: an order that was answered with 200 executed;
        * ``not-run-true``: an order of which every attempt was refused with ``not_run`` never
          executed.
    """
    violations: list[Violation] = []
    for trial in trials:
        run_count = executions.get(trial.key, 0)
        if run_count > 1:
            violations.append(
                Violation(trial.key, "at-most-once", f"executed {run_count}x: {trial.answers}")
            )
        if any(answer.status == 200 for answer in trial.answers) and run_count == 0:
            violations.append(Violation(trial.key, "booked-ran", "never executed"))
        refused = bool(trial.answers) and all(answer.error == "not_run" for answer in trial.answers)
        if refused and run_count:
            violations.append(Violation(trial.key, "not-run-true", f"executed {run_count}x"))
    return violations


_UNHANDLED_ERROR_MARKS = ("Traceback (most recent call last)", "event=http_server_error")
_CONFIG_ACTIVE_LINE = re.compile(r"event=(?:config|text)_in_force version=(\d+)")


def check_config_logs(logs: Iterable[Path]) -> list[Violation]:
    """Check router logs for configuration rollbacks, broken invariants and unhandled errors.

    A restarted router keeps nothing from before, so versions are compared only within the lines of
    one process. Log line numbers (``seq``) start at 0 in each process.

    Returns
    -------
    list of Violation
        With one of these rules:

        * ``config-revert``: the active configuration version decreased;
        * ``invariant``: a router in assertion mode found a broken invariant;
        * ``error``: an error was not handled.
    """
    violations: list[Violation] = []
    for log in logs:
        active_version = 0
        for line in log.read_text().splitlines():
            if " seq=0 " in line:
                active_version = 0
            if "event=invariant_broken" in line:
                violations.append(Violation(log.stem, "invariant", line))
            if any(mark in line for mark in _UNHANDLED_ERROR_MARKS):
                violations.append(Violation(log.stem, "error", line[:200]))
            found = _CONFIG_ACTIVE_LINE.search(line)
            if found is None:
                continue
            if int(found[1]) < active_version:
                violations.append(Violation(log.stem, "config-revert", line))
            active_version = int(found[1])
    return violations
