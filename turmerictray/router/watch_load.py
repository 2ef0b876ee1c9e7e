"""The load poller actor, which reads the load reports of all targets.

Protocol: ``GET /load`` on a target answers ``{"running": n, "waiting": m, "age_s": a}``, where
``age_s`` is the report's age in seconds. Answers to requests also carry the load, in
``X-Load-Busy``; polling covers the targets that this router has not called recently.
"""

import msgspec
import pykka
import urllib3

from turmerictray.core import metrics
from turmerictray.core.actor import VitalActor, ask_with_timeout
from turmerictray.core.decoding import Counter, DecodingError, decode_json
from turmerictray.core.ids import TargetId
from turmerictray.core.timer import Tick
from turmerictray.router.messages import LoadReport, TargetsQuery
from turmerictray.transport.bounded_input import bounded_pool_manager

_TARGETS_TIMEOUT_S = 2.0
"""Timeout for the dispatcher's list of targets, in seconds: four polling periods. The dispatcher
answers within milliseconds unless its machine is overloaded or frozen."""


class LoadFigures(msgspec.Struct, frozen=True):
    """Load report of a target: running and waiting requests, and the report's age in seconds."""

    running: Counter
    waiting: Counter
    age_s: float = 0.0


class LoadPoller(VitalActor):
    """Actor that polls ``/load`` of every known target on each tick.

    Parameters
    ----------
    dispatcher : pykka.ActorRef
        Lists the targets and receives a :class:`LoadReport` for each that answers.
    """

    uncounted_messages = (Tick,)

    def __init__(self, dispatcher: pykka.ActorRef) -> None:
        super().__init__()
        self.dispatcher = dispatcher
        self.http = bounded_pool_manager(num_pools=256, retries=False)

    def on_stop(self) -> None:
        self.http.clear()

    def handle(self, message: object) -> None:
        if not isinstance(message, Tick) or message.is_late():
            return
        targets = ask_with_timeout(self.dispatcher, TargetsQuery(), _TARGETS_TIMEOUT_S)
        for tid, url in targets or []:
            try:
                resp = self.http.request(
                    "GET", url + "/load", timeout=urllib3.Timeout(0.3, read=0.3)
                )
                figures = decode_json(resp.data, LoadFigures)
            except (urllib3.exceptions.HTTPError, DecodingError):
                continue
            metrics.count_control_bytes("load", 120, len(resp.data) + 120)
            busy = figures.running + figures.waiting
            self.dispatcher.tell(LoadReport(TargetId(tid), busy, figures.age_s))
