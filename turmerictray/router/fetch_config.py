"""Actor that fetches newer configurations from peers."""

from functools import singledispatchmethod

import pykka
import urllib3

from turmerictray.config.load import parse_config
from turmerictray.core import metrics
from turmerictray.core.actor import VitalActor
from turmerictray.core.errors import ConfigError
from turmerictray.core.logs import log_event, log_unknown_message
from turmerictray.router.messages import ConfigApplied, PeerHasNewer
from turmerictray.transport.bounded_input import bounded_pool_manager

_TIMEOUT = urllib3.Timeout(connect=1.0, read=2.0)


class PeerConfigFetcher(VitalActor):
    """Fetches the configuration of a peer that has a newer one.

    A router that restarts while the configuration service is stale or down would otherwise keep an
    outdated configuration. The watch of the service may be in progress for seconds, so this actor
    is a separate one.

    Parameters
    ----------
    dispatcher : pykka.ActorRef
        Receives a :class:`ConfigApplied` for each newer valid configuration.
    """

    def __init__(self, dispatcher: pykka.ActorRef) -> None:
        super().__init__()
        self._dispatcher = dispatcher
        self._version = 0
        self._http = bounded_pool_manager(retries=False)

    def on_stop(self) -> None:
        self._http.clear()

    @singledispatchmethod
    def handle(self, message: object) -> None:
        log_unknown_message(message)

    @handle.register
    def _(self, msg: PeerHasNewer) -> None:
        if msg.version <= self._version:
            return
        try:
            resp = self._http.request(
                "GET", msg.url.rstrip("/") + "/admin/config", timeout=_TIMEOUT
            )
        except urllib3.exceptions.HTTPError as exc:
            reason = type(exc).__name__
            log_event("peer_config_unreachable", level="WARNING", url=msg.url, reason=reason)
            return
        metrics.count_control_bytes("config", 200, len(resp.data) + 200)
        if resp.status == 200:
            log_event("peer_config_fetched", version=msg.version, url=msg.url)
            self._apply(resp.data)

    def _apply(self, raw: bytes) -> None:
        try:
            cfg = parse_config(raw)
        except ConfigError as exc:
            reason = exc.reason[:300]
            log_event("config_rejected", level="WARNING", version=exc.version, reason=reason)
            return
        self._version = cfg.version
        self._dispatcher.tell(ConfigApplied(cfg))
