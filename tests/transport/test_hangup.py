"""A caller's hang-up is seen at the moment of looking."""

import socket

from turmerictray.transport.hangup import Call


def test_a_look_shows_a_caller_that_has_left_and_tells_who_waits():
    near, far = socket.socketpair()
    call, aborted = Call(near), []
    call.on_hang_up(lambda: aborted.append(True))
    with near:
        assert not call.look()
        assert aborted == []
        far.close()
        assert call.look()
        assert call.gone
        assert aborted == [True]
