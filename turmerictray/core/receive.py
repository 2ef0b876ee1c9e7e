"""A thread that receives messages from a pull socket until the socket is closed."""

import threading
import time
from collections.abc import Callable

import pykka
import pynng

from turmerictray.core import metrics
from turmerictray.core.logs import log_event
from turmerictray.core.supervision import SupervisedThread, report_item_failure

_ERROR_PAUSE_S = 0.1
"""Pause after a socket error, so that a persistent error does not cause a busy loop."""


_JOIN_TIMEOUT_S = 0.5
"""The receiving thread is not waited for any longer if its handler takes more time than this."""


class Receiver:
    """A pull socket and the thread that receives its messages.

    :meth:`close` closes the socket and then waits for the thread, because the exit handler of the
    nng library aborts the process if a thread still uses the socket.

    Parameters
    ----------
    address : str
        ``tcp://host:port`` to listen on.
    name : str
        Name of the thread.
    buffer : int
        Received messages that can wait to be handled.
    receive : callable
        Called on the thread with the socket; reads it until it is closed.

    Raises
    ------
    pynng.NNGException
        If the address is in use.
    """

    def __init__(
        self, address: str, name: str, buffer: int, receive: Callable[[pynng.Pull0], None]
    ) -> None:
        self._pull = pynng.Pull0(listen=address, recv_buffer_size=buffer)
        self._thread = SupervisedThread(receive, name, (self._pull,))
        self._thread.start()

    def close(self) -> None:
        """Close the socket and wait for the thread."""
        self._pull.close()
        self._thread.join(_JOIN_TIMEOUT_S)


def receive_all(
    pull: pynng.Pull0, channel: str, failed_event: str, on_data: Callable[[bytes], None]
) -> None:
    """Pass each received message to ``on_data`` until the socket is closed.

    Parameters
    ----------
    pull : pynng.Pull0
        The socket to read.
    channel : str
        Channel under which the metrics count the received bytes.
    failed_event : str
        Name of the log event for socket errors.
    on_data : callable
        Called with each message, on the calling thread.
    """
    while True:
        try:
            data = pull.recv()
        except pynng.Closed:
            return
        except pynng.NNGException as exc:
            log_event(failed_event, level="WARNING", exc=exc)
            time.sleep(_ERROR_PAUSE_S)
            continue
        metrics.count_control_bytes(channel, 0, len(data))
        try:
            on_data(data)
        except pykka.ActorDeadError:
            # The process is stopping, and the receiving actor has ended before its socket.
            log_event("message_dropped", level="DEBUG", channel=channel)
        except Exception as exc:  # noqa: BLE001 - the next message must be received
            report_item_failure(threading.current_thread().name, exc)
