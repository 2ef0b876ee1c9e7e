"""A future that several threads may try to complete."""

import threading
from concurrent.futures import Future
from typing import Any


class Reply(Future):
    """A future that only the first answer completes.

    Several threads may answer the same query, for example one that grants a target, one that times
    out and one that falls back to another scheduler. A plain future raises an error for the second
    answer, which would stop the answering actor and with it the process. Here a late answer returns
    False, and its sender releases what the answer would have granted.
    """

    def __init__(self) -> None:
        super().__init__()
        self._completion_lock = threading.Lock()

    def try_set_result(self, value: Any) -> bool:
        """Complete with a value; false if already completed or cancelled."""
        if not self._begin_completion():
            return False
        self.set_result(value)
        return True

    def try_set_exception(self, exc: Exception) -> bool:
        """Complete with an error; false if already completed or cancelled."""
        if not self._begin_completion():
            return False
        self.set_exception(exc)
        return True

    def _begin_completion(self) -> bool:
        # The lock is never released, so only the first call succeeds.
        return self._completion_lock.acquire(blocking=False) and self.set_running_or_notify_cancel()
