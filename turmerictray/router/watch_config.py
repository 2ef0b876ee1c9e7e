"""The configuration watcher actor, which long-polls the configuration service.

Protocol: ``GET /config`` answers the configuration with ``ETag: "<version>"``. With
``If-None-Match`` and ``?wait=S`` the service delays its answer until the version changes, or
answers 304 after ``S`` seconds. A long poll counts as one read against the service's rate limit.
"""

import time

import pykka
import urllib3

from turmerictray.config.load import parse_config
from turmerictray.core import metrics
from turmerictray.core.actor import VitalActor
from turmerictray.core.decoding import DecodingError, decode_json, parse_counter
from turmerictray.core.errors import ConfigError
from turmerictray.core.logs import log_event
from turmerictray.router.messages import ConfigApplied, ConfigConfirmed
from turmerictray.transport.body import BodyEnd
from turmerictray.transport.bounded_input import body_end_of, bounded_pool_manager

_BACKOFF_S = (0.2, 0.5, 1.0, 2.0)
_UNCHANGED_PAUSE_S = 0.5
"""Pause after an answer that brought no newer configuration, in seconds."""

_MAX_REVISIONS_BACK = 16
"""Number of earlier revisions searched for a valid one when the newest one is invalid."""


def is_valid_config(raw: bytes) -> bool:
    """Return whether ``raw`` passes the configuration checks."""
    try:
        parse_config(raw)
    except ConfigError:
        return False
    return True


def _is_broken_off(resp: urllib3.BaseHTTPResponse) -> bool:
    """Return whether only the close of the connection ends an answer, and not its document."""
    try:
        decode_json(resp.data)
    except DecodingError:
        return body_end_of(resp) is BodyEnd.CONNECTION_CLOSE
    return False


class _Poll:
    """Message from the watcher to itself that starts the next long poll."""


class ConfigWatcher(VitalActor):
    """Actor that watches the configuration service and passes on newer valid configurations.

    Parameters
    ----------
    url : str
        Base URL of the configuration service.
    dispatcher : pykka.ActorRef
        Receives a :class:`ConfigApplied` for each newer valid configuration.
    placer : pykka.ActorRef
        Receives a :class:`ConfigConfirmed` for each answer of the service. It may act only on a
        configuration that was recently confirmed as the newest.
    wait_s : float
        Duration of one long poll in seconds, which also bounds the time to stop this actor.
    """

    def __init__(
        self, url: str, dispatcher: pykka.ActorRef, placer: pykka.ActorRef, wait_s: float
    ) -> None:
        super().__init__()
        self.placer = placer
        self.url = url.rstrip("/") + "/config"
        self.dispatcher = dispatcher
        self.wait_s = wait_s
        self.version = 0
        self.last_revision = 0
        self.failures = 0
        self.http = bounded_pool_manager(retries=False)

    def open(self) -> None:
        self.actor_ref.tell(_Poll())

    def on_stop(self) -> None:
        self.http.clear()

    def handle(self, message: object) -> None:
        if not isinstance(message, _Poll):
            return
        if not self.contain(self._poll, message):
            self._back_off("unexpected exception")
        if self.actor_ref.is_alive():
            self.actor_ref.tell(_Poll())

    def _poll(self) -> None:
        # If-None-Match names the revision of the service's last answer, even if that was rejected
        # or is not the newest one seen. With the last accepted revision, the service would return
        # a rejected one again immediately, and with the newest one seen, so would a service that
        # fell behind. Either would be a busy loop against the service's shared read limit.
        requested_at = time.monotonic()
        headers = {"If-None-Match": f'"{self.last_revision}"'} if self.last_revision else {}
        fields = {"wait": str(self.wait_s)} if self.last_revision else {}
        try:
            resp = self.http.request(
                "GET",
                self.url,
                fields=fields,
                headers=headers,
                timeout=urllib3.Timeout(connect=1.0, read=self.wait_s + 2),
            )
        except urllib3.exceptions.HTTPError as exc:
            self._back_off(f"unreachable: {type(exc).__name__}")
            return
        metrics.count_control_bytes("config", 200, len(resp.data) + 200)
        if resp.status == 304:
            self.failures = 0
            self.placer.tell(ConfigConfirmed(self.last_revision, requested_at))
            return
        if resp.status != 200:
            self._back_off(f"status {resp.status}")
            return
        if _is_broken_off(resp):
            # Taken for an invalid revision, it would never be asked for again.
            self._back_off("answer broken off")
            return
        self.failures = 0
        etag = resp.headers.get("ETag", "").strip('"')
        revision = parse_counter(etag)
        if revision is not None:
            self.last_revision = revision
            self.placer.tell(ConfigConfirmed(self.last_revision, requested_at))
        previous = self.version
        if not self.offer(resp.data):
            self._find_valid_revision(self.last_revision)
        if self.version == previous:
            # When reads go to replicas of which some are behind, each answer differs from the
            # last one and is sent immediately. The pause limits this to a few reads per second.
            time.sleep(_UNCHANGED_PAUSE_S)

    def offer(self, raw: bytes) -> bool:
        """Check a configuration and pass it on if it is newer than the last one passed on.

        Parameters
        ----------
        raw : bytes
            The configuration as JSON.

        Returns
        -------
        bool
            False if the configuration is invalid; True also if it is not newer.
        """
        try:
            cfg = parse_config(raw)
        except ConfigError as exc:
            log_event(
                "config_rejected", level="WARNING", version=exc.version, reason=exc.reason[:300]
            )
            return False
        if cfg.version <= self.version:
            log_event("config_stale", version=cfg.version, in_force=self.version)
            return True
        self.version = cfg.version
        log_event("config_accepted", version=cfg.version)
        self.dispatcher.tell(ConfigApplied(cfg))
        return True

    def _find_valid_revision(self, rejected: int) -> None:
        # Several revisions may be published before this router reads again, because the service
        # was down or two edits followed each other quickly. If the newest one is invalid, a valid
        # one before it would become active on no router unless earlier revisions are read. The
        # search is bounded to limit the reads after a long series of invalid revisions.
        low = max(self.version, rejected - _MAX_REVISIONS_BACK)
        for revision in range(rejected - 1, low, -1):
            try:
                resp = self.http.request(
                    "GET",
                    self.url,
                    fields={"revision": str(revision)},
                    timeout=urllib3.Timeout(connect=1.0, read=2.0),
                )
            except urllib3.exceptions.HTTPError:
                return
            metrics.count_control_bytes("config", 200, len(resp.data) + 200)
            if resp.status != 200:
                return
            if is_valid_config(resp.data):
                log_event("config_walked_back", rejected=rejected, found=revision)
                self.offer(resp.data)
                return

    def _back_off(self, reason: str) -> None:
        delay = _BACKOFF_S[min(self.failures, len(_BACKOFF_S) - 1)]
        self.failures += 1
        if self.failures in (1, 10, 100) or self.failures % 1000 == 0:
            log_event(
                "config_service_down",
                level="WARNING",
                reason=reason,
                failures=self.failures,
                in_force=self.version,
            )
        time.sleep(delay)
