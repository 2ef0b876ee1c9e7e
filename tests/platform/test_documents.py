"""Decoding of what operators and targets write to the store."""

import json
import socket
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from turmerictray.config.routes import RouteKind
from turmerictray.core.errors import ConfigError
from turmerictray.platform.documents import decode_routing_config, decode_target
from turmerictray.platform.standins.caller import make_request
from turmerictray.platform.standins.local import default_config
from turmerictray.transport.server import _IDLE_TIMEOUT_FACTOR


def encode(doc: object) -> bytes:
    return json.dumps(doc).encode()


def test_configuration_is_decoded_with_units():
    config = default_config(7)
    config["limits"] = {"max_header_bytes": 100, "idle_timeout_ms": 15000, "tokens_per_s": 5}
    text = decode_routing_config(encode(config))
    assert text.version == 7
    plan = text.match("shop.example", "/plan/1")
    assert (plan.kind, plan.resumable, plan.max_attempts) == (RouteKind.STREAMING, True, 2)
    assert (plan.timeout_s, plan.objective_s, plan.gap_s) == (3.0, 1.0, 0.25)
    assert text.limits.header_bytes == 100
    assert text.limits.idle_timeout_s == 15.0
    assert text.services["llm"].engine.memory_tokens == 600_000
    assert text.services["app"].engine is None


@pytest.mark.parametrize(
    ("latency_ms", "gap_ms", "expected_s"), [(300, 100, 2.0), (1000, 250, 4.0), (300, 500, 4.0)]
)
def test_callers_bear_a_silence_that_depends_on_the_route(latency_ms, gap_ms, expected_s):
    """Guards against streams that go on at another target after their callers have left."""
    config = default_config(1)
    plan = next(route for route in config["routes"] if route["name"] == "plan")
    plan.update(target_latency_ms=latency_ms, gap_aim_ms=gap_ms)
    text = decode_routing_config(encode(config))
    assert text.match("shop.example", "/plan/1").caller_patience_s == expected_s


def test_unknown_fields_are_ignored():
    config = default_config(1, colour="blue")
    config["routes"][0]["new"] = {"deep": [1]}
    assert decode_routing_config(encode(config)).version == 1


def test_route_split_over_services():
    config = default_config(1)
    route = config["routes"][0]
    del route["service"]
    route["backends"] = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
    found = decode_routing_config(encode(config)).match("shop.example", "/order/1")
    assert [found.service_for(draw) for draw in (0.0, 0.89, 0.91)] == ["a", "a", "b"]


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"version": "x"}, "version"),
        ({"routes": [{"name": "r"}]}, "routes[0]"),
        ({"tenants": [{"api_keys": []}]}, "tenants[0]"),
        ({"services": [{"name": "s", "engine": {"slots": "many", "kv_tokens": 1}}]}, "slots"),
    ],
)
def test_errors_name_the_field(change, field):
    with pytest.raises(ConfigError) as caught:
        decode_routing_config(encode({**default_config(1), **change}))
    assert field in caught.value.reason


@pytest.mark.parametrize("version", [10**20, 1 << 64])
def test_version_that_no_message_can_hold_is_refused(version):
    """Guards against a configuration that ends the gossip of the whole fleet."""
    with pytest.raises(ConfigError, match="version"):
        decode_routing_config(encode(default_config(version)))


TIMES = (1e15, 10**10, -1)
"""Times with which sockets can't be read, or may not be on another machine."""


@pytest.mark.parametrize(
    ("part", "field", "value"),
    [
        ("routes", "timeout_ms", "nan"),
        ("routes", "target_latency_ms", "inf"),
        ("routes", "max_attempts", 10**400),
        ("services", "cold_per_s", "inf"),
        ("services", "cold_s", 1e300),
        ("engine", "kv_tokens", 10**400),
        ("engine", "link_mbps", "nan"),
        ("limits", "tokens_per_s", "inf"),
        ("limits", "tokens_per_s", "nan"),
        *[("limits", f"{name}_timeout_ms", n) for name in ("header", "idle") for n in TIMES],
        ("limits", "max_header_bytes", -1),
        ("limits", "max_body_bytes", -1),
        ("routes", "timeout_ms", -1),
        ("routes", "target_latency_ms", -1),
        ("routes", "gap_aim_ms", -1),
    ],
)
def test_number_that_no_computation_can_hold_is_refused(part, field, value):
    """Guards against a configuration with which the brokers of the whole fleet fail."""
    config = default_config(1)
    engine = {"slots": 8, "kv_tokens": 600_000}
    config["services"].insert(0, {"name": "other", "engine": engine})
    config["limits"] = {}
    item = engine if part == "engine" else config[part]
    (item[0] if isinstance(item, list) else item)[field] = value
    with pytest.raises(ConfigError, match=field):
        decode_routing_config(encode(config))


@pytest.mark.parametrize("milliseconds", [0, 10**9])
def test_sockets_hold_each_time_that_is_accepted(milliseconds):
    """Guards against a configuration with which all connections of the whole fleet fail."""
    limits = {"header_timeout_ms": milliseconds, "idle_timeout_ms": milliseconds}
    found = decode_routing_config(encode(default_config(1, limits=limits))).limits
    with socket.socket() as sock:
        sock.settimeout(found.header_timeout_s)
        sock.settimeout(found.idle_timeout_s * _IDLE_TIMEOUT_FACTOR)


@pytest.mark.process
def test_request_that_arrives_in_pieces_is_served_without_a_time_limit_of_its_head(
    start_deployment, caller_to
):
    """Guards against a limit of 0 with which sockets don't wait for the rest of a request."""
    deployment = start_deployment(routers=1)
    config = default_config(2, limits={"header_timeout_ms": 0})
    deployment.store.store.put("op/config", config)
    time.sleep(1.0)
    caller = caller_to(deployment.routers[0])
    request = make_request("GET", "/ping/1")
    caller.send(request[:20])
    time.sleep(0.2)
    caller.send(request[20:])
    assert caller.read().status == 200


def test_route_without_service_is_refused():
    config = default_config(1)
    del config["routes"][0]["service"]
    with pytest.raises(ConfigError, match="neither service nor backends"):
        decode_routing_config(encode(config))


@given(st.binary(max_size=300))
def test_any_bytes_are_decoded_or_refused(data):
    for decode in (decode_routing_config, lambda raw: decode_target("i-1", raw)):
        try:
            decode(data)
        except ConfigError:
            continue
