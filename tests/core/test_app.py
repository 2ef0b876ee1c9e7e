"""Tests for the life cycle of an application."""

import subprocess
import sys

import pytest

from turmerictray.core.actor import ACTOR_FAILED_EXIT

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


UNFIT_PROGRAM = """
import sys, threading
from turmerictray.core.actor import VitalActor
from turmerictray.core.app import Application

class Pools(VitalActor):
    def handle(self, message):
        raise ValueError(message)

class Component:
    def start(self):
        ref = Pools.start()
        for _ in range(3):
            ref.tell(object())
    def stop(self):
        print("stopped")

app = Application("test")
app.unfit_timeout_s = 2.0
app.add(Component())
if sys.argv[1] == "hangs":
    app.on_unfit(threading.Event().wait)
sys.exit(app.run())
"""


@pytest.mark.parametrize(("way", "output"), [("stops", "stopped\n"), ("hangs", "")])
def test_unfit_application_ends_with_the_status_of_a_failure(way, output):
    """Guards against a process whose actor fails each time, and that goes on or never ends."""
    proc = subprocess.run(
        [sys.executable, "-c", UNFIT_PROGRAM, way], capture_output=True, text=True, timeout=10
    )
    assert proc.returncode == ACTOR_FAILED_EXIT
    assert proc.stdout == output
