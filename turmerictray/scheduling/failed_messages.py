"""What the broker undoes after a message whose handling has failed."""

import time
from collections.abc import Callable
from contextlib import ExitStack
from functools import singledispatchmethod

from turmerictray.admission.pool_repair import repair_pools
from turmerictray.core.errors import InternalFailure
from turmerictray.core.ids import TargetId
from turmerictray.core.logs import log_event
from turmerictray.core.supervision import place_of
from turmerictray.crashes.fingerprint import CrashVerdict
from turmerictray.scheduling.broker_answers import give_back_charge
from turmerictray.scheduling.broker_messages import Ask, Settled, TextArrived
from turmerictray.scheduling.failed_texts import FailedTexts
from turmerictray.scheduling.service_pools import ServicePools

FAILED_RETRY_AFTER_S = 0.1
"""Retry-After in seconds of a request whose own message failed; another router may serve it."""


class FailedMessages:
    """Removes what a failed message has left in the pools, and refuses what it asked for.

    Parameters
    ----------
    pools : ServicePools
    texts : FailedTexts
        Remembers a routing configuration that has failed.
    record_verdict : callable
        Records what the end of a request tells about crashes; may be called again.
    """

    def __init__(
        self,
        pools: ServicePools,
        texts: FailedTexts,
        record_verdict: Callable[[CrashVerdict, TargetId, float], None],
    ) -> None:
        self._pools = pools
        self._texts = texts
        self._record_verdict = record_verdict

    @singledispatchmethod
    def undo(self, message: object, exc: Exception) -> None:
        """Undo what a message of the given type may have left."""

    @undo.register
    def _(self, message: Ask, _exc: Exception) -> None:
        message.reply.try_set_exception(InternalFailure("internal_failure", FAILED_RETRY_AFTER_S))
        for pool in self._pools.for_service(message.service):
            request = pool.withdraw(message.call_id)
            if request is not None:
                give_back_charge(request, pool)

    @undo.register
    def _(self, message: Settled, _exc: Exception) -> None:
        # Each part is done again by itself, in reverse order of the callbacks; what was done before
        # has no further effect. The verdict comes first: without it, a request that ends its
        # targets would be sent on to others.
        pool, now = self._pools.unsharded(message.service), time.monotonic()
        call = message.target, message.call_id
        with ExitStack() as parts:
            parts.callback(pool.forget_call, *call, message.cost)
            parts.callback(pool.settle, *call, message.outcome, now, message.cost)
            if message.verdict is not None:
                parts.callback(self._record_verdict, message.verdict, message.target, now)

    @undo.register
    def _(self, message: TextArrived, exc: Exception) -> None:
        self._texts.note_failure(message, time.monotonic())
        log_event(
            "text_failed",
            level="ERROR",
            version=message.config.version,
            source=message.source,
            place=place_of(exc),
            reason=repr(exc)[:200],
        )

    def repair(self) -> None:
        """Restore what must hold in the pools, whatever has failed halfway."""
        for unsharded in self._pools.all_unsharded():
            found = repair_pools(self._pools.for_service(unsharded.name))
            if found:
                log_event("state_repaired", level="WARNING", service=unsharded.name, found=found)
