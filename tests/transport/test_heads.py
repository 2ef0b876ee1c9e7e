"""A request head that takes too long ends its connection, and its caller is told why."""

from turmerictray.transport import heads
from turmerictray.transport.heads import HeadDeadlines

LIMIT_S = 3.0


class FakeSocket:
    """Remembers that reading from it was stopped."""

    def __init__(self) -> None:
        self.stopped = False

    def shutdown(self, how: int) -> None:
        self.stopped = True


class FakeConnection:
    """A connection with such a socket."""

    def __init__(self) -> None:
        self.socket = FakeSocket()


def test_single_read_times_out_before_the_whole_head_does(monkeypatch):
    # A caller sends half a head and stops. Its read times out after the limit and answers 408. If
    # the deadline of the whole head struck at the same moment, the read would see an early end and
    # answer 400, which tells the caller that its request was malformed.
    now = 100.0
    monkeypatch.setattr(heads.time, "monotonic", lambda: now)
    deadlines = HeadDeadlines()
    conn = FakeConnection()
    deadlines.begin(conn)
    now = 100.0 + LIMIT_S + 0.2
    deadlines.close_overdue(LIMIT_S)
    assert not conn.socket.stopped
    now = 100.0 + LIMIT_S + 0.6
    deadlines.close_overdue(LIMIT_S)
    assert conn.socket.stopped


def test_head_that_has_arrived_is_left_alone(monkeypatch):
    now = 100.0
    monkeypatch.setattr(heads.time, "monotonic", lambda: now)
    deadlines = HeadDeadlines()
    conn = FakeConnection()
    deadlines.begin(conn)
    deadlines.end(conn)
    now = 200.0
    deadlines.close_overdue(LIMIT_S)
    assert not conn.socket.stopped
