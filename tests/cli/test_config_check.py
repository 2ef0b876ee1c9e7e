"""The ``config check`` command on settings and configuration files."""

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
def router_settings(tmp_path, port):
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


@when('"turmerictray config check" runs on it as a configuration', target_fixture="proc")
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


_ROUTE = {
    "name": "ping",
    "host": "shop.example",
    "path_prefix": "/ping/",
    "kind": "idempotent",
    "timeout_ms": 800,
    "target_latency_ms": 200,
}

_NODE = """
node = "r1"
ip = "10.0.0.1"
zone = "z1"
internal_ports = [7400, 7415]
seeds = ["10.0.0.1:8785", "10.0.0.2:8785"]
[listen]
front = "10.0.0.1:8783"
ready = "10.0.0.1:8780"
control = "10.0.0.1:8785"
[platform]
address = "10.0.1.1:8781"
"""

CONTENTS = {
    "a routing configuration": json.dumps({"version": 3, "routes": [{**_ROUTE, "service": "app"}]}),
    "a route without service": json.dumps({"version": 3, "routes": [_ROUTE]}),
    "an invalid version": json.dumps({"version": "newest"}),
    "node settings": _NODE,
    "node without ip": _NODE.replace('ip = "10.0.0.1"', ""),
    "a seed with no port": _NODE.replace("10.0.0.2:8785", "10.0.0.9"),
}


@given(parsers.parse("a file with {content}"), target_fixture="path")
def file_with(tmp_path, content):
    path = tmp_path / "checked"
    path.write_text(CONTENTS[content])
    return path


@when(parsers.parse('"turmerictray config check --kind {kind}" runs on it'), target_fixture="proc")
def check_kind(path, kind):
    return _cli("config", "check", str(path), "--kind", kind)


@then(parsers.parse('it exits {code:d} and prints "{output}"'))
def exits_printing(proc, code, output):
    assert proc.returncode == code, proc
    assert output in proc.stdout + proc.stderr, (proc.stdout, proc.stderr)
