"""A schedule of events that run at given times on a background thread."""

import heapq
import itertools
import threading
import time
from collections.abc import Callable

from turmerictray.core.logs import log_event


class EventSchedule:
    """Actions to run in order of time; an action may schedule further ones while it runs.

    An action that raises an error keeps no later one, such as the end of a fault, from running.
    """

    def __init__(self) -> None:
        self._sequence = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._errors: list[Exception] = []
        self._started_at = 0.0
        self._thread = threading.Thread(target=self._run, name="event-schedule", daemon=True)

    def run_at(self, at_s: float, action: Callable[[], None]) -> None:
        """Schedule ``action`` to run ``at_s`` seconds after :meth:`start`."""
        heapq.heappush(self._events, (at_s, next(self._sequence), action))

    def run_after(self, for_s: float, action: Callable[[], None]) -> None:
        """Schedule ``action`` to run ``for_s`` seconds from now."""
        self.run_at(time.monotonic() - self._started_at + for_s, action)

    def start(self) -> None:
        """Start running the scheduled actions."""
        self._started_at = time.monotonic()
        self._thread.start()

    def finish(self) -> None:
        """Wait until all actions have run; raise the first error of any of them."""
        self._thread.join()
        if self._errors:
            raise self._errors[0]

    def _run(self) -> None:
        while self._events:
            at_s, _, action = heapq.heappop(self._events)
            time.sleep(max(0.0, self._started_at + at_s - time.monotonic()))
            try:
                action()
            except Exception as exc:  # noqa: BLE001 - raised by finish()
                log_event(
                    "scheduled_action_failed", level="ERROR", at_s=at_s, reason=repr(exc)[:200]
                )
                self._errors.append(exc)
