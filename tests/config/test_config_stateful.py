"""Randomised runs of the configuration's way to the routers, through outages and bad texts."""

import hypothesis.strategies as st
import msgspec
import urllib3
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from turmerictray.config.load import parse_config
from turmerictray.config.state import ConfigState
from turmerictray.core.errors import ConfigError
from turmerictray.router import watch_config
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


class Answer:
    """An HTTP answer of a fake."""

    def __init__(self, status: int, data: bytes = b"", version: int = 0) -> None:
        self.status, self.data = status, data
        self.headers = {"ETag": f'"{version}"'} if version else {}


class Ref:
    """An actor reference that hands messages to a function."""

    def __init__(self, tell) -> None:
        self.tell = tell


class Router:
    """The watcher and the configuration in force of one router, over the fake service."""

    def __init__(self, world: "ConfigMachine") -> None:
        self.state = ConfigState()
        self.watcher = ConfigWatcher("http://config", Ref(self._apply), Ref(lambda _: None), 2.0)
        self.watcher.http = world

    def _apply(self, msg: ConfigApplied) -> None:
        before = self.state.version
        self.state.offer(msg.cfg)
        assert self.state.version >= before, "the configuration in force went back"


class ConfigMachine(RuleBasedStateMachine):
    """Operators publish good and bad texts; the service is down or stale; routers restart."""

    def __init__(self) -> None:
        super().__init__()
        watch_config._BACKOFF_S = (0.0,)
        watch_config._UNCHANGED_PAUSE_S = 0.0
        self.revisions: list[bytes] = []
        self.visible = 0
        self.down = False
        self.publish(valid=True)
        self.routers = [Router(self) for _ in ROUTERS]

    def request(self, _method: str, url: str, fields=None, headers=None, timeout=None) -> Answer:
        """The configuration service's protocol, and peers' ``/admin/config``."""
        if url.endswith("/admin/config"):
            cfg = self.routers[int(url.split("//")[1].split("/")[0])].state.current
            return Answer(200, msgspec.json.encode(cfg))
        if self.down:
            raise urllib3.exceptions.HTTPError("down")
        revision = int((fields or {}).get("revision", self.visible))
        if (headers or {}).get("If-None-Match") == f'"{revision}"':
            return Answer(304)
        return Answer(200, self.revisions[revision - 1], revision)

    @rule(valid=st.booleans())
    def publish(self, valid):
        text = dict(VALID, version=len(self.revisions) + 1)
        self.revisions.append(msgspec.json.encode(text if valid else dict(text, teams="none")))
        if not self.down:
            self.visible = len(self.revisions)

    @rule(back=st.integers(0, 3))
    def service_falls_back(self, back):
        self.visible = max(1, len(self.revisions) - back)

    @rule(down=st.booleans())
    def service_goes(self, down):
        self.down = down

    @rule(num=st.sampled_from(ROUTERS))
    def read(self, num):
        self.routers[num].watcher._poll()

    @rule(num=st.sampled_from(ROUTERS), peer=st.sampled_from(ROUTERS))
    def hear_peer(self, num, peer):
        version = self.routers[peer].state.version
        if version:
            self.routers[num].watcher._fetch_from_peer(PeerHasNewer(version, f"http://{peer}"))

    @rule(num=st.sampled_from(ROUTERS))
    def restart(self, num):
        self.routers[num] = Router(self)

    @rule()
    def all_is_well_again(self):
        self.down, self.visible = False, len(self.revisions)
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
    def in_force_is_a_published_text(self):
        for router in self.routers:
            if router.state.current is not None:
                published = parse_config(self.revisions[router.state.version - 1])
                assert router.state.current == published


ConfigMachine.TestCase.settings = settings(
    max_examples=200, stateful_step_count=40, deadline=None, derandomize=True
)
TestConfig = ConfigMachine.TestCase
