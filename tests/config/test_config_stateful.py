"""Stateful test of how configurations reach the routers despite outages and invalid revisions."""

import hypothesis.strategies as st
import msgspec
import urllib3
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from turmerictray.config.load import parse_config
from turmerictray.config.state import ConfigState
from turmerictray.core.errors import ConfigError
from turmerictray.router import watch_config
from turmerictray.router.fetch_config import PeerConfigFetcher
from turmerictray.router.messages import ConfigApplied, PeerHasNewer
from turmerictray.router.watch_config import ConfigWatcher

ROUTERS = range(3)
VALID = {
    "services": [
        {
            "name": "llm",
            "kind": "model",
            "targets": [{"id": "e0", "url": "http://e0", "zone": "madina"}],
        }
    ],
    "teams": [{"id": "depot"}],
}


class FakeResponse:
    """An HTTP response of the fake configuration service."""

    def __init__(self, status: int, data: bytes = b"", version: int = 0) -> None:
        self.status, self.data = status, data
        self.headers = {"ETag": f'"{version}"'} if version else {}


class FakeActorRef:
    """A fake actor reference that passes messages to a function."""

    def __init__(self, tell) -> None:
        self.tell = tell


class Router:
    """Watcher, fetcher and active configuration of one router, connected to the fake service."""

    def __init__(self, service: "ConfigMachine") -> None:
        self.state = ConfigState()
        self.watcher = ConfigWatcher(
            "http://config", FakeActorRef(self._apply), FakeActorRef(lambda _: None), 2.0
        )
        self.watcher.http = service
        self.fetcher = PeerConfigFetcher(FakeActorRef(self._apply))
        self.fetcher._http = service

    def _apply(self, msg: ConfigApplied) -> None:
        before = self.state.version
        self.state.offer(msg.cfg)
        assert self.state.version >= before, "the version of the active configuration decreased"


class ConfigMachine(RuleBasedStateMachine):
    """Publishes configurations, interrupts or reverts the service, and restarts routers."""

    def __init__(self) -> None:
        super().__init__()
        watch_config._BACKOFF_S = (0.0,)
        watch_config._UNCHANGED_PAUSE_S = 0.0
        self.revisions: list[bytes] = []
        self.visible_revision = 0
        self.down = False
        self.publish(valid=True)
        self.routers = [Router(self) for _ in ROUTERS]

    def request(
        self, _method: str, url: str, fields=None, headers=None, timeout=None
    ) -> FakeResponse:
        """Answer like the configuration service, and like ``/admin/config`` of a peer."""
        if url.endswith("/admin/config"):
            cfg = self.routers[int(url.split("//")[1].split("/")[0])].state.current
            return FakeResponse(200, msgspec.json.encode(cfg))
        if self.down:
            raise urllib3.exceptions.HTTPError("down")
        revision = int((fields or {}).get("revision", self.visible_revision))
        if (headers or {}).get("If-None-Match") == f'"{revision}"':
            return FakeResponse(304)
        return FakeResponse(200, self.revisions[revision - 1], revision)

    @rule(valid=st.booleans())
    def publish(self, valid):
        doc = dict(VALID, version=len(self.revisions) + 1)
        self.revisions.append(msgspec.json.encode(doc if valid else dict(doc, teams="none")))
        if not self.down:
            self.visible_revision = len(self.revisions)

    @rule(steps=st.integers(0, 3))
    def serve_old_revision(self, steps):
        self.visible_revision = max(1, len(self.revisions) - steps)

    @rule(down=st.booleans())
    def set_service_down(self, down):
        self.down = down

    @rule(index=st.sampled_from(ROUTERS))
    def read_service(self, index):
        self.routers[index].watcher._poll()

    @rule(index=st.sampled_from(ROUTERS), peer=st.sampled_from(ROUTERS))
    def fetch_from_peer(self, index, peer):
        version = self.routers[peer].state.version
        if version:
            self.routers[index].fetcher.on_receive(PeerHasNewer(version, f"http://{peer}"))

    @rule(index=st.sampled_from(ROUTERS))
    def restart(self, index):
        self.routers[index] = Router(self)

    @rule()
    def converge_after_recovery(self):
        self.down, self.visible_revision = False, len(self.revisions)
        for router in self.routers:
            router.watcher._poll()
        newest = self._newest_valid()
        assert {router.state.version for router in self.routers} == {newest}

    def _newest_valid(self) -> int:
        for version in range(len(self.revisions), 0, -1):
            try:
                parse_config(self.revisions[version - 1])
            except ConfigError:
                continue
            return version
        raise AssertionError("no valid revision")

    @invariant()
    def active_config_was_published(self):
        for router in self.routers:
            if router.state.current is not None:
                published = parse_config(self.revisions[router.state.version - 1])
                assert router.state.current == published


ConfigMachine.TestCase.settings = settings(
    max_examples=200, stateful_step_count=40, deadline=None, derandomize=True
)
TestConfig = ConfigMachine.TestCase
