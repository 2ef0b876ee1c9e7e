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


def run(program: str) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, timeout=15
    )


def test_failed_actor_terminates_process_with_reason():
    # The actor that owns the pools raises. If only its thread ended, the process would report that
    # it is ready but refuse every request once the query to the dead actor has timed out.
    proc = run(PROGRAM)
    assert proc.returncode == ACTOR_FAILED_EXIT
    assert "event=actor_failed actor=Pools" in proc.stdout
    assert "no such pool" in proc.stdout


FAILED_START_PROGRAM = """
import time
from turmerictray.core.actor import VitalActor
from turmerictray.core.logs import setup_logging

class Link(VitalActor):
    def open(self):
        raise ValueError("address in use")

setup_logging("router", "r1", stderr=False, stdout=True)
Link.start()
time.sleep(20)
"""


def test_actor_that_fails_to_start_terminates_process_with_reason():
    """Guards against a router that serves without its peer link, as the link failed to start."""
    proc = run(FAILED_START_PROGRAM)
    assert proc.returncode == ACTOR_FAILED_EXIT
    assert "event=actor_failed actor=Link" in proc.stdout
    assert "address in use" in proc.stdout


PLAIN_ACTOR_PROGRAM = """
import time
import pykka
from turmerictray.core.logs import setup_logging

class Optional(pykka.ThreadingActor):
    use_daemon_thread = True
    def on_receive(self, message):
        raise ValueError(message)

setup_logging("router", "r1", stderr=False, stdout=True)
Optional.start().tell("no such entry")
time.sleep(0.5)
"""


def test_failure_of_any_actor_is_logged():
    """Guards against an actor that ends without a trace in the log."""
    proc = run(PLAIN_ACTOR_PROGRAM)
    assert "event=library_log logger=pykka" in proc.stdout
    assert "no such entry" in proc.stdout
