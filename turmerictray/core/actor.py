"""Actor base classes, queries to actors with a timeout, and the stop of all actors."""

import os
import sys
import time
from types import TracebackType
from typing import Any

import pykka

from turmerictray.core.logs import close_logs, log_event

ACTOR_FAILED_EXIT = 71
"""Exit status of a process that ends because one of its actors failed."""


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
    """An actor whose failure terminates its process.

    By default only the actor that raised stops. A router without the actor that owns its pools
    would still report that it is ready but refuse every request, and one without its peer link
    would run isolated, until somebody notices. A terminated router is restarted within a second.

    Subclasses acquire their resources in :meth:`open`, not in ``on_start``.
    """

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

    def on_failure(
        self,
        exception_type: type[BaseException] | None,
        exception_value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Log the failure and terminate the process."""
        if isinstance(exception_value, pykka.ActorDeadError):
            # The actor that was asked has been stopped on purpose, or its own failure is about to
            # terminate the process.
            log_event("actor_gone", level="WARNING", asked_by=type(self).__name__)
            return
        log_event(
            "actor_failed",
            level="ERROR",
            actor=type(self).__name__,
            reason=repr(exception_value)[:200],
        )
        close_logs()
        os._exit(ACTOR_FAILED_EXIT)
