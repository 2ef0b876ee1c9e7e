"""A failed actor is not left dead in a process that goes on."""

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


def test_process_ends_and_says_why():
    # The actor that owns the pools raises. Only its thread ends; the process would say that it is
    # ready and refuse every caller after the time of a question to a dead actor.
    proc = subprocess.run(
        [sys.executable, "-c", PROGRAM], capture_output=True, text=True, timeout=15
    )
    assert proc.returncode == ACTOR_FAILED_EXIT
    assert "event=actor_failed actor=Pools" in proc.stdout
    assert "no such pool" in proc.stdout
