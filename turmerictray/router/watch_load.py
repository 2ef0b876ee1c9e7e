"""The load poller actor: reads each target's lagged load report.

Protocol: ``GET /load`` on a target answers ``{"running": n, "waiting": m, "age_s": a}``.
Answers to calls also carry ``X-Load-Busy``, so a busy router learns load without polling; the
poll covers targets this router has not called lately.
"""

import msgspec
import pykka
import urllib3

from turmerictray.core import metrics
from turmerictray.core.actor import BackgroundActor, ask_in_time
from turmerictray.core.ids import TargetId
from turmerictray.core.timer import Tick
from turmerictray.router.messages import LoadReport, TargetsQuery

_ASK_S = 2.0
"""Four rounds of polls; the dispatcher answers within milliseconds unless its machine is in
trouble."""


class LoadFigures(msgspec.Struct, frozen=True):
    """A target's load report."""

    running: int
    waiting: int
    age_s: float = 0.0


class LoadPoller(BackgroundActor):
    """On each tick, polls every known target's ``/load`` and tells the dispatcher."""

    def __init__(self, dispatcher: pykka.ActorRef) -> None:
        super().__init__()
        self.dispatcher = dispatcher
        self.http = urllib3.PoolManager(num_pools=256, retries=False)

    def on_stop(self) -> None:
        self.http.clear()

    def on_receive(self, message: object) -> None:
        if not isinstance(message, Tick) or message.is_late():
            return
        targets = ask_in_time(self.dispatcher, TargetsQuery(), _ASK_S)
        for tid, url in targets or []:
            try:
                resp = self.http.request(
                    "GET", url + "/load", timeout=urllib3.Timeout(0.3, read=0.3)
                )
                figures = msgspec.json.decode(resp.data, type=LoadFigures)
            except (urllib3.exceptions.HTTPError, msgspec.DecodeError):
                continue
            metrics.count_control("load", 120, len(resp.data) + 120)
            busy = figures.running + figures.waiting
            self.dispatcher.tell(LoadReport(TargetId(tid), busy, figures.age_s))
