"""Tests for the ports of local fleets."""

import subprocess
import sys

LAUNCHERS = 6
PORTS = 1000

PROGRAM = f"""
import sys
from turmerictray.loadtool.ports import free_port
print(*(free_port() for _ in range({PORTS})), flush=True)
sys.stdin.read()
"""


def test_launchers_at_the_same_time_assign_different_ports():
    """Guards against a router that finds its heartbeat address taken by another fleet."""
    launchers = [
        subprocess.Popen(
            [sys.executable, "-c", PROGRAM],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(LAUNCHERS)
    ]
    try:
        ports = [int(port) for proc in launchers for port in proc.stdout.readline().split()]
    finally:
        for proc in launchers:
            proc.communicate("", timeout=10)
    assert len(ports) == LAUNCHERS * PORTS
    assert len(set(ports)) == len(ports)
