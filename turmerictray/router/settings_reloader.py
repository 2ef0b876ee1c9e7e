"""Reload of changed settings without a restart."""

from collections.abc import Callable
from dataclasses import dataclass

import pykka

from turmerictray.core.actor import VitalActor
from turmerictray.core.errors import SettingsError
from turmerictray.core.logs import log_event
from turmerictray.core.timer import Tick
from turmerictray.membership.link import Reseed
from turmerictray.router.gateway_settings import GatewaySettings

SETTINGS_POLL_S = 1.0
"""Interval in seconds at which the settings are read again; they may change without a signal."""


@dataclass(frozen=True)
class Reload:
    """Message: read the settings again now."""


class SettingsReloader(VitalActor):
    """Actor that reads the settings periodically and on request, and applies what has changed.

    The node's name and its addresses are fixed for the lifetime of the process. The seeds and the
    retry limits can change.

    Parameters
    ----------
    current : GatewaySettings
    load : callable
        Returns the current settings; raises :class:`SettingsError`.
    broker, link : pykka.ActorRef
    """

    uncounted_messages = (Tick, Reload)

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

    def handle(self, message: Tick | Reload) -> None:
        """Read the settings and send the changes to the peer link and the broker."""
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
        self._broker.tell(settings.retry_limits)
        self._current = settings

    def _note_refused(self, reason: str) -> None:
        if reason != self._refused:
            self._refused = reason
            log_event("settings_refused", level="ERROR", reason=reason[:200])
