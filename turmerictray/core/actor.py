"""Actor base classes, queries to actors with a timeout, and the stop of all actors."""

import math
import os
import sys
import time
from collections.abc import Callable
from types import TracebackType
from typing import Any

import pykka

from turmerictray.core import metrics
from turmerictray.core.logs import close_logs, log_event
from turmerictray.core.supervision import current_supervisor, log_failure, place_of

ACTOR_FAILED_EXIT = 71
"""Exit status of a process that ends because one of its actors failed."""

_STEP_LOG_INTERVAL_S = 1.0
"""Interval between two log lines on steps that fail at the same place; steps recur with ticks."""


def ask_with_timeout(actor: pykka.ActorRef, message: object, timeout_s: float) -> Any | None:
    """Ask an actor and return its answer, or None if it takes longer than ``timeout_s`` seconds.

    A timeout is logged instead of raised: answers are late after a process was frozen, or when the
    mailbox is long on a slow machine, and an uncaught :exc:`pykka.Timeout` would stop the actor
    that asks.
    """
    try:
        return actor.ask(message, timeout=timeout_s)
    except pykka.Timeout:
        log_event("answer_late", level="WARNING", to=type(message).__name__, limit_s=timeout_s)
        return None


def stop_actors(timeout_s: float) -> None:
    """Stop all actors in reverse order of their start.

    A busy actor, for example one that waits for an unresponsive peer, is sent the stop message and
    not waited for any longer; otherwise the remaining actors would run until the process is killed.

    Parameters
    ----------
    timeout_s : float
        Upper bound on the total time, in seconds.
    """
    deadline = time.monotonic() + timeout_s
    for actor in reversed(pykka.ActorRegistry.get_all()):
        # Half of the remaining time, so that some is left for each of the following actors.
        limit_s = max(0.0, deadline - time.monotonic()) / 2
        try:
            actor.stop(timeout=limit_s)
        except pykka.Timeout:
            name = actor.actor_class.__name__
            log_event("actor_still_busy", level="WARNING", actor=name, limit_s=round(limit_s, 2))


class BackgroundActor(pykka.ThreadingActor):
    """An actor that runs on a daemon thread, which does not keep the process alive."""

    use_daemon_thread = True


class VitalActor(BackgroundActor):
    """An actor that a process can't do without.

    Subclasses handle messages in :meth:`handle`. A message whose handling raises an unexpected
    exception fails alone: it is logged and counted, its sender is answered None, and the actor goes
    on. If failures recur, the process is unfit; see
    :class:`~turmerictray.core.supervision.Supervisor`. A process without a supervisor terminates at
    the first failure.

    By default only the actor that raised stops. A router without the actor that owns its pools
    would still report that it is ready but refuse every request, and one without its peer link
    would run isolated, until somebody notices.

    Subclasses acquire their resources in :meth:`open`, not in ``on_start``.

    Attributes
    ----------
    uncounted_messages : tuple of type
        Messages whose failures make no process unfit: documents and reports of peers. The same ones
        reach all routers, so that replacing each of them would help none.
    """

    uncounted_messages: tuple[type, ...] = ()
    _last_failed_message: object = None

    def __init__(self, *args: object, **kwargs: object) -> None:
        super().__init__(*args, **kwargs)
        self._failed_kinds: set[str] = set()
        self._step_logged_at: dict[str, float] = {}

    def on_start(self) -> None:
        """Acquire the actor's resources; terminate the process if that fails."""
        try:
            self.open()
        except Exception:
            # pykka doesn't call on_failure for a failed start.
            self.on_failure(*sys.exc_info())
            raise

    def open(self) -> None:
        """Acquire the actor's resources, on its own thread before the first message."""

    def on_receive(self, message: object) -> object:
        """Handle a message, and contain an unexpected exception."""
        self._last_failed_message = None
        self._failed_kinds.clear()
        try:
            result = self.handle(message)
        except pykka.ActorDeadError:
            self._log_gone()
        except Exception as exc:
            if current_supervisor() is None:
                raise
            self.note_failure(message, exc)
            self._undo(message, exc)
        else:
            if self._last_failed_message is not message:
                self.note_success(self._kind(message))
            return result
        return None

    def handle(self, message: object) -> object:
        """Handle a message; the result is the answer to whoever asked."""
        raise NotImplementedError

    def on_message_failed(self, message: object, exc: Exception) -> None:
        """Undo what a message that failed has left, and refuse what it asked for."""

    def contain(self, work: Callable[[], object], message: object, kind: str | None = None) -> bool:
        """Do a part of the work on a message; contain an exception of that part alone.

        Parameters
        ----------
        work : callable
        message : object
        kind : str or None
            Kind of work under which a failure counts; None for that of the message.

        Returns
        -------
        bool
            Whether the part was done.
        """
        try:
            work()
        except pykka.ActorDeadError:
            self._log_gone()
        except Exception as exc:
            if current_supervisor() is None:
                raise
            self.note_failure(message, exc, kind)
            return False
        return True

    def run_step(
        self, step: Callable[[], object], message: object, kind: str | None = None
    ) -> bool:
        """Do one step of a periodic message; contain an exception of that step alone.

        A failed step does not count as a failure of its message. The same step, failing at each
        tick of all routers, would end them all.

        Parameters
        ----------
        step : callable
        message : object
        kind : str or None
            Kind of work under which failures count, once per message; for work on the state of this
            process without which it can't serve callers. None for steps that would fail in a new
            process as well, as they work on what all routers share, and for those that others make
            up for.

        Returns
        -------
        bool
            Whether the step was done.
        """
        try:
            step()
        except pykka.ActorDeadError:
            self._log_gone()
        except Exception as exc:
            supervisor = current_supervisor()
            if supervisor is None:
                raise
            self._log_failed_step(message, exc)
            if kind is not None and kind not in self._failed_kinds:
                self._failed_kinds.add(kind)
                supervisor.record_failure(kind)
            return False
        if kind is not None:
            self.note_success(kind)
        return True

    def _log_failed_step(self, message: object, exc: Exception) -> None:
        place, now = place_of(exc), time.monotonic()
        if now - self._step_logged_at.get(place, -math.inf) >= _STEP_LOG_INTERVAL_S:
            self._step_logged_at[place] = now
            self.log_failed(message, exc)
        else:
            metrics.UNEXPECTED_EXCEPTIONS.labels(type(self).__name__).inc()

    def note_failure(self, message: object, exc: BaseException, kind: str | None = None) -> None:
        """Log and count an unexpected exception that a message has caused."""
        self.log_failed(message, exc)
        supervisor = current_supervisor()
        is_repeated, self._last_failed_message = self._last_failed_message is message, message
        if supervisor is None or is_repeated or isinstance(message, self.uncounted_messages):
            return
        supervisor.record_failure(kind or self._kind(message))

    def note_success(self, kind: str) -> None:
        """Record that work of a kind was done."""
        supervisor = current_supervisor()
        if supervisor is not None:
            supervisor.record_success(kind)

    def _undo(self, message: object, exc: Exception) -> None:
        try:
            self.on_message_failed(message, exc)
        except Exception as undo_exc:  # noqa: BLE001 - the actor goes on in any case
            self.log_failed(message, undo_exc)

    def _kind(self, message: object) -> str:
        return f"{type(self).__name__}:{type(message).__name__}"

    def _log_gone(self) -> None:
        # The actor that was asked or told has been stopped on purpose.
        log_event("actor_gone", level="WARNING", asked_by=type(self).__name__)

    def log_failed(self, message: object, exc: BaseException) -> None:
        """Log an unexpected exception that a message, or a request, has caused."""
        part = type(self).__name__
        call_id = getattr(message, "call_id", None)
        call = {} if call_id is None else {"call": call_id}
        log_failure(
            "actor_failed",
            part,
            exc,
            actor=part,
            message=type(message).__name__,
            req=self.request_of(message) or "-",
            **call,
        )

    def request_of(self, message: object) -> str | None:
        """Return the id of the request that a message is about, for the log; None if unknown."""
        return getattr(message, "req_id", None)

    def on_failure(
        self,
        exception_type: type[BaseException] | None,
        exception_value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Terminate the process: the actor could not start, or nothing supervises it."""
        if isinstance(exception_value, pykka.ActorDeadError):
            self._log_gone()
            return
        self.log_failed(None, exception_value)
        close_logs()
        os._exit(ACTOR_FAILED_EXIT)
