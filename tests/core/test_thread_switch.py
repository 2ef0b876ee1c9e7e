"""Threads that hear and accept go on beside threads that compute."""

import socket
import subprocess
import sys
import threading
import time

import pytest

from turmerictray.core.app import SWITCH_S
from turmerictray.scheduling.link import SchedulingLink

BUSY_THREADS = 4
SECONDS = 1.0
_LOOK_S = 0.02

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
def switch():
    before = sys.getswitchinterval()
    yield sys.setswitchinterval
    sys.setswitchinterval(before)


def free_address() -> str:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"tcp://127.0.0.1:{sock.getsockname()[1]}"


def heard_in(heard: list, seconds: float) -> int:
    """Messages heard while this process uses so many seconds of processor time.

    On a machine whose processors are all in use a second of wall time holds less of it, and not the
    same in both windows.
    """
    begun, until = len(heard), time.process_time() + seconds
    while time.process_time() < until:
        time.sleep(_LOOK_S)
    return len(heard) - begun


def test_messages_are_heard_beside_busy_threads(switch):
    """Guards against a receiving thread that waits for a long turn of each busy one."""
    heard, done = [], threading.Event()
    link = SchedulingLink(free_address(), heard.append)
    link.start()
    sender = subprocess.Popen([sys.executable, "-c", SENDER, link.address, str(SECONDS)])
    busy = [threading.Thread(target=_compute, args=(done,)) for _ in range(BUSY_THREADS)]
    try:
        while not heard:
            time.sleep(0.01)
        for thread in busy:
            thread.start()
        switch(0.005)
        before = heard_in(heard, SECONDS)
        switch(SWITCH_S)
        after = heard_in(heard, SECONDS)
    finally:
        done.set()
        for thread in busy:
            thread.join()
        sender.kill()
        sender.wait()
        link.stop()
    assert after > 3 * before


def _compute(done: threading.Event) -> None:
    while not done.is_set():
        sum(range(200))


def test_a_program_sets_its_threads_turns():
    code = (
        "import sys\n"
        "from turmerictray.core.app import Application\n"
        "app = Application('a')\n"
        "app.request_stop()\n"
        "app.run()\n"
        "print(sys.getswitchinterval())\n"
    )
    out = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert float(out.stdout.split()[-1]) == SWITCH_S
