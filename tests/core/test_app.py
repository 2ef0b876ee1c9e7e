"""Tests for the life cycle of an application."""

import subprocess
import sys

PROGRAM = """
import os, signal, sys
from turmerictray.core.app import Application

class Recorder:
    is_up = False
    def start(self):
        if self.sends_signal:
            os.kill(os.getpid(), signal.SIGTERM)
        self.is_up = True
    def stop(self):
        print("stopped", self.name)

first, second = Recorder(), Recorder()
first.name, first.sends_signal = "first", True
second.name, second.sends_signal = "second", False

def drain():
    assert second.is_up, "drained a component that was not started"
    print("drained")
    app.request_stop()

app = Application("test")
app.add(first)
app.add(second)
app.on_signal(drain)
sys.exit(app.run())
"""


def test_signal_during_start_stops_application_once_started():
    # The platform stops a router whose components are still being started. The drain used a
    # component that had not started and failed; the router kept running and ignored later signals.
    proc = subprocess.run(
        [sys.executable, "-c", PROGRAM], capture_output=True, text=True, timeout=10
    )
    assert proc.returncode == 0
    assert proc.stdout.split("\n")[:3] == ["drained", "stopped second", "stopped first"]
