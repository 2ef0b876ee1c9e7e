"""What may still be done with a request, and what its caller may be told."""

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
steps = st.lists(st.sampled_from(["before_send", "not_run", "maybe_ran"]), max_size=5)


def make_progress(kind: RouteKind, attempts: int, resumable: bool = False) -> Progress:
    backends = (Backend(ServiceName("s")),)
    route = Route("r", "h", "/", kind, backends, 1.0, 0.5, 0.2, attempts, resumable=resumable)
    return Progress(route)


def play(progress: Progress, taken: list[str]) -> None:
    actions = {
        "before_send": progress.failed_before_send,
        "not_run": progress.not_run,
        "maybe_ran": progress.maybe_ran,
    }
    for number, step in enumerate(taken):
        actions[step](f"t{number}")


@given(st.sampled_from(RouteKind), st.booleans(), st.integers(1, 4), steps, causes, st.booleans())
def test_refusals_are_true(kind, resumable, attempts, taken, cause, timed_out):
    # A refusal promises that nothing ran and nothing will. A caller that believes a false one sends
    # its order again, and two vans arrive.
    progress = make_progress(kind, attempts, resumable)
    play(progress, taken)
    told = progress.failure(cause, timed_out)
    assert not (isinstance(told, AdmissionError) and "maybe_ran" in taken)
    if "maybe_ran" in taken:
        assert isinstance(told, OutcomeUnknown | TimedOut)


@given(st.sampled_from(RouteKind), st.booleans(), st.integers(1, 4), steps)
def test_what_may_have_run_is_only_sent_again_where_that_is_allowed(
    kind, resumable, attempts, taken
):
    progress = make_progress(kind, attempts, resumable)
    play(progress, taken)
    if progress.may_try_again(1.0):
        assert progress.route.repeatable or "maybe_ran" not in taken
        assert len(taken) - taken.count("before_send") < attempts


def test_stream_goes_on_only_from_a_known_place():
    progress = make_progress(RouteKind.STREAMING, 3, resumable=True)
    progress.answering = True
    progress.maybe_ran("t0")
    assert progress.may_try_again(1.0)
    progress.note_events([Event(b"data: a\n\n", None)])
    assert not progress.may_try_again(1.0)
    progress.note_events([Event(b"id: 4\ndata: a\n\n", "4")])
    assert progress.may_try_again(1.0)
    assert progress.last_event == "4"


def test_no_try_without_time():
    assert not make_progress(RouteKind.IDEMPOTENT, 3).may_try_again(0.01)
