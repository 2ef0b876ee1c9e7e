"""Takes changed settings into force without a restart."""

from collections.abc import Callable
from dataclasses import dataclass

import pykka

from turmerictray.core.actor import VitalActor
from turmerictray.core.errors import SettingsError
from turmerictray.core.logs import log_event
from turmerictray.core.timer import Tick
from turmerictray.membership.link import Reseed
from turmerictray.router.gateway_settings import GatewaySettings

LOOK_S = 1.0
"""Rhythm of looking whether the settings file has changed; it may change without a signal."""


@dataclass(frozen=True)
class Reload:
    """Read the settings again now."""


class SettingsReloader(VitalActor):
    """Reads the settings again when told to and now and then.

    Addresses and the node's name are fixed for a process's life; what changes is whom it asks
    about the fleet, and the limits of repeats.

    Parameters
    ----------
    current : GatewaySettings
    load : callable
        Returns the settings as they are now; raises :class:`SettingsError`.
    broker, link : pykka.ActorRef
    """

    def __init__(
        self,
        current: GatewaySettings,
        load: Callable[[], GatewaySettings],
        broker: pykka.ActorRef,
        link: pykka.ActorRef,
    ) -> None:
        super().__init__()
        self._current = current
        self._load = load
        self._broker = broker
        self._link = link
        self._refused = ""

    def on_receive(self, message: Tick | Reload) -> None:
        """Read the settings and pass on what has changed."""
        try:
            settings = self._load()
        except SettingsError as exc:
            self._note_refused(str(exc))
            return
        self._refused = ""
        if settings == self._current:
            return
        log_event("settings_reloaded", seeds=",".join(map(str, settings.seeds)))
        self._link.tell(Reseed([f"tcp://{seed}" for seed in settings.seeds]))
        self._broker.tell(settings.repeats)
        self._current = settings

    def _note_refused(self, reason: str) -> None:
        if reason != self._refused:
            self._refused = reason
            log_event("settings_refused", level="ERROR", reason=reason[:200])
