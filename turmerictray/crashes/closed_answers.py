"""Checks, after the fact, whether answers that a close has ended were broken off by a crash."""

import time

from turmerictray.core.actor import VitalActor
from turmerictray.core.logs import log_unknown_message
from turmerictray.crashes.evidence import ClosedAnswer, CrashEvidence

_MAX_AGE_S = 0.5
"""Age from which an answer is not checked any more. It bounds the work that a burst of answers may
leave; the first crash that is found has later answers checked before their callers have them."""


class ClosedAnswerChecks(VitalActor):
    """Checks the targets of answers without their callers' waiting for it.

    Without it, a part of prompts that ends its targets between two events would leave no evidence:
    each of its answers looks complete.

    Parameters
    ----------
    evidence : CrashEvidence
    """

    uncounted_messages = (ClosedAnswer,)

    def __init__(self, evidence: CrashEvidence) -> None:
        super().__init__()
        self._evidence = evidence

    def handle(self, message: object) -> None:
        if not isinstance(message, ClosedAnswer):
            log_unknown_message(message)
            return
        now = time.monotonic()
        if now - message.closed_at <= _MAX_AGE_S:
            self._evidence.record_if_broken_off(message, now)
