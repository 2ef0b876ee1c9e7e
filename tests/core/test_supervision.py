"""Tests for the containment of unexpected exceptions."""

import threading

import pykka
import pytest

from turmerictray.core import metrics, supervision
from turmerictray.core.actor import VitalActor, ask_with_timeout
from turmerictray.core.supervision import (
    SupervisedThread,
    Supervisor,
    install_supervisor,
    place_of,
)
from turmerictray.core.timer import TimerService


class Clock:
    now = 0.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def supervisor():
    """Install a supervisor that lists the times at which the process became unfit."""
    clock, unfit_at = Clock(), []
    found = Supervisor(lambda: unfit_at.append(clock.now), clock)
    found.clock, found.unfit_at = clock, unfit_at
    install_supervisor(found)
    yield found
    install_supervisor(None)
    pykka.ActorRegistry.stop_all()


class Divider(VitalActor):
    """Divides by each number that it receives."""

    uncounted_messages = (str,)

    def __init__(self) -> None:
        super().__init__()
        self.failed: list[object] = []

    def handle(self, message: float | str) -> object:
        return self.failed if message == "failed" else 6 / message

    def on_message_failed(self, message: object, _exc: Exception) -> None:
        self.failed.append(message)


def test_message_that_raises_fails_alone(supervisor):
    """Guards against an actor that ends, with its process, because of one message."""
    actor = Divider.start()
    assert ask_with_timeout(actor, 0, 1.0) is None
    assert ask_with_timeout(actor, 2, 1.0) == 3
    assert ask_with_timeout(actor, "failed", 1.0) == [0]
    assert not supervisor.unfit_at


def test_failures_that_recur_make_the_process_unfit_once(supervisor):
    """Guards against a process that goes on although it can't do its work."""
    actor = Divider.start()
    for _ in range(5):
        ask_with_timeout(actor, 0, 1.0)
    assert supervisor.is_unfit
    assert len(supervisor.unfit_at) == 1


@pytest.mark.parametrize("between", [2, None])
def test_success_between_failures_shows_that_the_process_is_fit(supervisor, between):
    """Guards against one request that always fails and ends one router after the other."""
    actor = Divider.start()
    for _ in range(5):
        ask_with_timeout(actor, 0, 1.0)
        if between is not None:
            ask_with_timeout(actor, between, 1.0)
    assert supervisor.is_unfit == (between is None)


def test_failures_far_apart_leave_the_process_fit(supervisor):
    actor = Divider.start()
    for _ in range(5):
        ask_with_timeout(actor, 0, 1.0)
        supervisor.clock.now += 6.0
    assert not supervisor.is_unfit


def test_documents_that_fail_leave_the_process_fit(supervisor):
    """Guards against a document that ends all routers, as it reaches each of them."""
    actor = Divider.start()
    for _ in range(5):
        ask_with_timeout(actor, "zero", 1.0)
    assert ask_with_timeout(actor, "failed", 1.0) == ["zero"] * 5
    assert not supervisor.is_unfit


class Stepper(VitalActor):
    """Divides by each number of a list, as steps of which those by name count."""

    def __init__(self) -> None:
        super().__init__()
        self.done: list[float] = []

    def handle(self, message: list[tuple[float, str | None]]) -> list[float]:
        for number, kind in message:
            self.run_step(lambda number=number: self.done.append(6 / number), message, kind)
        return self.done


def test_failed_steps_keep_no_other_from_being_done(supervisor):
    """Guards against an actor whose tick ends at the first step that fails."""
    actor = Stepper.start()
    for _ in range(5):
        done = ask_with_timeout(actor, [(0, None), (2, None), (0, None), (3, None)], 1.0)
    assert done == [3, 2] * 5
    assert not supervisor.is_unfit


@pytest.mark.parametrize("others", [[], [(2, "other")], [(2, None)]])
def test_step_that_always_fails_makes_the_process_unfit_if_it_counts(supervisor, others):
    """Guards against a process that is ready although it can't do what callers need."""
    actor = Stepper.start()
    ask_with_timeout(actor, [(0, "vital"), (0, "vital"), (0, "vital"), (0, "vital"), *others], 1.0)
    assert not supervisor.is_unfit
    for _ in range(2):
        ask_with_timeout(actor, [(0, "vital"), *others], 1.0)
    assert supervisor.is_unfit


def test_step_that_succeeds_for_others_leaves_the_process_fit(supervisor):
    """Guards against one pool that ends a process which serves all others."""
    actor = Stepper.start()
    for _ in range(5):
        ask_with_timeout(actor, [(0, "vital"), (2, "vital")], 1.0)
    assert not supervisor.is_unfit


def test_steps_that_recur_fill_no_log(supervisor, monkeypatch):
    """Guards against a log of one line per tick and router while a step fails."""
    before = metrics.UNEXPECTED_EXCEPTIONS.labels("Stepper")._value.get()
    logged = []
    monkeypatch.setattr(supervision, "log_event", lambda *args, **_fields: logged.append(args))
    actor = Stepper.start()
    for _ in range(5):
        ask_with_timeout(actor, [(0, None)], 1.0)
    assert metrics.UNEXPECTED_EXCEPTIONS.labels("Stepper")._value.get() == before + 5
    assert len(logged) == 1


class Gone(VitalActor):
    """Tells an actor that has stopped."""

    def __init__(self, other: pykka.ActorRef) -> None:
        super().__init__()
        self.other = other

    def handle(self, message: object) -> object:
        if message == "tell":
            self.other.tell(message)
        return message


def test_actor_outlives_another_that_has_stopped(supervisor):
    """Guards against a peer link that ends silently, as a finished actor can't be told."""
    other = Divider.start()
    other.stop()
    actor = Gone.start(other)
    assert ask_with_timeout(actor, "tell", 1.0) is None
    assert ask_with_timeout(actor, "alive", 1.0) == "alive"


def test_thread_does_its_work_again_after_an_exception(supervisor):
    """Guards against a thread that ends while its process goes on without what it does."""
    done, calls = threading.Event(), []

    def work() -> None:
        calls.append(1)
        if len(calls) == 1:
            raise ValueError("not expected")
        done.set()

    counter = metrics.UNEXPECTED_EXCEPTIONS.labels("worker")
    before = counter._value.get()
    SupervisedThread(work, "worker").start()
    assert done.wait(2.0)
    assert counter._value.get() == before + 1


def test_timer_goes_on_when_a_subscriber_has_stopped(supervisor):
    """Guards against a router without ticks after one of its actors has finished its work."""
    timer, ticked = TimerService(), threading.Event()

    class Subscriber(pykka.ThreadingActor):
        use_daemon_thread = True

        def on_receive(self, _message: object) -> None:
            ticked.set()

    finished, going_on = Subscriber.start(), Subscriber.start()
    timer.subscribe(finished, "first", 0.05)
    timer.subscribe(going_on, "second", 0.2)
    finished.stop()
    timer.start()
    assert ticked.wait(2.0)
    timer.stop()


def test_place_names_file_line_and_function():
    try:
        int("x")
    except ValueError as exc:
        assert place_of(exc).startswith("test_supervision.py:")
        assert place_of(exc).endswith("test_place_names_file_line_and_function")
