"""The instance list poller actor, which reads the states of targets and routers.

Protocol: ``GET /instances`` answers ``{"instances": [{"id": ..., "state": "live"}, ...]}``.
"""

import msgspec
import pykka
import urllib3

from turmerictray.core import metrics
from turmerictray.core.actor import VitalActor
from turmerictray.core.decoding import DecodingError, decode_json
from turmerictray.core.ids import TargetId
from turmerictray.core.logs import log_event
from turmerictray.core.timer import Tick
from turmerictray.router.messages import Listing
from turmerictray.routing.target import TargetState
from turmerictray.transport.bounded_input import bounded_pool_manager


class Instance(msgspec.Struct, frozen=True):
    """Entry of the instance list: a target, or a router by its node name."""

    id: str
    state: TargetState


class InstanceList(msgspec.Struct, frozen=True):
    """Body of the instance list's answer."""

    instances: list[Instance]


class InstancePoller(VitalActor):
    """Actor that polls the instance list on each tick.

    Parameters
    ----------
    url : str
        Base URL of the instance list.
    listeners : list of pykka.ActorRef
        Actors that receive each :class:`~turmerictray.router.messages.Listing`.
    """

    uncounted_messages = (Tick,)

    def __init__(self, url: str, listeners: list[pykka.ActorRef]) -> None:
        super().__init__()
        self.url = url.rstrip("/") + "/instances"
        self.listeners = listeners
        self.http = bounded_pool_manager(retries=False)
        self.down = False

    def on_stop(self) -> None:
        self.http.clear()

    def handle(self, message: object) -> None:
        if not isinstance(message, Tick) or message.is_late():
            return
        try:
            resp = self.http.request("GET", self.url, timeout=urllib3.Timeout(1.0, read=1.0))
            listing = decode_json(resp.data, InstanceList)
        except (urllib3.exceptions.HTTPError, DecodingError) as exc:
            if not self.down:
                log_event("instances_down", level="WARNING", reason=type(exc).__name__)
            self.down = True
            return
        self.down = False
        metrics.count_control_bytes("instances", 150, len(resp.data) + 150)
        states = {TargetId(inst.id): inst.state for inst in listing.instances}
        for ref in self.listeners:
            ref.tell(Listing(states))
