"""Limit on the number of requests that are read at the same time."""

import threading
import time

import pytest

from turmerictray.transport.read_limiter import ReadLimiter


@pytest.fixture
def started():
    return []


@pytest.fixture
def limiter(started):
    def on_start(item, waited_s):
        started.append(item)
        return not str(item).startswith("answered")

    limiter = ReadLimiter(on_start, max_slots=2, lease_s=0.2)
    limiter.start()
    yield limiter
    limiter.stop()


def test_items_start_in_order_within_slot_limit(limiter, started):
    for name in "abcd":
        limiter.submit(name)
    assert started == ["a", "b"]
    limiter.release("b")
    assert started == ["a", "b", "c"]
    limiter.release("b")
    assert started == ["a", "b", "c"]
    limiter.release("a")
    assert started == ["a", "b", "c", "d"]


def test_item_that_needs_no_slot_is_followed_at_once(limiter, started):
    names = ["a", "b", *(f"answered{number}" for number in range(2000)), "c"]
    for name in names:
        limiter.submit(name)
    limiter.release("a")
    assert started == names


def test_slot_is_freed_when_its_lease_expires(limiter, started):
    """Guards against two requests that never release their slots and block all others."""
    for name in "abc":
        limiter.submit(name)
    until = time.monotonic() + 5
    while "c" not in started and time.monotonic() < until:
        time.sleep(0.01)
    assert started == ["a", "b", "c"]


def test_queue_delay_is_reported(limiter):
    assert limiter.queue_delay_s() == 0.0
    for name in "abc":
        limiter.submit(name)
    time.sleep(0.05)
    assert limiter.queue_delay_s() >= 0.05


def test_items_from_many_threads_start_once_each(started):
    limiter = ReadLimiter(
        lambda item, waited_s: started.append(item) or True, max_slots=3, lease_s=60
    )
    limiter.start()
    threads = [
        threading.Thread(target=lambda first=first: [limiter.submit(first + n) for n in range(50)])
        for first in (0, 50, 100, 150)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    released = 0
    while released < 200:
        limiter.release(started[released])
        released += 1
    limiter.stop()
    assert sorted(started) == list(range(200))
