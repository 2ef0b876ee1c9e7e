"""The emulated configuration service: a versioned JSON document with long-polling reads.

Each published configuration receives the next revision number, as its ``version`` field and as the
``ETag``. Readers call ``GET /config``. With ``If-None-Match: "<v>"`` and ``?wait=S`` the answer is
delayed until there is another revision, or until ``S`` seconds have passed (304). ``?revision=n``
reads an earlier revision; all revisions are kept. Reads of all clients together are limited to
``reads_per_s``; beyond that they are refused with 429 and ``Retry-After``. Reads change nothing.

Admin calls for tests and the demo:

``POST /admin/publish``
    Publishes a configuration: any JSON object, whether valid for the router or not.
``POST /admin/mode``
    ``{"mode": "ok|down|stale"}``: ``down`` answers reads with 503; ``stale`` answers them with a
    fixed revision (``"revision": n``, by default the current one), as a lagging replica does.
"""

import threading
import time

import msgspec

from turmerictray.config.settings import ConfigServiceSettings
from turmerictray.core.logs import log_event
from turmerictray.standins.web import Call, Reply, WebApp, json_reply

_MAX_WAIT_S = 30.0


class TokenBucket:
    """A rate limit of ``rate`` reads per second, with bursts of up to one second's reads."""

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.tokens = rate
        self.refilled_at = time.monotonic()
        self.lock = threading.Lock()

    def take(self) -> bool:
        """Take one token; return False when none is left."""
        with self.lock:
            now = time.monotonic()
            self.tokens = min(self.rate, self.tokens + (now - self.refilled_at) * self.rate)
            self.refilled_at = now
            if self.tokens < 1:
                return False
            self.tokens -= 1
            return True


class ConfigService:
    """HTTP handlers of the emulated configuration service."""

    def __init__(self, cfg: ConfigServiceSettings, initial: bytes) -> None:
        self.bucket = TokenBucket(cfg.reads_per_s)
        self.changed = threading.Condition()
        self.revisions: list[bytes] = []
        self.mode = "ok"
        self.stale_revision = 0
        self.reads = 0
        self._publish(initial)
        self.app = WebApp()
        self.app.route("GET", "/config", self.read)
        self.app.route("POST", "/admin/publish", self.publish)
        self.app.route("POST", "/admin/mode", self.set_mode)
        self.app.route("GET", "/admin/stats", self.stats)

    def _publish(self, text: bytes) -> int:
        doc = msgspec.json.decode(text)
        if not isinstance(doc, dict):
            raise ValueError("a configuration must be a JSON object")
        with self.changed:
            version = len(self.revisions) + 1
            doc["version"] = version
            self.revisions.append(msgspec.json.encode(doc))
            self.changed.notify_all()
        log_event("config_published", version=version, size=len(text))
        return version

    def _visible_revision(self) -> int:
        return self.stale_revision if self.mode == "stale" else len(self.revisions)

    def read(self, call: Call) -> Reply:
        """Answer ``GET /config``."""
        if not self.bucket.take():
            return json_reply({"error": {"type": "rate_limited"}}, 429, [("Retry-After", "1")])
        self.reads += 1
        if self.mode == "down":
            return json_reply({"error": {"type": "down"}}, 503)
        if "revision" in call.query:
            return self._read_revision(int(call.query["revision"]))
        known_version = call.headers.get("if-none-match", "").strip('"')
        wait = min(float(call.query.get("wait", 0)), _MAX_WAIT_S)
        deadline = time.monotonic() + wait
        with self.changed:
            while known_version == str(self._visible_revision()) and time.monotonic() < deadline:
                self.changed.wait(deadline - time.monotonic())
            if self.mode == "down":
                return json_reply({"error": {"type": "down"}}, 503)
            version = self._visible_revision()
            if known_version == str(version):
                return Reply(304, b"", [("ETag", f'"{version}"')])
            text = self.revisions[version - 1]
        return Reply(200, text, [("ETag", f'"{version}"')])

    def _read_revision(self, revision: int) -> Reply:
        with self.changed:
            if not 1 <= revision <= self._visible_revision():
                return json_reply({"error": {"type": "no_revision"}}, 404)
            text = self.revisions[revision - 1]
        return Reply(200, text, [("ETag", f'"{revision}"')])

    def publish(self, call: Call) -> Reply:
        """Answer ``POST /admin/publish``."""
        return json_reply({"version": self._publish(call.body)})

    def set_mode(self, call: Call) -> Reply:
        """Answer ``POST /admin/mode``."""
        doc = call.json()
        mode = doc["mode"]
        if mode not in ("ok", "down", "stale"):
            raise ValueError(f"unknown mode {mode!r}")
        with self.changed:
            if mode == "stale":
                revision = int(doc.get("revision", len(self.revisions)))
                if not 1 <= revision <= len(self.revisions):
                    raise ValueError(f"no revision {revision}")
                self.stale_revision = revision
            self.mode = mode
            self.changed.notify_all()
        log_event("config_service_mode", mode=mode)
        return json_reply({"mode": mode})

    def stats(self, call: Call) -> Reply:
        """Answer ``GET /admin/stats``."""
        return json_reply(
            {"reads": self.reads, "revisions": len(self.revisions), "mode": self.mode}
        )
