"""Tests for stopping the actors of a process while one of them is busy."""

import subprocess
import sys
import time

PROGRAM = """
import sys, time
from turmerictray.core.actor import VitalActor, stop_actors
from turmerictray.core.logs import setup_logging

class Busy(VitalActor):
    def on_receive(self, message):
        time.sleep(20)

class Owner(VitalActor):
    def on_receive(self, message):
        pass
    def on_stop(self):
        print("owner stopped", flush=True)

setup_logging("router", "r1", stderr=False, stdout=True)
Owner.start()
Busy.start().tell("ask a peer that does not answer")
time.sleep(0.2)
stop_actors(0.5)
"""


def test_busy_actor_blocks_neither_other_actors_nor_process_exit():
    """A stop that waits for a busy actor takes until the platform kills the process."""
    start = time.monotonic()
    proc = subprocess.run(
        [sys.executable, "-c", PROGRAM], capture_output=True, text=True, timeout=15
    )
    assert proc.returncode == 0
    assert "owner stopped" in proc.stdout
    assert "event=actor_still_busy actor=Busy" in proc.stdout
    assert time.monotonic() - start < 5
