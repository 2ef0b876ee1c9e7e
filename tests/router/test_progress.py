"""When a request may be retried, and which errors its caller may receive."""

from hypothesis import given
from hypothesis import strategies as st

from turmerictray.config.routes import Backend, Route, RouteKind
from turmerictray.core.errors import (
    AdmissionError,
    NoTarget,
    NotSent,
    OutcomeUnknown,
    QueueTimeout,
    TargetBusy,
    TimedOut,
)
from turmerictray.core.ids import ServiceName
from turmerictray.router.progress import Progress
from turmerictray.transport.events import Event

causes = st.sampled_from(
    [
        NotSent("refused"),
        OutcomeUnknown("reset"),
        TargetBusy("full", 0.5),
        QueueTimeout("queue_timeout", 0.5),
        NoTarget("no_target", 0.5),
    ]
)
outcome_lists = st.lists(st.sampled_from(["before_send", "not_run", "maybe_ran"]), max_size=5)


def make_progress(kind: RouteKind, attempts: int, resumable: bool = False) -> Progress:
    backends = (Backend(ServiceName("s")),)
    route = Route("r", "h", "/", kind, backends, 1.0, 0.5, 0.2, attempts, resumable=resumable)
    return Progress(route)


def record_outcomes(progress: Progress, outcomes: list[str]) -> None:
    actions = {
        "before_send": progress.record_send_failure,
        "not_run": progress.record_not_run,
        "maybe_ran": progress.record_possible_run,
    }
    for number, step in enumerate(outcomes):
        actions[step](f"t{number}")


@given(
    st.sampled_from(RouteKind),
    st.booleans(),
    st.integers(1, 4),
    outcome_lists,
    causes,
    st.booleans(),
)
def test_refusal_implies_not_run(kind, resumable, attempts, outcomes, cause, timed_out):
    # A refusal promises that the request has not run and will not run. After a false one the caller
    # sends its order again, and it runs twice.
    progress = make_progress(kind, attempts, resumable)
    record_outcomes(progress, outcomes)
    error = progress.final_error(cause, timed_out)
    assert not (isinstance(error, AdmissionError) and "maybe_ran" in outcomes)
    if "maybe_ran" in outcomes:
        assert isinstance(error, OutcomeUnknown | TimedOut)


@given(st.sampled_from(RouteKind), st.booleans(), st.integers(1, 4), outcome_lists)
def test_request_that_may_have_run_is_retried_only_if_repeatable(
    kind, resumable, attempts, outcomes
):
    progress = make_progress(kind, attempts, resumable)
    record_outcomes(progress, outcomes)
    if progress.allows_retry(1.0):
        assert progress.route.repeatable or "maybe_ran" not in outcomes
        assert len(outcomes) - outcomes.count("before_send") < attempts


def test_stream_resumes_only_after_event_with_id():
    progress = make_progress(RouteKind.STREAMING, 3, resumable=True)
    progress.answer_started = True
    progress.record_possible_run("t0")
    assert progress.allows_retry(1.0)
    progress.record_events([Event(b"data: a\n\n", None)])
    assert not progress.allows_retry(1.0)
    progress.record_events([Event(b"id: 4\ndata: a\n\n", "4")])
    assert progress.allows_retry(1.0)
    assert progress.last_event_id == "4"


def test_no_attempt_without_time_left():
    assert not make_progress(RouteKind.IDEMPOTENT, 3).allows_retry(0.01)
