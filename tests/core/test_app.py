"""The life cycle of an application."""

import subprocess
import sys

PROGRAM = """
import os, signal, sys
from turmerictray.core.app import Application

class Part:
    up = False
    def start(self):
        if self.signals:
            os.kill(os.getpid(), signal.SIGTERM)
        self.up = True
    def stop(self):
        print("stopped", self.name)

first, second = Part(), Part()
first.name, first.signals = "first", True
second.name, second.signals = "second", False

def drain():
    assert second.up, "drained a part that was not started"
    print("drained")
    app.request_stop()

app = Application("test")
app.add(first)
app.add(second)
app.on_signal(drain)
sys.exit(app.run())
"""


def test_signal_during_the_start_stops_the_application_once_it_is_up():
    # A platform tells a router to stop while its parts are being started. The drain met a part that
    # was not there yet and failed; the router served on and ignored all later signals.
    proc = subprocess.run(
        [sys.executable, "-c", PROGRAM], capture_output=True, text=True, timeout=10
    )
    assert proc.returncode == 0
    assert proc.stdout.split("\n")[:3] == ["drained", "stopped second", "stopped first"]
