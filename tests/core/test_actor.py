"""Tests for the failure of an actor."""

import subprocess
import sys

from turmerictray.core.actor import ACTOR_FAILED_EXIT

PROGRAM = """
import time
from turmerictray.core.actor import VitalActor
from turmerictray.core.logs import setup_logging

class Pools(VitalActor):
    def on_receive(self, message):
        raise ValueError(message)

setup_logging("router", "r1", stderr=False, stdout=True)
Pools.start().tell("no such pool")
time.sleep(20)
"""


def test_failed_actor_terminates_process_with_reason():
    # The actor that owns the pools raises. If only its thread ended, the process would report that
    # it is ready but refuse every request once the query to the dead actor has timed out.
    proc = subprocess.run(
        [sys.executable, "-c", PROGRAM], capture_output=True, text=True, timeout=15
    )
    assert proc.returncode == ACTOR_FAILED_EXIT
    assert "event=actor_failed actor=Pools" in proc.stdout
    assert "no such pool" in proc.stdout
