"""What follows an unexpected exception in an actor or a thread of this process.

A router holds requests that callers wait for. An exception that nobody expected is therefore
contained where it was raised: the message or the work that raised it is given up, and everything
else goes on. A process in which such exceptions recur can't do its work and is to be replaced.
"""

import threading
import time
import traceback
from collections import deque
from collections.abc import Callable, Iterator
from pathlib import Path

from turmerictray.core import metrics
from turmerictray.core.logs import log_event

_MAX_FAILURES = 3
"""Failures of a kind within :data:`_WINDOW_S`, without a success, from which a process is unfit."""

_WINDOW_S = 10.0

_RESTART_PAUSE_S = 0.05
"""Pause before a failed thread's work is begun again, so that it can't occupy the processor."""

_MAX_REASON_CHARS = 200

_PACKAGE_FOLDER = Path(__file__).resolve().parent.parent


class Supervisor:
    """Counts the unexpected exceptions of a process and decides when it is unfit.

    Failures are counted by kind of work. Work of a kind that succeeds in between shows that the
    process can still do it, so that a single request which always fails, sent again and again, does
    not end one router after the other.

    Safe for use by many threads.

    Parameters
    ----------
    on_unfit : callable
        Called once, on the thread of the failure that made the process unfit; must not block.
    clock : callable
        Returns monotonic seconds.

    Attributes
    ----------
    is_unfit : bool
        Whether failures recur, so that the process is to be replaced.
    """

    def __init__(
        self, on_unfit: Callable[[], None], clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.is_unfit = False
        self._on_unfit = on_unfit
        self._clock = clock
        self._lock = threading.Lock()
        self._failed_at: dict[str, deque[float]] = {}

    def record_success(self, kind: str) -> None:
        """Forget the failures of a kind of work."""
        if kind in self._failed_at:
            with self._lock:
                self._failed_at.pop(kind, None)

    def record_failure(self, kind: str) -> None:
        """Count a failure of a kind of work."""
        with self._lock:
            now = self._clock()
            failed_at = self._failed_at.setdefault(kind, deque(maxlen=_MAX_FAILURES))
            failed_at.append(now)
            recurs = len(failed_at) == _MAX_FAILURES and now - failed_at[0] <= _WINDOW_S
            becomes_unfit = recurs and not self.is_unfit
            self.is_unfit = self.is_unfit or recurs
        if becomes_unfit:
            log_event("unfit", level="ERROR", work=kind, failures=_MAX_FAILURES)
            self._on_unfit()


_installed: list[Supervisor] = []


def install_supervisor(supervisor: Supervisor | None) -> None:
    """Set the supervisor of this process; None removes it."""
    _installed[:] = [] if supervisor is None else [supervisor]


def current_supervisor() -> Supervisor | None:
    """Return the supervisor of this process, or None if the application has none."""
    return _installed[0] if _installed else None


def is_unfit() -> bool:
    """Return whether this process can't do its work any more."""
    supervisor = current_supervisor()
    return supervisor is not None and supervisor.is_unfit


def log_failure(event: str, part: str, exc: BaseException, **fields: object) -> None:
    """Log an unexpected exception with its place, and count it in the metrics.

    Parameters
    ----------
    event : str
        Name of the log event.
    part : str
        Name of the actor or thread.
    exc : BaseException
    **fields
        Further pairs of the event.
    """
    metrics.UNEXPECTED_EXCEPTIONS.labels(part).inc()
    reason = repr(exc)[:_MAX_REASON_CHARS]
    log_event(event, level="ERROR", **fields, place=place_of(exc), reason=reason)


def place_of(exc: BaseException) -> str:
    """Return where an exception was raised, as ``file.py:line function``.

    If that is outside this package, the innermost place within it comes first.
    """
    places = list(_places(exc))
    if not places:
        return "-"
    innermost = places[-1]
    local = next((place for place in reversed(places) if place[0]), innermost)
    return local[1] if local == innermost else f"{local[1]} < {innermost[1]}"


def _places(exc: BaseException) -> Iterator[tuple[bool, str]]:
    """Yield for each frame whether it is of this package, and its place."""
    for frame in traceback.extract_tb(exc.__traceback__):
        path = Path(frame.filename)
        is_local = path.is_relative_to(_PACKAGE_FOLDER)
        name = path.relative_to(_PACKAGE_FOLDER) if is_local else path.name
        yield is_local, f"{name}:{frame.lineno} {frame.name}"


class SupervisedThread:
    """A daemon thread whose work is begun again if it ends by an unexpected exception.

    A router with a thread missing would say that it is ready, and go on without what the thread
    does, for example without ever reading its configuration again.

    Parameters
    ----------
    target : callable
        The work; returns when it is done. It must be possible to call it again after it has raised.
    name : str
        Name of the thread.
    args : tuple
        Arguments of ``target``.
    """

    def __init__(self, target: Callable[..., None], name: str, args: tuple = ()) -> None:
        self.name = name
        self._target = target
        self._args = args
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def is_alive(self) -> bool:
        """Return whether the thread runs."""
        return self._thread.is_alive()

    def join(self, timeout: float | None = None) -> None:
        """Wait for the end of the thread, ``timeout`` seconds at most."""
        self._thread.join(timeout)

    def _run(self) -> None:
        while True:
            try:
                self._target(*self._args)
                return
            except Exception as exc:  # noqa: BLE001 - any exception would end the thread
                report_thread_failure(self.name, exc)
            time.sleep(_RESTART_PAUSE_S)


def report_thread_failure(name: str, exc: BaseException) -> None:
    """Log and count an exception that a thread did not expect."""
    log_failure("thread_failed", name, exc, thread=name)
    supervisor = current_supervisor()
    if supervisor is not None:
        supervisor.record_failure(name)


def report_item_failure(name: str, exc: BaseException, **fields: object) -> None:
    """Log a message or request whose handling has failed on a thread that goes on.

    It doesn't count towards unfit: whoever sends it again and again would end one router after the
    other.

    Parameters
    ----------
    name : str
        Name of the thread, or of a group of threads.
    exc : BaseException
    **fields
        Further pairs of the log event.
    """
    log_failure("thread_failed", name, exc, thread=name, **fields)


def log_thread_failures() -> None:
    """Report exceptions that end any thread of this process."""
    threading.excepthook = _report_ended_thread


def _report_ended_thread(args: threading.ExceptHookArgs) -> None:
    if args.exc_value is None or args.exc_type is SystemExit:
        return
    report_thread_failure(args.thread.name if args.thread is not None else "-", args.exc_value)
