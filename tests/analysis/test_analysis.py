"""Aggregate analysis of router logs: parsing, tallies, tables, JSON and the command."""

import json
import random

import pytest

from turmerictray.analysis.records import OmittedLines, RequestOutcome, parse_record
from turmerictray.analysis.report import analysis_json, format_analysis
from turmerictray.analysis.tally import Analysis, Histogram
from turmerictray.cli.analyse import analyse

TS = "ts=2026-12-03T10:00:{:09.6f}Z node=r1 zone=z1 role=router seq=7 event="


def line(event: str, at: float = 1.0, **fields: object) -> str:
    pairs = (f"{key}={value}" for key, value in fields.items())
    return TS.format(at) + event + " " + " ".join(pairs) + "\n"


def request_line(at: float = 1.0, **fields: object) -> str:
    defaults = {
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
    return line("request", at, **{**defaults, **fields})


@pytest.mark.parametrize(
    ("fields", "outcome"),
    [
        ({}, RequestOutcome.IN_TIME),
        ({"first_ms": 801}, RequestOutcome.LATE_FIRST_EVENT),
        ({"pause_ms": 251}, RequestOutcome.LATE_PAUSE),
        ({"outcome": "refused", "status": 503, "ms": 12}, RequestOutcome.REFUSED_IMMEDIATELY),
        ({"outcome": "refused", "status": 429, "ms": 450}, RequestOutcome.REFUSED_AFTER_WAIT),
        ({"outcome": "refused", "status": 502}, RequestOutcome.FAILED),
        ({"outcome": "cut"}, RequestOutcome.FAILED),
        ({"status": 500}, RequestOutcome.FAILED),
        ({"outcome": "caller_gone", "status": 0}, RequestOutcome.CALLER_LEFT),
    ],
)
def test_request_outcome_is_classified(fields, outcome):
    assert parse_record(request_line(**fields)).outcome is outcome


def test_record_has_waits_and_reread_tokens():
    record = parse_record(request_line())
    assert (record.route, record.team, record.zone) == ("plan", "depot", "z1")
    assert record.wait_s == 0.05
    assert record.engine_s == pytest.approx(0.5)
    assert record.again_tokens == 13_300
    assert not record.moved
    assert parse_record(request_line(fetch_from="10.0.0.1:80")).moved


def test_refusals_on_shared_line_are_counted_individually():
    shared = line("refused_early", team="depot", route="plan", reason="backlog_full", count=37)
    record = parse_record(shared)
    assert (record.count, record.outcome) == (37, RequestOutcome.REFUSED_IMMEDIATELY)


@pytest.mark.parametrize("text", ["", "no event\n", line("fleet_size", routers=3), "event=request"])
def test_unrelated_lines_are_ignored(text):
    assert parse_record(text) is None


def test_omitted_lines_are_parsed():
    assert parse_record(line("lines_left_out", count=12)) == OmittedLines("r1", 12)


def test_quantiles_are_accurate_for_many_values():
    rng = random.Random(3)
    values = sorted(rng.expovariate(2.0) for _ in range(20_000))
    histogram = Histogram()
    for value in values:
        histogram.add(value)
    for fraction in (0.1, 0.5, 0.9):
        exact = values[int(fraction * len(values))]
        assert histogram.quantile(fraction) == pytest.approx(exact, rel=0.08)
    assert Histogram().quantile(0.5) is None


@pytest.fixture
def log(tmp_path):
    path = tmp_path / "r1.log"
    lines = [request_line(at=n * 0.1) for n in range(40)]
    lines += [request_line(at=3.0, first_ms=1200, team="rider") for _ in range(9)]
    refused = {"outcome": "refused", "status": 503, "reason": '"QueueTimeout: queue_timeout: 4"'}
    lines += [request_line(at=5.0, **refused) for _ in range(6)]
    lines.append(line("refused_early", 5.1, team="x", route="plan", reason="unread", count=20))
    lines.append(line("lines_left_out", 5.2, count=3))
    path.write_text("".join(lines))
    return path


def read(path) -> Analysis:
    analysis = Analysis()
    for text in path.read_text().splitlines():
        analysis.add(parse_record(text))
    return analysis


def test_losses_are_ordered_by_count_and_name_cause(log):
    losses = read(log).losses(3)
    assert [(loss.count, loss.what) for loss in losses] == [
        (20, "refused at once: unread"),
        (9, "late: its first event"),
        (6, "refused after waiting: QueueTimeout"),
    ]


def test_tables_show_lost_requests_by_dimension_and_time(log):
    text = format_analysis(read(log), max_rows=5)
    assert "75 requests, 35 not answered in time" in text
    assert "refused at once: unread" in text
    assert "rider" in text
    assert "4 s" in text
    assert "3 lines were omitted by 1 routers" in text


def test_json_matches_tables(log):
    doc = json.loads(analysis_json(read(log)))
    assert doc["whole"]["requests"] == 75
    assert doc["groups"]["team"]["rider"]["fates"]["late: its first event"] == 9
    assert doc["windows"][0]["from_s"] == 0.0
    assert doc["whole"]["wait_s"]["p50"] == pytest.approx(0.05, rel=0.08)


def test_command_reads_logs_and_writes_plot(log, tmp_path, capsys):
    plot = tmp_path / "plot.png"
    assert analyse([log], plot=plot) == 0
    assert "75 requests" in capsys.readouterr().out
    assert plot.stat().st_size > 1000


def test_pools_are_summed_per_second(log):
    pool = {"service": "llm", "waiting": 3, "ready": 9, "pace_per_s": 4000, "refused": 7}
    lines = [line("pool", at, shard="0/2", idle=4, sent=900, **pool) for at in (1.1, 2.1)]
    lines.append(line("pool", 2.2, shard="1/2", idle=1, sent=100, **pool))
    log.write_text("".join(lines))
    analysis = read(log)
    second = analysis.pool_timeline()[1]
    assert second[:2] == ("llm", 1)
    assert (second[2].sent, second[2].idle, second[2].ready) == (1000, 5, 18)
    assert "llm, 1 s" in format_analysis(analysis, max_rows=5)
    assert json.loads(analysis_json(analysis))["pools"][1]["refused"] == 14


def test_command_reports_missing_log(tmp_path, capsys):
    assert analyse([tmp_path / "none.log"]) == 2
    assert "none.log" in capsys.readouterr().err


ODD_NUMBERS = ["nan", "inf", "-inf", "1e308", "9" * 5000, "x", "\u0664"]


@pytest.mark.parametrize("odd", ODD_NUMBERS)
@pytest.mark.parametrize(
    ("event", "name"),
    [
        ("request", "wait_ms"),
        ("request", "first_ms"),
        ("request", "miss_tokens"),
        ("request", "own"),
        ("refused_early", "count"),
        ("lines_left_out", "count"),
        ("pool", "waiting"),
        ("pool", "pace_per_s"),
    ],
)
def test_odd_number_in_a_line_ends_no_analysis(event, name, odd):
    """Guards against logs that can't be analysed for one of their lines."""
    odd_line = request_line(**{name: odd}) if event == "request" else line(event, **{name: odd})
    assert_analysed(odd_line)


@pytest.mark.parametrize("ts", ["x", "0001-01-01", "9999-99-99T00:00:00Z", "9" * 5000, "\xff"])
@pytest.mark.parametrize("event", ["request", "refused_early", "pool"])
def test_odd_time_of_a_line_ends_no_analysis(event, ts):
    """Guards against logs that can't be analysed for one of their lines."""
    assert_analysed(line(event).replace("2026-12-03T10:00:01.000000Z", ts))


def assert_analysed(odd_line):
    analysis = Analysis()
    for text in (odd_line, odd_line.replace(" ts=", " "), request_line()):
        analysis.add(parse_record(text))
    assert format_analysis(analysis, 5) and analysis_json(analysis)
