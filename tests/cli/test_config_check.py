"""The command-line tool's checks of settings files and configuration texts."""

import json
import subprocess
import sys
from pathlib import Path

from pytest_bdd import given, parsers, scenarios, then, when

scenarios("features/config_check.feature")

ROOT = Path(__file__).resolve().parents[2]


def _cli(*args: str) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, "-m", "turmerictray.cli.main", *args],
        capture_output=True,
        text=True,
        timeout=60,
    )


@given(parsers.parse("a router settings file whose port is {port:d}"), target_fixture="path")
def bad_settings(tmp_path, port):
    path = tmp_path / "router.json"
    path.write_text(
        json.dumps(
            {
                "node": "r1",
                "zone": "tema-hall",
                "listen": {"port": port},
                "peer_listen": "tcp://127.0.0.1:7001",
                "config_url": "http://127.0.0.1:7000",
            }
        )
    )
    return path


@given(parsers.parse('the example configuration "{rel}"'), target_fixture="path")
def example(rel):
    return ROOT / rel


@when('"turmerictray config check" runs on it as router settings', target_fixture="proc")
def check_router(path):
    return _cli("config", "check", str(path), "--kind", "router")


@when('"turmerictray config check" runs on it as a configuration text', target_fixture="proc")
def check_config(path):
    return _cli("config", "check", str(path))


@when('"turmerictray serve" runs on it', target_fixture="proc")
def serve(path):
    return _cli("serve", str(path))


@then(parsers.parse('it exits {code:d} and names "{field}" and the file'))
def exits_naming(proc, path, code, field):
    assert proc.returncode == code, proc
    assert field in proc.stderr and str(path) in proc.stderr, proc.stderr


@then(parsers.parse("it exits {code:d}"))
def exits(proc, code):
    assert proc.returncode == code, (proc.stdout, proc.stderr)
