"""The emulated instance list: the state of each target, published with a delay.

``GET /instances`` answers ``{"instances": [{"id": ..., "state": "live|leaving|gone"}]}``, the
list of ``lag_s`` seconds ago. ``POST /admin/set`` with ``{"id": ..., "state": ...}`` changes an
entry; readers see the change after ``lag_s`` seconds.
"""

import threading
import time

from turmerictray.config.settings import InstanceListSettings
from turmerictray.core.logs import log_event
from turmerictray.standins.web import Call, Reply, WebApp, json_reply

_STATES = ("live", "leaving", "gone")


class InstanceListService:
    """HTTP handlers of the emulated instance list."""

    def __init__(self, cfg: InstanceListSettings) -> None:
        self.lag_s = cfg.lag_s
        self.lock = threading.Lock()
        self.changes: list[tuple[float, str, str]] = []
        self.app = WebApp()
        self.app.route("GET", "/instances", self.read)
        self.app.route("POST", "/admin/set", self.set_state)

    def read(self, call: Call) -> Reply:
        """Answer ``GET /instances``."""
        cutoff = time.monotonic() - self.lag_s
        states: dict[str, str] = {}
        with self.lock:
            for changed_at, target_id, state in self.changes:
                if changed_at <= cutoff:
                    states[target_id] = state
        return json_reply({"instances": [{"id": k, "state": v} for k, v in states.items()]})

    def set_state(self, call: Call) -> Reply:
        """Answer ``POST /admin/set``."""
        doc = call.json()
        if doc["state"] not in _STATES:
            raise ValueError(f"unknown state {doc['state']!r}")
        with self.lock:
            self.changes.append((time.monotonic(), str(doc["id"]), doc["state"]))
        log_event("instance_set", target=doc["id"], state=doc["state"], lag_s=self.lag_s)
        return json_reply({"id": doc["id"], "state": doc["state"], "visible_in_s": self.lag_s})
