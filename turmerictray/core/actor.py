"""Actors that don't keep their process, questions to them with a time limit, and their end."""

import os
import time
from types import TracebackType
from typing import Any

import pykka

from turmerictray.core.logs import log_event

ACTOR_FAILED_EXIT = 71
"""Exit status of a process whose actor failed."""

_LOGGED_S = 0.2
"""Time for the log line to be written."""


def ask_in_time(actor: pykka.ActorRef, message: object, limit_s: float) -> Any | None:
    """An actor's answer, or None, with a line in the log, when it takes longer than ``limit_s``.

    After a freeze, or on a slow machine with a long mailbox, answers come late. The error of a late
    answer, raised in an actor, would end that actor for good.
    """
    try:
        return actor.ask(message, timeout=limit_s)
    except pykka.Timeout:
        log_event("answer_late", level="WARNING", to=type(message).__name__, limit_s=limit_s)
        return None


def stop_actors(within_s: float) -> None:
    """Stop all actors, the last started first.

    One that is busy, with a peer that does not answer for example, is told and left behind; waiting
    for it would leave the others running until the process is killed.

    Parameters
    ----------
    within_s : float
        Seconds that this may take in all.
    """
    until = time.monotonic() + within_s
    for actor in reversed(pykka.ActorRegistry.get_all()):
        # Half of what is left, so that there is always some for the next one.
        limit_s = max(0.0, until - time.monotonic()) / 2
        try:
            actor.stop(timeout=limit_s)
        except pykka.Timeout:
            name = actor.actor_class.__name__
            log_event("actor_still_busy", level="WARNING", actor=name, limit_s=round(limit_s, 2))


class BackgroundActor(pykka.ThreadingActor):
    """An actor whose thread ends with the process."""

    use_daemon_thread = True


class VitalActor(BackgroundActor):
    """An actor whose failure ends its process.

    An actor that raises an error only stops itself. Without its owner of pools or of the peer link
    a router would go on saying that it is ready and answer every caller with a refusal, or go on
    alone, until someone notices; ended, it is back in a second.
    """

    def on_failure(
        self,
        exception_type: type[BaseException] | None,
        exception_value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Say what failed and end the process."""
        if isinstance(exception_value, pykka.ActorDeadError):
            # The other actor was stopped in a planned stop, or ends the process itself.
            log_event("actor_gone", level="WARNING", asked_by=type(self).__name__)
            return
        log_event(
            "actor_failed",
            level="ERROR",
            actor=type(self).__name__,
            reason=repr(exception_value)[:200],
        )
        time.sleep(_LOGGED_S)
        os._exit(ACTOR_FAILED_EXIT)
