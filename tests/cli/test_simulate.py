"""The ``simulate`` command: its table, its plot, and what it refuses."""

import pytest

from turmerictray.cli.simulate import simulate


def test_prints_a_line_for_each_way_and_writes_a_plot(capsys, tmp_path):
    plot = tmp_path / "runs.png"
    assert simulate(per_s=20, seconds=4, routers=2, engines=3, plot=plot) == 0
    lines = capsys.readouterr().out.splitlines()
    assert [line.split()[0] for line in lines[2:]] == ["hash", "model"]
    assert plot.read_bytes().startswith(b"\x89PNG")


@pytest.mark.parametrize(
    ("wrong", "said"),
    [
        ({"ways": "hash,fastest"}, "unknown way 'fastest'; one of hash, model"),
        ({"load": "storm"}, "unknown load 'storm'; one of calm, burst"),
        ({"engines": 0}, "must be above 0"),
    ],
)
def test_wrong_input_is_refused_with_what_would_do(capsys, wrong, said):
    assert simulate(**wrong) == 2
    assert said in capsys.readouterr().err
