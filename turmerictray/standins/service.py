"""The emulated plain service, which executes orders (JSON over HTTP).

Every ``POST`` is an order, that is, a non-idempotent request, and is executed each time it arrives.
The service counts executions per ``Idempotency-Key`` (or ``X-Request-Id``), so that tests can check
that an order was executed at most once. It does not deduplicate: that is the task of the router.

Calls
-----
``POST /<any path>``
    Executes the order and answers ``{"ok": true, "executions": n}``.
``POST /admin/fault``
    ``{"mode": "reset|hang|fail|not_run|none", "count": n}``: ``reset`` and ``hang`` execute
    the order and then break or stall the answer; ``fail`` executes it and answers 500; ``not_run``
    refuses it with ``X-Not-Run: 1``.
``GET /admin/stats``
    ``{"executions": {key: n}}``.
"""

import threading
import time

from turmerictray.config.settings import ServiceSettings
from turmerictray.core.logs import log_event
from turmerictray.standins.batcher import Fault
from turmerictray.standins.web import Call, Reply, WebApp, broken_reply, json_reply

_HANG_TIMEOUT_S = 3600.0


class PlainService:
    """HTTP handlers of the emulated plain service."""

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
        """End stalled answers."""
        self.stopping.set()

    def _take_fault(self) -> Fault:
        with self.lock:
            if self.fault is Fault.NONE or self.fault_count == 0:
                return Fault.NONE
            if self.fault_count > 0:
                self.fault_count -= 1
            return self.fault

    def run_order(self, call: Call) -> Reply:
        """Execute an order, unless the ``not_run`` fault is active."""
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
            self.stopping.wait(_HANG_TIMEOUT_S)
        if fault is Fault.FAIL:
            return json_reply({"error": {"type": "failed"}}, 500)
        return json_reply({"ok": True, "key": key, "executions": count})

    def set_fault(self, call: Call) -> Reply:
        """Answer ``POST /admin/fault``."""
        doc = call.json()
        with self.lock:
            self.fault, self.fault_count = Fault(doc["mode"]), int(doc.get("count", -1))
        return json_reply({"fault": doc["mode"]})

    def stats(self, call: Call) -> Reply:
        """Answer ``GET /admin/stats``."""
        with self.lock:
            return json_reply({"executions": dict(self.executions)})
