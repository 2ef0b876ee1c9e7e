"""Validation of configurations: errors name the field, and versions never decrease."""

import copy

import msgspec
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from turmerictray.config.load import parse_config
from turmerictray.config.state import ConfigState
from turmerictray.core.errors import ConfigError

scenarios("features/config_check.feature")

BASE = {
    "version": 1,
    "services": [
        {
            "name": "llm",
            "kind": "model",
            "targets": [{"id": "e0", "url": "http://127.0.0.1:1", "zone": "tema-hall"}],
        }
    ],
    "teams": [{"id": "depot"}],
}


@pytest.fixture
def ctx() -> dict:
    return {}


@given(parsers.parse('a configuration whose first target\'s slots is "{value}"'))
def config_with_slots(ctx, value):
    doc = copy.deepcopy(BASE)
    doc["services"][0]["targets"][0]["slots"] = value
    ctx["text"] = msgspec.json.encode(doc)


@given(parsers.parse('a configuration whose service depends on "{dep}"'))
def config_with_dependency(ctx, dep):
    doc = copy.deepcopy(BASE)
    doc["services"][0]["depends_on"] = [dep]
    ctx["text"] = msgspec.json.encode(doc)


def _config_with_plain_service() -> dict:
    doc = copy.deepcopy(BASE)
    target = {"id": "s0", "url": "http://127.0.0.1:2", "zone": "tema-hall"}
    doc["services"].append({"name": "orders", "kind": "plain", "targets": [target]})
    return doc


@given(
    parsers.parse('a configuration whose services "{first}" and "{second}" depend on each other')
)
def config_with_cycle(ctx, first, second):
    doc = _config_with_plain_service()
    doc["services"][0]["depends_on"] = [second]
    doc["services"][1]["depends_on"] = [first]
    ctx["text"] = msgspec.json.encode(doc)


@given("a configuration whose plain service has a target with models")
def config_with_models_of_plain_service(ctx):
    doc = _config_with_plain_service()
    doc["services"][1]["targets"][0]["models"] = ["chat-1"]
    ctx["text"] = msgspec.json.encode(doc)


@when("the configuration is validated")
def validate(ctx):
    try:
        parse_config(ctx["text"])
    except ConfigError as exc:
        ctx["error"] = exc


@then(parsers.parse('it is rejected with an error naming "{location}"'))
def rejected(ctx, location):
    assert location in ctx["error"].reason


@given(parsers.parse("version {version:d} is active"), target_fixture="state")
def activate(version):
    state = ConfigState()
    assert state.offer(parse_config(msgspec.json.encode({**BASE, "version": version})))
    return state


@when(parsers.parse("version {version:d} is offered"))
def offer_rejected(state, version):
    assert not state.offer(parse_config(msgspec.json.encode({**BASE, "version": version})))


@then(parsers.parse("version {version:d} is still active"))
def still_active(state, version):
    assert state.version == version
