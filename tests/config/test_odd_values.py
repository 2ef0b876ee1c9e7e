"""Values of a configuration that is valid JSON and that no router can use."""

import json

import msgspec
import pytest

from turmerictray.config.load import parse_config
from turmerictray.core.errors import ConfigError
from turmerictray.fairness.ledger import PeerCounters
from turmerictray.router.peers import Heartbeat


def make_text(part: str = "", **changes: object) -> bytes:
    target = {"id": "e0", "url": "http://e0:80", "zone": "madina"}
    service = {"name": "llm", "kind": "model", "targets": [target]}
    team = {"id": "depot"}
    config = {"version": 2, "services": [service], "teams": [team], "limits": {}}
    parts = {"target": target, "team": team, "limits": config["limits"], "": config}
    parts[part].update(changes)
    return json.dumps(config).encode()


@pytest.mark.parametrize(
    ("part", "field", "value"),
    [
        ("", "version", 1 << 63),
        ("", "version", 10**400),
        ("team", "id", "depot\n"),
        ("team", "weight", 1e308),
        ("team", "weight", 1e-320),
        ("target", "slots", 10**400),
        ("limits", "default_cost_hint", 1e308),
        ("limits", "max_body_bytes", 10**400),
        ("target", "url", "http://e0:99999"),
        ("target", "url", "http://e0:0"),
        ("target", "url", "http://e0:x"),
        ("target", "url", "http://"),
        ("target", "url", "http://[::1"),
        ("target", "url", "http://e0:80/\r\nX-Team: a"),
    ],
)
def test_odd_value_is_refused(part, field, value):
    """Guards against a configuration with which the routers of the whole fleet fail."""
    with pytest.raises(ConfigError, match=field):
        parse_config(make_text(part, **{field: value}))


def test_heartbeats_hold_each_version_that_is_accepted():
    """Guards against routers that end, as they can't tell peers the version in force."""
    version = parse_config(make_text(version=(1 << 63) - 1)).version
    counters = PeerCounters("r1", 1, {})
    assert msgspec.msgpack.encode(Heartbeat("r1", "z", 1, version, counters, True))
