"""The answer that one thread waits for and others may give."""

import threading
from concurrent.futures import Future
from typing import Any


class Reply(Future):
    """A future of which the first answer counts and later ones are told so.

    Several threads may come to answer the same question: one that grants, one that gives up, one
    that goes another way. A plain future raises an error at the second answer, which ends the actor
    that gives it, and with the actor its process. Whoever is too late gets False instead, and gives
    back what the answer would have handed over.
    """

    def __init__(self) -> None:
        super().__init__()
        self._claim = threading.Lock()

    def give(self, value: Any) -> bool:
        """Answer with a value; false when it is answered already or nobody waits any more."""
        if not self._claimed():
            return False
        self.set_result(value)
        return True

    def refuse(self, exc: Exception) -> bool:
        """Answer with an error; false when it is answered already or nobody waits any more."""
        if not self._claimed():
            return False
        self.set_exception(exc)
        return True

    def _claimed(self) -> bool:
        return self._claim.acquire(blocking=False) and self.set_running_or_notify_cancel()
