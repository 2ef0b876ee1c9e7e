"""What is told of many requests from the routers' logs."""

import json
import random

import pytest

from turmerictray.analysis.records import Fate, LeftOut, parse
from turmerictray.analysis.report import analysis_json, format_analysis
from turmerictray.analysis.tally import Analysis, Spread
from turmerictray.cli.analyse import analyse

TS = "ts=2026-12-03T10:00:{:09.6f}Z node=r1 zone=z1 role=router seq=7 event="


def line(event: str, at: float = 1.0, **fields: object) -> str:
    pairs = (f"{key}={value}" for key, value in fields.items())
    return TS.format(at) + event + " " + " ".join(pairs) + "\n"


def ended(at: float = 1.0, **fields: object) -> str:
    usual = {
        "req": "q1",
        "team": "depot",
        "route": "plan",
        "aim_ms": 800,
        "own": 3720,
        "target": "e1",
        "wait_ms": 50,
        "expected_ms": 400,
        "miss_tokens": 17020,
        "scheduler": "r2",
        "fetch_from": "-",
        "first_ms": 550,
        "pause_ms": 90,
        "gap_ms": 250,
        "outcome": "answered",
        "status": 200,
        "ms": 2000,
    }
    return line("request", at, **{**usual, **fields})


@pytest.mark.parametrize(
    ("fields", "fate"),
    [
        ({}, Fate.IN_TIME),
        ({"first_ms": 801}, Fate.LATE_START),
        ({"pause_ms": 251}, Fate.LATE_PAUSE),
        ({"outcome": "refused", "status": 503, "ms": 12}, Fate.REFUSED_AT_ONCE),
        ({"outcome": "refused", "status": 429, "ms": 450}, Fate.REFUSED_LATE),
        ({"outcome": "refused", "status": 502}, Fate.CUT),
        ({"outcome": "cut"}, Fate.CUT),
        ({"status": 500}, Fate.CUT),
        ({"outcome": "caller_gone", "status": 0}, Fate.LEFT),
    ],
)
def test_each_end_of_a_request_has_a_fate(fields, fate):
    assert parse(ended(**fields)).fate is fate


def test_a_record_tells_waits_and_what_is_read_again():
    record = parse(ended())
    assert (record.route, record.team, record.zone) == ("plan", "depot", "z1")
    assert record.wait_s == 0.05
    assert record.engine_s == pytest.approx(0.5)
    assert record.again_tokens == 13_300
    assert not record.moved
    assert parse(ended(fetch_from="10.0.0.1:80")).moved


def test_refusals_that_share_a_line_are_counted_one_by_one():
    shared = line("refused_early", team="depot", route="plan", reason="backlog_full", count=37)
    record = parse(shared)
    assert (record.count, record.fate) == (37, Fate.REFUSED_AT_ONCE)


@pytest.mark.parametrize("text", ["", "no event\n", line("fleet_size", routers=3), "event=request"])
def test_other_lines_say_nothing(text):
    assert parse(text) is None


def test_lines_that_were_left_out_are_told():
    assert parse(line("lines_left_out", count=12)) == LeftOut("r1", 12)


def test_quantiles_are_close_whatever_the_number_of_values():
    rng = random.Random(3)
    values = sorted(rng.expovariate(2.0) for _ in range(20_000))
    spread = Spread()
    for value in values:
        spread.add(value)
    for part in (0.1, 0.5, 0.9):
        exact = values[int(part * len(values))]
        assert spread.quantile(part) == pytest.approx(exact, rel=0.08)
    assert Spread().quantile(0.5) is None


@pytest.fixture
def log(tmp_path):
    path = tmp_path / "r1.log"
    lines = [ended(at=n * 0.1) for n in range(40)]
    lines += [ended(at=3.0, first_ms=1200, team="rider") for _ in range(9)]
    refused = {"outcome": "refused", "status": 503, "reason": '"QueueTimeout: queue_timeout: 4"'}
    lines += [ended(at=5.0, **refused) for _ in range(6)]
    lines.append(line("refused_early", 5.1, team="x", route="plan", reason="unread", count=20))
    lines.append(line("lines_left_out", 5.2, count=3))
    path.write_text("".join(lines))
    return path


def read(path) -> Analysis:
    analysis = Analysis()
    for text in path.read_text().splitlines():
        analysis.add(parse(text))
    return analysis


def test_the_largest_losses_come_first_with_their_cause(log):
    losses = read(log).losses(3)
    assert [(loss.count, loss.what) for loss in losses] == [
        (20, "refused at once: unread"),
        (9, "late: its first event"),
        (6, "refused after waiting: QueueTimeout"),
    ]


def test_tables_say_where_and_when_requests_are_lost(log):
    text = format_analysis(read(log), most=5)
    assert "75 requests, 35 not answered in time" in text
    assert "refused at once: unread" in text
    assert "rider" in text
    assert "4 s" in text
    assert "3 lines were left out by 1 routers" in text


def test_json_has_the_same_figures(log):
    doc = json.loads(analysis_json(read(log)))
    assert doc["whole"]["requests"] == 75
    assert doc["groups"]["team"]["rider"]["fates"]["late: its first event"] == 9
    assert doc["windows"][0]["from_s"] == 0.0
    assert doc["whole"]["wait_s"]["p50"] == pytest.approx(0.05, rel=0.08)


def test_the_command_reads_logs_and_plots(log, tmp_path, capsys):
    plot = tmp_path / "plot.png"
    assert analyse([log], plot=plot) == 0
    assert "75 requests" in capsys.readouterr().out
    assert plot.stat().st_size > 1000


def test_pools_are_summed_up_second_by_second(log):
    pool = {"service": "llm", "waiting": 3, "ready": 9, "pace_per_s": 4000, "refused": 7}
    lines = [line("pool", at, shard="0/2", idle=4, sent=900, **pool) for at in (1.1, 2.1)]
    lines.append(line("pool", 2.2, shard="1/2", idle=1, sent=100, **pool))
    log.write_text("".join(lines))
    analysis = read(log)
    second = analysis.pool_seconds()[1]
    assert second[:2] == ("llm", 1)
    assert (second[2].sent, second[2].idle, second[2].ready) == (1000, 5, 18)
    assert "llm, 1 s" in format_analysis(analysis, most=5)
    assert json.loads(analysis_json(analysis))["pools"][1]["refused"] == 14


def test_the_command_names_a_log_that_is_missing(tmp_path, capsys):
    assert analyse([tmp_path / "none.log"]) == 2
    assert "none.log" in capsys.readouterr().err
