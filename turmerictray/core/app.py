"""The application object, which starts and stops the components of a process.

Components are registered with :meth:`Application.add`. They start in order and stop in reverse
order, also when a start fails halfway, so that every resource is released.
"""

import os
import signal
import sys
import threading
from collections.abc import Callable
from typing import Protocol

from turmerictray.core.actor import ACTOR_FAILED_EXIT
from turmerictray.core.logs import close_logs, log_event
from turmerictray.core.supervision import Supervisor, install_supervisor, log_thread_failures

THREAD_SWITCH_INTERVAL_S = 0.0005
"""Thread switch interval of the interpreter, a tenth of its default. A thread that accepts
connections, receives messages or runs timers releases the interpreter lock at each system call, and
then waits up to one interval for every busy thread. Messages that are received late make their
senders look unresponsive."""


_UNFIT_STOP_TIMEOUT_S = 8.0
"""An unfit process that has not stopped after this time is terminated."""


class Component(Protocol):
    """A component of a process that is started and stopped with it."""

    def start(self) -> None:
        """Acquire the component's resources."""

    def stop(self) -> None:
        """Release the component's resources; called once, in reverse order of start."""


class Application:
    """Runs components and turns SIGTERM and SIGINT into a graceful stop.

    A process whose actors or threads fail repeatedly is stopped as well.

    Parameters
    ----------
    name : str
        Name of the application in log events.

    Attributes
    ----------
    supervisor : Supervisor
        Counts the unexpected exceptions of the process's actors and threads.
    unfit_timeout_s : float
        Time that an unfit process may take to stop, in seconds.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self._components: list[Component] = []
        self._started: list[Component] = []
        self._stop_requested = threading.Event()
        self._is_up = False
        self._signalled_before_up = False
        self.supervisor = Supervisor(self._handle_unfit)
        self.unfit_timeout_s = _UNFIT_STOP_TIMEOUT_S
        self._exit_code = 0
        self._on_unfit: Callable[[], None] = self.request_failed_stop
        self._on_signal: list[Callable[[], None]] = []
        self._on_reload: list[Callable[[], None]] = []

    def add(self, component: Component) -> Component:
        """Register a component and return it."""
        self._components.append(component)
        return component

    def on_signal(self, hook: Callable[[], None]) -> None:
        """Call ``hook`` on its own thread when SIGTERM or SIGINT arrives, for example to drain."""
        self._on_signal.append(hook)

    def on_reload(self, hook: Callable[[], None]) -> None:
        """Call ``hook`` on its own thread when SIGHUP arrives."""
        self._on_reload.append(hook)

    def on_unfit(self, hook: Callable[[], None]) -> None:
        """Call ``hook`` on its own thread, once, when failures recur; it has to stop the process.

        Without a hook the process stops at once.
        """
        self._on_unfit = hook

    def request_stop(self) -> None:
        """Make :meth:`run` stop all components and return."""
        self._stop_requested.set()

    def request_failed_stop(self) -> None:
        """Make :meth:`run` stop all components and return the status of a failure."""
        self._exit_code = ACTOR_FAILED_EXIT
        self.request_stop()

    def start(self) -> None:
        """Start all components in order; on failure, stop those already started."""
        try:
            for comp in self._components:
                comp.start()
                self._started.append(comp)
        except BaseException:
            self.stop()
            raise
        log_event("app_started", app=self.name)

    def stop(self) -> None:
        """Stop the started components in reverse order; errors are logged, not raised."""
        while self._started:
            comp = self._started.pop()
            try:
                comp.stop()
            except Exception as exc:  # noqa: BLE001 - clean-up must reach every component
                log_event("stop_failed", level="ERROR", component=type(comp).__name__, exc=exc)
        log_event("app_stopped", app=self.name)

    def run(self) -> int:
        """Start, wait for a stop request or a signal, stop, and return the exit code."""
        sys.setswitchinterval(THREAD_SWITCH_INTERVAL_S)
        install_supervisor(self.supervisor)
        log_thread_failures()
        signal.signal(signal.SIGTERM, self._handle_signal)
        signal.signal(signal.SIGINT, self._handle_signal)
        # The default action of SIGHUP would terminate the process; here it only announces that the
        # settings have changed.
        signal.signal(signal.SIGHUP, self._handle_reload)
        self.start()
        self._is_up = True
        if self._signalled_before_up:
            self._run_signal_hooks()
        try:
            while not self._stop_requested.wait(0.2):
                pass
        finally:
            self.stop()
        return self._exit_code

    def _handle_unfit(self) -> None:
        threading.Thread(target=self._on_unfit, name="unfit-hook", daemon=True).start()
        watchdog = threading.Timer(self.unfit_timeout_s, _terminate)
        watchdog.daemon = True
        watchdog.start()

    def _handle_reload(self, signum: int, _frame: object) -> None:
        log_event("signal", app=self.name, signum=signum)
        for hook in self._on_reload:
            threading.Thread(target=hook, name="reload-hook", daemon=True).start()

    def _handle_signal(self, signum: int, _frame: object) -> None:
        log_event("signal", app=self.name, signum=signum)
        if not self._is_up:
            # The hooks need all components. Run now, they would fail on components that have not
            # started, and the process would then ignore all later signals until it is killed.
            self._signalled_before_up = True
            return
        self._run_signal_hooks()

    def _run_signal_hooks(self) -> None:
        if not self._on_signal:
            self.request_stop()
            return
        for hook in self._on_signal:
            threading.Thread(target=hook, name="signal-hook", daemon=True).start()


def _terminate() -> None:
    """End an unfit process whose components don't stop."""
    log_event("unfit_stop_overdue", level="ERROR")
    close_logs()
    os._exit(ACTOR_FAILED_EXIT)
