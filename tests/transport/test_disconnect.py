"""Immediate detection of a caller's disconnect."""

import socket

from turmerictray.transport.disconnect import CancellableCall


def test_check_detects_disconnect_and_aborts_the_call():
    near, far = socket.socketpair()
    call, aborted = CancellableCall(near), []
    call.on_disconnect(lambda: aborted.append(True))
    with near:
        assert not call.check_disconnected()
        assert aborted == []
        far.close()
        assert call.check_disconnected()
        assert call.caller_gone
        assert aborted == [True]
