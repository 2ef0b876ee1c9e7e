"""Time limit of request heads, and the status that a slow caller gets."""

from turmerictray.transport import strict_server
from turmerictray.transport.strict_server import HeadDeadlines

LIMIT_S = 3.0


class FakeSocket:
    """Records whether reading from it was stopped."""

    def __init__(self) -> None:
        self.stopped = False

    def shutdown(self, how: int) -> None:
        self.stopped = True


class FakeConnection:
    """A connection with a fake socket."""

    def __init__(self) -> None:
        self.socket = FakeSocket()


def test_single_read_times_out_before_the_whole_head_does(monkeypatch):
    # When a caller sends half a head and stops, the read times out after the limit and the caller
    # gets a 408. If the deadline of the whole head expired at the same moment, the read would see a
    # closed connection and the caller would get a 400, as if its request were malformed.
    now = 100.0
    monkeypatch.setattr(strict_server.time, "monotonic", lambda: now)
    deadlines = HeadDeadlines()
    conn = FakeConnection()
    deadlines.begin(conn)
    now = 100.0 + LIMIT_S + 0.2
    deadlines.close_overdue(LIMIT_S)
    assert not conn.socket.stopped
    now = 100.0 + LIMIT_S + 0.6
    deadlines.close_overdue(LIMIT_S)
    assert conn.socket.stopped


def test_deadline_ends_once_head_has_arrived(monkeypatch):
    now = 100.0
    monkeypatch.setattr(strict_server.time, "monotonic", lambda: now)
    deadlines = HeadDeadlines()
    conn = FakeConnection()
    deadlines.begin(conn)
    deadlines.end(conn)
    now = 200.0
    deadlines.close_overdue(LIMIT_S)
    assert not conn.socket.stopped
