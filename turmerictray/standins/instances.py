"""The instance list stand-in: which targets are live and which are leaving, published late.

``GET /instances`` answers ``{"instances": [{"id": ..., "state": "live|leaving|gone"}]}`` as
the list stood ``lag_s`` seconds ago. ``POST /admin/set`` with ``{"id": ..., "state": ...}``
changes an entry (seen by readers only after the lag).
"""

import threading
import time

from turmerictray.config.settings import InstanceListSettings
from turmerictray.core.logs import log_event
from turmerictray.standins.web import Call, Reply, WebApp, json_reply

_STATES = ("live", "leaving", "gone")


class InstanceListService:
    """Handlers of the instance list stand-in."""

    def __init__(self, cfg: InstanceListSettings) -> None:
        self.lag_s = cfg.lag_s
        self.lock = threading.Lock()
        self.changes: list[tuple[float, str, str]] = []
        self.app = WebApp()
        self.app.route("GET", "/instances", self.read)
        self.app.route("POST", "/admin/set", self.set_state)

    def read(self, call: Call) -> Reply:
        cutoff = time.monotonic() - self.lag_s
        states: dict[str, str] = {}
        with self.lock:
            for ts, tid, state in self.changes:
                if ts <= cutoff:
                    states[tid] = state
        return json_reply({"instances": [{"id": k, "state": v} for k, v in states.items()]})

    def set_state(self, call: Call) -> Reply:
        doc = call.json()
        if doc["state"] not in _STATES:
            raise ValueError(f"unknown state {doc['state']!r}")
        with self.lock:
            self.changes.append((time.monotonic(), str(doc["id"]), doc["state"]))
        log_event("instance_set", target=doc["id"], state=doc["state"], lag_s=self.lag_s)
        return json_reply({"id": doc["id"], "state": doc["state"], "visible_in_s": self.lag_s})
