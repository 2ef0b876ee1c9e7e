"""Checking configuration texts: located refusals and no reverting."""

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


@given(parsers.parse('a configuration text whose first target\'s slots is "{value}"'))
def text_bad_slots(ctx, value):
    doc = copy.deepcopy(BASE)
    doc["services"][0]["targets"][0]["slots"] = value
    ctx["text"] = msgspec.json.encode(doc)


@given(parsers.parse('a configuration text whose service depends on "{dep}"'))
def text_bad_dep(ctx, dep):
    doc = copy.deepcopy(BASE)
    doc["services"][0]["depends_on"] = [dep]
    ctx["text"] = msgspec.json.encode(doc)


def _with_orders() -> dict:
    doc = copy.deepcopy(BASE)
    target = {"id": "s0", "url": "http://127.0.0.1:2", "zone": "tema-hall"}
    doc["services"].append({"name": "orders", "kind": "plain", "targets": [target]})
    return doc


@given(
    parsers.parse('a configuration text whose services "{one}" and "{other}" depend on each other')
)
def text_cycle(ctx, one, other):
    doc = _with_orders()
    doc["services"][0]["depends_on"] = [other]
    doc["services"][1]["depends_on"] = [one]
    ctx["text"] = msgspec.json.encode(doc)


@given("a configuration text whose plain service is told to load a model")
def text_plain_models(ctx):
    doc = _with_orders()
    doc["services"][1]["targets"][0]["models"] = ["chat-1"]
    ctx["text"] = msgspec.json.encode(doc)


@when("the text is checked")
def check(ctx):
    try:
        parse_config(ctx["text"])
    except ConfigError as exc:
        ctx["error"] = exc


@then(parsers.parse('it is refused naming "{where}"'))
def refused(ctx, where):
    assert where in ctx["error"].reason


@given(parsers.parse("version {version:d} is in force"), target_fixture="state")
def in_force(version):
    state = ConfigState()
    assert state.offer(parse_config(msgspec.json.encode({**BASE, "version": version})))
    return state


@when(parsers.parse("version {version:d} is offered"))
def offer(state, version):
    assert not state.offer(parse_config(msgspec.json.encode({**BASE, "version": version})))


@then(parsers.parse("version {version:d} is still in force"))
def still(state, version):
    assert state.version == version
