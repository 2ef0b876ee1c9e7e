"""Checking a history of calls against what the targets executed.

The callers record each call's invocation and completion (:class:`Outcome`); the targets
count executions per request id. The checker reports every call whose answer broke a promise.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from turmerictray.loadtool.client import Outcome

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
