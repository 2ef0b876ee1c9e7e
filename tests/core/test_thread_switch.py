"""Tests that threads doing I/O make progress beside threads that compute."""

import socket
import subprocess
import sys
import threading
import time

import pytest

from turmerictray.core.app import THREAD_SWITCH_INTERVAL_S
from turmerictray.scheduling.link import SchedulingLink

BUSY_THREADS = 4
CPU_SECONDS = 1.0
DEFAULT_INTERVAL_S = 0.005
MIN_RECEIVED = 3 * CPU_SECONDS / (BUSY_THREADS * DEFAULT_INTERVAL_S)
"""Three times the messages of a receiver that waits one default interval for each busy thread.

The bound does not depend on a measured count: intervals pass in wall time, so that on a machine
whose processors are all in use a process switches threads more often per second of its processor
time with the default interval, and less often with the short one.
"""
_POLL_INTERVAL_S = 0.02

SENDER = """
import sys, time
from loguru import logger
from turmerictray.scheduling.link import SchedulingLink
from turmerictray.scheduling.messages import StillWaiting
logger.remove()
link = SchedulingLink("tcp://127.0.0.1:1", print)
end = time.monotonic() + 12 * float(sys.argv[2])
while time.monotonic() < end:
    link.send(sys.argv[1], StillWaiting("r1"))
    time.sleep(0.0005)
"""


@pytest.fixture
def set_switch_interval():
    original = sys.getswitchinterval()
    yield sys.setswitchinterval
    sys.setswitchinterval(original)


def free_address() -> str:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"tcp://127.0.0.1:{sock.getsockname()[1]}"


def count_received(received: list, cpu_seconds: float) -> int:
    """Count the messages received while this process uses ``cpu_seconds`` of processor time.

    Wall time would not do: on a machine whose processors are all in use, equal periods of it can
    give the process different amounts of processor time.
    """
    start, until = len(received), time.process_time() + cpu_seconds
    while time.process_time() < until:
        time.sleep(_POLL_INTERVAL_S)
    return len(received) - start


def test_messages_are_heard_beside_busy_threads(set_switch_interval):
    """Guards against receiving threads that wait a full default interval for each busy thread."""
    received, done = [], threading.Event()
    link = SchedulingLink(free_address(), received.append)
    link.start()
    sender = subprocess.Popen([sys.executable, "-c", SENDER, link.address, str(CPU_SECONDS)])
    busy = [threading.Thread(target=_compute, args=(done,)) for _ in range(BUSY_THREADS)]
    try:
        while not received:
            time.sleep(0.01)
        for thread in busy:
            thread.start()
        set_switch_interval(DEFAULT_INTERVAL_S)
        count_at_default = count_received(received, CPU_SECONDS)
        set_switch_interval(THREAD_SWITCH_INTERVAL_S)
        count_at_short_interval = count_received(received, CPU_SECONDS)
    finally:
        done.set()
        for thread in busy:
            thread.join()
        sender.kill()
        sender.wait()
        link.stop()
    assert count_at_default < MIN_RECEIVED < count_at_short_interval


def _compute(done: threading.Event) -> None:
    while not done.is_set():
        sum(range(200))


def test_application_sets_thread_switch_interval():
    code = (
        "import sys\n"
        "from turmerictray.core.app import Application\n"
        "app = Application('a')\n"
        "app.request_stop()\n"
        "app.run()\n"
        "print(sys.getswitchinterval())\n"
    )
    out = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert float(out.stdout.split()[-1]) == THREAD_SWITCH_INTERVAL_S
