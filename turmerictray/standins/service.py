"""The plain service stand-in (order-and-dispatch, booking-and-dispatch): JSON over HTTP.

Every ``POST`` is an order that runs once per arrival; the service counts executions per
``Idempotency-Key`` (or ``X-Request-Id``) so tests can prove that an order ran at most once.
It does not deduplicate on its own: proving at-most-once is the router's job.

Calls
-----
``POST /<any path>``
    Runs the order and answers ``{"ok": true, "executions": n}``.
``POST /admin/fault``
    ``{"mode": "reset|hang|fail|not_run|none", "count": n}``: ``reset`` and ``hang`` run the
    order and then break or stall the answer; ``not_run`` refuses with ``X-Not-Run: 1``.
``GET /admin/stats``
    ``{"executions": {key: n}}``.
"""

import threading
import time

from turmerictray.config.settings import ServiceSettings
from turmerictray.core.logs import log_event
from turmerictray.standins.batcher import Fault
from turmerictray.standins.web import Call, Reply, WebApp, broken_reply, json_reply

_HANG_S = 3600.0


class PlainService:
    """Handlers of the plain service stand-in."""

    def __init__(self, cfg: ServiceSettings) -> None:
        self.cfg = cfg
        self.lock = threading.Lock()
        self.executions: dict[str, int] = {}
        self.fault, self.fault_count = Fault.NONE, 0
        self.stopping = threading.Event()
        self.app = WebApp()
        self.app.route("POST", "/admin/fault", self.set_fault)
        self.app.route("GET", "/admin/stats", self.stats)
        self.app.route("POST", "/", self.run_order)

    def stop(self) -> None:
        """Release stalled answers."""
        self.stopping.set()

    def _take_fault(self) -> Fault:
        with self.lock:
            if self.fault is Fault.NONE or self.fault_count == 0:
                return Fault.NONE
            if self.fault_count > 0:
                self.fault_count -= 1
            return self.fault

    def run_order(self, call: Call) -> Reply:
        key = call.headers.get("idempotency-key") or call.headers.get("x-request-id") or "-"
        fault = self._take_fault()
        if fault is Fault.NOT_RUN:
            return json_reply({"error": {"type": "busy"}}, 503, [("X-Not-Run", "1")])
        with self.lock:
            count = self.executions[key] = self.executions.get(key, 0) + 1
        log_event(
            "service_executed",
            key=key,
            executions=count,
            path=call.path,
            fault=fault.value,
            router=call.headers.get("x-router"),
        )
        time.sleep(self.cfg.work_s)
        if fault is Fault.RESET:
            return broken_reply()
        if fault is Fault.HANG:
            self.stopping.wait(_HANG_S)
        if fault is Fault.FAIL:
            return json_reply({"error": {"type": "failed"}}, 500)
        return json_reply({"ok": True, "key": key, "executions": count})

    def set_fault(self, call: Call) -> Reply:
        doc = call.json()
        with self.lock:
            self.fault, self.fault_count = Fault(doc["mode"]), int(doc.get("count", -1))
        return json_reply({"fault": doc["mode"]})

    def stats(self, call: Call) -> Reply:
        with self.lock:
            return json_reply({"executions": dict(self.executions)})
