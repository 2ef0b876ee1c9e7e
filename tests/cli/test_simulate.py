"""The ``simulate`` command: table, plot and rejected arguments."""

import pytest

from turmerictray.cli.simulate import simulate


def test_prints_row_per_strategy_and_writes_plot(capsys, tmp_path):
    plot = tmp_path / "runs.png"
    assert simulate(per_s=20, seconds=4, routers=2, engines=3, plot=plot) == 0
    lines = capsys.readouterr().out.splitlines()
    assert [line.split()[0] for line in lines[2:]] == ["hash", "model"]
    assert plot.read_bytes().startswith(b"\x89PNG")


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        ({"ways": "hash,fastest"}, "unknown strategy 'fastest'; one of hash, model"),
        ({"load": "storm"}, "unknown load 'storm'; one of calm, burst"),
        ({"engines": 0}, "must be greater than 0"),
    ],
)
def test_invalid_arguments_are_rejected_with_valid_values(capsys, arguments, message):
    assert simulate(**arguments) == 2
    assert message in capsys.readouterr().err
