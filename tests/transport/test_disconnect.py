"""Immediate detection of a caller's disconnect."""

import socket
from threading import Event, Thread, Timer

from turmerictray.transport.disconnect import CancellableCall, DisconnectMonitor


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


def test_connection_that_is_already_closed_hides_no_other_caller_that_leaves():
    """Guards against engines that work on for callers that have left, as the watch fails."""
    closed, _peer = socket.socketpair()
    closed.close()
    near, far = socket.socketpair()
    gone, leaving = CancellableCall(closed), CancellableCall(near)
    monitor = DisconnectMonitor()
    for call in (gone, leaving):
        monitor.add(call)
    far.close()
    assert monitor._find_disconnected() == [leaving]
    assert gone.check_disconnected()
    assert not gone.on_disconnect(lambda: None)
    monitor.remove(gone)
    near.close()


def test_abort_of_a_call_ends_before_its_connection_serves_another():
    """Guards against a caller that leaves late and ends the next request on its connection."""
    near, far = socket.socketpair()
    call, is_aborting, may_go_on, aborted = CancellableCall(near), Event(), Event(), []

    def abort() -> None:
        is_aborting.set()
        may_go_on.wait(5)
        aborted.append(True)

    call.on_disconnect(abort)
    Thread(target=call.handle_disconnect).start()
    assert is_aborting.wait(5)
    Timer(0.05, may_go_on.set).start()
    assert not call.on_disconnect(None)
    assert aborted
    near.close()
    far.close()
