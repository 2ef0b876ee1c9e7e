"""Actor that probes silent peers while the router starts."""

from functools import singledispatchmethod

import pykka

from turmerictray.core.actor import VitalActor, ask_with_timeout
from turmerictray.core.logs import log_event, log_unknown_message
from turmerictray.core.timer import Tick
from turmerictray.membership.reachability import probe_all
from turmerictray.router.messages import PeersProbed, SilentPeersQuery

PROBE_INTERVAL_S = 1.0

_QUERY_TIMEOUT_S = 2.0


class PeerProber(VitalActor):
    """Probes the silent peers once per tick until the start of this router is confirmed.

    Probes run on an actor of their own because each may take its full timeout.

    Parameters
    ----------
    owner : pykka.ActorRef
        Decides when the router may serve. Answers :class:`SilentPeersQuery` and receives
        :class:`PeersProbed`.
    """

    uncounted_messages = (Tick,)

    def __init__(self, owner: pykka.ActorRef) -> None:
        super().__init__()
        self._owner = owner
        self._reported: dict[str, str] = {}

    def open(self) -> None:
        self._probe()

    @singledispatchmethod
    def handle(self, message: object) -> None:
        log_unknown_message(message)

    @handle.register
    def _(self, msg: Tick) -> None:
        if not msg.is_late():
            self._probe()

    def _probe(self) -> None:
        silent = ask_with_timeout(self._owner, SilentPeersQuery(), _QUERY_TIMEOUT_S)
        if silent is None:
            return
        if silent.confirmed:
            self.stop()
            return
        results = probe_all(silent.addresses)
        self._owner.tell(PeersProbed(results))
        found = {peer: result.value for peer, result in results.items()}
        if found != self._reported:
            self._reported = found
            log_event("silent_peers_probed", **found)
