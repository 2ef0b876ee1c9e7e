"""A router in whose actors and threads exceptions are raised from outside its code.

``python3 -m turmerictray.platform.standins.failing_router`` runs the router's own entry point after
wrapping the points at which exceptions can be raised. They are armed over a control file.
"""

import os
import threading
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import pykka

from turmerictray.admission.pool import ServicePool
from turmerictray.config.routes import RoutingConfig
from turmerictray.core.actor import VitalActor
from turmerictray.core.timer import TimerService
from turmerictray.membership.link import PeerLink
from turmerictray.platform.main import main_and_exit
from turmerictray.platform.standins.local import CONTROL_FILE_ENV_VAR
from turmerictray.platform.standins.relayed_router import relay_peers
from turmerictray.router.catch_up import CatchUp
from turmerictray.router.peer_prober import PeerProber
from turmerictray.router.settings_reloader import SettingsReloader
from turmerictray.router.store_readers import StoreReaderSelection
from turmerictray.scheduling.broker import Broker
from turmerictray.scheduling.link import SchedulingLink
from turmerictray.transport.disconnect import DisconnectMonitor
from turmerictray.transport.probe import FrontProbe

_POLL_S = 0.01

ACTORS = (Broker, PeerLink, CatchUp, PeerProber, SettingsReloader)
"""Actors of the routed path; a fault point is ``Actor:Message``."""

THREAD_STEPS: dict[str, tuple[type, str]] = {
    "watch-op/": (StoreReaderSelection, "should_read"),
    "watch-servers/": (StoreReaderSelection, "should_read"),
    "timer": (TimerService, "_sleep_time"),
    "hang-up-watch": (DisconnectMonitor, "_find_disconnected"),
    "front-probe": (FrontProbe, "_probe"),
    "scheduling-receive": (SchedulingLink, "_handle"),
    "peer-receive": (PeerLink, "_enqueue_received"),
}
"""A step that each thread takes again and again; the thread's name is the fault point."""

PLACEMENT = "placement"
"""Fault point: the placement of one request in a round of grants."""

TEXT = "text:"
"""Fault point, with a version: the application of this version of the routing configuration."""


class InjectedFault(Exception):
    """An exception that no code of the router expects."""


class _ArmedFaults:
    """Faults still to be raised, by point; the control file adds to them.

    Each line of the file names a point and a number.
    """

    def __init__(self) -> None:
        self._left: Counter[str] = Counter()
        self._lines_read = 0
        self._lock = threading.Lock()

    def follow(self, path: Path) -> None:
        """Read new lines of the control file until the process ends."""
        while True:
            self._read(path)
            time.sleep(_POLL_S)

    def _read(self, path: Path) -> None:
        if not path.exists():
            return
        lines = path.read_text().splitlines()
        with self._lock:
            for line in lines[self._lines_read :]:
                point, _, count = line.rpartition(" ")
                self._left[point] += int(count)
            self._lines_read = len(lines)

    def raise_if_armed(self, point: str) -> None:
        """Raise a fault of a point, if one is left."""
        if not self._left[point]:
            return
        with self._lock:
            if self._left[point] <= 0:
                return
            self._left[point] -= 1
        raise InjectedFault(point)


_faults = _ArmedFaults()


def arm(path: Path, point: str, count: int = 1) -> None:
    """Have a router that follows a control file raise the next ``count`` faults of a point."""
    with open(path, "a") as file:
        file.write(f"{point} {count}\n")


def _wrap_actor(actor: type[VitalActor]) -> None:
    name = "handle" if "handle" in vars(actor) else "on_receive"
    inner = vars(actor)[name]

    def handle(self: pykka.Actor, message: object) -> object:
        _faults.raise_if_armed(f"{actor.__name__}:{type(message).__name__.lstrip('_')}")
        return inner.__get__(self, actor)(message)

    setattr(actor, name, handle)


def _wrap_step(owner: type, name: str) -> None:
    inner: Callable = vars(owner)[name]

    def step(self: object, *args: object) -> object:
        _faults.raise_if_armed(threading.current_thread().name)
        return inner(self, *args)

    setattr(owner, name, step)


def _wrap_placement() -> None:
    inner = ServicePool._place

    def place(self: ServicePool, *args: object) -> object:
        _faults.raise_if_armed(PLACEMENT)
        return inner(self, *args)

    ServicePool._place = place


def _wrap_texts() -> None:
    inner = Broker._apply_config

    def apply_config(self: Broker, config: RoutingConfig) -> None:
        _faults.raise_if_armed(f"{TEXT}{config.version}")
        inner(self, config)

    Broker._apply_config = apply_config


def _main() -> None:
    relay_peers()
    for actor in ACTORS:
        _wrap_actor(actor)
    for owner, name in set(THREAD_STEPS.values()):
        _wrap_step(owner, name)
    _wrap_placement()
    _wrap_texts()
    path = Path(os.environ[CONTROL_FILE_ENV_VAR])
    threading.Thread(target=_faults.follow, args=(path,), name="faults", daemon=True).start()
    main_and_exit()


if __name__ == "__main__":
    _main()
