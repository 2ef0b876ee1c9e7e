"""Questions to actors with a time limit, and actors without which a process can't go on."""

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


class VitalActor(pykka.ThreadingActor):
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
