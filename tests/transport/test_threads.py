"""Threads of a server, of which there are as many as were needed at once."""

import threading
from types import SimpleNamespace

import pytest

from turmerictray.transport.threads import GrowingThreadPool


class FakeConn:
    """A connection with one request, which lasts until the test ends it."""

    def __init__(self, ended: threading.Event, begun: threading.Semaphore) -> None:
        self._ended, self._begun = ended, begun
        self.rfile = SimpleNamespace(closed=True)

    def communicate(self) -> bool:
        self._begun.release()
        self._ended.wait(10)
        return False

    def close(self) -> None:
        """Nothing is open."""


@pytest.fixture
def pool():
    server = SimpleNamespace(stats={"Worker Threads": {}, "Enabled": False}, error_log=print)
    pool = GrowingThreadPool(server, 50)
    server.requests = pool
    pool.start()
    yield pool
    pool.stop(2)


def test_requests_do_not_wait_for_each_other_up_to_the_limit(pool):
    ended, begun = threading.Event(), threading.Semaphore(0)
    for _ in range(50):
        pool.put(FakeConn(ended, begun))
    try:
        assert all(begun.acquire(timeout=5) for _ in range(50))
        assert len(pool._threads) == 50
        pool.put(FakeConn(ended, begun))
        assert len(pool._threads) == 50
    finally:
        ended.set()


def test_threads_that_are_free_are_used_again(pool):
    ended, begun = threading.Event(), threading.Semaphore(0)
    ended.set()
    first = len(pool._threads)
    for _ in range(100):
        pool.put(FakeConn(ended, begun))
        assert begun.acquire(timeout=5)
    assert len(pool._threads) <= first + 16


def test_a_machine_without_room_for_threads_leaves_the_ones_there_are(pool, monkeypatch):
    def refuse():
        raise RuntimeError("can't start new thread")

    monkeypatch.setattr(pool, "_spawn_worker", refuse)
    ended, begun = threading.Event(), threading.Semaphore(0)
    for _ in range(40):
        pool.put(FakeConn(ended, begun))
    ended.set()
    assert all(begun.acquire(timeout=5) for _ in range(40))
