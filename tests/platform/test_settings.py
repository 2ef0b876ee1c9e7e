"""Translation of the platform's settings file into the router's settings."""

import pytest

from turmerictray.core.errors import SettingsError
from turmerictray.platform.settings import build_gateway_settings, load_node_file
from turmerictray.router.read_limits import ReadLimits

GOOD = """
node = "front-1"
ip = "10.1.0.33"
zone = "z1"
internal_ports = [7400, 7415]
seeds = ["10.1.0.33:8785", "10.2.0.18:8785"]
unknown = "ignored"
[listen]
front = "10.1.0.33:8783"
ready = "10.1.0.33:8780"
control = "10.1.0.33:8785"
[bounds]
grace_s = 8
retry_budget_ratio = 0.2
budget_min_retries = 56
[platform]
address = "10.200.1.7:8781"
"""


def load(tmp_path, text: str):
    path = tmp_path / "node.toml"
    path.write_text(text)
    return load_node_file(str(path))


def test_settings_are_read(tmp_path):
    settings = build_gateway_settings(load(tmp_path, GOOD))
    assert str(settings.front) == "10.1.0.33:8783"
    assert str(settings.peer) == "10.1.0.33:7400"
    assert [str(seed) for seed in settings.seeds] == ["10.1.0.33:7400", "10.2.0.18:7400"]
    assert (settings.retry_limits.ratio, settings.retry_limits.floor) == (0.2, 56.0)


@pytest.mark.parametrize(
    ("bounds", "limit_s"),
    [
        ("", 2.0),
        ("config_apply_ms = 4000\ndrain_ms = 3000", 3.0),
        ("config_apply_ms = 0", 1.0),
        ("config_apply_ms = nan", 1.0),
        ("drain_ms = nan", 2.0),
        ("config_apply_ms = inf\ndrain_ms = 1e9", 5.0),
    ],
)
def test_store_is_read_as_often_as_changes_have_to_be_in_force(tmp_path, bounds, limit_s):
    """Guards against reads too rare for a deployment's limits, or without pause beside odd ones."""
    text = GOOD.replace("[bounds]", f"[bounds]\n{bounds}")
    limits = build_gateway_settings(load(tmp_path, text)).read_limits
    assert limits == ReadLimits.from_apply_limit(limit_s)
    assert 0.4 * limit_s <= limits.watch_s
    assert limits.watch_s + limits.response_margin_s <= 0.8 * limit_s


@pytest.mark.parametrize(
    ("heartbeat_ms", "outage_s"), [("1200", 1.8), ("400", 0.6), ("-1", 0.0), ("inf", 15.0)]
)
def test_outage_in_which_entries_expire_depends_on_heartbeats(tmp_path, heartbeat_ms, outage_s):
    text = GOOD.replace("zone =", f"heartbeat_ms = {heartbeat_ms}\nzone =")
    limits = build_gateway_settings(load(tmp_path, text)).read_limits
    assert limits.min_outage_s == pytest.approx(outage_s)


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ('node = "front-1"', "", "node"),
        ("[7400, 7415]", '"many"', "internal_ports"),
        ("[platform]", "[other]", "platform"),
        ('zone = "z1"', "zone = ", "node.toml"),
    ],
)
def test_invalid_settings_are_refused_with_field_name(tmp_path, old, new, message):
    with pytest.raises(SettingsError, match=message):
        load(tmp_path, GOOD.replace(old, new))


def test_address_without_a_port_is_refused(tmp_path):
    with pytest.raises(SettingsError, match="host:port"):
        build_gateway_settings(load(tmp_path, GOOD.replace("10.1.0.33:8783", "10.1.0.33")))


@pytest.mark.parametrize("data", [b'node = "fr\xf6"', b"slots = " + b"9" * 5000])
def test_unreadable_file_is_refused(tmp_path, data):
    """Guards against a reload that fails on a file which is just being written, or damaged."""
    path = tmp_path / "node.toml"
    path.write_bytes(data)
    with pytest.raises(SettingsError, match="node.toml"):
        load_node_file(str(path))


def test_port_of_other_digits_is_refused(tmp_path):
    """Guards against a reload that fails on a port that looks like a number."""
    with pytest.raises(SettingsError, match="host:port"):
        build_gateway_settings(load(tmp_path, GOOD.replace("10.1.0.33:8783", "10.1.0.33:\u00b2")))


def test_missing_file_is_refused():
    with pytest.raises(SettingsError):
        load_node_file("/nowhere/node.toml")


def test_cores_are_fraction_of_a_core_times_its_speed(tmp_path):
    assert build_gateway_settings(load(tmp_path, GOOD)).cores == 1.0
    limits = "[limits]\ncpu_share = 0.537\ncores = 2\n"
    assert build_gateway_settings(load(tmp_path, GOOD + limits)).cores == pytest.approx(1.074)
