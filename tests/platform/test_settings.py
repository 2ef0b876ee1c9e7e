"""The platform's settings file, read into the product's settings."""

import pytest

from turmerictray.core.errors import SettingsError
from turmerictray.platform.settings import gateway_settings, load_node_file

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
    settings = gateway_settings(load(tmp_path, GOOD))
    assert str(settings.front) == "10.1.0.33:8783"
    assert str(settings.peer) == "10.1.0.33:7400"
    assert [str(seed) for seed in settings.seeds] == ["10.1.0.33:7400", "10.2.0.18:7400"]
    assert (settings.repeats.ratio, settings.repeats.floor) == (0.2, 56.0)


@pytest.mark.parametrize(
    ("old", "new", "said"),
    [
        ('node = "front-1"', "", "node"),
        ("[7400, 7415]", '"many"', "internal_ports"),
        ("[platform]", "[other]", "platform"),
        ('zone = "z1"', "zone = ", "node.toml"),
    ],
)
def test_bad_settings_are_refused_with_their_place(tmp_path, old, new, said):
    with pytest.raises(SettingsError, match=said):
        load(tmp_path, GOOD.replace(old, new))


def test_address_without_a_port_is_refused(tmp_path):
    with pytest.raises(SettingsError, match="host:port"):
        gateway_settings(load(tmp_path, GOOD.replace("10.1.0.33:8783", "10.1.0.33")))


def test_missing_file_is_refused():
    with pytest.raises(SettingsError):
        load_node_file("/nowhere/node.toml")


def test_a_processor_is_a_share_of_a_core_that_may_be_faster(tmp_path):
    assert gateway_settings(load(tmp_path, GOOD)).cores == 1.0
    limits = "[limits]\ncpu_share = 0.537\ncores = 2\n"
    assert gateway_settings(load(tmp_path, GOOD + limits)).cores == pytest.approx(1.074)
