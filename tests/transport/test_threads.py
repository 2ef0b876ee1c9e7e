"""Thread pool of a server that grows with the number of concurrent requests."""

import threading
from types import SimpleNamespace

import pytest

from turmerictray.transport.threads import GrowingThreadPool


class FakeConn:
    """A connection with one request, which lasts until the test ends it."""

    def __init__(self, finish: threading.Event, started: threading.Semaphore) -> None:
        self._finish, self._started = finish, started
        self.rfile = SimpleNamespace(closed=True)

    def communicate(self) -> bool:
        self._started.release()
        self._finish.wait(10)
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


def test_pool_grows_up_to_limit(pool):
    finish, started = threading.Event(), threading.Semaphore(0)
    for _ in range(50):
        pool.put(FakeConn(finish, started))
    try:
        assert all(started.acquire(timeout=5) for _ in range(50))
        assert len(pool._threads) == 50
        pool.put(FakeConn(finish, started))
        assert len(pool._threads) == 50
    finally:
        finish.set()


def test_idle_threads_are_reused(pool):
    finish, started = threading.Event(), threading.Semaphore(0)
    finish.set()
    initial_count = len(pool._threads)
    for _ in range(100):
        pool.put(FakeConn(finish, started))
        assert started.acquire(timeout=5)
    assert len(pool._threads) <= initial_count + 16


def test_existing_threads_serve_if_no_more_can_be_started(pool, monkeypatch):
    def refuse():
        raise RuntimeError("can't start new thread")

    monkeypatch.setattr(pool, "_spawn_worker", refuse)
    finish, started = threading.Event(), threading.Semaphore(0)
    for _ in range(40):
        pool.put(FakeConn(finish, started))
    finish.set()
    assert all(started.acquire(timeout=5) for _ in range(40))
