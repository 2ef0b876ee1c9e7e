"""The configuration watcher actor: long-polls the configuration service.

Protocol: ``GET /config`` answers the text with ``ETag: "<version>"``; with ``If-None-Match`` and
``?wait=S`` it holds the call until the version changes or ``S`` seconds pass (then 304). A
waiting watch counts as one read against the service's rate.
"""

import time

import pykka
import urllib3

from turmerictray.config.load import parse_config
from turmerictray.core import metrics
from turmerictray.core.actor import BackgroundActor
from turmerictray.core.errors import ConfigError
from turmerictray.core.logs import log_event
from turmerictray.router.messages import ConfigApplied, ConfigConfirmed, PeerHasNewer

_BACKOFF_S = (0.2, 0.5, 1.0, 2.0)
_NOTHING_NEW_S = 0.5
_WALK_BACK = 16
"""Earlier revisions read, at most, to find the newest valid one behind a rejected text."""


def parse_ok(text: bytes) -> bool:
    """Whether ``text`` passes the configuration checks."""
    try:
        parse_config(text)
    except ConfigError:
        return False
    return True


class _Poll:
    """Ask the watcher to make its next watch call."""


class ConfigWatcher(BackgroundActor):
    """Watches the configuration service and tells the dispatcher of newer accepted texts.

    Parameters
    ----------
    url : str
        Base URL of the configuration service.
    dispatcher : pykka.ActorRef
    placer : pykka.ActorRef
        Told of every answer of the service, as it may act only on what is known to be newest.
    wait_s : float
        How long one watch call may be held, in seconds; also bounds the time to stop.
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
        self.answered = 0
        self.failures = 0
        self.http = urllib3.PoolManager(retries=False)

    def on_start(self) -> None:
        self.actor_ref.tell(_Poll())

    def on_stop(self) -> None:
        self.http.clear()

    def on_receive(self, message: object) -> None:
        if isinstance(message, PeerHasNewer):
            self._fetch_from_peer(message)
        elif isinstance(message, _Poll):
            self._poll()
            if self.actor_ref.is_alive():
                self.actor_ref.tell(_Poll())

    def _poll(self) -> None:
        # The watch is keyed on the revision the service answered last, accepted or not, newest
        # or not. Keyed on the accepted one, a rejected text would be handed back at once, again
        # and again; keyed on the newest one seen, so would the old text of a service that fell
        # behind: either way a hot loop against the service's shared read limit.
        asked_at = time.monotonic()
        headers = {"If-None-Match": f'"{self.answered}"'} if self.answered else {}
        fields = {"wait": str(self.wait_s)} if self.answered else {}
        try:
            resp = self.http.request(
                "GET",
                self.url,
                fields=fields,
                headers=headers,
                timeout=urllib3.Timeout(connect=1.0, read=self.wait_s + 2),
            )
        except urllib3.exceptions.HTTPError as exc:
            self._fail(f"unreachable: {type(exc).__name__}")
            return
        metrics.count_control("config", 200, len(resp.data) + 200)
        if resp.status == 304:
            self.failures = 0
            self.placer.tell(ConfigConfirmed(self.answered, asked_at))
            return
        if resp.status != 200:
            self._fail(f"status {resp.status}")
            return
        self.failures = 0
        etag = resp.headers.get("ETag", "").strip('"')
        if etag.isdigit():
            self.answered = int(etag)
            self.placer.tell(ConfigConfirmed(self.answered, asked_at))
        known = self.version
        if not self.offer(resp.data):
            self._walk_back(self.answered)
        if self.version == known:
            # Read through replicas of which some are behind, each answer differs from the last
            # and comes at once. The pause keeps that to a few reads a second.
            time.sleep(_NOTHING_NEW_S)

    def _fetch_from_peer(self, msg: PeerHasNewer) -> None:
        # A router restarted while the service is stale or down would otherwise stay on the
        # old text the service gives it; the peer's copy is checked like any other text.
        if msg.version <= self.version:
            return
        try:
            resp = self.http.request(
                "GET",
                msg.url.rstrip("/") + "/admin/config",
                timeout=urllib3.Timeout(connect=1.0, read=2.0),
            )
        except urllib3.exceptions.HTTPError as exc:
            log_event(
                "peer_config_unreachable", level="WARNING", url=msg.url, reason=type(exc).__name__
            )
            return
        metrics.count_control("config", 200, len(resp.data) + 200)
        if resp.status == 200:
            log_event("peer_config_fetched", version=msg.version, url=msg.url)
            self.offer(resp.data)

    def offer(self, text: bytes) -> bool:
        """Check a text and pass it on if it is newer than the last one passed on.

        Returns
        -------
        bool
            False when the text was rejected by its checks.
        """
        try:
            cfg = parse_config(text)
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

    def _walk_back(self, rejected: int) -> None:
        # Texts published while this router could not read (service down, or a fast pair of
        # edits) may hide a valid revision behind an invalid newest one; without reading
        # back, the last valid text would be in force nowhere. Bounded, so a long run of
        # invalid texts costs at most _WALK_BACK reads.
        low = max(self.version, rejected - _WALK_BACK)
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
            metrics.count_control("config", 200, len(resp.data) + 200)
            if resp.status != 200:
                return
            if parse_ok(resp.data):
                log_event("config_walked_back", rejected=rejected, found=revision)
                self.offer(resp.data)
                return

    def _fail(self, reason: str) -> None:
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
